"""Stand-ins for upstreams: the model of a replicated service behind the statement wire."""

import time
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import NamedTuple

import trio
from endivewick_core.directory import UpstreamReport, UpstreamState
from endivewick_core.gateway.effects import AnswerStatement
from endivewick_core.positions import Position
from endivewick_core.statements import (
    Error,
    Fault,
    Statement,
    StatementKind,
    TransactionState,
    UpstreamStatement,
)
from endivewick_node.conf import split_address
from endivewick_node.statement_wire import WireFault

from ..checkers import clock_ms
from ..http_client import ConnectionLost, HttpClient
from . import database as db
from .checks import Recorder
from .history import Committed, Leaving, Ran
from .wire import Greeting, SoakWire

K = StatementKind
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
OWN_PROOF = "-"


class LostAnswer(Exception):
    """A statement ran and its answer won't be sent."""


@dataclass(slots=True)
class Transaction:
    """A transaction on a connection; ``term`` is that of its BEGIN."""

    number: int
    term: int
    is_read_only: bool
    has_failed: bool = False
    writes: list[tuple[str, str]] = field(default_factory=list)
    request_ids: list[str] = field(default_factory=list)


@dataclass(slots=True)
class CallerConnection:
    """A connection of a gateway or of control; a silent one answers nothing any more."""

    number: int
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, tuple[str, bool]] = field(default_factory=dict)
    transaction: Transaction | None = None
    greeted: bool = False
    is_silent: bool = False


