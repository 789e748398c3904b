"""Clients of a soak: sessions over the wire, which keep a connection until it ends."""

from dataclasses import dataclass, field
from itertools import count

import trio
from endivewick_core.routes import Route
from endivewick_core.statements import (
    Fault,
    Statement,
    StatementKind,
    TransactionState,
    UpstreamReply,
    UpstreamStatement,
)
from endivewick_node.addresses import split_address
from endivewick_node.statement_wire import Accepted, Refused, UpstreamReader

from ..checkers import clock_ms
from .history import Answered, Invoked
from .system import System

K = StatementKind
OPEN_LIMIT_S = 2.0  # how long a client waits for its session
ANSWER_LIMIT_S = 4.0  # beyond the statement timeout, so that a missing answer shows
PAUSE_S = 0.05
RECONNECT_S = 0.2
OPERATIONS = 40  # of a session before its client ends it
TRANSACTION_LIMIT = 5
ITEMS = 50
PROMISES = frozenset(
    {
        Fault.BUSY,
        Fault.ABORTED,
        Fault.LAGGING,
        Fault.READ_ONLY,
        Fault.MOVED,
        Fault.TOO_MANY_CONNECTIONS,
    }
)


class SessionEnded(Exception):
    """The client's connection ended."""


@dataclass(slots=True)
class Client:
    """A client of one workspace; each connection is a session of its own."""

    name: str
    workspace: str
    system: System
    serial: "count[int]" = field(default_factory=lambda: count(1))
    session: str = ""
    gateway: str = ""
    stream: trio.SocketStream | None = None
    read: UpstreamReader | None = None
    state: TransactionState = TransactionState.IDLE
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, str] = field(default_factory=dict)
    served: int = 0

    async def run(self, stop: trio.Event) -> None:
        """Open sessions and send operations until told to stop."""
        while not stop.is_set():
            try:
                await self._open()
                for _ in range(OPERATIONS):
                    if stop.is_set():
                        break
                    await self._operation()
                    await trio.sleep(self.system.random.uniform(0, 2 * PAUSE_S))
                    if self.state is not TransactionState.IDLE:
                        break
            except (SessionEnded, OSError, trio.BrokenResourceError, trio.TooSlowError):
                await trio.sleep(RECONNECT_S)
            finally:
                await self._close()

    async def _open(self) -> None:
        system = self.system
        self.gateway = system.random.choice(sorted(system.ready) or sorted(system.gateways))
        relay = system.gateways[self.gateway].session_relay
        assert relay is not None
        with trio.fail_after(OPEN_LIMIT_S):
            self.stream = await trio.open_tcp_stream(*split_address(relay.listen_address))
            self.read = system.wire.statements.read_upstream()
            self.session = f"{self.name}.{next(self.serial)}"
            self.state = TransactionState.IDLE
            self.values, self.prepared = {}, {}
            greeting = system.wire.statements.encode_startup(self.workspace, "")
            await self.stream.send_all(greeting.rstrip() + b"\r\n")
            message = await self._next()
            if isinstance(message, Refused) or not isinstance(message, Accepted):
                raise SessionEnded

    async def _close(self) -> None:
        if self.stream is not None:
            await trio.aclose_forcefully(self.stream)
        self.stream = None

    async def _next(self) -> object:
        assert self.stream is not None and self.read is not None
        while True:
            data = await self.stream.receive_some()
            if not data:
                raise SessionEnded
            messages = self.read(data)
            if messages:
                return messages[0]

    async def _operation(self) -> None:
        choice = self.system.random.random()
        if choice < 0.05:
            await self._set_value()
        elif choice < 0.10:
            await self._prepare()
        elif choice < 0.30:
            await self._transaction()
        elif choice < 0.50:
            await self._send(self._write(), "")
        else:
            await self._send(self._read(), "")

    async def _transaction(self) -> None:
        random = self.system.random
        transaction = f"{self.session}.t{next(self.serial)}"
        began_ms = clock_ms()
        only_reads = random.random() < 0.3
        begin = Statement(K.BEGIN, "", "BEGIN FETCH" if only_reads else "BEGIN")
        if not await self._send(begin, transaction, began_ms):
            return
        for _ in range(random.randint(1, TRANSACTION_LIMIT)):
            await trio.sleep(random.uniform(0, PAUSE_S))
            is_write = not only_reads and random.random() < 0.5
            statement = self._write() if is_write else self._read()
            if not await self._send(statement, transaction, began_ms):
                return
        end = K.ROLLBACK if random.random() < 0.2 else K.COMMIT
        await self._send(Statement(end, "", end.value.upper()), transaction, began_ms)

    async def _set_value(self) -> None:
        name, value = f"v{self.system.random.randint(1, 3)}", str(next(self.serial))
        if await self._send(Statement(K.SET, "", f"SET {name} {value}"), ""):
            self.values[name] = value

    async def _prepare(self) -> None:
        name = f"p{self.system.random.randint(1, 3)}"
        shape = f"q{self.system.random.randint(1, 4)}"
        if await self._send(Statement(K.PREPARE, "", f"PREPARE {name} FETCH {shape}"), ""):
            self.prepared[name] = shape

    def _write(self) -> Statement:
        item = self.system.random.randint(1, ITEMS)
        return Statement(K.WRITE, "", f"PUT i{item} {self.session}-{next(self.serial)}")

    def _read(self) -> Statement:
        item = f"i{self.system.random.randint(1, ITEMS)}"
        if self.prepared and self.system.random.random() < 0.3:
            name = self.system.random.choice(sorted(self.prepared))
            return Statement(K.EXECUTE, "", "", name, item)
        return Statement(K.READ, "", f"FETCH {item}")

    async def _send(self, statement: Statement, transaction: str, began_ms: float = 0.0) -> bool:
        """Send a statement and record it with its answer; tell whether it succeeded."""
        assert self.stream is not None
        system = self.system
        request_id = f"{self.session}-{next(self.serial)}"
        statement = statement._replace(request_id=request_id)
        text = statement.text
        if statement.kind is K.EXECUTE:
            text = f"{self.prepared[statement.name]} {statement.argument}"
        route = system.configuration.routes.get(self.workspace) or self._last_route()
        at_ms = clock_ms()
        system.recorder.add(
            Invoked(
                at_ms,
                request_id,
                self.session,
                self.gateway,
                self.workspace,
                route.service,
                route.freshness,
                route.staleness_ms,
                transaction,
                began_ms or at_ms,
                statement.kind.value,
                text,
                tuple(sorted(self.values.items())),
            )
        )
        data = system.wire.statements.encode_statement(UpstreamStatement(statement))
        try:
            with trio.fail_after(ANSWER_LIMIT_S):
                await self.stream.send_all(data)
                reply = await self._next()
        except (SessionEnded, OSError, trio.BrokenResourceError, trio.TooSlowError):
            system.recorder.add(Answered(clock_ms(), request_id, "cut", False, (), ""))
            raise
        return self._take(statement, request_id, reply)

    def _last_route(self) -> Route:
        return self.system.removed_routes[self.workspace]

    def _take(self, statement: Statement, request_id: str, reply: object) -> bool:
        if not isinstance(reply, UpstreamReply):
            raise SessionEnded
        self.state = reply.state
        recorder = self.system.recorder
        if reply.error is not None:
            fault = reply.error.fault
            promised = fault in PROMISES
            event = Answered(clock_ms(), request_id, fault.value, promised, (), "")
            recorder.add(event)
            return False
        is_upstreams = statement.kind in (K.READ, K.WRITE, K.EXECUTE, K.COMMIT)
        outcome = "ok" if is_upstreams else "own"
        event = Answered(clock_ms(), request_id, outcome, False, reply.rows, reply.proof)
        recorder.add(event)
        self.served += is_upstreams
        return True
