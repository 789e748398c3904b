"""Sessions: their values, prepared statements and transactions.

The gateway stores a session's values and prepared statements, and sends them upstream only with
the first statement that needs them, so an idle session uses no upstream connection. A BEGIN is
answered at once; the transaction begins upstream with its first statement.
"""

from ..routes import Route
from ..statements import (
    Error,
    Fault,
    PreparedStatement,
    Statement,
    StatementKind,
    TransactionState,
)
from . import answers, planned_stop, pool, quotas, remote_sessions, routing, tenants
from .effects import AcceptSession, CloseSession, Effect, LogEvent, RefuseSession
from .events import SessionClosed, SessionIdle, SessionOpened, StatementReceived
from .requests import is_write, open_request
from .state import GatewayState, Session

MAX_WAITING_STATEMENTS = 32  # statements that a client may pipeline on one session
MAX_PREPARED_STATEMENTS = 256  # of one session
MAX_VALUES = 64  # of one session
# Of the names and texts that one session stores: one statement of the largest size, 1 MiB, and as
# much again in smaller ones.
MAX_STORED_BYTES = 2 * 1024 * 1024

SHOWN_NAME_CHARACTERS = 100  # of a client's name in an error text

UPSTREAM_KINDS = frozenset(
    {StatementKind.READ, StatementKind.WRITE, StatementKind.EXECUTE, StatementKind.COMMIT}
)

# Statements that only prepare a session for its first operation.
SETUP_KINDS = frozenset({StatementKind.SET, StatementKind.PREPARE, StatementKind.DEALLOCATE})

# Statements before which the key is checked: the first of an operation, and all that go upstream.
AUTHENTICATED_KINDS = UPSTREAM_KINDS | {StatementKind.BEGIN}


def handle_opened(state: GatewayState, event: SessionOpened) -> list[Effect]:
    """Open a session, or refuse it if its workspace has no route or its key is unknown.

    Before the first configuration has arrived, its first statement is checked instead.
    """
    route = state.configuration.routes.get(event.workspace)
    key = tenants.kept_key(event.key)
    session = Session(event.session, event.workspace, key, last_active_ms=event.now_ms)
    if state.configuration.version and route is None:
        return [RefuseSession(event.session, _unknown_workspace(event.workspace))]
    fault = tenants.startup_fault(state, session, route) if route is not None else None
    if fault is None and planned_stop.refuses_work(state, event.now_ms):
        fault = planned_stop.refusal(rolls_back=False)
    if fault is not None:
        inputs: dict[str, object] = {"statement": "startup", "text": fault.text}
        outcome = fault.fault.value
        log_event = LogEvent("warning", "refused", "", event.workspace, inputs, outcome)
        return [log_event, RefuseSession(event.session, fault)]
    state.sessions[event.session] = session
    return [AcceptSession(event.session)]


def handle_statement(state: GatewayState, event: StatementReceived) -> list[Effect]:
    """Run a statement, or queue it in its session until the current one is answered."""
    session = state.sessions.get(event.session)
    if session is None:
        return []
    if session.current is None and state.configuration.version:
        return _run_statement(state, event.now_ms, session, event.statement)
    if not state.configuration.version:
        session.last_active_ms = event.now_ms
    if len(session.waiting) >= MAX_WAITING_STATEMENTS:
        return _close_session(state, event.now_ms, session)
    session.waiting.append(event.statement)
    return []


def run_waiting(state: GatewayState, now_ms: int, session: Session) -> list[Effect]:
    """Run a session's waiting statements until one has to wait for an upstream."""
    effects: list[Effect] = []
    while session.waiting and session.current is None and state.configuration.version:
        effects += _run_statement(state, now_ms, session, session.waiting.popleft())
    return effects


def handle_closed(state: GatewayState, event: SessionClosed) -> list[Effect]:
    """Remove a session and roll back its transaction."""
    session = state.sessions.pop(event.session, None)
    if session is None:
        return []
    return routing.abort_session(state, event.now_ms, session)


def check_idle(state: GatewayState, now_ms: int) -> list[Effect]:
    """Roll back the transactions that are idle for longer than the configuration allows."""
    limit_ms = state.configuration.transaction_idle_ms
    effects: list[Effect] = []
    for connection in list(state.connections.values()):
        if connection.session is None:
            continue
        session = state.sessions.get(connection.session)
        if session is None or session.current is not None:
            continue
        if now_ms - session.last_active_ms < limit_ms:
            continue
        session.state = TransactionState.FAILED
        effects += pool.release_session(state, now_ms, session)
        remote_sessions.remove_session(state, session)
    return effects


