"""Membership: how an empty control process joins, and how a lost identity is replaced.

A process whose disk is empty has a new identity. The leader first replicates the log to it as a
learner, then removes the lost identity of the same name, and only then makes the new one a voter.
Each step is one committed change of one member, so consecutive majorities always overlap.
"""

from ..commands import ChangeMembership
from ..messages import JoinReply, JoinRequest, Member
from . import replication
from .effects import Effect, LogEvent, Send
from .state import ControlState, Progress, Role, is_voter

LOST_IDENTITY_MS = 5_000  # a voter without contact for this long may be replaced
NO_LEADER_MS = 3_000  # a member without contact to a leader for this long asks to join again


def check_join(state: ControlState, now_ms: int) -> list[Effect]:
    """Ask the other control processes for membership while this one has none.

    Where control processes are discovered, a member without a leader asks again, too.
    """
    if now_ms < state.join_due_ms or state.role is Role.LEADER:
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
    if state.leader_state is None or not _can_change_membership(state):
        return effects
    known = state.membership.voters + state.membership.learners
    if any(item.member_id == member.member_id for item in known):
        return effects
    learners = [item for item in state.membership.learners if item.name != member.name]
    state.leader_state.progress[member.member_id] = Progress(
        state.log.last_index + 1, 0, 0, now_ms, now_ms
    )
    text = f"{member.name} joins as a learner with identity {member.member_id}"
    effects.append(LogEvent("info", "learner_added", text))
    return effects + _propose_membership(
        state, now_ms, state.membership.voters, [*learners, member]
    )


def handle_join_reply(state: ControlState, now_ms: int, reply: JoinReply) -> list[Effect]:
    """Record whether another control process belongs to a cluster."""
    state.join_replies[reply.member.name] = (now_ms, reply.initialised)
    return []


def check_learners(state: ControlState, now_ms: int) -> list[Effect]:
    """Promote a learner that has caught up to a voter, in place of the identity that was lost."""
    leader_state = state.leader_state
    if leader_state is None or not _can_change_membership(state):
        return []
    for learner in state.membership.learners:
        progress = leader_state.progress.get(learner.member_id)
        if progress is None or progress.match_index < state.commit_index:
            continue
        replaced = [item for item in state.membership.voters if item.name == learner.name]
        if replaced and state.settings.members and not _is_lost(state, now_ms, replaced[0]):
            continue
        if not replaced and not state.settings.members:
            if len(state.membership.voters) >= state.settings.voter_target:
                replaced = _lost_voters(state, now_ms)
                if not replaced:
                    continue
        return _replace_or_add(state, now_ms, learner, replaced)
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


def _lost_voters(state: ControlState, now_ms: int) -> list[Member]:
    """Return at most one lost voter, which a learner at another address replaces."""
    lost = [item for item in state.membership.voters if _is_lost(state, now_ms, item)]
    return lost[:1]


def _replace_or_add(
    state: ControlState, now_ms: int, learner: Member, replaced: list[Member]
) -> list[Effect]:
    membership = state.membership
    if replaced:
        voters = [item for item in membership.voters if item not in replaced]
        log_event = LogEvent(
            "info", "voter_removed", f"removing the lost identity {replaced[0].member_id}"
        )
        return [log_event, *_propose_membership(state, now_ms, voters, membership.learners)]
    learners = [item for item in membership.learners if item != learner]
    log_event = LogEvent(
        "info", "voter_added", f"{learner.member_id} has caught up and becomes a voter"
    )
    return [log_event, *_propose_membership(state, now_ms, [*membership.voters, learner], learners)]


def _can_change_membership(state: ControlState) -> bool:
    """Return whether the last membership change and this term's first entry are committed."""
    leader_state = state.leader_state
    if leader_state is None or state.commit_index < leader_state.start_index or not is_voter(state):
        return False
    return not state.memberships or state.memberships[-1][0] <= state.commit_index


def _is_lost(state: ControlState, now_ms: int, member: Member) -> bool:
    assert state.leader_state is not None
    if member.member_id == state.me.member_id:
        return False
    progress = state.leader_state.progress.get(member.member_id)
    return progress is None or now_ms - progress.last_contact_ms >= LOST_IDENTITY_MS


def _propose_membership(
    state: ControlState, now_ms: int, voters: list[Member], learners: list[Member]
) -> list[Effect]:
    return replication.propose_now(state, now_ms, ChangeMembership(voters, learners))
