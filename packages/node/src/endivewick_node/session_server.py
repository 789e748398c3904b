"""Client sessions on the statement wire, the protocol of statements: one session per connection."""

import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

import trio
from endivewick_core.gateway.effects import AnswerStatement
from endivewick_core.gateway.events import (
    SessionClosed,
    SessionIdle,
    SessionOpened,
    StatementReceived,
)
from endivewick_core.statements import Error, Fault, Statement

from . import sockets
from .clock import now_ms
from .logs import log_rate_limited
from .peer_budget import Account, PeerBudget
from .statement_wire import ClientReader, Quit, Startup, StatementWire, WireFault

ACCEPTS_PER_TURN = 64
# A connection is closed when sent bytes stay unacknowledged for this long.
CLIENT_ACK_TIMEOUT_MS = 10_000
# A connection is closed when the client leaves more answers unread.
UNREAD_ANSWERS_LIMIT_BYTES = 4 * 1024 * 1024
# A session with so many statements waiting is not read from; the reducer closes one at 32.
PAUSE_AT_WAITING = 16
# A message or an answer of 1 MiB takes 4 s at 2 Mbit/s, the bandwidth of the smallest VM.
INCOMPLETE_TIMEOUT_MS = 30_000
UNREAD_TIMEOUT_MS = 30_000
SWEEP_INTERVAL_MS = 250

SessionEvent = SessionOpened | StatementReceived | SessionClosed | SessionIdle


@dataclass(slots=True, eq=False)
class ClientConnection:
    """A client's connection; ``has_workspace`` is set by its startup message.

    ``is_closing`` is set once nothing more is read; the remaining answers may still be written.
    ``is_finishing`` is set until the next turn reports whether the client has sent something more.
    ``incomplete_since_ms`` is since when a message is incomplete or the startup message is missing,
    and ``unsent_since_ms`` since when answers are unread; 0 if there are none.
    """

    number: int
    stream: socket.socket
    writer: sockets.Writer
    read: ClientReader
    account: Account
    has_workspace: bool = False
    is_closing: bool = False
    is_handling: bool = False
    is_finishing: bool = False
    incomplete_since_ms: int = 0
    unsent_since_ms: int = 0


class Load(NamedTuple):
    """A session's number of waiting statements, and the bytes of all that it holds."""

    waiting: int
    held_bytes: int


class UnfinishedConnections(NamedTuple):
    """The clients' connections, and the bytes on them that were not passed on.

    ``unwritten_answers`` is the number of connections with bytes of answers that the kernel has not
    taken, ``unwritten_bytes`` their sum. ``unconfirmed_bytes`` were given to the kernel, and the
    clients have not confirmed them. ``unread_connections`` have ``unread_bytes`` that clients sent
    and no statement was read from. ``unaccepted`` connections wait at the listening socket.
    """

    connections: int
    unwritten_answers: int
    unwritten_bytes: int
    unconfirmed_bytes: int
    unread_connections: int
    unread_bytes: int
    unaccepted: int


