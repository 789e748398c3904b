"""Connections to upstreams on the statement wire."""

import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from endivewick_core.statements import Error, Fault, UpstreamReply
from endivewick_core.upstream_links import (
    CloseConnection,
    ConnectionBroke,
    ConnectionOpened,
    ConnectionReplied,
    OpenConnection,
    SendStatements,
)

from . import sockets
from .clock import now_ms
from .statement_wire import Accepted, Refused, StatementWire, UpstreamReader

SILENT_UPSTREAM_MS = 2_000  # unacknowledged bytes of this age end a connection

LinkEvent = ConnectionOpened | ConnectionReplied | ConnectionBroke


@dataclass(slots=True, eq=False)
class Link:
    """One connection; ``greeting`` is sent once it is connected."""

    number: int
    stream: socket.socket
    writer: sockets.Writer
    read: UpstreamReader
    greeting: bytes
    is_connected: bool = False


class UpstreamConnections:
    """All connections of a process to upstreams, by the reducer's numbers."""

    def __init__(
        self, wire: StatementWire, poller: sockets.Poller, handle: Callable[[LinkEvent], None]
    ) -> None:
        """Pass events to ``handle``."""
        self._wire = wire
        self._poller = poller
        self._handle = handle
        self._links: dict[int, Link] = {}

    def open(self, effect: OpenConnection) -> None:
        """Begin to connect."""
        stream = sockets.start_connect(effect.address)
        sockets.detect_silence(stream, SILENT_UPSTREAM_MS)
        greeting = self._wire.encode_startup(effect.service, effect.upstream)
        writer = sockets.Writer(self._poller, stream)
        link = Link(effect.connection, stream, writer, self._wire.read_upstream(), greeting)
        self._links[link.number] = link
        mask = sockets.READABLE | sockets.WRITABLE
        self._poller.add(stream, mask, partial(self._on_event, link))

    def send(self, effect: SendStatements) -> None:
        """Send statements in one write."""
        link = self._links.get(effect.connection)
        if link is None:
            return
        data = b"".join(self._wire.encode_statement(item) for item in effect.statements)
        if not link.writer.write(data):
            self._break(link, "the connection was reset")

    def close(self, effect: CloseConnection) -> None:
        """Close a connection; nothing more is heard of it."""
        link = self._links.pop(effect.connection, None)
        if link is not None:
            self._poller.close(link.stream)

    def _on_event(self, link: Link, events: int) -> None:
        if not link.is_connected:
            fault = sockets.fault_of(link.stream)
            if fault:
                self._break(link, f"it can't be reached: {fault}")
                return
            if not events & sockets.WRITABLE:
                return
            link.is_connected = True
            self._poller.change(link.stream, sockets.READABLE)
            if not link.writer.write(link.greeting):
                self._break(link, "the connection was reset")
            return
        if events & sockets.WRITABLE and link.writer.is_busy:
            if not link.writer.continue_writing():
                self._break(link, "the connection was reset")
                return
        if events & ~sockets.WRITABLE:
            self._read(link)

    def _read(self, link: Link) -> None:
        data = sockets.read_now(link.stream)
        if data is None:
            return
        if not data:
            self._break(link, "the upstream closed the connection")
            return
        for message in link.read(data):
            if self._links.get(link.number) is not link:
                return
            if isinstance(message, UpstreamReply):
                self._handle(ConnectionReplied(now_ms(), link.number, message))
                continue
            if isinstance(message, Accepted):
                self._handle(ConnectionOpened(now_ms(), link.number))
                continue
            if isinstance(message, Refused):
                self._end(link, message.error)
                return
            self._break(link, message.text)
            return

    def _break(self, link: Link, text: str) -> None:
        self._end(link, Error(Fault.ABORTED, text))

    def _end(self, link: Link, error: Error) -> None:
        if self._links.pop(link.number, None) is None:
            return
        self._poller.close(link.stream)
        self._handle(ConnectionBroke(now_ms(), link.number, error))
