"""Routing: which upstream serves a request, and the queue of requests without a connection.

Writes, transactions that may write and reads that must see every commit go to the primary. Other
reads go to the upstream that is expected to answer first; the upstream itself refuses a read while
its log lacks the position that makes the read fresh enough.
"""

import heapq
from collections import Counter
from typing import NamedTuple

from ..positions import Position
from ..routes import Freshness
from ..statements import Error, Fault
from ..watermarks import required_position
from . import (
    answers,
    connection_admission,
    fair_queue,
    forwarding,
    load_shedding,
    pool,
    primary_leases,
    primary_waits,
    queue_order,
    quota_tokens,
    tenant_connections,
    tenant_holders,
    tenants,
    upstream_health,
)
from .effects import Effect, LogEvent
from .requests import commits_writes, needs_primary
from .state import (
    GatewayState,
    QueuedRequest,
    Request,
    ServiceQueue,
    Session,
    UpstreamPool,
    distance,
)

# Estimates by distance: this data centre, this region, another region.
INITIAL_LATENCIES_MS = (25.0, 30.0, 70.0)
OPENING_COST_MS = 40.0  # a new connection: its handshake and a round trip
PRIMARY_COST_FACTOR = 1.5  # keeps the primary's slots for requests that only it can serve
# With 10, an upstream that fails a third of its statements costs four times as much.
FAILURE_COST_FACTOR = 10.0
FAILURE_RATE_DECAY = 0.8  # factor per second, so that an upstream that failed is tried again
BUSY_BACKOFF_MS = 15  # after the first refusal for lack of capacity; doubles with each refusal
MAX_BUSY_BACKOFF_MS = 120  # a fifth of the usual latency objective
READ_ONLY_BACKOFF_MS = 100  # after an upstream answered that it is not the primary
LAGGING_BACKOFF_MS = 150  # after a replica answered that it lacks the required position
MAX_READ_ATTEMPTS = 3  # how often a single read is sent
RETRY_AFTER_MS = 300  # sent to clients whose statement was refused for lack of capacity
OUT_OF_REACH_RETRY_AFTER_MS = 1_000  # about the time of an election in control


class RoutingResult(NamedTuple):
    """The result of an attempt to route a request; ``is_routed`` is False if it has to wait.

    ``needs_lease`` is set if it waits for a lease, which other requests may not need. ``refusal``
    is set if waiting is in vain.
    """

    is_routed: bool
    effects: list[Effect]
    needs_lease: bool = False
    refusal: Error | None = None


def route_request(state: GatewayState, now_ms: int, request: Request) -> list[Effect]:
    """Send a request upstream, or queue it until a connection is available."""
    if queue_order.precedes(state, request):
        before = dispatch_queued(state, now_ms, request.route.service)
        return before + _route_now(state, now_ms, request)
    return _route_now(state, now_ms, request)


def _route_now(state: GatewayState, now_ms: int, request: Request) -> list[Effect]:
    session = state.sessions[request.session]
    result = _try_route(state, now_ms, session, request)
    if result.is_routed:
        return result.effects
    if result.refusal is not None:
        return result.effects + refuse(state, now_ms, request, result.refusal)
    if primary_leases.is_out_of_reach(state, now_ms, session, request):
        text = "this gateway has no contact with control, which would confirm the primary"
        error = Error(Fault.BUSY, text, OUT_OF_REACH_RETRY_AFTER_MS)
        return result.effects + refuse(state, now_ms, request, error)
    return result.effects + enqueue(state, now_ms, request)


def refuse(state: GatewayState, now_ms: int, request: Request, error: Error) -> list[Effect]:
    """Refuse a request that was not sent; a transaction that waited to commit is rolled back."""
    quota_tokens.give_back(state, now_ms, request)
    session = state.sessions[request.session]
    effects = pool.release_session(state, now_ms, session)
    if error.fault is Fault.UNAUTHENTICATED:
        effects += forwarding.send_end(state, session)
    return effects + answers.fail(state, now_ms, request, error)