def check_unconfigured(state: GatewayState, now_ms: int) -> list[Effect]:
    """Refuse the statements that have waited too long for the first configuration.

    At the end of a planned stop all are refused, since it may not arrive in time.
    """
    if state.configuration.version:
        return []
    is_ending = planned_stop.refuses_work(state, now_ms)
    effects: list[Effect] = []
    for session in state.sessions.values():
        is_overdue = now_ms - session.last_active_ms >= state.settings.configuration_wait_ms
        due_count = len(session.waiting) if is_ending else min(is_overdue, len(session.waiting))
        for _ in range(due_count):
            statement = session.waiting.popleft()
            text = "this gateway has not received a configuration yet"
            error = Error(Fault.BUSY, text, routing.RETRY_AFTER_MS)
            effects += answers.refuse_local(session, statement.kind, statement.request_id, error)
    return effects


def handle_idle(state: GatewayState, event: SessionIdle) -> list[Effect]:
    """Close a session that a planned stop has finished, unless it is busy again."""
    session = state.sessions.get(event.session)
    if session is None or not planned_stop.may_close(state, event.now_ms, session):
        return []
    log_events = _note_cut_off(state, event.now_ms, session)
    return log_events + _close_session(state, event.now_ms, session)


def _run_statement(
    state: GatewayState, now_ms: int, session: Session, statement: Statement
) -> list[Effect]:
    session.last_active_ms = now_ms
    session.is_new = session.is_new and statement.kind in SETUP_KINDS
    if statement.kind in AUTHENTICATED_KINDS or not session.tenant:
        fault = tenants.statement_fault(state, session)
        if fault is not None:
            return _refuse_key(state, now_ms, session, statement, fault)
    if statement.kind in UPSTREAM_KINDS:
        return _run_upstream(state, now_ms, session, statement)
    fault = _local_fault(state, session, statement)
    if fault is not None:
        return answers.refuse_local(session, statement.kind, statement.request_id, fault)
    if statement.kind is StatementKind.ROLLBACK:
        session.state = TransactionState.IDLE
        effects = routing.end_transaction(state, now_ms, session)
        return answers.answer_local(session) + effects
    if statement.kind is StatementKind.BEGIN:
        if planned_stop.refuses_transactions(state, now_ms):
            return _refuse_at_stop(state, now_ms, session, statement)
        session.state = TransactionState.OPEN
        session.is_read_only = statement.is_read_only
        session.has_written = False
        session.statements_run = 0
    if statement.kind is StatementKind.SET:
        session.stored_bytes += _stored_change(session, statement)
        session.values[statement.name] = statement.argument
    if statement.kind is StatementKind.PREPARE:
        session.stored_bytes += _stored_change(session, statement)
        prepared = PreparedStatement(statement.argument, statement.is_write)
        session.prepared[statement.name] = prepared
    if statement.kind is StatementKind.DEALLOCATE:
        prepared = session.prepared.pop(statement.name)
        session.stored_bytes -= len(statement.name) + len(prepared.shape)
    return answers.answer_local(session)


def _refuse_key(
    state: GatewayState, now_ms: int, session: Session, statement: Statement, fault: Error
) -> list[Effect]:
    """Refuse a statement for its session's key: roll back, answer and close the session."""
    effects = routing.end_transaction(state, now_ms, session)
    session.state = TransactionState.IDLE
    effects += answers.refuse_local(session, statement.kind, statement.request_id, fault)
    return effects + tenants.close_session(state, session)


def _local_fault(state: GatewayState, session: Session, statement: Statement) -> Error | None:
    """Return why a statement that needs no upstream is refused, or None."""
    kind = statement.kind
    if kind is StatementKind.UNREADABLE:
        return Error(Fault.BAD_REQUEST, f"the statement can't be read: {statement.argument}")
    if kind is StatementKind.ROLLBACK:
        return None
    if session.state is TransactionState.FAILED:
        return Error(Fault.BAD_REQUEST, "the transaction has failed; end it with ROLLBACK")
    if kind is StatementKind.BEGIN and session.state is TransactionState.OPEN:
        return Error(Fault.BAD_REQUEST, "a transaction is open already; end it first")
    if kind is StatementKind.BEGIN and session.workspace not in state.configuration.routes:
        return _unknown_workspace(session.workspace)
    if kind is StatementKind.DEALLOCATE and statement.name not in session.prepared:
        return Error(
            Fault.UNKNOWN_STATEMENT,
            f"no prepared statement {statement.name[:SHOWN_NAME_CHARACTERS]}",
        )
    if kind is StatementKind.PREPARE and len(session.prepared) >= MAX_PREPARED_STATEMENTS:
        return Error(
            Fault.BAD_REQUEST,
            f"a session may have {MAX_PREPARED_STATEMENTS} prepared statements at most",
        )
    if kind is StatementKind.SET and len(session.values) >= MAX_VALUES:
        return Error(Fault.BAD_REQUEST, f"a session may have {MAX_VALUES} values at most")
    if kind in (StatementKind.SET, StatementKind.PREPARE):
        if session.stored_bytes + _stored_change(session, statement) > MAX_STORED_BYTES:
            text = f"a session may store {MAX_STORED_BYTES} bytes of values and statements at most"
            return Error(Fault.BAD_REQUEST, text)
    return None


