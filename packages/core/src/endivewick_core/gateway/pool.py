"""The pool of upstream connections: opening, preparing, using and releasing them.

A connection keeps the values of the session that used it last. Before it serves a session with
other values it is reset, in the same write as the session's statement. On the primary, idle
connections are kept inside a transaction: an upstream that is no longer the primary refuses
statements of such a transaction, so a read can't run on the log of a replaced primary.
"""

from ..directory import UpstreamState
from ..positions import Position
from ..statements import (
    BEGIN,
    BEGIN_READ_ONLY,
    RESET,
    ROLLBACK,
    PreparedStatement,
    StatementKind,
    TransactionState,
    UpstreamStatement,
    internal_statement,
)
from . import (
    connection_admission,
    limits,
    load_shedding,
    primary_leases,
    tenant_connections,
    tenants,
)
from .effects import CloseConnection, Effect, OpenConnection, SendStatements
from .state import (
    Connection,
    GatewayState,
    PendingStatement,
    Purpose,
    Request,
    Session,
    UpstreamPool,
)

MAX_OPENING_CONNECTIONS = 3  # to one upstream at a time; each takes one of its slots
MAX_PREPARED_PER_CONNECTION = 200  # a connection with more is reset before its next use

Batch = list[tuple[UpstreamStatement, PendingStatement]]


def is_primary(state: GatewayState, pool: UpstreamPool) -> bool:
    """Tell whether this gateway considers the pool's upstream to be its service's primary."""
    return state.primaries.get(pool.service) == pool.upstream


def accepts_work(state: GatewayState, pool: UpstreamPool) -> bool:
    """Tell whether an upstream accepts new work."""
    entry = state.directory.entries.get(pool.upstream)
    return entry is not None and entry.report.state is UpstreamState.READY


def open_connection(
    state: GatewayState,
    now_ms: int,
    pool: UpstreamPool,
    wanted: int = 1,
    request: Request | None = None,
) -> list[Effect]:
    """Open a connection if the limits allow it and fewer than ``wanted`` are being opened.

    If ``request`` is that of a tenant, the connection is opened for the tenant if it waits for more
    than are being opened for it; idle connections of other tenants are closed where it needs room.
    """
    service = state.configuration.services.get(pool.service)
    entry = state.directory.entries.get(pool.upstream)
    if service is None or entry is None or now_ms < pool.connect_backoff_until_ms:
        return []
    tenant = request.tenant if request is not None else ""
    excess = len(pool.connections) + 1 - limits.allowance(state, now_ms, pool)
    if excess > 0 and (not tenant or len(pool.idle) < excess):
        return []
    opening = sum(1 for item in pool.connections.values() if not item.is_open)
    limit = connection_admission.max_opening(state, pool, MAX_OPENING_CONNECTIONS)
    if opening >= (limit if tenant else min(limit, max(1, wanted))):
        return []
    effects: list[Effect] = []
    if request is not None and tenant:
        if not tenant_connections.may_open(state, now_ms, request):
            return []
        if excess > 0:
            evicted = tenant_connections.choose_evicted(state, now_ms, pool, request, excess)
            if not evicted:
                return []
            for item in evicted:
                effects.append(tenant_connections.eviction_event(now_ms, item, request))
                effects += close(state, item)
    connection = Connection(
        state.next_connection,
        pool.upstream,
        now_ms,
        tenant=tenant,
        last_used_ms=now_ms,
        last_received_ms=now_ms,
    )
    state.next_connection += 1
    pool.connections[connection.number] = connection
    state.connections[connection.number] = connection
    address = entry.report.address
    opened = OpenConnection(connection.number, address, pool.service, pool.upstream, tenant)
    return [*effects, *connection_admission.log_opening(state, now_ms, pool), opened]


def take_idle(pool: UpstreamPool, session: Session) -> Connection | None:
    """Remove and return the idle connection that needs the least preparation, or None.

    Only connections of the session's tenant are taken.
    """
    best: Connection | None = None
    best_cost = 0
    for number in reversed(pool.idle):
        connection = pool.connections[number]
        if connection.tenant != session.tenant:
            continue
        cost = 0 if _matches_session(connection, session) else 1
        if best is None or cost < best_cost:
            best, best_cost = connection, cost
        if not cost:
            break
    if best is not None:
        pool.idle.remove(best.number)
    return best


