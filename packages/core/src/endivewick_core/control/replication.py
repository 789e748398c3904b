"""Replication of the log, leadership rounds and commitment, as in Raft.

A leader counts an entry as stored by a member once the member reports that it is synced to disk,
and commits by counting only entries of its own term. Each AppendRequest carries a round number.
Once a quorum has echoed a round, the leader knows that it was still leader when the round started;
reads and lease renewals wait for that.
"""

from typing import Any

from ..codec import CodecFault, decode, encode
from ..commands import COMMANDS, AssignHomes, BeginFailover, ChangeMembership, EndFailover
from ..messages import AppendReply, AppendRequest, LogEntry, Member, SnapshotRequest
from ..replicated_state import (
    ChangeResult,
    ReplicatedState,
    apply_command,
    decode_replicated_state,
    encode_replicated_state,
)
from . import election, election_log, failover, operators
from .effects import AppendEntries, Effect, LogEvent, SaveSnapshot, Send, TruncateLog
from .log import Log
from .state import (
    ControlState,
    Membership,
    Progress,
    Role,
    decode_membership,
    encode_membership,
    member_by_id,
    membership_at,
    peers,
    quorum_size,
)


def propose(state: ControlState, command: bytes) -> list[Effect]:
    """Append a command to the leader's log; the caller starts a round to replicate it."""
    assert state.leader_state is not None
    entry = LogEntry(state.term, state.log.last_index + 1, command)
    state.log.entries.append(entry)
    _adopt_membership(state, entry)
    state.leader_state.round_requested = True
    return [AppendEntries([entry])]


def propose_now(state: ControlState, now_ms: int, command: Any) -> list[Effect]:
    """Append a command to the leader's log and replicate it at once."""
    effects = propose(state, encode(command))
    return effects + start_round(state, now_ms)


def start_round(state: ControlState, now_ms: int) -> list[Effect]:
    """Send a new round with the entries that each member lacks, and advance the commit index."""
    leader_state = state.leader_state
    assert leader_state is not None
    leader_state.round_number += 1
    leader_state.round_started_ms = now_ms
    leader_state.round_starts.append((leader_state.round_number, now_ms))
    leader_state.round_requested = False
    effects: list[Effect] = []
    for member in peers(state):
        effects += _send_append(state, now_ms, member)
    return effects + advance_commit(state, now_ms)


def handle_append_request(state: ControlState, now_ms: int, request: AppendRequest) -> list[Effect]:
    """Store a leader's entries if the log matches the entry before them."""
    leader_address = member_address(state, request.leader)
    if request.term < state.term:
        return [Send(leader_address, _append_reply(state, False, 0, 0))] if leader_address else []
    effects = _accept_leader(state, now_ms, request.term, request.leader)
    matches = state.log.term_at(request.previous_index) == request.previous_term
    if not matches and request.previous_index >= state.log.start_index:
        last_possible_index = min(state.log.last_index, request.previous_index - 1)
        reply = _append_reply(
            state, False, max(last_possible_index, state.commit_index), request.round_number
        )
        return effects + _send_reply(state, request.leader, reply)
    effects += _store_entries(state, request.entries)
    match_index = max(request.previous_index + len(request.entries), state.commit_index)
    effects += _apply_up_to(state, now_ms, min(request.commit_index, match_index))
    reply = _append_reply(state, True, match_index, request.round_number)
    return effects + _send_reply(state, request.leader, reply)


def handle_append_reply(state: ControlState, now_ms: int, reply: AppendReply) -> list[Effect]:
    """Record a member's progress, and send the entries that it lacks."""
    leader_state = state.leader_state
    if reply.term > state.term:
        return election.become_follower(state, reply.term, "")
    if leader_state is None or reply.term < state.term:
        return []
    known = leader_state.progress.get(reply.member)
    member = member_by_id(state, reply.member)
    if known is None or member is None:
        return []
    progress = known._replace(
        last_contact_ms=now_ms, round_number=max(known.round_number, reply.round_number)
    )
    if reply.success:
        match_index = max(progress.match_index, reply.match_index)
        progress = progress._replace(match_index=match_index, next_index=match_index + 1)
    else:
        next_index = max(progress.match_index, min(reply.match_index, progress.next_index - 1)) + 1
        progress = progress._replace(next_index=next_index)
    leader_state.progress[reply.member] = progress
    effects = advance_commit(state, now_ms)
    if state.leader_state is not None and progress.next_index <= _last_index_for(state, member):
        effects += _send_append(state, now_ms, member)
    return effects


