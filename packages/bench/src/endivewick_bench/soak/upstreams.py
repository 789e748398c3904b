"""Stand-ins for upstreams: serve the model of a replicated service over the statement wire."""

import time
from dataclasses import dataclass, field
from random import Random

import trio
from endivewick_core.directory import UpstreamReport, UpstreamState
from endivewick_core.gateway.effects import AnswerStatement
from endivewick_core.statements import Error, Fault, UpstreamStatement
from endivewick_node.addresses import split_address
from endivewick_node.statement_wire import WireFault

from ..checkers import clock_ms
from ..cluster import call
from . import database as db
from .execution import (
    CallerConnection,
    Execution,
    Result,
    fail,
    fault_before_work,
    is_commit_replicated,
    run_without_slot,
    run_work,
)
from .history import Joined, Leaving
from .wire import Greeting, SoakWire

REPORT_INTERVAL_S = 0.6
REPORT_TIMEOUT_S = 1.0
REPLICATION_INTERVAL_S = 0.005
PROMOTION_S = (0.3, 1.0)
DRAIN_S = 7.0
LINGER_S = (0.0, 3.0)  # that a leaving upstream serves after its drain time
FORMER_NAME_SHARE = 0.5  # of the new upstreams that have the name of one that left
UPSTREAMS_PER_SERVICE = 3
MEAN_WORK_MS = 4.0  # of a statement
OPEN_DELAY_S = 0.005
SLOTS = 3
QUEUE_LIMIT = 32
CONNECTION_LIMIT = 21


class LostAnswer(Exception):
    """A statement ran, but its answer won't be sent."""


@dataclass(slots=True)
class Impairments:
    """The effects of injected faults on an upstream; the shares are of its statements."""

    answer_loss_share: float = 0.0
    slow_factor: float = 1.0
    is_unresponsive: bool = False
    refused_share: float = 0.0


@dataclass(slots=True)
class Upstream:
    """One upstream: its database member, its addresses, its reports and its connections.

    It listens on ``address`` and reports ``announced_address``, that of the relay before it. Its
    first report goes to ``report_address``, if set; its reports stop with ``reports_are_cut``.
    """

    member: db.Member
    address: str
    announced_address: str
    born_ms: int
    state: UpstreamState = UpstreamState.READY
    sequence: int = 0
    report_address: str = ""
    reports_are_cut: bool = False
    leaving_acknowledged: bool = False
    connections: int = 0
    waiting: int = 0
    impairments: Impairments = field(default_factory=Impairments)
    process_scope: trio.CancelScope | None = None


