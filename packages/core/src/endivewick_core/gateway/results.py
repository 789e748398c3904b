"""Handles upstream answers, lost connections and timeouts.

Only a refusal by the upstream proves that a statement did not run. If a connection ends before the
answer to a write or a COMMIT, the outcome is unknown. A transaction whose COMMIT was not sent is
rolled back by the upstream, so it is reported as aborted.
"""

from ..statements import (
    UPSTREAM_DID_NOT_RUN,
    Error,
    Fault,
    StatementKind,
    TransactionState,
    UpstreamReply,
)
from ..watermarks import WatermarkHistory, add_watermark
from . import (
    answers,
    commit_confirmations,
    connection_admission,
    forwarding,
    load_shedding,
    planned_stop,
    pool,
    primary_leases,
    routing,
    upstream_health,
)
from .effects import CloseConnection, Effect, LogEvent
from .events import ConnectionBroke, ConnectionOpened, ConnectionReplied
from .requests import commits_writes, is_single_read
from .state import (
    Connection,
    GatewayState,
    PendingStatement,
    Purpose,
    Request,
    Session,
    UpstreamPool,
)

LATENCY_WEIGHT = 0.2  # of a new answer in the exponential moving average
FAILURE_WEIGHT = 0.1  # of a new outcome in the exponential moving average of failures
# Each answer allows a tenth of a retry, so that retries can't double the load.
RETRY_BUDGET_PER_ANSWER = 0.1
MAX_RETRY_BUDGET = 20.0  # reads that may be sent again in a burst
FORWARDED_REFUSAL_MARGIN_MS = 120  # a tick, and the way to a gateway under load


def handle_opened(state: GatewayState, event: ConnectionOpened) -> list[Effect]:
    """Mark a connection as open and make it available."""
    connection = state.connections.get(event.connection)
    if connection is None:
        return [CloseConnection(event.connection)]
    connection.is_open = True
    connection.last_received_ms = event.now_ms
    item = state.pools[connection.upstream]
    item.connect_failures = 0
    item.opening.refusals = 0
    upstream_health.record_opened(item, event.now_ms)
    if pool.is_primary(state, item):
        state.unreachable_since_ms.pop(item.service, None)
    return pool.release(state, event.now_ms, connection)


def handle_replied(state: GatewayState, event: ConnectionReplied) -> list[Effect]:
    """Handle the answer to the oldest statement of a connection."""
    connection = state.connections.get(event.connection)
    if connection is None:
        return []
    now_ms, reply = event.now_ms, event.reply
    if not connection.pending:
        inputs: dict[str, object] = {"upstream": connection.upstream}
        log_event = LogEvent("warning", "answer_unexpected", "", "", inputs, "closed")
        return [log_event, *pool.close(state, connection)]
    connection.last_received_ms = now_ms
    upstream_health.record_answer(state.pools[connection.upstream], now_ms)
    connection.in_transaction = reply.state is not TransactionState.IDLE
    pending = connection.pending.popleft()
    if _is_answer_missing(pending, reply):
        connection.pending.appendleft(pending)
        error = Error(Fault.ABORTED, "an answer is missing from the connection")
        lost = ConnectionBroke(now_ms, connection.number, error)
        return [CloseConnection(connection.number), *handle_connection_lost(state, lost)]
    if pending.purpose is Purpose.WORK:
        return _handle_work_reply(state, now_ms, connection, pending, reply)
    if pending.purpose is Purpose.BEGIN:
        return _handle_begin_reply(state, now_ms, connection, pending, reply)
    if reply.error is not None:
        connection.is_dirty = True
    return _advance_connection(state, now_ms, connection)


def _is_answer_missing(pending: PendingStatement, reply: UpstreamReply) -> bool:
    """Tell whether an answer was lost, so that this one belongs to a later statement."""
    if reply.error is not None:
        return False
    if pending.purpose is Purpose.WORK:
        return not reply.proof
    if reply.proof:
        return True
    return pending.purpose is Purpose.BEGIN and reply.state is not TransactionState.OPEN


