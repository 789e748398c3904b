"""Placement: which upstream serves a request, and what waits for a connection.

Writes, plain transactions and reads that must see every commit go to the primary. Other reads go
where they are expected to be answered soonest; the upstream itself refuses them where its log lacks
the position that makes them fresh enough.
"""

import heapq
from typing import NamedTuple

from ..positions import Position
from ..routes import Freshness
from ..statements import Error, Fault, TransactionState
from ..watermarks import position_for
from . import answers, forwarding, holders, pool
from .effects import Decision, Effect
from .state import GatewayState, Queued, Request, ServiceQueue, Session, UpstreamPool, distance

FIRST_LATENCIES_MS = (25.0, 30.0, 70.0)  # estimates for this data centre, region, and another one
OPENING_COST_MS = 40.0  # a new connection: its handshake and a round trip
PRIMARY_FACTOR = 1.5  # keeps the primary's slots for what it alone can serve
FAILURE_FACTOR = 10.0  # an upstream that fails a third of its statements costs four times as much
FAILURE_KEPT = 0.8  # of the share of failures, a second later; so it is tried again in time
BUSY_PAUSE_MS = 15  # how long an upstream that refused for lack of room is left alone at first
BUSY_PAUSE_LIMIT_MS = 120  # it doubles with each refusal; a fifth of the usual latency objective
REFUSED_PAUSE_MS = 100  # how long a primary that refused as a replica is left alone
LAGGING_PAUSE_MS = 150  # how long a replica that lacked a position is left alone
READ_ATTEMPTS = 3  # how often a single read is sent
RETRY_AFTER_MS = 300  # advice for clients that were refused for lack of room


class Placed(NamedTuple):
    """What came of an attempt to place a request."""

    is_placed: bool
    effects: list[Effect]


def place(state: GatewayState, now_ms: int, request: Request) -> list[Effect]:
    """Send a request upstream, or let it wait for a connection."""
    session = state.sessions[request.session]
    if session.connection is not None:
        connection = state.connections[session.connection]
        return pool.send_pinned(state, now_ms, connection, session, request)
    placed = _try(state, now_ms, session, request)
    if placed.is_placed:
        return placed.effects
    return placed.effects + wait(state, now_ms, request)


def wait(state: GatewayState, now_ms: int, request: Request) -> list[Effect]:
    """Let a request wait for a connection, or refuse it where too many wait."""
    session = state.sessions[request.session]
    if state.queued >= state.settings.queue_limit:
        error = Error(Fault.BUSY, "too many statements wait here", RETRY_AFTER_MS)
        return answers.fail(state, now_ms, request, error)
    queue = state.queues.setdefault(request.route.service, ServiceQueue())
    item = Queued(request.route.priority, request.serial, request)
    heapq.heappush(queue.primary if needs_primary(session, request) else queue.reads, item)
    state.queued += 1
    return []


def _is_forwarded(state: GatewayState, now_ms: int, session: Session, request: Request) -> bool:
    return bool(session.holder or holders.holder(state, now_ms, request.route.service))


def pump(state: GatewayState, now_ms: int, service: str) -> list[Effect]:
    """Place what waits for connections of a service."""
    queue = state.queues.get(service)
    if queue is None:
        return []
    effects = _pump_heap(state, now_ms, queue.primary)
    return effects + _pump_heap(state, now_ms, queue.reads)


def end_transaction(state: GatewayState, now_ms: int, session: Session) -> list[Effect]:
    """Roll back what a session has open, here or at a holder."""
    return forwarding.end(state, session) + pool.release_session(state, now_ms, session)


def abandon(state: GatewayState, now_ms: int, session: Session) -> list[Effect]:
    """Give back what a session that ended held; what is open upstream is rolled back."""
    request, session.current = session.current, None
    if request is not None:
        state.requests.pop(request.serial, None)
    if request is None or session.connection is None:
        return end_transaction(state, now_ms, session)
    # An upstream rolls back at once only what runs on a connection that ends.
    connection = state.connections.get(session.connection)
    session.connection = None
    return pool.close(state, connection) if connection is not None else []


def refuse(
    state: GatewayState, now_ms: int, request: Request, upstream: str, error: Error
) -> list[Effect]:
    """Place a request again that ``upstream`` refused without running it."""
    request.sent_ms = 0
    request.last_refusal = f"{upstream}: {error.fault.value} {error.text}"
    refused_by = state.pools.get(upstream)
    if error.fault is Fault.LAGGING:
        request.tried.add(upstream)
        if refused_by is not None:
            refused_by.lagging_until_ms = now_ms + LAGGING_PAUSE_MS
    if error.fault is Fault.READ_ONLY and refused_by is not None:
        refused_by.refused_until_ms = now_ms + REFUSED_PAUSE_MS
    if error.fault is Fault.BUSY and refused_by is not None:
        pause_ms = min(BUSY_PAUSE_LIMIT_MS, BUSY_PAUSE_MS * 2 ** min(refused_by.busy_count, 5))
        refused_by.busy_until_ms = now_ms + pause_ms
        refused_by.busy_count += 1
    inputs: dict[str, object] = {"upstream": upstream, "attempts": request.attempts}
    decision = Decision(
        "info",
        "placed_again",
        request.statement.request_id,
        request.route.workspace,
        inputs,
        error.fault.value,
    )
    return [decision, *place(state, now_ms, request)]


