"""Which upstreams have ever answered control; the record outlives restarts of control.

Anyone may report an upstream, also at an address where nothing runs. A failover waits long for an
upstream that has answered before, since it may hold the only copy of a commit, and only shortly for
one that never did. After a restart of all processes the directory doesn't tell the two apart, and
lacks those that have not reported yet; see ``missing_copies``.
"""

from ..commands import AnsweredUpstream, RecordAnswered
from ..directory import (
    INFERRED_SEQUENCE,
    RETENTION_MS,
    DirectoryEntry,
    UpstreamReport,
    UpstreamState,
    upstreams_at,
)
from . import probes, replication
from .effects import Effect
from .state import ControlState

RECORD_INTERVAL_MS = 1_000  # all changes of this time are one entry of the log


def has_answered(state: ControlState, entry: DirectoryEntry) -> bool:
    """Return whether an upstream has ever accepted a connection of a control process."""
    report = entry.report
    if report.upstream in state.watch.answered:
        return True
    return report.upstream in state.replicated_state.answered.get(report.service, ())


def recorded(state: ControlState, service: str) -> list[AnsweredUpstream]:
    """Return the upstreams of a service that are on record."""
    described = state.replicated_state.answered_upstreams
    names = state.replicated_state.answered.get(service, ())
    return [described.get(name, AnsweredUpstream(name)) for name in names]


def is_unreported(state: ControlState, service: str, upstream: AnsweredUpstream) -> bool:
    """Return whether an upstream on record may still run, though nothing is known of it.

    Its log is known where an upstream that has started at its address since then answers.
    """
    entry = state.directory_state.directory.entries.get(upstream.upstream)
    if entry is not None and not entry.is_apart and entry.report.service == service:
        departed = entry.report.state is UpstreamState.GONE
        if not departed or entry.report.sequence != INFERRED_SEQUENCE:
            return False
    return not has_successor(state, service, upstream)


def has_successor(state: ControlState, service: str, upstream: AnsweredUpstream) -> bool:
    """Return whether an upstream that has started later at the same address answers."""
    for entry in upstreams_at(state.directory_state.directory, upstream.address):
        report = entry.report
        if report.upstream == upstream.upstream or report.service != service or entry.is_apart:
            continue
        if report.state is UpstreamState.GONE or report.born_ms <= upstream.born_ms:
            continue
        if report.upstream in state.watch.answered:
            return True
    return False


def check_record(state: ControlState, now_ms: int) -> list[Effect]:
    """As leader, record the upstreams that have answered, and drop those that have departed."""
    leader_state = state.leader_state
    if leader_state is None or state.commit_index < leader_state.start_index:
        return []
    if now_ms < leader_state.answered_due_ms:
        return []
    leader_state.answered_due_ms = now_ms + RECORD_INTERVAL_MS
    running = _running_by_service(state)
    changes: dict[str, list[str]] = {}
    described: list[AnsweredUpstream] = []
    for service in state.replicated_state.configuration.services:
        upstreams = running.get(service, {}) | _kept(state, now_ms, service)
        names = sorted(upstreams)
        current = [upstreams[name] for name in names]
        if current == recorded(state, service):
            continue
        changes[service] = names
        described += current
    if not changes:
        return []
    return replication.propose_now(state, now_ms, RecordAnswered(changes, described))


def _running_by_service(state: ControlState) -> dict[str, dict[str, AnsweredUpstream]]:
    """Return the upstreams that have answered and have not departed, by service and name."""
    running: dict[str, dict[str, AnsweredUpstream]] = {}
    for entry in state.directory_state.directory.entries.values():
        if entry.is_apart or entry.report.state is UpstreamState.GONE:
            continue
        if has_answered(state, entry):
            upstream = _describe(entry.report)
            running.setdefault(entry.report.service, {})[upstream.upstream] = upstream
    return running


def _describe(report: UpstreamReport) -> AnsweredUpstream:
    is_leaving = report.state is UpstreamState.LEAVING
    return AnsweredUpstream(report.upstream, report.address, report.born_ms, is_leaving)


def _kept(state: ControlState, now_ms: int, service: str) -> dict[str, AnsweredUpstream]:
    """Return the entries of the record that stay as they are, by name.

    Without a primary that serves, all do: a failover, also one after another restart, needs to know
    which upstreams had commits, and under which start. Otherwise these are the upstreams that have
    not reported since the leader's election; after RETENTION_MS they have departed.
    """
    assert state.leader_state is not None
    known = recorded(state, service)
    if not _has_primary(state, now_ms, service):
        return {upstream.upstream: upstream for upstream in known}
    knows_all = now_ms - state.leader_state.since_ms > RETENTION_MS
    entries = state.directory_state.directory.entries
    kept: dict[str, AnsweredUpstream] = {}
    for upstream in known:
        if knows_all and upstream.upstream not in entries:
            continue
        if is_unreported(state, service, upstream):
            kept[upstream.upstream] = upstream
    return kept


def _has_primary(state: ControlState, now_ms: int, service: str) -> bool:
    """Return whether a primary answers this leader, which is not being replaced."""
    if service not in state.watch.watermarks or service in state.failover.running:
        return False
    return not probes.failing_ms(state, now_ms, service)
