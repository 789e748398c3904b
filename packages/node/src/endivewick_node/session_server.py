"""Client sessions on the statement wire, the protocol of statements: one session per connection."""

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
# A connection is closed when sent bytes stay unacknowledged for this long.
CLIENT_ACK_TIMEOUT_MS = 10_000
# A connection is closed when the client leaves more answers unread.
UNREAD_ANSWERS_LIMIT_BYTES = 4 * 1024 * 1024

SessionEvent = SessionOpened | StatementReceived | SessionClosed


@dataclass(slots=True, eq=False)
class ClientConnection:
    """A client's connection; ``has_workspace`` is set by its startup message.

    ``is_closing`` is set once nothing more is read; the remaining answers may still be written.
    """

    number: int
    stream: socket.socket
    writer: sockets.Writer
    read: ClientReader
    has_workspace: bool = False
    is_closing: bool = False


class SessionServer:
    """The listening socket and the client connections."""

    def __init__(
        self,
        address: str,
        limit: int,
        wire: StatementWire,
        poller: sockets.Poller,
        handle: Callable[[SessionEvent], None],
    ) -> None:
        """Bind ``address``; refuse connections beyond ``limit`` and pass events to ``handle``."""
        self._wire = wire
        self._poller = poller
        self._connection_limit = limit
        self._handle = handle
        self._connections: dict[int, ClientConnection] = {}
        self._next_number = 1
        self._listener = sockets.listen(address, "gateway.address")
        poller.add(self._listener, sockets.READABLE, self._accept)

    def accept_session(self, number: int) -> None:
        """Notify a client that its session is open."""
        self._write(number, self._wire.encode_accepted())

    def refuse_session(self, number: int, error: Error) -> None:
        """Refuse a session and close its connection."""
        self._write(number, self._wire.encode_refused(error))
        self.close_session(number)

    def answer(self, effect: AnswerStatement) -> None:
        """Write the answer to a statement."""
        self._write(effect.session, self._wire.encode_answer(effect))

    def close_session(self, number: int) -> None:
        """Close a connection once all answers have been written to the socket."""
        client = self._connections.get(number)
        if client is None:
            return
        client.is_closing = True
        if not client.writer.has_unsent:
            self._close(client)

    def _accept(self, events: int) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            stream = sockets.accept_nonblocking(self._listener, self._poller)
            if stream is None:
                return
            if len(self._connections) >= self._connection_limit:
                error = Error(
                    Fault.TOO_MANY_CONNECTIONS, "the gateway is at its connection limit", 1_000
                )
                sockets.write_nonblocking(stream, self._wire.encode_refused(error))
                stream.close()
                continue
            sockets.set_ack_timeout(stream, CLIENT_ACK_TIMEOUT_MS)
            writer = sockets.Writer(self._poller, stream)
            client = ClientConnection(self._next_number, stream, writer, self._wire.read_client())
            self._next_number += 1
            self._connections[client.number] = client
            self._poller.add(stream, sockets.READABLE, partial(self._on_event, client))

    def _on_event(self, client: ClientConnection, events: int) -> None:
        if events & sockets.WRITABLE and client.writer.has_unsent:
            if not client.writer.write_unsent():
                self._disconnect(client)
                return
            if client.is_closing and not client.writer.has_unsent:
                self._close(client)
                return
        if events & ~sockets.WRITABLE and not client.is_closing:
            self._read(client)

    def _read(self, client: ClientConnection) -> None:
        data = sockets.read_nonblocking(client.stream)
        if data is None:
            return
        if not data:
            self._disconnect(client)
            return
        for message in client.read(data):
            if client.is_closing:
                return
            self._handle_message(client, message)

    def _handle_message(self, client: ClientConnection, message: object) -> None:
        if isinstance(message, Startup) and not client.has_workspace:
            client.has_workspace = True
            self._handle(SessionOpened(now_ms(), client.number, message.workspace, message.key))
            return
        if isinstance(message, Statement) and client.has_workspace:
            self._handle(StatementReceived(now_ms(), client.number, message))
            return
        if isinstance(message, Quit):
            self._disconnect(client)
            return
        text = (
            message.text
            if isinstance(message, WireFault)
            else "unexpected message in this state of the session"
        )
        log("warning", "client_unreadable", text)
        error = Error(Fault.BAD_REQUEST, text)
        self._write(client.number, self._wire.encode_refused(error))
        self._disconnect(client)

    def _write(self, number: int, data: bytes) -> None:
        client = self._connections.get(number)
        if client is None:
            return
        if not client.writer.write(data) or client.writer.unsent_bytes > UNREAD_ANSWERS_LIMIT_BYTES:
            self._disconnect(client)

    def _disconnect(self, client: ClientConnection) -> None:
        if client.number in self._connections:
            self._close(client)
            self._handle(SessionClosed(now_ms(), client.number))

    def _close(self, client: ClientConnection) -> None:
        client.is_closing = True
        self._connections.pop(client.number, None)
        self._poller.close(client.stream)