def enqueue(state: GatewayState, now_ms: int, request: Request) -> list[Effect]:
    """Queue a request until a connection is available, or refuse it if the queue is full."""
    session = state.sessions[request.session]
    effects: list[Effect] = []
    if not fair_queue.has_space(state, session, request):
        displaced = load_shedding.find_displaced(state, request)
        refused = displaced or request
        retry_after_ms = load_shedding.retry_after_ms(state, refused, RETRY_AFTER_MS)
        error = Error(Fault.BUSY, "too many statements are queued in this gateway", retry_after_ms)
        effects += refuse(state, now_ms, refused, error)
        if displaced is None:
            return effects
    queue = state.queues.setdefault(request.route.service, ServiceQueue())
    heap = queue.primary if needs_primary(session, request) else queue.reads
    shed = load_shedding.refusal(state, now_ms, session, request, heap, RETRY_AFTER_MS)
    if shed is not None:
        return [*effects, shed[1], *refuse(state, now_ms, request, shed[0])]
    fair_queue.add(state, queue, session, request)
    state.queued += 1
    return effects


def shed_overdue(state: GatewayState, now_ms: int) -> list[Effect]:
    """Refuse the waiting requests that can't be served before their deadline any more."""
    effects: list[Effect] = []
    for request, error, log_event in load_shedding.find_overdue(state, now_ms, RETRY_AFTER_MS):
        effects += [log_event, *refuse(state, now_ms, request, error)]
    return effects


def _is_forwarded(state: GatewayState, now_ms: int, session: Session, request: Request) -> bool:
    return bool(
        session.holder
        or tenant_holders.holder(state, now_ms, request.route.service, session.tenant)
    )


def dispatch_queued(state: GatewayState, now_ms: int, service: str) -> list[Effect]:
    """Route the queued requests of a service while connections are available."""
    queue = state.queues.get(service)
    if queue is None:
        return []
    effects: list[Effect] = []
    max_blocked_reads = upstream_health.max_blocked_reads(state)
    for heap in queue_order.order_heaps(state, queue.primary, queue.reads):
        max_blocked = max_blocked_reads if heap is queue.reads else 1
        effects += _dispatch_heap(state, now_ms, heap, max_blocked)
    return effects


def end_transaction(state: GatewayState, now_ms: int, session: Session) -> list[Effect]:
    """Roll back a session's open transaction, here or at its connection holder."""
    return forwarding.send_end(state, session) + pool.release_session(state, now_ms, session)


def abort_session(state: GatewayState, now_ms: int, session: Session) -> list[Effect]:
    """Release the request and connection of a session that ended; its transaction rolls back."""
    request, session.current = session.current, None
    if request is not None:
        state.requests.pop(request.serial, None)
    if request is None or session.connection is None:
        return end_transaction(state, now_ms, session)
    # An upstream stops and rolls back a running statement at once only if its connection ends.
    connection = state.connections.get(session.connection)
    session.connection = None
    return pool.close(state, connection) if connection is not None else []


def retry_refused(
    state: GatewayState, now_ms: int, request: Request, upstream: str, error: Error
) -> list[Effect]:
    """Route a request again that ``upstream`` refused, failed or did not answer."""
    request.sent_ms = 0
    request.last_refusal = f"{upstream}: {error.fault.value} {error.text}"
    refused_by = state.pools.get(upstream)
    if error.fault is Fault.LAGGING:
        request.tried.add(upstream)
        if refused_by is not None:
            refused_by.lagging_backoff_until_ms = now_ms + LAGGING_BACKOFF_MS
    if error.fault is Fault.READ_ONLY and refused_by is not None:
        refused_by.read_only_backoff_until_ms = now_ms + READ_ONLY_BACKOFF_MS
    if error.fault is Fault.BUSY and refused_by is not None:
        backoff_ms = min(
            MAX_BUSY_BACKOFF_MS, BUSY_BACKOFF_MS * 2 ** min(refused_by.consecutive_busy_count, 5)
        )
        refused_by.busy_backoff_until_ms = now_ms + backoff_ms
        refused_by.consecutive_busy_count += 1
    inputs: dict[str, object] = {"upstream": upstream, "attempts": request.attempts}
    log_event = LogEvent(
        "info",
        "placed_again",
        request.statement.request_id,
        request.route.workspace,
        inputs,
        error.fault.value,
    )
    return [log_event, *route_request(state, now_ms, request)]


def replica_position(
    state: GatewayState, now_ms: int, session: Session, request: Request
) -> Position | None:
    """Return the position that a replica must have reached, or None if no watermark fits."""
    history = state.watermarks.get(request.route.service)
    if history is None:
        return None
    position = required_position(history, now_ms, request.route.staleness_ms)
    if position is None:
        return None
    if request.route.freshness is Freshness.SESSION and session.position is not None:
        position = max(position, session.position)
    return position


