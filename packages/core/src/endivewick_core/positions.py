"""Log positions of a database group, and the comparisons between them.

A position is a pair of a term and a log offset. Offsets count on from one term to the next; where a
new term began below the end of the previous one, the group forked and the tail above the fork is
lost.
"""

from collections.abc import Sequence
from typing import NamedTuple


class Position(NamedTuple):
    """A place in a group's log, as an upstream exposes it."""

    term: int
    offset: int


class Fork(NamedTuple):
    """The start of a term: positions of earlier terms above ``start_index`` were lost."""

    term: int
    start_index: int


ZERO = Position(0, 0)
FORKS_KEPT = 64


def survives(position: Position, forks: Sequence[Fork]) -> bool:
    """Tell whether a position of an earlier term is part of the group's present history.

    Only the last ``FORKS_KEPT`` forks are known; a position from before them counts as lost.
    """
    if len(forks) >= FORKS_KEPT and position.term < forks[0].term - 1:
        return False
    for fork in forks:
        if fork.term > position.term and position.offset > fork.start_index:
            return False
    return True


def covers(replica: Position, wanted: Position) -> bool:
    """Tell whether a replica at ``replica`` holds everything up to ``wanted``.

    The caller has checked that ``wanted`` survives the group's forks.
    """
    return replica.term >= wanted.term and replica.offset >= wanted.offset
