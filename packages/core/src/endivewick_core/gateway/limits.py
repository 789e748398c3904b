"""How many connections a gateway may have to an upstream.

The upstream enforces its connection limit. Each gateway opens connections in steps, and keeps to
its share while the upstream refuses connections to any gateway. Shares are then in proportion to
the number of connections that each gateway wants.
"""

from . import connection_admission, holders
from .state import GatewayState, UpstreamPool

INITIAL_CONNECTIONS = 2  # opened at once if wanted; more follow in steps
REFUSAL_REPORT_MS = 1_000  # how long a refusal for the connection limit is reported to control


def wanted(state: GatewayState) -> dict[str, int]:
    """Return how many connections this gateway wants by upstream: those in use and queued work."""
    counts = {pool.upstream: _wanted_connections(state, pool) for pool in state.pools.values()}
    return {upstream: count for upstream, count in counts.items() if count}


def _wanted_connections(state: GatewayState, pool: UpstreamPool) -> int:
    count = len(pool.connections) - len(pool.idle)
    queue = state.queues.get(pool.service)
    if queue is not None and state.primaries.get(pool.service) == pool.upstream:
        count += len(queue.primary)
    return count


def share(state: GatewayState, pool: UpstreamPool) -> int:
    """Return this gateway's share of an upstream's connections.

    All shares are equal, or in proportion to demand while the upstream is contended. A share by
    demand is at least one.
    """
    equal = holders.share(state, pool.service)
    if state.settings.coordinates_connections:
        return equal
    total = state.control.contended.get(pool.upstream, 0)
    if not equal or not total:
        return equal
    own = _wanted_connections(state, pool)
    return max(1, holders.available_connections(state, pool.service) * own // max(total, own))


def is_above_share(state: GatewayState, pool: UpstreamPool) -> bool:
    """Tell whether this gateway has more than its share of an upstream's connections."""
    return len(pool.connections) > share(state, pool)


def allowance(state: GatewayState, now_ms: int, pool: UpstreamPool) -> int:
    """Return how many connections this gateway may have to an upstream now.

    It is the gateway's share, and one more each ``allowance_interval_ms`` while connections are
    wanted and no gateway was refused one. Growing in steps leaves connections for gateways that
    start at the same time. Where connection holders share all connections, it doesn't grow: a
    holder above its share would only take connections that another holder needs.
    """
    # A gateway that runs another gateway's statements needs one connection, whatever its share.
    own = max(1, share(state, pool))
    if state.settings.coordinates_connections:
        return connection_admission.limit(state, now_ms, pool, own)
    if pool.upstream in state.control.contended or holders.are_needed(state, pool.service):
        pool.allowance = own
        return own
    first = min(own, INITIAL_CONNECTIONS)
    if pool.allowance < first:
        pool.allowance = first
    if len(pool.connections) < pool.allowance:
        return pool.allowance
    if now_ms - pool.allowance_raised_ms >= state.settings.allowance_interval_ms:
        pool.allowance_raised_ms = now_ms
        pool.allowance = min(
            len(pool.connections) + 1, holders.available_connections(state, pool.service)
        )
    return pool.allowance


def refusing_upstreams(state: GatewayState, now_ms: int) -> list[str]:
    """Return the upstreams that lately refused this gateway a connection within its share."""
    return [
        item.upstream
        for item in state.pools.values()
        if item.limit_reached_ms is not None
        and now_ms - item.limit_reached_ms < REFUSAL_REPORT_MS
        and len(item.connections) < share(state, item)
    ]
