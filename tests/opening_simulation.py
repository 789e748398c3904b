"""The gateway simulation with scarce connections: control processes, handshakes, a mass restart.

A control process of each data centre answers its gateways and shares with the others each second.
An upstream refuses connections above its limit, needs a slot for each handshake, and counts the
connections of gateways that lost power until it notices that their far ends are dark.
"""

from collections import Counter, deque
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from endivewick_bench.soak.execution import CallerConnection
from endivewick_core.control import directory
from endivewick_core.control.state import ControlSettings, ControlState, Membership, Role
from endivewick_core.gateway import effects as fx
from endivewick_core.gateway.state import GatewaySettings, GatewayState
from endivewick_core.messages import (
    ControlPeer,
    DirectoryAnswer,
    DirectoryQuestion,
    DirectoryShare,
    ForwardedStatement,
    Member,
)
from endivewick_core.statements import Fault
from endivewick_core.upstream_links import ConnectionOpened
from gateway_driver import CONTROL, configuration
from gateway_simulation import RECONNECT_MS, TICK_MS, Client, Link, Load, Node, Simulation

CENTRES = {f"dc-{name}": "north" if name in "abc" else "south" for name in "abcdef"}
HANDSHAKE_MS = 12.0
DARK_MS = 3_000.0  # how long an upstream counts the connections of a gateway without power


@dataclass
class Openings:
    """What was opened, refused and served, by 100 ms of simulated time."""

    opened: Counter[int] = field(default_factory=Counter)
    refused: Counter[int] = field(default_factory=Counter)
    good: Counter[int] = field(default_factory=Counter)
    late: Counter[int] = field(default_factory=Counter)
    failed: Counter[int] = field(default_factory=Counter)
    unsent_waits_ms: list[int] = field(default_factory=list)
    forwarded: int = 0


def total(counts: Counter[int], from_ms: float, to_ms: float) -> int:
    """Return the sum of the counts from ``from_ms`` to ``to_ms``."""
    return sum(count for tenth, count in counts.items() if from_ms <= tenth * 100 < to_ms)


