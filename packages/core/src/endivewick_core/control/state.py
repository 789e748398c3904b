"""The state of a control process: its log, its role, and its data about services."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

import msgspec

from ..messages import ControlPeer, Member, ProxyHeartbeat
from ..replicated_state import ReplicatedState
from .log import Log
from .quota_state import QuotaState
from .service_state import DirectoryState, FailoverState, LeaseState, WatchState


class ControlSettings(NamedTuple):
    """The timing of the quorum, and the addresses of the other control processes.

    ``members`` maps the names of the control processes to their addresses. Where it is empty, the
    processes are discovered: each is named by its address, ``seeds`` are contacted first, and up to
    ``voter_target`` processes vote. ``me`` holds the addresses of this process.
    ``primary_lease_ms`` is how long a lease on a primary lasts; without leases it is 0.
    ``fences_primaries`` is whether a primary stops to lead at the moment when another upstream is
    promoted. ``uses_upstream_weights`` is whether gateways are told weights of upstreams.
    A voter without contact to the leader for ``lost_voter_ms`` may be replaced by a learner.
    """

    members: dict[str, str]
    operator_addresses: dict[str, str]
    seeds: tuple[str, ...] = ()
    voter_target: int = 0
    me: ControlPeer = ControlPeer("", "", "")
    heartbeat_ms: int = 100
    election_timeout_ms: int = 600
    lease_ms: int = 2_000
    lease_margin_ms: int = 100
    primary_lease_ms: int = 0
    fences_primaries: bool = True
    # Whether gateways open connections as the demand of all gateways together allows.
    coordinates_connections: bool = False
    join_interval_ms: int = 500
    lost_voter_ms: int = 5_000
    snapshot_entries: int = 1_000
    entries_kept: int = 200
    batch_entries: int = 256
    uses_upstream_weights: bool = False


class Membership(NamedTuple):
    """The identities that vote, and those that only replicate the log."""

    voters: list[Member]
    learners: list[Member]


class Role(StrEnum):
    """The role of a control process in the current term."""

    EMPTY = "empty"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Progress(NamedTuple):
    """The replication progress of one member, as its leader knows it."""

    next_index: int
    match_index: int
    round_number: int
    last_contact_ms: int
    sent_ms: int


class ProxyLease(NamedTuple):
    """The latest lease that this leader granted to a proxy process."""

    proxy: str
    boot: str
    address: str
    http_address: str
    data_centre: str
    granted_ms: int
    revision: int
    draining: bool


class PendingHeartbeat(NamedTuple):
    """A proxy's heartbeat that waits until ``round_number`` has a quorum."""

    round_number: int
    heartbeat: ProxyHeartbeat


class PendingRead(NamedTuple):
    """An operator's read that waits until ``round_number`` has a quorum."""

    round_number: int
    number: int
    request: object


class PendingChange(NamedTuple):
    """An operator's change that waits for its entry to be committed."""

    number: int
    term: int


@dataclass(slots=True)
class LeaderState:
    """The state that only a leader holds, from its election to the end of its leadership.

    ``assignments_in_flight`` maps groups to the index of the uncommitted entry that assigns their
    home. ``groups_to_release`` holds the groups that a proxy is asked to release, because it holds
    more than its share. ``round_starts`` pairs the latest confirmed round, and those after it, with
    their start times. ``handover_requests_ms`` maps voters that are about to stop to the time of
    their last request for a successor.
    """

    since_ms: int
    start_index: int
    round_number: int = 0
    round_started_ms: int = 0
    round_requested: bool = True
    round_starts: deque[tuple[int, int]] = field(default_factory=deque)
    answered_round: int = 0
    snapshot: tuple[int, bytes] = (0, b"")
    placement_due_ms: int = 0
    progress: dict[str, Progress] = field(default_factory=dict)
    leases: dict[tuple[str, str], ProxyLease] = field(default_factory=dict)
    pending_heartbeats: list[PendingHeartbeat] = field(default_factory=list)
    pending_reads: list[PendingRead] = field(default_factory=list)
    pending_changes: dict[int, PendingChange] = field(default_factory=dict)
    proposals_in_flight: dict[bytes, int] = field(default_factory=dict)
    assignments_in_flight: dict[str, int] = field(default_factory=dict)
    groups_to_release: dict[tuple[str, str], list[str]] = field(default_factory=dict)
    balance_due_ms: int = 0
    answered_due_ms: int = 0
    handover_requests_ms: dict[str, int] = field(default_factory=dict)