class SessionServer:
    """The listening socket and the client connections."""

    def __init__(
        self,
        address: str,
        limit: int,
        wire: StatementWire,
        poller: sockets.Poller,
        handle: Callable[[SessionEvent], None],
        load_of: Callable[[int], Load],
        budget: PeerBudget,
    ) -> None:
        """Bind ``address``; refuse connections beyond ``limit`` and pass events to ``handle``.

        ``load_of`` returns the load of a session by its number.
        """
        self._load_of = load_of
        self._budget = budget
        self._wire = wire
        self._poller = poller
        self._connection_limit = limit
        self._handle = handle
        self._connections: dict[int, ClientConnection] = {}
        self._next_number = 1
        self._listener = sockets.listen(address, "gateway.address")
        poller.add(self._listener, sockets.READABLE, self._accept)

    async def close_slow_clients(self) -> None:
        """Periodically close connections that are over a time limit, until cancelled.

        Also accept connections again after a pause.
        """
        while True:
            await trio.sleep(SWEEP_INTERVAL_MS / 1000)
            sockets.resume_accept(self._listener, self._poller)
            at_ms = now_ms()
            for client in list(self._connections.values()):
                if 0 < client.unsent_since_ms < at_ms - UNREAD_TIMEOUT_MS:
                    self._close_for(client, "unread_answers")
                    continue
                is_late = 0 < client.incomplete_since_ms < at_ms - INCOMPLETE_TIMEOUT_MS
                if is_late and client.writer.is_reading:
                    self._close_for(client, "incomplete_message")

    def has_unsent(self) -> bool:
        """Return whether answers wait until the kernel accepts them."""
        return any(client.writer.has_unsent for client in self._connections.values())

    def find_unfinished(self) -> UnfinishedConnections:
        """Return what is left on the connections, also on those that are being closed."""
        clients = list(self._connections.values())
        unwritten = [item.writer.unsent_bytes for item in clients if item.writer.has_unsent]
        unread = [item.read.held_bytes + sockets.count_unread(item.stream) for item in clients]
        return UnfinishedConnections(
            len(clients),
            len(unwritten),
            sum(unwritten),
            sum(sockets.count_unconfirmed(item.stream) for item in clients),
            sum(1 for item in unread if item),
            sum(unread),
            sockets.count_unaccepted(self._listener),
        )

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

    def finish_session(self, number: int) -> None:
        """Report a session as idle in the next turn, if nothing more of it has arrived by then."""
        client = self._connections.get(number)
        if client is not None and not client.is_closing:
            client.is_finishing = True
            client.writer.wake()

    def close_session(self, number: int) -> None:
        """Close a connection once all answers have been written to the socket."""
        client = self._connections.get(number)
        if client is None:
            return
        client.is_closing = True
        if not client.writer.has_unsent:
            self._close(client)
            return
        self._update(client)

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
            self._add_client(stream)

    def _add_client(self, stream: socket.socket) -> None:
        writer = sockets.Writer(self._poller, stream)
        account = Account(lambda reason: self._close_for(client, reason))
        client = ClientConnection(
            self._next_number, stream, writer, self._wire.read_client(), account
        )
        client.incomplete_since_ms = now_ms()
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
            self._update(client)
        if client.number not in self._connections:
            return
        if client.writer.end_wake():
            self._handle_received(client, b"")
            self._update(client)
            if client.number not in self._connections:
                return
        if events & sockets.BROKEN and not client.writer.is_reading:
            self._disconnect(client)
            return
        may_read = client.is_finishing or events & ~sockets.WRITABLE
        if may_read and client.writer.is_reading and not client.is_closing:
            self._read(client)
        if client.is_finishing:
            client.is_finishing = False
            self._report_idle(client)

    def _report_idle(self, client: ClientConnection) -> None:
        """Report a session as idle unless it is closed, or something of a message may be unread."""
        if client.number not in self._connections or client.is_closing:
            return
        if client.writer.is_reading and not client.read.held_bytes:
            self._handle(SessionIdle(now_ms(), client.number))

    def _read(self, client: ClientConnection) -> None:
        data = sockets.read_nonblocking(client.stream)
        if data is None:
            return
        if not data:
            self._disconnect(client)
            return
        self._handle_received(client, data)
        self._update(client)

    def _handle_received(self, client: ClientConnection, data: bytes) -> None:
        """Handle received messages until the client has to read answers or to wait."""
        if client.is_handling:
            return
        client.is_handling = True
        while not client.is_closing and self._may_handle(client):
            messages = client.read(data, 1)
            data = b""
            if not messages:
                if not client.read.held_bytes and client.has_workspace:
                    client.incomplete_since_ms = 0
                elif not client.incomplete_since_ms:
                    client.incomplete_since_ms = now_ms()
                break
            client.incomplete_since_ms = 0 if client.has_workspace else client.incomplete_since_ms
            self._handle_message(client, messages[0])
        client.is_handling = False

    def _may_handle(self, client: ClientConnection) -> bool:
        if client.writer.has_unsent:
            return False
        return self._load_of(client.number).waiting < PAUSE_AT_WAITING

    def _update(self, client: ClientConnection) -> None:
        """Pause or resume reading, and record what the connection holds."""
        if client.number not in self._connections or client.is_handling:
            return
        if client.writer.has_unsent != bool(client.unsent_since_ms):
            client.unsent_since_ms = now_ms() if client.writer.has_unsent else 0
        was_reading = client.writer.is_reading
        client.writer.set_reading(self._may_handle(client))
        if client.writer.is_reading and not was_reading and client.read.held_bytes:
            # Messages that were received before the pause are handled in a turn of their own: this
            # one may be in the middle of the effects of another event.
            client.writer.wake()
        load = self._load_of(client.number)
        held_bytes = client.read.held_bytes + client.writer.unsent_bytes + load.held_bytes
        self._budget.update(client.account, held_bytes, now_ms())

    def _close_for(self, client: ClientConnection, reason: str) -> None:
        self._budget.report("clients", reason, client.account)
        self._disconnect(client)

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
        self._budget.count_event("client_unreadable")
        log_rate_limited("warning", "client_unreadable", text)
        error = Error(Fault.BAD_REQUEST, text)
        self._write(client.number, self._wire.encode_refused(error))
        self._disconnect(client)

    def _write(self, number: int, data: bytes) -> None:
        client = self._connections.get(number)
        if client is None:
            return
        if not client.writer.write(data):
            self._disconnect(client)
            return
        if client.writer.unsent_bytes > UNREAD_ANSWERS_LIMIT_BYTES:
            self._close_for(client, "unread_answers")
            return
        self._update(client)

    def _disconnect(self, client: ClientConnection) -> None:
        if client.number in self._connections:
            self._close(client)
            self._handle(SessionClosed(now_ms(), client.number))

    def _close(self, client: ClientConnection) -> None:
        client.is_closing = True
        self._connections.pop(client.number, None)
        self._budget.remove(client.account)
        self._poller.close(client.stream)
