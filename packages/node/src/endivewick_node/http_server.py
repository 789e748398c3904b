"""The HTTP/1.1 server for callers, operators, upstreams and the load balancer.

Requests of one connection are handled one after the other, so that responses keep their order. A
request that is malformed, too large or too slow gets a typed error, and its connection is closed.
"""

import socket
import ssl
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import unquote

import httptools
import msgspec
import trio
from endivewick_core.exceptions import (
    MALFORMED_REQUEST,
    OVERLOADED,
    REQUEST_TOO_LARGE,
    SLOW_REQUEST,
    Failure,
    failure_body,
)

from . import sockets

if TYPE_CHECKING:
    # Importing pydantic takes a fifth of a gateway's start-up time, and gateways don't use it.
    from .conf import HttpSection

HEADER_LIMIT_BYTES = 16_384
BODY_LIMIT_BYTES = 1_048_576
REQUEST_TIMEOUT_MS = 10_000
CONNECTION_LIMIT = 100_000
PIPELINE_LIMIT = 32
ACCEPTS_PER_TURN = 64
SLOW_REQUEST_CHECK_INTERVAL_MS = 250
TOKEN_HEADER = "endivewick-token"
TOKEN_COOKIE = "endivewick_token"

REASON_PHRASES = {
    200: "OK",
    307: "Temporary Redirect",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Request(NamedTuple):
    """A complete request; ``headers`` has lower-case names."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """A response: a status, a body and an optional session token.

    A body of ``bytes`` is sent unchanged, any other value as JSON. ``headers`` are sent in addition
    to those of the server.
    """

    status: int
    body: object
    token: str = ""
    headers: tuple[tuple[str, str], ...] = ()


def failure_response(failure: Failure, token: str = "") -> Response:
    """Return the response that reports a failure."""
    return Response(failure.type.status, failure_body(failure), token)


@dataclass(slots=True, eq=False)
class Connection:
    """One connection of a caller.

    ``request_started_ms`` is when the first bytes of an incomplete request arrived, or 0.
    ``ends_after_write`` is set when the connection is to be closed after a last response.
    """

    stream: socket.socket
    server: "HttpServer"
    writer: sockets.Writer
    parser: Any = None
    url: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    header_bytes: int = 0
    body: bytes = b""
    fault: Failure | None = None
    queued_requests: deque[Request] = field(default_factory=deque)
    is_handling: bool = False
    request_started_ms: int = 0
    in_handshake: bool = False
    ends_after_write: bool = False
    is_closed: bool = False

    def on_message_begin(self) -> None:
        """Reset the fields for a new request."""
        self.url = b""
        self.headers = {}
        self.header_bytes = 0
        self.body = b""

    def on_url(self, url: bytes) -> None:
        """Append a part of the URL."""
        self.url += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header."""
        self._count_header(len(name) + len(value))
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body, up to the limit."""
        if len(self.body) + len(data) > self.server.body_limit_bytes:
            limit = self.server.body_limit_bytes
            message = f"the body exceeds http.body_limit_bytes, {limit} bytes; send a smaller body"
            self.fault = Failure(REQUEST_TOO_LARGE, message)
            return
        self.body += data

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        if self.fault is not None:
            return
        path = self.url.decode("latin-1").partition("?")[0]
        if "%" in path:
            path = unquote(path)
        method = self.parser.get_method().decode()
        self.queued_requests.append(Request(method, path, self.headers, self.body))
        self.request_started_ms = 0

    def respond(self, response: Response) -> None:
        """Write the response to the request being handled, then handle the next one."""
        self.is_handling = False
        if self.is_closed:
            return
        last = self.ends_after_write or (self.server.is_draining and not self.queued_requests)
        if not self.writer.write(encode_response(response, last)):
            self.server.close(self)
            return
        self.server.serve_next(self)

    def _count_header(self, size: int) -> None:
        self.header_bytes += size
        if self.header_bytes > HEADER_LIMIT_BYTES:
            message = (
                f"the headers exceed {HEADER_LIMIT_BYTES} bytes; send fewer or shorter headers"
            )
            self.fault = Failure(REQUEST_TOO_LARGE, message)


def encode_response(response: Response, is_last: bool) -> bytes:
    """Return the bytes of a response; ``is_last`` announces that the connection will be closed."""
    body = response.body if isinstance(response.body, bytes) else msgspec.json.encode(response.body)
    reason = REASON_PHRASES.get(response.status, "Error")
    head = f"HTTP/1.1 {response.status} {reason}\r\ncontent-type: application/json\r\n"
    if response.token:
        head += f"{TOKEN_HEADER}: {response.token}\r\n"
        head += f"set-cookie: {TOKEN_COOKIE}={response.token}; HttpOnly; SameSite=Lax\r\n"
    for name, value in response.headers:
        head += f"{name}: {value}\r\n"
    if is_last:
        head += "connection: close\r\n"
    return f"{head}content-length: {len(body)}\r\n\r\n".encode("latin-1") + body


def session_token(request: Request) -> str:
    """Return the session token of a request from its header, or else from its cookie."""
    token = request.headers.get(TOKEN_HEADER)
    if token is not None:
        return token
    for part in request.headers.get("cookie", "").split(";"):
        name, _, value = part.strip().partition("=")
        if name == TOKEN_COOKIE:
            return value
    return ""


Handler = Callable[[Request, Connection], None]


class HttpServer:
    """The listening socket and the accepted connections."""

    def __init__(
        self,
        section: "HttpSection",
        handle: Handler,
        poller: sockets.Poller,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Bind the address; ``handle`` must respond to each request exactly once, at any time."""
        self.body_limit_bytes = section.get("body_limit_bytes", BODY_LIMIT_BYTES)
        self.connections: set[Connection] = set()
        self._timeout_ms = section.get("request_timeout_ms", REQUEST_TIMEOUT_MS)
        self._connection_limit = section.get("connection_limit", CONNECTION_LIMIT)
        self._handle = handle
        self._poller = poller
        self._tls = tls
        self._listener = sockets.listen(section["address"], "http.address")
        self._receiving: set[Connection] = set()
        self.is_draining = False
        poller.add(self._listener, sockets.READABLE, self._accept)

    def count_busy_connections(self) -> int:
        """Return the number of connections with a request without a response or an unsent one."""
        return sum(
            1
            for item in self.connections
            if item.is_handling or item.queued_requests or item.writer.has_unsent
        )

    def serve_next(self, connection: Connection) -> None:
        """Handle the next queued request of a connection."""
        if connection.is_handling or connection.is_closed:
            return
        if connection.queued_requests:
            connection.is_handling = True
            if len(connection.queued_requests) == PIPELINE_LIMIT:
                self._poller.change(connection.stream, sockets.READABLE)
            self._handle(connection.queued_requests.popleft(), connection)
        elif connection.fault is not None:
            self._reject(connection, connection.fault)

    def close(self, connection: Connection) -> None:
        """Close a connection; later responses to its requests are dropped."""
        connection.is_closed = True
        self.connections.discard(connection)
        self._receiving.discard(connection)
        self._poller.close(connection.stream)

    async def reject_slow_requests(self) -> None:
        """Periodically reject requests that take too long to arrive, until cancelled."""
        while True:
            await trio.sleep(SLOW_REQUEST_CHECK_INTERVAL_MS / 1000)
            limit_ms = _now_ms() - self._timeout_ms
            for connection in [
                item for item in self._receiving if 0 < item.request_started_ms < limit_ms
            ]:
                message = f"the request took over {self._timeout_ms} ms to arrive; send it faster"
                self._reject(connection, Failure(SLOW_REQUEST, message))

    def _accept(self, events: int) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            stream = sockets.accept_nonblocking(self._listener)
            if stream is None:
                return
            if len(self.connections) >= self._connection_limit:
                self._refuse(stream)
                continue
            self._add_connection(stream)

    def _add_connection(self, stream: socket.socket) -> None:
        if self._tls is not None:
            stream = self._tls.wrap_socket(stream, server_side=True, do_handshake_on_connect=False)
        connection = Connection(stream, self, sockets.Writer(self._poller, stream))
        connection.parser = httptools.HttpRequestParser(connection)
        connection.in_handshake = self._tls is not None
        self.connections.add(connection)
        if connection.in_handshake:
            connection.request_started_ms = _now_ms()
            self._receiving.add(connection)
        self._poller.add(stream, sockets.READABLE, partial(self._on_event, connection))

    def _refuse(self, stream: socket.socket) -> None:
        message = "the process is at http.connection_limit; connect to another one"
        body = failure_body(Failure(OVERLOADED, message, retry_after_ms=1_000))
        sockets.write_nonblocking(stream, encode_response(Response(503, body), is_last=True))
        stream.close()

    def _on_event(self, connection: Connection, events: int) -> None:
        if events & sockets.WRITABLE and connection.writer.has_unsent:
            if not connection.writer.write_unsent():
                self.close(connection)
                return
            if connection.ends_after_write and not connection.writer.has_unsent:
                self.close(connection)
                return
        if connection.in_handshake and not self._continue_handshake(connection):
            return
        if events & ~sockets.WRITABLE:
            self._read(connection)

    def _continue_handshake(self, connection: Connection) -> bool:
        """Continue the TLS handshake; return whether it has completed."""
        assert isinstance(connection.stream, ssl.SSLSocket)
        try:
            connection.stream.do_handshake()
        except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
            return False
        except (OSError, ssl.SSLError):
            self.close(connection)
            return False
        connection.in_handshake = False
        connection.request_started_ms = 0
        return True

    def _read(self, connection: Connection) -> None:
        while not connection.is_closed:
            data = sockets.read_nonblocking(connection.stream)
            if data is None:
                return
            if not data:
                self.close(connection)
                return
            if not connection.ends_after_write:
                self._parse(connection, data)
            if self._tls is None:
                return

    def _parse(self, connection: Connection, data: bytes) -> None:
        """Parse received bytes, then handle the next complete request or reject a faulty one."""
        if not connection.request_started_ms:
            connection.request_started_ms = _now_ms()
        try:
            connection.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            message = "upgrades are not supported; send HTTP/1.1"
            connection.fault = Failure(MALFORMED_REQUEST, message)
        except httptools.HttpParserError as error:
            message = f"not a valid HTTP/1.1 request: {error}"
            connection.fault = connection.fault or Failure(MALFORMED_REQUEST, message)
        if connection.request_started_ms:
            self._receiving.add(connection)
        elif connection in self._receiving:
            self._receiving.discard(connection)
        if len(connection.queued_requests) >= PIPELINE_LIMIT:
            self._poller.change(connection.stream, 0)
        self.serve_next(connection)

    def _reject(self, connection: Connection, failure: Failure) -> None:
        """Answer a faulty request with an error and close its connection."""
        connection.ends_after_write = True
        connection.fault = None
        self._receiving.discard(connection)
        if connection.in_handshake:
            self.close(connection)
            return
        response = Response(failure.type.status, failure_body(failure))
        is_writable = connection.writer.write(encode_response(response, is_last=True))
        if not is_writable or not connection.writer.has_unsent:
            self.close(connection)


def _now_ms() -> int:
    return int(time.monotonic() * 1000)
