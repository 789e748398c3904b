"""Watermarks: log positions that prove how fresh a read is.

A watermark ``(as_of_ms, position)`` says that every commit that was acknowledged before
``as_of_ms`` is at or below ``position``. It comes from a primary that was asked at ``as_of_ms``, on
the clock of the process that asked, and answered inside a transaction, which it refuses once it has
lost the lead. Passing a watermark on makes it older, never newer.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from .positions import Position

KEPT_MS = 10_000  # longer than the staleness that routes commonly allow


class Watermark(NamedTuple):
    """Every commit acknowledged before ``as_of_ms`` is at or below ``position``."""

    as_of_ms: int
    position: Position


@dataclass(slots=True)
class WatermarkHistory:
    """The watermarks of one database, oldest first."""

    marks: deque[Watermark] = field(default_factory=deque)

    @property
    def newest(self) -> Watermark | None:
        """Return the newest watermark, or None where there is none."""
        return self.marks[-1] if self.marks else None


def note_watermark(history: WatermarkHistory, as_of_ms: int, position: Position) -> None:
    """Add a watermark; one that is older than the newest adds nothing."""
    newest = history.newest
    if newest is not None and as_of_ms <= newest.as_of_ms:
        return
    history.marks.append(Watermark(as_of_ms, position))
    while history.marks[0].as_of_ms < as_of_ms - KEPT_MS:
        history.marks.popleft()


def position_for(history: WatermarkHistory, now_ms: int, staleness_ms: int) -> Position | None:
    """Return the lowest position that allows a read at ``now_ms``, or None where none is known."""
    for mark in history.marks:
        if mark.as_of_ms >= now_ms - staleness_ms:
            return mark.position
    return None
