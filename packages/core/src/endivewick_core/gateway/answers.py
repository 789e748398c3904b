"""Answers to sessions, with the effects that count them and log failures and late answers."""

from ..positions import Position
from ..statements import Error, Fault, StatementKind, TransactionState, UpstreamReply
from . import tenants
from .effects import AnswerStatement, Effect, LogEvent, StatementServed
from .state import GatewayState, Request, Session


def answer_local(session: Session) -> list[Effect]:
    """Answer a statement that needs no upstream with success."""
    return [AnswerStatement(session.number, (), "", None, session.state, session.position)]


def refuse_local(
    session: Session, statement: StatementKind, request_id: str, error: Error
) -> list[Effect]:
    """Refuse a statement that was not sent upstream."""
    inputs: dict[str, object] = {"statement": statement.value, "text": error.text}
    return [
        LogEvent("warning", "refused", request_id, session.workspace, inputs, error.fault.value),
        AnswerStatement(session.number, (), "", error, session.state, session.position),
    ]


def succeed(
    state: GatewayState, now_ms: int, request: Request, reply: UpstreamReply
) -> list[Effect]:
    """Answer a request with an upstream's success."""
    session = state.sessions[request.session]
    state.requests.pop(request.serial, None)
    session.current = None
    session.last_active_ms = now_ms
    effects: list[Effect] = [
        AnswerStatement(
            session.number, reply.rows, reply.proof, None, session.state, reply.position
        ),
        _served(now_ms, request, "ok"),
    ]
    late_ms = now_ms - request.received_ms - request.route.objective_ms
    if late_ms > 0:
        effects.append(_log_event(state, "warning", "answered_late", now_ms, request, "ok"))
    state.follow_up.sessions.append(session)
    return effects


def fail(
    state: GatewayState,
    now_ms: int,
    request: Request,
    error: Error,
    position: Position | None = None,
) -> list[Effect]:
    """Answer a request with an error; an open transaction fails with it.

    A refusal of its session's key ends the transaction and closes the session.
    """
    session = state.sessions.get(request.session)
    if session is None or session.current is not request:
        return []
    state.requests.pop(request.serial, None)
    session.current = None
    session.last_active_ms = now_ms
    is_refused_key = error.fault is Fault.UNAUTHENTICATED
    ended = request.statement.kind is StatementKind.COMMIT or is_refused_key
    if ended:
        session.state = TransactionState.IDLE
    elif session.state is TransactionState.OPEN:
        session.state = TransactionState.FAILED
    effects: list[Effect] = [
        _log_event(state, "warning", "failed", now_ms, request, error.fault.value, error),
        AnswerStatement(session.number, (), "", error, session.state, position or session.position),
        _served(now_ms, request, error.fault.value),
    ]
    if is_refused_key:
        return effects + tenants.close_session(state, session)
    state.follow_up.sessions.append(session)
    return effects


def _served(now_ms: int, request: Request, outcome: str) -> StatementServed:
    kind = request.statement.kind.value
    return StatementServed(request.route.workspace, kind, outcome, now_ms - request.received_ms)


def _log_event(
    state: GatewayState,
    level: str,
    event: str,
    now_ms: int,
    request: Request,
    outcome: str,
    error: Error | None = None,
) -> LogEvent:
    service = request.route.service
    history = state.watermarks.get(service)
    newest = history.newest if history is not None else None
    last_received_ms = state.control.last_received_ms
    inputs: dict[str, object] = {
        "statement": request.statement.kind.value,
        "service": service,
        "freshness": request.route.freshness.value,
        "waited_ms": now_ms - request.received_ms,
        "sent_ms_ago": now_ms - request.sent_ms if request.sent_ms else None,
        "upstream": request.upstream,
        "wait_for": request.wait_for,
        "primary": state.primaries.get(service, ""),
        "watermark_age_ms": now_ms - newest.as_of_ms if newest else None,
        "configuration": state.configuration.version,
        "control_heard_ms_ago": now_ms - last_received_ms if last_received_ms is not None else None,
        "attempts": request.attempts,
        "tried": sorted(request.tried),
        "last_refusal": request.last_refusal,
    }
    if request.tenant:
        inputs["tenant"] = request.tenant
    if error is not None:
        inputs["text"] = error.text
    workspace = request.route.workspace
    return LogEvent(level, event, request.statement.request_id, workspace, inputs, outcome)
