"""The HTTP/1.1 edge towards callers, operators, upstreams and the balancer.

Requests of a connection are handled one after the other, so answers keep their order; a request
that is malformed, too large or too slow is answered with a typed error and its connection closed.
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
    # Loading pydantic takes a fifth of a gateway's start, and gateways don't need it.
    from .conf import HttpSection

HEADER_LIMIT_BYTES = 16_384
BODY_LIMIT_BYTES = 1_048_576
REQUEST_TIMEOUT_MS = 10_000
CONNECTION_LIMIT = 100_000
PIPELINE_LIMIT = 32
ACCEPTS_PER_TURN = 64
SWEEP_INTERVAL_MS = 250
TOKEN_HEADER = "endivewick-token"
TOKEN_COOKIE = "endivewick_token"

REASONS = {
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
    """A whole request; ``headers`` has lower-case names."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """An answer: a status, a body, and a session token where there is one.

    A body of ``bytes`` is sent as it is, any other value as JSON. ``headers`` are sent besides.
    """

    status: int
    body: object
    token: str = ""
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True, eq=False)
class Connection:
    """One connection of a caller.

    ``started_ms`` is when an unfinished request began to arrive, or 0.
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
    waiting: deque[Request] = field(default_factory=deque)
    busy: bool = False
    started_ms: int = 0
    handshaking: bool = False
    ending: bool = False
    closing: bool = False

    def on_message_begin(self) -> None:
        """Start a request."""
        self.url = b""
        self.headers = {}
        self.header_bytes = 0
        self.body = b""

    def on_url(self, url: bytes) -> None:
        """Take a part of the URL."""
        self.url += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._count_header(len(name) + len(value))
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        if len(self.body) + len(data) > self.server.body_limit_bytes:
            limit = self.server.body_limit_bytes
            message = f"the body exceeds http.body_limit_bytes, {limit} bytes; send less"
            self.fault = Failure(REQUEST_TOO_LARGE, message)
            return
        self.body += data

    def on_message_complete(self) -> None:
        """Queue a whole request."""
        if self.fault is not None:
            return
        path = self.url.decode("latin-1").partition("?")[0]
        if "%" in path:
            path = unquote(path)
        method = self.parser.get_method().decode()
        self.waiting.append(Request(method, path, self.headers, self.body))
        self.started_ms = 0

    def answer(self, answer: Answer) -> None:
        """Write the answer of the request in hand, then take the next one."""
        self.busy = False
        if self.closing:
            return
        last = self.ending or (self.server.is_draining and not self.waiting)
        if not self.writer.write(encode_answer(answer, last)):
            self.server.close(self)
            return
        self.server.serve_next(self)

    def _count_header(self, size: int) -> None:
        self.header_bytes += size
        if self.header_bytes > HEADER_LIMIT_BYTES:
            message = f"the headers exceed {HEADER_LIMIT_BYTES} bytes; send fewer"
            self.fault = Failure(REQUEST_TOO_LARGE, message)


def encode_answer(answer: Answer, closing: bool) -> bytes:
    """Return the bytes of an answer."""
    body = answer.body if isinstance(answer.body, bytes) else msgspec.json.encode(answer.body)
    reason = REASONS.get(answer.status, "Error")
    head = f"HTTP/1.1 {answer.status} {reason}\r\ncontent-type: application/json\r\n"
    if answer.token:
        head += f"{TOKEN_HEADER}: {answer.token}\r\n"
        head += f"set-cookie: {TOKEN_COOKIE}={answer.token}; HttpOnly; SameSite=Lax\r\n"
    for name, value in answer.headers:
        head += f"{name}: {value}\r\n"
    if closing:
        head += "connection: close\r\n"
    return f"{head}content-length: {len(body)}\r\n\r\n".encode("latin-1") + body


