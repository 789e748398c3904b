"""Messages between endivewick processes over zmq.

Each process binds one ROUTER for what it receives, and connects one DEALER per process that it
sends to. A message has two parts, the sender's address and the frame: zmq's own identities change
when a peer connects again. A message to a process that can't be reached is dropped and counted:
every protocol here repeats what matters.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

import trio
import zmq

from .exceptions import AddressInUse
from .logs import log

if TYPE_CHECKING:
    # Loading pydantic takes a fifth of a gateway's start, and gateways don't need it.
    from .conf import ClusterSection

SEND_LIMIT = 2_000
RECONNECT_MS = 100
RECONNECT_LIMIT_MS = 1_000
HEARTBEAT_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 3_000
FRAMES_PER_TURN = 200


class Transport:
    """The zmq sockets of one process; use them from the loop's thread only."""

    def __init__(self, section: "ClusterSection", dropped: Callable[[], None]) -> None:
        """Bind the ROUTER; raise AddressInUse where the address can't be bound."""
        self._context = zmq.Context()
        self._address = section["address"]
        self._sender = self._address.encode()
        self._routes = section.get("routes", {})
        self._dropped = dropped
        self._dealers: dict[str, zmq.Socket[bytes]] = {}
        self._router: zmq.Socket[bytes] = self._context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.LINGER, 0)
        self._router.setsockopt(zmq.RCVHWM, SEND_LIMIT)
        try:
            self._router.bind(f"tcp://{self._address}")
        except zmq.ZMQError as error:
            self._context.destroy(linger=0)
            message = f"cluster.address: can't bind {self._address}: {error}; free it or change it"
            raise AddressInUse(message) from error

    def connect(self, address: str) -> "zmq.Socket[bytes] | None":
        """Begin to connect to ``address`` unless that was done; return None where it can't be."""
        dealer = self._dealers.get(address)
        if dealer is not None:
            return dealer
        try:
            return self._connect(address)
        except zmq.ZMQError as error:
            log("warning", "peer_unconnected", f"{address}: {error}")
            return None

    def send(self, address: str, frame: bytes) -> bool:
        """Queue a frame for the process at ``address``; tell whether it was taken.

        A frame is taken only while that process is connected.
        """
        dealer = self.connect(address)
        if dealer is None:
            self._dropped()
            return False
        try:
            dealer.send_multipart((self._sender, frame), zmq.NOBLOCK)
        except zmq.Again:
            self._dropped()
            return False
        return True

    async def receive(self, handle: Callable[[str, bytes], None]) -> None:
        """Pass every received frame with its sender's address to ``handle``."""
        descriptor = int(self._router.getsockopt(zmq.FD))
        while True:
            taken = self._drain(handle)
            if taken == FRAMES_PER_TURN:
                await trio.lowlevel.checkpoint()
                continue
            if int(self._router.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
                continue
            await trio.lowlevel.wait_readable(descriptor)

    def close(self) -> None:
        """Close all sockets, dropping what was not sent."""
        self._context.destroy(linger=0)

    def _drain(self, handle: Callable[[str, bytes], None]) -> int:
        for taken in range(FRAMES_PER_TURN):
            try:
                _, sender, frame = self._router.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return taken
            except ValueError:
                self._dropped()
                continue
            handle(sender.decode(errors="replace"), frame)
        return FRAMES_PER_TURN

    def _connect(self, address: str) -> "zmq.Socket[bytes]":
        dealer: zmq.Socket[bytes] = self._context.socket(zmq.DEALER)
        dealer.setsockopt(zmq.LINGER, 0)
        dealer.setsockopt(zmq.SNDHWM, SEND_LIMIT)
        dealer.setsockopt(zmq.IMMEDIATE, 1)
        dealer.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        dealer.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_LIMIT_MS)
        dealer.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        dealer.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        try:
            dealer.connect(f"tcp://{self._routes.get(address, address)}")
        except zmq.ZMQError:
            dealer.close()
            raise
        self._dealers[address] = dealer
        return dealer
