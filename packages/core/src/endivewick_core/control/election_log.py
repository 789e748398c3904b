"""Log events of a recovery: what a process starts with, and why there is no leader.

The identities and both ends of the logs tell a lost majority from a log that no voter may follow.
``ElectionRecord`` holds what the lines need; no decision depends on it.
"""

from ..codec import decode
from ..commands import COMMANDS, PutConfiguration
from ..messages import VoteReply, VoteRequest
from ..positions import Position, format_position
from .effects import Effect, LogEvent
from .state import (
    ControlState,
    ElectionRecord,
    RefusedVote,
    VoteAnswer,
    is_voter,
    is_voter_anywhere,
    membership_at,
    quorum_size,
)

# Reasons to refuse a vote that depend on the logs or votes; the others are usual in any election.
LOG_SHORTER = "log_shorter"
VOTED_FOR_ANOTHER = "voted_for_another"
LOGGED_REASONS = (LOG_SHORTER, VOTED_FOR_ANOTHER)
# A refusal that lasts is logged again after this time; pre-votes repeat several times a second.
REPEAT_MS = 5_000
# Elections with a quorum end within four timeouts, also where votes are split.
UNSUCCESSFUL_TIMEOUTS = 5
MAX_ANSWERS = 32  # a process that lost its disk answers under a new identity


def state_loaded(state: ControlState, cut_bytes: int) -> LogEvent:
    """Return the log event of what a process has on its disk at its start.

    ``cut_bytes`` is the size of an incomplete write that was removed from the end of the log.
    """
    inputs: dict[str, object] = {
        "identity": state.me.member_id,
        "role": state.role.value,
        "term": state.term,
        "voted_for": state.voted_for,
        "log_end": _own_end(state),
        "log_entries": len(state.log.entries),
        "cut_bytes": cut_bytes,
        "snapshot_index": state.log.start_index,
        "snapshot_term": state.log.start_term,
        **_describe_membership(state),
        "configuration_version": state.replicated_state.configuration.version,
        "configuration_version_in_log": _configuration_in_log(state),
    }
    kind = "voter" if is_voter(state) else "learner or no member"
    text = f"{state.me.member_id} starts as {kind}, term {state.term}, log end {_own_end(state)}"
    return LogEvent("info", "state_loaded", text, inputs)


def note_refusal(
    state: ControlState, now_ms: int, request: VoteRequest, reason: str
) -> list[Effect]:
    """Return the log event of a refused vote or pre-vote, if it differs from the last one."""
    if reason not in LOGGED_REASONS:
        return []
    refused = state.election_record.refused
    candidate_end = format_position(Position(request.last_term, request.last_index))
    cause = (reason, candidate_end, _own_end(state), state.voted_for)
    last = refused.get(request.candidate)
    is_known = last is not None and last.cause == cause and now_ms - last.logged_ms < REPEAT_MS
    if last is not None and is_known:
        refused[request.candidate] = last._replace(repeated=last.repeated + 1)
        return []
    for candidate, item in list(refused.items()):
        if now_ms - item.logged_ms >= 2 * REPEAT_MS:
            del refused[candidate]
    refused[request.candidate] = RefusedVote(cause, now_ms)
    inputs: dict[str, object] = {
        "candidate": request.candidate,
        "reason": reason,
        "pre_vote": request.pre_vote,
        "candidate_term": request.term,
        "candidate_end": candidate_end,
        "term": state.term,
        "own_end": _own_end(state),
        "commit_index": state.commit_index,
        "voted_for": state.voted_for,
        "leader_heard_ms_ago": _leader_heard_ms_ago(state, now_ms),
        **_describe_membership(state),
        "repeated": last.repeated if last is not None else 0,
    }
    text = f"refused {request.candidate}, whose log ends at {candidate_end}: {reason}"
    return [LogEvent("info", "vote_refused", text, inputs)]


def note_answer(state: ControlState, now_ms: int, reply: VoteReply) -> None:
    """Record an answer to this candidate, also of an identity that is no voter by its log."""
    answers = state.election_record.answers
    if reply.voter in answers or len(answers) < MAX_ANSWERS:
        answers[reply.voter] = VoteAnswer(now_ms, reply.term, reply.granted, reply.pre_vote)


