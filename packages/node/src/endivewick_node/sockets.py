"""Non-blocking stream sockets without a task per connection.

One epoll descriptor watches all sockets of the process, and one task waits for it and calls the
callbacks of the sockets that are ready. docs/decisions/0003-sockets.md compares its cost with
that of a task per connection.
"""

import errno
import fcntl
import select
import socket
import ssl
import struct
import sys
import termios
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
BROKEN = select.EPOLLHUP | select.EPOLLERR
EXHAUSTED_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

# The start of the kernel's tcp_info. For a listening socket, its fifth number is the length of the
# queue of connections that are not accepted.
UNACCEPTED = struct.Struct("=8x16xI")

EventCallback = Callable[[int], None]


class Poller:
    """Watches the sockets of one process and calls their callbacks."""

    def __init__(self) -> None:
        """Create the epoll descriptor."""
        self._epoll = select.epoll()
        self._callbacks: dict[int, EventCallback] = {}
        self._is_stopped = False

    def add(self, stream: socket.socket, mask: int, callback: EventCallback) -> None:
        """Call ``callback`` with the events of a socket that are in ``mask``."""
        self._callbacks[stream.fileno()] = callback
        self._epoll.register(stream.fileno(), mask)

    def change(self, stream: socket.socket, mask: int) -> None:
        """Replace the events to wait for on a socket."""
        self._epoll.modify(stream.fileno(), mask)

    def close(self, stream: socket.socket) -> None:
        """Remove and close a socket; do nothing if it is closed already."""
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
            self._handle_ready()

    def handle_all_ready(self) -> None:
        """Call the callbacks of all sockets that are ready now."""
        while self._handle_ready() == EVENTS_PER_TURN:
            pass

    def stop(self) -> None:
        """Call no callback any more, so that nothing is accepted or read."""
        self._is_stopped = True

    def _handle_ready(self) -> int:
        if self._is_stopped:
            return 0
        ready = self._epoll.poll(0, EVENTS_PER_TURN)
        for descriptor, events in ready:
            callback = self._callbacks.get(descriptor)
            if callback is not None:
                callback(events)
        return len(ready)


def listen(address: str, setting: str) -> socket.socket:
    """Return a listening socket; raise AddressInUse if ``address`` can't be bound."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind(split_address(address))
    except OSError as error:
        listener.close()
        message = (
            f"{setting}: can't bind {address}: {error.strerror}; free it or change the setting"
        )
        raise AddressInUse(message) from error
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def accept_nonblocking(listener: socket.socket, poller: Poller) -> socket.socket | None:
    """Accept and return the next pending connection, or return None if there is none.

    Without a free descriptor or memory the poller stops to report the listening socket, which
    would stay readable; ``resume_accept`` undoes that.
    """
    while True:
        try:
            connection, _ = listener.accept()
        except BlockingIOError:
            return None
        except ConnectionError:
            continue
        except OSError as error:
            if error.errno in EXHAUSTED_ERRORS:
                poller.change(listener, 0)
            return None
        configure(connection)
        return connection


def resume_accept(listener: socket.socket, poller: Poller) -> None:
    """Report pending connections again."""
    poller.change(listener, READABLE)


def configure(connection: socket.socket) -> None:
    """Make a connection non-blocking and disable Nagle's algorithm."""
    connection.setblocking(False)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def set_ack_timeout(connection: socket.socket, timeout_ms: int) -> None:
    """Let the kernel close a connection whose peer acknowledges nothing for ``timeout_ms``.

    Keepalive probes cover idle connections. A device on the network path may drop the state of a
    connection without sending a reset to either end.
    """
    interval_s = max(1, timeout_ms // (1000 * (KEEPALIVE_PROBES + 1)))
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, interval_s)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def start_connect(address: str) -> socket.socket:
    """Return a socket that is connecting.

    It becomes writable when the attempt ends; ``connect_error`` returns the outcome.
    """
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    configure(connection)
    connection.connect_ex(split_address(address))
    return connection


