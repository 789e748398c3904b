"""A small HTTP/1.1 client with JSON bodies, for load, stand-ins and tests."""

import socket
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import httptools
import msgspec
import trio
from endivewick_node import sockets

TOKEN_HEADER = "endivewick-token"


class Reply(NamedTuple):
    """A whole answer, the session token that came with it, and where a redirect leads."""

    status: int
    body: dict[str, Any]
    token: str
    location: str = ""


class ConnectionLost(Exception):
    """The connection ended before a whole answer arrived."""


@dataclass(slots=True)
class HttpClient:
    """One connection to ``address``, opened when first used."""

    address: str
    stream: socket.socket | None = None
    parser: Any = None
    token: str = ""
    location: str = ""
    body: bytearray = field(default_factory=bytearray)
    complete: bool = False

    def on_message_begin(self) -> None:
        """Start an answer."""
        self.token = self.location = ""
        self.body = bytearray()
        self.complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        if name == TOKEN_HEADER.encode():
            self.token = value.decode("latin-1")
        if name.lower() == b"location":
            self.location = value.decode("latin-1")

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
        try:
            await self._write(data)
            while not self.complete:
                await self._read_more()
        except BaseException:
            self.close()
            raise
        decoded: dict[str, Any] = msgspec.json.decode(self.body) if self.body else {}
        return Reply(self.parser.get_status_code(), decoded, self.token, self.location)

    def close(self) -> None:
        """Close the connection; the next call opens another."""
        if self.stream is not None:
            self.stream.close()
        self.stream = None

    async def _open(self) -> None:
        stream = sockets.start_connect(self.address)
        try:
            await trio.lowlevel.wait_writable(stream)
            fault = sockets.connect_error(stream)
            if fault:
                raise ConnectionLost(f"{self.address}: {fault}")
        except BaseException:
            stream.close()
            raise
        self.stream = stream
        self.parser = httptools.HttpResponseParser(self)

    async def _write(self, data: bytes) -> None:
        assert self.stream is not None
        while data:
            sent = sockets.write_nonblocking(self.stream, data)
            if sent < 0:
                raise ConnectionLost(self.address)
            data = data[sent:]
            if data:
                await trio.lowlevel.wait_writable(self.stream)

    async def _read_more(self) -> None:
        assert self.stream is not None
        await trio.lowlevel.wait_readable(self.stream)
        data = sockets.read_nonblocking(self.stream)
        if data is None:
            return
        if not data:
            raise ConnectionLost(self.address)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise ConnectionLost(str(error)) from error
