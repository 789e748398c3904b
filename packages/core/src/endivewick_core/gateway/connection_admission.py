"""Which connections a gateway may open, so that all gateways together stay below the limit.

Control adds up how many connections all gateways claim and how many more they want. Until it knows
how many gateways there are, each gateway opens one connection to each upstream. Later it opens up
to its equal share, which is free by construction, and more only by a draw: each gateway gets a part
of what no gateway claims, in proportion to what it wants. A refusal for the connection limit is
followed by a growing delay with jitter, which is shorter for requests of the highest priority.

All functions take effect only with ``GatewaySettings.coordinates_connections``.
"""

import math

import xxhash

from ..messages import ConnectionDemand, DirectoryAnswer
from ..statements import Fault
from . import holders
from .effects import Effect, LogEvent
from .state import GatewayState, Purpose, UpstreamPool

# A draw is visible to all gateways after a poll (250 ms) and a share between control processes
# (1,000 ms).
DRAW_INTERVAL_MS = 1_250
# Figures are up to one draw old, so that drawing all that is free would exceed the limit.
DRAWN_PART = 0.5
MAX_DEMAND_AGE_MS = 1_500  # no connection above the share on older figures of control
# After so long without figures, control doesn't coordinate openings; the equal share still holds.
UNKNOWN_DEMAND_MS = 5_000
PREOPEN_SPREAD_MS = 1_000  # openings that no request waits for are spread over this time
PREOPEN_RETRY_MS = 1_500  # after a refusal; half of the time for which dead connections count
# An upstream counts the connections of a gateway without power for 3,000 ms. With a longest delay
# of 1,200 ms, a third of its connections were open again 750 ms after that.
MAX_REFUSED_BACKOFF_MS = 450
# After a restart requests failed without a connection for seconds although all was well again: a
# delay of 2,000 ms is longer than their timeout.
MAX_COORDINATED_BACKOFF_MS = 500
CONNECT_BACKOFF_MS = 100  # base of the pause after failed connections; doubles with each failure
MAX_CONNECT_BACKOFF_MS = 2_000  # so that an upstream that recovered is found in time
MOVED_BACKOFF_MS = 1_000  # after another upstream answered; a report corrects the address
HIGHEST_PRIORITY = 0
# Statements of one gateway that wait at an upstream, besides its share of the slots. With fewer,
# one busy data centre could not use the slots that the others leave.
QUEUED_AT_UPSTREAM = 3
# A statement is not counted as running after the answer to one that was sent so much later. Its own
# answer is probably lost, and would count until its connection is closed.
LOST_ANSWER_MS = 250


def limit(state: GatewayState, now_ms: int, pool: UpstreamPool, share: int) -> int:
    """Return how many connections to an upstream this gateway may have now."""
    link = state.control
    if link.demand is None:
        if share > 1 and holders.are_needed(state, pool.service):
            return share  # The shares of holders don't depend on the number of gateways.
        since_ms = link.first_answer_ms
        if since_ms is None or now_ms - since_ms < UNKNOWN_DEMAND_MS:
            return 1
        return share
    if pool.upstream in link.contended or now_ms - link.demand_received_ms > MAX_DEMAND_AGE_MS:
        pool.opening.extra = 0
        return share
    return share + pool.opening.extra


def max_opening(state: GatewayState, pool: UpstreamPool, limit: int) -> int:
    """Return how many connections may be opened at a time; one after a refusal, to try again."""
    if state.settings.coordinates_connections and pool.opening.refusals:
        return 1
    return limit


def is_full(state: GatewayState, pool: UpstreamPool) -> bool:
    """Tell whether an upstream has enough statements of this gateway, so that others wait here.

    Here the queue has an order. The bound is this gateway's share of the slots and a small queue,
    of which an upstream that refuses statements for lack of capacity gets less. The statements of
    open transactions are not bound.
    """
    if not state.settings.coordinates_connections:
        return False
    entry = state.directory.entries.get(pool.upstream)
    slots = entry.report.slots if entry is not None else 1
    queued = max(0, QUEUED_AT_UPSTREAM - pool.consecutive_busy_count)
    bound = math.ceil(slots / holders.count(state, pool.service)) + queued
    if pool.running < bound:
        return False
    lost_before_ms = pool.opening.newest_answered_ms - LOST_ANSWER_MS
    running = sum(
        1
        for connection in pool.connections.values()
        for pending in connection.pending
        if pending.purpose is Purpose.WORK and pending.sent_ms >= lost_before_ms
    )
    return running >= bound


