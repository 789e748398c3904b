"""Stand-ins for upstreams: the model of a replicated service behind the statement wire."""

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
    is_settled,
    run_own,
    run_work,
)
from .history import Leaving
from .wire import Greeting, SoakWire

REPORT_S = 0.6
REPORT_TIMEOUT_S = 1.0
REPLICATE_S = 0.005
PROMOTE_S = 0.3
DRAIN_S = 7.0
WORK_MS = 4.0  # the mean run time of a statement
OPEN_S = 0.005
SLOTS = 3
QUEUE_LIMIT = 32
CONNECTION_LIMIT = 21


class LostAnswer(Exception):
    """A statement ran and its answer won't be sent."""


@dataclass(slots=True)
class Troubles:
    """What a fault has set: lost answers, slowness, silence, and refusals."""

    lose_answers: float = 0.0
    slow_factor: float = 1.0
    is_dark: bool = False
    refuse: float = 0.0


@dataclass(slots=True)
class Upstream:
    """One upstream: its member of the database, its addresses and its reports."""

    member: db.Member
    address: str
    announced: str
    born_ms: int
    state: UpstreamState = UpstreamState.READY
    sequence: int = 0
    report_to: str = ""
    left_acknowledged: bool = False
    connections: int = 0
    waiting: int = 0
    troubles: Troubles = field(default_factory=Troubles)
    life: trio.CancelScope | None = None


