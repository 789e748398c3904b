"""Weights of upstreams: outcomes that gateways report, summed over all control processes.

A weight falls at once when statements fail, and returns in steps, so that gateways don't all come
back at the same moment. Every process computes the weights by itself from the same sums. Everything
here takes effect only with ``ControlSettings.uses_upstream_weights``.
"""

from collections import Counter

from ..messages import DirectoryQuestion
from ..upstream_statistics import (
    NO_COUNTS,
    Tally,
    UpstreamCounts,
    UpstreamWeight,
    add_counts,
    age,
    weight_of,
)
from . import probes
from .effects import Effect, LogEvent
from .service_state import GatheredWeight
from .state import ControlState

UPDATE_INTERVAL_MS = 100  # between two computations of the weights
PRIOR = 1.0  # assumed successes; more would let half of the reads return to a rarely used upstream
STEP_MS = 1_000  # between two steps of a weight that returns: longer than the delay of its effect
STEP_FACTOR = 2.0  # a weight at most doubles in a step, so that from 0.05 it takes five steps
MIN_STEP = 0.1
RUNNING_MAX_AGE_MS = 3_000  # older levels of running statements are ignored
FINDING_MAX_AGE_MS = 6_000  # without a newer outcome an upstream's weight then returns in steps
REDUCED_WEIGHT = 0.5  # a sum of this process below it is shared with the other processes at once
EARLY_SHARE_INTERVAL_MS = 200  # at least, between two shares for this reason
NOTED_LOAD = 0.5  # gateways are told the load of upstreams with more of their slots in use
LOAD_HALF_LIFE_MS = 400  # of the mean of the levels that gateways report every 250 ms
NEGLIGIBLE = 0.05  # sums below it are removed
MAX_UPSTREAMS = 32  # in a share or an answer; keeps their part below 1,200 bytes


def record(state: ControlState, now_ms: int, request: DirectoryQuestion) -> None:
    """Add the outcomes that a gateway reported with its poll."""
    if not state.settings.uses_upstream_weights:
        return
    gathered = state.directory_state.weights
    for upstream, counts in request.upstream_counts.items():
        tally = gathered.tallies.get(upstream, Tally(now_ms))
        gathered.tallies[upstream] = add_counts(tally, now_ms, counts)
        running = gathered.running.setdefault(upstream, {})
        running[request.gateway] = (counts.running, now_ms)


def shared_counts(state: ControlState, now_ms: int) -> dict[str, UpstreamCounts]:
    """Return the sums of this process's gateways, for the other control processes."""
    gathered = state.directory_state.weights
    counts: dict[str, UpstreamCounts] = {}
    for upstream, tally in gathered.tallies.items():
        aged = age(tally, now_ms)
        item = UpstreamCounts(
            succeeded=round(aged.succeeded),
            failed=round(aged.bad),
            rejected=round(aged.rejected),
            running=_own_running(state, now_ms, upstream),
        )
        if item != NO_COUNTS:
            counts[upstream] = item
    chosen = sorted(counts, key=lambda name: (-counts[name].failed, -counts[name].running, name))
    return {upstream: counts[upstream] for upstream in chosen[:MAX_UPSTREAMS]}


def answer_weights(state: ControlState, now_ms: int) -> dict[str, UpstreamWeight]:
    """Return what gateways are told: the upstreams with a lower weight or few free slots."""
    noted = [
        (item.weight, -item.load, upstream)
        for upstream, item in state.directory_state.weights.weights.items()
        if item.weight < 1 or item.load >= NOTED_LOAD
    ]
    weights: dict[str, UpstreamWeight] = {}
    for _, _, upstream in sorted(noted)[:MAX_UPSTREAMS]:
        item = state.directory_state.weights.weights[upstream]
        age_ms = max(0, now_ms - item.as_of_ms)
        weights[upstream] = UpstreamWeight(
            max(1, round(item.weight * 100)), round(item.load * 100), age_ms
        )
    return weights


def needs_early_share(state: ControlState, now_ms: int) -> bool:
    """Tell whether this process's gateways found another upstream that fails; note it as shared."""
    gathered = state.directory_state.weights
    reduced = frozenset(
        upstream
        for upstream, tally in gathered.tallies.items()
        if weight_of(age(tally, now_ms), PRIOR) < REDUCED_WEIGHT
    )
    is_new = not reduced <= gathered.reduced_shared
    if is_new and now_ms - gathered.shared_early_ms < EARLY_SHARE_INTERVAL_MS:
        return False
    gathered.reduced_shared = reduced
    if is_new:
        gathered.shared_early_ms = now_ms
    return is_new