def decay_latencies(state: GatewayState) -> None:
    """Move latencies towards their initial estimates, so that a slow upstream is tried again."""
    for item in state.pools.values():
        item.latency_ms += 0.1 * (_initial_latency_ms(state, item) - item.latency_ms)
        item.failure_rate *= FAILURE_RATE_DECAY


def _dispatch_heap(
    state: GatewayState, now_ms: int, heap: list[QueuedRequest], max_blocked: int = 1
) -> list[Effect]:
    """Route queued requests until ``max_blocked`` of a tenant have to wait for a connection."""
    effects: list[Effect] = []
    waiting: list[QueuedRequest] = []
    blocked: Counter[str] = Counter()
    while heap:
        item = heapq.heappop(heap)
        state.queued -= 1
        request = item.request
        if request.serial not in state.requests:
            fair_queue.note_removed(item)
            continue
        if quota_tokens.has_expired(request, now_ms):
            fair_queue.note_removed(item)
            state.follow_up.tokenless.append(request)
            continue
        session = state.sessions[request.session]
        if blocked[session.tenant] >= max_blocked and session.connection is None:
            waiting.append(item)
            continue
        result = _try_route(state, now_ms, session, request)
        effects += result.effects
        if result.is_routed:
            fair_queue.note_removed(item, is_served=True)
            continue
        if result.refusal is not None:
            fair_queue.note_removed(item)
            effects += refuse(state, now_ms, request, result.refusal)
            continue
        waiting.append(item)
        if result.needs_lease:
            continue
        blocked[session.tenant] += 1
        # Requests of other tenants may have connections that this one can't use.
        if not session.tenant and blocked[""] >= max_blocked:
            break
    for item in waiting:
        heapq.heappush(heap, item)
    state.queued += len(waiting)
    return effects


def _try_route(
    state: GatewayState, now_ms: int, session: Session, request: Request
) -> RoutingResult:
    fault = tenants.statement_fault(state, session, request.route)
    if fault is not None:
        return RoutingResult(False, [], refusal=fault)
    request.tenant = session.tenant
    if session.connection is not None:
        return _try_pinned(state, now_ms, session, request)
    if session.origin is None and _is_forwarded(state, now_ms, session, request):
        return RoutingResult(True, forwarding.forward(state, now_ms, session, request))
    if not needs_primary(session, request):
        position = replica_position(state, now_ms, session, request)
        if position is not None:
            return _try_read(state, now_ms, session, request, position)
    return _try_primary(state, now_ms, session, request)


def _try_pinned(
    state: GatewayState, now_ms: int, session: Session, request: Request
) -> RoutingResult:
    """Send a statement on its transaction's connection, a COMMIT of writes only under a lease.

    Without one its success could not be acknowledged. Unsent, the transaction can be rolled back.
    """
    assert session.connection is not None
    connection = state.connections[session.connection]
    upstream, service = connection.upstream, request.route.service
    if not commits_writes(session, request) or primary_leases.covers_commit(
        state, service, upstream, now_ms
    ):
        return RoutingResult(True, pool.send_pinned(state, now_ms, connection, session, request))
    lease = state.primary_leases.get(service)
    if lease is not None and lease.upstream != upstream and now_ms < lease.valid_until_ms:
        error = Error(Fault.ABORTED, f"{upstream} was replaced as primary before the commit")
        return RoutingResult(False, [], refusal=error)
    request.last_refusal = f"{upstream}: no lease on it as the primary"
    refusal = primary_waits.refusal(state, now_ms, session, request, upstream)
    return RoutingResult(False, [], needs_lease=True, refusal=refusal)


def _try_primary(
    state: GatewayState, now_ms: int, session: Session, request: Request
) -> RoutingResult:
    primary = state.primaries.get(request.route.service)
    if primary is None:
        return RoutingResult(False, [])
    result = _try_upstream(state, now_ms, session, request, primary)
    if result.is_routed:
        return result
    return result._replace(refusal=primary_waits.refusal(state, now_ms, session, request, primary))