class Result(NamedTuple):
    """What a statement came to."""

    rows: tuple[str, ...] = ()
    proof: str = OWN_PROOF
    error: Error | None = None


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

    database: db.Database
    upstreams: dict[str, Upstream]
    wire: SoakWire
    recorder: Recorder
    random: Random
    control_addresses: list[str]
    numbers: "count[int]" = field(default_factory=lambda: count(1))

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
        member = upstream.member
        fresh = f"{member.name}x"
        self.database.members.pop(member.name)
        successor = db.Member(fresh, member.data_centre, member.term, list(member.log))
        successor.applied = len(successor.log)
        for entry in successor.log:
            successor.data.update(entry.writes)
        self.database.members[fresh] = successor
        del self.upstreams[member.name]
        taken = Upstream(successor, upstream.address, upstream.announced, int(time.time() * 1000))
        self.upstreams[fresh] = taken
        await self.run_upstream(taken)

    async def _say_goodbye(self, upstream: Upstream) -> None:
        path = self.wire.report_path(upstream.member.name)
        for address in self.control_addresses:
            client = HttpClient(address)
            try:
                with trio.fail_after(REPORT_TIMEOUT_S):
                    if (await client.call("DELETE", path)).status == 200:
                        return
            except (ConnectionLost, trio.TooSlowError):
                continue
            finally:
                client.close()

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
        client = HttpClient(address)
        try:
            with trio.fail_after(REPORT_TIMEOUT_S):
                reply = await client.call("PUT", path, body)
        except (ConnectionLost, trio.TooSlowError):
            upstream.report_to = ""
            return
        finally:
            client.close()
        if reply.status != 200:
            upstream.report_to = ""
            return
        if report.state is UpstreamState.LEAVING and not upstream.left_acknowledged:
            upstream.left_acknowledged = True
            name = upstream.member.name
            self.recorder.add(Leaving(clock_ms(), self.database.service, name))

    async def _serve(
        self, upstream: Upstream, limiter: trio.CapacityLimiter, stream: trio.SocketStream
    ) -> None:
        connection = CallerConnection(next(self.numbers))
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
        state = TransactionState.IDLE
        if connection.transaction is not None:
            failed = connection.transaction.has_failed
            state = TransactionState.FAILED if failed else TransactionState.OPEN
        member = upstream.member
        place = member.received if member.is_leader else member.position
        answer = AnswerStatement(0, result.rows, result.proof, result.error, state, place)
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
        statement = message.statement
        kind = statement.kind
        own = self._run_own(upstream, connection, message)
        if own is not None:
            return own
        if kind not in (K.READ, K.WRITE, K.EXECUTE, K.COMMIT):
            return self._fail(connection, Fault.BAD_REQUEST)
        if kind is K.EXECUTE and statement.name not in connection.prepared:
            return self._fail(connection, Fault.UNKNOWN_STATEMENT)
        troubles = upstream.troubles
        if upstream.waiting >= QUEUE_LIMIT or self.random.random() < troubles.refuse:
            return self._fail(connection, Fault.BUSY)
        upstream.waiting += 1
        try:
            async with limiter:
                work_ms = self.random.expovariate(1 / WORK_MS) * troubles.slow_factor
                await trio.sleep(work_ms / 1000)
                result = await self._work(upstream, connection, message)
        finally:
            upstream.waiting -= 1
        if result.error is None and self.random.random() < troubles.lose_answers:
            raise LostAnswer
        return result

    def _run_own(
        self, upstream: Upstream, connection: CallerConnection, message: UpstreamStatement
    ) -> Result | None:
        """Run a statement that takes no slot; return None for any other."""
        statement, member = message.statement, upstream.member
        kind = statement.kind
        if kind is K.RESET:
            connection.values.clear()
            connection.prepared.clear()
        elif kind is K.SET:
            connection.values[statement.name] = statement.argument
        elif kind is K.PREPARE:
            connection.prepared[statement.name] = (statement.argument, statement.is_write)
        elif kind is K.DEALLOCATE:
            connection.prepared.pop(statement.name, None)
        elif kind is K.ROLLBACK:
            connection.transaction = None
        elif kind in (K.PAUSE, K.RESUME):
            member.held_term = int(statement.argument) if kind is K.PAUSE else 0
            role = "primary" if member.is_leader else "replica"
            received = f"{member.received.term}.{member.received.offset}"
            return Result((f"{role} {member.term} {received} {member.held_term} 0 0 0",))
        elif kind is K.BEGIN:
            if message.wait_for is not None and not _has(member, message.wait_for):
                return Result(error=Error(Fault.LAGGING, ""))
            if not statement.is_read_only and not member.is_leader:
                return Result(error=Error(Fault.READ_ONLY, ""))
            number = next(self.numbers)
            connection.transaction = Transaction(number, member.term, statement.is_read_only)
        else:
            return None
        return Result()

    async def _work(
        self, upstream: Upstream, connection: CallerConnection, message: UpstreamStatement
    ) -> Result:
        statement, member, transaction = message.statement, upstream.member, connection.transaction
        is_write, key, value, text = _meaning(connection, statement)
        if transaction is not None and transaction.has_failed:
            return self._fail(connection, Fault.BAD_REQUEST)
        if transaction is not None and not transaction.is_read_only:
            leads = member.is_leader and member.term == transaction.term
            if not leads and not (statement.kind is K.COMMIT and not transaction.writes):
                return self._fail(connection, Fault.READ_ONLY)
        if message.wait_for is not None and not _has(member, message.wait_for):
            return self._fail(connection, Fault.LAGGING)
        if is_write and (not member.is_leader or (transaction and transaction.is_read_only)):
            return self._fail(connection, Fault.READ_ONLY)
        rows: tuple[str, ...] = ()
        if statement.kind is not K.COMMIT and not is_write:
            pending = dict(transaction.writes) if transaction is not None else {}
            rows = (pending.get(key) or member.data.get(key, "none"),)
        proof = f"{member.name}.{next(self.numbers)}"
        self.recorder.add(
            Ran(
                clock_ms(),
                statement.request_id,
                self.database.service,
                member.name,
                "read" if rows else "write",
                text,
                connection.number,
                transaction.number if transaction is not None else 0,
                tuple(sorted(connection.values.items())),
                member.applied,
                rows,
                proof,
            )
        )
        if statement.kind is K.COMMIT:
            connection.transaction = None
            if transaction is not None and transaction.writes:
                request_ids = (*transaction.request_ids, statement.request_id)
                await self._commit(member, request_ids, tuple(transaction.writes))
        elif is_write and transaction is not None:
            transaction.writes.append((key, value))
            transaction.request_ids.append(statement.request_id)
        elif is_write:
            await self._commit(member, (statement.request_id,), ((key, value),))
        return Result(rows, proof)

    async def _commit(
        self, member: db.Member, request_ids: tuple[str, ...], writes: tuple[tuple[str, str], ...]
    ) -> None:
        """Commit, and wait until a replica has it; without the lead no answer is given."""
        number = db.append(member, request_ids, writes)
        entry, term = member.log[number - 1], member.term
        service = self.database.service
        self.recorder.add(Committed(clock_ms(), service, member.name, number, request_ids))
        while not db.is_replicated(self.database, member, number):
            await trio.sleep(REPLICATE_S)
            if not member.is_leader or member.term != term or member.log[number - 1] is not entry:
                raise LostAnswer

    def _fail(self, connection: CallerConnection, fault: Fault) -> Result:
        if connection.transaction is not None:
            connection.transaction.has_failed = True
        return Result(error=Error(fault, ""))


def _has(member: db.Member, position: Position) -> bool:
    """Tell whether reads at a member see the log up to a position."""
    return member.term >= position.term and member.applied >= position.offset


def _meaning(connection: CallerConnection, statement: Statement) -> tuple[bool, str, str, str]:
    """Return whether a statement writes, its key and value, and its text as clients record it."""
    if statement.kind is K.COMMIT:
        return False, "", "", statement.text
    if statement.kind is K.EXECUTE:
        shape, is_write = connection.prepared[statement.name]
        key, _, value = statement.argument.partition(" ")
        return is_write, key, value, f"{shape} {statement.argument}"
    _, key, *rest = statement.text.split(" ", 2)
    return statement.kind is K.WRITE, key, rest[0] if rest else "", statement.text
