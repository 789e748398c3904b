"""Watching the primaries: each control process asks them for their position a few times a second.

The question is a BEGIN, which only a leading upstream accepts, and its ROLLBACK. The answer proves
that the upstream led when it answered, so its position covers every commit that was acknowledged
before the question was sent. Questions that go unanswered are what a failover is decided from.
"""

from ..directory import DirectoryEntry, UpstreamState
from ..statements import Error, Fault, TransactionState, UpstreamReply
from ..upstream_links import (
    CloseConnection,
    ConnectionBroke,
    ConnectionOpened,
    ConnectionReplied,
)
from . import failover, probes
from .effects import Effect, Note
from .service_state import PendingProbe, PrimaryWatermark, ProbeKind, WatchedConnection
from .state import ControlState

OPEN_TIMEOUT_MS = 1_500  # a handshake, a round trip and a lost packet
REOPEN_DELAY_MS = 250  # the pause after a connection failed
RESPONSE_TIMEOUT_MS = 2_000  # an open connection without any answer for so long is opened anew


def check_primaries(state: ControlState, now_ms: int) -> list[Effect]:
    """Ask each service's primary where a question is due."""
    effects = _close_unresponsive(state, now_ms)
    upstreams = probes.upstreams_by_service(state)
    for service in state.machine.configuration.services:
        entries = upstreams.get(service, [])
        effects += _open_connections(state, now_ms, entries)
        for entry in _possible_primaries(state, service, entries):
            effects += probes.probe_position(state, now_ms, entry)
    return effects


def handle_connection_opened(state: ControlState, event: ConnectionOpened) -> list[Effect]:
    """Mark a connection as open."""
    connection = state.watch.connections.get(event.connection)
    if connection is None:
        return [CloseConnection(event.connection)]
    connection.is_open = True
    return []


def handle_connection_replied(state: ControlState, event: ConnectionReplied) -> list[Effect]:
    """Take an upstream's answer."""
    connection = state.watch.connections.get(event.connection)
    if connection is None:
        return []
    if not connection.pending_probes:
        return _drop(state, event.now_ms, connection, "an answer without a question")
    pending = connection.pending_probes.popleft()
    if event.reply.position is not None:
        term = max(state.watch.terms.get(connection.service, 0), event.reply.position.term)
        state.watch.terms[connection.service] = term
    if pending.kind is ProbeKind.POSITION:
        return _accept_position(state, event.now_ms, connection, pending, event.reply)
    if pending.kind is ProbeKind.PAUSE:
        return failover.handle_paused(state, event.now_ms, connection.upstream, event.reply)
    if pending.kind is ProbeKind.RESUME:
        return failover.handle_resumed(state, event.now_ms, connection.upstream, event.reply)
    return []


def handle_connection_broke(state: ControlState, event: ConnectionBroke) -> list[Effect]:
    """Forget a connection that ended; it is opened again after a pause."""
    connection = state.watch.connections.get(event.connection)
    if connection is None:
        return []
    _remove(state, event.now_ms, connection)
    error = event.error
    text = f"{connection.upstream} of {connection.service}: {error.fault.value} {error.text}"
    return [Note("warning", "upstream_unreachable", text)]


def _open_connections(
    state: ControlState, now_ms: int, entries: list[DirectoryEntry]
) -> list[Effect]:
    """Hold a connection to every upstream: at a failover there may be no room for a new one."""
    effects: list[Effect] = []
    for entry in entries:
        if entry.report.upstream not in state.watch.by_upstream:
            effects += probes.open_connection(state, now_ms, entry)
    return effects


def _possible_primaries(
    state: ControlState, service: str, entries: list[DirectoryEntry]
) -> list[DirectoryEntry]:
    """Return the upstreams that may lead: those that say so, and the one that led last."""
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
        # Answers are out of step: this is the one to what follows, and no proof that it leads.
        return _drop(state, now_ms, connection, "an answer is missing")
    service = connection.service
    previous = state.watch.watermarks.get(service)
    if previous is not None and previous.upstream != connection.upstream:
        if reply.position.term < previous.position.term:
            return []
    state.watch.watermarks[service] = PrimaryWatermark(
        connection.upstream, pending.sent_ms, reply.position
    )
    effects: list[Effect] = []
    if previous is None or previous.upstream != connection.upstream:
        previous_name = previous.upstream if previous else "none"
        text = (
            f"{connection.upstream} leads {service} at {reply.position}, asked "
            f"{now_ms - pending.sent_ms} ms ago; before: {previous_name}"
        )
        effects.append(Note("info", "primary_believed", text))
    return effects + failover.handle_primary_confirmed(state, now_ms, service, connection.upstream)


def _close_unresponsive(state: ControlState, now_ms: int) -> list[Effect]:
    effects: list[Effect] = []
    for connection in list(state.watch.connections.values()):
        entry = state.directory_state.directory.entries.get(connection.upstream)
        if entry is None or entry.report.state is UpstreamState.GONE:
            effects += _drop(state, now_ms, connection, "the upstream said goodbye")
            continue
        if not connection.is_open:
            if now_ms - connection.opened_ms >= OPEN_TIMEOUT_MS:
                effects += _drop(state, now_ms, connection, "it could not be opened in time")
            continue
        if (
            connection.pending_probes
            and now_ms - connection.pending_probes[0].sent_ms >= RESPONSE_TIMEOUT_MS
        ):
            effects += _drop(state, now_ms, connection, "it went silent")
    return effects


def _drop(
    state: ControlState, now_ms: int, connection: WatchedConnection, reason: str
) -> list[Effect]:
    broke = ConnectionBroke(now_ms, connection.number, Error(Fault.TIMEOUT, reason))
    return [CloseConnection(connection.number), *handle_connection_broke(state, broke)]


def _remove(state: ControlState, now_ms: int, connection: WatchedConnection) -> None:
    state.watch.connections.pop(connection.number, None)
    state.watch.by_upstream.pop(connection.upstream, None)
    state.watch.reopen_at_ms[connection.upstream] = now_ms + REOPEN_DELAY_MS