def held_bytes(session: Session) -> int:
    """Return the size of what a session stores and of its statements that have no answer yet."""
    waiting = sum(len(item.text) + len(item.argument) for item in session.waiting)
    current = session.current.statement if session.current is not None else None
    running = len(current.text) + len(current.argument) if current is not None else 0
    return session.stored_bytes + waiting + running


def _stored_change(session: Session, statement: Statement) -> int:
    """Return by how many bytes a SET or PREPARE changes what the session stores."""
    known = 0
    if statement.kind is StatementKind.SET and statement.name in session.values:
        known = len(statement.name) + len(session.values[statement.name])
    if statement.kind is StatementKind.PREPARE and statement.name in session.prepared:
        known = len(statement.name) + len(session.prepared[statement.name].shape)
    return len(statement.name) + len(statement.argument) - known


def _run_upstream(
    state: GatewayState, now_ms: int, session: Session, statement: Statement
) -> list[Effect]:
    fault = _upstream_fault(session, statement)
    if fault is not None:
        effects: list[Effect] = []
        if statement.kind is StatementKind.COMMIT:
            session.state = TransactionState.IDLE
        if session.state is not TransactionState.OPEN:
            effects = routing.end_transaction(state, now_ms, session)
        refusal = answers.refuse_local(session, statement.kind, statement.request_id, fault)
        return refusal + effects
    if planned_stop.refuses_work(state, now_ms):
        return _refuse_at_stop(state, now_ms, session, statement)
    route = _route(state, session)
    if route is None:
        fault = _unknown_workspace(session.workspace)
        return _refuse_and_roll_back(state, now_ms, session, statement, fault)
    request = open_request(state, now_ms, session, statement, route, route.timeout_ms)
    return quotas.start_operation(state, now_ms, session, request)


def _refuse_at_stop(
    state: GatewayState, now_ms: int, session: Session, statement: Statement
) -> list[Effect]:
    """Refuse a statement that might not be answered before the process ends."""
    error = planned_stop.refusal(rolls_back=session.state is TransactionState.OPEN)
    return _refuse_and_roll_back(state, now_ms, session, statement, error)


def _refuse_and_roll_back(
    state: GatewayState, now_ms: int, session: Session, statement: Statement, error: Error
) -> list[Effect]:
    """Refuse a statement; an open transaction is rolled back, and a COMMIT ends it."""
    effects = routing.end_transaction(state, now_ms, session)
    if session.state is TransactionState.OPEN:
        is_commit = statement.kind is StatementKind.COMMIT
        session.state = TransactionState.IDLE if is_commit else TransactionState.FAILED
    return effects + answers.refuse_local(session, statement.kind, statement.request_id, error)


def _upstream_fault(session: Session, statement: Statement) -> Error | None:
    if statement.kind is StatementKind.COMMIT and session.state is TransactionState.IDLE:
        return Error(Fault.BAD_REQUEST, "no transaction is open")
    if session.state is TransactionState.FAILED:
        if statement.kind is StatementKind.COMMIT:
            return Error(Fault.ABORTED, "the transaction had failed and was rolled back")
        return Error(Fault.BAD_REQUEST, "the transaction has failed; end it with ROLLBACK")
    if statement.kind is StatementKind.EXECUTE and statement.name not in session.prepared:
        if session.state is TransactionState.OPEN:
            session.state = TransactionState.FAILED
        return Error(
            Fault.UNKNOWN_STATEMENT,
            f"no prepared statement {statement.name[:SHOWN_NAME_CHARACTERS]}",
        )
    if is_write(session, statement) and session.state is TransactionState.OPEN:
        if session.is_read_only:
            session.state = TransactionState.FAILED
            return Error(Fault.READ_ONLY, "the transaction was begun to read only")
    return None


def _route(state: GatewayState, session: Session) -> Route | None:
    """Return a session's route; a transaction keeps the route of its first statement upstream."""
    is_started = session.connection is not None or bool(session.holder)
    if session.state is TransactionState.OPEN and is_started:
        return session.route
    session.route = state.configuration.routes.get(session.workspace)
    return session.route


def _note_cut_off(state: GatewayState, now_ms: int, session: Session) -> list[Effect]:
    """Return the log event of a session that a planned stop closes in an open transaction."""
    if session.state is not TransactionState.OPEN:
        return []
    draining_since_ms = state.draining_since_ms
    inputs: dict[str, object] = {
        "session": session.number,
        "statements_run": session.statements_run,
        "has_written": session.has_written,
        "holder": session.holder,
        "idle_ms": now_ms - session.last_active_ms,
        "draining_ms": now_ms - draining_since_ms if draining_since_ms is not None else None,
        "grace_ms": state.drain_grace_ms,
    }
    return [LogEvent("warning", "session_cut_off", "", session.workspace, inputs, "closed")]


def _close_session(state: GatewayState, now_ms: int, session: Session) -> list[Effect]:
    del state.sessions[session.number]
    return [CloseSession(session.number), *routing.abort_session(state, now_ms, session)]


def _unknown_workspace(workspace: str) -> Error:
    return Error(Fault.UNKNOWN_WORKSPACE, f"no route for workspace {workspace}; check the name")