def note_candidacy(state: ControlState, now_ms: int) -> list[Effect]:
    """Return the log event of a candidate that has had no success for some time, when due.

    It is called before a candidate asks for votes again, with the answers that it got until then.
    """
    record = state.election_record
    if record.candidate_since_ms is None:
        record.candidate_since_ms = now_ms
    candidate_ms = now_ms - record.candidate_since_ms
    record.elections += 1
    if candidate_ms < UNSUCCESSFUL_TIMEOUTS * state.settings.election_timeout_ms:
        return []
    if record.logged_ms is not None and now_ms - record.logged_ms < REPEAT_MS:
        return []
    record.logged_ms = now_ms
    needed = quorum_size(state)
    everyone = [voter.member_id for voter in state.membership.voters]
    voters = [name for name in everyone if name != state.me.member_id]
    inputs: dict[str, object] = {
        "candidate_ms": candidate_ms,
        "elections": record.elections - 1,
        "role": state.role.value,
        "term": state.term,
        "granted": sorted(state.votes),
        "needed": needed,
        "answers": {name: _describe_answer(record, now_ms, name) for name in voters},
        "other_answers": {
            name: _describe_answer(record, now_ms, name)
            for name in record.answers
            if name not in voters
        },
        "own_end": _own_end(state),
        "commit_index": state.commit_index,
        "leader_heard_ms_ago": _leader_heard_ms_ago(state, now_ms),
        "is_stopping": state.planned_stop is not None,
        **_describe_membership(state),
    }
    text = f"no leader for {candidate_ms} ms: {len(state.votes)} of {needed} votes"
    return [LogEvent("warning", "election_unsuccessful", text, inputs)]


def start_record(state: ControlState) -> None:
    """Forget the last election: there is a leader."""
    state.election_record = ElectionRecord()


def describe_stop(state: ControlState, now_ms: int) -> dict[str, object]:
    """Return what a process that is about to end by a planned stop knows of its vote."""
    stop = state.planned_stop
    return {
        "identity": state.me.member_id,
        "is_voter_anywhere": is_voter_anywhere(state, state.me.member_id),
        "may_stop": stop is not None and stop.may_stop,
        "waited_ms": now_ms - stop.requested_ms if stop is not None else 0,
        "leader": state.leader,
        "leader_heard_ms_ago": _leader_heard_ms_ago(state, now_ms),
        "term": state.term,
        "log_end": _own_end(state),
        "commit_index": state.commit_index,
        **_describe_membership(state),
    }


def _describe_answer(record: ElectionRecord, now_ms: int, voter: str) -> dict[str, object]:
    answer = record.answers.get(voter)
    if answer is None:
        return {"answer": "none"}
    return {
        "answer": "granted" if answer.granted else "refused",
        "pre_vote": answer.pre_vote,
        "term": answer.term,
        "answered_ms_ago": now_ms - answer.received_ms,
    }


def _describe_membership(state: ControlState) -> dict[str, object]:
    """Return the newest membership, the index of its entry, and whether this process votes by it.

    An entry above the commit index may not be committed; the voters of the last one that is known
    to be committed are added then.
    """
    index = state.memberships[-1][0] if state.memberships else state.log.start_index
    description: dict[str, object] = {
        "is_voter": is_voter(state),
        "voters": [item.member_id for item in state.membership.voters],
        "learners": [item.member_id for item in state.membership.learners],
        "membership_index": index,
    }
    if index > state.commit_index:
        committed = membership_at(state, state.commit_index)
        description["committed_voters"] = [item.member_id for item in committed.voters]
    return description


def _configuration_in_log(state: ControlState) -> int:
    """Return the version of the newest configuration after the snapshot, or 0."""
    for entry in reversed(state.log.entries):
        command = decode(COMMANDS, entry.command)
        if isinstance(command, PutConfiguration):
            return command.version
    return 0


def _own_end(state: ControlState) -> str:
    return format_position(Position(state.log.last_term, state.log.last_index))


def _leader_heard_ms_ago(state: ControlState, now_ms: int) -> int | None:
    """Return the age of the last contact from a leader, None if there was none."""
    last_ms = state.leader_last_contact_ms
    return now_ms - last_ms if last_ms else None
