"""A TCP relay that can cut a link without closing it, in one direction or both.

While a direction is cut, its bytes are read and thrown away, so both ends see a connection that is
open and silent; new connections are accepted and stay silent too.
"""

from dataclasses import dataclass, field

import trio
from endivewick_node.conf import split_address

from .standins.database import admin_address


@dataclass(slots=True)
class Relay:
    """One relayed address."""

    listen_address: str
    target_address: str
    cut_to_target: bool = False
    cut_from_target: bool = False
    streams: list[trio.SocketStream] = field(default_factory=list)

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
        """Let bytes pass again; connections that lost bytes are closed."""
        was_cut = self.cut_to_target or self.cut_from_target
        self.cut_to_target = self.cut_from_target = False
        if not was_cut:
            return
        for stream in self.streams:
            stream.socket.close()
        self.streams.clear()

    async def _relay(self, caller: trio.SocketStream) -> None:
        try:
            target = await trio.open_tcp_stream(*split_address(self.target_address))
        except OSError:
            await caller.aclose()
            return
        self.streams += [caller, target]
        async with caller, target, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, caller, target, True, nursery.cancel_scope)
            nursery.start_soon(self._copy, target, caller, False, nursery.cancel_scope)

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        to_target: bool,
        scope: trio.CancelScope,
    ) -> None:
        try:
            async for data in source:
                if not (self.cut_to_target if to_target else self.cut_from_target):
                    await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()
