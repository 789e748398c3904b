"""Probes: the statements that control sends to upstreams.

They read an upstream's position, and pause and resume replicas during a failover. The module also
derives from the responses how long a primary has been failing.
"""

from collections import Counter

from ..directory import DirectoryEntry, UpstreamState
from ..messages import PrimaryHealth
from ..statements import (
    BEGIN,
    ROLLBACK,
    Statement,
    StatementKind,
    UpstreamStatement,
    internal_statement,
)
from ..upstream_links import OpenConnection, SendStatements
from .effects import Effect
from .service_state import Peer, PendingProbe, ProbeKind, WatchedConnection
from .state import ControlState, quorum_size

PROBE_INTERVAL_MS = 400  # a quarter of the shortest staleness that contracts commonly allow
PEER_TIMEOUT_MS = 2_500  # two missed shares of another control process
# Covers the longest round trip between regions, one lost packet and its retransmission.
OVERDUE_AFTER_MS = 500


def services(state: ControlState) -> list[str]:
    """Return the services of the configuration whose upstreams have reported."""
    reported = {entry.report.service for entry in state.directory_state.directory.entries.values()}
    return [name for name in state.replicated_state.configuration.services if name in reported]


def upstreams_by_service(state: ControlState) -> dict[str, list[DirectoryEntry]]:
    """Return the upstreams that have not departed, by service."""
    grouped: dict[str, list[DirectoryEntry]] = {}
    for entry in state.directory_state.directory.entries.values():
        if entry.report.state is not UpstreamState.GONE:
            grouped.setdefault(entry.report.service, []).append(entry)
    return grouped


def upstreams_of(state: ControlState, service: str) -> list[DirectoryEntry]:
    """Return the upstreams of a service that have not departed."""
    return upstreams_by_service(state).get(service, [])


def primary_health(state: ControlState, now_ms: int) -> list[PrimaryHealth]:
    """Return the health of each service's primary as this process observes it."""
    health = []
    for service, watermark in state.watch.watermarks.items():
        overdue_ms = failing_ms(state, now_ms, service)
        gateways = gateways_failing(state, service)
        health.append(PrimaryHealth(service, watermark.upstream, overdue_ms, gateways))
    return health


def live_peers(state: ControlState, now_ms: int) -> list[Peer]:
    """Return the other control processes whose last share was received within PEER_TIMEOUT_MS."""
    peers = state.directory_state.peers.values()
    return [peer for peer in peers if now_ms - peer.last_received_ms <= PEER_TIMEOUT_MS]


def gateways_failing(state: ControlState, service: str) -> int:
    """Return how many gateways that poll this process get no responses to writes of a service."""
    return sum(1 for failing in state.directory_state.writes_failing.values() if service in failing)


def failing_ms(state: ControlState, now_ms: int, service: str) -> int:
    """Return how long the primary's response to a position probe has been overdue, or 0."""
    watermark = state.watch.watermarks.get(service)
    if watermark is None:
        return 0
    age_ms = now_ms - watermark.probed_ms
    return age_ms - PROBE_INTERVAL_MS if age_ms > PROBE_INTERVAL_MS + OVERDUE_AFTER_MS else 0


def hears_quorum(state: ControlState, now_ms: int) -> bool:
    """Return whether a quorum of the voters, this process included, shares what it observes."""
    heard = {item.peer.address for item in live_peers(state, now_ms)} | {state.me.address}
    live = [voter for voter in state.membership.voters if voter.address in heard]
    return len(live) >= quorum_size(state)


def majority_finds_failing(state: ControlState, now_ms: int, service: str, primary: str) -> bool:
    """Return whether most live control processes find the primary's responses overdue.

    Those that know no primary of the service, as after a restart, don't count. Without a quorum
    of live ones nothing is found: this process alone may be cut off from the primary.
    """
    if not hears_quorum(state, now_ms):
        return False
    answered, failing = 1, 1
    for peer in live_peers(state, now_ms):
        for health in peer.primaries:
            if health.service != service:
                continue
            answered += 1
            failing += health.upstream == primary and health.failing_ms > 0
    return failing * 2 > answered


def primary_of_majority(state: ControlState, now_ms: int, service: str) -> str:
    """Return the upstream that most control processes reach as a service's primary, or "".

    This process counts as one that reaches none.
    """
    peers = live_peers(state, now_ms)
    reached = Counter(
        health.upstream
        for peer in peers
        for health in peer.primaries
        if health.service == service and not health.failing_ms
    )
    for upstream, count in reached.items():
        if count * 2 > len(peers) + 1:
            return upstream
    return ""


def majority_knows_no_primary(state: ControlState, now_ms: int, service: str) -> bool:
    """Return whether most live control processes know no primary of a service that answers.

    Without a quorum of live ones that isn't known.
    """
    if not hears_quorum(state, now_ms):
        return False
    answered, unknown = 1, 1
    for peer in live_peers(state, now_ms):
        answered += 1
        known = [health for health in peer.primaries if health.service == service]
        if not known or any(health.failing_ms for health in known):
            unknown += 1
    return unknown * 2 > answered


def send_probe(
    state: ControlState, now_ms: int, entry: DirectoryEntry, statement: Statement, kind: ProbeKind
) -> list[Effect]:
    """Send a probe if the connection is open and no probe of this kind is pending on it.

    Where there is no connection, one is opened instead.
    """
    return _send_probes(state, now_ms, entry, [(kind, statement)])


def probe_position(
    state: ControlState,
    now_ms: int,
    entry: DirectoryEntry,
    interval_ms: int = PROBE_INTERVAL_MS,
) -> list[Effect]:
    """Probe whether an upstream is the primary, and its position, once per ``interval_ms``."""
    connection = _connection(state, entry)
    if connection is not None and now_ms - connection.probed_ms < interval_ms:
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
    """Send probes in one write, unless a probe of the first one's kind is still pending."""
    connection = _connection(state, entry)
    if connection is None:
        return open_connection(state, now_ms, entry)
    first, _ = probes[0]
    if not connection.is_open or any(item.kind is first for item in connection.pending_probes):
        return []
    connection.pending_probes.extend(PendingProbe(kind, now_ms) for kind, _ in probes)
    statements = [UpstreamStatement(statement) for _, statement in probes]
    return [SendStatements(connection.number, statements)]


def is_connected(state: ControlState, entry: DirectoryEntry) -> bool:
    """Return whether an upstream has a connection for probes that is open."""
    connection = _connection(state, entry)
    return connection is not None and connection.is_open


def open_connection(state: ControlState, now_ms: int, entry: DirectoryEntry) -> list[Effect]:
    """Open a connection for probes, unless one failed within the reopen delay."""
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
    """Return the highest term that any upstream of a service has reported."""
    return state.watch.terms.get(service, 0)


def next_term_statement(state: ControlState, service: str, kind: StatementKind) -> Statement:
    """Return a statement of this kind with the term after the newest one."""
    return internal_statement(kind, argument=str(newest_term(state, service) + 1))