class RefusedVote(NamedTuple):
    """The refusal of a candidate that was logged last, at ``logged_ms``.

    ``cause`` is what decided it; ``repeated`` counts the equal refusals after it.
    """

    cause: tuple[str, ...]
    logged_ms: int
    repeated: int = 0


class VoteAnswer(NamedTuple):
    """A voter's last answer to this candidate."""

    received_ms: int
    term: int
    granted: bool
    pre_vote: bool


@dataclass(slots=True)
class ElectionRecord:
    """What was seen of elections since the last leader was known, for the log only.

    ``refused`` holds refusals by candidate, and ``answers`` the answers of voters.
    ``candidate_since_ms`` is when this process first asked for votes, and ``elections`` how often
    it has. ``logged_ms`` is when its lack of success was last logged.
    """

    refused: dict[str, RefusedVote] = field(default_factory=dict)
    answers: dict[str, VoteAnswer] = field(default_factory=dict)
    candidate_since_ms: int | None = None
    elections: int = 0
    logged_ms: int | None = None


@dataclass(slots=True)
class PlannedStop:
    """The planned stop of this process: at ``deadline_ms``, or earlier once ``may_stop`` is set."""

    requested_ms: int
    deadline_ms: int
    request_due_ms: int = 0
    may_stop: bool = False


@dataclass(slots=True)
class ControlState:
    """The whole state of a control process; only ``reduce`` changes it.

    ``election_random`` is the random number of the last tick, from 0 to 1.

    ``refused_indexes`` holds the indexes of log entries whose command failed and changed nothing.
    """

    settings: ControlSettings
    me: Member
    role: Role = Role.EMPTY
    term: int = 0
    voted_for: str = ""
    log: Log = field(default_factory=Log)
    commit_index: int = 0
    replicated_state: ReplicatedState = field(default_factory=ReplicatedState)
    refused_indexes: set[int] = field(default_factory=set)
    memberships: list[tuple[int, Membership]] = field(default_factory=list)
    snapshot_membership: Membership = Membership([], [])
    leader: str = ""
    leader_last_contact_ms: int = 0
    election_due_ms: int = 0
    election_random: float = 0.0
    votes: set[str] = field(default_factory=set)
    election_record: ElectionRecord = field(default_factory=ElectionRecord)
    join_due_ms: int = 0
    join_replies: dict[str, tuple[int, bool]] = field(default_factory=dict)
    leader_state: LeaderState | None = None
    directory_state: DirectoryState = field(default_factory=DirectoryState)
    watch: WatchState = field(default_factory=WatchState)
    failover: FailoverState = field(default_factory=FailoverState)
    primary_leases: LeaseState = field(default_factory=LeaseState)
    quotas: QuotaState = field(default_factory=QuotaState)
    planned_stop: PlannedStop | None = None

    @property
    def membership(self) -> Membership:
        """The latest membership in the log, committed or not."""
        return self.memberships[-1][1] if self.memberships else self.snapshot_membership


def is_voter(state: ControlState) -> bool:
    """Return whether this identity votes."""
    return any(member.member_id == state.me.member_id for member in state.membership.voters)


def is_voter_anywhere(state: ControlState, member_id: str) -> bool:
    """Return whether an identity votes by the committed membership or by one after it."""
    memberships = [membership_at(state, state.commit_index)]
    memberships += [item for index, item in state.memberships if index > state.commit_index]
    return any(
        voter.member_id == member_id for membership in memberships for voter in membership.voters
    )


def membership_at(state: ControlState, index: int) -> Membership:
    """Return the membership as of the log entry at ``index``."""
    latest = state.snapshot_membership
    for entry_index, membership in state.memberships:
        if entry_index <= index:
            latest = membership
    return latest


def majority(voters: list[Member]) -> int:
    """Return how many of the voters form a majority."""
    return len(voters) // 2 + 1


def quorum_size(state: ControlState) -> int:
    """Return the number of voters that form a majority."""
    return majority(state.membership.voters)


def peers(state: ControlState) -> list[Member]:
    """Return the other voters and learners."""
    everyone = state.membership.voters + state.membership.learners
    return [member for member in everyone if member.member_id != state.me.member_id]


def member_by_id(state: ControlState, member_id: str) -> Member | None:
    """Return the voter or learner with this identity."""
    for member in state.membership.voters + state.membership.learners:
        if member.member_id == member_id:
            return member
    return None


_membership_decoder = msgspec.msgpack.Decoder(Membership)


def encode_membership(membership: Membership) -> bytes:
    """Return the encoding of a membership in snapshots."""
    return msgspec.msgpack.encode(membership)


def decode_membership(data: bytes) -> Membership:
    """Return the membership that a snapshot carries."""
    return _membership_decoder.decode(data)
