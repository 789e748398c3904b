"""Acknowledgement of writes: only from the current primary, under a valid lease.

If the contract says ``acknowledge: replica``, a write is acknowledged after a replica has it too.
"""

from ..messages import ForwardedAnswer
from ..positions import Position, covers
from . import outcomes
from .effects import Effect
from .events import UpstreamAnswer
from .state import Home, Instance, ProxyState, is_active
from .work import Work


def check_awaiting(state: ProxyState, now_ms: int, home: Home) -> list[Effect]:
    """Acknowledge the pending writes that a replica has received by now."""
    if not home.awaiting_replica:
        return []
    effects: list[Effect] = []
    kept: list[tuple[Work, ForwardedAnswer]] = []
    for work, answer in home.awaiting_replica:
        if now_ms >= work.deadline_ms or not _still_primary(state, now_ms, home, answer):
            effects += outcomes.report_unknown(state, now_ms, home, work)
        elif replica_holds(state, home, Position(answer.term, answer.offset)):
            effects += deliver_replicated(state, now_ms, home, work, answer)
        else:
            kept.append((work, answer))
    home.awaiting_replica = kept
    return effects


def deliver_replicated(
    state: ProxyState, now_ms: int, home: Home, work: Work, answer: ForwardedAnswer
) -> list[Effect]:
    """Deliver the success of a write that a replica has; remember its position."""
    position = Position(answer.term, answer.offset)
    home.replicated_position = max(home.replicated_position, position)
    return outcomes.deliver(state, now_ms, home, work, answer)


def from_primary(
    state: ProxyState, now_ms: int, home: Home, instance: Instance, answer: UpstreamAnswer
) -> bool:
    """Return whether a response comes from the current primary, under a valid lease."""
    group = state.replicated_state.groups[home.group]
    in_force = (instance.name, answer.term) == (group.primary, group.term)
    return in_force and answer.role == "primary" and is_active(state, home, now_ms)


def _still_primary(state: ProxyState, now_ms: int, home: Home, answer: ForwardedAnswer) -> bool:
    group = state.replicated_state.groups[home.group]
    in_force = (answer.upstream, answer.term) == (group.primary, group.term)
    return in_force and is_active(state, home, now_ms)


def replica_holds(state: ProxyState, home: Home, position: Position) -> bool:
    """Return whether a replica has reported a position at or after this one.

    A leaving replica doesn't count: it is not promoted, and its log is gone with it.
    """
    primary = state.replicated_state.groups[home.group].primary
    for instance in home.instances.values():
        if instance.name == primary or instance.leaving:
            continue
        if covers(instance.position, position):
            return True
    return False