def start_request(
    state: GatewayState,
    now_ms: int,
    connection: Connection,
    session: Session,
    request: Request,
    wait_for: Position | None,
) -> list[Effect]:
    """Start a request on a connection that ``take_idle`` returned.

    Except for a single write and a single read with ``wait_for``, the connection must be inside a
    transaction before the statement is sent. If it isn't, a BEGIN is sent first, and the statement
    only after the answer to it.

    Nothing is sent behind a write or a COMMIT before its answer: if that answer is lost, the
    refusal of the next statement would be taken for the refusal of the write, which has run.
    """
    load_shedding.record_taken(now_ms, connection)
    single = session.state is TransactionState.IDLE
    batch: Batch = []
    if single and (request.is_write or wait_for is not None):
        _apply_session_values(now_ms, connection, session, batch)
        _add_work(state, now_ms, connection, session, request, wait_for, batch)
        if not request.changes_data:
            _begin_next_transaction(state, now_ms, connection, batch)
        return _send(connection, batch)
    begun = (
        connection.in_transaction
        and connection.transaction_version == _required_transaction_version(state)
    )
    if begun and _matches_session(connection, session) and wait_for is None:
        return _send_in_transaction(state, now_ms, connection, session, request)
    _apply_session_values(now_ms, connection, session, batch)
    begin = BEGIN_READ_ONLY if wait_for is not None else BEGIN
    batch.append((UpstreamStatement(begin, wait_for), PendingStatement(Purpose.BEGIN, now_ms)))
    connection.transaction_version = _required_transaction_version(state)
    connection.next_request = request
    request.wait_for = wait_for
    return _send(connection, batch)


def send_next_request(state: GatewayState, now_ms: int, connection: Connection) -> list[Effect]:
    """Send the request that waited for the answer to the connection's BEGIN."""
    request = connection.next_request
    assert request is not None
    connection.next_request = None
    session = state.sessions.get(request.session)
    if session is None or session.current is not request:
        return release(state, now_ms, connection)
    service = request.route.service
    if tenants.statement_fault(state, session, request.route) is not None:
        # Dispatching the queue refuses it.
        state.follow_up.requests.append(request)
        return release(state, now_ms, connection)
    if request.wait_for is None and not primary_leases.covers_primary(
        state, service, connection.upstream, now_ms
    ):
        state.follow_up.requests.append(request)
        return release(state, now_ms, connection)
    return _send_in_transaction(state, now_ms, connection, session, request)


def send_pinned(
    state: GatewayState, now_ms: int, connection: Connection, session: Session, request: Request
) -> list[Effect]:
    """Send a statement of an open transaction on its connection."""
    batch: Batch = []
    for name, value in session.values.items():
        if connection.values.get(name) == value:
            continue
        # Whether a rollback reverts the values that were set in its transaction isn't specified.
        connection.is_dirty = True
        _set(now_ms, connection, name, value, batch)
    _add_work(state, now_ms, connection, session, request, None, batch)
    return _send(connection, batch)


def release_session(state: GatewayState, now_ms: int, session: Session) -> list[Effect]:
    """Roll back a session's transaction upstream and release its connection."""
    if session.connection is None:
        return []
    connection = state.connections.get(session.connection)
    session.connection = None
    if connection is None:
        return []
    connection.session = None
    return release(state, now_ms, connection)


def release(state: GatewayState, now_ms: int, connection: Connection) -> list[Effect]:
    """Release a connection; it becomes idle after it was rolled back and reset where needed."""
    connection.session = None
    if connection.pending or connection.next_request is not None:
        return []
    pool = state.pools[connection.upstream]
    begun = _keeps_transaction(state, now_ms, pool)
    clean = not connection.is_dirty and not connection.is_used
    if (
        connection.in_transaction
        and connection.transaction_version != _required_transaction_version(state)
    ):
        clean = False
    if clean and connection.in_transaction == begun:
        return make_idle(state, now_ms, connection)
    batch: Batch = []
    if connection.in_transaction:
        batch.append((UpstreamStatement(ROLLBACK), PendingStatement(Purpose.ROLLBACK, now_ms)))
    if connection.is_dirty:
        _reset(now_ms, connection, batch)
    connection.is_used = False
    _begin_next_transaction(state, now_ms, connection, batch)
    if not batch:
        return make_idle(state, now_ms, connection)
    return _send(connection, batch)


def make_idle(state: GatewayState, now_ms: int, connection: Connection) -> list[Effect]:
    """Make a connection idle for queued requests; close it if excess or unusable."""
    pool = state.pools[connection.upstream]
    connection.session = None
    connection.idle_since_ms = now_ms
    load_shedding.record_released(now_ms, pool, connection)
    above = pool.upstream in state.control.contended and limits.is_above_share(state, pool)
    may_keep = tenants.may_keep_connection(state, connection.tenant)
    if above or not accepts_work(state, pool) or not may_keep:
        return close(state, connection)
    pool.idle.append(connection.number)
    state.follow_up.services.append(pool.service)
    return []


def renew(state: GatewayState, now_ms: int, connection: Connection) -> list[Effect]:
    """Release an idle connection again, after the configuration or the primary changed."""
    pool = state.pools[connection.upstream]
    pool.idle.remove(connection.number)
    return release(state, now_ms, connection)


def close(state: GatewayState, connection: Connection) -> list[Effect]:
    """Close a connection that no session uses."""
    remove_connection(state, connection)
    return [CloseConnection(connection.number)]


