"""Clients' sessions on the statement wire: one connection, one session."""

import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from endivewick_core.gateway.effects import AnswerStatement
from endivewick_core.gateway.events import SessionClosed, SessionOpened, StatementReceived
from endivewick_core.statements import Error, Fault, Statement

from . import sockets
from .clock import now_ms
from .logs import log
from .statement_wire import ClientReader, Quit, Startup, StatementWire, WireFault

ACCEPTS_PER_TURN = 64
SILENT_CLIENT_MS = 10_000  # unacknowledged bytes of this age end a client's connection
UNSENT_LIMIT_BYTES = 4 * 1024 * 1024  # answers that a client doesn't read

SessionEvent = SessionOpened | StatementReceived | SessionClosed


@dataclass(slots=True, eq=False)
class ClientConnection:
    """A client's connection; ``is_named`` once it has named its workspace."""

    number: int
    stream: socket.socket
    writer: sockets.Writer
    read: ClientReader
    is_named: bool = False
    closing: bool = False


class SessionServer:
    """The listening socket and the clients' connections."""

    def __init__(
        self,
        address: str,
        limit: int,
        wire: StatementWire,
        poller: sockets.Poller,
        handle: Callable[[SessionEvent], None],
    ) -> None:
        """Bind ``address``; connections above ``limit`` are refused, events go to ``handle``."""
        self._wire = wire
        self._poller = poller
        self._limit = limit
        self._handle = handle
        self._connections: dict[int, ClientConnection] = {}
        self._next = 1
        self._listener = sockets.listen(address, "gateway.address")
        poller.add(self._listener, sockets.READABLE, self._accept)

    def accept_session(self, number: int) -> None:
        """Tell a client that its session is open."""
        self._write(number, self._wire.encode_accepted())

    def refuse_session(self, number: int, error: Error) -> None:
        """Refuse a session and close its connection."""
        self._write(number, self._wire.encode_refused(error))
        self.close_session(number)

    def answer(self, effect: AnswerStatement) -> None:
        """Write the answer to a statement."""
        self._write(effect.session, self._wire.encode_answer(effect))

    def close_session(self, number: int) -> None:
        """Close a connection once everything written has left."""
        client = self._connections.get(number)
        if client is None:
            return
        client.closing = True
        if not client.writer.is_busy:
            self._close(client)

    def _accept(self, events: int) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            stream = sockets.accept_now(self._listener)
            if stream is None:
                return
            if len(self._connections) >= self._limit:
                error = Error(Fault.TOO_MANY_CONNECTIONS, "the gateway has no room", 1_000)
                sockets.write_now(stream, self._wire.encode_refused(error))
                stream.close()
                continue
            sockets.detect_silence(stream, SILENT_CLIENT_MS)
            writer = sockets.Writer(self._poller, stream)
            client = ClientConnection(self._next, stream, writer, self._wire.read_client())
            self._next += 1
            self._connections[client.number] = client
            self._poller.add(stream, sockets.READABLE, partial(self._on_event, client))

    def _on_event(self, client: ClientConnection, events: int) -> None:
        if events & sockets.WRITABLE and client.writer.is_busy:
            if not client.writer.continue_writing():
                self._end(client)
                return
            if client.closing and not client.writer.is_busy:
                self._close(client)
                return
        if events & ~sockets.WRITABLE and not client.closing:
            self._read(client)

    def _read(self, client: ClientConnection) -> None:
        data = sockets.read_now(client.stream)
        if data is None:
            return
        if not data:
            self._end(client)
            return
        for message in client.read(data):
            if client.closing:
                return
            self._take(client, message)

    def _take(self, client: ClientConnection, message: object) -> None:
        if isinstance(message, Startup) and not client.is_named:
            client.is_named = True
            self._handle(SessionOpened(now_ms(), client.number, message.workspace))
            return
        if isinstance(message, Statement) and client.is_named:
            self._handle(StatementReceived(now_ms(), client.number, message))
            return
        if isinstance(message, Quit):
            self._end(client)
            return
        text = message.text if isinstance(message, WireFault) else "a message out of order"
        log("warning", "client_unreadable", text)
        error = Error(Fault.BAD_REQUEST, text)
        self._write(client.number, self._wire.encode_refused(error))
        self._end(client)

    def _write(self, number: int, data: bytes) -> None:
        client = self._connections.get(number)
        if client is None:
            return
        if not client.writer.write(data) or client.writer.unsent_bytes > UNSENT_LIMIT_BYTES:
            self._end(client)

    def _end(self, client: ClientConnection) -> None:
        if client.number in self._connections:
            self._close(client)
            self._handle(SessionClosed(now_ms(), client.number))

    def _close(self, client: ClientConnection) -> None:
        client.closing = True
        self._connections.pop(client.number, None)
        self._poller.close(client.stream)
