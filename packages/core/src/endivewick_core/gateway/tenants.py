"""Tenants of sessions: which tenant a key identifies, and when a statement is refused for its key.

A key is checked when its session starts, whenever an operation begins, and before each statement of
a transaction is sent, always against the configuration in force. Keys appear in no error or log.
"""

from ..routes import Configuration, Route
from ..statements import Error, Fault
from .effects import CloseSession, Effect
from .state import GatewayState, Session

PUBLIC = "public"  # the tenant of sessions on public routes whose key is unknown
MAX_KEY_CHARACTERS = 200  # of a key in a configuration; a longer one is not kept
CONFIGURATION_RETRY_MS = 500  # two polls, in which the other gateway learns the configuration
LAST_PRIORITY = 1_000_000  # of public sessions, which no tenant is responsible for


def tenant_of(configuration: Configuration, route: Route, key: str) -> str | None:
    """Return the tenant that a key identifies on a route, or None if the key is unknown.

    It is empty where the configuration has no tenants, and ``PUBLIC`` for an unknown key on a
    public route.
    """
    if configuration.tenants is None:
        return ""
    name = configuration.tenant_names.get(key)
    if name is not None:
        return name
    return PUBLIC if route.is_public else None


def may_keep_connection(state: GatewayState, tenant: str) -> bool:
    """Tell whether a tenant's connections may be kept.

    A tenant that is unknown here may belong to a newer configuration that another gateway has.
    """
    if state.min_transaction_version > state.configuration.version:
        return True
    return _is_current(state.configuration, tenant)


def priority(configuration: Configuration, tenant: str) -> int:
    """Return a tenant's priority; lower values are served first, public sessions last."""
    if configuration.tenants is None:
        return 0
    known = configuration.tenants.get(tenant)
    return known.priority if known is not None else LAST_PRIORITY


def kept_key(key: str) -> str:
    """Return the key to keep of a session; one that is too long for a key is unknown anyway.

    A client could otherwise make each of its sessions hold a megabyte.
    """
    return key if len(key) <= MAX_KEY_CHARACTERS else ""


def startup_fault(state: GatewayState, session: Session, route: Route) -> Error | None:
    """Set the tenant of a new session; return why its key is refused, or None."""
    return _identify(state, session, route)


def statement_fault(
    state: GatewayState, session: Session, route: Route | None = None
) -> Error | None:
    """Return why a session's key admits no statement now, or None; update its tenant.

    ``route`` is that of the statement. Without one, the session's workspace determines it.
    """
    if session.origin is not None:
        return _remote_fault(state, session)
    configured = state.configuration.routes.get(session.workspace)
    route = configured or route or session.route
    if route is None:
        return None
    if session.connection is not None or session.holder:
        return _transaction_fault(state, session, route)
    return _identify(state, session, route)


def close_session(state: GatewayState, session: Session) -> list[Effect]:
    """Close the session of a client whose key was refused; its waiting statements are dropped."""
    session.waiting.clear()
    if session.origin is not None:
        return []
    state.sessions.pop(session.number, None)
    return [CloseSession(session.number)]


def _identify(state: GatewayState, session: Session, route: Route) -> Error | None:
    """Set a session's tenant to the one that its key identifies now.

    A key that belonged to one tenant and now belongs to another is refused, so that a client isn't
    served as a tenant that it doesn't know of.
    """
    tenant = tenant_of(state.configuration, route, session.key)
    if tenant is None:
        return _unknown()
    if session.tenant not in ("", PUBLIC, tenant) and tenant not in ("", PUBLIC):
        return _changed()
    session.tenant = tenant
    return None


def _transaction_fault(state: GatewayState, session: Session, route: Route) -> Error | None:
    """Return why a transaction may not go on; it keeps the tenant of its first statement."""
    if state.configuration.tenants is None:
        return None
    if not session.tenant:
        # It began before the configuration had tenants, on a connection of no tenant.
        known = tenant_of(state.configuration, route, session.key)
        return _unknown() if known is None else None
    if session.tenant == PUBLIC and route.is_public:
        return None
    if state.configuration.tenant_names.get(session.key) != session.tenant:
        return _changed()
    return None


def _remote_fault(state: GatewayState, session: Session) -> Error | None:
    """Return why a statement of another gateway is refused.

    That gateway has checked the key. Its configuration may be newer than the one in force here. If
    only one of them has tenants, the client is served once both gateways have the same.
    """
    if session.configuration_version > state.configuration.version:
        return None
    if (state.configuration.tenants is None) == bool(session.tenant):
        text = "the configuration has changed; the gateway of the session doesn't have it yet"
        return Error(Fault.BUSY, text, CONFIGURATION_RETRY_MS)
    if _is_current(state.configuration, session.tenant):
        return None
    return _changed()


def _is_current(configuration: Configuration, tenant: str) -> bool:
    """Tell whether statements may run as a tenant in a configuration."""
    if configuration.tenants is None:
        return not tenant
    return tenant == PUBLIC or tenant in configuration.tenants


def _unknown() -> Error:
    return Error(Fault.UNAUTHENTICATED, "the key is not known; check the key of this client")


def _changed() -> Error:
    return Error(Fault.UNAUTHENTICATED, "the key was revoked or now belongs to another tenant")