def needs_primary(session: Session, request: Request) -> bool:
    """Tell whether only the primary may serve a request."""
    if session.state is TransactionState.OPEN:
        return not session.is_read_only or request.route.freshness is Freshness.PRIMARY
    return request.is_write or request.route.freshness is Freshness.PRIMARY


def wait_position(
    state: GatewayState, now_ms: int, session: Session, request: Request
) -> Position | None:
    """Return the position that a replica must have reached, or None where none is known."""
    history = state.watermarks.get(request.route.service)
    if history is None:
        return None
    position = position_for(history, now_ms, request.route.staleness_ms)
    if position is None:
        return None
    if request.route.freshness is Freshness.SESSION and session.position is not None:
        position = max(position, session.position)
    return position


def cool_latencies(state: GatewayState) -> None:
    """Let latencies drift back to their first estimates, so that a slow upstream is tried again."""
    for item in state.pools.values():
        item.latency_ms += 0.1 * (_first_latency(state, item) - item.latency_ms)
        item.failure_rate *= FAILURE_KEPT


def _pump_heap(state: GatewayState, now_ms: int, heap: list[Queued]) -> list[Effect]:
    effects: list[Effect] = []
    while heap:
        item = heapq.heappop(heap)
        state.queued -= 1
        request = item.request
        if request.serial not in state.requests:
            continue
        session = state.sessions[request.session]
        placed = _try(state, now_ms, session, request)
        effects += placed.effects
        if placed.is_placed:
            continue
        heapq.heappush(heap, item)
        state.queued += 1
        break
    return effects


def _try(state: GatewayState, now_ms: int, session: Session, request: Request) -> Placed:
    if session.origin is None and _is_forwarded(state, now_ms, session, request):
        return Placed(True, forwarding.forward(state, now_ms, session, request))
    if not needs_primary(session, request):
        position = wait_position(state, now_ms, session, request)
        if position is not None:
            return _try_reading(state, now_ms, session, request, position)
    return _try_primary(state, now_ms, session, request)


def _try_primary(state: GatewayState, now_ms: int, session: Session, request: Request) -> Placed:
    primary = state.primaries.get(request.route.service)
    if primary is None:
        return Placed(False, [])
    return _try_upstream(state, now_ms, session, request, primary)


def _try_reading(
    state: GatewayState, now_ms: int, session: Session, request: Request, position: Position
) -> Placed:
    """Try the upstreams by when they are expected to answer."""
    service = request.route.service
    best: UpstreamPool | None = None
    best_cost_ms = 0.0
    for item in state.pools.values():
        if item.service != service or item.upstream in request.tried:
            continue
        if not pool.may_use(state, item) or now_ms < item.busy_until_ms:
            continue
        is_primary = pool.is_primary(state, item)
        if not is_primary and now_ms < item.lagging_until_ms:
            continue
        if not item.idle and now_ms < item.closed_until_ms:
            continue
        cost_ms = _cost_ms(state, item, is_primary)
        if best is None or cost_ms < best_cost_ms:
            best, best_cost_ms = item, cost_ms
    if best is None or pool.is_primary(state, best):
        return _try_primary(state, now_ms, session, request)
    return _try_upstream(state, now_ms, session, request, best.upstream, position)


def _cost_ms(state: GatewayState, item: UpstreamPool, is_primary: bool) -> float:
    entry = state.directory.entries[item.upstream]
    slots = max(1, entry.report.slots)
    cost_ms = item.latency_ms * (1 + item.running / slots)
    cost_ms *= 1 + FAILURE_FACTOR * item.failure_rate
    if is_primary:
        cost_ms *= PRIMARY_FACTOR
    if not item.idle:
        cost_ms += OPENING_COST_MS
    return cost_ms


def _try_upstream(
    state: GatewayState,
    now_ms: int,
    session: Session,
    request: Request,
    upstream: str,
    wait_for: Position | None = None,
) -> Placed:
    item = state.pools.get(upstream)
    if item is None or not pool.may_use(state, item) or now_ms < item.busy_until_ms:
        return Placed(False, [])
    if wait_for is None and now_ms < item.refused_until_ms:
        return Placed(False, [])
    connection = pool.take_idle(item, session)
    if connection is None:
        queue = state.queues.get(item.service)
        wanted = len(queue.primary) + len(queue.reads) if queue is not None else 1
        return Placed(False, pool.open_connection(state, now_ms, item, wanted))
    return Placed(True, pool.start(state, now_ms, connection, session, request, wait_for))


def _first_latency(state: GatewayState, item: UpstreamPool) -> float:
    entry = state.directory.entries.get(item.upstream)
    if entry is None:
        return FIRST_LATENCIES_MS[0]
    return FIRST_LATENCIES_MS[distance(state.settings, entry.report.data_centre)]


def add_pool(state: GatewayState, upstream: str, service: str) -> None:
    """Keep a pool for an upstream that was announced, with its first latency."""
    item = state.pools.setdefault(upstream, UpstreamPool(upstream, service))
    if not item.latency_ms:
        item.latency_ms = _first_latency(state, item)
