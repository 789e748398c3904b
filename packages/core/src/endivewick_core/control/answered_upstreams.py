"""Which upstreams have ever answered control; the record outlives restarts of control.

Anyone may report an upstream, also at an address where nothing runs. A failover waits long for an
upstream that has answered before, since it may hold the only copy of a commit, and only shortly for
one that never did. After a restart of all processes the directory doesn't tell the two apart.
"""

from ..commands import RecordAnswered
from ..directory import RETENTION_MS, DirectoryEntry, UpstreamState
from . import replication
from .effects import Effect
from .state import ControlState

RECORD_INTERVAL_MS = 1_000  # all changes of this time are one entry of the log


def has_answered(state: ControlState, entry: DirectoryEntry) -> bool:
    """Return whether an upstream has ever accepted a connection of a control process."""
    report = entry.report
    if report.upstream in state.watch.answered:
        return True
    return report.upstream in state.replicated_state.answered.get(report.service, ())


def check_record(state: ControlState, now_ms: int) -> list[Effect]:
    """As leader, record the upstreams that have answered, and drop those that have departed."""
    leader_state = state.leader_state
    if leader_state is None or state.commit_index < leader_state.start_index:
        return []
    if now_ms < leader_state.answered_due_ms:
        return []
    leader_state.answered_due_ms = now_ms + RECORD_INTERVAL_MS
    # Until every upstream may have reported, one that hasn't may be running all the same.
    knows_all = now_ms - leader_state.since_ms > RETENTION_MS
    changes: dict[str, list[str]] = {}
    for service, recorded, answered in _by_service(state, knows_all):
        if sorted(answered) != recorded:
            changes[service] = sorted(answered)
    if not changes:
        return []
    return replication.propose_now(state, now_ms, RecordAnswered(changes))


def _by_service(state: ControlState, knows_all: bool) -> list[tuple[str, list[str], set[str]]]:
    """Return each service with the upstreams that are recorded and those that should be."""
    entries = state.directory_state.directory.entries
    running: dict[str, set[str]] = {}
    for entry in entries.values():
        if entry.report.state is not UpstreamState.GONE and has_answered(state, entry):
            running.setdefault(entry.report.service, set()).add(entry.report.upstream)
    rows = []
    for service in state.replicated_state.configuration.services:
        recorded = state.replicated_state.answered.get(service, [])
        unheard = {name for name in recorded if name not in entries and not knows_all}
        rows.append((service, recorded, running.get(service, set()) | unheard))
    return rows