@dataclass(slots=True)
class ServiceStandIn:
    """A replicated service whose upstreams run inside this process."""

    execution: Execution
    upstreams: dict[str, Upstream]
    wire: SoakWire
    random: Random
    control_addresses: list[str]

    @property
    def database(self) -> db.Database:
        """Return the model of the service."""
        return self.execution.database

    async def run(self) -> None:
        """Replicate, and run every upstream, until cancelled."""
        async with trio.open_nursery() as nursery:
            for upstream in self.upstreams.values():
                nursery.start_soon(self.run_upstream, upstream)
            while True:
                db.replicate(self.database, clock_ms())
                await trio.sleep(REPLICATE_S)

    async def run_upstream(self, upstream: Upstream) -> None:
        """Serve one upstream until it crashes or ends; a crash is a cancelled ``life``."""
        while upstream.state is not UpstreamState.GONE:
            while not upstream.member.is_up:
                await trio.sleep(REPLICATE_S)
            host, port = split_address(upstream.address)
            upstream.connections = upstream.waiting = 0
            with trio.CancelScope() as upstream.life:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._report, upstream)
                    limiter = trio.CapacityLimiter(SLOTS)

                    async def serve(
                        stream: trio.SocketStream, limiter: trio.CapacityLimiter = limiter
                    ) -> None:
                        await self._serve(upstream, limiter, stream)

                    await trio.serve_tcp(serve, port, host=host)

    def crash(self, upstream: Upstream) -> None:
        """End an upstream's process; its log stays."""
        upstream.member.is_up = False
        if upstream.life is not None:
            upstream.life.cancel()

    def restart(self, upstream: Upstream) -> None:
        """Start a crashed upstream's process again."""
        upstream.member.is_up = True
        upstream.member.held_term = 0
        upstream.born_ms = int(time.time() * 1000)
        upstream.sequence = 0
        upstream.report_to = ""

    async def leave(self, upstream: Upstream) -> None:
        """Let an upstream leave as planned; a new one takes its log and its address."""
        upstream.state = UpstreamState.LEAVING
        with trio.move_on_after(DRAIN_S):
            while not upstream.left_acknowledged:
                await trio.sleep(REPLICATE_S)
        await trio.sleep(DRAIN_S)
        await self._say_goodbye(upstream)
        upstream.state = UpstreamState.GONE
        self.crash(upstream)
        left = upstream.member.name
        del self.upstreams[left]
        successor = db.succeed(self.database, left, f"{left}x")
        taken = Upstream(successor, upstream.address, upstream.announced, int(time.time() * 1000))
        self.upstreams[successor.name] = taken
        await self.run_upstream(taken)

    async def _say_goodbye(self, upstream: Upstream) -> None:
        path = self.wire.report_path(upstream.member.name)
        for address in self.control_addresses:
            reply = await call(address, "DELETE", path, timeout_s=REPORT_TIMEOUT_S)
            if reply is not None and reply.status == 200:
                return

    async def _report(self, upstream: Upstream) -> None:
        while True:
            sent = (upstream.state, upstream.member.is_leader)
            if not upstream.troubles.is_dark:
                await self._send_report(upstream)
            with trio.move_on_after(REPORT_S):
                while sent == (upstream.state, upstream.member.is_leader):
                    await trio.sleep(REPLICATE_S)

    async def _send_report(self, upstream: Upstream) -> None:
        upstream.sequence += 1
        report = UpstreamReport(
            upstream.member.name,
            self.database.service,
            upstream.announced,
            upstream.member.data_centre,
            SLOTS,
            upstream.state,
            upstream.member.is_leader,
            0,
            upstream.born_ms,
            upstream.sequence,
        )
        path, body = self.wire.encode_report(report)
        address = upstream.report_to or self.random.choice(self.control_addresses)
        reply = await call(address, "PUT", path, body, timeout_s=REPORT_TIMEOUT_S)
        if reply is None or reply.status != 200:
            upstream.report_to = ""
            return
        if report.state is UpstreamState.LEAVING and not upstream.left_acknowledged:
            upstream.left_acknowledged = True
            name = upstream.member.name
            self.execution.recorder.add(Leaving(clock_ms(), self.database.service, name))

    async def _serve(
        self, upstream: Upstream, limiter: trio.CapacityLimiter, stream: trio.SocketStream
    ) -> None:
        connection = CallerConnection(next(self.execution.numbers))
        upstream.connections += 1
        read = self.wire.read_caller()
        try:
            async for data in stream:
                for message in read(bytes(data)):
                    connection.is_silent = connection.is_silent or upstream.troubles.is_dark
                    if connection.is_silent:
                        continue
                    if isinstance(message, WireFault):
                        return
                    if not await self._take(upstream, limiter, connection, message, stream):
                        return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            upstream.connections -= 1
            await trio.aclose_forcefully(stream)

    async def _take(
        self,
        upstream: Upstream,
        limiter: trio.CapacityLimiter,
        connection: CallerConnection,
        message: Greeting | UpstreamStatement,
        stream: trio.SocketStream,
    ) -> bool:
        """Answer a message; return False where the connection ends with it."""
        statements = self.wire.statements
        if isinstance(message, Greeting):
            fault = self._greeting_fault(upstream, message)
            if fault is not None:
                await stream.send_all(statements.encode_refused(Error(fault, "")))
                return False
            await trio.sleep(OPEN_S)
            connection.greeted = True
            await stream.send_all(statements.encode_accepted())
            return True
        if not connection.greeted:
            return False
        try:
            result = await self._run(upstream, limiter, connection, message)
        except LostAnswer:
            return self.random.random() < 0.5
        member = upstream.member
        place = member.received if member.is_leader else member.position
        answer = AnswerStatement(
            0, result.rows, result.proof, result.error, connection.state, place
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
        own = run_own(self.execution, upstream.member, connection, message)
        if own is not None:
            return own
        fault = fault_before_work(connection, message.statement)
        if fault is not None:
            return fail(connection, fault)
        troubles = upstream.troubles
        if upstream.waiting >= QUEUE_LIMIT or self.random.random() < troubles.refuse:
            return fail(connection, Fault.BUSY)
        upstream.waiting += 1
        try:
            async with limiter:
                work_ms = self.random.expovariate(1 / WORK_MS) * troubles.slow_factor
                await trio.sleep(work_ms / 1000)
                member = upstream.member
                result = run_work(self.execution, clock_ms(), member, connection, message)
                await self._settle(member, result)
        finally:
            upstream.waiting -= 1
        if result.error is None and self.random.random() < troubles.lose_answers:
            raise LostAnswer
        return result

    async def _settle(self, member: db.Member, result: Result) -> None:
        """Wait until a replica has what was committed; without the lead no answer is given."""
        while result.commit is not None:
            settled = is_settled(self.execution, member, result.commit)
            if settled is None:
                raise LostAnswer
            if settled:
                return
            await trio.sleep(REPLICATE_S)