def _try_read(
    state: GatewayState, now_ms: int, session: Session, request: Request, position: Position
) -> RoutingResult:
    """Try the upstream with the lowest expected latency."""
    service = request.route.service
    candidates: list[tuple[float, int, UpstreamPool]] = []
    has_replica = False
    for item in state.pools.values():
        if item.service != service or item.upstream in request.tried:
            continue
        if not pool.accepts_work(state, item):
            continue
        is_primary = pool.is_primary(state, item)
        has_replica = has_replica or not is_primary
        if now_ms < item.busy_backoff_until_ms or connection_admission.is_full(state, item):
            continue
        if not is_primary and now_ms < item.lagging_backoff_until_ms:
            continue
        has_idle = tenant_connections.has_idle(item, session.tenant)
        if not has_idle and (
            now_ms < item.connect_backoff_until_ms
            or tenant_connections.is_unresponsive(item, now_ms, session.tenant)
        ):
            continue
        cost_ms = _cost_ms(state, item, is_primary, has_idle)
        cost_ms = upstream_health.read_cost_ms(state, now_ms, item, session, request, cost_ms)
        if session.tenant and not has_idle:
            if not tenant_connections.has_room(state, now_ms, item, request):
                cost_ms += item.latency_ms  # until a connection is released
        candidates.append((cost_ms, len(candidates), item))
    if not upstream_health.has_responsive(state, now_ms, [item for _, _, item in candidates]):
        if upstream_health.forget_tried(state, now_ms, request):
            return _try_read(state, now_ms, session, request, position)
    if not candidates:
        result = _try_primary(state, now_ms, session, request)
        # A replica that is only backed off may serve the read a moment later.
        return result._replace(refusal=None) if has_replica else result
    candidates.sort()
    result = _try_candidate(state, now_ms, session, request, candidates[0][2], position)
    for _, _, item in candidates[1:]:
        if result.is_routed or not upstream_health.may_use_next(state, now_ms, request, item):
            continue
        following = _try_candidate(state, now_ms, session, request, item, position)
        result = following._replace(effects=[*result.effects, *following.effects])
    return result


def _try_candidate(
    state: GatewayState,
    now_ms: int,
    session: Session,
    request: Request,
    item: UpstreamPool,
    position: Position,
) -> RoutingResult:
    if pool.is_primary(state, item) and primary_leases.covers_primary(
        state, request.route.service, item.upstream, now_ms
    ):
        return _try_primary(state, now_ms, session, request)
    return _try_upstream(state, now_ms, session, request, item.upstream, position)


def _cost_ms(state: GatewayState, item: UpstreamPool, is_primary: bool, has_idle: bool) -> float:
    entry = state.directory.entries[item.upstream]
    slots = max(1, entry.report.slots)
    cost_ms = item.latency_ms * (1 + item.running / slots)
    cost_ms *= 1 + FAILURE_COST_FACTOR * item.failure_rate
    if is_primary:
        cost_ms *= PRIMARY_COST_FACTOR
    if not has_idle:
        cost_ms += OPENING_COST_MS
    return cost_ms


def _try_upstream(
    state: GatewayState,
    now_ms: int,
    session: Session,
    request: Request,
    upstream: str,
    wait_for: Position | None = None,
) -> RoutingResult:
    item = state.pools.get(upstream)
    if item is None or not pool.accepts_work(state, item) or now_ms < item.busy_backoff_until_ms:
        return RoutingResult(False, [])
    if connection_admission.is_full(state, item):
        return RoutingResult(False, [])
    if wait_for is None:
        if now_ms < item.read_only_backoff_until_ms:
            return RoutingResult(False, [])
        if not primary_leases.covers_statement(state, now_ms, session, request, upstream):
            request.last_refusal = f"{upstream}: no lease on it as the primary"
            return RoutingResult(False, [], needs_lease=True)
    connection = pool.take_idle(item, session)
    if connection is None:
        queue = state.queues.get(item.service)
        wanted = len(queue.primary) + len(queue.reads) if queue is not None else 1
        return RoutingResult(False, pool.open_connection(state, now_ms, item, wanted, request))
    return RoutingResult(
        True, pool.start_request(state, now_ms, connection, session, request, wait_for)
    )


def _initial_latency_ms(state: GatewayState, item: UpstreamPool) -> float:
    entry = state.directory.entries.get(item.upstream)
    if entry is None:
        return INITIAL_LATENCIES_MS[0]
    return INITIAL_LATENCIES_MS[distance(state.settings, entry.report.data_centre)]


def add_pool(state: GatewayState, upstream: str, service: str) -> None:
    """Add a pool for an upstream that control reported, with its initial latency estimate."""
    item = state.pools.setdefault(upstream, UpstreamPool(upstream, service))
    if not item.latency_ms:
        item.latency_ms = _initial_latency_ms(state, item)
