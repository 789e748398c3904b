"""Leases on primaries at a gateway; see ``endivewick_core.primary_leases``.

Where the platform doesn't fence a former primary, an upstream that accepts a transaction may have
been replaced. What it answers then proves something only if a lease covers it: a read is sent to
it, a watermark is taken from it and a commit is acknowledged only under a lease.
"""

from ..primary_leases import covers
from .state import GatewayState

# Without contact to a leader of control for so long, this gateway can't obtain a lease soon: it
# has tried other control processes, and an election has had the time to end.
CONTROL_LOST_MS = 2_500


def covers_primary(state: GatewayState, service: str, upstream: str, at_ms: int) -> bool:
    """Return whether an upstream is surely the primary of its service at ``at_ms``."""
    if not state.settings.needs_primary_leases:
        return True
    return covers(state.primary_leases, service, upstream, at_ms)


def is_out_of_reach(state: GatewayState, now_ms: int) -> bool:
    """Return whether no lease can be obtained for now, since control has no leader here."""
    if not state.settings.needs_primary_leases:
        return False
    contact_ms = state.control.leader_contact_ms
    return contact_ms is not None and now_ms - contact_ms >= CONTROL_LOST_MS
