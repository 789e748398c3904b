"""Sessions of other gateways, whose statements this gateway runs as their connection holder."""

from ..messages import ForwardedEnd, ForwardedReply, ForwardedStatement
from ..positions import Position
from ..statements import Error, Fault, TransactionState
from . import planned_stop, pool, routing
from .effects import AnswerStatement, CloseSession, Effect, Send
from .requests import open_request
from .state import GatewayState, Session


def handle_statement(state: GatewayState, now_ms: int, message: ForwardedStatement) -> list[Effect]:
    """Run a statement for another gateway."""
    key = (message.origin, message.boot, message.session)
    number = state.remote_sessions.get(key)
    state.control.undelivered_since_ms.pop(message.origin, None)
    known = state.sessions.get(number) if number is not None else None
    effects: list[Effect] = []
    if known is not None and (known.current is not None or known.tenant != message.tenant):
        # The client's last statement timed out at its gateway, and the client sent the next one.
        # Or the session runs as another tenant now, which can't use its transaction's connection.
        remove_session(state, known)
        effects += routing.abort_session(state, now_ms, known)
        known = None
    error: Error | None = None
    if message.is_started and (known is None or known.connection is None):
        error = Error(Fault.ABORTED, "the transaction was rolled back")
    elif planned_stop.refuses_work(state, now_ms):
        error = planned_stop.refusal(rolls_back=message.is_started)
        if known is not None:
            remove_session(state, known)
            effects += routing.abort_session(state, now_ms, known)
    if error is not None:
        reply = _make_reply(state, message.boot, message.number, (), "", error, message.position)
        return [*effects, Send(message.origin, reply)]
    session = known or _open_remote_session(state, key)
    # The message that ended the session's last transaction may have been lost.
    if not message.is_started:
        effects += pool.release_session(state, now_ms, session)
    state.min_transaction_version = max(
        state.min_transaction_version, message.configuration_version
    )
    session.configuration_version = message.configuration_version
    session.tenant = message.tenant
    session.workspace = message.route.workspace
    session.route = message.route
    session.state = TransactionState(message.state)
    session.is_read_only = message.is_read_only
    session.values = message.values
    session.position = message.position
    session.last_active_ms = now_ms
    session.origin_request_serial = message.number
    if message.prepared is not None:
        session.prepared = {message.statement.name: message.prepared}
    request = open_request(
        state, now_ms, session, message.statement, message.route, message.left_ms
    )
    return effects + routing.route_request(state, now_ms, request)


def handle_end(state: GatewayState, now_ms: int, message: ForwardedEnd) -> list[Effect]:
    """Roll back the transaction that a session of another gateway has open here."""
    number = state.remote_sessions.get((message.origin, message.boot, message.session))
    session = state.sessions.get(number) if number is not None else None
    if session is None:
        return []
    remove_session(state, session)
    return routing.abort_session(state, now_ms, session)


def remove_session(state: GatewayState, session: Session) -> None:
    """Remove a session of another gateway; a session of this gateway's clients stays."""
    if session.origin is None:
        return
    del state.sessions[session.number]
    del state.remote_sessions[session.origin]


def forward_answers(state: GatewayState, effects: list[Effect]) -> list[Effect]:
    """Replace the answers to other gateways' sessions by messages to those gateways."""
    forwarded: list[Effect] = []
    for effect in effects:
        if isinstance(effect, AnswerStatement) and effect.session < 0:
            forwarded += _forward_answer(state, effect)
            continue
        if isinstance(effect, CloseSession) and effect.session < 0:
            continue
        forwarded.append(effect)
    return forwarded


def _forward_answer(state: GatewayState, answer: AnswerStatement) -> list[Effect]:
    session = state.sessions.get(answer.session)
    if session is None or session.origin is None:
        return []
    origin, boot, _ = session.origin
    reply = _make_reply(
        state,
        boot,
        session.origin_request_serial,
        answer.rows,
        answer.proof,
        answer.error,
        answer.position,
    )
    if answer.error is not None or session.state is not TransactionState.OPEN:
        remove_session(state, session)
    return [Send(origin, reply)]


def _make_reply(
    state: GatewayState,
    boot: str,
    number: int,
    rows: tuple[str, ...],
    proof: str,
    error: Error | None,
    position: Position | None,
) -> ForwardedReply:
    return ForwardedReply(
        state.settings.address,
        boot,
        number,
        list(rows),
        proof,
        error.fault.value if error else "",
        error.text if error else "",
        error.retry_after_ms if error else 0,
        position,
    )


def _open_remote_session(state: GatewayState, key: tuple[str, str, int]) -> Session:
    state.next_remote_session -= 1
    session = Session(state.next_remote_session, "", origin=key)
    state.sessions[session.number] = session
    state.remote_sessions[key] = session.number
    return session
