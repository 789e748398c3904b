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

# A connection is closed when sent bytes stay unacknowledged for this long.
UPSTREAM_ACK_TIMEOUT_MS = 2_000

ConnectionEvent = ConnectionOpened | ConnectionReplied | ConnectionBroke


@dataclass(slots=True, eq=False)
class Connection:
    """One connection; ``startup_message`` is sent once the socket is connected."""

    number: int
    stream: socket.socket
    writer: sockets.Writer
    read: UpstreamReader
    startup_message: bytes
    is_connected: bool = False


class UpstreamConnections:
    """All connections of a process to upstreams, by the numbers that the reducer gave them."""

    def __init__(
        self, wire: StatementWire, poller: sockets.Poller, handle: Callable[[ConnectionEvent], None]
    ) -> None:
        """Pass events of all connections to ``handle``."""
        self._wire = wire
        self._poller = poller
        self._handle = handle
        self._connections: dict[int, Connection] = {}

    def open(self, effect: OpenConnection) -> None:
        """Start connecting."""
        stream = sockets.start_connect(effect.address)
        sockets.set_ack_timeout(stream, UPSTREAM_ACK_TIMEOUT_MS)
        startup_message = self._wire.encode_startup(effect.service, effect.upstream, effect.tenant)
        writer = sockets.Writer(self._poller, stream)
        connection = Connection(
            effect.connection, stream, writer, self._wire.read_upstream(), startup_message
        )
        self._connections[connection.number] = connection
        mask = sockets.READABLE | sockets.WRITABLE
        self._poller.add(stream, mask, partial(self._on_event, connection))

    def send(self, effect: SendStatements) -> None:
        """Send statements in one write."""
        connection = self._connections.get(effect.connection)
        if connection is None:
            return
        data = b"".join(self._wire.encode_statement(item) for item in effect.statements)
        if not connection.writer.write(data):
            self._abort(connection, "connection reset while writing to the upstream")

    def close(self, effect: CloseConnection) -> None:
        """Close a connection; no further event reports it."""
        connection = self._connections.pop(effect.connection, None)
        if connection is not None:
            self._poller.close(connection.stream)

    def abort(self, number: int, text: str) -> None:
        """Close a connection and report it as broken; ``text`` says why."""
        self.close(CloseConnection(number))
        self._handle(ConnectionBroke(now_ms(), number, Error(Fault.ABORTED, text)))

    def _on_event(self, connection: Connection, events: int) -> None:
        if not connection.is_connected:
            fault = sockets.connect_error(connection.stream)
            if fault:
                self._abort(connection, f"can't connect to the upstream: {fault}")
                return
            if not events & sockets.WRITABLE:
                return
            connection.is_connected = True
            self._poller.change(connection.stream, sockets.READABLE)
            if not connection.writer.write(connection.startup_message):
                self._abort(connection, "connection reset while writing to the upstream")
            return
        if events & sockets.WRITABLE and connection.writer.has_unsent:
            if not connection.writer.write_unsent():
                self._abort(connection, "connection reset while writing to the upstream")
                return
        if events & ~sockets.WRITABLE:
            self._read(connection)

    def _read(self, connection: Connection) -> None:
        data = sockets.read_nonblocking(connection.stream)
        if data is None:
            return
        if not data:
            self._abort(connection, "connection closed by the upstream")
            return
        for message in connection.read(data):
            if self._connections.get(connection.number) is not connection:
                return
            if isinstance(message, UpstreamReply):
                self._handle(ConnectionReplied(now_ms(), connection.number, message))
                continue
            if isinstance(message, Accepted):
                self._handle(ConnectionOpened(now_ms(), connection.number))
                continue
            if isinstance(message, Refused):
                self._close_and_report(connection, message.error)
                return
            self._abort(connection, message.text)
            return

    def _abort(self, connection: Connection, text: str) -> None:
        self._close_and_report(connection, Error(Fault.ABORTED, text))

    def _close_and_report(self, connection: Connection, error: Error) -> None:
        if self._connections.pop(connection.number, None) is None:
            return
        self._poller.close(connection.stream)
        self._handle(ConnectionBroke(now_ms(), connection.number, error))
