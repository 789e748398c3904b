"""A simulation without I/O of gateways for one service, with clients, upstreams and control.

Time is simulated and all random choices come from one seed, so a run can be repeated exactly. The
upstreams are the soak's model, and the soak's checks verify the history.
"""

import heapq
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random
from typing import Any, NamedTuple

from endivewick_bench.soak import database as db
from endivewick_bench.soak.checks import CHECKS, TIMED_CHECKS, Recorder, Violation
from endivewick_bench.soak.clients import answer_event, invoked_event
from endivewick_bench.soak.execution import (
    WORK_KINDS,
    CallerConnection,
    Execution,
    Result,
    fail,
    fault_before_work,
    is_commit_replicated,
    run_without_slot,
    run_work,
)
from endivewick_bench.soak.history import Answered, Promoted
from endivewick_bench.soak.script import Outcome, Script, Steps, run_script
from endivewick_core.codec import decode, encode
from endivewick_core.directory import UpstreamReport, UpstreamState
from endivewick_core.gateway import effects as fx
from endivewick_core.gateway import events as ev
from endivewick_core.gateway import planned_stop
from endivewick_core.gateway.reducer import reduce
from endivewick_core.gateway.state import GatewaySettings, GatewayState
from endivewick_core.messages import (
    CODEC,
    ControlPeer,
    DirectoryAnswer,
    DirectoryQuestion,
    HeardReport,
    PrimaryLeaseAnswer,
    PrimaryLeaseNote,
    WatermarkNote,
)
from endivewick_core.routes import Freshness, Tenant
from endivewick_core.statements import (
    Error,
    Fault,
    Statement,
    StatementKind,
    UpstreamReply,
    UpstreamStatement,
)
from endivewick_core.upstream_links import (
    CloseConnection,
    ConnectionBroke,
    ConnectionOpened,
    ConnectionReplied,
    OpenConnection,
    SendStatements,
)
from gateway_driver import CONTROL, REGIONS, SERVICE, START_MS, configuration

K = StatementKind
DATA_CENTRES = list(REGIONS)
TICK_MS = 20
REPLICATE_MS = 5
PROBE_INTERVAL_MS = 400  # between control's probes of the primary for its position
LEASE_MS = 2_000  # on the primary, from the probe that confirmed it
RESTART_MS = 500
RECONNECT_MS = 300
IDLE_IN_TRANSACTION_MS = 3_500.0  # above the configuration's limit for idle transactions
WORK_MS = 4.0
ITEMS = 8  # few, so that sessions use the same items
LIMIT = 21
GATEWAYS_WITH_HOLDERS = 74  # as control counts them, so that connection holders are needed
GRACE_MS = 6_000  # of a planned stop
ANSWER_TIMEOUT_MS = 2_500  # a statement timeout, the longest freeze and half a second


@dataclass(slots=True, eq=False)
class Link:
    """A gateway's connection to an upstream, with the statements that aren't answered yet."""

    gateway: str
    number: int
    member: str
    connection: CallerConnection
    queue: deque[UpstreamStatement] = field(default_factory=deque)
    tenant: str = ""
    is_busy: bool = False
    is_closed: bool = False
    loses_next: bool = False


@dataclass(slots=True, eq=False)
class Client:
    """A client and the statement that it waits for; ``tenant`` has its key, if it has one."""

    name: str
    workspace: str
    tenant: str = ""
    gateway: str = ""
    number: int = 0
    script: Script | None = None
    steps: Steps | None = None
    current: Statement | None = None
    sent_ms: float = 0.0
    served: int = 0


@dataclass(slots=True)
class Node:
    """One gateway; while it is frozen its events are delayed."""

    state: GatewayState
    frozen_until_ms: float = 0.0
    starts_ms: float = 0.0
    delayed: list[Any] = field(default_factory=list)


class Load(NamedTuple):
    """The clients' load and an upstream's capacity."""

    pause_ms: float  # of a client between two statements, at most
    work_ms: float
    slots: int
    queue_limit: int
    connection_limit: int
    only_freshness: Freshness | None = None


