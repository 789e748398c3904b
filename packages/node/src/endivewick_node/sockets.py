"""Stream sockets without a task per connection.

One epoll descriptor holds all sockets of the process, and one task of the loop waits for it; a
socket's callback then reads and writes without blocking. docs/decisions/0003-sockets.md gives the
figures against a task per connection.
"""

import errno
import select
import socket
import ssl
from collections.abc import Callable

import trio

from .addresses import split_address
from .exceptions import AddressInUse

READ_BYTES = 65_536
BACKLOG = 4_096
EVENTS_PER_TURN = 256
KEEPALIVE_PROBES = 3
READABLE = select.EPOLLIN | select.EPOLLRDHUP
WRITABLE = select.EPOLLOUT

EventCallback = Callable[[int], None]


class Poller:
    """The sockets of one process and their callbacks."""

    def __init__(self) -> None:
        """Create the epoll descriptor."""
        self._epoll = select.epoll()
        self._callbacks: dict[int, EventCallback] = {}

    def add(self, stream: socket.socket, mask: int, callback: EventCallback) -> None:
        """Call ``callback`` with the events of a socket, as long as ``mask`` has them."""
        self._callbacks[stream.fileno()] = callback
        self._epoll.register(stream.fileno(), mask)

    def change(self, stream: socket.socket, mask: int) -> None:
        """Wait for other events of a socket."""
        self._epoll.modify(stream.fileno(), mask)

    def close(self, stream: socket.socket) -> None:
        """Forget and close a socket; closing it again does nothing."""
        descriptor = stream.fileno()
        if descriptor < 0:
            return
        if self._callbacks.pop(descriptor, None) is not None:
            self._epoll.unregister(descriptor)
        stream.close()

    async def run(self) -> None:
        """Call the callbacks until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(self._epoll.fileno())
            for descriptor, events in self._epoll.poll(0, EVENTS_PER_TURN):
                callback = self._callbacks.get(descriptor)
                if callback is not None:
                    callback(events)


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


def accept_now(listener: socket.socket) -> socket.socket | None:
    """Return the next accepted connection, or None where none waits."""
    while True:
        try:
            connection, _ = listener.accept()
        except BlockingIOError:
            return None
        except ConnectionError:
            continue
        except OSError:
            return None
        prepare(connection)
        return connection


def prepare(connection: socket.socket) -> None:
    """Make a connection non-blocking and send small writes at once."""
    connection.setblocking(False)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def detect_silence(connection: socket.socket, limit_ms: int) -> None:
    """End a connection whose peer has acknowledged nothing for ``limit_ms``, idle or not.

    Something between the ends may lose track of a connection without a reset.
    """
    interval_s = max(1, limit_ms // (1000 * (KEEPALIVE_PROBES + 1)))
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, interval_s)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)


def start_connect(address: str) -> socket.socket:
    """Return a socket that is connecting; it becomes writable at the end, see ``fault_of``."""
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    prepare(connection)
    connection.connect_ex(split_address(address))
    return connection


def fault_of(connection: socket.socket) -> str:
    """Return why a connection could not be opened, or an empty text."""
    code = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return errno.errorcode.get(code, str(code)) if code else ""


def read_now(connection: socket.socket) -> bytes | None:
    """Return what arrived, None where nothing did, or no bytes at the end of the stream."""
    try:
        return connection.recv(READ_BYTES)
    except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
        return None
    except (OSError, ssl.SSLError):
        return b""


def write_now(connection: socket.socket, data: bytes | memoryview) -> int:
    """Write as much as the kernel takes; return the count, or -1 on a broken stream."""
    try:
        return connection.send(data)
    except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
        return 0
    except (OSError, ssl.SSLError):
        return -1


class Writer:
    """Writes to one socket at once, and the rest as the socket takes it."""

    __slots__ = ("_poller", "_stream", "_unsent")

    def __init__(self, poller: Poller, stream: socket.socket) -> None:
        """Write to ``stream``, which the poller holds."""
        self._poller = poller
        self._stream = stream
        self._unsent = b""

    @property
    def is_busy(self) -> bool:
        """Tell whether bytes wait for the socket."""
        return bool(self._unsent)

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes wait for the socket."""
        return len(self._unsent)

    def write(self, data: bytes) -> bool:
        """Write ``data``; tell whether the stream still works."""
        if self._unsent:
            self._unsent += data
            return True
        sent = write_now(self._stream, data)
        if sent < 0:
            return False
        if sent < len(data):
            self._unsent = data[sent:]
            self._poller.change(self._stream, READABLE | WRITABLE)
        return True

    def continue_writing(self) -> bool:
        """Write more of the rest when the socket is writable; tell whether it still works."""
        sent = write_now(self._stream, self._unsent)
        if sent < 0:
            return False
        self._unsent = self._unsent[sent:]
        if not self._unsent:
            self._poller.change(self._stream, READABLE)
        return True
