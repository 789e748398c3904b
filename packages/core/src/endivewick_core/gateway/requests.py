"""Requests of sessions: what opens one, and what its success changes in its session.

A statement is the same request whether it runs on this gateway's connections or at a holder.
"""

from ..positions import Position
from ..routes import Route
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
    """Make a statement the one that its session waits for."""
    request = Request(
        session.number, statement, route, now_ms, now_ms + timeout_ms, state.next_serial
    )
    state.next_serial += 1
    request.is_write = is_write(session, statement)
    session.current = request
    state.requests[request.serial] = request
    return request


def is_write(session: Session, statement: Statement) -> bool:
    """Tell whether a statement writes; a prepared one does what its session prepared."""
    if statement.kind is StatementKind.EXECUTE:
        prepared = session.prepared.get(statement.name)
        return prepared is not None and prepared.is_write
    return statement.kind is StatementKind.WRITE


def is_single_read(session: Session, request: Request) -> bool:
    """Tell whether a request only reads and stands by itself, so that it may be repeated."""
    return session.state is TransactionState.IDLE and not request.is_write


def commits_writes(session: Session, request: Request) -> bool:
    """Tell whether a request's success means that writes of its session are committed."""
    if request.statement.kind is StatementKind.COMMIT:
        return session.has_written
    return request.is_write and session.state is TransactionState.IDLE


def apply_success(session: Session, request: Request, position: Position | None) -> None:
    """Record a request's success in its session; ``position`` is that of the upstream's log."""
    if position is not None and commits_writes(session, request):
        session.position = max(session.position or position, position)
    if request.statement.kind is StatementKind.COMMIT:
        session.state = TransactionState.IDLE
    elif session.state is TransactionState.OPEN:
        session.statements_run += 1
        session.has_written = session.has_written or request.is_write
