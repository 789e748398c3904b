"""How many operations a second a tenant lately ran, as an average that fades."""

import math
from dataclasses import dataclass

USAGE_TIME_S = 4.0  # over which usage is averaged


@dataclass(slots=True)
class Usage:
    """A count of operations that fades, as of ``updated_ms``."""

    count: float = 0.0
    updated_ms: int = 0


def add_usage(usage: Usage, now_ms: int, count: int) -> None:
    """Count operations that ran now."""
    _fade(usage, now_ms)
    usage.count += count


def usage_per_s(usage: Usage, now_ms: int) -> float:
    """Return the average number of operations a second as of ``now_ms``."""
    _fade(usage, now_ms)
    return usage.count / USAGE_TIME_S


def _fade(usage: Usage, now_ms: int) -> None:
    passed_s = (now_ms - usage.updated_ms) / 1000
    if passed_s <= 0:
        return
    usage.count *= math.exp(-passed_s / USAGE_TIME_S)
    usage.updated_ms = now_ms