@dataclass(slots=True)
class ServiceStandIn:
    """A replicated service whose upstreams run inside this process.

    ``free_addresses`` are pairs of an address and that of the relay before it; ``former_names`` are
    those of upstreams that left.
    """

    execution: Execution
    upstreams: dict[str, Upstream]
    wire: SoakWire
    random: Random
    control_addresses: list[str]
    free_addresses: list[tuple[str, str]] = field(default_factory=list)
    former_names: list[str] = field(default_factory=list)

    @property
    def database(self) -> db.Database:
        """Return the model of the service."""
        return self.execution.database

    async def run(self) -> None:
        """Run every upstream and the replication between them until cancelled."""
        async with trio.open_nursery() as nursery:
            for upstream in self.upstreams.values():
                nursery.start_soon(self.run_upstream, upstream)
            while True:
                db.replicate(self.database, clock_ms())
                await trio.sleep(REPLICATION_INTERVAL_S)

    async def run_upstream(self, upstream: Upstream) -> None:
        """Serve one upstream until it is removed; a crash cancels ``process_scope``."""
        while upstream.state is not UpstreamState.GONE:
            if not upstream.member.is_up:
                await trio.sleep(REPLICATION_INTERVAL_S)
                continue
            host, port = split_address(upstream.address)
            upstream.connections = upstream.waiting = 0
            with trio.CancelScope() as upstream.process_scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._report, upstream)
                    limiter = trio.CapacityLimiter(SLOTS)

                    async def serve(
                        stream: trio.SocketStream, limiter: trio.CapacityLimiter = limiter
                    ) -> None:
                        await self._serve(upstream, limiter, stream)

                    await trio.serve_tcp(serve, port, host=host)

    def crash(self, upstream: Upstream) -> None:
        """Crash an upstream; its log is kept."""
        upstream.member.is_up = False
        if upstream.process_scope is not None:
            upstream.process_scope.cancel()

    def restart(self, upstream: Upstream) -> None:
        """Restart a crashed upstream."""
        db.restart(upstream.member)
        upstream.born_ms = int(time.time() * 1000)
        upstream.sequence = 0

    def is_changing(self) -> bool:
        """Return whether an upstream joins or leaves for good, or the primary is missing."""
        ready = [item for item in self.upstreams.values() if item.state is UpstreamState.READY]
        is_complete = len(ready) == len(self.upstreams) == UPSTREAMS_PER_SERVICE
        return self.database.leader() is None or not is_complete

    def add_upstream(self, data_centre: str, report_address: str = "") -> Upstream:
        """Return a new upstream, with an empty log, that receives from the primary at once.

        It may have the name and the address of one that left.
        """
        address = self.free_addresses.pop(self.random.randrange(len(self.free_addresses)))
        name = f"{self.database.service}-{next(self.execution.numbers)}"
        if self.former_names and self.random.random() < FORMER_NAME_SHARE:
            name = self.former_names.pop()
        member = db.Member(name, data_centre)
        born_ms = int(time.time() * 1000)
        upstream = Upstream(member, *address, born_ms, report_address=report_address)
        self.database.members[name] = member
        self.upstreams[name] = upstream
        self.execution.recorder.add(Joined(clock_ms(), self.database.service, name))
        return upstream

    async def remove_upstream(self, upstream: Upstream) -> None:
        """Let an upstream drain and end as planned; its log is gone."""
        await self._drain(upstream)
        await trio.sleep(self.random.uniform(*LINGER_S))
        # Otherwise control could not keep the promise that the check ``lost`` is about.
        while not self.other_holders(upstream):
            await trio.sleep(REPLICATION_INTERVAL_S)
        await self._deregister(upstream)
        self.lose_upstream(upstream)

    def other_holders(self, upstream: Upstream) -> list[Upstream]:
        """Return the other upstreams that don't leave and have every acknowledged commit."""
        return [
            item
            for item in self.upstreams.values()
            if item is not upstream
            and item.state is UpstreamState.READY
            and db.has_acknowledged(self.database, item.member)
        ]

    def lose_upstream(self, upstream: Upstream) -> None:
        """End an upstream for good; its log is gone, and its name and address are free again."""
        upstream.state = UpstreamState.GONE
        self.crash(upstream)
        del self.upstreams[upstream.member.name]
        del self.database.members[upstream.member.name]
        self.former_names.append(upstream.member.name)
        self.free_addresses.append((upstream.address, upstream.announced_address))

    async def replace(self, upstream: Upstream) -> None:
        """Remove an upstream as planned; a new one takes over its log and its address."""
        await self._drain(upstream)
        await self._deregister(upstream)
        upstream.state = UpstreamState.GONE
        self.crash(upstream)
        old_name = upstream.member.name
        del self.upstreams[old_name]
        successor = db.replace_member(self.database, old_name, f"{old_name}x")
        replacement = Upstream(
            successor, upstream.address, upstream.announced_address, int(time.time() * 1000)
        )
        self.upstreams[successor.name] = replacement
        await self.run_upstream(replacement)

    async def _drain(self, upstream: Upstream) -> None:
        upstream.state = UpstreamState.LEAVING
        with trio.move_on_after(DRAIN_S):
            while not upstream.leaving_acknowledged:
                await trio.sleep(REPLICATION_INTERVAL_S)
        await trio.sleep(DRAIN_S)

    async def _deregister(self, upstream: Upstream) -> None:
        path = self.wire.report_path(upstream.member.name)
        for address in self.control_addresses:
            reply = await call(address, "DELETE", path, timeout_s=REPORT_TIMEOUT_S)
            if reply is not None and reply.status == 200:
                return

    async def _report(self, upstream: Upstream) -> None:
        while True:
            sent = (upstream.state, upstream.member.is_leader)
            if not upstream.impairments.is_unresponsive and not upstream.reports_are_cut:
                await self._send_report(upstream)
            with trio.move_on_after(REPORT_INTERVAL_S):
                while sent == (upstream.state, upstream.member.is_leader):
                    await trio.sleep(REPLICATION_INTERVAL_S)

    async def _send_report(self, upstream: Upstream) -> None:
        """Report to one control process after the other, until one acknowledges it in time."""
        addresses = self.random.sample(self.control_addresses, len(self.control_addresses))
        addresses.sort(key=lambda item: item != upstream.report_address)
        upstream.report_address = ""
        for address in addresses:
            if upstream.state is UpstreamState.GONE:
                return
            upstream.sequence += 1
            report = UpstreamReport(
                upstream.member.name,
                self.database.service,
                upstream.announced_address,
                upstream.member.data_centre,
                SLOTS,
                upstream.state,
                upstream.member.is_leader,
                0,
                upstream.born_ms,
                upstream.sequence,
            )
            path, body = self.wire.encode_report(report)
            reply = await call(address, "PUT", path, body, timeout_s=REPORT_TIMEOUT_S)
            if reply is None or reply.status != 200:
                continue
            if report.state is UpstreamState.LEAVING and not upstream.leaving_acknowledged:
                upstream.leaving_acknowledged = True
                name = upstream.member.name
                self.execution.recorder.add(Leaving(clock_ms(), self.database.service, name))
            return

    async def _serve(
        self, upstream: Upstream, limiter: trio.CapacityLimiter, stream: trio.SocketStream
    ) -> None:
        connection = CallerConnection(next(self.execution.numbers))
        upstream.connections += 1
        read = self.wire.read_caller()
        try:
            async for data in stream:
                for message in read(bytes(data)):
                    connection.is_silent = (
                        connection.is_silent or upstream.impairments.is_unresponsive
                    )
                    if connection.is_silent:
                        continue
                    if isinstance(message, WireFault):
                        return
                    if not await self._handle_message(
                        upstream, limiter, connection, message, stream
                    ):
                        return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            upstream.connections -= 1
            await trio.aclose_forcefully(stream)

    async def _handle_message(
        self,
        upstream: Upstream,
        limiter: trio.CapacityLimiter,
        connection: CallerConnection,
        message: Greeting | UpstreamStatement,
        stream: trio.SocketStream,
    ) -> bool:
        """Answer a message; return False where the connection is to be closed."""
        statements = self.wire.statements
        if isinstance(message, Greeting):
            fault = self._greeting_fault(upstream, message)
            if fault is not None:
                await stream.send_all(statements.encode_refused(Error(fault, "")))
                return False
            await trio.sleep(OPEN_DELAY_S)
            connection.greeted = True
            await stream.send_all(statements.encode_accepted())
            return True
        if not connection.greeted:
            return False
        try:
            result = await self._run(upstream, limiter, connection, message)
        except LostAnswer:
            return self.random.random() < 0.5
        position = upstream.member.position
        answer = AnswerStatement(
            0, result.rows, result.proof, result.error, connection.state, position
        )
        await stream.send_all(statements.encode_answer(answer))
        return True

    def _greeting_fault(self, upstream: Upstream, greeting: Greeting) -> Fault | None:
        if greeting.service != self.database.service:
            return Fault.MOVED
        if greeting.upstream and greeting.upstream != upstream.member.name:
            return Fault.MOVED
        return Fault.TOO_MANY_CONNECTIONS if upstream.connections > CONNECTION_LIMIT else None

    async def _run(
        self,
        upstream: Upstream,
        limiter: trio.CapacityLimiter,
        connection: CallerConnection,
        message: UpstreamStatement,
    ) -> Result:
        immediate = run_without_slot(self.execution, upstream.member, connection, message)
        if immediate is not None:
            return immediate
        fault = fault_before_work(connection, message.statement)
        if fault is not None:
            return fail(connection, fault)
        impairments = upstream.impairments
        if upstream.waiting >= QUEUE_LIMIT or self.random.random() < impairments.refused_share:
            return fail(connection, Fault.BUSY)
        upstream.waiting += 1
        try:
            async with limiter:
                work_ms = self.random.expovariate(1 / MEAN_WORK_MS) * impairments.slow_factor
                await trio.sleep(work_ms / 1000)
                member = upstream.member
                result = run_work(self.execution, clock_ms(), member, connection, message)
                await self._wait_for_replication(member, result)
        finally:
            upstream.waiting -= 1
        if result.error is None and self.random.random() < impairments.answer_loss_share:
            raise LostAnswer
        return result

    async def _wait_for_replication(self, member: db.Member, result: Result) -> None:
        """Wait until a replica has the commit; raise LostAnswer if leadership was lost."""
        while result.commit is not None:
            replicated = is_commit_replicated(self.execution, member, result.commit)
            if replicated is None:
                raise LostAnswer
            if replicated:
                db.record_acknowledged(self.database, result.commit.number, result.commit.entry)
                return
            await trio.sleep(REPLICATION_INTERVAL_S)
