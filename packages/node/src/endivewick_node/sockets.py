"""Plain and TLS stream sockets without a task per operation.

Reads and writes go to the non-blocking socket at once, and a task waits for the socket only when
the kernel has nothing to give. This keeps a statement's way through the loop short.
"""

import os
import socket
import ssl

import trio

from .conf import split_address
from .exceptions import AddressInUse

READ_BYTES = 65_536
BACKLOG = 4_096


def listen(address: str, setting: str) -> socket.socket:
    """Return a listening socket; raise AddressInUse where it can't be bound."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind(split_address(address))
    except OSError as error:
        listener.close()
        message = f"{setting}: can't bind {address}: {error.strerror}; free it or change it"
        raise AddressInUse(message) from error
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


async def accept(listener: socket.socket) -> socket.socket:
    """Return the next accepted connection."""
    while True:
        try:
            connection, _ = listener.accept()
        except BlockingIOError:
            await trio.lowlevel.wait_readable(listener)
            continue
        except ConnectionError:
            continue
        prepare(connection)
        return connection


def prepare(connection: socket.socket) -> None:
    """Make a connection non-blocking and send small writes at once."""
    connection.setblocking(False)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


async def connect(connection: socket.socket, address: tuple[str, int]) -> None:
    """Connect a non-blocking socket; raise OSError where that fails."""
    try:
        connection.connect(address)
    except BlockingIOError:
        await trio.lowlevel.wait_writable(connection)
    code = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, os.strerror(code))


async def read(connection: socket.socket) -> bytes:
    """Return what arrived, or no bytes at the end of the stream or on a broken one."""
    while True:
        try:
            return connection.recv(READ_BYTES)
        except (BlockingIOError, ssl.SSLWantReadError):
            await trio.lowlevel.wait_readable(connection)
        except ssl.SSLWantWriteError:
            await trio.lowlevel.wait_writable(connection)
        except (ConnectionError, TimeoutError, ssl.SSLError):
            return b""


def write_now(connection: socket.socket, data: bytes) -> int:
    """Write as much as the kernel takes; return the count, or -1 on a broken stream."""
    try:
        return connection.send(data)
    except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
        return 0
    except (OSError, ssl.SSLError):
        return -1


async def write_rest(connection: socket.socket, data: bytes) -> bool:
    """Write all of ``data``; tell whether the stream still works."""
    view = memoryview(data)
    while view:
        sent = write_now(connection, view)  # type: ignore[arg-type]
        if sent < 0:
            return False
        view = view[sent:]
        if not view:
            return True
        try:
            await trio.lowlevel.wait_writable(connection)
        except (OSError, trio.ClosedResourceError):
            return False
    return True


async def start_tls(connection: socket.socket, context: ssl.SSLContext) -> ssl.SSLSocket | None:
    """Return the connection after its TLS handshake, or None where that failed."""
    secured = context.wrap_socket(connection, server_side=True, do_handshake_on_connect=False)
    while True:
        try:
            secured.do_handshake()
            return secured
        except ssl.SSLWantReadError:
            await trio.lowlevel.wait_readable(secured)
        except ssl.SSLWantWriteError:
            await trio.lowlevel.wait_writable(secured)
        except (OSError, ssl.SSLError):
            secured.close()
            return None
