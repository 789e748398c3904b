"""Requests that were forwarded to a connection holder, at the gateway of their session.

That gateway answers the client. If the holder doesn't answer, it only knows that the statement was
sent.
"""

from typing import Any

from ..messages import ForwardedEnd, ForwardedReply, ForwardedStatement
from ..statements import Error, Fault, StatementKind, TransactionState, UpstreamReply
from . import answers, commit_confirmations, holders, routing
from .effects import Effect, LogEvent, Send
from .requests import apply_success, is_single_read
from .state import GatewayState

MAX_UNDELIVERED_MS = 1_000  # messages to a gateway that is unreachable for longer are dropped
HOLDER_UNREACHABLE_MS = 200  # after being unreachable for so long a holder is backed off
HOLDER_TIMEOUT_MS = 900  # after so long without any answer; control removes a holder at 1,000 ms
OVERDUE_READ_MS = 500  # after so long without an answer a single read is sent to another holder


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
    # The holder may end before it has told control.
    commit_confirmations.remember_position(state, session, request, reply.position)
    apply_success(session, request, reply.position)
    if request.statement.kind is StatementKind.COMMIT:
        session.holder = ""
    passed = UpstreamReply(
        tuple(reply.rows), reply.proof, None, TransactionState.IDLE, reply.position
    )
    return answers.succeed(state, now_ms, request, passed)