def session_token(request: Request) -> str:
    """Return the session token of a request, from its header or else its cookie."""
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
    """The listening socket and its connections."""

    def __init__(
        self,
        section: "HttpSection",
        handle: Handler,
        poller: sockets.Poller,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Bind the address; ``handle`` must answer each request once, now or later."""
        self.body_limit_bytes = section.get("body_limit_bytes", BODY_LIMIT_BYTES)
        self.connections: set[Connection] = set()
        self._timeout_ms = section.get("request_timeout_ms", REQUEST_TIMEOUT_MS)
        self._limit = section.get("connection_limit", CONNECTION_LIMIT)
        self._handle = handle
        self._poller = poller
        self._tls = tls
        self._listener = sockets.listen(section["address"], "http.address")
        self._slow: set[Connection] = set()
        self.is_draining = False
        poller.add(self._listener, sockets.READABLE, self._accept)

    def busy_count(self) -> int:
        """Return how many connections have a request in hand or an answer unsent."""
        return sum(
            1 for item in self.connections if item.busy or item.waiting or item.writer.is_busy
        )

    def serve_next(self, connection: Connection) -> None:
        """Handle the next request that waits on a connection."""
        if connection.busy or connection.closing:
            return
        if connection.waiting:
            connection.busy = True
            if len(connection.waiting) == PIPELINE_LIMIT:
                self._poller.change(connection.stream, sockets.READABLE)
            self._handle(connection.waiting.popleft(), connection)
        elif connection.fault is not None:
            self._reject(connection, connection.fault)

    def close(self, connection: Connection) -> None:
        """Close a connection; an answer that comes later is dropped."""
        connection.closing = True
        self.connections.discard(connection)
        self._slow.discard(connection)
        self._poller.close(connection.stream)

    async def sweep(self) -> None:
        """Reject the requests that arrive too slowly, until cancelled."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_MS / 1000)
            limit_ms = _now_ms() - self._timeout_ms
            for connection in [item for item in self._slow if 0 < item.started_ms < limit_ms]:
                message = f"the request took over {self._timeout_ms} ms to arrive; send it faster"
                self._reject(connection, Failure(SLOW_REQUEST, message))

    def _accept(self, events: int) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            stream = sockets.accept_now(self._listener)
            if stream is None:
                return
            if len(self.connections) >= self._limit:
                self._refuse(stream)
                continue
            self._take(stream)

    def _take(self, stream: socket.socket) -> None:
        if self._tls is not None:
            stream = self._tls.wrap_socket(stream, server_side=True, do_handshake_on_connect=False)
        connection = Connection(stream, self, sockets.Writer(self._poller, stream))
        connection.parser = httptools.HttpRequestParser(connection)
        connection.handshaking = self._tls is not None
        self.connections.add(connection)
        if connection.handshaking:
            connection.started_ms = _now_ms()
            self._slow.add(connection)
        self._poller.add(stream, sockets.READABLE, partial(self._on_event, connection))

    def _refuse(self, stream: socket.socket) -> None:
        message = "the process is at http.connection_limit; use another one"
        body = failure_body(Failure(OVERLOADED, message, retry_after_ms=1_000))
        sockets.write_now(stream, encode_answer(Answer(503, body), closing=True))
        stream.close()

    def _on_event(self, connection: Connection, events: int) -> None:
        if events & sockets.WRITABLE and connection.writer.is_busy:
            if not connection.writer.continue_writing():
                self.close(connection)
                return
            if connection.ending and not connection.writer.is_busy:
                self.close(connection)
                return
        if connection.handshaking and not self._shake_hands(connection):
            return
        if events & ~sockets.WRITABLE:
            self._read(connection)

    def _shake_hands(self, connection: Connection) -> bool:
        """Go on with the TLS handshake; tell whether it has ended."""
        assert isinstance(connection.stream, ssl.SSLSocket)
        try:
            connection.stream.do_handshake()
        except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
            return False
        except (OSError, ssl.SSLError):
            self.close(connection)
            return False
        connection.handshaking = False
        connection.started_ms = 0
        return True

    def _read(self, connection: Connection) -> None:
        while not connection.closing:
            data = sockets.read_now(connection.stream)
            if data is None:
                return
            if not data:
                self.close(connection)
                return
            if not connection.ending:
                self._parse(connection, data)
            if self._tls is None:
                return

    def _parse(self, connection: Connection, data: bytes) -> None:
        """Feed the parser, then serve what is whole; a fault ends the connection."""
        if not connection.started_ms:
            connection.started_ms = _now_ms()
        try:
            connection.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            message = "upgrades are not supported; send HTTP/1.1"
            connection.fault = Failure(MALFORMED_REQUEST, message)
        except httptools.HttpParserError as error:
            message = f"not a valid HTTP/1.1 request: {error}"
            connection.fault = connection.fault or Failure(MALFORMED_REQUEST, message)
        if connection.started_ms:
            self._slow.add(connection)
        elif connection in self._slow:
            self._slow.discard(connection)
        if len(connection.waiting) >= PIPELINE_LIMIT:
            self._poller.change(connection.stream, 0)
        self.serve_next(connection)

    def _reject(self, connection: Connection, failure: Failure) -> None:
        """Answer a faulty request and end its connection."""
        connection.ending = True
        connection.fault = None
        self._slow.discard(connection)
        if connection.handshaking:
            self.close(connection)
            return
        answer = Answer(failure.type.status, failure_body(failure))
        works = connection.writer.write(encode_answer(answer, closing=True))
        if not works or not connection.writer.is_busy:
            self.close(connection)


def _now_ms() -> int:
    return int(time.monotonic() * 1000)