TENANTS = ("alice", "bob", "carol")  # the clients of a simulation with tenants belong to them
REVOKED_MS = 7_000  # how long a key is revoked
REVOCATION_LIMIT_MS = 5_000  # after which nothing may run under a revoked key
DEFAULT_LOAD = Load(40.0, WORK_MS, 1_000, 32, LIMIT)


class Simulation:
    """One run of the simulation."""

    def __init__(
        self,
        seed: int,
        gateways: int = 3,
        clients: int = 6,
        holders: bool = False,
        load: Load = DEFAULT_LOAD,
        fenced: bool = True,
        has_tenants: bool = False,
        weights: bool = False,
    ):
        self.load = load
        self.weights = weights
        self.unresponsive: set[str] = set()  # members that accept connections and answer nothing
        self.failing: dict[str, float] = {}  # the share of statements that a member fails
        self.fenced = fenced
        self.used_slots: Counter[str] = Counter()
        self.waiting: dict[str, deque[tuple[Link, UpstreamStatement]]] = {}
        self.random = Random(seed)
        self.now_ms = float(START_MS)
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.order = count()
        self.serial = count(1)
        members = {
            f"u{number}": db.Member(
                f"u{number}", DATA_CENTRES[number], is_leader=not number, lag_ms=20.0
            )
            for number in range(3)
        }
        self.database = db.Database(SERVICE, members, fenced)
        self.recorder = Recorder(frozenset(CHECKS) - TIMED_CHECKS)
        self.execution = Execution(self.database, self.recorder, count(1))
        self.configuration = configuration(limit=load.connection_limit)
        self.revoked_ms: dict[str, float] = {}
        self.stopping: set[str] = set()  # gateways that control knows to be in a planned stop
        if has_tenants:
            tenants = {name: Tenant(name, 1, None, 0.0) for name in TENANTS}
            names = {f"key-{name}": name for name in TENANTS}
            self.configuration = self.configuration._replace(tenants=tenants, tenant_names=names)
        self.holders = holders
        self.addresses = [f"10.0.0.{20 + number}:7000" for number in range(gateways)]
        self.links: dict[tuple[str, int], Link] = {}
        self.watermarks: list[tuple[str, float, Any]] = []
        self.control_is_stale = False
        self.is_failing_over = False
        self.message_loss = 0.0
        self.next_arrival_ms: dict[tuple[str, str], float] = {}
        self.nodes = {address: Node(self._new_state(address)) for address in self.addresses}
        routes = sorted(
            name
            for name, route in self.configuration.routes.items()
            if load.only_freshness in (None, route.freshness)
        )
        # Neighbouring clients use different routes, and each tenant has clients on each route.
        owners = TENANTS if has_tenants else ("",)
        self.clients = [
            Client(f"c{n}", routes[n % len(routes)], owners[n // len(routes) % len(owners)])
            for n in range(clients)
        ]
        self.by_number: dict[int, Client] = {}
        self.numbers = count(1)
        self._every(TICK_MS, self._tick)
        self._every(REPLICATE_MS, lambda: db.replicate(self.database, self.now_ms))
        self._every(PROBE_INTERVAL_MS, self._probe_primary)
        for address in self.addresses:
            self._configure(address)
        for client in self.clients:
            self.schedule(1_000 + self.random.uniform(0, 50), lambda c=client: self._open(c))

    # Time.

    def schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (self.now_ms + delay_ms, next(self.order), action))

    def run(self, span_ms: float) -> None:
        end_ms = self.now_ms + span_ms
        while self.heap and self.heap[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self.heap)
            action()
        self.now_ms = end_ms

    def _every(self, interval_ms: float, action: Callable[[], None]) -> None:
        def again() -> None:
            action()
            self.schedule(interval_ms, again)

        self.schedule(interval_ms, again)

    # Gateways.

    def _new_state(self, address: str) -> GatewayState:
        settings = GatewaySettings(
            address,
            f"b{next(self.serial)}",
            "dc-a",
            REGIONS,
            [CONTROL],
            open_timeout_ms=400,
            needs_primary_leases=not self.fenced,
            uses_upstream_weights=self.weights,
        )
        return GatewayState(settings)

    def _configure(self, address: str, delay_ms: float = 50.0) -> None:
        self.schedule(
            delay_ms,
            lambda: self.deliver(
                address, ev.ConfigurationReceived(int(self.now_ms), self.configuration)
            ),
        )

    def deliver(self, address: str, event: Any) -> None:
        node = self.nodes[address]
        if self.now_ms < node.starts_ms:
            return
        if self.now_ms < node.frozen_until_ms:
            node.delayed.append(event)
            return
        state = node.state
        for effect in reduce(state, event):
            self._carry_out(address, effect)

    def _tick(self) -> None:
        for address, node in self.nodes.items():
            if self.now_ms < node.starts_ms or self.now_ms < node.frozen_until_ms:
                continue
            delayed, node.delayed = node.delayed, []
            for event in delayed:
                self.deliver(address, event._replace(now_ms=int(self.now_ms)))
            self.deliver(address, ev.Tick(int(self.now_ms)))
            self._check_stop(address, node)
        for client in self.clients:
            waits = client.current is not None and client.gateway in self.nodes
            if waits and self.now_ms - client.sent_ms > ANSWER_TIMEOUT_MS:
                text = f"{client.current} of {client.name} at {client.gateway} has no answer"
                self.recorder.violations.append(
                    Violation("answered", text, self.recorder.events[-1])
                )
                self._disconnect(client)

    def _carry_out(self, address: str, effect: Any) -> None:
        if isinstance(effect, OpenConnection):
            self._open_link(address, effect)
        elif isinstance(effect, SendStatements):
            link = self.links.get((address, effect.connection))
            if link is not None and not link.is_closed:
                link.queue.extend(effect.statements)
                self._work(link)
        elif isinstance(effect, CloseConnection):
            link = self.links.get((address, effect.connection))
            if link is not None:
                # Statements that were sent before may still run.
                self.schedule(self.random.uniform(0, 10), lambda: self._close_link(link))
        elif isinstance(effect, fx.Send):
            self._send(address, effect)
        elif isinstance(effect, fx.AcceptSession):
            self._next(self.by_number.get(effect.session), None)
        elif isinstance(effect, fx.AnswerStatement):
            self._handle_answer(self.by_number.get(effect.session), effect)
        elif isinstance(effect, fx.FinishSession):
            self.schedule(0.1, lambda: self._report_idle(address, effect.session))
        elif isinstance(effect, fx.CloseSession | fx.RefuseSession):
            client = self.by_number.get(effect.session)
            if client is not None:
                self._check_cut(address, client)
                self._disconnect(client)

    def _report_idle(self, address: str, number: int) -> None:
        client = self.by_number.get(number)
        if client is not None and client.current is None:
            self.deliver(address, ev.SessionIdle(int(self.now_ms), number))

    def _send(self, address: str, effect: fx.Send) -> None:
        if self.random.random() < self.message_loss:
            return
        message = decode(CODEC, encode(effect.message))
        delay_ms = self.random.uniform(0.2, 5.0)
        if isinstance(message, DirectoryQuestion):
            self.schedule(delay_ms, lambda: self._answer_poll(address, message))
            return
        if effect.address in self.nodes:
            target = effect.address
            if self.now_ms < self.nodes[target].starts_ms and target in self.stopping:
                undelivered = ev.MessageUndelivered(int(self.now_ms), target, message)
                self.schedule(0.1, partial(self._deliver_now, address, undelivered))
                return
            # Messages between two processes may be lost, but are not reordered.
            path = (address, target)
            self.next_arrival_ms[path] = max(
                self.now_ms + delay_ms, self.next_arrival_ms.get(path, 0.0)
            )
            self.schedule(
                self.next_arrival_ms[path] - self.now_ms,
                lambda: self.deliver(target, ev.MessageReceived(int(self.now_ms), message)),
            )

    # Control always knows the primary, but a control process that was frozen may send old data.

    def _probe_primary(self) -> None:
        if self.is_failing_over and not self.fenced:
            return  # each probe extends the lease
        leader = self.database.leader()
        if leader is not None and leader.is_up:
            self.watermarks.append((leader.name, self.now_ms, leader.received))

    def _answer_poll(self, address: str, question: DirectoryQuestion) -> None:
        if not self.watermarks:
            return
        known = (
            self.watermarks[: max(1, len(self.watermarks) - 5)]
            if self.control_is_stale
            else self.watermarks
        )
        upstream, asked_ms, position = known[-1]
        reports = [
            HeardReport(
                UpstreamReport(
                    member.name,
                    SERVICE,
                    f"10.0.1.{number}:5000",
                    member.data_centre,
                    3,
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
        if question.is_draining:
            self.stopping.add(address)
        else:
            self.stopping.discard(address)
        alive = [
            item
            for item in self.addresses
            if self.now_ms >= self.nodes[item].starts_ms and item not in self.stopping
        ]
        answer = DirectoryAnswer(
            question.sequence,
            "boot",
            1,
            reports,
            [ControlPeer(CONTROL, "10.0.0.1:80", "dc-a")],
            0,
            b"",
            [WatermarkNote(SERVICE, upstream, *position, int(self.now_ms - asked_ms) + 1)],
            0,
            GATEWAYS_WITH_HOLDERS if self.holders else len(self.addresses),
            {},
            alive if self.holders else [],
        )
        left_ms = int(asked_ms + LEASE_MS - self.now_ms)
        notes = [PrimaryLeaseNote(SERVICE, upstream, left_ms)] if left_ms > 0 else []
        delay_ms = self.random.uniform(0.2, 5.0)
        for message in (PrimaryLeaseAnswer(question.sequence, notes), answer):
            event = ev.MessageReceived(int(self.now_ms), message)
            self.schedule(delay_ms, partial(self._deliver_now, address, event))

    def _deliver_now(self, address: str, event: Any) -> None:
        self.deliver(address, event._replace(now_ms=int(self.now_ms)))

    # Upstreams.

    def _open_link(self, address: str, effect: OpenConnection) -> None:
        member = self.database.members[effect.upstream]
        connection = CallerConnection(next(self.execution.numbers))
        link = Link(address, effect.connection, effect.upstream, connection, tenant=effect.tenant)
        held = sum(
            item.member == member.name and not item.is_closed for item in self.links.values()
        )
        self.links[(address, effect.connection)] = link

        def opened() -> None:
            if link.is_closed:
                return
            if held >= self.load.connection_limit:
                self._break(link, Fault.TOO_MANY_CONNECTIONS)
            elif not member.is_up:
                self._break(link, Fault.ABORTED)
            else:
                event = ConnectionOpened(int(self.now_ms), link.number)
                self.deliver(address, event)

        self.schedule(self.random.uniform(1, 25), opened)

    def _close_link(self, link: Link) -> None:
        link.is_closed = True
        link.connection.transaction = None
        link.queue.clear()
        self.links.pop((link.gateway, link.number), None)

    def _break(self, link: Link, fault: Fault = Fault.ABORTED) -> None:
        if link.is_closed:
            return
        self._close_link(link)
        error = Error(fault, "the connection was reset")
        self.deliver(link.gateway, ConnectionBroke(int(self.now_ms), link.number, error))

    def _work(self, link: Link) -> None:
        if link.is_busy or link.is_closed or not link.queue:
            return
        link.is_busy = True
        message = link.queue.popleft()
        if message.statement.kind not in WORK_KINDS:
            self.schedule(0.05, lambda: self._run(link, message))
            return
        waiting = self.waiting.setdefault(link.member, deque())
        if len(waiting) >= self.load.queue_limit:
            member = self.database.members[link.member]
            self.schedule(
                0.05, lambda: self._complete(link, member, fail(link.connection, Fault.BUSY))
            )
            return
        waiting.append((link, message))
        self._take_slot(link.member)

    def _take_slot(self, member: str) -> None:
        waiting = self.waiting.setdefault(member, deque())
        while waiting and self.used_slots[member] < self.load.slots:
            link, message = waiting.popleft()
            self.used_slots[member] += 1
            took_ms = self.random.expovariate(1 / self.load.work_ms)
            self.schedule(took_ms, partial(self._free_slot, link, message))

    def _free_slot(self, link: Link, message: UpstreamStatement) -> None:
        self.used_slots[link.member] -= 1
        self._run(link, message)
        self._take_slot(link.member)

    def _run(self, link: Link, message: UpstreamStatement) -> None:
        if link.is_closed:
            return
        self._check_tenant(link, message)
        member = self.database.members[link.member]
        connection = link.connection
        if message.statement.kind in WORK_KINDS and self._fails(link):
            return
        result = run_without_slot(self.execution, member, connection, message)
        if result is None:
            fault = fault_before_work(connection, message.statement)
            if fault is None:
                result = run_work(self.execution, self.now_ms, member, connection, message)
            else:
                result = fail(connection, fault)
        self._complete(link, member, result)

    def _check_tenant(self, link: Link, message: UpstreamStatement) -> None:
        """Check that a client's statement runs on a connection of its tenant, and under its key."""
        name = message.statement.request_id.partition(".")[0]
        client = next((item for item in self.clients if item.name == name), None)
        if client is None:
            return
        revoked_ms = self.revoked_ms.get(client.tenant, self.now_ms)
        if link.tenant == client.tenant and self.now_ms - revoked_ms < REVOCATION_LIMIT_MS:
            return
        text = (
            f"{message.statement} of {client.tenant!r} ran on a connection of {link.tenant!r}, "
            f"{self.now_ms - revoked_ms:.0f} ms after its key was revoked"
        )
        self.recorder.violations.append(Violation("tenant", text, self.recorder.events[-1]))

    def _fails(self, link: Link) -> bool:
        """Fail a statement of a member that fails part of them; its connection is reset."""
        share = self.failing.get(link.member)
        if not share or self.random.random() >= share:
            return False
        self._break(link)
        return True

    def _complete(self, link: Link, member: db.Member, result: Result) -> None:
        """Answer once a replica has received the commit; a former primary never answers."""
        if link.is_closed or link.member in self.unresponsive:
            return
        if result.commit is not None:
            replicated = is_commit_replicated(self.execution, member, result.commit)
            if replicated is None:
                link.connection.is_silent = True
            elif not replicated:
                self.schedule(REPLICATE_MS, lambda: self._complete(link, member, result))
                return
        link.is_busy = False
        position = member.received if member.is_leader else member.position
        state = link.connection.state
        reply = UpstreamReply(result.rows, result.proof, result.error, state, position)
        is_lost, link.loses_next = link.loses_next and bool(result.proof), False
        if not link.connection.is_silent and not is_lost:
            event = ConnectionReplied(int(self.now_ms), link.number, reply)
            self.schedule(0.1, lambda: self._reply(link, event))
        self._work(link)

    def _reply(self, link: Link, event: ConnectionReplied) -> None:
        if not link.is_closed:
            self.deliver(link.gateway, event._replace(now_ms=int(self.now_ms)))

    # Clients.

    def _open(self, client: Client) -> None:
        client.gateway = self.random.choice(self.addresses)
        if self.now_ms < self.nodes[client.gateway].starts_ms:
            self.schedule(RECONNECT_MS, lambda: self._open(client))
            return
        client.number = next(self.numbers)
        session = f"{client.name}.{client.number}"
        client.script = Script(session, self.random, self.serial, ITEMS)
        client.steps = run_script(client.script)
        self.by_number[client.number] = client
        key = f"key-{client.tenant}" if client.tenant else ""
        event = ev.SessionOpened(int(self.now_ms), client.number, client.workspace, key)
        self.deliver(client.gateway, event)

    def _next(self, client: Client | None, outcome: Outcome | None) -> None:
        if client is None or client.script is None or client.steps is None:
            return
        statement = client.steps.send(outcome) if outcome is not None else next(client.steps)
        number, script = client.number, client.script
        pause_ms, script.idles_next = IDLE_IN_TRANSACTION_MS if script.idles_next else 0.0, False
        self.schedule(
            pause_ms + self.random.uniform(1, self.load.pause_ms),
            lambda: self._send_statement(client, number, statement),
        )

    def _send_statement(self, client: Client, number: int, statement: Statement) -> None:
        script = client.script
        if client.number != number or script is None:
            return
        statement = statement._replace(request_id=f"{script.session}-{next(self.serial)}")
        client.current, client.sent_ms = statement, self.now_ms
        route = self.configuration.routes[client.workspace]
        event = invoked_event(self.now_ms, script, statement, client.gateway, route)
        self.recorder.add(event)
        received = ev.StatementReceived(int(self.now_ms), client.number, statement)
        self.deliver(client.gateway, received)

    def _handle_answer(self, client: Client | None, answer: fx.AnswerStatement) -> None:
        if client is None:
            return
        statement, client.current = client.current, None
        if statement is None:
            text = f"{client.name} got {answer} though it waits for nothing"
            self.recorder.violations.append(Violation("answered", text, self.recorder.events[-1]))
            return
        event = answer_event(self.now_ms, statement, statement.request_id, answer)
        self.recorder.add(event)
        client.served += event.outcome == "ok"
        if answer.error is not None and statement.kind in (K.SET, K.PREPARE):
            self._disconnect(client)
            return
        self._next(client, Outcome(answer.error is None, answer.state))

    def _disconnect(self, client: Client) -> None:
        """Close a client's connection; the client opens another one later."""
        statement, client.current = client.current, None
        if statement is not None:
            self.recorder.add(Answered(self.now_ms, statement.request_id, "cut", False, (), ""))
        self.by_number.pop(client.number, None)
        closed = ev.SessionClosed(int(self.now_ms), client.number)
        client.number, client.script, client.steps = 0, None, None
        self.deliver(client.gateway, closed)
        self.schedule(RECONNECT_MS, lambda: self._open(client))

    # Faults.

    def inject_fault(self) -> str:
        """Inject a random fault; return its name."""
        faults = (
            self.break_link,
            self.silence_link,
            self.lose_answer,
            self.crash_member,
            self.fail_over,
            self.lag_member,
            self.partition_member,
            self.freeze_gateway,
            self.kill_gateway,
            self.change_configuration,
            self.stale_control,
            self.lose_messages,
            self.disconnect_client,
        )
        if self.configuration.tenants is not None:
            faults += (self.revoke_key,) * 2
        fault = self.random.choice(faults)
        fault()
        return fault.__name__

    def _random_link(self) -> Link | None:
        links = [item for item in self.links.values() if not item.is_closed]
        return self.random.choice(links) if links else None

    def _random_member(self) -> db.Member:
        return self.random.choice(list(self.database.members.values()))

    def break_link(self) -> None:
        link = self._random_link()
        if link is not None:
            self._break(link)

    def silence_link(self) -> None:
        link = self._random_link()
        if link is not None:
            link.connection.is_silent = True

    def lose_answer(self) -> None:
        for link in self.links.values():
            link.loses_next = link.loses_next or self.random.random() < 0.3

    def crash_member(self) -> None:
        member = self._random_member()
        member.is_up = False
        for link in list(self.links.values()):
            if link.member == member.name:
                self._break(link)

        def come_back() -> None:
            member.is_up = True

        self.schedule(self.random.uniform(200, 2_000), come_back)

    def fail_over(self) -> None:
        """Pause all replicas, then promote the one with the newest received position."""
        leader = self.database.leader()
        replicas = [item for item in self.database.members.values() if item is not leader]
        if self.is_failing_over or not all(item.is_up for item in replicas):
            return
        self.is_failing_over = True
        newest = max(item.term for item in self.database.members.values())
        for item in replicas:
            # A pause takes effect only above the newest term, which a partitioned member may lack.
            item.paused_term = newest + 1
        target = max(replicas, key=lambda item: item.received)
        delay_ms = self.random.uniform(1, 300)
        if not self.fenced and self.watermarks:
            delay_ms += self.watermarks[-1][1] + LEASE_MS - self.now_ms
        self.schedule(delay_ms, lambda: self._promote(target.name))

    def _promote(self, name: str) -> None:
        member = db.promote(self.database, name)
        log = frozenset(item for entry in member.log for item in entry.request_ids)
        self.recorder.add(Promoted(self.now_ms, SERVICE, name, member.term, log))
        for item in self.database.members.values():
            item.paused_term = 0
        self.is_failing_over = False

    def lag_member(self) -> None:
        member = self._random_member()
        member.lag_ms = self.random.choice((500.0, 3_000.0))

        def catch_up() -> None:
            member.lag_ms = 20.0

        self.schedule(self.random.uniform(200, 3_000), catch_up)

    def partition_member(self) -> None:
        member = self._random_member()
        member.is_linked = False

        def heal() -> None:
            member.is_linked = True

        self.schedule(self.random.uniform(200, 1_500), heal)

    def freeze_gateway(self) -> None:
        node = self.nodes[self.random.choice(self.addresses)]
        node.frozen_until_ms = self.now_ms + self.random.uniform(100, 900)

    def stop_gateway(self, address: str) -> None:
        """Start a planned stop of a gateway; it starts again after its end."""
        if self.now_ms >= self.nodes[address].starts_ms:
            self.deliver(address, ev.DrainRequested(int(self.now_ms), GRACE_MS))

    def _check_stop(self, address: str, node: Node) -> None:
        """End a gateway whose planned stop is complete; it must cut off nothing."""
        state = node.state
        since_ms = state.draining_since_ms
        if since_ms is None:
            return
        if self.now_ms > since_ms + GRACE_MS + 2 * TICK_MS:
            text = f"the planned stop of {address} took {self.now_ms - since_ms:.0f} ms"
            self.recorder.violations.append(Violation("stops", text, self.recorder.events[-1]))
        elif not planned_stop.is_drained(state, int(self.now_ms)):
            return
        for client in self.clients:
            if client.gateway == address and client.number:
                self._check_cut(address, client)
        self._end_gateway(address)

    def _check_cut(self, address: str, client: Client) -> None:
        is_stopping = self.nodes[address].state.draining_since_ms is not None
        if client.current is not None and is_stopping:
            text = f"{client.current} of {client.name} was cut off by the stop of {address}"
            self.recorder.violations.append(Violation("stops", text, self.recorder.events[-1]))

    def kill_gateway(self) -> None:
        address = self.random.choice(self.addresses)
        if self.now_ms >= self.nodes[address].starts_ms:
            self._end_gateway(address)

    def _end_gateway(self, address: str) -> None:
        self.nodes[address] = Node(self._new_state(address), starts_ms=self.now_ms + RESTART_MS)
        for link in list(self.links.values()):
            if link.gateway == address:
                self.schedule(self.random.uniform(0, 5), lambda one=link: self._close_link(one))
        for client in self.clients:
            if client.gateway == address and client.number:
                self._disconnect(client)
        self._configure(address, RESTART_MS + 60.0)

    def revoke_key(self) -> None:
        """Revoke the key of a tenant for a time in which nobody may go on under it."""
        tenant = self.random.choice(TENANTS)
        if tenant in self.revoked_ms:
            return

        def restore() -> None:
            del self.revoked_ms[tenant]
            self.change_configuration()

        self.revoked_ms[tenant] = self.now_ms
        self.change_configuration()
        self.schedule(REVOKED_MS, restore)

    def change_configuration(self) -> None:
        if self.configuration.tenants is not None:
            names = {f"key-{name}": name for name in TENANTS if name not in self.revoked_ms}
            self.configuration = self.configuration._replace(tenant_names=names)
        version = self.configuration.version + 1
        self.configuration = self.configuration._replace(version=version)
        for address in self.addresses:
            self._configure(address, self.random.uniform(1, 800))

    def stale_control(self) -> None:
        self.control_is_stale = True

        def thaw() -> None:
            self.control_is_stale = False

        self.schedule(self.random.uniform(300, 2_000), thaw)

    def lose_messages(self) -> None:
        self.message_loss = 0.5

        def heal() -> None:
            self.message_loss = 0.0

        self.schedule(self.random.uniform(200, 1_000), heal)

    def disconnect_client(self) -> None:
        client = self.random.choice(self.clients)
        if client.number:
            self._disconnect(client)
