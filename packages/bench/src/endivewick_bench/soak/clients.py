"""The clients of a soak: each runs sessions over the wire, one connection per session."""

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
OPEN_TIMEOUT_S = 2.0  # until the gateway accepts a session
ANSWER_TIMEOUT_S = 4.0  # above the statement timeout, so that a missing answer is noticed
MEAN_PAUSE_S = 0.05  # between two statements
IDLE_IN_TRANSACTION_S = 3.5  # above the configuration's limit for idle transactions
RECONNECT_S = 0.2
SESSION_STATEMENTS = 80  # after which the client ends the session
ITEMS = 50
NOTHING_KEPT_FAULTS = frozenset(
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
    """A client of one workspace; ``served`` counts the answers that it got from upstreams."""

    name: str
    workspace: str
    system: System
    serial: "count[int]" = field(default_factory=lambda: count(1))
    gateway: str = ""
    stream: trio.SocketStream | None = None
    read: UpstreamReader | None = None
    served: int = 0

    async def run(self, stop: trio.Event) -> None:
        """Open sessions and send statements until ``stop`` is set."""
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
        for _ in range(SESSION_STATEMENTS):
            if stop.is_set() and not script.transaction:
                return
            outcome = await self._send(script, statement)
            if not outcome.succeeded and statement.kind in (K.SET, K.PREPARE):
                return
            statement = steps.send(outcome)
            idle_s, script.idles_next = IDLE_IN_TRANSACTION_S if script.idles_next else 0.0, False
            await trio.sleep(idle_s + self.system.random.uniform(0, 2 * MEAN_PAUSE_S))

    async def _open(self) -> Script:
        system = self.system
        self.gateway = system.random.choice(sorted(system.ready) or sorted(system.gateways))
        relay = system.gateways[self.gateway].session_relay
        assert relay is not None
        with trio.fail_after(OPEN_TIMEOUT_S):
            self.stream = await trio.open_tcp_stream(*split_address(relay.listen_address))
            self.read = system.wire.statements.read_upstream()
            session = f"{self.name}.{next(self.serial)}"
            greeting = system.wire.statements.encode_startup(self.workspace, "", "")
            await self.stream.send_all(greeting.rstrip() + b"\r\n")
            message = await self._receive_message()
            if isinstance(message, Refused) or not isinstance(message, Accepted):
                raise SessionEnded
        return Script(session, system.random, self.serial, ITEMS)

    async def _close(self) -> None:
        if self.stream is not None:
            await trio.aclose_forcefully(self.stream)
        self.stream = None

    async def _receive_message(self) -> object:
        assert self.stream is not None and self.read is not None
        while True:
            data = await self.stream.receive_some()
            if not data:
                raise SessionEnded
            messages = self.read(data)
            if messages:
                return messages[0]

    async def _send(self, script: Script, statement: Statement) -> Outcome:
        """Send a statement; record it and its answer."""
        assert self.stream is not None
        system = self.system
        request_id = f"{script.session}-{next(self.serial)}"
        statement = statement._replace(request_id=request_id)
        route = system.configuration.routes.get(self.workspace) or self._removed_route()
        system.recorder.add(invoked_event(clock_ms(), script, statement, self.gateway, route))
        data = system.wire.statements.encode_statement(UpstreamStatement(statement))
        try:
            with trio.fail_after(ANSWER_TIMEOUT_S):
                await self.stream.send_all(data)
                reply = await self._receive_message()
        except (SessionEnded, OSError, trio.BrokenResourceError, trio.TooSlowError):
            system.recorder.add(Answered(clock_ms(), request_id, "cut", False, (), ""))
            raise
        return self._record_reply(statement, request_id, reply)

    def _removed_route(self) -> Route:
        return self.system.removed_routes[self.workspace]

    def _record_reply(self, statement: Statement, request_id: str, reply: object) -> Outcome:
        if not isinstance(reply, UpstreamReply):
            raise SessionEnded
        answer = answer_event(clock_ms(), statement, request_id, reply)
        self.system.recorder.add(answer)
        self.served += answer.outcome == "ok"
        return Outcome(reply.error is None, reply.state)


def invoked_event(
    at_ms: float, script: Script, statement: Statement, gateway: str, route: Route
) -> Invoked:
    """Return the event of a statement that is about to be sent."""
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
    """Return the event of an answer; ``ok`` is an upstream's, ``own`` the gateway's."""
    if reply.error is not None:
        fault = reply.error.fault
        return Answered(at_ms, request_id, fault.value, fault in NOTHING_KEPT_FAULTS, (), "")
    outcome = "ok" if statement.kind in WORK_KINDS else "own"
    return Answered(at_ms, request_id, outcome, False, reply.rows, reply.proof)
