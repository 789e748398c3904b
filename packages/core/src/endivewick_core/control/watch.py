"""Monitoring of the primaries: each control process probes their position a few times a second.

A probe is a BEGIN, which only a primary accepts, and its ROLLBACK. The response proves that the
upstream was primary when it responded, so its position covers every commit that was acknowledged
before the probe was sent. Failovers are decided from probes without a response.
"""

from ..directory import DirectoryEntry, UpstreamState
from ..positions import format_position
from ..statements import Error, Fault, TransactionState, UpstreamReply
from ..upstream_links import (
    CloseConnection,
    ConnectionBroke,
    ConnectionOpened,
    ConnectionReplied,
)
from . import departures, directory, failover, primary_leases, probes, replica_pauses
from .effects import Effect, LogEvent
from .service_state import PendingProbe, PrimaryWatermark, ProbeKind, WatchedConnection
from .state import ControlState

OPEN_TIMEOUT_MS = 1_500  # a handshake, a round trip and a lost packet
REOPEN_DELAY_MS = 250  # after a connection failed
RESPONSE_TIMEOUT_MS = 2_000  # an open connection whose oldest probe is this old is replaced


def check_primaries(state: ControlState, now_ms: int) -> list[Effect]:
    """Probe each service's possible primaries, and replace connections that have failed."""
    effects = _close_unresponsive(state, now_ms)
    interval_ms = primary_leases.probe_interval_ms(state)
    upstreams = probes.upstreams_by_service(state)
    # After a restart the configuration is known only once there is a leader.
    for service in state.replicated_state.configuration.services or sorted(upstreams):
        entries = upstreams.get(service, [])
        effects += _open_connections(state, now_ms, entries)
        for entry in _possible_primaries(state, service, entries):
            effects += probes.probe_position(state, now_ms, entry, interval_ms)
    return effects


def handle_connection_opened(state: ControlState, event: ConnectionOpened) -> list[Effect]:
    """Mark a connection as open, so that probes can be sent on it."""
    connection = state.watch.connections.get(event.connection)
    if connection is None:
        return [CloseConnection(event.connection)]
    connection.is_open = True
    state.watch.answered.add(connection.upstream)
    return []


def handle_connection_replied(state: ControlState, event: ConnectionReplied) -> list[Effect]:
    """Match an upstream's response to its probe and process it."""
    connection = state.watch.connections.get(event.connection)
    if connection is None:
        return []
    if not connection.pending_probes:
        return _close_failed(state, event.now_ms, connection, "response without a pending probe")
    pending = connection.pending_probes.popleft()
    _record_term(state, connection.service, event.reply)
    if pending.kind is ProbeKind.POSITION:
        return _accept_position(state, event.now_ms, connection, pending, event.reply)
    if pending.kind is ProbeKind.PAUSE:
        return replica_pauses.handle_paused(state, event.now_ms, connection.upstream, event.reply)
    if pending.kind is ProbeKind.RESUME:
        return replica_pauses.handle_resumed(state, event.now_ms, connection.upstream, event.reply)
    if pending.kind is ProbeKind.STEP_DOWN:
        return failover.handle_stepped_down(state, event.now_ms, connection.upstream, event.reply)
    return []


def handle_connection_broke(state: ControlState, event: ConnectionBroke) -> list[Effect]:
    """Remove a connection that ended; it is reopened after REOPEN_DELAY_MS."""
    connection = state.watch.connections.get(event.connection)
    if connection is None:
        return []
    _remove(state, event.now_ms, connection)
    error = event.error
    text = f"{connection.upstream} of {connection.service}: {error.fault.value} {error.text}"
    return [LogEvent("warning", "upstream_unreachable", text)]


def _record_term(state: ControlState, service: str, reply: UpstreamReply) -> None:
    """Record a service's newest term; a log's end may still have an earlier one."""
    term = reply.position.term if reply.position is not None else 0
    if reply.status is not None:
        term = max(term, reply.status.term)
    state.watch.terms[service] = max(state.watch.terms.get(service, 0), term)