def connect_error(connection: socket.socket) -> str:
    """Return the error name of a failed connection attempt, or an empty string."""
    code = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return errno.errorcode.get(code, str(code)) if code else ""


def read_nonblocking(connection: socket.socket) -> bytes | None:
    """Return the received bytes, None if there are none yet, or b"" at the end of the stream."""
    try:
        return connection.recv(READ_BYTES)
    except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
        return None
    except (OSError, ssl.SSLError):
        return b""


def write_nonblocking(connection: socket.socket, data: bytes | memoryview) -> int:
    """Write as many bytes as the kernel accepts; return their count, or -1 on an error."""
    try:
        return connection.send(data)
    except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
        return 0
    except (OSError, ssl.SSLError):
        return -1


def count_unread(connection: socket.socket) -> int:
    """Return how many received bytes the kernel holds for a connection; 0 on an error."""
    return _ask_kernel(connection, termios.FIONREAD)


def count_unconfirmed(connection: socket.socket) -> int:
    """Return how many written bytes the peer has not confirmed yet; 0 on an error."""
    return _ask_kernel(connection, termios.TIOCOUTQ)


def count_unaccepted(listener: socket.socket) -> int:
    """Return how many connections wait to be accepted; 0 on an error."""
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, UNACCEPTED.size)
        return int(UNACCEPTED.unpack(info)[0])
    except (OSError, struct.error):
        return 0


def _ask_kernel(connection: socket.socket, request: int) -> int:
    try:
        answer = fcntl.ioctl(connection.fileno(), request, bytes(4))
    except (OSError, ValueError):
        return 0
    return int.from_bytes(answer, sys.byteorder)


class Writer:
    """Writes to one socket; buffers what it doesn't accept until it is writable.

    It also sets which events the poller reports: reading can be paused.
    """

    __slots__ = ("_poller", "_stream", "_unsent", "_is_reading", "_is_woken")

    def __init__(self, poller: Poller, stream: socket.socket) -> None:
        """Write to ``stream``, which ``poller`` watches."""
        self._poller = poller
        self._stream = stream
        self._unsent = bytearray()
        self._is_reading = True
        self._is_woken = False

    @property
    def has_unsent(self) -> bool:
        """Return whether bytes are buffered."""
        return bool(self._unsent)

    @property
    def unsent_bytes(self) -> int:
        """Return the number of buffered bytes."""
        return len(self._unsent)

    @property
    def is_reading(self) -> bool:
        """Return whether the poller reports received bytes."""
        return self._is_reading

    def set_reading(self, is_reading: bool) -> None:
        """Pause or resume the reports of received bytes; errors are always reported."""
        if is_reading != self._is_reading:
            self._is_reading = is_reading
            self._change_mask()

    def wake(self) -> None:
        """Let the poller report the socket as writable in its next turn, until ``end_wake``."""
        self._is_woken = True
        self._change_mask()

    def end_wake(self) -> bool:
        """Undo ``wake``; return whether it was in effect."""
        if not self._is_woken:
            return False
        self._is_woken = False
        self._change_mask()
        return True

    def write(self, data: bytes) -> bool:
        """Write or buffer ``data``; return False if the stream is broken."""
        if self._unsent:
            self._unsent += data
            return True
        sent = write_nonblocking(self._stream, data)
        if sent < 0:
            return False
        if sent < len(data):
            self._unsent += memoryview(data)[sent:]
            self._change_mask()
        return True

    def write_unsent(self) -> bool:
        """Write buffered bytes to a writable socket; return False if the stream is broken."""
        with memoryview(self._unsent) as unsent:
            sent = write_nonblocking(self._stream, unsent)
        if sent < 0:
            return False
        # Removing the head of a bytearray doesn't copy the rest.
        del self._unsent[:sent]
        if not self._unsent:
            self._change_mask()
        return True

    def _change_mask(self) -> None:
        mask = READABLE if self._is_reading else 0
        self._poller.change(
            self._stream, mask | (WRITABLE if self._unsent or self._is_woken else 0)
        )
