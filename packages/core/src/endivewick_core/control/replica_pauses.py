"""The pauses of replicas during a failover.

A paused replica receives nothing, so its position stands still while a target is chosen.
"""

from ..directory import DirectoryEntry, UpstreamState
from ..statements import RESUME, StatementKind, UpstreamReply
from . import failover_log, probes
from .effects import Effect
from .service_state import Failover, PausedReplica, ProbeKind, Stage
from .state import ControlState

# While a failover is in one of these stages, every replica is kept paused.
PAUSED_STAGES = (Stage.PAUSING, Stage.ORDERED, Stage.PROMOTING)


def handle_paused(
    state: ControlState, now_ms: int, upstream: str, reply: UpstreamReply
) -> list[Effect]:
    """Record the received position of a paused replica.

    A pause has no effect unless its term is above the replica's; it is then repeated.
    """
    if reply.error is not None or reply.status is None:
        return []
    entry = state.directory_state.directory.entries.get(upstream)
    if entry is None:
        return []
    attempt = state.failover.running.get(entry.report.service)
    if attempt is None or attempt.stage not in PAUSED_STAGES:
        return []
    if reply.status.is_primary:
        return _handle_leading(state, now_ms, attempt, entry)
    if reply.status.paused_term <= reply.status.term:
        return []
    attempt.paused[upstream] = PausedReplica(entry.report.born_ms, reply.status.received, now_ms)
    attempt.received = max(attempt.received, reply.status.received)
    return [failover_log.replica_paused(state, now_ms, attempt, entry)]


def _handle_leading(
    state: ControlState, now_ms: int, attempt: Failover, entry: DirectoryEntry
) -> list[Effect]:
    """Have an upstream step down that leads although another one was promoted after it.

    Former primaries do where the platform doesn't fence them. Their logs lack later commits.
    """
    upstream = entry.report.upstream
    if state.settings.fences_primaries or upstream == attempt.target:
        return []
    attempt.leading[upstream] = entry.report.born_ms
    return [failover_log.replica_leads(now_ms, attempt, entry)]


def handle_connection_ended(state: ControlState, service: str, upstream: str) -> None:
    """Ask an upstream of a failover again whose connection has ended: it may have restarted."""
    attempt = state.failover.running.get(service)
    if attempt is None:
        return
    if upstream == attempt.previous:
        attempt.stepped_down_born_ms = None
    if upstream in attempt.paused:
        attempt.paused[upstream] = attempt.paused[upstream]._replace(born_ms=None)


def handle_resumed(
    state: ControlState, now_ms: int, upstream: str, reply: UpstreamReply
) -> list[Effect]:
    """Remove a replica that has resumed replication from those to resume."""
    entry = state.directory_state.directory.entries.get(upstream)
    if reply.error is None:
        state.failover.to_resume.pop(upstream, None)
        if entry is not None:
            state.failover.receiving[upstream] = entry.report.born_ms
    return []


def find_paused(state: ControlState) -> None:
    """Have the replicas resumed that an earlier leader may have left paused."""
    for entry in state.directory_state.directory.entries.values():
        service, upstream = entry.report.service, entry.report.upstream
        if state.failover.receiving.get(upstream) == entry.report.born_ms:
            continue
        if entry.report.state is UpstreamState.GONE:
            continue
        record = state.replicated_state.failovers.get(service)
        if record is None or record.is_open or service in state.failover.running:
            continue
        watermark = state.watch.watermarks.get(service)
        if watermark is not None and watermark.upstream != upstream:
            state.failover.to_resume[upstream] = service


def pause(state: ControlState, now_ms: int, attempt: Failover) -> list[Effect]:
    """Pause the replicas that have not confirmed it, also those that registered meanwhile.

    Those that still lead are told to step down first.
    """
    statement = probes.next_term_statement(state, attempt.service, StatementKind.PAUSE)
    step_down = probes.next_term_statement(state, attempt.service, StatementKind.STEP_DOWN)
    effects: list[Effect] = []
    for entry in unpaused_replicas(state, attempt):
        upstream = entry.report.upstream
        if attempt.leading.get(upstream) == entry.report.born_ms:
            effects += probes.send_probe(state, now_ms, entry, step_down, ProbeKind.STEP_DOWN)
            continue
        state.failover.to_resume[upstream] = attempt.service
        state.failover.receiving.pop(upstream, None)
        effects += probes.send_probe(state, now_ms, entry, statement, ProbeKind.PAUSE)
    return effects


def unpaused_replicas(state: ControlState, attempt: Failover) -> list[DirectoryEntry]:
    """Return the replicas that have not confirmed their pause since they last started."""
    missing = []
    for entry in replicas(state, attempt.service, attempt.previous):
        paused = attempt.paused.get(entry.report.upstream)
        if paused is None or paused.born_ms != entry.report.born_ms:
            missing.append(entry)
    return missing


def resume(state: ControlState, now_ms: int) -> list[Effect]:
    """Resume the replicas whose failover has reached its last stages or has ended."""
    effects: list[Effect] = []
    for upstream, service in list(state.failover.to_resume.items()):
        attempt = state.failover.running.get(service)
        if attempt is not None and attempt.stage not in (Stage.RESUMING, Stage.ENDING):
            continue
        entry = state.directory_state.directory.entries.get(upstream)
        if entry is None or entry.report.state is UpstreamState.GONE:
            del state.failover.to_resume[upstream]
            continue
        effects += probes.send_probe(state, now_ms, entry, RESUME, ProbeKind.RESUME)
    return effects


def replicas(state: ControlState, service: str, primary: str) -> list[DirectoryEntry]:
    """Return the upstreams other than the primary, any of which may hold an acknowledged commit."""
    return [
        entry for entry in probes.upstreams_of(state, service) if entry.report.upstream != primary
    ]
