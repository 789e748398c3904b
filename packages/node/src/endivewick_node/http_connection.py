"""One connection of the HTTP server: its parser's state, its queue and what it holds."""

import socket
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import unquote

from endivewick_core.exceptions import REQUEST_TOO_LARGE, Failure

from . import sockets
from .clock import now_ms
from .http_messages import Request, Response, encode_response
from .peer_budget import Account

if TYPE_CHECKING:
    from .http_server import HttpServer

HEADER_LIMIT_BYTES = 16_384
REQUEST_OVERHEAD_BYTES = 1_024  # the objects of one queued request
LARGE_HEADERS_TEXT = f"the headers exceed {HEADER_LIMIT_BYTES} bytes; send fewer or shorter headers"


@dataclass(slots=True, eq=False)
class Connection:
    """One connection of a caller.

    ``request_started_ms`` is when the first bytes of an incomplete request arrived, or 0.
    ``fed_bytes`` are those received for it after the piece in which it began, which had
    ``first_bytes``. ``unsent_since_ms`` is since when a response is unread, or 0.
    ``ends_after_write`` is set when the connection is to be closed after a last response.
    """

    stream: socket.socket
    server: "HttpServer"
    writer: sockets.Writer
    account: Account
    parser: Any = None
    url: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    header_bytes: int = 0
    body: bytearray = field(default_factory=bytearray)
    fault: Failure | None = None
    queued_requests: deque[Request] = field(default_factory=deque)
    queued_bytes: int = 0
    is_handling: bool = False
    is_serving: bool = False
    request_started_ms: int = 0
    piece_bytes: int = 0
    first_bytes: int = 0
    fed_bytes: int = 0
    unsent_since_ms: int = 0
    in_handshake: bool = False
    ends_after_write: bool = False
    is_closed: bool = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received, handled or answered."""
        return not (
            self.request_started_ms
            or self.is_handling
            or self.queued_requests
            or self.writer.has_unsent
        )

    def held_bytes(self) -> int:
        """Return what the process holds for this connection."""
        incomplete = self.first_bytes + self.fed_bytes if self.request_started_ms else 0
        return incomplete + self.queued_bytes + self.writer.unsent_bytes

    def on_message_begin(self) -> None:
        """Reset the fields for a new request."""
        self.url = b""
        self.headers = {}
        self.header_bytes = 0
        self.body = bytearray()
        self.request_started_ms = now_ms()
        self.first_bytes, self.fed_bytes = self.piece_bytes, 0

    def on_url(self, url: bytes) -> None:
        """Append a part of the URL."""
        self._count_header(len(url))
        if self.fault is None:
            self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header."""
        self._count_header(len(name) + len(value))
        if self.fault is None:
            self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body, up to the limit."""
        limit = self.server.body_limit(self.url)
        if len(self.body) + len(data) > limit:
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
        request = Request(method, path, self.headers, bytes(self.body))
        self.queued_requests.append(request)
        self.queued_bytes += self.header_bytes + len(self.body) + REQUEST_OVERHEAD_BYTES
        self.body = bytearray()
        self.request_started_ms = 0

    def take_request(self) -> Request:
        """Return the next queued request; ``queued_bytes`` falls once the queue is empty."""
        request = self.queued_requests.popleft()
        if not self.queued_requests:
            self.queued_bytes = 0
        return request

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
            self.fault = Failure(REQUEST_TOO_LARGE, LARGE_HEADERS_TEXT)
