"""Leases on primaries at a gateway; see ``endivewick_core.primary_leases``.

A commit is acknowledged only under a lease, so that control knows when a primary that it can't
reach has ceased to have commits acknowledged. Where the platform doesn't fence a former primary, an
upstream that accepts a transaction may have been replaced; a read is then sent to it, and a
watermark taken from it, only under a lease too.
"""

from ..primary_leases import covers
from .requests import commits_writes
from .state import GatewayState, Request, Session

# Without contact to a leader of control for so long, this gateway can't obtain a lease soon: it
# has tried other control processes, and an election has had the time to end.
CONTROL_LOST_MS = 2_500


def covers_primary(state: GatewayState, service: str, upstream: str, at_ms: int) -> bool:
    """Return whether an upstream is surely the primary of its service at ``at_ms``."""
    if not state.settings.needs_primary_leases:
        return True
    return covers(state.primary_leases, service, upstream, at_ms)


def covers_commit(state: GatewayState, service: str, upstream: str, at_ms: int) -> bool:
    """Return whether a commit of an upstream may be acknowledged at ``at_ms``."""
    if not _are_used(state):
        return True
    return covers(state.primary_leases, service, upstream, at_ms)


def covers_statement(
    state: GatewayState, now_ms: int, session: Session, request: Request, upstream: str
) -> bool:
    """Return whether a statement may be sent to an upstream as the primary.

    A single write without a lease is not sent: its success could not be acknowledged.
    """
    service = request.route.service
    if commits_writes(session, request):
        return covers_commit(state, service, upstream, now_ms)
    return covers_primary(state, service, upstream, now_ms)


def is_out_of_reach(state: GatewayState, now_ms: int, session: Session, request: Request) -> bool:
    """Return whether a request needs a lease that can't be obtained for now."""
    if not _are_used(state):
        return False
    if not state.settings.needs_primary_leases and not commits_writes(session, request):
        return False
    contact_ms = state.control.leader_contact_ms
    return contact_ms is not None and now_ms - contact_ms >= CONTROL_LOST_MS


def _are_used(state: GatewayState) -> bool:
    return state.settings.commits_need_leases or state.settings.needs_primary_leases
