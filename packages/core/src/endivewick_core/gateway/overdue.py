"""Answers that are overdue: reads are sent elsewhere, and connections without answers are closed.

An upstream may lose an answer, a connection may stop delivering, or an upstream may accept
connections and answer nothing, while it appears healthy.
"""

from ..statements import Error, Fault, StatementKind, TransactionState
from . import results, routing, upstream_health
from .effects import CloseConnection, Effect
from .events import ConnectionBroke
from .requests import is_single_read
from .state import Connection, GatewayState, Purpose, Request

# An answer is overdue after OVERDUE_MS plus OVERDUE_FACTOR times the upstream's mean latency.
OVERDUE_MS = 250
OVERDUE_FACTOR = 2.5
ABANDONED_ANSWER_TIMEOUT_MS = 1_000  # for an answer that no session waits for any more
ANSWER_TIMEOUT_MARGIN_MS = 250  # so that a timeout is reported before its connection is closed


def leave_unresponsive(state: GatewayState, now_ms: int) -> list[Effect]:
    """Move what has not begun from the upstreams that answer nothing to others."""
    if not state.settings.uses_upstream_weights:
        return []
    upstream_health.find_unresponsive(state, now_ms)
    effects = upstream_health.log_changes(state, now_ms)
    for connection in list(state.connections.values()):
        item = state.pools[connection.upstream]
        if not connection.pending or not upstream_health.is_unresponsive(state, now_ms, item):
            continue
        if now_ms - connection.pending[0].sent_ms < upstream_health.silence_ms(item):
            continue
        if connection.next_request is not None:
            effects += _move_unsent(state, now_ms, connection, connection.next_request)
        elif _waits_for_first_read(state, connection):
            error = Error(Fault.TIMEOUT, "the upstream answers nothing")
            effects.append(CloseConnection(connection.number))
            lost = ConnectionBroke(now_ms, connection.number, error)
            effects += results.handle_connection_lost(state, lost)
    return effects


def _move_unsent(
    state: GatewayState, now_ms: int, connection: Connection, request: Request
) -> list[Effect]:
    """Send a request elsewhere whose connection waits for the answer to its BEGIN."""
    session = state.sessions.get(request.session)
    if session is None or request.serial not in state.requests:
        return []
    if routing.needs_primary(session, request):
        return []
    connection.next_request = None
    request.tried.add(connection.upstream)
    upstream_health.record_unanswered(state.pools[connection.upstream], now_ms)
    error = Error(Fault.TIMEOUT, "the upstream answers nothing")
    return routing.retry_refused(state, now_ms, request, connection.upstream, error)


def _waits_for_first_read(state: GatewayState, connection: Connection) -> bool:
    """Tell whether a connection waits for the first read of a transaction, and of nothing else."""
    requests = [item.request for item in connection.pending if item.purpose is Purpose.WORK]
    if len(requests) != 1 or requests[0] is None or requests[0].serial not in state.requests:
        return False
    request = requests[0]
    session = state.sessions[request.session]
    if session.state is not TransactionState.OPEN or session.statements_run:
        return False
    if request.statement.kind is StatementKind.COMMIT or request.is_write:
        return False
    return not routing.needs_primary(session, request)


def retry_overdue_reads(state: GatewayState, now_ms: int) -> list[Effect]:
    """Send single reads again whose answers are overdue, within the retry budget.

    The late answer to the first attempt is dropped.
    """
    effects: list[Effect] = []
    for request in list(state.requests.values()):
        if (
            not request.sent_ms
            or request.forwarded_to
            or request.attempts >= results.max_attempts(state, request)
        ):
            continue
        item = state.pools.get(request.upstream)
        late_ms = OVERDUE_MS + OVERDUE_FACTOR * (item.latency_ms if item is not None else 0)
        moves = (
            item is not None
            and upstream_health.is_unresponsive(state, now_ms, item)
            and not routing.needs_primary(state.sessions[request.session], request)
        )
        late_ms = upstream_health.overdue_ms(state, request, moves, late_ms)
        if now_ms - request.sent_ms < late_ms or (state.retry_budget < 1 and not moves):
            continue
        if not is_single_read(state.sessions[request.session], request):
            continue
        # An upstream that answers nothing loses the read: it is moved and not sent twice.
        state.retry_budget -= 0 if moves else 1
        if item is not None:
            upstream_health.record_unanswered(item, now_ms)
            if moves:
                request.tried.add(item.upstream)
        _detach(state, request)
        error = Error(Fault.TIMEOUT, f"no answer for {now_ms - request.sent_ms} ms")
        effects += routing.retry_refused(state, now_ms, request, request.upstream, error)
    return effects


def close_unresponsive(state: GatewayState, now_ms: int) -> list[Effect]:
    """Close the connections that have not opened, or not answered a statement, in time."""
    effects: list[Effect] = []
    for connection in list(state.connections.values()):
        oldest_ms = connection.opened_ms
        if connection.is_open:
            if not connection.pending:
                continue
            oldest_ms = max(connection.last_received_ms, connection.pending[0].sent_ms)
        limit_ms = _answer_timeout_ms(state, connection)
        if now_ms - oldest_ms < limit_ms:
            continue
        effects.append(CloseConnection(connection.number))
        error = Error(Fault.TIMEOUT, f"no answer for {now_ms - oldest_ms} ms")
        effects += results.handle_connection_lost(
            state, ConnectionBroke(now_ms, connection.number, error)
        )
    return effects


def _detach(state: GatewayState, request: Request) -> None:
    """Detach a request from its pending statement, so that the answer is dropped."""
    for connection in state.connections.values():
        for pending in connection.pending:
            if pending.request is request:
                pending.request = None


def _answer_timeout_ms(state: GatewayState, connection: Connection) -> int:
    """Return how long a connection may take to open, or to answer its oldest statement.

    For a statement whose session still waits this is the statement timeout plus a margin.
    """
    if not connection.is_open:
        return state.settings.open_timeout_ms
    if not connection.pending or connection.pending[0].request is None:
        return ABANDONED_ANSWER_TIMEOUT_MS
    return connection.pending[0].request.route.timeout_ms + ANSWER_TIMEOUT_MARGIN_MS
