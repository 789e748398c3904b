"""Which learners become voters, and which voters are removed for them.

Each change adds or removes one voter, so consecutive majorities always overlap. A change is only
proposed once the one before it is committed.

Invariant: at every step of a change, whatever is out of reach, and after any loss of disks that the
settings allow, the members that kept their disks include a majority of the voters. It holds since

- 2f + 1 voters bear f lost disks, and 2f + 2 do too: a successor is added before the voter that it
  replaces is removed, which may be intact;
- a voter whose process has joined with a new identity has lost its disk for certain. It is removed
  first: without it fewer votes are a majority, and the new identity may be lost as well;
- a learner only becomes a voter if it is in contact and has the whole log. One that is out of
  reach would leave the voters that are in reach without a majority;
- a voter is replaced before its loss stops counting, ``catch-up-s`` after its successor started.
  One that stops as planned is replaced before it ends; see ``planned_stop``.
"""

from ..commands import ChangeMembership
from ..messages import Member
from . import replication
from .effects import Effect, LogEvent
from .state import ControlState, is_voter

# A learner that becomes a voter has responded within so many heartbeats.
LEARNER_HEARTBEATS = 2
# A voter's request for a successor holds for this long; it repeats the request until it stops.
HANDOVER_REQUEST_VALID_MS = 1_000


def check_voters(state: ControlState, now_ms: int) -> list[Effect]:
    """Add or remove one voter, if the leader can and there are too few, too many or lost ones."""
    if state.leader_state is None or not can_change(state):
        return []
    replaceable = _replaceable_voters(state, now_ms)
    surplus = _surplus_voter(state, now_ms, replaceable)
    if surplus is not None:
        return _remove(state, now_ms, surplus)
    is_complete = len(state.membership.voters) >= _target(state)
    if is_complete and not replaceable:
        return []
    for learner in state.membership.learners:
        if _is_caught_up(state, now_ms, learner):
            return _add(state, now_ms, learner)
    return []


def can_change(state: ControlState) -> bool:
    """Return whether the last membership change and this term's first entry are committed."""
    leader_state = state.leader_state
    if leader_state is None or state.commit_index < leader_state.start_index or not is_voter(state):
        return False
    return not state.memberships or state.memberships[-1][0] <= state.commit_index


def has_possible_successor(state: ControlState, now_ms: int) -> bool:
    """Return whether any learner may replace a voter soon, also if it is still catching up."""
    lost_ms = state.settings.lost_voter_ms
    return any(
        _contact_age_ms(state, now_ms, learner) < lost_ms for learner in state.membership.learners
    )


def can_another_lead(state: ControlState, now_ms: int) -> bool:
    """Return whether a voter that goes on running is in contact with this leader."""
    return any(
        _is_in_contact(state, now_ms, voter) and not _is_stopping(state, now_ms, voter)
        for voter in state.membership.voters
        if voter.member_id != state.me.member_id
    )


def propose(
    state: ControlState, now_ms: int, voters: list[Member], learners: list[Member]
) -> list[Effect]:
    """Propose a membership; the caller checks that it may change."""
    return replication.propose_now(state, now_ms, ChangeMembership(voters, learners))


def _target(state: ControlState) -> int:
    return state.settings.voter_target or len(state.settings.members)


def _replaceable_voters(state: ControlState, now_ms: int) -> list[Member]:
    """Return the voters that a learner should replace, those that surely leave first.

    A leader doesn't remove itself.
    """
    voters = [item for item in state.membership.voters if item.member_id != state.me.member_id]
    superseded = [item for item in voters if _is_superseded(state, now_ms, item)]
    stopping = [item for item in voters if _is_stopping(state, now_ms, item)]
    lost = [item for item in voters if _is_lost(state, now_ms, item)]
    return list(dict.fromkeys([*superseded, *stopping, *lost]))


def _surplus_voter(state: ControlState, now_ms: int, replaceable: list[Member]) -> Member | None:
    """Return the voter to remove now, None if all have to stay."""
    voters = state.membership.voters
    for voter in replaceable:
        if _is_superseded(state, now_ms, voter):
            return voter
    has_surplus = len(voters) > _target(state)
    if has_surplus and replaceable:
        return replaceable[0]
    if not has_surplus:
        return None
    # The voter that was to be replaced is back.
    if all(_is_in_contact(state, now_ms, item) for item in voters):
        return next(item for item in reversed(voters) if item.member_id != state.me.member_id)
    return None