def update(state: ControlState, now_ms: int) -> list[Effect]:
    """Compute the weights again; return a log event for each that halved, doubled or is full."""
    gathered = state.directory_state.weights
    if not state.settings.uses_upstream_weights or now_ms < gathered.update_due_ms:
        return []
    passed_ms = UPDATE_INTERVAL_MS + now_ms - gathered.update_due_ms
    gathered.update_due_ms = now_ms + UPDATE_INTERVAL_MS
    _remove_old(state, now_ms)
    effects: list[Effect] = []
    for upstream in sorted(_known(state, now_ms)):
        tally, as_of_ms = _sum_tallies(state, now_ms, upstream)
        item = gathered.weights.get(upstream)
        if item is None:
            item = gathered.weights[upstream] = GatheredWeight(raised_ms=now_ms)
        item.as_of_ms = max(item.as_of_ms, as_of_ms)
        target_load = _load(state, now_ms, upstream, tally)
        kept = 0.5 ** (min(passed_ms, 10 * LOAD_HALF_LIFE_MS) / LOAD_HALF_LIFE_MS)
        item.load = item.load * kept + target_load * (1 - kept)
        is_old = now_ms - item.as_of_ms > FINDING_MAX_AGE_MS
        target = 1.0 if is_old else weight_of(tally, PRIOR)
        item.weight, item.raised_ms = _next_weight(item.weight, item.raised_ms, now_ms, target)
        previous = item.logged_weight
        if previous / 2 < item.weight < previous * 2 and (item.weight < 1 or previous >= 1):
            continue
        item.logged_weight = item.weight
        effects.append(_log_event(state, now_ms, upstream, previous, item, tally))
    return effects


def _next_weight(weight: float, raised_ms: int, now_ms: int, target: float) -> tuple[float, int]:
    """Return a weight that fell to its target or took a step to it, and when it last changed."""
    target = 1.0 if target > 0.97 else target
    if target < weight:
        return target, now_ms
    if target == weight or now_ms - raised_ms < STEP_MS:
        return weight, raised_ms
    return min(target, max(weight * STEP_FACTOR, weight + MIN_STEP)), now_ms


def _known(state: ControlState, now_ms: int) -> set[str]:
    gathered = state.directory_state.weights
    names = set(gathered.tallies) | set(gathered.weights)
    for peer in probes.live_peers(state, now_ms):
        names.update(peer.upstream_counts)
    return names & state.directory_state.directory.entries.keys()


def _sum_tallies(state: ControlState, now_ms: int, upstream: str) -> tuple[Tally, int]:
    """Return the sum over all control processes, and the time of its newest part."""
    own = state.directory_state.weights.tallies.get(upstream)
    total = age(own, now_ms) if own is not None else Tally(now_ms)
    as_of_ms = own.updated_ms if own is not None else 0
    for peer in probes.live_peers(state, now_ms):
        counts = peer.upstream_counts.get(upstream)
        if counts is None:
            continue
        as_of_ms = max(as_of_ms, peer.last_received_ms)
        aged = age(add_counts(Tally(), peer.last_received_ms, counts), now_ms)
        total = Tally(
            now_ms,
            total.succeeded + aged.succeeded,
            total.bad + aged.bad,
            total.rejected + aged.rejected,
        )
    return total, as_of_ms


def _load(state: ControlState, now_ms: int, upstream: str, tally: Tally) -> float:
    """Return the share of an upstream's slots in use; rejections add their share of statements."""
    running = _own_running(state, now_ms, upstream)
    for peer in probes.live_peers(state, now_ms):
        running += peer.upstream_counts.get(upstream, NO_COUNTS).running
    slots = max(1, state.directory_state.directory.entries[upstream].report.slots)
    arrived = tally.succeeded + tally.bad + tally.rejected
    return running / slots + tally.rejected / (arrived + PRIOR)


def _own_running(state: ControlState, now_ms: int, upstream: str) -> int:
    reported = state.directory_state.weights.running.get(upstream, {})
    return sum(
        running
        for running, reported_ms in reported.values()
        if now_ms - reported_ms <= RUNNING_MAX_AGE_MS
    )


def _remove_old(state: ControlState, now_ms: int) -> None:
    """Remove what no longer matters: departed gateways and upstreams, and negligible sums."""
    gathered = state.directory_state.weights
    entries = state.directory_state.directory.entries
    for upstream, tally in list(gathered.tallies.items()):
        aged = age(tally, now_ms)
        if upstream not in entries or aged.succeeded + aged.bad + aged.rejected < NEGLIGIBLE:
            del gathered.tallies[upstream]
    for upstream, reported in list(gathered.running.items()):
        for gateway, (_, reported_ms) in list(reported.items()):
            if now_ms - reported_ms > RUNNING_MAX_AGE_MS:
                del reported[gateway]
        if not reported or upstream not in entries:
            del gathered.running[upstream]
    for upstream, item in list(gathered.weights.items()):
        if upstream not in entries or (
            item.weight >= 1 and item.load < 0.01 and upstream not in gathered.tallies
        ):
            del gathered.weights[upstream]


def _log_event(
    state: ControlState,
    now_ms: int,
    upstream: str,
    previous: float,
    item: GatheredWeight,
    tally: Tally,
) -> Effect:
    sources = Counter(upstream in peer.upstream_counts for peer in probes.live_peers(state, now_ms))
    inputs: dict[str, object] = {
        "upstream": upstream,
        "service": state.directory_state.directory.entries[upstream].report.service,
        "previous": round(previous, 2),
        "succeeded": round(tally.succeeded, 1),
        "failed": round(tally.bad, 1),
        "rejected": round(tally.rejected, 1),
        "load": round(item.load, 2),
        "newest_ms_ago": now_ms - item.as_of_ms,
        "other_processes": sources[True],
    }
    text = f"{upstream} gets {item.weight:.0%} of its reads, {previous:.0%} before"
    return LogEvent("info", "upstream_weight_changed", text, inputs)
