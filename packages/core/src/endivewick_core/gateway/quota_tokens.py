"""A gateway's stock of tokens: permissions to run one operation of a tenant each.

Tokens expire soon after they were asked for, so that a gateway that is frozen or cut off runs no
more operations than the tenants' limits allow.
"""

import math

from ..quota_usage import add_usage
from .quota_state import TenantTokens
from .state import GatewayState, Request, Session

TOKEN_LIFETIME_MS = 500  # the limit's window allows a tenth of itself for the ages of tokens
DEMAND_TIME_S = 2.0  # over which demand is averaged


def limited_tenant(state: GatewayState, session: Session) -> str:
    """Return the tenant of a session if it has a limit, otherwise an empty text.

    The tokens of another gateway's session were taken there.
    """
    tenants = state.configuration.tenants
    if not tenants or session.origin is not None:
        return ""
    tenant = tenants.get(session.tenant)
    return tenant.name if tenant is not None and tenant.rate_per_s is not None else ""


def remove_expired(tokens: TenantTokens, now_ms: int) -> None:
    """Remove the tokens that have expired."""
    while tokens.stock and tokens.stock[0] <= now_ms:
        tokens.stock.popleft()


def take(tokens: TenantTokens, now_ms: int, request: Request) -> bool:
    """Let a request take the token that expires first; return whether there is one."""
    remove_expired(tokens, now_ms)
    if not tokens.stock:
        return False
    request.token_until_ms = tokens.stock.popleft()
    add_usage(tokens.usage, now_ms, 1)
    return True


def put(tokens: TenantTokens, until_ms: int, count: int) -> None:
    """Add tokens that expire at the same time."""
    for _ in range(count):
        tokens.stock.append(until_ms)
    if len(tokens.stock) > count and tokens.stock[-count - 1] > until_ms:
        in_order = sorted(tokens.stock)
        tokens.stock.clear()
        tokens.stock.extend(in_order)


def give_back(state: GatewayState, now_ms: int, request: Request) -> None:
    """Return the token of a request that ended before anything of it was sent."""
    until_ms, request.token_until_ms = request.token_until_ms, 0
    session = state.sessions.get(request.session)
    if request.attempts or until_ms <= now_ms or session is None:
        return
    tokens = state.quotas.tenants.get(limited_tenant(state, session))
    if tokens is not None:
        put(tokens, until_ms, 1)


def has_expired(request: Request, now_ms: int) -> bool:
    """Return whether a request's token expired before anything of the request was sent."""
    return 0 < request.token_until_ms <= now_ms and not request.attempts


def demand_per_s(tokens: TenantTokens, now_ms: int, started: int = 0) -> float:
    """Return how many operations a second lately started, after adding ``started``."""
    passed_s = max(0, now_ms - tokens.demand_updated_ms) / 1000
    tokens.demand = tokens.demand * math.exp(-passed_s / DEMAND_TIME_S) + started
    tokens.demand_updated_ms = max(now_ms, tokens.demand_updated_ms)
    return tokens.demand / DEMAND_TIME_S