def remove_connection(state: GatewayState, connection: Connection) -> None:
    """Remove a connection from the state and its pool."""
    state.connections.pop(connection.number, None)
    pool = state.pools[connection.upstream]
    pool.connections.pop(connection.number, None)
    if connection.number in pool.idle:
        pool.idle.remove(connection.number)
    pool.running -= sum(1 for item in connection.pending if item.purpose is Purpose.WORK)


def _matches_session(connection: Connection, session: Session) -> bool:
    return not connection.is_dirty and connection.values == session.values


def _send_in_transaction(
    state: GatewayState,
    now_ms: int,
    connection: Connection,
    session: Session,
    request: Request,
) -> list[Effect]:
    """Send a statement on a connection that is inside a transaction."""
    batch: Batch = []
    if session.state is TransactionState.OPEN:
        session.connection = connection.number
        connection.session = session.number
        connection.is_used = True
        return send_pinned(state, now_ms, connection, session, request)
    _add_work(state, now_ms, connection, session, request, None, batch)
    batch.append((UpstreamStatement(ROLLBACK), PendingStatement(Purpose.ROLLBACK, now_ms)))
    _begin_next_transaction(state, now_ms, connection, batch)
    return _send(connection, batch)


def _apply_session_values(
    now_ms: int, connection: Connection, session: Session, batch: Batch
) -> None:
    """End the connection's idle transaction and set the session's values on it."""
    if connection.in_transaction:
        batch.append((UpstreamStatement(ROLLBACK), PendingStatement(Purpose.ROLLBACK, now_ms)))
    extra = any(session.values.get(name) != value for name, value in connection.values.items())
    if connection.is_dirty or extra or len(connection.prepared) > MAX_PREPARED_PER_CONNECTION:
        _reset(now_ms, connection, batch)
    for name, value in session.values.items():
        if name not in connection.values:
            _set(now_ms, connection, name, value, batch)


def _reset(now_ms: int, connection: Connection, batch: Batch) -> None:
    batch.append((UpstreamStatement(RESET), PendingStatement(Purpose.SETUP, now_ms)))
    connection.values = {}
    connection.prepared = {}
    connection.is_dirty = False


def _set(now_ms: int, connection: Connection, name: str, value: str, batch: Batch) -> None:
    statement = internal_statement(StatementKind.SET, name, value)
    batch.append((UpstreamStatement(statement), PendingStatement(Purpose.SETUP, now_ms)))
    connection.values[name] = value


def _add_work(
    state: GatewayState,
    now_ms: int,
    connection: Connection,
    session: Session,
    request: Request,
    wait_for: Position | None,
    batch: Batch,
) -> None:
    statement = request.statement
    if statement.kind is StatementKind.EXECUTE:
        name = _prepare(now_ms, connection, session.prepared[statement.name], batch)
        statement = statement._replace(name=name)
    request.sent_ms = now_ms
    connection.last_used_ms, connection.is_unused = now_ms, False
    request.upstream = connection.upstream
    request.wait_for = wait_for
    if request.changes_data:
        state.unanswered_write_since_ms.setdefault(request.route.service, now_ms)
    request.attempts += 1
    state.pools[connection.upstream].running += 1
    pending = PendingStatement(Purpose.WORK, now_ms, request)
    batch.append((UpstreamStatement(statement, wait_for), pending))


def _prepare(now_ms: int, connection: Connection, prepared: PreparedStatement, batch: Batch) -> str:
    """Return the connection's name for a prepared statement, and prepare it if it is new."""
    known = connection.prepared.get(prepared)
    if known is not None:
        return known
    name = f"p{len(connection.prepared)}"
    connection.prepared[prepared] = name
    statement = internal_statement(
        StatementKind.PREPARE, name, prepared.shape, is_write=prepared.is_write
    )
    batch.append((UpstreamStatement(statement), PendingStatement(Purpose.SETUP, now_ms)))
    return name


def _begin_next_transaction(
    state: GatewayState, now_ms: int, connection: Connection, batch: Batch
) -> None:
    """Begin a transaction for the next session, if the upstream is the primary."""
    pool = state.pools[connection.upstream]
    if _keeps_transaction(state, now_ms, pool):
        connection.transaction_version = _required_transaction_version(state)
        batch.append((UpstreamStatement(BEGIN), PendingStatement(Purpose.BEGIN, now_ms)))


def _required_transaction_version(state: GatewayState) -> int:
    """Return the newest configuration version that a statement on a connection may belong to."""
    return max(state.configuration.version, state.min_transaction_version)


def _keeps_transaction(state: GatewayState, now_ms: int, pool: UpstreamPool) -> bool:
    usable = accepts_work(state, pool) and now_ms >= pool.read_only_backoff_until_ms
    return usable and is_primary(state, pool)


def _send(connection: Connection, batch: Batch) -> list[Effect]:
    connection.pending.extend(pending for _, pending in batch)
    return [SendStatements(connection.number, [statement for statement, _ in batch])]
