"""Log positions of a database group, and the comparisons between them.

A position is a pair of a term and a log offset. Offsets continue from one term to the next. If a
new term starts below the end of the previous one, the group has forked, and the positions of
earlier terms above the fork are lost.
"""

from collections.abc import Sequence
from typing import NamedTuple


class Position(NamedTuple):
    """A position in a group's log, as its upstreams report it."""

    term: int
    offset: int


class Fork(NamedTuple):
    """The start of a term; positions of earlier terms above ``start_index`` are lost."""

    term: int
    start_index: int


ZERO = Position(0, 0)
FORKS_KEPT = 64


def format_position(position: Position | None) -> str:
    """Return a position as ``term.offset`` for log lines, an empty text for None."""
    return f"{position.term}.{position.offset}" if position is not None else ""


def survives(position: Position, forks: Sequence[Fork]) -> bool:
    """Return whether ``position`` is still part of the group's history after ``forks``.

    Only the last ``FORKS_KEPT`` forks are stored; a position from before them counts as lost.
    """
    if len(forks) >= FORKS_KEPT and position.term < forks[0].term - 1:
        return False
    for fork in forks:
        if fork.term > position.term and position.offset > fork.start_index:
            return False
    return True


def covers(replica: Position, wanted: Position) -> bool:
    """Return whether an upstream at position ``replica`` has everything up to ``wanted``.

    The caller has to check first that ``wanted`` survives the group's forks.
    """
    return replica.term >= wanted.term and replica.offset >= wanted.offset
