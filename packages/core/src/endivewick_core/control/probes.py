"""Questions to upstreams: their position, and the orders that a failover needs."""

from ..directory import DirectoryEntry, UpstreamState
from ..messages import PrimaryHealth
from ..statements import BEGIN, ROLLBACK, Statement, UpstreamStatement
from ..upstream_links import OpenConnection, SendStatements
from .effects import Effect
from .service_state import Peer, PendingProbe, ProbeKind, WatchedConnection
from .state import ControlState

PROBE_INTERVAL_MS = 400  # a quarter of the shortest staleness that contracts commonly allow
PEER_TIMEOUT_MS = 2_500  # two shares of another control process were missed
OVERDUE_AFTER_MS = 500  # the longest round trip between regions, a lost packet and its repeat


def services(state: ControlState) -> list[str]:
    """Return the services of the configuration whose upstreams have reported."""
    reported = {entry.report.service for entry in state.directory_state.directory.entries.values()}
    return [name for name in state.machine.configuration.services if name in reported]


def upstreams_by_service(state: ControlState) -> dict[str, list[DirectoryEntry]]:
    """Return the upstreams that have not said goodbye, by service."""
    grouped: dict[str, list[DirectoryEntry]] = {}
    for entry in state.directory_state.directory.entries.values():
        if entry.report.state is not UpstreamState.GONE:
            grouped.setdefault(entry.report.service, []).append(entry)
    return grouped


def upstreams_of(state: ControlState, service: str) -> list[DirectoryEntry]:
    """Return the upstreams of a service that have not said goodbye."""
    return upstreams_by_service(state).get(service, [])


def primary_health(state: ControlState, now_ms: int) -> list[PrimaryHealth]:
    """Return how this process finds each service's primary."""
    health = []
    for service, watermark in state.watch.watermarks.items():
        overdue_ms = failing_ms(state, now_ms, service)
        gateways = gateways_failing(state, service)
        health.append(PrimaryHealth(service, watermark.upstream, overdue_ms, gateways))
    return health


def live_peers(state: ControlState, now_ms: int) -> list[Peer]:
    """Return the other control processes whose last share is recent."""
    peers = state.directory_state.peers.values()
    return [peer for peer in peers if now_ms - peer.last_received_ms <= PEER_TIMEOUT_MS]


def gateways_failing(state: ControlState, service: str) -> int:
    """Return how many of this process's gateways get no answers to writes of a service."""
    return sum(1 for failing in state.directory_state.writes_failing.values() if service in failing)


def failing_ms(state: ControlState, now_ms: int, service: str) -> int:
    """Return how long the primary's answers have been overdue, or 0."""
    watermark = state.watch.watermarks.get(service)
    if watermark is None:
        return 0
    age_ms = now_ms - watermark.probed_ms
    return age_ms - PROBE_INTERVAL_MS if age_ms > PROBE_INTERVAL_MS + OVERDUE_AFTER_MS else 0


def send_probe(
    state: ControlState, now_ms: int, entry: DirectoryEntry, statement: Statement, kind: ProbeKind
) -> list[Effect]:
    """Ask an upstream once its connection is open and its last such question was answered."""
    return _send_probes(state, now_ms, entry, [(kind, statement)])


def probe_position(state: ControlState, now_ms: int, entry: DirectoryEntry) -> list[Effect]:
    """Ask an upstream whether it leads, and for its position, where that is due."""
    connection = _connection(state, entry)
    if connection is not None and now_ms - connection.probed_ms < PROBE_INTERVAL_MS:
        return []
    probes = [(ProbeKind.POSITION, BEGIN), (ProbeKind.ROLLBACK, ROLLBACK)]
    effects = _send_probes(state, now_ms, entry, probes)
    if effects and connection is not None:
        connection.probed_ms = now_ms
    return effects


def _connection(state: ControlState, entry: DirectoryEntry) -> WatchedConnection | None:
    number = state.watch.by_upstream.get(entry.report.upstream)
    return state.watch.connections[number] if number is not None else None


def _send_probes(
    state: ControlState,
    now_ms: int,
    entry: DirectoryEntry,
    probes: list[tuple[ProbeKind, Statement]],
) -> list[Effect]:
    """Send questions in one write, unless the first one still waits for its last answer."""
    connection = _connection(state, entry)
    if connection is None:
        return open_connection(state, now_ms, entry)
    first, _ = probes[0]
    if not connection.is_open or any(item.kind is first for item in connection.pending_probes):
        return []
    connection.pending_probes.extend(PendingProbe(kind, now_ms) for kind, _ in probes)
    statements = [UpstreamStatement(statement) for _, statement in probes]
    return [SendStatements(connection.number, statements)]


def open_connection(state: ControlState, now_ms: int, entry: DirectoryEntry) -> list[Effect]:
    """Open a connection for questions, but not right after one has failed."""
    report = entry.report
    watch = state.watch
    if now_ms < watch.reopen_at_ms.get(report.upstream, 0):
        return []
    connection = WatchedConnection(watch.next_connection, report.upstream, report.service, now_ms)
    watch.next_connection += 1
    watch.connections[connection.number] = connection
    watch.by_upstream[report.upstream] = connection.number
    return [OpenConnection(connection.number, report.address, report.service, report.upstream)]


def newest_term(state: ControlState, service: str) -> int:
    """Return the highest term that any upstream of a service has shown."""
    return state.watch.terms.get(service, 0)
