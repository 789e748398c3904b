"""A TCP relay that can delay, reset, cut or silence what passes through it.

While a direction is cut, its bytes are read and thrown away, so both ends see a connection that is
open and silent; new connections are accepted and stay silent too. A silenced connection stays so
for good, while new ones work.
"""

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import trio
from endivewick_node.addresses import split_address

from .standins.database import admin_address

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with no time: a close sends a reset


@dataclass(slots=True, eq=False)
class RelayedConnection:
    """One connection through a relay."""

    caller: trio.SocketStream
    target: trio.SocketStream
    is_silent: bool = False

    def close(self) -> None:
        """Close both ends."""
        for stream in (self.caller, self.target):
            stream.socket.close()


@dataclass(slots=True)
class Relay:
    """One relayed address.

    ``is_cut_caller`` returns whether the caller with a local port is cut off.
    """

    listen_address: str
    target_address: str
    cut_to_target: bool = False
    cut_from_target: bool = False
    is_cut_caller: Callable[[int], bool] | None = None
    delay_ms: float = 0.0
    connections: list[RelayedConnection] = field(default_factory=list)

    async def serve(self) -> None:
        """Relay connections until cancelled."""
        host, port = split_address(self.listen_address)
        await trio.serve_tcp(self._relay, port, host=host)

    def replication(self) -> "Relay":
        """Return the relay of the same upstream's replication, which a cut leaves alone."""
        return Relay(admin_address(self.listen_address), admin_address(self.target_address))

    def cut(self, to_target: bool = True, from_target: bool = True) -> None:
        """Cut the link."""
        self.cut_to_target, self.cut_from_target = to_target, from_target

    def heal(self) -> None:
        """Let bytes pass again, at once; connections that lost bytes are closed."""
        was_cut = self.cut_to_target or self.cut_from_target
        self.cut_to_target = self.cut_from_target = False
        self.delay_ms = 0.0
        if not was_cut:
            return
        for connection in self.connections:
            connection.close()
        self.connections.clear()

    def cut_callers(self, is_cut_caller: Callable[[int], bool]) -> None:
        """Cut off the callers whose local ports the function finds, also later ones."""
        self.is_cut_caller = is_cut_caller
        for connection in self.connections:
            if is_cut_caller(_caller_port(connection)):
                connection.is_silent = True

    def heal_callers(self) -> None:
        """Let every caller's bytes pass again; connections that lost bytes are closed."""
        self.is_cut_caller = None
        for connection in self.connections:
            if connection.is_silent:
                connection.close()

    def silence(self, share: float, random: Random) -> None:
        """Let a share of the open connections go silent for good."""
        for connection in self.connections:
            connection.is_silent = connection.is_silent or random.random() < share

    def reset(self, share: float, random: Random) -> None:
        """Reset a share of the open connections."""
        for connection in list(self.connections):
            if random.random() >= share:
                continue
            for stream in (connection.caller, connection.target):
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            connection.close()
            self.connections.remove(connection)

    async def _relay(self, caller: trio.SocketStream) -> None:
        try:
            target = await trio.open_tcp_stream(*split_address(self.target_address))
        except OSError:
            await caller.aclose()
            return
        connection = RelayedConnection(caller, target)
        if self.is_cut_caller is not None:
            connection.is_silent = self.is_cut_caller(_caller_port(connection))
        self.connections.append(connection)
        try:
            async with caller, target, trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, connection, True, nursery.cancel_scope)
                nursery.start_soon(self._copy, connection, False, nursery.cancel_scope)
        finally:
            if connection in self.connections:
                self.connections.remove(connection)

    async def _copy(
        self, connection: RelayedConnection, to_target: bool, scope: trio.CancelScope
    ) -> None:
        source, sink = connection.caller, connection.target
        if not to_target:
            source, sink = sink, source
        try:
            async for data in source:
                is_cut = self.cut_to_target if to_target else self.cut_from_target
                if is_cut or connection.is_silent:
                    continue
                if self.delay_ms:
                    await trio.sleep(self.delay_ms / 1000)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()


def _caller_port(connection: RelayedConnection) -> int:
    """Return the caller's port, or 0 for a connection that the caller has closed."""
    try:
        return int(connection.caller.socket.getpeername()[1])
    except OSError:
        return 0
