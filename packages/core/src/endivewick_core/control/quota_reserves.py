"""What control keeps of the limits for gateways that it doesn't hear from.

Such a gateway may be cut off, and goes on at the rate at which it was given tokens before; see
``gateway/quota_reserves``. The leader is told the sum, and gives that much to no other. For a
gateway that has ended it is kept in vain.
"""

from ..quota_usage import Usage, add_usage, usage_per_s
from .quota_state import SilentGateway
from .state import ControlState

SILENT_MS = 700  # gateways poll at least every 250 ms
# The gateway's own 8,000 ms, and a round trip between regions under load.
RESERVE_TIME_MS = 9_500
# At first more is kept, for what was used before the leader knew.
CATCH_UP_FACTOR = 1.5
CATCH_UP_MS = 3_500


def note_contact(state: ControlState, now_ms: int, gateway: str) -> None:
    """Record that a gateway was heard from; it needs no reserve."""
    known = state.quotas.gateways.get(gateway)
    if known is not None:
        known.contact_ms = now_ms
        known.owed.clear()


def note_departure(state: ControlState, gateway: str) -> None:
    """Record that a gateway asks another control process now, which keeps its reserve."""
    state.quotas.gateways.pop(gateway, None)


def note_given(state: ControlState, now_ms: int, gateway: str, tenant: str, tokens: int) -> None:
    """Record the tokens that a gateway was given."""
    known = state.quotas.gateways.setdefault(gateway, SilentGateway(now_ms))
    add_usage(known.usage.setdefault(tenant, Usage()), now_ms, tokens)


def reserved_per_s(state: ControlState, now_ms: int) -> dict[str, float]:
    """Return the rates, by tenant, that silent gateways may go on to use."""
    rates: dict[str, float] = {}
    for gateway, known in list(state.quotas.gateways.items()):
        silent_ms = now_ms - known.contact_ms
        if silent_ms < SILENT_MS:
            continue
        if silent_ms >= RESERVE_TIME_MS:
            del state.quotas.gateways[gateway]
            continue
        factor = CATCH_UP_FACTOR if silent_ms < CATCH_UP_MS else 1.0
        for tenant, usage in known.usage.items():
            rate_per_s = known.owed.setdefault(tenant, usage_per_s(usage, known.contact_ms))
            rates[tenant] = rates.get(tenant, 0.0) + factor * rate_per_s
    return rates