def record_answer_time(state: GatewayState, pool: UpstreamPool, sent_ms: int) -> None:
    """Record the answer to a statement sent at ``sent_ms``, and let waiting requests be dispatched.

    The answer may leave its connection in use, which then causes no dispatch.
    """
    pool.opening.newest_answered_ms = max(pool.opening.newest_answered_ms, sent_ms)
    if state.settings.coordinates_connections and state.queued:
        state.follow_up.services.append(pool.service)


def demand(state: GatewayState) -> dict[str, ConnectionDemand]:
    """Return this gateway's demand for connections by upstream, as it is reported to control."""
    if not state.settings.coordinates_connections:
        return {}
    demands: dict[str, ConnectionDemand] = {}
    for pool in state.pools.values():
        claimed = max(len(pool.connections), holders.share(state, pool.service))
        unmet = max(0, _wanted(state, pool) - claimed)
        pool.opening.reported_unmet = unmet
        if claimed:
            demands[pool.upstream] = ConnectionDemand(claimed, unmet)
    return demands


def record_answer(state: GatewayState, now_ms: int, answer: DirectoryAnswer) -> list[Effect]:
    """Record the demand and the number of all gateways that control answered with.

    While the number still grows, as many gateways are expected in each data centre as in this one,
    so that connection holders are chosen before each gateway opens connections of its own. A
    control process that has just started knows fewer than the one before.
    """
    if not state.settings.coordinates_connections:
        return []
    link = state.control
    if link.first_answer_ms is None:
        link.first_answer_ms = now_ms
    if answer.demand is None:
        expected = len(answer.neighbours) * max(1, len(state.settings.regions))
        link.gateways = max(link.gateways, expected, link.counted_gateways)
        if link.demand is not None:
            return []  # Another control process, started lately; the equal share still holds.
    link.counted_gateways = link.gateways if answer.demand is not None else 0
    is_first = link.demand is None and answer.demand is not None
    link.demand = answer.demand
    link.demand_received_ms = now_ms
    if answer.demand is None:
        return []
    for pool in state.pools.values():
        if now_ms - pool.opening.drawn_ms >= DRAW_INTERVAL_MS:
            _draw(state, now_ms, pool)
    if not is_first:
        return []
    inputs: dict[str, object] = {
        "control": link.address,
        "gateways": link.gateways,
        "waited_ms": now_ms - link.first_answer_ms,
    }
    return [LogEvent("info", "gateways_counted", "", "", inputs, "shares in force")]


def log_opening(state: GatewayState, now_ms: int, pool: UpstreamPool) -> list[Effect]:
    """Log that a connection above this gateway's share is opened, with what allowed it."""
    share = holders.share(state, pool.service)
    if not state.settings.coordinates_connections or len(pool.connections) <= max(1, share):
        return []
    link = state.control
    known = link.demand.get(pool.upstream) if link.demand is not None else None
    inputs: dict[str, object] = {
        "upstream": pool.upstream,
        "connections": len(pool.connections),
        "share": share,
        "claimed": known.claimed if known is not None else None,
        "unmet": known.unmet if known is not None else None,
        "available": holders.available_connections(state, pool.service),
        "demand_age_ms": now_ms - link.demand_received_ms,
    }
    return [LogEvent("info", "connection_above_share", "", "", inputs, pool.upstream)]


def may_preopen(state: GatewayState, now_ms: int, pool: UpstreamPool) -> bool:
    """Tell whether to open a connection that no request waits for yet.

    After a start of all gateways such openings are spread out, so that those for waiting requests
    come first. A gateway without any connection isn't ready, so it goes on trying after a refusal.
    """
    if not state.settings.coordinates_connections:
        return True
    if pool.opening.known_since_ms is None:
        pool.opening.known_since_ms = now_ms
    if pool.opening.refusals and pool.limit_reached_ms is not None and state.connections:
        return now_ms - pool.limit_reached_ms >= PREOPEN_RETRY_MS
    delay_ms = PREOPEN_SPREAD_MS * _fraction(state, pool, "preopen")
    return now_ms - pool.opening.known_since_ms >= delay_ms


