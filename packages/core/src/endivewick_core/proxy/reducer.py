"""The reducer of a proxy: ``reduce`` handles every event."""

from typing import Any

from ..messages import (
    Announcement,
    ForwardBatch,
    GrantAnswer,
    GrantQuestion,
    HeartbeatReply,
    LeaderHint,
)
from . import (
    acknowledgement,
    admission,
    answers,
    configuration,
    connections,
    deadlines,
    deduplication,
    dispatch,
    failover,
    homes,
    ingress,
    results,
)
from .effects import Effect, Forward, ForwardAnswer, LogEvent, Send
from .events import (
    CallerRequestReceived,
    ConnectionBroke,
    ConnectionOpened,
    DrainRequested,
    Event,
    ForwardUnsent,
    MessageReceived,
    Tick,
    UpstreamAnnounced,
    UpstreamAnswered,
)
from .state import Home, ProxyState, lease_valid

SWEEP_INTERVAL_MS = 1_000


def reduce(state: ProxyState, event: Event) -> list[Effect]:
    """Apply one event to ``state``; return the effects in the order to carry them out."""
    handler = _HANDLERS[type(event)]
    return _deliver_locally(state, event.now_ms, handler(state, event))


def _deliver_locally(state: ProxyState, now_ms: int, effects: list[Effect]) -> list[Effect]:
    """Handle messages that this proxy sends to itself; return the other effects.

    A request whose home is on its ingress proxy doesn't leave the process.
    """
    remaining: list[Effect] = []
    pending = list(reversed(effects))
    while pending:
        effect = pending.pop()
        if isinstance(effect, ForwardAnswer) and not effect.address:
            local_effects = ingress.handle_answer(state, now_ms, effect.answer)
        elif isinstance(effect, Forward) and effect.address == state.settings.address:
            local_effects = admission.admit(state, now_ms, "", effect.request)
        elif isinstance(effect, Send) and effect.address == state.settings.address:
            message = MessageReceived(now_ms, effect.address, effect.message)
            local_effects = _receive(state, message)
        else:
            remaining.append(effect)
            continue
        pending.extend(reversed(local_effects))
    return remaining


def _receive(state: ProxyState, event: MessageReceived) -> list[Effect]:
    now_ms, sender, message = event
    if isinstance(message, ForwardBatch):
        return _receive_batch(state, now_ms, sender, message)
    if isinstance(message, HeartbeatReply):
        effects = configuration.handle_reply(state, now_ms, sender, message)
        return effects + ingress.route_waiting(state, now_ms)
    if isinstance(message, LeaderHint):
        return configuration.handle_hint(state, now_ms, message)
    if isinstance(message, Announcement):
        return homes.apply_announcement(state, now_ms, message)
    if isinstance(message, GrantQuestion):
        return [Send(sender, _answer_grant_request(state, now_ms, message))]
    if isinstance(message, GrantAnswer):
        return ingress.handle_grant(state, now_ms, message)
    text = f"a proxy received an unexpected message: {type(message).__name__}"
    return [LogEvent("warning", "message_unexpected", text)]


def _receive_batch(
    state: ProxyState, now_ms: int, sender: str, batch: ForwardBatch
) -> list[Effect]:
    effects: list[Effect] = []
    for answer in batch.answers:
        effects += ingress.handle_answer(state, now_ms, answer)
    for request in batch.requests:
        effects += admission.admit(state, now_ms, sender, request)
    return effects


def _answer_grant_request(state: ProxyState, now_ms: int, request: GrantQuestion) -> GrantAnswer:
    home = state.homes.get(request.group)
    remaining_ms = 0
    if home is not None and home.epoch == request.home_epoch:
        remaining_ms = answers.extend_grant(state, now_ms, home, request.term)
    return GrantAnswer(*request, grant_left_ms=remaining_ms)


def _tick(state: ProxyState, event: Tick) -> list[Effect]:
    now_ms = event.now_ms
    effects = configuration.check_heartbeat(state, now_ms)
    if not lease_valid(state, now_ms):
        effects += homes.handle_lease_lost(state, now_ms)
    for home in list(state.homes.values()):
        effects += _tick_home(state, now_ms, home)
    effects += ingress.check_requests(state, now_ms)
    return effects + ingress.route_waiting(state, now_ms)


def _tick_home(state: ProxyState, now_ms: int, home: Home) -> list[Effect]:
    effects = deadlines.check_overdue(state, now_ms, home)
    effects += acknowledgement.check_awaiting(state, now_ms, home)
    effects += dispatch.expire_queues(state, now_ms, home)
    effects += failover.check_primary(state, now_ms, home)
    effects += failover.check_followers(state, now_ms, home)
    for instance in home.instances.values():
        effects += connections.ping_due(state, now_ms, home, instance)
        effects += connections.close_aged(state, now_ms, instance)
        effects += connections.fill_pool(state, now_ms, home, instance)
    effects += dispatch.dispatch(state, now_ms, home)
    if now_ms >= home.sweep_due_ms:
        home.sweep_due_ms = now_ms + SWEEP_INTERVAL_MS
        deduplication.sweep(home, now_ms)
    return effects + homes.check_release(state, now_ms, home)


def _drain(state: ProxyState, event: DrainRequested) -> list[Effect]:
    if state.draining_since_ms is not None:
        return []
    state.draining_since_ms = event.now_ms
    return [LogEvent("info", "draining", "graceful shutdown started")]


_HANDLERS: dict[type, Any] = {
    CallerRequestReceived: ingress.handle_caller,
    MessageReceived: _receive,
    UpstreamAnnounced: homes.handle_announced,
    ConnectionOpened: results.handle_opened,
    UpstreamAnswered: results.handle_answered,
    ConnectionBroke: results.handle_broke,
    Tick: _tick,
    ForwardUnsent: ingress.handle_unsent,
    DrainRequested: _drain,
}
