"""Log events of failovers, with everything that control knew at each decision."""

from ..directory import DirectoryEntry, UpstreamState
from ..positions import format_position
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
        "acknowledged": format_position(state.directory_state.acknowledged.get(attempt.service)),
        "primary_end": format_position(attempt.primary_end),
        "received": format_position(attempt.received),
        "primary_probed_ms_ago": now_ms - watermark.probed_ms if watermark is not None else None,
        "upstreams": {
            name: _describe_upstream(now_ms, attempt, entry)
            for name, entry in known.items()
            if entry.report.service == attempt.service
        },
    }
    # After a restart, upstreams on record that may have commits have not reported yet.
    inputs["unreported"] = {
        upstream.upstream: {
            "address": upstream.address,
            "born_ms": upstream.born_ms,
            "is_leaving": upstream.is_leaving,
        }
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
