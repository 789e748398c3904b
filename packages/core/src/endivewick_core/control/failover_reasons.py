"""Why the primary of a service is replaced, decided from what control knows of it."""

from ..directory import DirectoryEntry, UpstreamState
from . import commit_coverage, directory, primary_leases, probes, replica_pauses
from .state import ControlState

# The primary has failed when a majority of control finds its responses overdue for this long.
FAILURE_DETECTION_MS = 600
KEPT_PRIMARY_RETRY_MS = 8_000  # before a primary that was kept is replaced as planned again
# Write failures are ignored for this long after a failover, so that the writes that waited for it
# can complete first.
WRITE_FAILURE_GRACE_MS = 8_000


def last_primary(state: ControlState, service: str) -> str:
    """Return the upstream that was last confirmed as primary, else the one that reports to be."""
    watermark = state.watch.watermarks.get(service)
    if watermark is not None:
        return watermark.upstream
    for entry in probes.upstreams_of(state, service):
        if entry.report.is_primary:
            return entry.report.upstream
    return ""


def find_reason(state: ControlState, now_ms: int, service: str, previous: str) -> tuple[str, bool]:
    """Return the reason for a failover, or an empty text, and whether the primary may be kept."""
    record = state.replicated_state.failovers.get(service)
    if record is not None and record.is_open:
        # Without fencing, a late order of the earlier leader may still replace the primary.
        may_keep_primary = not primary_leases.prove_leadership(state)
        return "an earlier leader left a failover open", may_keep_primary
    entry = state.directory_state.directory.entries.get(previous)
    if (
        entry is None
        or service not in state.watch.watermarks
        or not primary_leases.is_last_target(state, service, previous)
    ):
        return _missing_primary_reason(state, now_ms, service)
    if not _is_ready(entry):
        if now_ms - state.failover.kept_ms.get(service, 0) < KEPT_PRIMARY_RETRY_MS:
            return "", False
        others = [
            item
            for item in replica_pauses.replicas(state, service, previous)
            if _is_ready(item) and probes.is_connected(state, item)
        ]
        return ("the primary is shutting down", False) if others else ("", False)
    failing_ms = probes.failing_ms(state, now_ms, service)
    if failing_ms >= FAILURE_DETECTION_MS and probes.majority_finds_failing(
        state, now_ms, service, previous
    ):
        return f"the primary has not answered for {failing_ms} ms", True
    ended_ms = state.failover.ended_ms.get(service, 0)
    if now_ms - ended_ms < WRITE_FAILURE_GRACE_MS:
        return "", False
    replicas = replica_pauses.replicas(state, service, previous)
    if not any(probes.is_connected(state, item) for item in replicas):
        return "", False
    if _most_gateways_fail(state, now_ms, service):
        return "most gateways get no responses to writes", False
    return "", False


def _missing_primary_reason(state: ControlState, now_ms: int, service: str) -> tuple[str, bool]:
    """Return the reason for a failover of a service whose primary isn't known.

    It may have been lost while control restarted. A primary that is there answers a probe, and the
    other upstreams report, before the leases of an earlier leader have ended.
    """
    wait_ms = 0
    if service not in state.directory_state.acknowledged:
        # No gateway tells which replica has every commit: the one that has may not have reported.
        wait_ms = commit_coverage.UNREPORTED_REPLICA_MS
    if not primary_leases.have_earlier_ended(state, now_ms - wait_ms):
        return "", False
    if not probes.majority_knows_no_primary(state, now_ms, service):
        return "", False
    return "no upstream is known to be the primary", True


def _most_gateways_fail(state: ControlState, now_ms: int, service: str) -> bool:
    """Return whether a majority of gateways, and at least two, get no responses to writes.

    This detects a primary that answers control but is cut off from its replicas or from most
    gateways.
    """
    failing = probes.gateways_failing(state, service)
    for peer in probes.live_peers(state, now_ms):
        failing += sum(item.gateways_failing for item in peer.primaries if item.service == service)
    return failing >= 2 and failing * 2 > directory.count_gateways(state, now_ms)


def _is_ready(entry: DirectoryEntry) -> bool:
    return entry.report.state is UpstreamState.READY
