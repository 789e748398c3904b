"""The planned stop of a control process.

A process that is told to stop doesn't know whether it will be started again. A voter therefore asks
the leader for a successor before it ends: a learner takes its vote, and the process joins as a
learner if it comes back. Without a learner in reach it stops as it is, since fewer voters bear
fewer losses. A leader ends its leadership first, so that none removes itself: if it failed before
the removal is committed, the others might need the vote of a process that votes no longer.
"""

from ..messages import HandoverReply, HandoverRequest, LeadershipEnded
from . import election, election_log, replication, voter_changes
from .effects import Effect, LogEvent, Send, StopProcess
from .events import StopRequested
from .state import ControlState, PlannedStop, is_voter, is_voter_anywhere

REQUEST_INTERVAL_MS = 200
# Voters that hear of the end of a leadership together start their elections within this time.
ELECTION_SPREAD_MS = 200
# A stopping process that is elected all the same leads for this long, and hears who else stops.
MIN_LEADERSHIP_MS = 1_000


def handle_stop_requested(state: ControlState, event: StopRequested) -> list[Effect]:
    """Begin the planned stop; a second request changes nothing."""
    if state.planned_stop is not None:
        return []
    state.planned_stop = PlannedStop(event.now_ms, event.deadline_ms)
    return check_stop(state, event.now_ms)


def check_stop(state: ControlState, now_ms: int) -> list[Effect]:
    """Ask for a successor when due, and end the process once it may stop."""
    stop = state.planned_stop
    if stop is None:
        return []
    is_overdue = now_ms >= stop.deadline_ms
    if stop.may_stop or is_overdue or not _needs_successor(state):
        text = "stopping without a successor: it took too long" if is_overdue else "stopping"
        announcement = [] if is_voter(state) else _announce(state)
        inputs = election_log.describe_stop(state, now_ms)
        # Operators' changes that are not committed get an answer, and the others elect at once.
        ended = _end_leadership(state, now_ms) if state.leader_state is not None else []
        log_event = LogEvent("info", "stop_ready", text, inputs)
        return [*ended, *announcement, log_event, StopProcess()]
    if state.leader_state is not None:
        stop.may_stop = _may_stop(state, now_ms, state.me.member_id)
        if stop.may_stop or not voter_changes.has_possible_successor(state, now_ms):
            return []
        led_ms = now_ms - state.leader_state.since_ms
        is_new = state.leader_state.since_ms >= stop.requested_ms and led_ms < MIN_LEADERSHIP_MS
        if is_new or not voter_changes.can_another_lead(state, now_ms):
            return []
        return _end_leadership(state, now_ms)
    if now_ms < stop.request_due_ms:
        return []
    stop.request_due_ms = now_ms + REQUEST_INTERVAL_MS
    return _announce(state)


def handle_leadership_ended(
    state: ControlState, now_ms: int, message: LeadershipEnded
) -> list[Effect]:
    """Elect another leader without waiting for the time-out."""
    if message.term != state.term or message.leader != state.leader:
        return []
    state.leader = ""
    state.election_due_ms = now_ms + int(state.election_random * ELECTION_SPREAD_MS)
    return []


def handle_handover_request(
    state: ControlState, now_ms: int, request: HandoverRequest
) -> list[Effect]:
    """As leader, let a learner replace a voter, and respond once the voter may stop."""
    if state.leader_state is None:
        return []
    is_new = request.member not in state.leader_state.handover_requests_ms
    state.leader_state.handover_requests_ms[request.member] = now_ms
    effects: list[Effect] = []
    if is_new:
        text = f"{request.member} is about to stop and asks for a successor"
        effects.append(LogEvent("info", "handover_requested", text))
    address = replication.member_address(state, request.member)
    if address and _may_stop(state, now_ms, request.member):
        effects.append(Send(address, HandoverReply(request.boot)))
    return effects


def handle_handover_reply(state: ControlState, now_ms: int, reply: HandoverReply) -> list[Effect]:
    """Stop, unless the reply is for an earlier process of this member."""
    if state.planned_stop is None or reply.boot != state.directory_state.boot:
        return []
    state.planned_stop.may_stop = True
    return check_stop(state, now_ms)


def _announce(state: ControlState) -> list[Effect]:
    """Tell the leader of the stop, so that this process doesn't succeed another one either."""
    if state.settings.members or state.leader_state is not None:
        return []
    request = HandoverRequest(state.me.member_id, state.directory_state.boot)
    return [Send(address, request) for address in _leader_addresses(state)]


def _end_leadership(state: ControlState, now_ms: int) -> list[Effect]:
    state.election_due_ms = now_ms + state.settings.election_timeout_ms
    message = LeadershipEnded(state.term, state.me.member_id)
    effects: list[Effect] = [Send(address, message) for address in _other_voters(state)]
    return effects + election.become_follower(state, state.term, "")


def _needs_successor(state: ControlState) -> bool:
    """Return whether this process votes and a learner may take over its vote.

    Where the control processes are listed in the settings, only a process of the same name can.
    """
    if state.settings.members or not is_voter_anywhere(state, state.me.member_id):
        return False
    return bool(state.membership.learners) or not is_voter(state) or _has_surplus(state)


def _has_surplus(state: ControlState) -> bool:
    return len(state.membership.voters) > state.settings.voter_target


def _may_stop(state: ControlState, now_ms: int, member_id: str) -> bool:
    if not is_voter_anywhere(state, member_id):
        return True
    if not voter_changes.can_change(state) or _has_surplus(state):
        return False
    return not voter_changes.has_possible_successor(state, now_ms)


def _leader_addresses(state: ControlState) -> list[str]:
    """Return the leader's address, or those of all other voters while there is no leader."""
    if state.leader:
        return [replication.member_address(state, state.leader)]
    return _other_voters(state)


def _other_voters(state: ControlState) -> list[str]:
    voters = state.membership.voters
    return [voter.address for voter in voters if voter.member_id != state.me.member_id]
