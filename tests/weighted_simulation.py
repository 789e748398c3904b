"""The simulation of gateways with data centres, distances, and control's weights of upstreams."""

from collections import Counter
from typing import Any, NamedTuple

from endivewick_bench.soak.script import Script, Steps
from endivewick_core.control import upstream_weights
from endivewick_core.control.state import ControlSettings, ControlState
from endivewick_core.directory import UpstreamReport, UpstreamState, merge_report
from endivewick_core.gateway import events as ev
from endivewick_core.gateway.state import GatewayState
from endivewick_core.messages import DirectoryAnswer, HeardReport, Member
from endivewick_core.routes import Freshness
from endivewick_core.statements import Fault, Statement, StatementKind
from gateway_driver import REGIONS, SERVICE
from gateway_simulation import DATA_CENTRES, Load, Simulation

REGION_MS = 1.0  # there and back, between data centres of a region
FAR_MS = 40.0  # between regions
READS = (StatementKind.READ, StatementKind.EXECUTE)


class Answered(NamedTuple):
    """A client's statement and its outcome."""

    at_ms: float
    took_ms: float
    kind: StatementKind
    fault: Fault | None
    text: str


def run_singles(script: Script, write_share: float) -> Steps:
    """Yield single reads and writes endlessly."""
    while True:
        item = script.random.randint(1, script.items)
        if script.random.random() < write_share:
            value = f"{script.session}-{next(script.serial)}"
            yield Statement(StatementKind.WRITE, "", f"PUT i{item} {value}")
        else:
            yield Statement(StatementKind.READ, "", f"FETCH i{item}")


class WeightedSimulation(Simulation):
    """One run with gateways in every data centre; clients use those of ``used_centres``."""

    def __init__(
        self,
        seed: int,
        gateways: int = 9,
        clients: int = 60,
        load: Load = Load(300.0, 15.0, 4, 32, 60, Freshness.BOUNDED),  # noqa: B008
        weights: bool = True,
        used_centres: tuple[str, ...] = tuple(DATA_CENTRES),
        write_share: float | None = None,
    ):
        self.write_share = write_share
        self.answered: list[Answered] = []
        self.arrived: Counter[str] = Counter()
        self.rejected: Counter[str] = Counter()
        settings = ControlSettings({}, {}, uses_upstream_weights=weights)
        self.control = ControlState(settings, Member("c", "c", "c"))
        self.control_is_cut_off = False
        self.centre_of: dict[str, str] = {}
        super().__init__(seed, gateways, clients, load=load, weights=weights)
        self.used = [item for item in self.addresses if self.centre_of[item] in used_centres]

    def _new_state(self, address: str) -> GatewayState:
        state = super()._new_state(address)
        centre = self.centre_of.setdefault(
            address, DATA_CENTRES[len(self.centre_of) % len(DATA_CENTRES)]
        )
        state.settings = state.settings._replace(data_centre=centre)
        return state

    def _open(self, client: Any) -> None:
        every, self.addresses = self.addresses, self.used
        super()._open(client)
        self.addresses = every

    def _next(self, client: Any, outcome: Any) -> None:
        if client is not None and client.script is not None and outcome is None:
            if self.write_share is not None:
                client.steps = run_singles(client.script, self.write_share)
        super()._next(client, outcome)

    def _answer_poll(self, address: str, question: Any) -> None:
        if self.control_is_cut_off:
            return
        now_ms = int(self.now_ms)
        upstream_weights.record(self.control, now_ms, question)
        super()._answer_poll(address, question)

    def _deliver_now(self, address: str, event: Any) -> None:
        message = event.message
        if isinstance(message, DirectoryAnswer):
            weights = self._told(message)
            event = ev.MessageReceived(
                event.now_ms, message._replace(upstream_weights=weights, reports=self._reports())
            )
        super()._deliver_now(address, event)

    def _told(self, answer: DirectoryAnswer) -> dict[str, Any]:
        now_ms = int(self.now_ms)
        for heard in self._reports():
            merge_report(self.control.directory_state.directory, now_ms, heard.report, 0)
        upstream_weights.update(self.control, now_ms)
        return upstream_weights.answer_weights(self.control, now_ms)

    def _reports(self) -> list[Any]:
        return [
            HeardReport(
                UpstreamReport(
                    member.name,
                    SERVICE,
                    f"10.0.1.{number}:5000",
                    member.data_centre,
                    self.load.slots,
                    UpstreamState.READY,
                    member.is_leader,
                    0,
                    1_000,
                    int(self.now_ms),
                ),
                0,
            )
            for number, member in enumerate(self.database.members.values())
        ]

    def _complete(self, link: Any, member: Any, result: Any) -> None:
        if result.error is not None and result.error.fault is Fault.BUSY:
            self.rejected[link.member] += 1
        super()._complete(link, member, result)

    def _free_slot(self, link: Any, message: Any) -> None:
        self.arrived[link.member] += 1
        super()._free_slot(link, message)

    def _reply(self, link: Any, event: Any) -> None:
        here, there = self.centre_of[link.gateway], self.database.members[link.member].data_centre
        way_ms = 0.0 if here == there else REGION_MS
        if REGIONS[here] != REGIONS[there]:
            way_ms = FAR_MS
        self.schedule(way_ms, lambda: super(WeightedSimulation, self)._reply(link, event))

    def _handle_answer(self, client: Any, answer: Any) -> None:
        if client is not None and client.current is not None:
            error = answer.error
            self.answered.append(
                Answered(
                    self.now_ms,
                    self.now_ms - client.sent_ms,
                    client.current.kind,
                    error.fault if error else None,
                    error.text if error else "",
                )
            )
        super()._handle_answer(client, answer)
