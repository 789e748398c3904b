"""Log events of failovers, with everything that control knew at each decision."""

from ..commands import AnsweredUpstream
from ..directory import DirectoryEntry, UpstreamState
from ..positions import Position, format_position
from . import answered_upstreams, commit_coverage, missing_copies, probes
from .effects import LogEvent
from .service_state import Failover
from .state import ControlState


def failover_event(
    state: ControlState, now_ms: int, attempt: Failover, level: str, name: str
) -> LogEvent:
    """Return the log event of a decision of a failover."""
    received = {name: format_position(replica.received) for name, replica in attempt.paused.items()}
    text = (
        f"{attempt.service}: {attempt.reason}; stage {attempt.stage.value}, token {attempt.token}, "
        f"from {attempt.previous or 'unknown'} to {attempt.target or 'undecided'}, received "
        f"{received}, {now_ms - attempt.started_ms} ms after its start"
    )
    return LogEvent(level, name, text, _inputs(state, now_ms, attempt))


def upstream_wait_ended(
    state: ControlState, now_ms: int, attempt: Failover, ended_by: str
) -> LogEvent:
    """Return the log event of the end of a wait for upstreams that had not reported."""
    text = f"{attempt.service}: {ended_by} ended the wait for upstreams that had not reported"
    inputs = _inputs(state, now_ms, attempt)
    inputs["ended_by"] = ended_by
    return LogEvent("info", "upstream_wait_ended", text, inputs)


def promotion_risks(state: ControlState, now_ms: int, attempt: Failover) -> list[LogEvent]:
    """Return a log event for each reason why a promotion that is ordered now may lose commits.

    Each is counted by its name. The events are for the log; they change nothing in the order.
    """
    if attempt.keeps_primary:
        return []
    acknowledged = state.directory_state.acknowledged.get(attempt.service)
    position = _target_position(attempt)
    events: list[LogEvent] = []
    if acknowledged is not None and (position is None or position < acknowledged):
        text = (
            f"{attempt.target} of {attempt.service} is ordered at {format_position(position)}, "
            f"below the acknowledged position {format_position(acknowledged)}"
        )
        inputs = _describe_promotion(state, now_ms, attempt)
        events.append(LogEvent("warning", "promotion_below_acknowledged", text, inputs))
    unheard = _unheard_replicas(state, now_ms, attempt)
    if unheard:
        text = (
            f"{attempt.target} of {attempt.service} is ordered without the positions of "
            f"{', '.join(sorted(unheard))}, which have answered before"
        )
        inputs = {**_describe_promotion(state, now_ms, attempt), "unheard": unheard}
        events.append(LogEvent("warning", "promotion_with_unheard", text, inputs))
    return events


def replica_paused(
    state: ControlState, now_ms: int, attempt: Failover, entry: DirectoryEntry
) -> LogEvent:
    """Return the log event of a replica's confirmation that it receives nothing any more."""
    inputs: dict[str, object] = {
        "service": attempt.service,
        "token": attempt.token,
        "stage": attempt.stage.value,
        "target": attempt.target,
        "upstream": _describe_upstream(now_ms, attempt, entry),
    }
    text = f"{entry.report.upstream} of {attempt.service} has received all that it will"
    return LogEvent("info", "replica_paused", text, inputs)


def replica_leads(now_ms: int, attempt: Failover, entry: DirectoryEntry) -> LogEvent:
    """Return the log event of an upstream that answered a pause as a primary."""
    inputs: dict[str, object] = {
        "service": attempt.service,
        "token": attempt.token,
        "stage": attempt.stage.value,
        "upstream": _describe_upstream(now_ms, attempt, entry),
    }
    text = f"{entry.report.upstream} of {attempt.service} still leads; it is told to step down"
    return LogEvent("warning", "replica_leads", text, inputs)


def _inputs(state: ControlState, now_ms: int, attempt: Failover) -> dict[str, object]:
    """Return what was known of the service, with the age of each part."""
    watermark = state.watch.watermarks.get(attempt.service)
    leader_state = state.leader_state
    known = state.directory_state.directory.entries
    inputs: dict[str, object] = {
        "service": attempt.service,
        "token": attempt.token,
        "stage": attempt.stage.value,
        "previous": attempt.previous,
        "target": attempt.target,
        "keeps_primary": attempt.keeps_primary,
        "is_takeover": attempt.is_takeover,
        "running_ms": now_ms - attempt.started_ms,
        "led_ms": now_ms - leader_state.since_ms if leader_state is not None else None,
        "newest_term": state.watch.terms.get(attempt.service, 0),
        "primary": watermark.upstream if watermark is not None else "",
        "primary_position": format_position(watermark.position if watermark else None),
        **_describe_acknowledged(state, now_ms, attempt),
        "primary_end": format_position(attempt.primary_end),
        "received": format_position(attempt.received),
        "primary_probed_ms_ago": now_ms - watermark.probed_ms if watermark is not None else None,
        **_describe_target(state, now_ms, attempt),
        "gateways": len(state.directory_state.gateway_contact_ms),
        "other_processes": len(probes.live_peers(state, now_ms)),
        "upstreams": {
            name: {
                **_describe_upstream(now_ms, attempt, entry),
                **_describe_choice(state, attempt, entry),
            }
            for name, entry in known.items()
            if entry.report.service == attempt.service
        },
    }
    # After a restart, upstreams on record that may have commits have not reported yet.
    inputs["unreported"] = {
        upstream.upstream: _describe_unreported(state, attempt, upstream)
        for upstream in attempt.unreported
    }
    if attempt.unreported_until_ms is not None:
        inputs["unreported_left_ms"] = attempt.unreported_until_ms - now_ms
    # A replica that departed after its pause may have held commits that no other one received.
    inputs["departed"] = {
        name: format_position(replica.received)
        for name, replica in attempt.paused.items()
        if name not in known or known[name].report.state is UpstreamState.GONE
    }
    return inputs


