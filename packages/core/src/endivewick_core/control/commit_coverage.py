"""Whether an upstream has every commit that may have been acknowledged.

A commit is acknowledged once any replica has received it. That replica may have departed since, or
may not have reported yet. Three positions tell what a promoted upstream needs:

- what any replica was seen to have received;
- the end of the former primary's log when it became a replica, which no acknowledged commit
  exceeds;
- where gateways acknowledged commits. It may exceed the last acknowledged commit, since an
  upstream's answer shows the end of its log, with commits that still wait for a replica.
"""

from ..directory import DirectoryEntry, UpstreamState
from ..positions import ZERO, Position
from .service_state import Failover
from .state import ControlState

# For every gateway to report the commits that it acknowledged before the primary stepped down.
ACKNOWLEDGEMENT_REPORT_MS = 500


def choose_target(
    state: ControlState, now_ms: int, attempt: Failover, candidates: list[DirectoryEntry]
) -> tuple[str, bool]:
    """Return the candidate to promote, and whether it has every acknowledged commit.

    Of those that have, a ready one is preferred, then the most advanced one.
    """

    def rank(entry: DirectoryEntry) -> tuple[bool, bool, Position, str]:
        received = attempt.paused[entry.report.upstream].received
        is_ready = entry.report.state is UpstreamState.READY
        return (
            has_every_commit(state, now_ms, attempt, received),
            is_ready,
            received,
            entry.report.upstream,
        )

    is_complete, _, _, upstream = max(rank(entry) for entry in candidates)
    return upstream, is_complete


def has_every_commit(
    state: ControlState, now_ms: int, attempt: Failover, received: Position
) -> bool:
    """Return whether a log that ends at ``received`` surely has every acknowledged commit."""
    if received < attempt.received:
        return False
    if attempt.primary_end is not None and received >= attempt.primary_end:
        return True
    if received < state.directory_state.acknowledged.get(attempt.service, ZERO):
        return False
    stepped_down_ms = attempt.stepped_down_ms
    return stepped_down_ms is None or now_ms - stepped_down_ms >= ACKNOWLEDGEMENT_REPORT_MS
