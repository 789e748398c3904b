"""Forwarding: statements that another gateway of the data centre runs on its connections.

A statement is sent with the whole state of its session that it needs, so a connection holder keeps
a session only while a statement runs or a transaction is open. ``forwarded_requests`` handles the
holder's answers, and ``remote_sessions`` runs the statements at the holder.
"""

from ..messages import ForwardedEnd, ForwardedStatement
from ..statements import TransactionState
from . import holders, tenant_holders
from .effects import Connect, Effect, Send
from .state import GatewayState, Request, Session


def forward(state: GatewayState, now_ms: int, session: Session, request: Request) -> list[Effect]:
    """Send a request to the gateway that holds connections for its service."""
    address = session.holder or tenant_holders.holder(
        state, now_ms, request.route.service, session.tenant
    )
    if session.state is TransactionState.OPEN:
        session.holder = address
    statement = request.statement
    request.forwarded_to = address
    request.sent_ms = now_ms
    request.upstream = address
    request.attempts += 1
    message = ForwardedStatement(
        state.settings.address,
        state.settings.boot,
        session.number,
        request.serial,
        statement,
        request.route,
        session.state.value,
        session.is_read_only,
        session.state is TransactionState.OPEN and session.statements_run > 0,
        session.values,
        session.prepared.get(statement.name),
        session.position,
        state.configuration.version,
        max(0, request.deadline_ms - now_ms),
        session.tenant,
    )
    return [Send(address, message)]


def send_end(state: GatewayState, session: Session) -> list[Effect]:
    """Notify the holder of a session's transaction that it is over, so that it is rolled back."""
    if not session.holder:
        return []
    address, session.holder = session.holder, ""
    message = ForwardedEnd(state.settings.address, state.settings.boot, session.number)
    return [Send(address, message)]


def preconnect(state: GatewayState) -> list[Effect]:
    """Connect in advance to this gateway's holders, or as a holder to the other gateways."""
    services = state.configuration.services
    # With tenants each holder has some of them.
    count = 1 if state.configuration.tenants is None else None
    addresses = {
        address for name in services for address in holders.candidates_for(state, name)[:count]
    }
    if any(holders.are_needed(state, name) and holders.holds(state, name) for name in services):
        addresses.update(state.control.neighbours)
    addresses.discard(state.settings.address)
    return [Connect(address) for address in sorted(addresses)]


def resend_undelivered(state: GatewayState) -> list[Effect]:
    """Return the messages that could not be sent before, to be sent again."""
    unsent_messages, state.unsent_messages = state.unsent_messages, []
    return list(unsent_messages)
