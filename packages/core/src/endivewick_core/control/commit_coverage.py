"""Whether an upstream has every commit that may have been acknowledged.

A commit is acknowledged once any replica has received it. That replica may have departed since, or
may not have reported yet. Three positions tell what a promoted upstream needs:

- what any replica was seen to have received;
- the end of the former primary's log when it became a replica, which no acknowledged commit
  exceeds;
- where gateways acknowledged commits. It may exceed the last acknowledged commit, since an
  upstream's answer shows the end of its log, with commits that still wait for a replica.
"""

from enum import StrEnum

from ..directory import DirectoryEntry, UpstreamState
from ..positions import ZERO, Position
from .service_state import Failover
from .state import ControlState

# For every gateway to report the commits that it acknowledged before the primary stepped down.
ACKNOWLEDGEMENT_REPORT_MS = 500


class Coverage(StrEnum):
    """Whether an upstream has every acknowledged commit.

    ``UNCERTAIN`` means that the commits that it lacks may all be unacknowledged.
    """

    INCOMPLETE = "incomplete"
    UNCERTAIN = "uncertain"
    COMPLETE = "complete"


_RANKS = {Coverage.INCOMPLETE: 0, Coverage.UNCERTAIN: 1, Coverage.COMPLETE: 2}


def choose_target(
    state: ControlState, now_ms: int, attempt: Failover, candidates: list[DirectoryEntry]
) -> tuple[str, Coverage]:
    """Return the candidate to promote, and whether it has every acknowledged commit.

    Of those that have, a ready one is preferred, then the most advanced one.
    """

    def rank(entry: DirectoryEntry) -> tuple[int, bool, Position, str]:
        received = attempt.paused[entry.report.upstream].received
        covered = coverage(state, now_ms, attempt, received)
        is_ready = entry.report.state is UpstreamState.READY
        return _RANKS[covered], is_ready, received, entry.report.upstream

    upstream = max(candidates, key=rank).report.upstream
    return upstream, coverage(state, now_ms, attempt, attempt.paused[upstream].received)


def coverage(state: ControlState, now_ms: int, attempt: Failover, received: Position) -> Coverage:
    """Return whether a log that ends at ``received`` has every acknowledged commit."""
    if received < attempt.received:
        return Coverage.INCOMPLETE
    if attempt.primary_end is not None and received >= attempt.primary_end:
        return Coverage.COMPLETE
    acknowledged = state.directory_state.acknowledged.get(attempt.service, ZERO)
    if received < acknowledged:
        lacks_few = acknowledged.offset - received.offset <= _slots(state, attempt)
        return Coverage.UNCERTAIN if lacks_few else Coverage.INCOMPLETE
    stepped_down_ms = attempt.stepped_down_ms
    if stepped_down_ms is not None and now_ms - stepped_down_ms < ACKNOWLEDGEMENT_REPORT_MS:
        return Coverage.UNCERTAIN
    return Coverage.COMPLETE


def _slots(state: ControlState, attempt: Failover) -> int:
    """Return how many commits of the former primary could wait for a replica at the same time."""
    entries = state.directory_state.directory.entries.values()
    same_service = [entry for entry in entries if entry.report.service == attempt.service]
    return max((entry.report.slots for entry in same_service), default=0)
