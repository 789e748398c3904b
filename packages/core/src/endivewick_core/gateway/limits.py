"""How many connections a gateway may have to an upstream.

The upstream enforces its limit. Among themselves gateways grow in steps, and keep to their shares
while the upstream refuses connections to any of them. A share then follows what each gateway wants.
"""

from . import holders
from .state import GatewayState, UpstreamPool

FIRST_CONNECTIONS = 2  # opened at once where many are wanted; more follow in steps
REFUSAL_KEPT_MS = 1_000  # how long a refusal for the connection limit is reported to control


def wanted(state: GatewayState) -> dict[str, int]:
    """Return how many connections this gateway wants, by upstream: those in use, and what waits."""
    counts = {pool.upstream: _wanted_of(state, pool) for pool in state.pools.values()}
    return {upstream: count for upstream, count in counts.items() if count}


def _wanted_of(state: GatewayState, pool: UpstreamPool) -> int:
    count = len(pool.connections) - len(pool.idle)
    queue = state.queues.get(pool.service)
    if queue is not None and state.primaries.get(pool.service) == pool.upstream:
        count += len(queue.primary)
    return count


def share(state: GatewayState, pool: UpstreamPool) -> int:
    """Return this gateway's part of an upstream's connections.

    It is an equal part, or while the upstream is contended a part by demand, one at least.
    """
    equal = holders.share(state, pool.service)
    total = state.control.contended.get(pool.upstream, 0)
    if not equal or not total:
        return equal
    own = _wanted_of(state, pool)
    return max(1, holders.room(state, pool.service) * own // max(total, own))


def is_above_share(state: GatewayState, pool: UpstreamPool) -> bool:
    """Tell whether this gateway holds more than its part of an upstream's connections."""
    return len(pool.connections) > share(state, pool)


def allowance(state: GatewayState, now_ms: int, pool: UpstreamPool) -> int:
    """Return how many connections this gateway may have to an upstream now.

    It is the gateway's share, and one more each ``allowance_step_ms`` while connections are wanted
    and no gateway was refused one. Growing in steps leaves room for gateways that start together.
    Where holders share all there are, one that grew would only take what another needs.
    """
    # One that was asked to run another gateway's statements needs a connection, whatever its share.
    own = max(1, share(state, pool))
    if pool.upstream in state.control.contended or holders.are_needed(state, pool.service):
        pool.allowance = own
        return own
    first = min(own, FIRST_CONNECTIONS)
    if pool.allowance < first:
        pool.allowance = first
    if len(pool.connections) < pool.allowance:
        return pool.allowance
    if now_ms - pool.grown_ms >= state.settings.allowance_step_ms:
        pool.grown_ms = now_ms
        pool.allowance = min(len(pool.connections) + 1, holders.room(state, pool.service))
    return pool.allowance


def refusing(state: GatewayState, now_ms: int) -> list[str]:
    """Return the upstreams that lately refused this gateway a connection of its share."""
    return [
        item.upstream
        for item in state.pools.values()
        if item.full_ms is not None
        and now_ms - item.full_ms < REFUSAL_KEPT_MS
        and len(item.connections) < share(state, item)
    ]
