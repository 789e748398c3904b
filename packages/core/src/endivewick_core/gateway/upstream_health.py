"""A gateway's judgement of upstreams: its own counts, combined with the weights that control told.

A weight is the share of reads for which an upstream is a candidate. Which reads these are follows
from a hash of the gateway, the request and the upstream, so that gateways don't choose alike. An
upstream that is no candidate is still used where no other can serve the request. Everything here
takes effect only with ``GatewaySettings.uses_upstream_weights``.
"""

import xxhash

from ..statements import UPSTREAM_DID_NOT_RUN, Error, Fault, TransactionState
from ..upstream_statistics import (
    MIN_WEIGHT,
    NO_COUNTS,
    UpstreamCounts,
    UpstreamWeight,
    add,
    add_counts,
    select_reported,
    weight_of,
)
from .effects import Effect, LogEvent
from .state import GatewayState, Request, Session, UpstreamPool

TOLD_MAX_AGE_MS = 3_000  # what control told longer ago is ignored; control ages its own findings
OWN_PRIOR = 1.0  # assumed successes: the first failure of a gateway leaves a weight of 0.06
# An upstream that has not answered anything for this long, plus SILENCE_FACTOR times its mean
# latency, is taken for unresponsive. Another attempt then fits into an objective of 600 ms.
SILENCE_MS = 120
SILENCE_FACTOR = 2.5
MAX_CHECK_GAP_MS = (
    200  # after a longer gap this process was suspended, and not the upstreams silent
)
MAX_SILENCE_MS = 300  # also for an upstream whose mean latency is high
UNRESPONSIVE_MS = 2_000  # how long an upstream is avoided after that; doubles while it is silent
MAX_UNRESPONSIVE_MS = 8_000
OVERDUE_SHARE = 0.4  # of the latency objective; a read without an answer is then sent elsewhere
NOT_ADMITTED_COST_MS = 10_000.0  # above every latency, so that any admitted upstream is cheaper
UNRESPONSIVE_COST_MS = 20_000.0
# What a read costs more, at most, where all slots are in use; four times as much at twice the load.
# This is about the way to another region, where a rejected read would go after a delay.
FULL_COST_MS = 40.0
MAX_READ_ATTEMPTS = 6  # of a single read while an upstream that it didn't try accepts work
# A request that has waited for longer takes an idle connection of the next best upstream.
ELSEWHERE_AFTER_MS = 50
OPEN_ELSEWHERE_AFTER_MS = 150  # and after this long, a connection is opened there
# A read that has only an unresponsive upstream left must not hold up the reads behind it. More than
# this many would cost a gateway with a full queue too much time in each tick.
MAX_BLOCKED_READS = 4
POLL_ADVANCE_MS = 150  # of a poll that reports failures; usual polls are 250 ms apart
# Between reports of an upstream without failures, so that all gateways together send at most 400 a
# second for it. Up to 100 gateways report with each poll.
REPORT_INTERVAL_MS_PER_GATEWAY = 2.5
NOT_THE_UPSTREAM = UPSTREAM_DID_NOT_RUN | {Fault.BAD_REQUEST, Fault.ABORTED}


def is_unresponsive(state: GatewayState, now_ms: int, item: UpstreamPool) -> bool:
    """Tell whether an upstream is taken for one that answers nothing."""
    return state.settings.uses_upstream_weights and now_ms < item.health.unresponsive_until_ms


def record_answer(item: UpstreamPool, now_ms: int) -> None:
    """Record that an upstream answered any statement, or refused it."""
    item.health.answered_ms = item.health.opened_ms = now_ms
    item.health.unresponsive_until_ms = item.health.unresponsive_count = 0


def record_opened(item: UpstreamPool, now_ms: int) -> None:
    """Record that an upstream accepted a connection; it may answer nothing all the same."""
    item.health.opened_ms = now_ms


def record_reply(item: UpstreamPool, now_ms: int, sent_ms: int, error: Error | None) -> None:
    """Count the answer to a statement that was sent at ``sent_ms``."""
    if error is None:
        _count(item, now_ms, UpstreamCounts(succeeded=1, service_ms=max(0, now_ms - sent_ms)))
    elif error.fault is Fault.BUSY:
        _count(item, now_ms, UpstreamCounts(rejected=1))
    elif error.fault not in NOT_THE_UPSTREAM:
        _count(item, now_ms, UpstreamCounts(failed=1))


def record_lost(item: UpstreamPool, now_ms: int, statements: int, fault: Fault) -> None:
    """Count the statements of a connection that ended, or 1 for one that could not be opened."""
    if not statements or fault is Fault.TOO_MANY_CONNECTIONS:
        return
    if fault is Fault.TIMEOUT:
        _count(item, now_ms, UpstreamCounts(unanswered=statements))
        return
    _count(item, now_ms, UpstreamCounts(lost=statements))


def record_unanswered(item: UpstreamPool, now_ms: int) -> None:
    """Count a statement that is sent elsewhere since its answer is overdue."""
    _count(item, now_ms, UpstreamCounts(unanswered=1))


