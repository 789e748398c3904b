"""The model of a replicated service: logs, terms, replication and promotion, without I/O.

A commit is acknowledged once one replica has received it. A replica applies what it received a
while later, and serves reads from what it has applied.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from endivewick_core.positions import Position

USUAL_LAG_MS = 30.0  # between receiving and applying, where nothing is wrong


class Entry(NamedTuple):
    """One commit: the requests that wrote it, and what they wrote."""

    term: int
    request_ids: tuple[str, ...]
    writes: tuple[tuple[str, str], ...]


@dataclass(slots=True)
class Member:
    """One upstream's copy of the log.

    ``received_ms`` tells when each entry that is not applied yet was received. A member with a
    ``held_term`` above its own receives nothing. ``is_linked`` is unset while it is cut off from
    the other members.
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
    held_term: int = 0
    lag_ms: float = USUAL_LAG_MS

    @property
    def position(self) -> Position:
        """Return the position up to which reads are served."""
        return Position(self.term, self.applied)

    @property
    def received(self) -> Position:
        """Return the position up to which the log was received."""
        return Position(self.term, len(self.log))


@dataclass(slots=True)
class Database:
    """A service's members, by name."""

    service: str
    members: dict[str, Member] = field(default_factory=dict)

    def leader(self) -> Member | None:
        """Return the member that leads, up or not."""
        return next((item for item in self.members.values() if item.is_leader), None)


def append(
    member: Member, request_ids: tuple[str, ...], writes: tuple[tuple[str, str], ...]
) -> int:
    """Add a commit to the leader's log; return its number, from 1 on."""
    member.log.append(Entry(member.term, request_ids, writes))
    member.applied = len(member.log)
    member.data.update(writes)
    return member.applied


def is_replicated(database: Database, leader: Member, number: int) -> bool:
    """Tell whether a replica has received the leader's entry ``number``."""
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
        if leader is not None and linked and member.held_term <= leader.term:
            _receive(member, leader, now_ms)
        while member.received_ms and now_ms - member.received_ms[0] >= member.lag_ms:
            member.received_ms.popleft()
            member.data.update(member.log[member.applied].writes)
            member.applied += 1


def promote(database: Database, name: str) -> Member:
    """Let a member lead the next term with what it has received, and nothing more."""
    term = max(item.term for item in database.members.values()) + 1
    for member in database.members.values():
        member.is_leader = member.name == name
    target = database.members[name]
    target.term = term
    target.held_term = 0
    _apply_all(target)
    return target


def succeed(database: Database, name: str, successor: str) -> Member:
    """Replace a member by a replica with its log under another name."""
    left = database.members.pop(name)
    member = Member(successor, left.data_centre, left.term, list(left.log))
    _apply_all(member)
    database.members[successor] = member
    return member


def _receive(member: Member, leader: Member, now_ms: float) -> None:
    common = min(len(member.log), len(leader.log))
    while common and member.log[common - 1] is not leader.log[common - 1]:
        common -= 1
    if common < len(member.log):
        del member.log[common:]
        member.applied = min(member.applied, common)
        member.received_ms = deque([now_ms] * (common - member.applied))
        member.data = _replay(member.log[: member.applied])
    member.term = leader.term
    fresh = leader.log[common:]
    member.log += fresh
    member.received_ms.extend([now_ms] * len(fresh))


def _apply_all(member: Member) -> None:
    member.received_ms.clear()
    member.applied = len(member.log)
    member.data = _replay(member.log)


def _replay(log: list[Entry]) -> dict[str, str]:
    data: dict[str, str] = {}
    for entry in log:
        data.update(entry.writes)
    return data