def handle_snapshot(state: ControlState, now_ms: int, request: SnapshotRequest) -> list[Effect]:
    """Replace the log by the leader's snapshot if that is past the commit index.

    Entries after the snapshot stay if the log has its last entry: the leader may count them.
    """
    if request.term < state.term:
        return []
    effects = _accept_leader(state, now_ms, request.term, request.leader)
    if request.last_index > state.commit_index:
        if state.log.term_at(request.last_index) == request.last_term:
            state.log.compact(request.last_index)
            later = [item for item in state.memberships if item[0] > request.last_index]
        else:
            state.log = Log(request.last_index, request.last_term)
            later = []
        state.snapshot_membership = decode_membership(request.membership)
        state.memberships = later
        state.replicated_state = decode_replicated_state(request.machine)
        state.refused_indexes = set()
        state.commit_index = request.last_index
        effects.append(
            SaveSnapshot(request.last_index, request.last_term, request.membership, request.machine)
        )
    reply = _append_reply(state, True, state.commit_index, request.round_number)
    return effects + _send_reply(state, request.leader, reply)


def encode_full(replicated_state: ReplicatedState) -> bytes:
    """Return the snapshot that control members store, change records included."""
    return encode_replicated_state(replicated_state, with_changes=True)


def confirmed_round(state: ControlState) -> int:
    """Return the latest round that a quorum has echoed."""
    assert state.leader_state is not None
    rounds = []
    for voter in state.membership.voters:
        if voter.member_id == state.me.member_id:
            rounds.append(state.leader_state.round_number)
            continue
        progress = state.leader_state.progress.get(voter.member_id)
        rounds.append(progress.round_number if progress else 0)
    rounds.sort(reverse=True)
    return rounds[quorum_size(state) - 1]


def confirmed_start_ms(state: ControlState) -> int | None:
    """Return when the latest round that a quorum has echoed started, None if there is none.

    No other leader had been elected at that time.
    """
    assert state.leader_state is not None
    confirmed = confirmed_round(state)
    starts = state.leader_state.round_starts
    while len(starts) > 1 and starts[1][0] <= confirmed:
        starts.popleft()
    if not starts or starts[0][0] > confirmed:
        return None
    return starts[0][1]


def advance_commit(state: ControlState, now_ms: int) -> list[Effect]:
    """Commit and apply the entries that a quorum has synced."""
    leader_state = state.leader_state
    if leader_state is None:
        return []
    synced = []
    for voter in state.membership.voters:
        if voter.member_id == state.me.member_id:
            synced.append(state.log.last_index)
            continue
        progress = leader_state.progress.get(voter.member_id)
        synced.append(progress.match_index if progress else 0)
    synced.sort(reverse=True)
    index = synced[quorum_size(state) - 1]
    if index <= state.commit_index or state.log.term_at(index) != state.term:
        return []
    effects = _apply_up_to(state, now_ms, index)
    leader_state.round_requested = True
    return effects


def has_quorum_contact(state: ControlState, now_ms: int) -> bool:
    """Return whether a quorum has responded to the leader within two election timeouts."""
    assert state.leader_state is not None
    in_contact = 0
    for voter in state.membership.voters:
        if voter.member_id == state.me.member_id:
            in_contact += 1
            continue
        progress = state.leader_state.progress.get(voter.member_id)
        if progress and now_ms - progress.last_contact_ms < 2 * state.settings.election_timeout_ms:
            in_contact += 1
    return in_contact >= quorum_size(state)


def _accept_leader(state: ControlState, now_ms: int, term: int, leader: str) -> list[Effect]:
    effects: list[Effect] = []
    if term > state.term or state.role is not Role.FOLLOWER or state.leader != leader:
        if state.role is Role.EMPTY:
            state.role = Role.FOLLOWER
        effects += election.become_follower(state, term, leader)
        election_log.start_record(state)
    state.leader_last_contact_ms = now_ms
    election.postpone_election(state, now_ms)
    return effects


def _append_reply(
    state: ControlState, success: bool, match_index: int, round_number: int
) -> AppendReply:
    return AppendReply(state.term, state.me.member_id, success, match_index, round_number)


def _send_reply(state: ControlState, leader: str, reply: AppendReply) -> list[Effect]:
    address = member_address(state, leader)
    return [Send(address, reply)] if address else []


def member_address(state: ControlState, member_id: str) -> str:
    """Return a member's address; an identity that isn't in the log yet is looked up by its name."""
    member = member_by_id(state, member_id)
    if member is not None:
        return member.address
    name = member_id.partition("#")[0]
    if not state.settings.members:
        return name
    return state.settings.members.get(name, "")


def _store_entries(state: ControlState, entries: list[LogEntry]) -> list[Effect]:
    effects: list[Effect] = []
    new_entries: list[LogEntry] = []
    for entry in entries:
        if entry.log_index <= state.commit_index or entry.log_index <= state.log.start_index:
            continue
        known_term = state.log.term_at(entry.log_index)
        if known_term == entry.term:
            continue
        if known_term is not None:
            state.log.truncate(entry.log_index)
            while state.memberships and state.memberships[-1][0] >= entry.log_index:
                state.memberships.pop()
            effects.append(TruncateLog(entry.log_index))
        state.log.entries.append(entry)
        _adopt_membership(state, entry)
        new_entries.append(entry)
    if new_entries:
        effects.append(AppendEntries(new_entries))
    return effects