def _is_superseded(state: ControlState, now_ms: int, voter: Member) -> bool:
    """Return whether a voter's disk is lost: its process has joined with a new identity."""
    members = state.membership.voters + state.membership.learners
    has_other_identity = any(
        item.name == voter.name and item.member_id != voter.member_id for item in members
    )
    return has_other_identity and not _is_in_contact(state, now_ms, voter)


def _is_stopping(state: ControlState, now_ms: int, voter: Member) -> bool:
    assert state.leader_state is not None
    requested_ms = state.leader_state.handover_requests_ms.get(voter.member_id)
    return requested_ms is not None and now_ms - requested_ms < HANDOVER_REQUEST_VALID_MS


def _is_lost(state: ControlState, now_ms: int, voter: Member) -> bool:
    return _contact_age_ms(state, now_ms, voter) >= state.settings.lost_voter_ms


def _is_caught_up(state: ControlState, now_ms: int, learner: Member) -> bool:
    assert state.leader_state is not None
    progress = state.leader_state.progress.get(learner.member_id)
    if progress is None or progress.match_index < state.commit_index:
        return False
    if _is_stopping(state, now_ms, learner) or not _is_in_contact(state, now_ms, learner):
        return False
    return now_ms - progress.last_contact_ms < LEARNER_HEARTBEATS * state.settings.heartbeat_ms


def _is_in_contact(state: ControlState, now_ms: int, member: Member) -> bool:
    """Return whether a member has responded to this leader, and did so recently."""
    assert state.leader_state is not None
    if member.member_id == state.me.member_id:
        return True
    progress = state.leader_state.progress.get(member.member_id)
    if progress is None or not progress.round_number:
        return False
    return now_ms - progress.last_contact_ms < state.settings.election_timeout_ms


def _contact_age_ms(state: ControlState, now_ms: int, member: Member) -> float:
    """Return the time since a member's last response, infinity if its progress is unknown."""
    assert state.leader_state is not None
    if member.member_id == state.me.member_id:
        return 0
    progress = state.leader_state.progress.get(member.member_id)
    return float("inf") if progress is None else now_ms - progress.last_contact_ms


def _add(state: ControlState, now_ms: int, learner: Member) -> list[Effect]:
    membership = state.membership
    voters = [*membership.voters, learner]
    learners = [item for item in membership.learners if item != learner]
    text = f"{learner.member_id} has caught up and becomes a voter"
    log_events: list[Effect] = [
        LogEvent("info", "voter_added", text),
        _contact_event(state, now_ms),
    ]
    return log_events + propose(state, now_ms, voters, learners)


def _remove(state: ControlState, now_ms: int, voter: Member) -> list[Effect]:
    """Remove a voter; one that runs joins again by itself.

    It isn't sent its removal before that is committed: with a longer log than others it would
    refuse them its vote, and as no voter it calls no election itself.
    """
    voters = [item for item in state.membership.voters if item != voter]
    if _is_superseded(state, now_ms, voter):
        reason = "another identity has joined from its address"
    elif _is_stopping(state, now_ms, voter):
        reason = "it is about to stop"
    elif _is_lost(state, now_ms, voter):
        reason = "it is out of reach"
    else:
        reason = "there are more voters than needed"
    text = f"removing the voter {voter.member_id}: {reason}"
    log_events: list[Effect] = [
        LogEvent("info", "voter_removed", text),
        _contact_event(state, now_ms),
    ]
    return log_events + propose(state, now_ms, voters, state.membership.learners)


def _contact_event(state: ControlState, now_ms: int) -> LogEvent:
    """Return the log event with what a change is decided by: the contact to each member."""
    assert state.leader_state is not None
    members: list[dict[str, object]] = []
    for member in state.membership.voters + state.membership.learners:
        if member.member_id == state.me.member_id:
            members.append({"member": member.member_id, "votes": True, "leads": True})
            continue
        progress = state.leader_state.progress.get(member.member_id)
        members.append(
            {
                "member": member.member_id,
                "votes": member in state.membership.voters,
                "contact_age_ms": None if progress is None else now_ms - progress.last_contact_ms,
                "match_index": None if progress is None else progress.match_index,
                "is_stopping": _is_stopping(state, now_ms, member),
            }
        )
    inputs: dict[str, object] = {
        "term": state.term,
        "commit_index": state.commit_index,
        "members": members,
    }
    return LogEvent("info", "membership_contact", "the members before the change", inputs)
