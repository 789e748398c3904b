"""Refusing requests that can't be served before their deadline, instead of letting them wait.

The expected wait of a request follows from the requests ahead of it, the connections that this
gateway may have, and the mean time for which a request occupies a connection. The estimate is
halved, since the times vary: a request that could be served in time is not refused. Nothing of a
refused request was sent. The time after which its client should come back is spread over steps.

All functions take effect only with ``GatewaySettings.coordinates_connections``.
"""

from collections import Counter

import xxhash

from ..statements import Error, Fault
from . import fair_queue, limits
from .effects import Effect, LogEvent
from .state import Connection, GatewayState, QueuedRequest, Request, Session, UpstreamPool

HOLD_WEIGHT = 0.1  # of a new time in the exponential moving average
MIN_HOLDS = 10  # times of occupied connections before which nothing is refused
# Of the estimate that is expected at least; the others ahead may be shorter than the mean.
CERTAIN_PART = 0.5
CHECK_INTERVAL_MS = 100  # between checks of the requests that wait already
RETRY_STEP_MS = 200
RETRY_STEPS = 6  # clients that were refused together come back within 1,200 ms


def record_taken(now_ms: int, connection: Connection) -> None:
    """Record that a request begins to occupy a connection."""
    connection.taken_ms = now_ms


def record_released(now_ms: int, pool: UpstreamPool, connection: Connection) -> None:
    """Update the mean time for which a request occupies a connection."""
    if connection.taken_ms is None:
        return
    held_ms = now_ms - connection.taken_ms
    connection.taken_ms = None
    opening = pool.opening
    opening.holds += 1
    weight = max(HOLD_WEIGHT, 1 / opening.holds)
    opening.hold_ms += weight * (held_ms - opening.hold_ms)


def retry_after_ms(state: GatewayState, request: Request, usual_ms: int) -> int:
    """Return after how long the client of a refused request should come back."""
    if not state.settings.coordinates_connections:
        return usual_ms
    text = f"{state.settings.address} {state.settings.boot} {request.serial}"
    return usual_ms + RETRY_STEP_MS * (xxhash.xxh3_64_intdigest(text.encode()) % RETRY_STEPS)


def refusal(
    state: GatewayState,
    now_ms: int,
    session: Session,
    request: Request,
    heap: list[QueuedRequest],
    usual_ms: int,
) -> tuple[Error, Effect] | None:
    """Return why a request is not queued in ``heap``, with its log event, or None."""
    if not state.settings.coordinates_connections or session.connection is not None:
        return None
    queue = state.queues[request.route.service]
    arrived = fair_queue.position(state, queue, session, request)
    ahead = sum(
        1
        for item in heap
        if fair_queue.precedes(item, arrived) and item.request.serial in state.requests
    )
    return _judge(state, now_ms, request, ahead, heap is queue.primary, usual_ms)


def find_overdue(
    state: GatewayState, now_ms: int, usual_ms: int
) -> list[tuple[Request, Error, Effect]]:
    """Return the waiting requests that can't be served in time, with the reason for each."""
    if not state.settings.coordinates_connections or now_ms < state.next_shedding_ms:
        return []
    state.next_shedding_ms = now_ms + CHECK_INTERVAL_MS
    overdue: list[tuple[Request, Error, Effect]] = []
    for queue in state.queues.values():
        for heap in (queue.primary, queue.reads):
            ahead = 0
            for item in sorted(heap):
                request = item.request
                session = state.sessions.get(request.session)
                if request.serial not in state.requests or session is None:
                    continue
                judged = None
                if session.connection is None:
                    is_primary = heap is queue.primary
                    judged = _judge(state, now_ms, request, ahead, is_primary, usual_ms)
                if judged is None:
                    ahead += 1
                    continue
                overdue.append((request, *judged))
    return overdue


def find_displaced(state: GatewayState, request: Request) -> Request | None:
    """Return the waiting request that leaves a full queue for one of a higher priority.

    With tenants it is one of the same tenant, or of a tenant with more waiting requests, so that
    one tenant can't fill the queue.
    """
    if not state.settings.coordinates_connections:
        return None
    items = [
        item
        for queue in state.queues.values()
        for item in [*queue.primary, *queue.reads]
        if item.request.serial in state.requests
    ]
    tenant = request.tenant
    waiting = Counter(item.tenant for item in items)
    last: QueuedRequest | None = None
    for item in items:
        is_allowed = item.tenant == tenant or waiting[item.tenant] > waiting[tenant]
        if is_allowed and (last is None or item > last):
            last = item
    if last is None or last.priority <= request.route.priority:
        return None
    return last.request


def _judge(
    state: GatewayState,
    now_ms: int,
    request: Request,
    ahead: int,
    is_primary: bool,
    usual_ms: int,
) -> tuple[Error, Effect] | None:
    """Return the refusal of a request with ``ahead`` others before it, or None if it may wait."""
    connections, hold_ms = _capacity(state, now_ms, request, is_primary)
    if not connections:
        return None
    rounds = ahead // connections
    expected_ms = CERTAIN_PART * rounds * hold_ms
    left_ms = request.deadline_ms - now_ms
    if not rounds or expected_ms <= left_ms:
        return None
    text = (
        f"{ahead} statements wait before it for {connections} connections, "
        f"{expected_ms:.0f} ms at least; it has {left_ms} ms left"
    )
    error = Error(Fault.BUSY, text, retry_after_ms(state, request, usual_ms))
    inputs: dict[str, object] = {
        "service": request.route.service,
        "priority": request.route.priority,
        "ahead": ahead,
        "connections": connections,
        "hold_ms": round(hold_ms),
        "expected_ms": round(expected_ms),
        "left_ms": left_ms,
    }
    statement, workspace = request.statement.request_id, request.route.workspace
    return error, LogEvent("warning", "request_shed", statement, workspace, inputs, "not run")


def _capacity(
    state: GatewayState, now_ms: int, request: Request, is_primary: bool
) -> tuple[int, float]:
    """Return how many connections may serve a request, and the shortest of their mean times.

    Both are 0 while too little is known.
    """
    service = request.route.service
    connections, hold_ms = 0, 0.0
    for pool in state.pools.values():
        if pool.service != service:
            continue
        if is_primary and state.primaries.get(service) != pool.upstream:
            continue
        if pool.opening.holds < MIN_HOLDS:
            return 0, 0.0
        connections += max(len(pool.connections), limits.allowance(state, now_ms, pool))
        hold_ms = min(hold_ms, pool.opening.hold_ms) if hold_ms else pool.opening.hold_ms
    return connections, hold_ms
