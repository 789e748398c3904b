"""Clients of a soak: sessions over the wire, which keep a connection until it ends."""

from dataclasses import dataclass, field
from itertools import count

import trio
from endivewick_core.gateway.effects import AnswerStatement
from endivewick_core.routes import Route
from endivewick_core.statements import (
    Fault,
    Statement,
    StatementKind,
    UpstreamReply,
    UpstreamStatement,
)
from endivewick_node.addresses import split_address
from endivewick_node.statement_wire import Accepted, Refused, UpstreamReader

from ..checkers import clock_ms
from .execution import WORK_KINDS
from .history import Answered, Invoked
from .script import Outcome, Script, run_script, text_of
from .system import System

K = StatementKind
OPEN_LIMIT_S = 2.0  # how long a client waits for its session
ANSWER_LIMIT_S = 4.0  # beyond the statement timeout, so that a missing answer shows
PAUSE_S = 0.05  # between two statements, on average
REST_S = 3.5  # beyond the configuration's limit for idle transactions
RECONNECT_S = 0.2
STATEMENTS = 80  # of a session before its client ends it
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
    gateway: str = ""
    stream: trio.SocketStream | None = None
    read: UpstreamReader | None = None
    served: int = 0

    async def run(self, stop: trio.Event) -> None:
        """Open sessions and send operations until told to stop."""
        while not stop.is_set():
            try:
                await self._run_session(await self._open(), stop)
            except (SessionEnded, OSError, trio.BrokenResourceError, trio.TooSlowError):
                await trio.sleep(RECONNECT_S)
            finally:
                await self._close()

    async def _run_session(self, script: Script, stop: trio.Event) -> None:
        steps = run_script(script)
        statement = next(steps)
        for _ in range(STATEMENTS):
            if stop.is_set() and not script.transaction:
                return
            outcome = await self._send(script, statement)
            if not outcome.succeeded and statement.kind in (K.SET, K.PREPARE):
                return
            statement = steps.send(outcome)
            rest_s, script.rests = REST_S if script.rests else 0.0, False
            await trio.sleep(rest_s + self.system.random.uniform(0, 2 * PAUSE_S))

    async def _open(self) -> Script:
        system = self.system
        self.gateway = system.random.choice(sorted(system.ready) or sorted(system.gateways))
        relay = system.gateways[self.gateway].session_relay
        assert relay is not None
        with trio.fail_after(OPEN_LIMIT_S):
            self.stream = await trio.open_tcp_stream(*split_address(relay.listen_address))
            self.read = system.wire.statements.read_upstream()
            session = f"{self.name}.{next(self.serial)}"
            greeting = system.wire.statements.encode_startup(self.workspace, "")
            await self.stream.send_all(greeting.rstrip() + b"\r\n")
            message = await self._next()
            if isinstance(message, Refused) or not isinstance(message, Accepted):
                raise SessionEnded
        return Script(session, system.random, self.serial, ITEMS)

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

    async def _send(self, script: Script, statement: Statement) -> Outcome:
        """Send a statement and record it with its answer."""
        assert self.stream is not None
        system = self.system
        request_id = f"{script.session}-{next(self.serial)}"
        statement = statement._replace(request_id=request_id)
        route = system.configuration.routes.get(self.workspace) or self._last_route()
        system.recorder.add(invoked_event(clock_ms(), script, statement, self.gateway, route))
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

    def _take(self, statement: Statement, request_id: str, reply: object) -> Outcome:
        if not isinstance(reply, UpstreamReply):
            raise SessionEnded
        answer = answer_event(clock_ms(), statement, request_id, reply)
        self.system.recorder.add(answer)
        self.served += answer.outcome == "ok"
        return Outcome(reply.error is None, reply.state)


def invoked_event(
    at_ms: float, script: Script, statement: Statement, gateway: str, route: Route
) -> Invoked:
    """Return the record of a statement that is about to be sent."""
    if statement.kind is K.BEGIN:
        script.began_ms = at_ms
    return Invoked(
        at_ms,
        statement.request_id,
        script.session,
        gateway,
        route.workspace,
        route.service,
        route.freshness,
        route.staleness_ms,
        script.transaction,
        script.began_ms if script.transaction else at_ms,
        statement.kind.value,
        text_of(script, statement),
        tuple(sorted(script.values.items())),
    )


def answer_event(
    at_ms: float, statement: Statement, request_id: str, reply: UpstreamReply | AnswerStatement
) -> Answered:
    """Return the record of a client's answer; ``ok`` is an upstream's, ``own`` the gateway's."""
    if reply.error is not None:
        fault = reply.error.fault
        return Answered(at_ms, request_id, fault.value, fault in PROMISES, (), "")
    outcome = "ok" if statement.kind in WORK_KINDS else "own"
    return Answered(at_ms, request_id, outcome, False, reply.rows, reply.proof)
