"""Maintenance of idle connections: closing unused ones and renewing their transactions."""

from . import connection_admission, limits, pool, routing, tenants
from .effects import Effect, LogEvent
from .state import GatewayState, UpstreamPool


def close_unused(state: GatewayState, now_ms: int) -> list[Effect]:
    """Close connections that were idle for too long.

    One connection is kept to each upstream that this gateway has a share of. To upstreams that
    accept no new work all idle connections are closed. Connections above this gateway's share of
    an upstream's limit are closed sooner.
    """
    effects: list[Effect] = []
    for item in list(state.pools.values()):
        usable = pool.accepts_work(state, item)
        share = limits.share(state, item)
        min_connections = min(1, share) if usable else 0
        for number in list(item.idle):
            connection = item.connections[number]
            if len(item.connections) <= min_connections:
                break
            exceeds_share = len(item.connections) > share
            limit_ms = state.settings.idle_connection_timeout_ms if usable else 0
            if exceeds_share and not connection_admission.keeps_excess(state, item):
                limit_ms = min(limit_ms, state.settings.excess_idle_timeout_ms)
            if now_ms - connection.idle_since_ms >= limit_ms:
                effects += pool.close(state, connection)
        if not item.connections and item.upstream not in state.directory.entries:
            del state.pools[item.upstream]
    return effects


def close_excess(state: GatewayState, now_ms: int, item: UpstreamPool) -> list[Effect]:
    """Close idle connections to an upstream until this gateway is within its share."""
    effects: list[Effect] = []
    while item.idle and limits.is_above_share(state, item):
        effects += pool.close(state, item.connections[item.idle[0]])
    return effects


def close_removed_tenants(state: GatewayState) -> list[Effect]:
    """Close the idle connections of tenants that the configuration in force doesn't have."""
    effects: list[Effect] = []
    for item in state.pools.values():
        for number in list(item.idle):
            connection = item.connections[number]
            if not tenants.may_keep_connection(state, connection.tenant):
                effects += pool.close(state, connection)
    return effects


def renew_transactions(state: GatewayState, now_ms: int) -> list[Effect]:
    """Renew the idle transactions, so that none is older than the configuration in force."""
    effects: list[Effect] = []
    for connection in list(state.connections.values()):
        item = state.pools[connection.upstream]
        if connection.number in item.idle and connection.in_transaction:
            effects += pool.renew(state, now_ms, connection)
    return effects


def change_primary(state: GatewayState, now_ms: int, service: str, primary: str) -> list[Effect]:
    """Set a service's primary; end the idle transactions on its other upstreams."""
    previous = state.primaries.get(service, "")
    state.primaries[service] = primary
    state.unanswered_write_since_ms.pop(service, None)
    state.unreachable_since_ms.pop(service, None)
    entry = state.directory.entries.get(primary)
    inputs: dict[str, object] = {
        "service": service,
        "previous": previous,
        "report_age_ms": now_ms - entry.last_contact_ms if entry else None,
    }
    effects: list[Effect] = [LogEvent("info", "primary_believed", "", "", inputs, primary)]
    for item in state.pools.values():
        if item.service != service:
            continue
        for number in list(item.idle):
            connection = item.connections[number]
            if connection.in_transaction == (item.upstream == primary):
                continue
            effects += pool.renew(state, now_ms, connection)
    return effects + routing.dispatch_queued(state, now_ms, service)
