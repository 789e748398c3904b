"""Forwarding: statements that another gateway of the data centre runs on its connections.

A statement travels with everything that its session is made of, so the holder keeps a session only
while a statement runs or a transaction is open. The gateway that the client is connected to answers
the client; where the holder's answer doesn't come, it only knows that the statement was sent.
"""

from ..messages import ForwardedEnd, ForwardedReply, ForwardedStatement
from ..statements import Error, Fault, StatementKind, TransactionState, UpstreamReply
from . import answers, holders, placement, pool
from .effects import AnswerStatement, CloseSession, Decision, Effect, Send
from .state import GatewayState, PreparedStatement, Request, Session

LATE_READ_MS = 500  # after so long without an answer a single read is sent to another holder
READ_ATTEMPTS = 3  # how often a single read is sent


def forward(state: GatewayState, now_ms: int, session: Session, request: Request) -> list[Effect]:
    """Send a request to the gateway that holds connections for its service."""
    address = session.holder or holders.holder(state, now_ms, request.route.service)
    if session.state is TransactionState.OPEN:
        session.holder = address
    statement = request.statement
    prepared = session.prepared.get(statement.name)
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
        prepared.shape if prepared else "",
        bool(prepared and prepared.is_write),
        session.position,
        state.configuration.version,
        max(0, request.deadline_ms - now_ms),
    )
    return [Send(address, message)]


def end(state: GatewayState, session: Session) -> list[Effect]:
    """Tell a holder that a session's transaction is over, so that it rolls back."""
    if not session.holder:
        return []
    address, session.holder = session.holder, ""
    message = ForwardedEnd(state.settings.address, state.settings.boot, session.number)
    return [Send(address, message)]


def check_late(state: GatewayState, now_ms: int) -> list[Effect]:
    """Send the single reads elsewhere whose holder doesn't answer."""
    effects: list[Effect] = []
    for request in list(state.requests.values()):
        if not request.forwarded_to or now_ms - request.sent_ms < LATE_READ_MS:
            continue
        state.control.avoid_until_ms[request.forwarded_to] = now_ms + holders.AVOID_MS
        session = state.sessions[request.session]
        single_read = session.state is TransactionState.IDLE and not request.is_write
        if not single_read or request.attempts >= READ_ATTEMPTS:
            continue
        inputs: dict[str, object] = {"holder": request.forwarded_to}
        decision = Decision(
            "warning",
            "holder_silent",
            request.statement.request_id,
            request.route.workspace,
            inputs,
            "sent to another",
        )
        request.forwarded_to = ""
        effects += [decision, *placement.place(state, now_ms, request)]
    return effects


def handle_reply(state: GatewayState, now_ms: int, reply: ForwardedReply) -> list[Effect]:
    """Pass a holder's answer on to the client."""
    request = state.requests.get(reply.number)
    if request is None or request.forwarded_to != reply.holder:
        return []
    session = state.sessions[request.session]
    if reply.fault:
        session.holder = ""
        error = Error(Fault(reply.fault), reply.text, reply.retry_after_ms)
        return answers.fail(state, now_ms, request, error, reply.position)
    is_commit = request.statement.kind is StatementKind.COMMIT
    single = session.state is TransactionState.IDLE
    if reply.position is not None:
        if (is_commit and session.wrote) or (single and request.is_write):
            session.position = max(session.position or reply.position, reply.position)
    if is_commit:
        session.state = TransactionState.IDLE
        session.holder = ""
    elif not single:
        session.statements_run += 1
        session.wrote = session.wrote or request.is_write
    passed = UpstreamReply(
        tuple(reply.rows), reply.proof, None, TransactionState.IDLE, reply.position
    )
    return answers.succeed(state, now_ms, request, passed)


def handle_statement(state: GatewayState, now_ms: int, message: ForwardedStatement) -> list[Effect]:
    """Run a statement for another gateway."""
    key = (message.origin, message.boot, message.session)
    number = state.remote.get(key)
    known = state.sessions.get(number) if number is not None else None
    if known is not None and known.current is not None:
        return []
    if message.is_started and (known is None or known.connection is None):
        return [_refusal(state, message, Fault.ABORTED, "the transaction was rolled back")]
    session = known or _open(state, key)
    state.begun_floor = max(state.begun_floor, message.configuration_version)
    session.workspace = message.route.workspace
    session.route = message.route
    session.state = TransactionState(message.state)
    session.is_read_only = message.is_read_only
    session.values = message.values
    session.position = message.position
    session.active_ms = now_ms
    if message.shape:
        prepared = PreparedStatement(message.shape, message.is_prepared_write)
        session.prepared = {message.statement.name: prepared}
    request = Request(
        session.number,
        message.statement,
        message.route,
        now_ms,
        now_ms + message.left_ms,
        state.next_serial,
        origin_number=message.number,
    )
    state.next_serial += 1
    request.is_write = _is_write(message)
    session.current = request
    state.requests[request.serial] = request
    session.origin_number = message.number
    return placement.place(state, now_ms, request)


def handle_end(state: GatewayState, now_ms: int, message: ForwardedEnd) -> list[Effect]:
    """Roll back what a session of another gateway has open here."""
    number = state.remote.pop((message.origin, message.boot, message.session), None)
    session = state.sessions.pop(number, None) if number is not None else None
    if session is None:
        return []
    if session.current is not None:
        return placement.abandon(state, now_ms, session, session.current)
    return pool.release_session(state, now_ms, session)


def pass_back(state: GatewayState, effects: list[Effect]) -> list[Effect]:
    """Turn the answers to other gateways' sessions into messages."""
    passed: list[Effect] = []
    for effect in effects:
        if isinstance(effect, AnswerStatement) and effect.session < 0:
            passed += _reply(state, effect)
            continue
        if isinstance(effect, CloseSession) and effect.session < 0:
            continue
        passed.append(effect)
    return passed


def _reply(state: GatewayState, answer: AnswerStatement) -> list[Effect]:
    session = state.sessions.get(answer.session)
    if session is None or session.origin is None:
        return []
    error = answer.error
    reply = ForwardedReply(
        state.settings.address,
        session.origin_number,
        list(answer.rows),
        answer.proof,
        error.fault.value if error else "",
        error.text if error else "",
        error.retry_after_ms if error else 0,
        answer.position,
    )
    address = session.origin[0]
    if error is not None or session.state is not TransactionState.OPEN:
        del state.sessions[session.number]
        state.remote.pop(session.origin, None)
    return [Send(address, reply)]


def _refusal(state: GatewayState, message: ForwardedStatement, fault: Fault, text: str) -> Send:
    reply = ForwardedReply(
        state.settings.address, message.number, [], "", fault.value, text, 0, message.position
    )
    return Send(message.origin, reply)


def _open(state: GatewayState, key: tuple[str, str, int]) -> Session:
    state.next_remote -= 1
    session = Session(state.next_remote, "", origin=key)
    state.sessions[session.number] = session
    state.remote[key] = session.number
    return session


def _is_write(message: ForwardedStatement) -> bool:
    if message.statement.kind is StatementKind.EXECUTE:
        return message.is_prepared_write
    return message.statement.kind is StatementKind.WRITE
