"""What control keeps of the limits for gateways that it doesn't hear from.

Such a gateway may be cut off, and goes on at the rate at which it was given tokens before; see
``gateway/quota_reserves``. That much is taken from this process's shares meanwhile. For a gateway
that has ended, or has gone to another control process, it is kept in vain.
"""

from ..quota_usage import Usage, add_usage, usage_per_s
from .quota_state import SilentGateway
from .state import ControlState

SILENT_MS = 700  # gateways poll at least every 250 ms
# The gateway's own 8,000 ms, and a round trip between regions under load.
RESERVE_TIME_MS = 9_500


def note_contact(state: ControlState, now_ms: int, gateway: str) -> None:
    """Record that a gateway was heard from; it needs no reserve."""
    known = state.quotas.gateways.get(gateway)
    if known is not None:
        known.contact_ms = known.reserved_ms = now_ms
        known.owed.clear()


def note_given(state: ControlState, now_ms: int, gateway: str, tenant: str, tokens: int) -> None:
    """Record the tokens that a gateway was given."""
    known = state.quotas.gateways.setdefault(gateway, SilentGateway(now_ms, now_ms))
    add_usage(known.usage.setdefault(tenant, Usage()), now_ms, tokens)


def due_reserves(state: ControlState, now_ms: int) -> dict[str, float]:
    """Return the tokens, by tenant, that silent gateways may have used since the last call."""
    due: dict[str, float] = {}
    for gateway, known in list(state.quotas.gateways.items()):
        silent_ms = now_ms - known.contact_ms
        if silent_ms < SILENT_MS:
            continue
        if silent_ms >= RESERVE_TIME_MS:
            del state.quotas.gateways[gateway]
            continue
        passed_s = (now_ms - known.reserved_ms) / 1000
        known.reserved_ms = now_ms
        for tenant, usage in known.usage.items():
            rate_per_s = known.owed.setdefault(tenant, usage_per_s(usage, known.contact_ms))
            due[tenant] = due.get(tenant, 0.0) + rate_per_s * passed_s
    return due
