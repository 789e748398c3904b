"""Requests of sessions: opening one, and updating its session after success.

Requests are the same whether they run on this gateway's connections or at a connection holder.
"""

from ..positions import Position
from ..routes import Freshness, Route
from ..statements import Statement, StatementKind, TransactionState
from .state import GatewayState, Request, Session


def open_request(
    state: GatewayState,
    now_ms: int,
    session: Session,
    statement: Statement,
    route: Route,
    timeout_ms: int,
) -> Request:
    """Create the request for a statement and make it the current one of its session."""
    request = Request(
        session.number, statement, route, now_ms, now_ms + timeout_ms, state.next_serial
    )
    state.next_serial += 1
    request.is_write = is_write(session, statement)
    request.tenant = session.tenant
    session.current = request
    state.requests[request.serial] = request
    return request


def is_write(session: Session, statement: Statement) -> bool:
    """Tell whether a statement writes; for EXECUTE the prepared statement decides."""
    if statement.kind is StatementKind.EXECUTE:
        prepared = session.prepared.get(statement.name)
        return prepared is not None and prepared.is_write
    return statement.kind is StatementKind.WRITE


def needs_primary(session: Session, request: Request) -> bool:
    """Tell whether only the primary may serve a request."""
    if session.state is TransactionState.OPEN:
        return not session.is_read_only or request.route.freshness is Freshness.PRIMARY
    return request.is_write or request.route.freshness is Freshness.PRIMARY


def is_single_read(session: Session, request: Request) -> bool:
    """Tell whether a request is a read outside a transaction, so that it may be repeated."""
    return session.state is TransactionState.IDLE and not request.changes_data


def commits_writes(session: Session, request: Request) -> bool:
    """Tell whether a request's success means that writes of its session are committed."""
    if request.statement.kind is StatementKind.COMMIT:
        return session.has_written
    return request.is_write and session.state is TransactionState.IDLE


def apply_success(session: Session, request: Request, position: Position | None) -> None:
    """Update a session after its request succeeded at ``position`` of the upstream's log."""
    if position is not None and commits_writes(session, request):
        session.position = max(session.position or position, position)
    if request.statement.kind is StatementKind.COMMIT:
        session.state = TransactionState.IDLE
    elif session.state is TransactionState.OPEN:
        session.statements_run += 1
        session.has_written = session.has_written or request.is_write