def _describe_upstream(now_ms: int, attempt: Failover, entry: DirectoryEntry) -> dict[str, object]:
    report = entry.report
    description: dict[str, object] = {
        "state": report.state.value,
        "is_primary": report.is_primary,
        "address": report.address,
        "born_ms": report.born_ms,
        "sequence": report.sequence,
        "reported_ms_ago": now_ms - entry.last_contact_ms,
    }
    paused = attempt.paused.get(report.upstream)
    if paused is not None:
        description["received"] = format_position(paused.received)
        description["received_ms_ago"] = now_ms - paused.confirmed_ms
        # Its log may be another one since it started again.
        description["restarted_since"] = paused.born_ms != report.born_ms
    return description


def _describe_acknowledged(
    state: ControlState, now_ms: int, attempt: Failover
) -> dict[str, object]:
    """Return the acknowledged position, and who told of it how long ago."""
    directory_state = state.directory_state
    source = directory_state.acknowledged_from.get(attempt.service)
    description: dict[str, object] = {
        "acknowledged": format_position(directory_state.acknowledged.get(attempt.service)),
    }
    if source is not None:
        description["acknowledged_from"] = source.address
        description["acknowledged_from_role"] = "gateway" if source.is_gateway else "control"
        description["acknowledged_ms_ago"] = now_ms - source.received_ms
    return description


def _describe_target(state: ControlState, now_ms: int, attempt: Failover) -> dict[str, object]:
    """Return the target's position, whether it is complete, and the waits before it was chosen."""
    position = _target_position(attempt)
    is_complete = None
    if position is not None:
        is_complete = commit_coverage.has_every_commit(state, now_ms, attempt, position)
    pausing_since_ms, incomplete_since_ms = attempt.pausing_since_ms, attempt.incomplete_since_ms
    return {
        "target_position": format_position(position),
        "target_is_complete": is_complete,
        "pausing_ms": now_ms - pausing_since_ms if pausing_since_ms is not None else None,
        "incomplete_ms": now_ms - incomplete_since_ms if incomplete_since_ms is not None else None,
    }


def _describe_choice(
    state: ControlState, attempt: Failover, entry: DirectoryEntry
) -> dict[str, object]:
    """Return what an upstream was to the choice of a target."""
    return {
        "slots": entry.report.slots,
        "is_apart": entry.is_apart,
        "is_connected": probes.is_connected(state, entry),
        "answered_before": answered_upstreams.has_answered(state, entry),
        "passed_over": _passed_over(attempt, entry),
    }


def _passed_over(attempt: Failover, entry: DirectoryEntry) -> str:
    """Return why an upstream isn't the target; an empty text for the target, or without one."""
    report = entry.report
    if not attempt.target or report.upstream == attempt.target:
        return ""
    if report.state is UpstreamState.GONE:
        return "departed"
    if entry.is_apart:
        return "kept_apart"
    if attempt.keeps_primary:
        return "primary_kept"
    if report.upstream == attempt.previous:
        return "former_primary"
    paused = attempt.paused.get(report.upstream)
    if paused is None:
        return "no_answer"
    if paused.born_ms != report.born_ms:
        return "connection_lost" if paused.born_ms is None else "restarted"
    position = _target_position(attempt)
    if position is None or paused.received < position:
        return "behind"
    if report.upstream in attempt.slow_targets:
        return "slow"
    if report.state is not UpstreamState.READY:
        return "not_ready"
    return "equal" if paused.received == position else "ahead"


def _target_position(attempt: Failover) -> Position | None:
    """Return the end of the target's log as it was read, None if it isn't known."""
    paused = attempt.paused.get(attempt.target)
    if paused is not None:
        return paused.received
    return attempt.primary_end if attempt.target == attempt.previous else None


def _describe_unreported(
    state: ControlState, attempt: Failover, upstream: AnsweredUpstream
) -> dict[str, object]:
    """Return what is on record of an upstream, and whether a report of another service hides it."""
    entry = state.directory_state.directory.entries.get(upstream.upstream)
    service = entry.report.service if entry is not None else attempt.service
    return {
        "address": upstream.address,
        "born_ms": upstream.born_ms,
        "is_leaving": upstream.is_leaving,
        "hidden_by_service": service if service != attempt.service else "",
    }


def _unheard_replicas(
    state: ControlState, now_ms: int, attempt: Failover
) -> dict[str, dict[str, object]]:
    """Return the replicas that have answered control before, and whose positions aren't known."""
    copies = missing_copies.find(state, attempt)
    unheard: dict[str, dict[str, object]] = {}
    for upstream in copies.unreported:
        description = _describe_unreported(state, attempt, upstream)
        unheard[upstream.upstream] = {"reason": "unreported", **description}
    for name in copies.unreachable:
        entry = state.directory_state.directory.entries[name]
        unheard[name] = {"reason": "unreachable", **_describe_upstream(now_ms, attempt, entry)}
    unheard.pop(attempt.previous, None)
    return unheard


def _describe_promotion(state: ControlState, now_ms: int, attempt: Failover) -> dict[str, object]:
    return {
        "service": attempt.service,
        "token": attempt.token,
        "previous": attempt.previous,
        "target": attempt.target,
        **_describe_target(state, now_ms, attempt),
        **_describe_acknowledged(state, now_ms, attempt),
    }
