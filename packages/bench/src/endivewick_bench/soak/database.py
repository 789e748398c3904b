"""A model of a replicated service: logs, terms, replication and promotion, without I/O.

A commit is acknowledged once one replica has received it. A replica applies received entries after
a lag, and serves reads from the applied ones.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from endivewick_core.positions import Position

DEFAULT_LAG_MS = 30.0  # between receiving and applying an entry, without faults
# A former leader that isn't fenced stops this long after it can reach the new one.
UNFENCED_LEADER_MS = 1_000.0


class Entry(NamedTuple):
    """The log entry of one commit: its requests and their writes."""

    term: int
    request_ids: tuple[str, ...]
    writes: tuple[tuple[str, str], ...]


@dataclass(slots=True)
class Member:
    """One upstream's copy of the log.

    ``received_ms`` holds when each entry that is not applied yet was received. While
    ``paused_term`` or ``is_deaf`` is set, a member receives nothing. ``is_linked`` is unset while
    it is partitioned from the other members. ``newer_leader_ms`` is since when a former leader
    that isn't fenced can reach the leader of a newer term.
    """

    name: str
    data_centre: str
    term: int = 1
    log: list[Entry] = field(default_factory=list)
    applied: int = 0
    received_ms: deque[float] = field(default_factory=deque)
    data: dict[str, str] = field(default_factory=dict)
    is_leader: bool = False
    is_up: bool = True
    is_linked: bool = True
    is_deaf: bool = False
    paused_term: int = 0
    newer_leader_ms: float | None = None
    lag_ms: float = DEFAULT_LAG_MS

    @property
    def position(self) -> Position:
        """Return the position up to which reads are served."""
        return Position(self.term, self.applied)

    @property
    def received(self) -> Position:
        """Return the position up to which the log has been received."""
        return Position(self.term, len(self.log))


@dataclass(slots=True)
class Database:
    """A service's members, by name.

    With ``is_fenced``, a promotion ends the former leader's leadership at once. ``newest_term``
    outlives its leader. ``acknowledged`` is the newest acknowledged entry and its number.
    """

    service: str
    members: dict[str, Member] = field(default_factory=dict)
    is_fenced: bool = True
    newest_term: int = 1
    acknowledged: tuple[int, Entry] | None = None

    def leader(self) -> Member | None:
        """Return the leader of the newest term, even while it is down."""
        leaders = [item for item in self.members.values() if item.is_leader]
        return max(leaders, key=lambda item: item.term, default=None)


def append(
    member: Member, request_ids: tuple[str, ...], writes: tuple[tuple[str, str], ...]
) -> int:
    """Append a commit to the leader's log; return its number, counted from 1."""
    member.log.append(Entry(member.term, request_ids, writes))
    member.applied = len(member.log)
    member.data.update(writes)
    return member.applied


def is_replicated(database: Database, leader: Member, number: int) -> bool:
    """Return whether a replica has received the leader's entry ``number``."""
    entry = leader.log[number - 1]
    return any(
        len(item.log) >= number and item.log[number - 1] is entry
        for item in database.members.values()
        if item is not leader
    )


def replicate(database: Database, now_ms: float) -> None:
    """Let the replicas receive what the leader has, and apply what is due."""
    leader = database.leader()
    for member in database.members.values():
        if member is leader or not member.is_up:
            continue
        linked = leader is not None and leader.is_up and leader.is_linked and member.is_linked
        if member.is_leader:
            _notice_newer_leader(member, linked, now_ms)
            continue
        if leader is not None and linked and not member.paused_term and not member.is_deaf:
            _receive_log(member, leader, now_ms)
        while member.received_ms and now_ms - member.received_ms[0] >= member.lag_ms:
            member.received_ms.popleft()
            member.data.update(member.log[member.applied].writes)
            member.applied += 1


def record_acknowledged(database: Database, number: int, entry: Entry) -> None:
    """Record that a commit was acknowledged."""
    known = database.acknowledged
    if known is None or (entry.term, number) > (known[1].term, known[0]):
        database.acknowledged = (number, entry)


def has_acknowledged(database: Database, member: Member) -> bool:
    """Return whether a member has every acknowledged commit."""
    if database.acknowledged is None:
        return True
    number, entry = database.acknowledged
    return len(member.log) >= number and member.log[number - 1] is entry


def promote(database: Database, name: str) -> Member:
    """Make a member the leader of the next term, with only the entries it has received."""
    database.newest_term += 1
    target = database.members[name]
    for member in database.members.values():
        goes_on = member.is_leader and member.is_up and not database.is_fenced
        member.is_leader = member is target or goes_on
        member.paused_term = 0
    target.term = database.newest_term
    _apply_all(target)
    return target


def pause(database: Database, member: Member, term: int) -> None:
    """Stop a member from receiving, provided that ``term`` is above the newest one."""
    if term > database.newest_term:
        member.paused_term = term


def step_down(member: Member, term: int) -> None:
    """Make the leader of a term below ``term`` a replica."""
    if member.term < term:
        member.is_leader = False


def restart(member: Member) -> None:
    """Let a crashed member run again, with its log; it receives even if it was paused."""
    member.is_up = True
    member.paused_term = 0


def replace_member(database: Database, name: str, successor: str) -> Member:
    """Replace a member by a replica of another name with the same log."""
    old = database.members.pop(name)
    member = Member(successor, old.data_centre, old.term, list(old.log))
    _apply_all(member)
    database.members[successor] = member
    return member


def _notice_newer_leader(member: Member, is_linked: bool, now_ms: float) -> None:
    """Make a former leader a replica, some time after it can reach the new leader."""
    if not is_linked:
        member.newer_leader_ms = None
        return
    if member.newer_leader_ms is None:
        member.newer_leader_ms = now_ms
    if now_ms - member.newer_leader_ms >= UNFENCED_LEADER_MS:
        member.is_leader = False
        member.newer_leader_ms = None


def _receive_log(member: Member, leader: Member, now_ms: float) -> None:
    common_length = min(len(member.log), len(leader.log))
    while common_length and member.log[common_length - 1] is not leader.log[common_length - 1]:
        common_length -= 1
    if common_length < len(member.log):
        del member.log[common_length:]
        member.applied = min(member.applied, common_length)
        member.received_ms = deque([now_ms] * (common_length - member.applied))
        member.data = _replay(member.log[: member.applied])
    member.term = leader.term
    missing = leader.log[common_length:]
    member.log += missing
    member.received_ms.extend([now_ms] * len(missing))


def _apply_all(member: Member) -> None:
    member.received_ms.clear()
    member.applied = len(member.log)
    member.data = _replay(member.log)


def _replay(log: list[Entry]) -> dict[str, str]:
    data: dict[str, str] = {}
    for entry in log:
        data.update(entry.writes)
    return data
