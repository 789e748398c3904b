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
from . import departures, directory, missing_copies
from .missing_copies import MissingCopies
from .service_state import Failover
from .state import ControlState

# For every gateway to report the commits that it acknowledged before the primary stepped down.
ACKNOWLEDGEMENT_REPORT_MS = 500
# For a new replica to report, where its first report gets no response and is repeated elsewhere.
UNREPORTED_REPLICA_MS = 2_200
UNREACHABLE_REPLICA_MS = 5_000  # for a replica's position, if another one has every commit
# For gateways that are silent and may have acknowledged more; longer than most partitions last, and
# than it takes afterwards to connect to an upstream again.
SILENT_GATEWAYS_MS = 10_000
# For an upstream that has the missing commits to return, before they are given up.
MISSING_COMMITS_TIMEOUT_MS = 30_000
# The same, if they may all be unacknowledged; longer than most partitions and restarts.
UNCERTAIN_COMMITS_TIMEOUT_MS = 10_000


def choose_target(
    state: ControlState, now_ms: int, attempt: Failover, candidates: list[DirectoryEntry]
) -> tuple[str, bool]:
    """Return the candidate to promote, and whether it has every acknowledged commit.

    Of those that have, one that was not ordered in vain is preferred, then a ready one, then the
    most advanced one.
    """

    def rank(entry: DirectoryEntry) -> tuple[bool, bool, bool, Position, str]:
        upstream = entry.report.upstream
        received = attempt.paused[upstream].received
        return (
            has_every_commit(state, now_ms, attempt, received),
            upstream not in attempt.slow_targets,
            entry.report.state is UpstreamState.READY,
            received,
            upstream,
        )

    is_complete, _, _, _, upstream = max(rank(entry) for entry in candidates)
    return upstream, is_complete


def has_every_commit(
    state: ControlState, now_ms: int, attempt: Failover, received: Position
) -> bool:
    """Return whether a log that ends at ``received`` surely has every acknowledged commit."""
    if received < attempt.received or received < _acknowledged(state, attempt):
        return False
    if attempt.primary_end is not None:
        if received >= attempt.primary_end:
            return True
        if attempt.service not in state.directory_state.acknowledged:
            return False  # any commit of the former primary may have been acknowledged
    stepped_down_ms = attempt.stepped_down_ms
    return stepped_down_ms is None or now_ms - stepped_down_ms >= ACKNOWLEDGEMENT_REPORT_MS


def is_wait_over(state: ControlState, now_ms: int, attempt: Failover, received: Position) -> bool:
    """Return whether the wait for commits that a log lacks has lasted long enough."""
    if attempt.incomplete_since_ms is None:
        return False
    waited_ms = now_ms - attempt.incomplete_since_ms
    if waited_ms >= MISSING_COMMITS_TIMEOUT_MS:
        return True
    return waited_ms >= UNCERTAIN_COMMITS_TIMEOUT_MS and _may_be_unacknowledged(
        state, attempt, received
    )


def unreachable_wait_ms(state: ControlState, attempt: Failover) -> int:
    """Return how long replicas that are out of reach are waited for."""
    if attempt.service in state.directory_state.acknowledged:
        return UNREACHABLE_REPLICA_MS
    return MISSING_COMMITS_TIMEOUT_MS


def silent_gateways_wait_ms(state: ControlState, now_ms: int, attempt: Failover) -> int:
    """Return how long to wait for gateways that don't tell which commits they acknowledged, or 0.

    Gateways on the other side of a partition go on until their leases end. The primary is there as
    well, and so is the replica that had these commits, or it has departed.
    """
    watermark = state.watch.watermarks.get(attempt.service)
    if watermark is None or directory.count_gateways(state, now_ms) >= watermark.gateways:
        return 0
    copies = missing_copies.find(state, attempt)
    if copies.may_hold_commits:
        return SILENT_GATEWAYS_MS
    # The record doesn't tell of a replica that departed just before the primary was out of reach.
    has_second_copy = attempt.previous in copies.unreachable and _has_departed_beyond(
        state, attempt
    )
    return SILENT_GATEWAYS_MS if has_second_copy else 0


def _has_departed_beyond(state: ControlState, attempt: Failover) -> bool:
    """Return whether a departed upstream may have had commits that no replica was seen to have."""
    for entry in state.directory_state.directory.entries.values():
        report = entry.report
        if report.service != attempt.service or report.state is not UpstreamState.GONE:
            continue
        if report.upstream == attempt.previous:
            continue
        if departures.may_exceed(state, entry, attempt.received):
            return True
    return False


def unreported_wait_ms(state: ControlState, attempt: Failover, copies: MissingCopies) -> int:
    """Return how long upstreams on record that have not reported are waited for, or 0.

    The wait is short where gateways tell which commits they acknowledged, and ends before the
    longest one where the missing copies may be gone for good.
    """
    if not copies.unreported or not copies.may_hold_commits:
        return 0
    if attempt.service in state.directory_state.acknowledged:
        return UNREACHABLE_REPLICA_MS
    staying = [upstream for upstream in copies.unreported if not upstream.is_leaving]
    if len(staying) + len(copies.unreachable) < missing_copies.COPIES:
        return UNCERTAIN_COMMITS_TIMEOUT_MS
    return MISSING_COMMITS_TIMEOUT_MS


def _may_be_unacknowledged(state: ControlState, attempt: Failover, received: Position) -> bool:
    """Return whether the missing commits were still waiting for a replica, so that no one has them.

    They are no more than the primary has slots, and every upstream that may have had a copy has
    answered: none has restarted or stayed out of reach, or departed since they were made. After a
    restart the former primary may be the one on record that has not reported.
    """
    if received < attempt.received:
        return False
    copies = missing_copies.find(state, attempt)
    if copies.unreported and copies.may_hold_commits:
        return False
    slots = 0
    for entry in state.directory_state.directory.entries.values():
        report = entry.report
        if report.service != attempt.service:
            continue
        slots = max(slots, report.slots)
        if report.upstream == attempt.previous:
            continue
        if report.state is UpstreamState.GONE:
            if departures.may_exceed(state, entry, received):
                return False
            continue
        paused = attempt.paused.get(report.upstream)
        if paused is None:
            return False
        if paused.born_ms != report.born_ms:
            return False
    return 0 <= _acknowledged(state, attempt).offset - received.offset <= slots


def _acknowledged(state: ControlState, attempt: Failover) -> Position:
    return state.directory_state.acknowledged.get(attempt.service, ZERO)
