"""The upstreams whose logs a failover can't read, among those on record.

A commit is acknowledged once a replica has received it, so each acknowledged commit is in the logs
of two upstreams at least. As long as the log of only one upstream can't be read, the others have
every acknowledged commit together. Where two can't, the only copies of a commit may be theirs.

The directory alone doesn't tell: it is empty after a restart, and holds those that have reported.
"""

from typing import NamedTuple

from ..commands import AnsweredUpstream
from ..directory import UpstreamState
from . import answered_upstreams, replica_pauses
from .service_state import Failover
from .state import ControlState

COPIES = 2  # the logs that an acknowledged commit is in, at least


class MissingCopies(NamedTuple):
    """The upstreams of a service whose logs can't be read.

    ``unreported`` are on record and have not reported, ``unreachable`` have reported and don't
    answer, and ``lost`` have departed or started again without their logs since they were recorded.
    """

    unreported: list[AnsweredUpstream]
    unreachable: list[str]
    lost: list[str]

    @property
    def may_hold_commits(self) -> bool:
        """Whether the only copies of an acknowledged commit may be among these logs."""
        return len(self.unreported) + len(self.unreachable) + len(self.lost) >= COPIES


def find(state: ControlState, attempt: Failover) -> MissingCopies:
    """Return the upstreams whose logs a failover can't read."""
    unreported, lost = [], []
    for upstream in answered_upstreams.recorded(state, attempt.service):
        if answered_upstreams.is_unreported(state, attempt.service, upstream):
            unreported.append(upstream)
            continue
        if _has_lost_log(state, attempt.service, upstream):
            lost.append(upstream.upstream)
    unreachable = []
    for entry in replica_pauses.unpaused_replicas(state, attempt):
        if answered_upstreams.has_answered(state, entry):
            unreachable.append(entry.report.upstream)
    if _is_primary_unreachable(state, attempt):
        unreachable.append(attempt.previous)
    return MissingCopies(unreported, [name for name in unreachable if name not in lost], lost)


def _has_lost_log(state: ControlState, service: str, upstream: AnsweredUpstream) -> bool:
    """Return whether an upstream that has reported no longer has the log that it had on record.

    One that starts again under its name has none, and one that departs takes it along, unless
    another one starts at its address.
    """
    entry = state.directory_state.directory.entries.get(upstream.upstream)
    if entry is None or answered_upstreams.has_successor(state, service, upstream):
        return False
    if entry.report.state is UpstreamState.GONE:
        return True
    return bool(upstream.born_ms) and entry.report.born_ms != upstream.born_ms


def _is_primary_unreachable(state: ControlState, attempt: Failover) -> bool:
    """Return whether the former primary has reported, and the end of its log isn't known."""
    entry = state.directory_state.directory.entries.get(attempt.previous)
    if entry is None or entry.is_apart or entry.report.state is UpstreamState.GONE:
        return False
    return attempt.primary_end is None
