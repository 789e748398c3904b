"""Joining: how a control process that is no member becomes a learner.

A process whose disk is empty has a new identity, which the leader adds as a learner. A process that
was removed while it was down or out of reach joins again with its old identity. ``voter_changes``
decides which learners become voters.
"""

from ..messages import JoinReply, JoinRequest
from . import replication, voter_changes
from .effects import Effect, LogEvent, Send
from .state import ControlState, Progress, Role

NO_LEADER_MS = 3_000  # a member without contact to a leader for this long asks to join again


def check_join(state: ControlState, now_ms: int) -> list[Effect]:
    """Ask the other control processes for membership while this one has none.

    Where control processes are discovered, a member without a leader asks again, too.
    """
    if now_ms < state.join_due_ms or state.role is Role.LEADER:
        return []
    if state.planned_stop is not None:
        return []
    state.join_due_ms = now_ms + state.settings.join_interval_ms
    known = state.membership.voters + state.membership.learners
    is_member = any(member.member_id == state.me.member_id for member in known)
    has_leader = now_ms - state.leader_last_contact_ms < NO_LEADER_MS
    if is_member and (state.settings.members or has_leader):
        return []
    request = JoinRequest(state.me)
    return [Send(address, request) for address in _join_addresses(state)]


def handle_join_request(state: ControlState, now_ms: int, request: JoinRequest) -> list[Effect]:
    """Respond whether this process belongs to a cluster; as leader, add the sender as a learner.

    Where control processes are discovered, a process that isn't leader forwards the request.
    """
    member = request.member
    if member.member_id == state.me.member_id:
        return []
    if state.settings.members and state.settings.members.get(member.name) != member.address:
        text = (
            f"{member.name} at {member.address} asked to join but isn't listed in control.members"
        )
        return [LogEvent("warning", "join_refused", text)]
    reply = JoinReply(state.me, state.role is not Role.EMPTY)
    effects: list[Effect] = [Send(member.address, reply)]
    if state.leader_state is None and not state.settings.members:
        return effects + _forward(state, request)
    if state.leader_state is None or not voter_changes.can_change(state):
        return effects
    known = state.membership.voters + state.membership.learners
    if any(item.member_id == member.member_id for item in known):
        return effects
    # A process that stops doesn't join, so this one has started again.
    state.leader_state.handover_requests_ms.pop(member.member_id, None)
    learners = [item for item in state.membership.learners if item.name != member.name]
    state.leader_state.progress[member.member_id] = Progress(
        state.log.last_index + 1, 0, 0, now_ms, now_ms
    )
    text = f"{member.name} joins as a learner with identity {member.member_id}"
    effects.append(LogEvent("info", "learner_added", text))
    return effects + voter_changes.propose(
        state, now_ms, state.membership.voters, [*learners, member]
    )


def handle_join_reply(state: ControlState, now_ms: int, reply: JoinReply) -> list[Effect]:
    """Record whether another control process belongs to a cluster."""
    state.join_replies[reply.member.name] = (now_ms, reply.initialised)
    return []


def _join_addresses(state: ControlState) -> list[str]:
    if state.settings.members:
        others = state.settings.members
        return [address for name, address in others.items() if name != state.me.name]
    addresses = set(state.settings.seeds)
    addresses.update(member.address for member in state.membership.voters)
    addresses.update(state.directory_state.peers)
    addresses.discard(state.me.address)
    return sorted(addresses)


def _forward(state: ControlState, request: JoinRequest) -> list[Effect]:
    """Forward a join request to the leader, which a process with an empty disk doesn't know."""
    if not state.leader or state.leader == state.me.member_id:
        return []
    address = replication.member_address(state, state.leader)
    return [Send(address, request)] if address else []