def take_report(state: GatewayState, now_ms: int) -> dict[str, UpstreamCounts]:
    """Return the counts since the last report, and count from zero again.

    Upstreams without failures are reported less often where there are many gateways.
    """
    if not state.settings.uses_upstream_weights:
        return {}
    changed: dict[str, UpstreamCounts] = {}
    interval_ms = REPORT_INTERVAL_MS_PER_GATEWAY * state.control.gateways
    for item in state.pools.values():
        health = item.health
        if now_ms - health.reported_ms < interval_ms and not _has_failures(item):
            continue
        if health.unreported != NO_COUNTS or item.running != health.reported_running:
            changed[item.upstream] = health.unreported._replace(running=max(0, item.running))
    reported = select_reported(changed)
    for upstream, counts in reported.items():
        health = state.pools[upstream].health
        health.unreported = NO_COUNTS
        health.reported_ms = now_ms
        health.reported_running = counts.running
    return reported


def poll_advance_ms(state: GatewayState) -> int:
    """Return how much earlier the next poll is due, since it reports failures."""
    if not state.settings.uses_upstream_weights:
        return 0
    return POLL_ADVANCE_MS if any(map(_has_failures, state.pools.values())) else 0


def apply_told(state: GatewayState, sent_ms: int, weights: dict[str, UpstreamWeight]) -> None:
    """Store what control found; an upstream that it doesn't name has its full weight."""
    if not state.settings.uses_upstream_weights:
        return
    for item in state.pools.values():
        told = weights.get(item.upstream)
        item.health.told = told
        item.health.told_ms = sent_ms


def weight(state: GatewayState, now_ms: int, item: UpstreamPool) -> float:
    """Return an upstream's weight: the lower one of this gateway's figures and control's."""
    if is_unresponsive(state, now_ms, item):
        return MIN_WEIGHT
    health = item.health
    own = weight_of(add_counts(health.tally, now_ms, NO_COUNTS), OWN_PRIOR)
    told = health.told
    if told is None or now_ms - health.told_ms > TOLD_MAX_AGE_MS:
        return own
    return max(MIN_WEIGHT, min(own, told.weight_percent / 100))


def read_cost_ms(
    state: GatewayState,
    now_ms: int,
    item: UpstreamPool,
    session: Session,
    request: Request,
    cost_ms: float,
) -> float:
    """Return the cost of a read at an upstream, from its cost by this gateway's own latencies."""
    if not state.settings.uses_upstream_weights:
        return cost_ms
    fraction = _fraction(state, request, item)
    cost_ms += FULL_COST_MS * fraction * _load(now_ms, item) ** 2
    if _admits(state, now_ms, item, session, request, fraction):
        return cost_ms
    if is_unresponsive(state, now_ms, item):
        return cost_ms + UNRESPONSIVE_COST_MS
    return cost_ms + NOT_ADMITTED_COST_MS


def may_use_next(state: GatewayState, now_ms: int, request: Request, item: UpstreamPool) -> bool:
    """Tell whether a request that waits for the best upstream may take this one instead."""
    if not state.settings.uses_upstream_weights:
        return False
    after_ms = ELSEWHERE_AFTER_MS if item.idle else OPEN_ELSEWHERE_AFTER_MS
    return now_ms - request.received_ms >= after_ms


def max_blocked_reads(state: GatewayState) -> int:
    """Return how many queued reads may have to wait before the rest of the queue does."""
    return MAX_BLOCKED_READS if state.settings.uses_upstream_weights else 1


def has_responsive(state: GatewayState, now_ms: int, items: list[UpstreamPool]) -> bool:
    """Tell whether any of these upstreams isn't taken for one that answers nothing."""
    return any(not is_unresponsive(state, now_ms, item) for item in items)


def forget_tried(state: GatewayState, now_ms: int, request: Request) -> bool:
    """Let a request try again every upstream, if only an unresponsive primary is left to it."""
    primary = state.pools.get(state.primaries.get(request.route.service, ""))
    if not state.settings.uses_upstream_weights or not request.tried:
        return False
    if primary is not None and not is_unresponsive(state, now_ms, primary):
        return False
    request.tried.clear()
    return True


def max_attempts(state: GatewayState, request: Request, default: int) -> int:
    """Return how often a single read is sent: more often while an upstream is left to it."""
    if not state.settings.uses_upstream_weights:
        return default
    for item in state.pools.values():
        if item.service != request.route.service or item.upstream in request.tried:
            continue
        if item.upstream != request.upstream and item.upstream in state.directory.entries:
            return MAX_READ_ATTEMPTS
    return default


def overdue_ms(state: GatewayState, request: Request, moves: bool, default_ms: float) -> float:
    """Return after how long the answer to a read is overdue.

    ``moves`` is set if its upstream answers nothing and another one may serve it.
    """
    if not state.settings.uses_upstream_weights:
        return default_ms
    if moves:
        return silence_ms(state.pools[request.upstream])
    return min(default_ms, max(SILENCE_MS, OVERDUE_SHARE * request.route.objective_ms))


