"""Counts of statement outcomes by upstream: reported by gateways, summed by control and aged.

All functions are pure. Counts lose half of their value in each half-life, so that a sum describes
the last seconds at any rate of statements. Successes age faster than failures: an upstream that has
served well until now is found failing within a second, and a failure is remembered for longer.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

HALF_LIFE_MS = 2_000  # of failures and rejections: a recovered upstream is well within seconds
SUCCESS_HALF_LIFE_MS = 500  # with 2,000 ms, a failing upstream had kept half of its reads for 2 s
MAX_REPORTED_UPSTREAMS = 12  # in one poll; keeps the counts of a poll below 600 bytes
MIN_WEIGHT = 0.02  # the share of reads by which a recovery is detected
# A share f of failures leaves the weight (1 - f) ** FAILURE_EXPONENT: a tenth 0.66, a half 0.06.
FAILURE_EXPONENT = 4


class UpstreamCounts(NamedTuple):
    """Outcomes of an upstream's statements.

    ``failed`` counts answers with an error of the upstream itself, ``rejected`` those for lack of
    capacity, ``lost`` statements whose connection ended, and ``unanswered`` those without an answer
    in time. ``service_ms`` is the sum of the times of those that succeeded. ``running`` is the
    number of statements that wait for an answer now; it is a level and not a count.
    """

    succeeded: int = 0
    failed: int = 0
    rejected: int = 0
    lost: int = 0
    unanswered: int = 0
    service_ms: int = 0
    running: int = 0


NO_COUNTS = UpstreamCounts()


class UpstreamWeight(NamedTuple):
    """What control has found of an upstream.

    ``weight_percent`` is the share of its usual reads that it should get, and ``load_percent`` the
    share of its slots that is in use. The newest figure that they rest on is ``age_ms`` old.
    """

    weight_percent: int
    load_percent: int
    age_ms: int


class Tally(NamedTuple):
    """Aged sums of outcomes, as of ``updated_ms``; ``bad`` covers all that did not succeed.

    ``rejected`` is apart from ``bad``, since a rejection for lack of capacity is no failure.
    """

    updated_ms: int = 0
    succeeded: float = 0.0
    bad: float = 0.0
    rejected: float = 0.0


@dataclass(slots=True)
class UpstreamHealth:
    """What a gateway has seen of an upstream, and what control told of it at ``told_ms``.

    ``unreported`` holds the counts since the last report at ``reported_ms``, and
    ``reported_running`` the level in that report.
    ``answered_ms`` is when the upstream last answered a statement, ``opened_ms`` when it last
    accepted a connection completely. While ``now < unresponsive_until_ms`` it is taken for an
    upstream that answers nothing; ``unresponsive_count`` counts such findings without an answer in
    between. ``logged_weight`` is the weight in the last log line.
    """

    unreported: UpstreamCounts = NO_COUNTS
    reported_running: int = 0
    reported_ms: int = 0
    tally: Tally = field(default_factory=Tally)
    answered_ms: int = 0
    opened_ms: int = 0
    unresponsive_until_ms: int = 0
    unresponsive_count: int = 0
    told: UpstreamWeight | None = None
    told_ms: int = 0
    logged_weight: float = 1.0


def add(first: UpstreamCounts, second: UpstreamCounts) -> UpstreamCounts:
    """Return the sums of two counts, also of their levels."""
    return UpstreamCounts(*(one + other for one, other in zip(first, second, strict=True)))


def age(tally: Tally, now_ms: int) -> Tally:
    """Return a tally as of ``now_ms``."""
    passed_ms = now_ms - tally.updated_ms
    if passed_ms <= 0:
        return tally
    factor = 0.5 ** (passed_ms / HALF_LIFE_MS)
    succeeded = tally.succeeded * 0.5 ** (passed_ms / SUCCESS_HALF_LIFE_MS)
    return Tally(now_ms, succeeded, tally.bad * factor, tally.rejected * factor)


def add_counts(tally: Tally, now_ms: int, counts: UpstreamCounts) -> Tally:
    """Return a tally as of ``now_ms`` with new counts in it."""
    aged = age(tally, now_ms)
    bad = counts.failed + counts.lost + counts.unanswered
    return Tally(
        max(now_ms, aged.updated_ms),
        aged.succeeded + counts.succeeded,
        aged.bad + bad,
        aged.rejected + counts.rejected,
    )


def weight_of(tally: Tally, prior: float) -> float:
    """Return the weight, from MIN_WEIGHT to 1, that follows from the share of failures.

    ``prior`` is the number of successes that are assumed besides, so that one failure of a few
    statements doesn't count as a share of them.
    """
    if tally.bad <= 0:
        return 1.0
    failed = tally.bad / (tally.succeeded + tally.bad + prior)
    return max(MIN_WEIGHT, (1 - failed) ** FAILURE_EXPONENT)


def select_reported(counts: dict[str, UpstreamCounts]) -> dict[str, UpstreamCounts]:
    """Return the counts that one poll carries: the upstreams with most failures first."""
    if len(counts) <= MAX_REPORTED_UPSTREAMS:
        return counts

    def urgency(upstream: str) -> tuple[int, int]:
        item = counts[upstream]
        return (-(item.failed + item.lost + item.unanswered), -(item.succeeded + item.rejected))

    chosen = sorted(counts, key=urgency)[:MAX_REPORTED_UPSTREAMS]
    return {upstream: counts[upstream] for upstream in chosen}
