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
    """Collects what httptools reads; ``is_whole`` once the response has ended."""

    def __init__(self) -> None:
        """Read one response."""
        self.is_whole = False
        self.parser = httptools.HttpResponseParser(self)

    def on_message_complete(self) -> None:
        """Note the end of the response."""
        self.is_whole = True


async def post_json(
    address: str, path: str, headers: dict[str, str], body: object, timeout_ms: int
) -> Result[int, Failure]:
    """Post a JSON body and return the status; a failure says that it may have been carried out."""
    data = msgspec.json.encode(body)
    lines = [f"POST {path} HTTP/1.1", f"host: {address}", "content-type: application/json"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"content-length: {len(data)}", "connection: close", "", ""]
    request = "\r\n".join(lines).encode("latin-1") + data
    status = 0
    with trio.move_on_after(timeout_ms / 1000):
        try:
            status = await _exchange(address, request)
        except (OSError, trio.BrokenResourceError, httptools.HttpParserError) as error:
            return Failed(Failure(NO_ANSWER, f"{address}{path}: {error}"))
    if not status:
        return Failed(Failure(NO_ANSWER, f"{address}{path}: no answer within {timeout_ms} ms"))
    return Success(status)


async def _exchange(address: str, request: bytes) -> int:
    host, port = split_address(address)
    reader = _ResponseReader()
    async with await trio.open_tcp_stream(host, port) as stream:
        await stream.send_all(request)
        while not reader.is_whole:
            data = await stream.receive_some(READ_BYTES)
            if not data:
                return 0
            reader.parser.feed_data(data)
    return int(reader.parser.get_status_code())