def handle_connection_lost(state: GatewayState, event: ConnectionBroke) -> list[Effect]:
    """Answer or retry every request of a connection that ended."""
    connection = state.connections.get(event.connection)
    if connection is None:
        return []
    now_ms = event.now_ms
    item = state.pools[connection.upstream]
    pool.remove_connection(state, connection)
    effects: list[Effect] = []
    lost = sum(1 for one in connection.pending if one.purpose is Purpose.WORK and one.request)
    lost += connection.next_request is not None or not connection.is_open
    upstream_health.record_lost(item, now_ms, lost, event.error.fault)
    if not connection.is_open:
        item.connect_failures += 1
        if event.error.fault is Fault.TOO_MANY_CONNECTIONS:
            item.limit_reached_ms = now_ms
        elif pool.is_primary(state, item):
            state.unreachable_since_ms.setdefault(item.service, now_ms)
        item.connect_backoff_until_ms = now_ms + connection_admission.connect_backoff_ms(
            state, item, event.error.fault
        )
    inputs: dict[str, object] = {
        **connection_admission.describe_refusals(state, now_ms, item),
        "upstream": connection.upstream,
        "service": item.service,
        "was_open": connection.is_open,
        "unanswered": len(connection.pending),
        "text": event.error.text,
    }
    outcome = event.error.fault.value
    effects.append(LogEvent("warning", "upstream_connection_lost", "", "", inputs, outcome))
    for pending in connection.pending:
        if pending.purpose is Purpose.WORK:
            _record_outcome(item, failed=True)
        if pending.request is not None:
            effects += _resolve_lost_request(state, now_ms, connection, pending.request)
    if connection.next_request is not None:
        effects += _retry_lost_request(state, now_ms, connection.next_request, connection.upstream)
    if connection.session is not None:
        session = state.sessions.get(connection.session)
        if session is not None and session.connection == connection.number:
            session.connection = None
            session.state = TransactionState.FAILED
            if session.current is not None:
                # A COMMIT that waited for a lease; nothing of it was sent.
                error = Error(Fault.ABORTED, f"{item.upstream} closed the connection")
                effects += answers.fail(state, now_ms, session.current, error)
    return effects + routing.dispatch_queued(state, now_ms, item.service)


def check_deadlines(state: GatewayState, now_ms: int) -> list[Effect]:
    """Fail the requests whose statement timeout has passed, at the end of a planned stop all."""
    effects: list[Effect] = []
    stops_ms = planned_stop.answers_until_ms(state)
    for request in list(state.requests.values()):
        due_ms = _due_ms(state, request)
        if stops_ms is not None:
            due_ms = min(due_ms, stops_ms)
        if now_ms < due_ms or request.serial not in state.requests:
            continue
        effects += _time_out(state, now_ms, request)
    return effects


def _due_ms(state: GatewayState, request: Request) -> int:
    """Return when a request is failed for its statement timeout.

    A request of another gateway that was not sent is refused sooner, so that the refusal arrives
    before that gateway has to give up without knowing whether the request has run.
    """
    session = state.sessions[request.session]
    if session.origin is not None and not request.sent_ms:
        return request.deadline_ms - FORWARDED_REFUSAL_MARGIN_MS
    return request.deadline_ms


def max_attempts(state: GatewayState, request: Request) -> int:
    """Return how often a single read is sent at most."""
    return upstream_health.max_attempts(state, request, routing.MAX_READ_ATTEMPTS)


def _handle_begin_reply(
    state: GatewayState,
    now_ms: int,
    connection: Connection,
    pending: PendingStatement,
    reply: UpstreamReply,
) -> list[Effect]:
    item = state.pools[connection.upstream]
    if reply.error is None:
        if pool.is_primary(state, item):
            _record_watermark(state, item.service, pending.sent_ms, reply)
        return _advance_connection(state, now_ms, connection)
    if reply.error.fault is Fault.READ_ONLY:
        item.read_only_backoff_until_ms = now_ms + routing.READ_ONLY_BACKOFF_MS
    request = connection.next_request
    connection.next_request = None
    effects: list[Effect] = []
    if request is not None and request.serial in state.requests:
        effects += routing.retry_refused(state, now_ms, request, item.upstream, reply.error)
    return effects + _advance_connection(state, now_ms, connection)


def _handle_work_reply(
    state: GatewayState,
    now_ms: int,
    connection: Connection,
    pending: PendingStatement,
    reply: UpstreamReply,
) -> list[Effect]:
    item = state.pools[connection.upstream]
    item.running -= 1
    connection_admission.record_answer_time(state, item, pending.sent_ms)
    request = pending.request
    if request is not None and request.changes_data:
        state.unanswered_write_since_ms.pop(item.service, None)
    if request is None or request.serial not in state.requests:
        connection.is_used = connection.is_used or connection.in_transaction
        return _advance_connection(state, now_ms, connection)
    session = state.sessions[request.session]
    upstream_health.record_reply(item, now_ms, pending.sent_ms, reply.error)
    if reply.error is None or reply.error.fault not in UPSTREAM_DID_NOT_RUN:
        _record_outcome(item, reply.error is not None)
    if reply.error is not None:
        return _handle_error_reply(state, now_ms, connection, session, request, reply)
    item.consecutive_busy_count = 0
    state.retry_budget = min(MAX_RETRY_BUDGET, state.retry_budget + RETRY_BUDGET_PER_ANSWER)
    took_ms = now_ms - pending.sent_ms
    item.latency_ms += LATENCY_WEIGHT * (took_ms - item.latency_ms)
    in_plain = connection.in_transaction and not session.is_read_only
    if pool.is_primary(state, item) and (in_plain or commits_writes(session, request)):
        _record_watermark(state, item.service, pending.sent_ms, reply)
    if request.statement.kind is StatementKind.COMMIT:
        session.connection = None
        connection.session = None
        connection.is_used = False
    if commits_writes(session, request) and not primary_leases.covers_commit(
        state, item.service, item.upstream, now_ms
    ):
        effects = commit_confirmations.await_confirmation(
            state, now_ms, item.upstream, request, reply
        )
    else:
        effects = commit_confirmations.acknowledge(state, now_ms, request, reply)
    return effects + _advance_connection(state, now_ms, connection)