def connect_backoff_ms(state: GatewayState, pool: UpstreamPool, fault: Fault) -> int:
    """Return how long no connection is opened after an opening that failed with ``fault``."""
    if fault is Fault.TOO_MANY_CONNECTIONS:
        return _refused_backoff_ms(state, pool)
    if fault is Fault.MOVED:
        return MOVED_BACKOFF_MS
    backoff_ms = CONNECT_BACKOFF_MS * 2 ** min(pool.connect_failures, 5)
    if not state.settings.coordinates_connections:
        return min(MAX_CONNECT_BACKOFF_MS, backoff_ms)
    jitter = 0.5 + 0.5 * _fraction(state, pool, f"failed {pool.connect_failures}")
    return int(min(MAX_COORDINATED_BACKOFF_MS, backoff_ms) * jitter)


def _refused_backoff_ms(state: GatewayState, pool: UpstreamPool) -> int:
    """Return how long no connection is opened after one more refusal for the connection limit.

    The delay doubles with each refusal in a row. It is between 0.5 and 1 times the delay if a
    request of the highest priority waits, and between 1 and 1.5 times otherwise.
    """
    if not state.settings.coordinates_connections:
        return state.settings.connection_limit_backoff_ms
    pool.opening.refusals += 1
    refusals = pool.opening.refusals
    base_ms = state.settings.connection_limit_backoff_ms * 2 ** min(refusals - 1, 8)
    factor = 0.5 if _has_urgent_request(state, pool) else 1.0
    factor += 0.5 * _fraction(state, pool, f"refused {refusals}")
    return int(min(base_ms, MAX_REFUSED_BACKOFF_MS) * factor)


def describe_refusals(state: GatewayState, now_ms: int, pool: UpstreamPool) -> dict[str, object]:
    """Return, for a log line, the refusals in a row and the delay until the next opening."""
    if not state.settings.coordinates_connections or not pool.opening.refusals:
        return {}
    return {
        "refusals": pool.opening.refusals,
        "backoff_ms": max(0, pool.connect_backoff_until_ms - now_ms),
    }


def keeps_excess(state: GatewayState, pool: UpstreamPool) -> bool:
    """Tell whether idle connections above the share stay, since no gateway wants them."""
    if not state.settings.coordinates_connections or state.control.demand is None:
        return False
    if pool.upstream in state.control.contended or not holders.holds(state, pool.service):
        return False
    known = state.control.demand.get(pool.upstream)
    return known is None or not known.unmet


def _draw(state: GatewayState, now_ms: int, pool: UpstreamPool) -> None:
    """Draw how many connections above its share this gateway may have.

    The expected sum over all gateways is ``DRAWN_PART`` of what no gateway claims.
    """
    opening = pool.opening
    opening.extra = max(0, len(pool.connections) - max(1, holders.share(state, pool.service)))
    assert state.control.demand is not None
    known = state.control.demand.get(pool.upstream)
    own = opening.reported_unmet
    if known is None or not own:
        return
    opening.drawn_ms = now_ms
    opening.draws += 1
    free = holders.available_connections(state, pool.service) - known.claimed
    part = DRAWN_PART * max(0, free) * own / max(own, known.unmet)
    drawn = math.floor(part + _fraction(state, pool, f"draw {opening.draws}"))
    opening.extra += min(drawn, own, max(0, free))


def _wanted(state: GatewayState, pool: UpstreamPool) -> int:
    """Return how many connections to an upstream are in use or wanted by waiting requests."""
    count = sum(1 for item in pool.connections.values() if item.is_open) - len(pool.idle)
    queue = state.queues.get(pool.service)
    if queue is None:
        return count
    if state.primaries.get(pool.service) == pool.upstream:
        count += len(queue.primary)
    if queue.reads:
        serving = sum(1 for item in state.pools.values() if item.service == pool.service)
        count += math.ceil(len(queue.reads) / serving)
    return count


def _has_urgent_request(state: GatewayState, pool: UpstreamPool) -> bool:
    """Tell whether a request of the highest priority waits for a service's connections."""
    queue = state.queues.get(pool.service)
    if queue is None:
        return False
    heads = [heap[0] for heap in (queue.primary, queue.reads) if heap]
    return any(item.priority <= HIGHEST_PRIORITY for item in heads)


def _fraction(state: GatewayState, pool: UpstreamPool, purpose: str) -> float:
    """Return a number from 0 to 1 that differs between gateways, starts, upstreams and purposes."""
    settings = state.settings
    text = f"{settings.address} {settings.boot} {pool.upstream} {purpose}"
    return float(xxhash.xxh3_64_intdigest(text.encode()) / 2**64)
