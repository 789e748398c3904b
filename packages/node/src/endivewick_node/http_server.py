"""The HTTP/1.1 edge towards callers, operators, upstreams and the balancer.

One task reads each connection. Requests of a connection are handled one after the other, so answers
keep their order; a request that is malformed, too large or too slow is answered with a typed error
and its connection closed.
"""

import socket
import ssl
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple
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
from .conf import HttpSection

HEADER_LIMIT_BYTES = 16_384
BODY_LIMIT_BYTES = 1_048_576
REQUEST_TIMEOUT_MS = 10_000
CONNECTION_LIMIT = 100_000
PIPELINE_LIMIT = 32
SWEEP_INTERVAL_MS = 250
TOKEN_HEADER = "endivewick-token"
TOKEN_COOKIE = "endivewick_token"

REASONS = {
    200: "OK",
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
    """An answer: a status, a JSON body, and a session token where there is one."""

    status: int
    body: object
    token: str = ""


@dataclass(slots=True, eq=False)
class Connection:
    """One connection of a caller.

    ``started_ms`` is when an unfinished request began to arrive, or 0.
    """

    stream: socket.socket
    server: "HttpServer"
    parser: Any = None
    url: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    header_bytes: int = 0
    body: bytearray = field(default_factory=bytearray)
    fault: Failure | None = None
    waiting: deque[Request] = field(default_factory=deque)
    busy: bool = False
    started_ms: int = 0
    closing: bool = False
    unsent: bytearray = field(default_factory=bytearray)
    writing: bool = False
    room: trio.Event | None = None

    def on_message_begin(self) -> None:
        """Start a request."""
        self.url = b""
        self.headers = {}
        self.header_bytes = 0
        self.body = bytearray()

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
        path = unquote(self.url.decode("latin-1").partition("?")[0])
        method = self.parser.get_method().decode()
        self.waiting.append(Request(method, path, self.headers, bytes(self.body)))
        self.started_ms = 0

    def answer(self, answer: Answer) -> None:
        """Write the answer of the request in hand, then take the next one."""
        self.busy = False
        if not self.closing:
            self.write(encode_answer(answer, self.closing))
        self.server.serve_next(self)

    def write(self, data: bytes) -> None:
        """Write at once what the kernel takes; a task writes the rest."""
        if self.writing:
            self.unsent += data
            return
        sent = sockets.write_now(self.stream, data)
        if sent < 0:
            self.closing = True
        elif sent < len(data):
            self.writing = True
            self.unsent += data[sent:]
            self.server.nursery.start_soon(self._write_unsent)

    async def _write_unsent(self) -> None:
        while self.unsent:
            data = bytes(self.unsent)
            self.unsent.clear()
            if not await sockets.write_rest(self.stream, data):
                self.closing = True
                break
        self.writing = False

    def _count_header(self, size: int) -> None:
        self.header_bytes += size
        if self.header_bytes > HEADER_LIMIT_BYTES:
            message = f"the headers exceed {HEADER_LIMIT_BYTES} bytes; send fewer"
            self.fault = Failure(REQUEST_TOO_LARGE, message)


def encode_answer(answer: Answer, closing: bool) -> bytes:
    """Return the bytes of an answer."""
    body = msgspec.json.encode(answer.body)
    reason = REASONS.get(answer.status, "Error")
    head = f"HTTP/1.1 {answer.status} {reason}\r\ncontent-type: application/json\r\n"
    if answer.token:
        head += f"{TOKEN_HEADER}: {answer.token}\r\n"
        head += f"set-cookie: {TOKEN_COOKIE}={answer.token}; HttpOnly; SameSite=Lax\r\n"
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
        self, section: HttpSection, handle: Handler, tls: ssl.SSLContext | None = None
    ) -> None:
        """Bind the address; ``handle`` must answer each request once, now or later."""
        self.body_limit_bytes = section.get("body_limit_bytes", BODY_LIMIT_BYTES)
        self.connections: set[Connection] = set()
        self.nursery: trio.Nursery
        self._timeout_ms = section.get("request_timeout_ms", REQUEST_TIMEOUT_MS)
        self._limit = section.get("connection_limit", CONNECTION_LIMIT)
        self._handle = handle
        self._tls = tls
        self._listener = sockets.listen(section["address"], "http.address")
        self._slow: set[Connection] = set()

    async def serve(self) -> None:
        """Accept and serve connections until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self._sweep)
            while True:
                stream = await sockets.accept(self._listener)
                if len(self.connections) >= self._limit:
                    self._refuse(stream)
                    continue
                nursery.start_soon(self._serve_one, stream)

    def stop_listening(self) -> None:
        """Stop accepting; open connections go on."""
        self._listener.close()

    def busy_count(self) -> int:
        """Return how many connections have a request in hand or an answer unsent."""
        return sum(1 for item in self.connections if item.busy or item.waiting or item.writing)

    def serve_next(self, connection: Connection) -> None:
        """Handle the next request that waits on a connection."""
        if connection.room is not None and len(connection.waiting) < PIPELINE_LIMIT:
            connection.room.set()
        if connection.busy or not connection.waiting or connection.closing:
            return
        connection.busy = True
        self._handle(connection.waiting.popleft(), connection)

    def _refuse(self, stream: socket.socket) -> None:
        message = "the process is at http.connection_limit; use another one"
        body = failure_body(Failure(OVERLOADED, message, retry_after_ms=1_000))
        sockets.write_now(stream, encode_answer(Answer(503, body), closing=True))
        stream.close()

    async def _serve_one(self, stream: socket.socket) -> None:
        if self._tls is not None:
            secured = None
            with trio.move_on_after(self._timeout_ms / 1000):
                secured = await sockets.start_tls(stream, self._tls)
            if secured is None:
                stream.close()
                return
            stream = secured
        connection = Connection(stream, self)
        connection.parser = httptools.HttpRequestParser(connection)
        self.connections.add(connection)
        try:
            await self._read_requests(connection)
        except trio.ClosedResourceError:
            pass
        finally:
            connection.closing = True
            self.connections.discard(connection)
            self._slow.discard(connection)
            stream.close()

    async def _read_requests(self, connection: Connection) -> None:
        while not connection.closing:
            data = await sockets.read(connection.stream)
            if not data:
                return
            if not connection.started_ms:
                connection.started_ms = _now_ms()
                self._slow.add(connection)
            if not self._parse(connection, data):
                return
            if not connection.started_ms:
                self._slow.discard(connection)
            self.serve_next(connection)
            while len(connection.waiting) >= PIPELINE_LIMIT and not connection.closing:
                connection.room = trio.Event()
                await connection.room.wait()
            connection.room = None

    def _parse(self, connection: Connection, data: bytes) -> bool:
        """Feed the parser; answer a faulty request and tell whether to go on."""
        failure: Failure | None = None
        try:
            connection.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            failure = Failure(MALFORMED_REQUEST, "upgrades are not supported; send HTTP/1.1")
        except httptools.HttpParserError as error:
            failure = Failure(MALFORMED_REQUEST, f"not a valid HTTP/1.1 request: {error}")
        failure = connection.fault or failure
        if failure is None:
            return True
        self._reject(connection, failure)
        return False

    def _reject(self, connection: Connection, failure: Failure) -> None:
        """Answer a faulty request unless an earlier one still waits for its answer."""
        if not connection.busy and not connection.waiting:
            answer = Answer(failure.type.status, failure_body(failure))
            connection.write(encode_answer(answer, closing=True))
        connection.closing = True

    async def _sweep(self) -> None:
        """Reject the requests that arrive too slowly."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_MS / 1000)
            limit_ms = _now_ms() - self._timeout_ms
            for connection in [item for item in self._slow if 0 < item.started_ms < limit_ms]:
                self._slow.discard(connection)
                message = f"the request took over {self._timeout_ms} ms to arrive; send it faster"
                self._reject(connection, Failure(SLOW_REQUEST, message))
                _shut_down(connection.stream)


def _shut_down(stream: socket.socket) -> None:
    """End both directions, so that the reading task ends."""
    try:
        stream.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def _now_ms() -> int:
    return int(time.monotonic() * 1000)
