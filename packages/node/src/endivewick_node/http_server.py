"""The HTTP/1.1 server for callers, operators, upstreams and the load balancer.

Requests of one connection are handled one after the other, so that responses keep their order. A
request that is malformed, too large or too slow gets a typed error, and its connection is closed.
A connection is not read from while its responses are unread or enough of its requests wait.
"""

import socket
import ssl
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

import httptools
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
from .clock import now_ms
from .http_connection import HEADER_LIMIT_BYTES, LARGE_HEADERS_TEXT, Connection
from .http_messages import Request as Request
from .http_messages import Response as Response
from .http_messages import encode_response as encode_response
from .http_messages import failure_response as failure_response
from .http_messages import session_token as session_token
from .peer_budget import Account, PeerBudget

if TYPE_CHECKING:
    # Importing pydantic takes a fifth of a gateway's start-up time, and gateways don't use it.
    from .conf import HttpSection

BODY_LIMIT_BYTES = 262_144
LARGE_BODY_LIMIT_BYTES = 1_048_576  # of the paths that take configurations
# Of a request that isn't complete, everything but the body: names, values and separators of its
# headers, and up to 8 bytes for each byte of a chunked body.
OVERHEAD_LIMIT_BYTES = 2 * HEADER_LIMIT_BYTES
OVERHEAD_PER_BODY_BYTE = 8
REQUEST_TIMEOUT_MS = 10_000
# A response of 1 MiB takes 4 s at 2 Mbit/s, the bandwidth of the smallest VM.
UNREAD_TIMEOUT_MS = 30_000
CONNECTION_LIMIT = 100_000
PIPELINE_LIMIT = 32
QUEUED_BYTES_LIMIT = 1_048_576  # of one connection; reading pauses above it
ACCEPTS_PER_TURN = 64
SLOW_REQUEST_CHECK_INTERVAL_MS = 250


Handler = Callable[[Request, Connection], None]


