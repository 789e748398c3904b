"""Leases of proxies, and the replication of the log to them.

A proxy's heartbeat waits for a leadership round that starts after its arrival. The reply brings the
proxy to the commit index and renews its lease, which counts from the moment the heartbeat was sent.
A new leader waits one whole lease before it reassigns a home of a proxy that it has had no contact
with.
"""

from ..codec import CodecFault, decode
from ..commands import COMMANDS, PROXY_COMMANDS
from ..messages import HeartbeatReply, LeaderHint, LogEntry, ProxyHeartbeat
from ..replicated_state import encode_replicated_state
from . import replication
from .effects import Effect, LogEvent, Send
from .state import ControlState, PendingHeartbeat, ProxyLease, Role

MAX_ENTRIES_PER_REPLY = 2_000
LEASE_RETENTION_FACTOR = 20  # expired leases are kept for this many lease durations


def handle_heartbeat(state: ControlState, now_ms: int, heartbeat: ProxyHeartbeat) -> list[Effect]:
    """Handle a proxy's heartbeat and propose the commands in it; refer it to a known leader."""
    if state.role is not Role.LEADER or state.leader_state is None:
        leader = state.leader.partition("#")[0]
        address = state.settings.members.get(leader, "")
        return [Send(heartbeat.address, LeaderHint(heartbeat.sequence, address))]
    state.leader_state.pending_heartbeats.append(
        PendingHeartbeat(state.leader_state.round_number + 1, heartbeat)
    )
    state.leader_state.round_requested = True
    effects: list[Effect] = []
    for proposal in heartbeat.proposals:
        effects += _accept_proposal(state, heartbeat, proposal)
    if effects:
        effects += replication.start_round(state, now_ms)
    return effects


def answer_heartbeats(state: ControlState, now_ms: int, confirmed: int) -> list[Effect]:
    """Reply to the heartbeats whose round is confirmed by a quorum."""
    leader_state = state.leader_state
    if leader_state is None:
        return []
    pending = leader_state.pending_heartbeats
    leader_state.pending_heartbeats = [item for item in pending if item.round_number > confirmed]
    effects: list[Effect] = []
    replies: dict[int, list[LogEntry]] = {}
    for item in pending:
        if item.round_number > confirmed:
            continue
        effects.append(_answer_heartbeat(state, now_ms, item.heartbeat, replies))
    return effects


def has_expired(state: ControlState, now_ms: int, lease: ProxyLease) -> bool:
    """Return whether a lease has expired, also by the proxy's clock, with a margin for drift."""
    settings = state.settings
    return now_ms - lease.granted_ms > settings.lease_ms + settings.lease_margin_ms


def earlier_leases_expired(state: ControlState, now_ms: int) -> bool:
    """Return whether all leases that an earlier leader may have granted have expired."""
    assert state.leader_state is not None
    settings = state.settings
    return now_ms - state.leader_state.since_ms > settings.lease_ms + settings.lease_margin_ms


def remove_old_leases(state: ControlState, now_ms: int) -> None:
    """Remove leases that expired long ago, so that stopped proxies don't accumulate."""
    assert state.leader_state is not None
    limit_ms = LEASE_RETENTION_FACTOR * state.settings.lease_ms
    leases = state.leader_state.leases
    gone = [key for key, lease in leases.items() if now_ms - lease.granted_ms > limit_ms]
    for key in gone:
        del leases[key]


def _accept_proposal(
    state: ControlState, heartbeat: ProxyHeartbeat, proposal: bytes
) -> list[Effect]:
    leader_state = state.leader_state
    assert leader_state is not None
    if proposal in leader_state.proposals_in_flight:
        return []
    command = decode(COMMANDS, proposal)
    if isinstance(command, CodecFault) or not isinstance(command, PROXY_COMMANDS):
        text = f"{heartbeat.proxy} proposed a command that proxies may not propose"
        return [LogEvent("warning", "proposal_refused", text)]
    effects = replication.propose(state, proposal)
    leader_state.proposals_in_flight[proposal] = state.log.last_index
    return effects


def _answer_heartbeat(
    state: ControlState,
    now_ms: int,
    heartbeat: ProxyHeartbeat,
    replies: dict[int, list[LogEntry]],
) -> Send:
    assert state.leader_state is not None
    revision = heartbeat.revision
    key = (heartbeat.proxy, heartbeat.boot)
    lease_ms = 0 if _is_losing_home(state, heartbeat) else state.settings.lease_ms
    lease = ProxyLease(
        heartbeat.proxy,
        heartbeat.boot,
        heartbeat.address,
        heartbeat.http_address,
        heartbeat.data_centre,
        now_ms,
        revision,
        heartbeat.draining,
    )
    if lease_ms:
        state.leader_state.leases[key] = lease
    entries, machine_index, machine = _changes_since(state, revision, replies)
    release = state.leader_state.groups_to_release.pop(key, [])
    reply = HeartbeatReply(
        heartbeat.sequence,
        lease_ms,
        state.commit_index,
        entries,
        machine_index,
        machine,
        release,
    )
    return Send(heartbeat.address, reply)


def _is_losing_home(state: ControlState, heartbeat: ProxyHeartbeat) -> bool:
    """Return whether an uncommitted entry reassigns a home of this proxy."""
    assert state.leader_state is not None
    for name in state.leader_state.assignments_in_flight:
        group = state.replicated_state.groups.get(name)
        if group is not None and group.home_boot == heartbeat.boot:
            return True
    return False


def _changes_since(
    state: ControlState, revision: int, replies: dict[int, list[LogEntry]]
) -> tuple[list[LogEntry], int, bytes]:
    if revision > state.commit_index:
        return [], 0, b""
    gap = state.commit_index - revision
    if revision < state.log.start_index or gap > MAX_ENTRIES_PER_REPLY:
        machine_index, machine = _snapshot(state)
        return [], machine_index, machine
    if revision not in replies:
        entries = state.log.slice(revision, gap)
        replies[revision] = [_entry_for_proxy(state, entry) for entry in entries]
    return replies[revision], 0, b""


def _entry_for_proxy(state: ControlState, entry: LogEntry) -> LogEntry:
    """Return the entry as it is sent to proxies: without its command if that was refused."""
    return entry._replace(command=b"") if entry.log_index in state.refused_indexes else entry


def _snapshot(state: ControlState) -> tuple[int, bytes]:
    """Return a snapshot for proxies, cached until the log no longer reaches back to it.

    The cache matters when a data centre recovers and many proxies start at once.
    """
    leader_state = state.leader_state
    assert leader_state is not None
    index, data = leader_state.snapshot
    gap = state.commit_index - index
    if not data or index < state.log.start_index or gap > MAX_ENTRIES_PER_REPLY:
        data = encode_replicated_state(state.replicated_state, with_changes=False)
        leader_state.snapshot = (state.commit_index, data)
    return leader_state.snapshot
