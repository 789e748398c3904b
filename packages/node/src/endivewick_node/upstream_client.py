"""Connections to upstreams: HTTP/1.1 with JSON, one request in flight on each.

Whatever does not fit closes the connection: an answer that is cut short, an answer to another
request, bytes that nobody asked for. A late answer can therefore reach no other request.
"""

import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import httptools
import msgspec
import trio
from endivewick_core.proxy.events import UpstreamAnswer

from . import sockets
from .conf import split_address

REQUEST_ID_HEADER = "x-request-id"
_answer_decoder = msgspec.json.Decoder(dict[str, Any])


@dataclass(slots=True)
class UpstreamConnection:
    """One connection; ``serial`` numbers its requests and must come back in each answer."""

    number: int
    address: str
    client: "UpstreamClient"
    stream: socket.socket | None = None
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    parser: Any = None
    serial: int = 0
    expecting: bool = False
    echoed: str = ""
    body: bytearray = field(default_factory=bytearray)
    closed: bool = False

    def on_message_begin(self) -> None:
        """Start an answer."""
        self.echoed = ""
        self.body = bytearray()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        if name.lower() == REQUEST_ID_HEADER.encode():
            self.echoed = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Report a whole answer to the request in flight."""
        if self.closed:
            return
        if not self.expecting or self.echoed not in ("", f"{self.number}-{self.serial}"):
            self.client.broke(self, "an answer that no request asked for")
            return
        self.expecting = False
        try:
            body = _answer_decoder.decode(self.body)
        except msgspec.MsgspecError as error:
            self.client.broke(self, f"an answer that is not JSON: {error}")
            return
        self.client.answered(self, self.parser.get_status_code(), body)


class UpstreamClient:
    """All upstream connections of a proxy."""

    def __init__(
        self,
        opened: Callable[[int], None],
        answered: Callable[[int, UpstreamAnswer], None],
        broke: Callable[[int, str], None],
    ) -> None:
        """Report what happens on connections by their numbers."""
        self.nursery: trio.Nursery
        self._opened = opened
        self._answered = answered
        self._broke = broke
        self._connections: dict[int, UpstreamConnection] = {}

    def open(self, number: int, address: str) -> None:
        """Open a connection; ``opened`` or ``broke`` will tell."""
        connection = UpstreamConnection(number, address, self)
        self._connections[number] = connection
        self.nursery.start_soon(self._run, connection)

    def send(self, number: int, path: str, body: dict[str, object]) -> None:
        """Send one request; a connection that is gone has been reported already."""
        connection = self._connections.get(number)
        if connection is None or connection.stream is None:
            return
        connection.serial += 1
        connection.expecting = True
        payload = msgspec.json.encode(body)
        head = (
            f"POST {path} HTTP/1.1\r\nhost: {connection.address}\r\n"
            f"content-type: application/json\r\n{REQUEST_ID_HEADER}: "
            f"{number}-{connection.serial}\r\ncontent-length: {len(payload)}\r\n\r\n"
        )
        data = head.encode("latin-1") + payload
        sent = sockets.write_now(connection.stream, data)
        if 0 <= sent < len(data):
            self.nursery.start_soon(self._write_rest, connection, data[sent:])

    def close(self, number: int) -> None:
        """Close a connection; nothing more is reported of it."""
        connection = self._connections.pop(number, None)
        if connection is not None:
            connection.closed = True
            connection.scope.cancel()

    def answered(self, connection: UpstreamConnection, status: int, body: dict[str, Any]) -> None:
        """Report an answer."""
        term, offset = body.get("term", 0), body.get("position", 0)
        if not isinstance(term, int) or not isinstance(offset, int):
            self.broke(connection, "an answer without a term and a position")
            return
        role = body.get("role")
        value = body.get("value") if status == 200 else body.get("error")
        answer = UpstreamAnswer(status, term, offset, role if isinstance(role, str) else "", value)
        self._answered(connection.number, answer)

    def broke(self, connection: UpstreamConnection, reason: str) -> None:
        """Close a connection and report it once."""
        if connection.closed:
            return
        connection.closed = True
        self._connections.pop(connection.number, None)
        connection.scope.cancel()
        self._broke(connection.number, reason)

    async def _run(self, connection: UpstreamConnection) -> None:
        stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sockets.prepare(stream)
        try:
            with connection.scope:
                reason = await self._connect(stream, connection.address)
                if reason:
                    self.broke(connection, reason)
                    return
                connection.stream = stream
                connection.parser = httptools.HttpResponseParser(connection)
                self._opened(connection.number)
                await self._read_answers(connection, stream)
        finally:
            stream.close()

    async def _connect(self, stream: socket.socket, address: str) -> str:
        try:
            await sockets.connect(stream, split_address(address))
        except OSError as error:
            return f"can't connect: {error.strerror}"
        return ""

    async def _read_answers(self, connection: UpstreamConnection, stream: socket.socket) -> None:
        while not connection.closed:
            data = await sockets.read(stream)
            if not data:
                self.broke(connection, "closed by the upstream")
                return
            try:
                connection.parser.feed_data(data)
            except httptools.HttpParserError as error:
                self.broke(connection, f"not a valid HTTP/1.1 answer: {error}")

    async def _write_rest(self, connection: UpstreamConnection, data: bytes) -> None:
        assert connection.stream is not None
        if not await sockets.write_rest(connection.stream, data):
            self.broke(connection, "the stream broke while writing")
