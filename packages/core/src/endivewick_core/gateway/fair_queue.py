"""The order of queued requests: priorities first, then tenants in turn, then age.

Each tenant's waiting requests of one priority take consecutive turns, and a tenant that begins to
wait takes the turn that is being served. So one request of each tenant goes before the second
request of any, however many a tenant sends. Without tenants the order is by priority and age.
"""

import heapq

from . import tenants
from .requests import needs_primary
from .state import GatewayState, QueuedRequest, Request, ServiceQueue, Session, Turns

PINNED_PRIORITY = -1  # of a COMMIT, which holds a connection that others wait for


def has_space(state: GatewayState, session: Session, request: Request) -> bool:
    """Tell whether a request may be queued.

    A tenant may have as many requests in the queue as there is free space, so that one tenant can't
    fill the queue.
    """
    free = state.settings.queue_limit - state.queued
    if not request.tenant or session.connection is not None:
        return free > 0
    waiting = sum(
        turns.waiting.get(request.tenant, 0)
        for queue in state.queues.values()
        for turns in queue.turns.values()
    )
    return waiting < free


def position(
    state: GatewayState, queue: ServiceQueue, session: Session, request: Request
) -> tuple[int, int, int, int]:
    """Return the first fields of the ``QueuedRequest`` that ``add`` would queue a request as."""
    is_pinned = session.connection is not None
    priority = PINNED_PRIORITY if is_pinned else request.route.priority
    if not session.tenant or is_pinned:
        return priority, 0, 0, request.serial
    tenant_priority = tenants.priority(state.configuration, session.tenant)
    turns = queue.turns.get((needs_primary(session, request), priority, tenant_priority), Turns())
    turn = _next_turn(turns, session.tenant) if request.turn is None else request.turn
    return priority, tenant_priority, turn, request.serial


def precedes(item: QueuedRequest, position: tuple[int, int, int, int]) -> bool:
    """Tell whether a queued request comes before one with the given ``position``."""
    return (item.priority, item.tenant_priority, item.turn, item.serial) < position


def add(state: GatewayState, queue: ServiceQueue, session: Session, request: Request) -> None:
    """Add a request to its service's queue; one that was queued before keeps its turn."""
    for_primary = needs_primary(session, request)
    is_pinned = session.connection is not None
    priority = PINNED_PRIORITY if is_pinned else request.route.priority
    turns: Turns | None = None
    tenant_priority = turn = 0
    if request.tenant and not is_pinned:
        tenant_priority = tenants.priority(state.configuration, request.tenant)
        turns = queue.turns.setdefault((for_primary, priority, tenant_priority), Turns())
        turn = _take_turn(turns, request)
    item = QueuedRequest(
        priority, tenant_priority, turn, request.serial, request, request.tenant, turns
    )
    heapq.heappush(queue.primary if for_primary else queue.reads, item)


def note_removed(item: QueuedRequest, is_served: bool = False) -> None:
    """Update the turns after a request left its queue; ``is_served`` tells whether it was sent."""
    turns, tenant = item.turns, item.tenant
    if turns is None:
        return
    if is_served:
        turns.served = max(turns.served, item.turn)
    turns.waiting[tenant] -= 1
    if turns.waiting[tenant]:
        return
    del turns.waiting[tenant]
    # Turns of requests that were not served are free again.
    turns.last[tenant] = min(turns.last[tenant], turns.served)
    if not turns.waiting:
        turns.last.clear()


def _next_turn(turns: Turns, tenant: str) -> int:
    return max(turns.served, turns.last.get(tenant, -1) + 1)


def _take_turn(turns: Turns, request: Request) -> int:
    tenant = request.tenant
    turns.waiting[tenant] = turns.waiting.get(tenant, 0) + 1
    if request.turn is None:
        request.turn = _next_turn(turns, tenant)
        turns.last[tenant] = request.turn
    else:
        turns.last.setdefault(tenant, turns.served)
    return request.turn