class HttpServer:
    """The listening socket and the accepted connections."""

    def __init__(
        self,
        section: "HttpSection",
        handle: Handler,
        poller: sockets.Poller,
        tls: ssl.SSLContext | None = None,
        budget: PeerBudget | None = None,
        large_body_prefix: str = "",
        port: str = "http",
    ) -> None:
        """Bind the address; ``handle`` must respond to each request exactly once, at any time.

        Bodies for paths that begin with ``large_body_prefix`` have a higher default limit.
        ``port`` names this server in logs.
        """
        self.connections: dict[Connection, None] = {}
        self._body_limit_bytes = section.get("body_limit_bytes")
        self._large_body_prefix = large_body_prefix.encode()
        self._budget = budget or PeerBudget()
        self._port = port
        self._timeout_ms = section.get("request_timeout_ms", REQUEST_TIMEOUT_MS)
        self._connection_limit = section.get("connection_limit", CONNECTION_LIMIT)
        self._handle = handle
        self._poller = poller
        self._tls = tls
        self._listener = sockets.listen(section["address"], "http.address")
        self.is_draining = False
        poller.add(self._listener, sockets.READABLE, self._accept)

    def body_limit(self, url: bytes) -> int:
        """Return the limit of the body of a request, in bytes."""
        if self._body_limit_bytes is not None:
            return self._body_limit_bytes
        is_large = self._large_body_prefix and url.startswith(self._large_body_prefix)
        return LARGE_BODY_LIMIT_BYTES if is_large else BODY_LIMIT_BYTES

    def count_busy_connections(self) -> int:
        """Return the number of connections with a request without a response or an unsent one."""
        return sum(
            1
            for item in self.connections
            if item.is_handling or item.queued_requests or item.writer.has_unsent
        )

    def serve_next(self, connection: Connection) -> None:
        """Handle the queued requests of a connection until one has to wait."""
        if connection.is_serving:
            return  # called by a response within the loop below
        connection.is_serving = True
        while connection.queued_requests and not (
            connection.is_handling or connection.is_closed or connection.writer.has_unsent
        ):
            connection.is_handling = True
            self._handle(connection.take_request(), connection)
        connection.is_serving = False
        if connection.is_handling or connection.is_closed or connection.queued_requests:
            self._update(connection)
            return
        if connection.fault is not None and not connection.ends_after_write:
            self._reject(connection, connection.fault)
        self._update(connection)

    def close(self, connection: Connection) -> None:
        """Close a connection; later responses to its requests are dropped."""
        connection.is_closed = True
        self.connections.pop(connection, None)
        self._budget.remove(connection.account)
        self._poller.close(connection.stream)

    async def reject_slow_requests(self) -> None:
        """Periodically reject requests that take too long to arrive, until cancelled.

        Also close connections whose responses stay unread, and accept again after a pause.
        """
        while True:
            await trio.sleep(SLOW_REQUEST_CHECK_INTERVAL_MS / 1000)
            sockets.resume_accept(self._listener, self._poller)
            at_ms = now_ms()
            for connection in list(self.connections):
                if 0 < connection.unsent_since_ms < at_ms - UNREAD_TIMEOUT_MS:
                    self._close_for(connection, "unread_responses")
                    continue
                is_late = 0 < connection.request_started_ms < at_ms - self._timeout_ms
                if is_late and connection.writer.is_reading and not connection.ends_after_write:
                    message = (
                        f"the request took over {self._timeout_ms} ms to arrive; send it faster"
                    )
                    self._budget.report(self._port, "slow_request", connection.account)
                    self._reject(connection, Failure(SLOW_REQUEST, message))

    def _accept(self, events: int) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            stream = sockets.accept_nonblocking(self._listener, self._poller)
            if stream is None:
                return
            if len(self.connections) >= self._connection_limit and not self._close_idle():
                self._refuse(stream)
                continue
            self._add_connection(stream)

    def _close_idle(self) -> bool:
        """Close the oldest connection without a request; return whether there was one."""
        for connection in self.connections:
            if connection.is_idle:
                self._close_for(connection, "connection_limit")
                return True
        return False

    def _close_for(self, connection: Connection, reason: str) -> None:
        self._budget.report(self._port, reason, connection.account)
        self.close(connection)

    def _add_connection(self, stream: socket.socket) -> None:
        if self._tls is not None:
            stream = self._tls.wrap_socket(stream, server_side=True, do_handshake_on_connect=False)
        account = Account(lambda reason: self._close_for(connection, reason))
        connection = Connection(stream, self, sockets.Writer(self._poller, stream), account)
        connection.parser = httptools.HttpRequestParser(connection)
        connection.in_handshake = self._tls is not None
        self.connections[connection] = None
        if connection.in_handshake:
            connection.request_started_ms = now_ms()
        self._poller.add(stream, sockets.READABLE, partial(self._on_event, connection))

    def _refuse(self, stream: socket.socket) -> None:
        self._budget.report(self._port, "connection_limit", Account(_ignore), "refused")
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
            self.serve_next(connection)
        if connection.is_closed:
            return
        if events & sockets.BROKEN and not connection.writer.is_reading:
            self.close(connection)
            return
        if connection.in_handshake and not self._continue_handshake(connection):
            return
        if events & ~sockets.WRITABLE and connection.writer.is_reading:
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
        while not connection.is_closed and connection.writer.is_reading:
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
        """Parse received bytes, then handle the complete requests or reject a faulty one."""
        connection.piece_bytes = len(data)
        connection.fed_bytes += len(data)
        if not connection.request_started_ms:
            connection.request_started_ms = now_ms()
            connection.first_bytes = connection.fed_bytes = 0
        try:
            connection.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            message = "upgrades are not supported; send HTTP/1.1"
            connection.fault = Failure(MALFORMED_REQUEST, message)
        except httptools.HttpParserError as error:
            message = f"not a valid HTTP/1.1 request: {error}"
            connection.fault = connection.fault or Failure(MALFORMED_REQUEST, message)
        overhead_limit = OVERHEAD_LIMIT_BYTES + OVERHEAD_PER_BODY_BYTE * len(connection.body)
        if connection.request_started_ms and connection.fed_bytes > overhead_limit:
            connection.fault = connection.fault or Failure(REQUEST_TOO_LARGE, LARGE_HEADERS_TEXT)
        self.serve_next(connection)

    def _update(self, connection: Connection) -> None:
        """Pause or resume reading, and record what the connection holds."""
        if connection.is_closed:
            return
        has_unsent = connection.writer.has_unsent
        if has_unsent != bool(connection.unsent_since_ms):
            connection.unsent_since_ms = now_ms() if has_unsent else 0
        # What a connection still sends before its end is read and dropped, or the kernel would
        # reset it before its peer has read the last response.
        is_reading = connection.ends_after_write or not (
            has_unsent
            or connection.fault is not None
            or len(connection.queued_requests) >= PIPELINE_LIMIT
            or connection.queued_bytes >= QUEUED_BYTES_LIMIT
        )
        was_reading = connection.writer.is_reading
        connection.writer.set_reading(is_reading)
        self._budget.update(connection.account, connection.held_bytes(), now_ms())
        if is_reading and not was_reading and self._tls is not None and not connection.is_closed:
            self._read(connection)  # the TLS layer may hold bytes that no event reports

    def _reject(self, connection: Connection, failure: Failure) -> None:
        """Answer a faulty request with an error and close its connection."""
        connection.ends_after_write = True
        connection.fault = None
        connection.request_started_ms = 0
        if connection.in_handshake:
            self.close(connection)
            return
        response = Response(failure.type.status, failure_body(failure))
        is_writable = connection.writer.write(encode_response(response, is_last=True))
        if not is_writable or not connection.writer.has_unsent:
            self.close(connection)


def _ignore(reason: str) -> None:
    """Close nothing: the account of a connection that was refused."""
