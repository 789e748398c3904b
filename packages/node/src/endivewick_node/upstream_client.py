"""Connections to upstreams: HTTP/1.1 with JSON, with one request in flight per connection.

Any unexpected data closes the connection: a truncated response, a response to another request, or
bytes without a request in flight. A late response can therefore never reach another request.
"""

import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

import httptools
import msgspec
from endivewick_core.proxy.events import UpstreamAnswer

from . import sockets

REQUEST_ID_HEADER = "x-request-id"
STATUS_OK = 200
_body_decoder = msgspec.json.Decoder(dict[str, Any])


@dataclass(slots=True)
class UpstreamConnection:
    """One connection; ``request_serial`` numbers its requests.

    The number is part of the request id header. A response that echoes the header must match it.
    """

    number: int
    address: str
    client: "UpstreamClient"
    stream: socket.socket
    writer: sockets.Writer
    parser: Any = None
    is_connected: bool = False
    request_serial: int = 0
    has_outstanding_request: bool = False
    echoed_request_id: str = ""
    body: bytes = b""
    is_closed: bool = False

    def on_message_begin(self) -> None:
        """Reset the fields for a new response."""
        self.echoed_request_id = ""
        self.body = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the request id header."""
        if name.lower() == REQUEST_ID_HEADER.encode():
            self.echoed_request_id = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Match a complete response to the request in flight and report it."""
        if self.is_closed:
            return
        if not self.has_outstanding_request or self.echoed_request_id not in (
            "",
            f"{self.number}-{self.request_serial}",
        ):
            self.client.abort(self, "received a response that matches no request in flight")
            return
        self.has_outstanding_request = False
        try:
            body = _body_decoder.decode(self.body)
        except msgspec.MsgspecError as error:
            self.client.abort(self, f"received a response that is not JSON: {error}")
            return
        self.client.handle_response(self, self.parser.get_status_code(), body)


class UpstreamClient:
    """All upstream connections of a proxy."""

    def __init__(
        self,
        poller: sockets.Poller,
        on_opened: Callable[[int], None],
        on_response: Callable[[int, UpstreamAnswer], None],
        on_broken: Callable[[int, str], None],
    ) -> None:
        """Call the callbacks with the connection's number."""
        self._poller = poller
        self._on_opened = on_opened
        self._on_response = on_response
        self._on_broken = on_broken
        self._connections: dict[int, UpstreamConnection] = {}

    def open(self, number: int, address: str) -> None:
        """Start connecting; ``on_opened`` or ``on_broken`` is called with the outcome."""
        stream = sockets.start_connect(address)
        writer = sockets.Writer(self._poller, stream)
        connection = UpstreamConnection(number, address, self, stream, writer)
        self._connections[number] = connection
        self._poller.add(stream, sockets.WRITABLE, partial(self._on_event, connection))

    def send(self, number: int, path: str, body: dict[str, object]) -> None:
        """Send one request; do nothing on a closed connection, which has been reported."""
        connection = self._connections.get(number)
        if connection is None or not connection.is_connected:
            return
        connection.request_serial += 1
        connection.has_outstanding_request = True
        payload = msgspec.json.encode(body)
        head = (
            f"POST {path} HTTP/1.1\r\nhost: {connection.address}\r\n"
            f"content-type: application/json\r\n{REQUEST_ID_HEADER}: "
            f"{number}-{connection.request_serial}\r\ncontent-length: {len(payload)}\r\n\r\n"
        )
        connection.writer.write(head.encode("latin-1") + payload)

    def close(self, number: int) -> None:
        """Close a connection; no callback is called for it any more."""
        connection = self._connections.pop(number, None)
        if connection is not None:
            connection.is_closed = True
            self._poller.close(connection.stream)

    def handle_response(
        self, connection: UpstreamConnection, status: int, body: dict[str, Any]
    ) -> None:
        """Check a response's term, position and role, and report it."""
        term, offset = body.get("term", 0), body.get("position", 0)
        if not isinstance(term, int) or not isinstance(offset, int):
            self.abort(connection, "received a response whose term or position is not an integer")
            return
        role = body.get("role")
        value = body.get("value") if status == STATUS_OK else body.get("error")
        response = UpstreamAnswer(
            status, term, offset, role if isinstance(role, str) else "", value
        )
        self._on_response(connection.number, response)

    def abort(self, connection: UpstreamConnection, reason: str) -> None:
        """Close a connection and report it once."""
        if connection.is_closed:
            return
        self.close(connection.number)
        self._on_broken(connection.number, reason)

    def _on_event(self, connection: UpstreamConnection, events: int) -> None:
        if not connection.is_connected:
            self._finish_connect(connection)
            return
        if events & sockets.WRITABLE and connection.writer.has_unsent:
            if not connection.writer.write_unsent():
                self.abort(connection, "connection reset while writing to the upstream")
                return
        if events & ~sockets.WRITABLE:
            self._read(connection)

    def _finish_connect(self, connection: UpstreamConnection) -> None:
        fault = sockets.connect_error(connection.stream)
        if fault:
            self.abort(connection, f"can't connect to the upstream: {fault}")
            return
        connection.is_connected = True
        connection.parser = httptools.HttpResponseParser(connection)
        self._poller.change(connection.stream, sockets.READABLE)
        self._on_opened(connection.number)

    def _read(self, connection: UpstreamConnection) -> None:
        data = sockets.read_nonblocking(connection.stream)
        if data is None:
            return
        if not data:
            self.abort(connection, "connection closed by the upstream")
            return
        try:
            connection.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.abort(connection, f"received an invalid HTTP/1.1 response: {error}")