def find_unresponsive(state: GatewayState, now_ms: int) -> list[UpstreamPool]:
    """Mark the upstreams that have answered nothing for too long; return the newly found ones."""
    found: list[UpstreamPool] = []
    if not state.settings.uses_upstream_weights:
        return found
    was_suspended = now_ms - state.silence_checked_ms > MAX_CHECK_GAP_MS
    state.silence_checked_ms = now_ms
    for item in state.pools.values():
        health = item.health
        if was_suspended:
            # Answers that came meanwhile are not read yet; what waits starts to wait now.
            health.answered_ms = health.opened_ms = now_ms
        if now_ms < health.unresponsive_until_ms or _silent_ms(item, now_ms) < silence_ms(item):
            continue
        avoided_ms = min(MAX_UNRESPONSIVE_MS, UNRESPONSIVE_MS * 2**health.unresponsive_count)
        health.unresponsive_until_ms = now_ms + avoided_ms
        health.unresponsive_count = min(health.unresponsive_count + 1, 8)
        found.append(item)
    return found


def silence_ms(item: UpstreamPool) -> float:
    """Return after how long without any answer an upstream is taken for unresponsive."""
    return min(MAX_SILENCE_MS, SILENCE_MS + SILENCE_FACTOR * item.latency_ms)


def log_changes(state: GatewayState, now_ms: int) -> list[Effect]:
    """Return a log event for each upstream whose weight has halved, doubled or become full."""
    effects: list[Effect] = []
    if not state.settings.uses_upstream_weights:
        return effects
    for item in state.pools.values():
        new, previous = weight(state, now_ms, item), item.health.logged_weight
        if previous / 2 < new < previous * 2 and (new < 0.99 or previous >= 0.99):
            continue
        item.health.logged_weight = new
        tally, told = item.health.tally, item.health.told
        inputs: dict[str, object] = {
            "upstream": item.upstream,
            "service": item.service,
            "previous": round(previous, 2),
            "succeeded": round(tally.succeeded, 1),
            "failed": round(tally.bad, 1),
            "counted_ms_ago": now_ms - tally.updated_ms if tally.updated_ms else None,
            "unresponsive": is_unresponsive(state, now_ms, item),
            "told_percent": told.weight_percent if told is not None else None,
            "told_ms_ago": now_ms - item.health.told_ms if item.health.told_ms else None,
            "told_age_ms": told.age_ms if told is not None else None,
        }
        outcome = f"{new:.2f}"
        effects.append(LogEvent("info", "upstream_weight_changed", "", "", inputs, outcome))
    return effects


def count_reduced(state: GatewayState, now_ms: int) -> int:
    """Return the number of upstreams whose weight is below one half; 0 without weights."""
    if not state.settings.uses_upstream_weights:
        return 0
    return sum(1 for item in state.pools.values() if weight(state, now_ms, item) < 0.5)


def _has_failures(item: UpstreamPool) -> bool:
    counts = item.health.unreported
    return bool(counts.failed or counts.lost or counts.unanswered)


def _count(item: UpstreamPool, now_ms: int, counts: UpstreamCounts) -> None:
    health = item.health
    health.unreported = add(health.unreported, counts)
    health.tally = add_counts(health.tally, now_ms, counts)


def _silent_ms(item: UpstreamPool, now_ms: int) -> int:
    """Return how long an upstream has answered nothing while something waits for it, or 0."""
    answer_ms, opening_ms = now_ms, now_ms
    for connection in item.connections.values():
        if not connection.is_open:
            opening_ms = min(opening_ms, connection.opened_ms)
        elif connection.pending:
            answer_ms = min(answer_ms, connection.pending[0].sent_ms)
    unanswered_ms = now_ms - max(answer_ms, item.health.answered_ms)
    unopened_ms = now_ms - max(opening_ms, item.health.opened_ms)
    return max(0, unanswered_ms, unopened_ms)


def _load(now_ms: int, item: UpstreamPool) -> float:
    told = item.health.told
    if told is None or now_ms - item.health.told_ms > TOLD_MAX_AGE_MS:
        return 0.0
    return told.load_percent / 100


def _admits(
    state: GatewayState,
    now_ms: int,
    item: UpstreamPool,
    session: Session,
    request: Request,
    fraction: float,
) -> bool:
    """Tell whether an upstream is a candidate for a read.

    Transactions and repeated reads are no part of the trickle that detects recovery.
    """
    share = weight(state, now_ms, item)
    if share <= MIN_WEIGHT and (session.state is TransactionState.OPEN or request.attempts):
        return False
    return fraction < share


def _fraction(state: GatewayState, request: Request, item: UpstreamPool) -> float:
    """Return a number from 0 to 1 that differs by gateway, request, attempt and upstream."""
    key = f"{state.settings.address} {request.serial} {request.attempts} {item.upstream}"
    return float(xxhash.xxh3_64_intdigest(key.encode())) / 2.0**64