def _record_outcome(item: UpstreamPool, failed: bool) -> None:
    """Update the share of statements that fail at an upstream, independent of its health probe."""
    item.failure_rate += FAILURE_WEIGHT * (failed - item.failure_rate)


def _handle_error_reply(
    state: GatewayState,
    now_ms: int,
    connection: Connection,
    session: Session,
    request: Request,
    reply: UpstreamReply,
) -> list[Effect]:
    """Retry a request that did not run or is a single read, or fail it with the error."""
    error = reply.error
    assert error is not None
    upstream = connection.upstream
    first = session.connection is None or not session.statements_run
    is_commit = request.statement.kind is StatementKind.COMMIT
    may_repeat = error.fault in UPSTREAM_DID_NOT_RUN and first and not is_commit
    may_repeat = may_repeat or (
        is_single_read(session, request) and request.attempts < max_attempts(state, request)
    )
    if session.connection == connection.number:
        session.connection = None
        connection.session = None
    if may_repeat and now_ms < request.deadline_ms:
        if error.fault not in UPSTREAM_DID_NOT_RUN:
            request.tried.add(upstream)
        effects = routing.retry_refused(state, now_ms, request, upstream, error)
        return effects + _advance_connection(state, now_ms, connection)
    effects = answers.fail(state, now_ms, request, error, reply.position)
    return effects + _advance_connection(state, now_ms, connection)


def _advance_connection(state: GatewayState, now_ms: int, connection: Connection) -> list[Effect]:
    """Send a connection's next request or release it, once all its statements are answered."""
    if connection.pending or connection.number not in state.connections:
        return []
    if connection.next_request is not None:
        return pool.send_next_request(state, now_ms, connection)
    if connection.session is not None:
        return []
    return pool.release(state, now_ms, connection)


def _record_watermark(
    state: GatewayState, service: str, sent_ms: int, reply: UpstreamReply
) -> None:
    upstream = state.primaries[service]
    if reply.position is None:
        return
    if not primary_leases.covers_primary(state, service, upstream, sent_ms):
        return
    history = state.watermarks.setdefault(service, WatermarkHistory())
    add_watermark(history, sent_ms, reply.position)


def _resolve_lost_request(
    state: GatewayState, now_ms: int, connection: Connection, request: Request
) -> list[Effect]:
    """Retry or fail a request whose connection ended before its answer."""
    session = state.sessions.get(request.session)
    if session is None or request.serial not in state.requests:
        return []
    if session.connection == connection.number:
        session.connection = None
    upstream = connection.upstream
    if session.state is TransactionState.IDLE:
        if request.is_write:
            error = Error(Fault.OUTCOME_UNKNOWN, f"{upstream} closed the connection")
            return answers.fail(state, now_ms, request, error)
        if request.attempts < max_attempts(state, request):
            return _retry_lost_request(state, now_ms, request, upstream)
        error = Error(Fault.BUSY, f"{upstream} closed the connection", routing.RETRY_AFTER_MS)
        return answers.fail(state, now_ms, request, error)
    if request.statement.kind is StatementKind.COMMIT and session.has_written:
        error = Error(Fault.OUTCOME_UNKNOWN, f"{upstream} closed the connection at the commit")
        return answers.fail(state, now_ms, request, error)
    if not session.statements_run and not request.is_write:
        return _retry_lost_request(state, now_ms, request, upstream)
    error = Error(Fault.ABORTED, f"{upstream} closed the connection and rolled back")
    return answers.fail(state, now_ms, request, error)


def _retry_lost_request(
    state: GatewayState, now_ms: int, request: Request, upstream: str
) -> list[Effect]:
    if request.serial not in state.requests:
        return []
    request.tried.add(upstream)
    error = Error(Fault.ABORTED, "the connection was lost")
    return routing.retry_refused(state, now_ms, request, upstream, error)


def _time_out(state: GatewayState, now_ms: int, request: Request) -> list[Effect]:
    session = state.sessions[request.session]
    if not request.sent_ms:
        text = (
            "no upstream accepted the statement in time; "
            f"last refusal: {request.last_refusal or 'none'}"
        )
        retry_after_ms = load_shedding.retry_after_ms(state, request, routing.RETRY_AFTER_MS)
        error = Error(Fault.BUSY, text, retry_after_ms)
        return routing.refuse(state, now_ms, request, error)
    text = f"no answer within {request.route.timeout_ms} ms"
    if now_ms < request.deadline_ms:
        text = f"no answer within {now_ms - request.received_ms} ms, and this gateway stops"
    error = Error(Fault.TIMEOUT, text)
    if commit_confirmations.is_waiting(state, request):
        text = f"no lease shows that {request.upstream} was the primary at the commit"
        error = Error(Fault.OUTCOME_UNKNOWN, text)
    number = session.connection
    session.connection = None
    effects = forwarding.send_end(state, session) + answers.fail(state, now_ms, request, error)
    connection = state.connections.get(number) if number is not None else None
    if connection is not None:
        effects += pool.close(state, connection)
    return effects
