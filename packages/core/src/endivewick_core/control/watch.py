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
from . import failover, questions
from .effects import Effect, Note
from .service_state import Asked, Mark, Question, WatchedConnection
from .state import ControlState

OPEN_LIMIT_MS = 1_500  # a handshake, a round trip and a lost packet
REOPEN_MS = 250  # the pause after a connection failed
SILENT_MS = 2_000  # an open connection without any answer for so long is opened anew


def check_watch(state: ControlState, now_ms: int) -> list[Effect]:
    """Ask each service's primary where a question is due."""
    effects = _close_silent(state, now_ms)
    upstreams = questions.upstreams_by_service(state)
    for service in state.machine.configuration.services:
        entries = upstreams.get(service, [])
        effects += _open_all(state, now_ms, entries)
        for entry in _candidates(state, service, entries):
            effects += questions.ask_position(state, now_ms, entry)
    return effects


def handle_opened(state: ControlState, event: ConnectionOpened) -> list[Effect]:
    """Mark a connection as open."""
    connection = state.watch.connections.get(event.connection)
    if connection is None:
        return [CloseConnection(event.connection)]
    connection.is_open = True
    return []


def handle_replied(state: ControlState, event: ConnectionReplied) -> list[Effect]:
    """Take an upstream's answer."""
    connection = state.watch.connections.get(event.connection)
    if connection is None:
        return []
    if not connection.asked:
        return _drop(state, event.now_ms, connection, "an answer without a question")
    asked = connection.asked.popleft()
    if event.reply.position is not None:
        term = max(state.watch.terms.get(connection.service, 0), event.reply.position.term)
        state.watch.terms[connection.service] = term
    if asked.question is Question.POSITION:
        return _take_position(state, event.now_ms, connection, asked, event.reply)
    if asked.question is Question.PAUSE:
        return failover.handle_paused(state, event.now_ms, connection.upstream, event.reply)
    if asked.question is Question.RESUME:
        return failover.handle_resumed(state, event.now_ms, connection.upstream, event.reply)
    return []


def handle_broke(state: ControlState, event: ConnectionBroke) -> list[Effect]:
    """Forget a connection that ended; it is opened again after a pause."""
    connection = state.watch.connections.get(event.connection)
    if connection is None:
        return []
    _forget(state, event.now_ms, connection)
    error = event.error
    text = f"{connection.upstream} of {connection.service}: {error.fault.value} {error.text}"
    return [Note("warning", "upstream_unreachable", text)]


def _open_all(state: ControlState, now_ms: int, entries: list[DirectoryEntry]) -> list[Effect]:
    """Hold a connection to every upstream: at a failover there may be no room for a new one."""
    effects: list[Effect] = []
    for entry in entries:
        if entry.report.upstream not in state.watch.by_upstream:
            effects += questions.open_connection(state, now_ms, entry)
    return effects


def _candidates(
    state: ControlState, service: str, entries: list[DirectoryEntry]
) -> list[DirectoryEntry]:
    """Return the upstreams that may lead: those that say so, and the one that led last."""
    mark = state.watch.marks.get(service)
    return [
        entry
        for entry in entries
        if entry.report.is_primary or (mark is not None and mark.upstream == entry.report.upstream)
    ]


def _take_position(
    state: ControlState,
    now_ms: int,
    connection: WatchedConnection,
    asked: Asked,
    reply: UpstreamReply,
) -> list[Effect]:
    if reply.error is not None or reply.position is None:
        return []
    if reply.state is not TransactionState.OPEN:
        # Answers are out of step: this is the one to what follows, and no proof that it leads.
        return _drop(state, now_ms, connection, "an answer is missing")
    service = connection.service
    known = state.watch.marks.get(service)
    if known is not None and known.upstream != connection.upstream:
        if reply.position.term < known.position.term:
            return []
    state.watch.marks[service] = Mark(connection.upstream, asked.sent_ms, reply.position)
    effects: list[Effect] = []
    if known is None or known.upstream != connection.upstream:
        previous = known.upstream if known else "none"
        text = (
            f"{connection.upstream} leads {service} at {reply.position}, asked "
            f"{now_ms - asked.sent_ms} ms ago; before: {previous}"
        )
        effects.append(Note("info", "primary_believed", text))
    return effects + failover.handle_leading(state, now_ms, service, connection.upstream)


def _close_silent(state: ControlState, now_ms: int) -> list[Effect]:
    effects: list[Effect] = []
    for connection in list(state.watch.connections.values()):
        entry = state.spread.directory.entries.get(connection.upstream)
        if entry is None or entry.report.state is UpstreamState.GONE:
            effects += _drop(state, now_ms, connection, "the upstream said goodbye")
            continue
        if not connection.is_open:
            if now_ms - connection.opened_ms >= OPEN_LIMIT_MS:
                effects += _drop(state, now_ms, connection, "it could not be opened in time")
            continue
        if connection.asked and now_ms - connection.asked[0].sent_ms >= SILENT_MS:
            effects += _drop(state, now_ms, connection, "it went silent")
    return effects


def _drop(
    state: ControlState, now_ms: int, connection: WatchedConnection, reason: str
) -> list[Effect]:
    broke = ConnectionBroke(now_ms, connection.number, Error(Fault.TIMEOUT, reason))
    return [CloseConnection(connection.number), *handle_broke(state, broke)]


def _forget(state: ControlState, now_ms: int, connection: WatchedConnection) -> None:
    state.watch.connections.pop(connection.number, None)
    state.watch.by_upstream.pop(connection.upstream, None)
    state.watch.reopen_ms[connection.upstream] = now_ms + REOPEN_MS
