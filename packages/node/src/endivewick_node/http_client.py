"""A small HTTP/1.1 client for single calls with a time limit."""

import httptools
import msgspec
import trio
from endivewick_core.exceptions import NO_ANSWER, Failure
from returns.result import Failure as Failed
from returns.result import Result, Success

from .addresses import split_address

READ_BYTES = 65_536


class _ResponseReader:
    """Parses a response; ``is_complete`` is set once it has been received completely."""

    def __init__(self) -> None:
        """Create a parser for one response."""
        self.is_complete = False
        self.parser = httptools.HttpResponseParser(self)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        self.is_complete = True


async def post_json(
    address: str, path: str, headers: dict[str, str], body: object, timeout_ms: int
) -> Result[int, Failure]:
    """Post a JSON body and return the response status.

    A failure leaves it open whether the request was carried out.
    """
    data = msgspec.json.encode(body)
    lines = [f"POST {path} HTTP/1.1", f"host: {address}", "content-type: application/json"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"content-length: {len(data)}", "connection: close", "", ""]
    request = "\r\n".join(lines).encode("latin-1") + data
    status = 0
    with trio.move_on_after(timeout_ms / 1000):
        try:
            status = await _request_status(address, request)
        except (OSError, trio.BrokenResourceError, httptools.HttpParserError) as error:
            return Failed(Failure(NO_ANSWER, f"{address}{path}: {error}"))
    if not status:
        return Failed(
            Failure(NO_ANSWER, f"{address}{path}: no complete response within {timeout_ms} ms")
        )
    return Success(status)


async def _request_status(address: str, request: bytes) -> int:
    host, port = split_address(address)
    reader = _ResponseReader()
    async with await trio.open_tcp_stream(host, port) as stream:
        await stream.send_all(request)
        while not reader.is_complete:
            data = await stream.receive_some(READ_BYTES)
            if not data:
                return 0
            reader.parser.feed_data(data)
    return int(reader.parser.get_status_code())
