"""Connections by tenant: how many are opened for one, and which idle ones make room for it.

A connection serves only the tenant that it was opened for. Where a gateway may have no more
connections, the least recently used idle connection of another tenant is closed for a new one.
Without tenants, nothing here changes how connections are used.
"""

from . import limits, tenants
from .effects import LogEvent
from .requests import needs_primary
from .state import Connection, GatewayState, Purpose, Request, UpstreamPool

# Opening takes 12 ms and two round trips, of 40 ms between regions. An upstream that takes longer
# is taken to be unresponsive, and another one is connected to.
MAX_OPENING_MS = 200
# An idle connection whose tenant has waiting requests serves these first, unless another tenant's
# request has waited for so long. Each change of a connection's tenant costs an opening.
SWITCH_AFTER_MS = 60
UNUSED_PROTECTION_MS = 200  # in which a new connection isn't closed before its first statement


def has_idle(pool: UpstreamPool, tenant: str) -> bool:
    """Tell whether a tenant has an idle connection to an upstream."""
    return any(pool.connections[number].tenant == tenant for number in pool.idle)


def is_unresponsive(pool: UpstreamPool, now_ms: int, tenant: str) -> bool:
    """Tell whether connections to an upstream take too long to open; never without tenants."""
    if not tenant:
        return False
    return any(
        not item.is_open and now_ms - item.opened_ms >= MAX_OPENING_MS
        for item in pool.connections.values()
    )


def has_room(state: GatewayState, now_ms: int, pool: UpstreamPool, request: Request) -> bool:
    """Tell whether a connection for a request's tenant may be opened without waiting for one."""
    room = max(1, limits.share(state, pool))
    if state.settings.coordinates_connections:
        room = limits.allowance(state, now_ms, pool)
    if len(pool.connections) < room:
        return True
    return bool(pool.idle and _evictable(state, now_ms, pool, request))


def choose_evicted(
    state: GatewayState, now_ms: int, pool: UpstreamPool, request: Request, count: int
) -> list[Connection]:
    """Return the idle connections to close for a request's tenant, none if too few may be closed.

    They are the least recently used ones of other tenants.
    """
    if len(pool.idle) < count:
        return []
    candidates = _evictable(state, now_ms, pool, request)
    candidates.sort(key=lambda item: item.last_used_ms)
    return candidates[:count] if len(candidates) >= count else []


def eviction_event(now_ms: int, connection: Connection, request: Request) -> LogEvent:
    """Return the log line of an idle connection that is closed for a request's tenant."""
    inputs: dict[str, object] = {
        "upstream": connection.upstream,
        "of_tenant": connection.tenant,
        "for_tenant": request.tenant,
        "idle_ms": now_ms - connection.last_used_ms,
        "waited_ms": now_ms - request.received_ms,
    }
    request_id, workspace = request.statement.request_id, request.route.workspace
    return LogEvent("info", "connection_evicted", request_id, workspace, inputs, "closed")


def may_open(state: GatewayState, now_ms: int, request: Request) -> bool:
    """Tell whether fewer connections become available to a request's tenant than it waits for.

    Reads may also use a connection to the primary that no other request waits for.
    """
    service, tenant = request.route.service, request.tenant
    primary = state.primaries.get(service, "")
    at_primary = elsewhere = 0
    primary_waiting = reads_waiting = 0
    for pool in state.pools.values():
        if pool.service != service:
            continue
        for connection in pool.connections.values():
            if connection.tenant != tenant:
                continue
            assigned = connection.next_request
            if assigned is not None and assigned.serial in state.requests:
                is_read = not _needs_primary(state, assigned)
                reads_waiting -= is_read
                primary_waiting -= not is_read
            elif _becomes_available(pool, connection, now_ms, pool.upstream == primary):
                at_primary += pool.upstream == primary
                elsewhere += pool.upstream != primary
    for waiting in _waiting(state, service):
        if waiting.tenant != tenant:
            continue
        is_read = not _needs_primary(state, waiting)
        reads_waiting += is_read
        primary_waiting += not is_read
    if _needs_primary(state, request):
        return at_primary < primary_waiting
    return max(0, at_primary - primary_waiting) + elsewhere < reads_waiting


def _becomes_available(
    pool: UpstreamPool, connection: Connection, now_ms: int, is_primary: bool
) -> bool:
    """Tell whether a connection is being opened or prepared, so that it is idle soon.

    One to an unresponsive replica isn't waited for, since another upstream can serve reads.
    """
    if not connection.is_open:
        return is_primary or now_ms - connection.opened_ms < MAX_OPENING_MS
    if connection.session is not None or connection.number in pool.idle:
        return False
    if not connection.pending or now_ms - connection.pending[0].sent_ms >= MAX_OPENING_MS:
        return False
    return all(item.purpose is not Purpose.WORK for item in connection.pending)


def _evictable(
    state: GatewayState, now_ms: int, pool: UpstreamPool, request: Request
) -> list[Connection]:
    """Return the idle connections of other tenants that may be closed for a request's tenant."""
    is_primary = state.primaries.get(pool.service) == pool.upstream
    priorities: dict[str, tuple[int, int]] = {}
    for waiting in _waiting(state, pool.service):
        if is_primary or not _needs_primary(state, waiting):
            own = _priority(state, waiting)
            priorities[waiting.tenant] = min(own, priorities.get(waiting.tenant, own))
    has_waited = now_ms - request.received_ms >= SWITCH_AFTER_MS
    own_priority = _priority(state, request)
    evictable: list[Connection] = []
    for number in pool.idle:
        connection = pool.connections[number]
        if connection.tenant == request.tenant:
            continue
        priority = priorities.get(connection.tenant)
        if priority is not None:
            if connection.is_unused and now_ms - connection.opened_ms < UNUSED_PROTECTION_MS:
                continue
            if priority <= own_priority and not has_waited:
                continue
        evictable.append(connection)
    return evictable


def _waiting(state: GatewayState, service: str) -> list[Request]:
    """Return the requests of a service that have not been sent and have no connection yet."""
    return [
        request
        for request in state.requests.values()
        if not request.sent_ms
        and request.route.service == service
        and state.sessions[request.session].connection is None
    ]


def _needs_primary(state: GatewayState, request: Request) -> bool:
    return needs_primary(state.sessions[request.session], request)


def _priority(state: GatewayState, request: Request) -> tuple[int, int]:
    return (request.route.priority, tenants.priority(state.configuration, request.tenant))