def _open_connections(
    state: ControlState, now_ms: int, entries: list[DirectoryEntry]
) -> list[Effect]:
    """Open a connection to every upstream in advance.

    During a failover an upstream may be at its connection limit.
    """
    effects: list[Effect] = []
    for entry in entries:
        if entry.report.upstream not in state.watch.by_upstream:
            effects += probes.open_connection(state, now_ms, entry)
    return effects


def _possible_primaries(
    state: ControlState, service: str, entries: list[DirectoryEntry]
) -> list[DirectoryEntry]:
    """Return the upstreams that report to be primary, and the last confirmed primary."""
    watermark = state.watch.watermarks.get(service)
    return [
        entry
        for entry in entries
        if entry.report.is_primary
        or (watermark is not None and watermark.upstream == entry.report.upstream)
    ]


def _accept_position(
    state: ControlState,
    now_ms: int,
    connection: WatchedConnection,
    pending: PendingProbe,
    reply: UpstreamReply,
) -> list[Effect]:
    if reply.error is not None or reply.position is None:
        return []
    if reply.state is not TransactionState.OPEN:
        # Responses are out of step: this is the response to a later statement, so it doesn't prove
        # that the upstream is the primary.
        return _close_failed(state, now_ms, connection, "a response is missing")
    service = connection.service
    entry = state.directory_state.directory.entries.get(connection.upstream)
    if entry is None or not primary_leases.is_possible_primary(state, entry):
        return []
    previous = state.watch.watermarks.get(service)
    if previous is not None and previous.upstream != connection.upstream:
        if reply.position.term < previous.position.term:
            return []
    state.watch.watermarks[service] = PrimaryWatermark(
        connection.upstream,
        pending.sent_ms,
        reply.position,
        directory.count_gateways(state, now_ms),
    )
    departures.bound_departures(state, service, pending.sent_ms, reply.position)
    effects: list[Effect] = []
    if previous is None or previous.upstream != connection.upstream:
        previous_name = previous.upstream if previous else "none"
        text = (
            f"{connection.upstream} is primary of {service} at {reply.position}, probed "
            f"{now_ms - pending.sent_ms} ms ago; previous primary: {previous_name}"
        )
        inputs: dict[str, object] = {
            "service": service,
            "upstream": connection.upstream,
            "position": format_position(reply.position),
            "probed_ms_ago": now_ms - pending.sent_ms,
            "previous": previous.upstream if previous else "",
            "previous_position": format_position(previous.position if previous else None),
            "previous_probed_ms_ago": now_ms - previous.probed_ms if previous else None,
        }
        effects.append(LogEvent("info", "primary_believed", text, inputs))
    return effects + failover.handle_primary_confirmed(state, now_ms, service, connection.upstream)


def _close_unresponsive(state: ControlState, now_ms: int) -> list[Effect]:
    effects: list[Effect] = []
    for connection in list(state.watch.connections.values()):
        entry = state.directory_state.directory.entries.get(connection.upstream)
        if entry is None or entry.report.state is UpstreamState.GONE:
            state.watch.answered.discard(connection.upstream)
            effects += _close_failed(state, now_ms, connection, "the upstream has departed")
            continue
        if not connection.is_open:
            if now_ms - connection.opened_ms >= OPEN_TIMEOUT_MS:
                effects += _close_failed(
                    state, now_ms, connection, f"not opened within {OPEN_TIMEOUT_MS} ms"
                )
            continue
        if (
            connection.pending_probes
            and now_ms - connection.pending_probes[0].sent_ms >= RESPONSE_TIMEOUT_MS
        ):
            effects += _close_failed(
                state, now_ms, connection, f"no response within {RESPONSE_TIMEOUT_MS} ms"
            )
    return effects


def _close_failed(
    state: ControlState, now_ms: int, connection: WatchedConnection, reason: str
) -> list[Effect]:
    broke = ConnectionBroke(now_ms, connection.number, Error(Fault.TIMEOUT, reason))
    return [CloseConnection(connection.number), *handle_connection_broke(state, broke)]


def _remove(state: ControlState, now_ms: int, connection: WatchedConnection) -> None:
    state.watch.connections.pop(connection.number, None)
    state.watch.by_upstream.pop(connection.upstream, None)
    replica_pauses.handle_connection_ended(state, connection.service, connection.upstream)
    state.watch.reopen_at_ms[connection.upstream] = now_ms + REOPEN_DELAY_MS
