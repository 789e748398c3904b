"""Questions to upstreams: their position, and the orders that a failover needs."""

from ..directory import DirectoryEntry, UpstreamState
from ..messages import PrimaryHealth
from ..statements import BEGIN, ROLLBACK, Statement, UpstreamStatement
from ..upstream_links import OpenConnection, SendStatements
from .effects import Effect
from .service_state import Asked, Peer, Question, WatchedConnection
from .state import ControlState

ASK_MS = 400  # a quarter of the shortest staleness that contracts commonly allow
PEER_SILENT_MS = 2_500  # two shares of another control process were missed
OVERDUE_MS = 500  # the longest round trip between regions, a lost packet and its repeat


def services(state: ControlState) -> list[str]:
    """Return the services of the configuration whose upstreams have reported."""
    reported = {entry.report.service for entry in state.spread.directory.entries.values()}
    return [name for name in state.machine.configuration.services if name in reported]


def upstreams_by_service(state: ControlState) -> dict[str, list[DirectoryEntry]]:
    """Return the upstreams that have not said goodbye, by service."""
    grouped: dict[str, list[DirectoryEntry]] = {}
    for entry in state.spread.directory.entries.values():
        if entry.report.state is not UpstreamState.GONE:
            grouped.setdefault(entry.report.service, []).append(entry)
    return grouped


def upstreams_of(state: ControlState, service: str) -> list[DirectoryEntry]:
    """Return the upstreams of a service that have not said goodbye."""
    return upstreams_by_service(state).get(service, [])


def primary_health(state: ControlState, now_ms: int) -> list[PrimaryHealth]:
    """Return how this process finds each service's primary."""
    health = []
    for service, mark in state.watch.marks.items():
        late_ms = failing_ms(state, now_ms, service)
        gateways = gateways_failing(state, service)
        health.append(PrimaryHealth(service, mark.upstream, late_ms, gateways))
    return health


def heard_peers(state: ControlState, now_ms: int) -> list[Peer]:
    """Return the other control processes whose last share is recent."""
    peers = state.spread.peers.values()
    return [peer for peer in peers if now_ms - peer.heard_ms <= PEER_SILENT_MS]


def gateways_failing(state: ControlState, service: str) -> int:
    """Return how many of this process's gateways get no answers to writes of a service."""
    return sum(1 for failing in state.spread.writes_failing.values() if service in failing)


def failing_ms(state: ControlState, now_ms: int, service: str) -> int:
    """Return how long the primary's answers have been overdue, or 0."""
    mark = state.watch.marks.get(service)
    if mark is None:
        return 0
    age_ms = now_ms - mark.asked_ms
    return age_ms - ASK_MS if age_ms > ASK_MS + OVERDUE_MS else 0


def ask(
    state: ControlState, now_ms: int, entry: DirectoryEntry, statement: Statement, kind: Question
) -> list[Effect]:
    """Ask an upstream once its connection is open and its last such question was answered."""
    return _ask(state, now_ms, entry, [(kind, statement)])


def ask_position(state: ControlState, now_ms: int, entry: DirectoryEntry) -> list[Effect]:
    """Ask an upstream whether it leads, and for its position, where that is due."""
    connection = _connection(state, entry)
    if connection is not None and now_ms - connection.asked_ms < ASK_MS:
        return []
    questions = [(Question.POSITION, BEGIN), (Question.ROLLBACK, ROLLBACK)]
    effects = _ask(state, now_ms, entry, questions)
    if effects and connection is not None:
        connection.asked_ms = now_ms
    return effects


def _connection(state: ControlState, entry: DirectoryEntry) -> WatchedConnection | None:
    number = state.watch.by_upstream.get(entry.report.upstream)
    return state.watch.connections[number] if number is not None else None


def _ask(
    state: ControlState,
    now_ms: int,
    entry: DirectoryEntry,
    questions: list[tuple[Question, Statement]],
) -> list[Effect]:
    """Send questions in one write, unless the first one still waits for its last answer."""
    connection = _connection(state, entry)
    if connection is None:
        return open_connection(state, now_ms, entry)
    first, _ = questions[0]
    if not connection.is_open or any(item.question is first for item in connection.asked):
        return []
    connection.asked.extend(Asked(question, now_ms) for question, _ in questions)
    statements = [UpstreamStatement(statement) for _, statement in questions]
    return [SendStatements(connection.number, statements)]


def open_connection(state: ControlState, now_ms: int, entry: DirectoryEntry) -> list[Effect]:
    """Open a connection for questions, but not right after one has failed."""
    report = entry.report
    watch = state.watch
    if now_ms < watch.reopen_ms.get(report.upstream, 0):
        return []
    connection = WatchedConnection(watch.next_connection, report.upstream, report.service, now_ms)
    watch.next_connection += 1
    watch.connections[connection.number] = connection
    watch.by_upstream[report.upstream] = connection.number
    return [OpenConnection(connection.number, report.address, report.service, report.upstream)]


def newest_term(state: ControlState, service: str) -> int:
    """Return the highest term that any upstream of a service has shown."""
    return state.watch.terms.get(service, 0)
