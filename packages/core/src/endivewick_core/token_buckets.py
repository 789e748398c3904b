"""A token bucket that is divided among holders.

A bucket has a rate, a burst and a level. Its owner gives holders parts of rate and burst for a
limited time, and moves tokens of its level to them. The parts never add up to more than the whole,
so all buckets together issue no more in any window than the undivided bucket could. A part that
ends goes back without its level.

Parts are fractions of the limit. A new limit therefore takes effect wherever it is known, without a
new division.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

WHOLE_PPM = 1_000_000
# Tokens beyond the burst, so that each control process can keep a whole token of a small limit. The
# allowed deviation is 20 operations in a window; the rest of it covers the ages of tokens.
SPARE_TOKENS = 12.0
ROUNDING = 1e-6  # a token that lacks less than this is whole


class TokenLimit(NamedTuple):
    """The limit of a tenant: operations per second, and how many may come at once."""

    rate_per_s: float
    burst: float


class Part(NamedTuple):
    """A part of a limit's rate and burst, in millionths."""

    rate_ppm: int = 0
    burst_ppm: int = 0


class Grant(NamedTuple):
    """A part that a holder may use until ``until_ms``; later grants have higher serials."""

    serial: int
    part: Part
    until_ms: int


@dataclass(slots=True)
class Bucket:
    """A token bucket; ``level`` is as of ``updated_ms``."""

    rate_per_s: float = 0.0
    burst: float = 0.0
    level: float = 0.0
    updated_ms: int = 0


@dataclass(slots=True)
class Division:
    """A limit that is divided: its undivided rest, and the grants that may be in use by holder.

    A holder may use any of its grants, since an answer may be lost or late; ``used`` is the largest
    one of each. No grant ends before ``next_end_ms``. ``demands`` is what each holder lately
    needed, in tokens per second.
    """

    undivided: Bucket = field(default_factory=Bucket)
    grants: dict[str, list[Grant]] = field(default_factory=dict)
    used: dict[str, Part] = field(default_factory=dict)
    next_end_ms: int = 0
    demands: dict[str, float] = field(default_factory=dict)


def capacity(limit: TokenLimit) -> float:
    """Return the largest level of all buckets of a limit together."""
    return limit.burst + SPARE_TOKENS if limit.rate_per_s > 0 else 0.0


def refill(bucket: Bucket, now_ms: int) -> None:
    """Add the tokens since the last refill; an earlier time than that adds none."""
    passed_ms = now_ms - bucket.updated_ms
    if passed_ms <= 0:
        return
    bucket.level = min(bucket.burst, bucket.level + bucket.rate_per_s * passed_ms / 1000)
    bucket.updated_ms = now_ms


def resize(bucket: Bucket, now_ms: int, limit: TokenLimit, part: Part) -> None:
    """Give a bucket a part of a limit; tokens above its new burst are dropped."""
    refill(bucket, now_ms)
    bucket.rate_per_s = limit.rate_per_s * part.rate_ppm / WHOLE_PPM
    bucket.burst = capacity(limit) * part.burst_ppm / WHOLE_PPM
    bucket.level = min(bucket.level, bucket.burst)


def add(bucket: Bucket, tokens: float) -> None:
    """Add tokens of the parent bucket, as many as fit."""
    bucket.level = min(bucket.burst, bucket.level + tokens)


def take(bucket: Bucket, now_ms: int, count: int) -> int:
    """Take up to ``count`` whole tokens; return how many."""
    refill(bucket, now_ms)
    tokens = min(count, int(bucket.level + ROUNDING))
    bucket.level = max(0.0, bucket.level - tokens)
    return tokens


def reserved(division: Division, but_holder: str = "") -> Part:
    """Return the sum of what holders may use, with ``but_holder`` left out."""
    rate_ppm = burst_ppm = 0
    for holder, part in division.used.items():
        if holder != but_holder:
            rate_ppm += part.rate_ppm
            burst_ppm += part.burst_ppm
    return Part(rate_ppm, burst_ppm)


def rest(division: Division, but_holder: str = "") -> Part:
    """Return the part that no holder may use, with ``but_holder`` left out."""
    part = reserved(division, but_holder)
    return Part(max(0, WHOLE_PPM - part.rate_ppm), max(0, WHOLE_PPM - part.burst_ppm))


def hold(division: Division, holder: str, grant: Grant) -> None:
    """Reserve a part that a holder may use."""
    division.grants.setdefault(holder, []).append(grant)
    division.next_end_ms = min(division.next_end_ms, grant.until_ms)
    _update_used(division, holder)


def confirm(division: Division, holder: str, serial: int) -> None:
    """Free the parts of grants that a holder has replaced by the one with this serial."""
    grants = division.grants.get(holder, [])
    division.grants[holder] = [grant for grant in grants if grant.serial >= serial]
    _update_used(division, holder)


def remove_ended(division: Division, now_ms: int) -> None:
    """Remove the grants that have ended, and the holders without one."""
    if now_ms <= division.next_end_ms:
        return
    for holder, grants in list(division.grants.items()):
        division.grants[holder] = [grant for grant in grants if now_ms <= grant.until_ms]
        _update_used(division, holder)
        if not division.grants[holder]:
            del division.grants[holder], division.used[holder]
            division.demands.pop(holder, None)
    ends_ms = [grant.until_ms for grants in division.grants.values() for grant in grants]
    division.next_end_ms = min(ends_ms, default=now_ms)


def _update_used(division: Division, holder: str) -> None:
    rate_ppm = burst_ppm = 0
    for grant in division.grants[holder]:
        rate_ppm = max(rate_ppm, grant.part.rate_ppm)
        burst_ppm = max(burst_ppm, grant.part.burst_ppm)
    division.used[holder] = Part(rate_ppm, burst_ppm)


def refresh(division: Division, now_ms: int, limit: TokenLimit, holds_back: bool) -> None:
    """Remove the grants that have ended, and let the undivided bucket have their part.

    While the owner ``holds_back``, it may not know of all grants, so nothing is undivided.
    """
    remove_ended(division, now_ms)
    part = Part() if holds_back else rest(division)
    resize(division.undivided, now_ms, limit, part)


def give(
    division: Division,
    now_ms: int,
    limit: TokenLimit,
    holder: str,
    grant: Grant,
    level: float,
    tokens: float,
) -> float:
    """Give a holder a grant with up to ``tokens`` of the undivided level; return how many.

    The grant must lie within the rest without this holder, which has ``level`` tokens.
    """
    undivided = division.undivided
    room = capacity(limit) * grant.part.burst_ppm / WHOLE_PPM - level
    given = max(0.0, min(tokens, undivided.level, room))
    undivided.level -= given
    hold(division, holder, grant)
    resize(undivided, now_ms, limit, rest(division))
    return given
