"""Forwarding: statements that another gateway of the data centre runs on its connections.

A statement is sent with the whole state of its session that it needs, so a connection holder keeps
a session only while a statement runs or a transaction is open. The gateway that the client is
connected to answers the client. If the holder doesn't answer, that gateway only knows that the
statement was sent.
"""

from typing import Any

from ..messages import ForwardedEnd, ForwardedReply, ForwardedStatement
from ..positions import Position
from ..statements import Error, Fault, StatementKind, TransactionState, UpstreamReply
from . import answers, holders, pool, routing
from .effects import AnswerStatement, CloseSession, Connect, Effect, LogEvent, Send
from .requests import apply_success, is_single_read, open_request
from .state import GatewayState, Request, Session

MAX_UNDELIVERED_MS = 1_000  # messages to a gateway that is unreachable for longer are dropped
HOLDER_UNREACHABLE_MS = 200  # after being unreachable for so long a holder is backed off
HOLDER_TIMEOUT_MS = 900  # after so long without any answer; control removes a holder at 1,000 ms
OVERDUE_READ_MS = 500  # after so long without an answer a single read is sent to another holder


def forward(state: GatewayState, now_ms: int, session: Session, request: Request) -> list[Effect]:
    """Send a request to the gateway that holds connections for its service."""
    address = session.holder or holders.holder(state, now_ms, request.route.service)
    if session.state is TransactionState.OPEN:
        session.holder = address
    statement = request.statement
    request.forwarded_to = address
    request.sent_ms = now_ms
    request.upstream = address
    request.attempts += 1
    message = ForwardedStatement(
        state.settings.address,
        state.settings.boot,
        session.number,
        request.serial,
        statement,
        request.route,
        session.state.value,
        session.is_read_only,
        session.state is TransactionState.OPEN and session.statements_run > 0,
        session.values,
        session.prepared.get(statement.name),
        session.position,
        state.configuration.version,
        max(0, request.deadline_ms - now_ms),
    )
    return [Send(address, message)]


def send_end(state: GatewayState, session: Session) -> list[Effect]:
    """Notify the holder of a session's transaction that it is over, so that it is rolled back."""
    if not session.holder:
        return []
    address, session.holder = session.holder, ""
    message = ForwardedEnd(state.settings.address, state.settings.boot, session.number)
    return [Send(address, message)]


def check_overdue(state: GatewayState, now_ms: int) -> list[Effect]:
    """Back off the holders that don't answer, and send their single reads to others."""
    effects: list[Effect] = []
    for request in list(state.requests.values()):
        if not request.forwarded_to or now_ms - request.sent_ms < OVERDUE_READ_MS:
            continue
        # A holder that answers other requests is healthy; it retries overdue reads itself.
        if state.control.holder_last_received_ms.get(request.forwarded_to, 0) >= request.sent_ms:
            continue
        if now_ms - request.sent_ms >= HOLDER_TIMEOUT_MS:
            state.control.backoff_until_ms[request.forwarded_to] = (
                now_ms + holders.HOLDER_BACKOFF_MS
            )
        single_read = is_single_read(state.sessions[request.session], request)
        if not single_read or request.attempts >= routing.MAX_READ_ATTEMPTS:
            continue
        if state.retry_budget < 1:
            continue
        state.retry_budget -= 1
        state.control.backoff_until_ms[request.forwarded_to] = now_ms + OVERDUE_READ_MS
        inputs: dict[str, object] = {"holder": request.forwarded_to}
        log_event = LogEvent(
            "warning",
            "holder_silent",
            request.statement.request_id,
            request.route.workspace,
            inputs,
            "sent to another",
        )
        request.forwarded_to = ""
        effects += [log_event, *routing.route_request(state, now_ms, request)]
    return effects


def preconnect(state: GatewayState) -> list[Effect]:
    """Connect in advance to this gateway's holders, or as a holder to the other gateways."""
    services = state.configuration.services
    addresses = {
        address for name in services for address in holders.candidates_for(state, name)[:1]
    }
    if any(holders.are_needed(state, name) and holders.holds(state, name) for name in services):
        addresses.update(state.control.neighbours)
    addresses.discard(state.settings.address)
    return [Connect(address) for address in sorted(addresses)]