class OpeningSimulation(Simulation):
    """One run with scarce connections."""

    def __init__(
        self,
        seed: int,
        load: Load,
        gateways: int = 36,
        clients: int = 250,
        coordinates: bool = True,
        settings: dict[str, Any] | None = None,
    ):
        self.coordinates = coordinates
        self.changes = settings or {}
        self.openings = Openings()
        self.dark: dict[str, list[float]] = {}
        self.accepted: set[int] = set()
        self.controls = {name: self._new_control(name) for name in CENTRES}
        super().__init__(seed, gateways, clients, load=load)
        self.configuration = configuration(limit=load.connection_limit)
        self._every(TICK_MS, self._share)

    def _new_control(self, centre: str) -> ControlState:
        address = f"{centre}:7000"
        peer = ControlPeer(address, f"{centre}:80", centre)
        settings = ControlSettings({}, {}, me=peer, coordinates_connections=self.coordinates)
        state = ControlState(settings, Member(address, address, address), Role.FOLLOWER)
        voters = [Member(item, item, item) for item in (f"{name}:7000" for name in CENTRES)]
        state.snapshot_membership = Membership(voters, [])
        return state

    def _new_state(self, address: str) -> GatewayState:
        settings = GatewaySettings(
            address,
            f"b{next(self.serial)}",
            self._centre(address),
            CENTRES,
            [CONTROL],
            open_timeout_ms=400,
            coordinates_connections=self.coordinates,
        )
        return GatewayState(settings._replace(**self.changes))

    def _centre(self, address: str) -> str:
        return list(CENTRES)[int(address.split(".")[3].split(":")[0]) % len(CENTRES)]

    def _share(self) -> None:
        for state in self.controls.values():
            for effect in directory.check_sharing(state, int(self.now_ms)):
                self.schedule(20.0, partial(self._receive_share, effect.address, effect.message))

    def _receive_share(self, address: str, share: DirectoryShare) -> None:
        state = self.controls[address.partition(":")[0]]
        for effect in directory.handle_share(state, int(self.now_ms), share):
            self.schedule(20.0, partial(self._receive_share, effect.address, effect.message))

    def _answer_poll(self, address: str, question: DirectoryQuestion) -> None:
        state = self.controls[self._centre(address)]
        effects = directory.handle_directory_request(state, int(self.now_ms), question)
        self.known = next(item.message for item in effects if hasattr(item, "message"))
        super()._answer_poll(address, question)

    def _deliver_now(self, address: str, event: Any) -> None:
        super()._deliver_now(address, event)

    def schedule(self, delay_ms: float, action: Any) -> None:
        """Complete the answers of control with what the control process knows of the gateways."""
        if isinstance(action, partial) and action.func == self._deliver_now:
            address, event = action.args
            if isinstance(event.message, DirectoryAnswer):
                answer = event.message._replace(
                    gateways=self.known.gateways,
                    contended=self.known.contended,
                    neighbours=self.known.neighbours,
                    demand=self.known.demand,
                    controls=[
                        ControlPeer(CONTROL, "10.0.0.1:80", self._centre(address)),
                        *(ControlPeer(f"{item}:7000", "", item) for item in list(CENTRES)[1:]),
                    ],
                )
                action = partial(self._deliver_now, address, event._replace(message=answer))
        super().schedule(delay_ms, action)

    def _carry_out(self, address: str, effect: Any) -> None:
        tenth = int(self.now_ms // 100)
        if isinstance(effect, fx.StatementServed):
            is_good = effect.outcome == "ok" and effect.took_ms <= 600
            kind = "good" if is_good else "late" if effect.outcome == "ok" else "failed"
            if effect.outcome not in ("unknown_statement", "bad_request"):
                getattr(self.openings, kind)[tenth] += 1
        if isinstance(effect, fx.Send) and isinstance(effect.message, ForwardedStatement):
            self.openings.forwarded += 1
        if isinstance(effect, fx.LogEvent) and effect.event == "failed":
            if effect.inputs["sent_ms_ago"] is None:
                self.openings.unsent_waits_ms.append(int(str(effect.inputs["waited_ms"])))
        super()._carry_out(address, effect)

    def _open_link(self, address: str, effect: Any) -> None:
        self.openings.opened[int(self.now_ms // 100)] += 1
        link = Link(
            address,
            effect.connection,
            effect.upstream,
            CallerConnection(next(self.execution.numbers)),
        )
        self.links[(address, effect.connection)] = link
        self.schedule(3.0, lambda: self._accept(link))

    def _accept(self, link: Link) -> None:
        if link.is_closed:
            return
        if not self.database.members[link.member].is_up:
            self._break(link, Fault.ABORTED)
            return
        held = sum(
            item.member == link.member and item.connection.number in self.accepted
            for item in self.links.values()
        )
        held += sum(until_ms > self.now_ms for until_ms in self.dark.get(link.member, ()))
        if held >= self.load.connection_limit:
            self.openings.refused[int(self.now_ms // 100)] += 1
            self._break(link, Fault.TOO_MANY_CONNECTIONS)
            return
        self.accepted.add(link.connection.number)
        self.waiting.setdefault(link.member, deque()).append((link, None))
        self._take_slot(link.member)

    def _take_slot(self, member: str) -> None:
        waiting = self.waiting.setdefault(member, deque())
        while waiting and self.used_slots[member] < self.load.slots:
            link, message = waiting.popleft()
            self.used_slots[member] += 1
            if message is None:
                self.schedule(HANDSHAKE_MS, partial(self._finish_handshake, link))
                continue
            took_ms = self.random.expovariate(1 / self.load.work_ms)
            self.schedule(took_ms, partial(self._free_slot, link, message))

    def _finish_handshake(self, link: Link) -> None:
        self.used_slots[link.member] -= 1
        if not link.is_closed:
            self.deliver(link.gateway, ConnectionOpened(int(self.now_ms), link.number))
        self._take_slot(link.member)

    def lose_power(self, first_ms: float = 500.0, last_ms: float = 1_500.0) -> None:
        """End all gateways and control processes, which start again between the given times."""
        for link in list(self.links.values()):
            if link.connection.number in self.accepted:
                self.dark.setdefault(link.member, []).append(self.now_ms + DARK_MS)
            self._close_link(link)
        self.controls = {name: self._new_control(name) for name in CENTRES}
        for address in self.addresses:
            delay_ms = self.random.uniform(first_ms, last_ms)
            self.nodes[address] = Node(self._new_state(address), starts_ms=self.now_ms + delay_ms)
            self._configure(address, delay_ms + 300.0)
        for client in self.clients:
            if client.number:
                self._disconnect(client)

    def _open(self, client: Client) -> None:
        if self.nodes and all(self.now_ms < node.starts_ms for node in self.nodes.values()):
            self.schedule(RECONNECT_MS, lambda: self._open(client))
            return
        super()._open(client)
