"""Watermarks: log positions that bound how stale a read is.

A watermark ``(as_of_ms, position)`` states that every commit acknowledged before ``as_of_ms`` is at
or below ``position``. A process obtains it from a primary that it probes at ``as_of_ms``, on its
own clock. The primary responds inside a transaction, which it refuses once it is no longer the
primary. A watermark only gets older when it is passed to another process, never newer.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from .positions import Position

RETENTION_MS = 10_000  # longer than the staleness that routes usually allow


class Watermark(NamedTuple):
    """A bound: every commit acknowledged before ``as_of_ms`` is at or below ``position``."""

    as_of_ms: int
    position: Position


@dataclass(slots=True)
class WatermarkHistory:
    """The recent watermarks of one service, oldest first."""

    marks: deque[Watermark] = field(default_factory=deque)

    @property
    def newest(self) -> Watermark | None:
        """Return the newest watermark, None if there is none."""
        return self.marks[-1] if self.marks else None


def add_watermark(history: WatermarkHistory, as_of_ms: int, position: Position) -> None:
    """Add a watermark, unless it is no newer than the newest one."""
    newest = history.newest
    if newest is not None and as_of_ms <= newest.as_of_ms:
        return
    history.marks.append(Watermark(as_of_ms, position))
    while history.marks[0].as_of_ms < as_of_ms - RETENTION_MS:
        history.marks.popleft()


def required_position(history: WatermarkHistory, now_ms: int, staleness_ms: int) -> Position | None:
    """Return the lowest position that a read at ``now_ms`` needs, None if none is known."""
    for mark in history.marks:
        if mark.as_of_ms >= now_ms - staleness_ms:
            return mark.position
    return None