def handle_undelivered(
    state: GatewayState, now_ms: int, address: str, message: Any
) -> list[Effect]:
    """Queue a message that could not be sent because the other gateway isn't connected."""
    if isinstance(message, ForwardedStatement):
        return _requeue_undelivered(state, now_ms, address, message)
    if isinstance(message, ForwardedReply | ForwardedEnd):
        since_ms = state.control.undelivered_since_ms.setdefault(address, now_ms)
        if now_ms - since_ms < MAX_UNDELIVERED_MS:
            state.unsent_messages.append(Send(address, message))
    return []


def resend_undelivered(state: GatewayState) -> list[Effect]:
    """Return the messages that could not be sent before, to be sent again."""
    unsent_messages, state.unsent_messages = state.unsent_messages, []
    return list(unsent_messages)


def _requeue_undelivered(
    state: GatewayState, now_ms: int, address: str, message: ForwardedStatement
) -> list[Effect]:
    """Queue a statement again whose holder isn't connected; nothing of it was sent."""
    request = state.requests.get(message.number)
    if request is None or request.forwarded_to != address or not request.sent_ms:
        return []
    since_ms = state.control.undelivered_since_ms.setdefault(address, now_ms)
    if now_ms - since_ms >= HOLDER_UNREACHABLE_MS:
        state.control.backoff_until_ms[address] = now_ms + holders.HOLDER_BACKOFF_MS
    request.forwarded_to = request.upstream = ""
    request.sent_ms = 0
    request.attempts -= 1
    request.last_refusal = f"{address}: not connected"
    session = state.sessions[request.session]
    if session.state is TransactionState.OPEN and not session.statements_run:
        session.holder = ""
    return routing.enqueue(state, now_ms, request)


def handle_reply(state: GatewayState, now_ms: int, reply: ForwardedReply) -> list[Effect]:
    """Answer the client with a holder's answer."""
    state.control.holder_last_received_ms[reply.holder] = now_ms
    state.control.undelivered_since_ms.pop(reply.holder, None)
    request = state.requests.get(reply.number)
    if request is None or request.forwarded_to != reply.holder:
        return []
    if reply.boot != state.settings.boot:
        return []
    session = state.sessions[request.session]
    if reply.fault:
        session.holder = ""
        error = Error(Fault(reply.fault), reply.text, reply.retry_after_ms)
        return answers.fail(state, now_ms, request, error, reply.position)
    apply_success(session, request, reply.position)
    if request.statement.kind is StatementKind.COMMIT:
        session.holder = ""
    passed = UpstreamReply(
        tuple(reply.rows), reply.proof, None, TransactionState.IDLE, reply.position
    )
    return answers.succeed(state, now_ms, request, passed)


def handle_statement(state: GatewayState, now_ms: int, message: ForwardedStatement) -> list[Effect]:
    """Run a statement for another gateway."""
    key = (message.origin, message.boot, message.session)
    number = state.remote_sessions.get(key)
    state.control.undelivered_since_ms.pop(message.origin, None)
    known = state.sessions.get(number) if number is not None else None
    effects: list[Effect] = []
    if known is not None and known.current is not None:
        # The client's last statement timed out at its gateway, and the client sent the next one.
        remove_session(state, known)
        effects += routing.abort_session(state, now_ms, known)
        known = None
    if message.is_started and (known is None or known.connection is None):
        error = Error(Fault.ABORTED, "the transaction was rolled back")
        reply = _make_reply(state, message.boot, message.number, (), "", error, message.position)
        return [*effects, Send(message.origin, reply)]
    session = known or _open_remote_session(state, key)
    # The message that ended the session's last transaction may have been lost.
    if not message.is_started:
        effects += pool.release_session(state, now_ms, session)
    state.min_transaction_version = max(
        state.min_transaction_version, message.configuration_version
    )
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
