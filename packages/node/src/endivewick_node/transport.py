"""Messages between endivewick processes over zmq.

Each process binds one ROUTER socket to receive, and connects one DEALER socket per process that it
sends to. A message has two parts, the sender's address and the frame, because zmq's own identities
change when a peer reconnects. A message to an unreachable process is dropped and counted; every
protocol retries the messages that must arrive.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

import trio
import zmq

from .exceptions import AddressInUse
from .logs import log

if TYPE_CHECKING:
    # Importing pydantic takes a fifth of a gateway's start-up time, and gateways don't use it.
    from .conf import ClusterSection

QUEUED_FRAMES_LIMIT = 2_000
# Short, since after a loss of power every process waits for the others to listen.
RECONNECT_INTERVAL_MS = 50
RECONNECT_INTERVAL_LIMIT_MS = 200
# A VM without power doesn't answer, and the kernel would repeat the attempt only after seconds.
CONNECT_TIMEOUT_MS = 1_000
HEARTBEAT_INTERVAL_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 3_000
FRAMES_PER_TURN = 200
# The largest message is a batch of entries of the log, some of them with a compressed configuration
# of up to 1 MiB. zmq closes the connection of a peer that announces a larger one.
MESSAGE_LIMIT_BYTES = 64 * 1024 * 1024


class Transport:
    """The zmq sockets of one process, for use from the event loop's thread only."""

    def __init__(self, section: "ClusterSection", on_dropped: Callable[[], None]) -> None:
        """Bind the ROUTER socket; raise AddressInUse if the address can't be bound."""
        self._context = zmq.Context()
        self._address = section["address"]
        self._sender = self._address.encode()
        self._routes = section.get("routes", {})
        self._on_dropped = on_dropped
        self._dealers: dict[str, zmq.Socket[bytes]] = {}
        self._is_stopped = False
        self._router: zmq.Socket[bytes] = self._context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.LINGER, 0)
        self._router.setsockopt(zmq.RCVHWM, QUEUED_FRAMES_LIMIT)
        self._router.setsockopt(zmq.MAXMSGSIZE, MESSAGE_LIMIT_BYTES)
        try:
            self._router.bind(f"tcp://{self._address}")
        except zmq.ZMQError as error:
            self._context.destroy(linger=0)
            message = f"cluster.address: can't bind {self._address}: {error}; free it or change it"
            raise AddressInUse(message) from error

    def connect(self, address: str) -> "zmq.Socket[bytes] | None":
        """Return the socket for ``address``, and start connecting it if it is new.

        Return None if zmq refuses to connect to the address.
        """
        dealer = self._dealers.get(address)
        if dealer is not None:
            return dealer
        try:
            return self._connect(address)
        except zmq.ZMQError as error:
            log("warning", "peer_unconnected", f"can't connect to {address}: {error}")
            return None

    def send(self, address: str, frame: bytes) -> bool:
        """Queue a frame for the process at ``address``; return whether it was queued.

        A frame is queued only while that process is connected.
        """
        dealer = self.connect(address)
        if dealer is None:
            self._on_dropped()
            return False
        try:
            dealer.send_multipart((self._sender, frame), zmq.NOBLOCK)
        except zmq.Again:
            self._on_dropped()
            return False
        return True

    async def receive(self, handle: Callable[[str, bytes], None]) -> None:
        """Pass each received frame and its sender's address to ``handle``.

        It ends when it is cancelled or stopped.
        """
        descriptor = int(self._router.getsockopt(zmq.FD))
        while not self._is_stopped:
            received = self._receive_available(handle)
            if received == FRAMES_PER_TURN:
                await trio.lowlevel.checkpoint()
                continue
            if int(self._router.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
                continue
            await trio.lowlevel.wait_readable(descriptor)

    def stop(self) -> None:
        """Receive nothing any more; frames can still be sent."""
        self._is_stopped = True

    def close(self, linger_ms: int = 0) -> None:
        """Close all sockets; wait up to ``linger_ms`` for frames that are not sent yet.

        It waits only for processes that are connected, since nothing is queued for others.
        """
        self._context.destroy(linger=linger_ms)

    def _receive_available(self, handle: Callable[[str, bytes], None]) -> int:
        for received in range(FRAMES_PER_TURN):
            if self._is_stopped:
                return received
            try:
                _, sender, frame = self._router.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return received
            except ValueError:
                self._on_dropped()
                continue
            handle(sender.decode(errors="replace"), frame)
        return FRAMES_PER_TURN

    def _connect(self, address: str) -> "zmq.Socket[bytes]":
        dealer: zmq.Socket[bytes] = self._context.socket(zmq.DEALER)
        dealer.setsockopt(zmq.LINGER, 0)
        dealer.setsockopt(zmq.SNDHWM, QUEUED_FRAMES_LIMIT)
        dealer.setsockopt(zmq.IMMEDIATE, 1)
        dealer.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        dealer.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_INTERVAL_LIMIT_MS)
        dealer.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        dealer.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        dealer.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        try:
            dealer.connect(f"tcp://{self._routes.get(address, address)}")
        except zmq.ZMQError:
            dealer.close()
            raise
        self._dealers[address] = dealer
        return dealer