def _adopt_membership(state: ControlState, entry: LogEntry) -> None:
    """Use a membership from the moment its entry is in the log, committed or not."""
    command = decode(COMMANDS, entry.command)
    if isinstance(command, ChangeMembership):
        membership = Membership(command.voters, command.learners)
        state.memberships.append((entry.log_index, membership))


def _send_append(state: ControlState, now_ms: int, member: Member) -> list[Effect]:
    leader_state = state.leader_state
    assert leader_state is not None
    default = Progress(state.log.last_index + 1, 0, 0, now_ms, 0)
    progress = leader_state.progress.get(member.member_id, default)
    leader_state.progress[member.member_id] = progress._replace(sent_ms=now_ms)
    last_index = _last_index_for(state, member)
    previous_index = min(progress.next_index - 1, last_index)
    previous_term = state.log.term_at(previous_index)
    if previous_term is None:
        return [Send(member.address, _snapshot_request(state))]
    limit = min(state.settings.batch_entries, last_index - previous_index)
    request = AppendRequest(
        state.term,
        state.me.member_id,
        previous_index,
        previous_term,
        state.log.slice(previous_index, limit),
        state.commit_index,
        leader_state.round_number,
    )
    return [Send(member.address, request)]


def _last_index_for(state: ControlState, member: Member) -> int:
    """Return the index of the last entry that a member is sent: a learner's is committed.

    With an uncommitted entry that the voters lack, a learner would refuse them its vote. They need
    it if an entry in their logs makes it a voter, and as a learner it calls no election itself.
    """
    if member in state.membership.voters:
        return state.log.last_index
    return state.commit_index


def _snapshot_request(state: ControlState) -> SnapshotRequest:
    assert state.leader_state is not None
    last_term = state.log.term_at(state.commit_index)
    assert last_term is not None
    return SnapshotRequest(
        state.term,
        state.me.member_id,
        state.commit_index,
        last_term,
        encode_membership(membership_at(state, state.commit_index)),
        encode_full(state.replicated_state),
        state.leader_state.round_number,
    )


def _apply_up_to(state: ControlState, now_ms: int, index: int) -> list[Effect]:
    effects: list[Effect] = []
    while state.commit_index < index:
        entry = state.log.entry(state.commit_index + 1)
        command = decode(COMMANDS, entry.command)
        result = _apply(state, entry, command, effects)
        state.commit_index = entry.log_index
        if result.failure:
            state.refused_indexes.add(entry.log_index)
        if state.leader_state is not None:
            effects += _after_apply(state, now_ms, entry, command, result)
    return effects + _compact(state)


def _apply(
    state: ControlState, entry: LogEntry, command: Any, effects: list[Effect]
) -> ChangeResult:
    if isinstance(command, CodecFault):
        text = f"entry {entry.log_index} can't be read: {command.reason}; upgrade this process"
        effects.append(LogEvent("error", "entry_unreadable", text))
        state.replicated_state.revision = entry.log_index
        return ChangeResult("", 0, entry.log_index)
    return apply_command(state.replicated_state, entry.log_index, command)


def _after_apply(
    state: ControlState, now_ms: int, entry: LogEntry, command: Any, result: ChangeResult
) -> list[Effect]:
    assert state.leader_state is not None
    state.leader_state.proposals_in_flight.pop(entry.command, None)
    if isinstance(command, AssignHomes):
        for name, _ in command.groups:
            state.leader_state.assignments_in_flight.pop(name, None)
    if isinstance(command, BeginFailover):
        return failover.handle_failover_started(state, now_ms, entry.log_index, command)
    if isinstance(command, EndFailover):
        failover.handle_failover_ended(state, command)
    return operators.answer_change(state, entry.log_index, command, result)


def _compact(state: ControlState) -> list[Effect]:
    held = state.commit_index - state.log.start_index
    if held < state.settings.snapshot_entries + state.settings.entries_kept:
        return []
    last_term = state.log.term_at(state.commit_index)
    assert last_term is not None
    membership = membership_at(state, state.commit_index)
    effect = SaveSnapshot(
        state.commit_index,
        last_term,
        encode_membership(membership),
        encode_full(state.replicated_state),
    )
    keep_from = state.commit_index - state.settings.entries_kept
    state.snapshot_membership = membership_at(state, keep_from)
    state.memberships = [item for item in state.memberships if item[0] > keep_from]
    state.log.compact(keep_from)
    state.refused_indexes = {index for index in state.refused_indexes if index > keep_from}
    return [effect]
