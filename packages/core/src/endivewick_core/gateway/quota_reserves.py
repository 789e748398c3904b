"""What a gateway runs of a tenant's operations while no control process answers.

It goes on at the rate at which it ran them before, for a limited time. Control keeps as much of the
limit for gateways that it doesn't hear from; see ``control/quota_reserves``.
"""

import xxhash

from ..quota_usage import usage_per_s
from ..token_buckets import Bucket, take
from .quota_state import TenantTokens
from .quota_tokens import TOKEN_LIFETIME_MS
from .state import GatewayState, Request

SILENT_MS = 700  # without an answer of control; more than two polls
# After the last answer of control. Control keeps the reserve for longer.
RESERVE_TIME_MS = 8_000


def take_reserved(
    state: GatewayState, now_ms: int, tenant: str, tokens: TenantTokens, request: Request
) -> bool:
    """Let a request run within the reserve of a gateway without control; return whether it may."""
    heard_ms = state.control.last_received_ms
    if heard_ms is None or not SILENT_MS <= now_ms - heard_ms < RESERVE_TIME_MS:
        tokens.reserve = None
        return False
    if tokens.reserve is None:
        tokens.reserve = _open_reserve(state, heard_ms, tenant, tokens)
    if not take(tokens.reserve, now_ms, 1):
        return False
    request.token_until_ms = min(now_ms + TOKEN_LIFETIME_MS, heard_ms + RESERVE_TIME_MS)
    return True


def _open_reserve(state: GatewayState, heard_ms: int, tenant: str, tokens: TenantTokens) -> Bucket:
    """Return a bucket with the tenant's rate of before, which many gateways fill at other times.

    It begins with a fraction of a token, so that gateways with a low rate don't all have a token at
    once and their sum is as if they were one.
    """
    rate_per_s = usage_per_s(tokens.usage, heard_ms)
    name = f"{state.settings.address} {state.settings.boot} {tenant} {heard_ms}"
    level = xxhash.xxh3_64_intdigest(name.encode()) / 2**64
    return Bucket(rate_per_s, max(1.0, rate_per_s), level, heard_ms + SILENT_MS)
