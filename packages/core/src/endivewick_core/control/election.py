"""Elections: pre-vote, votes and the end of a leadership.

A member with recent contact to a leader grants neither a vote nor a pre-vote, so a member that
returns from a network partition does not interrupt the leader. The term and the vote are durable
before they are sent.
"""

from ..commands import StartTerm
from ..messages import VoteReply, VoteRequest
from . import election_log, operators, replication
from .effects import Effect, LogEvent, SaveVote, Send
from .state import (
    ControlState,
    LeaderState,
    Progress,
    Role,
    is_voter,
    peers,
    quorum_size,
)


def schedule_election(state: ControlState, now_ms: int, random: float) -> None:
    """Schedule the next election after one to two election timeouts."""
    timeout_ms = state.settings.election_timeout_ms
    state.election_due_ms = now_ms + timeout_ms + int(random * timeout_ms)


def postpone_election(state: ControlState, now_ms: int) -> None:
    """Postpone the next election after contact from the leader.

    The time is random, so that voters that lose the leader together don't split their votes.
    """
    timeout_ms = state.settings.election_timeout_ms
    due_ms = now_ms + timeout_ms + int(state.election_random * timeout_ms) // 2
    state.election_due_ms = max(state.election_due_ms, due_ms)


def _schedule_retry(state: ControlState, now_ms: int) -> None:
    """Schedule the next pre-vote after a quarter to half an election timeout.

    A pre-vote disturbs nobody, and the first one often fails: the other voters lost contact to the
    leader some milliseconds later than this one.
    """
    quarter_ms = state.settings.election_timeout_ms // 4
    state.election_due_ms = now_ms + quarter_ms + int(state.election_random * quarter_ms)


def check_election(state: ControlState, now_ms: int, random: float) -> list[Effect]:
    """Start a pre-vote if there was no contact from a leader before the election was due."""
    state.election_random = random
    if state.role in (Role.EMPTY, Role.LEADER) or not is_voter(state):
        return []
    due_ms = state.election_due_ms
    if state.planned_stop is not None:
        # The others go first. If all of them stop, one has to lead while their votes are replaced.
        due_ms += state.settings.election_timeout_ms
    if now_ms < due_ms:
        return []
    _schedule_retry(state, now_ms)
    effects = election_log.note_candidacy(state, now_ms)
    state.role = Role.PRE_CANDIDATE
    state.leader = ""
    state.votes = {state.me.member_id}
    effects += _request_votes(state, state.term + 1, pre_vote=True)
    return effects + _count_votes(state, now_ms)


def become_follower(state: ControlState, term: int, leader: str) -> list[Effect]:
    """Become a follower of ``leader`` in ``term``; a newer term clears the vote."""
    effects: list[Effect] = []
    if state.role is Role.LEADER:
        effects += operators.fail_pending(state)
        effects.append(
            LogEvent("info", "leadership_ended", f"leadership of term {state.term} ended")
        )
    if term > state.term:
        state.term = term
        state.voted_for = ""
        effects.append(SaveVote(term, ""))
    if state.role is not Role.EMPTY:
        state.role = Role.FOLLOWER
    state.leader_state = None
    state.leader = leader
    return effects


def handle_vote_request(state: ControlState, now_ms: int, request: VoteRequest) -> list[Effect]:
    """Respond to a request for a vote or a pre-vote.

    The candidate and this member may be voters by an entry that is not in this log yet, so neither
    is looked up in the membership; the candidate counts only votes of the voters in its own log.
    """
    address = replication.member_address(state, request.candidate)
    if not address or state.role is Role.EMPTY:
        return []
    effects: list[Effect] = []
    refusal = _find_refusal(state, now_ms, request)
    effects += election_log.note_refusal(state, now_ms, request, refusal)
    grant = not refusal
    if grant and not request.pre_vote:
        if request.term > state.term:
            effects += become_follower(state, request.term, "")
        state.voted_for = request.candidate
        state.election_due_ms = max(
            state.election_due_ms, now_ms + state.settings.election_timeout_ms
        )
        effects.append(SaveVote(state.term, state.voted_for))
    reply = VoteReply(
        request.term if grant else state.term, state.me.member_id, grant, request.pre_vote
    )
    effects.append(Send(address, reply))
    return effects


def handle_vote_reply(state: ControlState, now_ms: int, reply: VoteReply) -> list[Effect]:
    """Count a vote; a newer term ends the candidacy."""
    election_log.note_answer(state, now_ms, reply)
    if not reply.granted:
        return become_follower(state, reply.term, "") if reply.term > state.term else []
    if reply.pre_vote:
        counts = state.role is Role.PRE_CANDIDATE and reply.term == state.term + 1
    else:
        counts = state.role is Role.CANDIDATE and reply.term == state.term
    if not counts or not _is_voter_id(state, reply.voter):
        return []
    state.votes.add(reply.voter)
    return _count_votes(state, now_ms)


def _is_voter_id(state: ControlState, member_id: str) -> bool:
    return any(member.member_id == member_id for member in state.membership.voters)


def _find_refusal(state: ControlState, now_ms: int, request: VoteRequest) -> str:
    """Return why this member refuses a vote or pre-vote, or an empty text if it grants it."""
    if request.term < state.term or (request.pre_vote and request.term <= state.term):
        return "older_term"
    recent_contact = now_ms - state.leader_last_contact_ms < state.settings.election_timeout_ms
    if state.role is Role.LEADER or (state.leader and recent_contact):
        return "leader_in_contact"
    if (request.last_term, request.last_index) < (state.log.last_term, state.log.last_index):
        return election_log.LOG_SHORTER
    if request.pre_vote or request.term > state.term:
        return ""
    return "" if state.voted_for in ("", request.candidate) else election_log.VOTED_FOR_ANOTHER


def _request_votes(state: ControlState, term: int, pre_vote: bool) -> list[Effect]:
    request = VoteRequest(
        term, state.me.member_id, state.log.last_index, state.log.last_term, pre_vote
    )
    voters = [m for m in state.membership.voters if m.member_id != state.me.member_id]
    return [Send(member.address, request) for member in voters]


def _count_votes(state: ControlState, now_ms: int) -> list[Effect]:
    if len(state.votes) < quorum_size(state):
        return []
    if state.role is Role.CANDIDATE:
        return _become_leader(state, now_ms)
    state.role = Role.CANDIDATE
    state.term += 1
    state.voted_for = state.me.member_id
    state.votes = {state.me.member_id}
    # A vote is durable before it is sent, so it takes longer than a pre-vote. The wait is random,
    # so that two candidates that split the votes don't do so again.
    timeout_ms = state.settings.election_timeout_ms
    state.election_due_ms = now_ms + timeout_ms // 2 + int(state.election_random * timeout_ms)
    effects: list[Effect] = [SaveVote(state.term, state.voted_for)]
    effects += _request_votes(state, state.term, pre_vote=False)
    return effects + _count_votes(state, now_ms)


def _become_leader(state: ControlState, now_ms: int) -> list[Effect]:
    state.role = Role.LEADER
    state.leader = state.me.member_id
    election_log.start_record(state)
    state.leader_state = LeaderState(since_ms=now_ms, start_index=state.log.last_index + 1)
    next_index = state.log.last_index + 1
    for member in peers(state):
        state.leader_state.progress[member.member_id] = Progress(next_index, 0, 0, now_ms, 0)
    log_event = LogEvent("info", "leadership_started", f"elected leader of term {state.term}")
    command = StartTerm(state.me.member_id)
    return [log_event, *replication.propose_now(state, now_ms, command)]
