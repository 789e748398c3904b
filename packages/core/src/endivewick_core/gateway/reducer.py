"""The reducer of a gateway: every event is handled by ``reduce``."""

from typing import Any

from ..messages import (
    DirectoryAnswer,
    DirectoryQuestion,
    ForwardedEnd,
    ForwardedReply,
    ForwardedStatement,
    PrimaryLeaseAnswer,
    QuotaAnswer,
    QuotaQuestion,
)
from . import (
    control_link,
    forwarded_requests,
    forwarding,
    maintenance,
    overdue,
    planned_stop,
    quotas,
    remote_sessions,
    results,
    routing,
    sessions,
)
from .effects import Effect, LogEvent
from .events import (
    ConfigurationReceived,
    ConnectionBroke,
    ConnectionOpened,
    ConnectionReplied,
    DrainRequested,
    Event,
    MessageReceived,
    MessageUndelivered,
    SessionClosed,
    SessionIdle,
    SessionOpened,
    StatementReceived,
    Tick,
)
from .state import GatewayState

QUEUED_TICK_MS = 20  # about as soon as a busy upstream is tried again
WEIGHTED_TICK_MS = 40  # with weights, while requests wait: a silent upstream is noticed in time
IDLE_TICK_MS = 100  # timeouts and other timed work may be late by a tenth of a second
SWEEP_INTERVAL_MS = 1_000  # idle connections and latencies change slowly


def reduce(state: GatewayState, event: Event) -> list[Effect]:
    """Change ``state`` by one event and return the effects, in the order to carry out."""
    effects: list[Effect] = _HANDLERS[type(event)](state, event)
    effects += _follow_up(state, event.now_ms)
    effects += planned_stop.finish_answered(state, event.now_ms, effects)
    return remote_sessions.forward_answers(state, effects)


def _follow_up(state: GatewayState, now_ms: int) -> list[Effect]:
    """Do the work that the handlers of an event left, and the work that this leaves in turn."""
    effects: list[Effect] = []
    work = state.follow_up
    while work.requests or work.services or work.sessions or work.tokenless:
        if work.requests:
            effects += routing.enqueue(state, now_ms, work.requests.pop(0))
            continue
        if work.services:
            effects += routing.dispatch_queued(state, now_ms, work.services.pop(0))
            continue
        if work.tokenless:
            effects += quotas.renew_token(state, now_ms, work.tokenless.pop(0))
            continue
        session = work.sessions.pop(0)
        if session.number in state.sessions:
            effects += sessions.run_waiting(state, now_ms, session)
    return effects


def _tick(state: GatewayState, event: Tick) -> list[Effect]:
    now_ms = event.now_ms
    effects = control_link.check_poll(state, now_ms)
    effects += results.check_deadlines(state, now_ms)
    effects += quotas.check_tokens(state, now_ms)
    effects += overdue.leave_unresponsive(state, now_ms)
    effects += overdue.retry_overdue_reads(state, now_ms)
    effects += overdue.close_unresponsive(state, now_ms)
    effects += forwarded_requests.check_overdue(state, now_ms)
    effects += forwarding.resend_undelivered(state)
    effects += sessions.check_idle(state, now_ms)
    effects += sessions.check_unconfigured(state, now_ms)
    effects += control_link.preopen_connections(state, now_ms)
    effects += routing.shed_overdue(state, now_ms)
    for service in list(state.queues):
        effects += routing.dispatch_queued(state, now_ms, service)
    if now_ms >= state.next_sweep_ms:
        state.next_sweep_ms = now_ms + SWEEP_INTERVAL_MS
        effects += maintenance.close_unused(state, now_ms)
        routing.decay_latencies(state)
    return effects + planned_stop.finish_idle(state, now_ms)


def _handle_message(state: GatewayState, event: MessageReceived) -> list[Effect]:
    if isinstance(event.message, DirectoryAnswer):
        return control_link.handle_answer(state, event.now_ms, event.message)
    if isinstance(event.message, PrimaryLeaseAnswer):
        return control_link.handle_leases(state, event.now_ms, event.message)
    if isinstance(event.message, ForwardedStatement):
        return remote_sessions.handle_statement(state, event.now_ms, event.message)
    if isinstance(event.message, ForwardedReply):
        return forwarded_requests.handle_reply(state, event.now_ms, event.message)
    if isinstance(event.message, ForwardedEnd):
        return remote_sessions.handle_end(state, event.now_ms, event.message)
    if isinstance(event.message, QuotaAnswer):
        return quotas.handle_answer(state, event.now_ms, event.message)
    name = type(event.message).__name__
    return [LogEvent("warning", "message_unexpected", "", "", {"message": name}, "dropped")]


def _handle_undelivered(state: GatewayState, event: MessageUndelivered) -> list[Effect]:
    if isinstance(event.message, DirectoryQuestion):
        return control_link.handle_undelivered_poll(state, event.now_ms, event.address)
    if isinstance(event.message, QuotaQuestion):
        return quotas.handle_undelivered(state, event.message)
    return forwarded_requests.handle_undelivered(state, event.now_ms, event.address, event.message)


def _start_drain(state: GatewayState, event: DrainRequested) -> list[Effect]:
    if state.draining_since_ms is not None:
        return []
    state.draining_since_ms = event.now_ms
    state.drain_grace_ms = event.grace_ms
    inputs: dict[str, object] = {"sessions": len(state.sessions), "grace_ms": event.grace_ms}
    return [LogEvent("info", "draining", "", "", inputs, "started")]


def has_waiting(state: GatewayState) -> bool:
    """Tell whether queued statements or messages are to be tried again soon."""
    return bool(state.queued or state.unsent_messages) or quotas.has_waiting(state)


def next_tick_ms(state: GatewayState, now_ms: int) -> int:
    """Return the time until the next tick is needed if no other event occurs."""
    if has_waiting(state):
        return QUEUED_TICK_MS
    due_ms = min(
        (request.deadline_ms for request in state.requests.values()),
        default=state.control.next_poll_ms,
    )
    stops_ms = planned_stop.answers_until_ms(state)
    if stops_ms is not None:
        due_ms = min(due_ms, stops_ms)
    wait_ms = min(due_ms, state.control.next_poll_ms) - now_ms
    watches = state.settings.uses_upstream_weights and state.requests
    return max(QUEUED_TICK_MS, min(wait_ms, WEIGHTED_TICK_MS if watches else IDLE_TICK_MS))


_HANDLERS: dict[type, Any] = {
    Tick: _tick,
    SessionOpened: sessions.handle_opened,
    StatementReceived: sessions.handle_statement,
    SessionClosed: sessions.handle_closed,
    SessionIdle: sessions.handle_idle,
    ConnectionOpened: results.handle_opened,
    ConnectionReplied: results.handle_replied,
    ConnectionBroke: results.handle_connection_lost,
    MessageReceived: _handle_message,
    MessageUndelivered: _handle_undelivered,
    ConfigurationReceived: control_link.handle_configuration,
    DrainRequested: _start_drain,
}
