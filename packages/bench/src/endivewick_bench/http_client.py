"""A small HTTP/1.1 client with JSON bodies, for load, stand-ins and tests."""

import socket
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import httptools
import msgspec
from endivewick_node import sockets
from endivewick_node.conf import split_address

TOKEN_HEADER = "endivewick-token"


class Reply(NamedTuple):
    """A whole answer; ``token`` is the session token that came with it."""

    status: int
    body: dict[str, Any]
    token: str


class ConnectionLost(Exception):
    """The connection ended before a whole answer arrived."""


@dataclass(slots=True)
class HttpClient:
    """One connection to ``address``, opened when first used."""

    address: str
    stream: socket.socket | None = None
    parser: Any = None
    token: str = ""
    body: bytearray = field(default_factory=bytearray)
    complete: bool = False

    def on_message_begin(self) -> None:
        """Start an answer."""
        self.token = ""
        self.body = bytearray()
        self.complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        if name == TOKEN_HEADER.encode():
            self.token = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Note that the answer is whole."""
        self.complete = True

    async def call(
        self, method: str, path: str, body: object = None, token: str | None = None
    ) -> Reply:
        """Send one request and return its answer; raise ConnectionLost without one."""
        payload = b"" if body is None else msgspec.json.encode(body)
        head = f"{method} {path} HTTP/1.1\r\nhost: {self.address}\r\n"
        if token is not None:
            head += f"{TOKEN_HEADER}: {token}\r\n"
        data = f"{head}content-length: {len(payload)}\r\n\r\n".encode("latin-1") + payload
        if self.stream is None:
            await self._open()
        assert self.stream is not None
        self.complete = False
        if not await sockets.write_rest(self.stream, data):
            self.close()
            raise ConnectionLost(self.address)
        while not self.complete:
            await self._read_more()
        return Reply(self.parser.get_status_code(), msgspec.json.decode(self.body), self.token)

    def close(self) -> None:
        """Close the connection; the next call opens another."""
        if self.stream is not None:
            self.stream.close()
        self.stream = None

    async def _open(self) -> None:
        stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sockets.prepare(stream)
        try:
            await sockets.connect(stream, split_address(self.address))
        except OSError as error:
            stream.close()
            raise ConnectionLost(f"{self.address}: {error}") from error
        except BaseException:
            stream.close()
            raise
        self.stream = stream
        self.parser = httptools.HttpResponseParser(self)

    async def _read_more(self) -> None:
        assert self.stream is not None
        data = await sockets.read(self.stream)
        try:
            if not data:
                raise ConnectionLost(self.address)
            self.parser.feed_data(data)
        except (ConnectionLost, httptools.HttpParserError) as error:
            self.close()
            raise ConnectionLost(str(error)) from error
