"""Failovers that wait for commits, as control processes and gateways are told of them.

A failover that finds no upstream with every acknowledged commit waits for one up to half a minute.
Gateways refuse statements that need the primary meanwhile, so that no client waits in vain.
"""

from ..messages import PrimaryWaitNote
from .commit_coverage import MISSING_COMMITS_TIMEOUT_MS
from .service_state import Stage
from .state import ControlState, Role

# Longer than a failover takes to ask its replicas, and to receive the last reports of gateways
# after the primary has stepped down.
SHORT_WAIT_MS = 600
TOLD_VALIDITY_MS = 1_000  # of what the leader told; by then it has been asked again


def notes(state: ControlState, now_ms: int) -> list[PrimaryWaitNote]:
    """Return the failovers that wait for commits, as this process knows them."""
    if state.role is Role.LEADER:
        return _own_notes(state, now_ms)
    lease_state = state.primary_leases
    age_ms = now_ms - lease_state.waits_told_ms
    if age_ms > TOLD_VALIDITY_MS:
        return []
    return [
        PrimaryWaitNote(service, waited_ms + age_ms, max(0, left_ms - age_ms))
        for service, waited_ms, left_ms in lease_state.waits
    ]


def _own_notes(state: ControlState, now_ms: int) -> list[PrimaryWaitNote]:
    waits: list[PrimaryWaitNote] = []
    for attempt in state.failover.running.values():
        if attempt.stage is not Stage.PAUSING or attempt.incomplete_since_ms is None:
            continue
        waited_ms = now_ms - attempt.incomplete_since_ms
        is_known_to_last = attempt.is_gap_logged and attempt.stepped_down_ms is None
        if waited_ms < SHORT_WAIT_MS and not is_known_to_last:
            continue
        left_ms = max(0, MISSING_COMMITS_TIMEOUT_MS - waited_ms)
        if attempt.unreported_until_ms is not None and now_ms < attempt.unreported_until_ms:
            left_ms = attempt.unreported_until_ms - now_ms
        waits.append(PrimaryWaitNote(attempt.service, waited_ms, left_ms))
    return waits
