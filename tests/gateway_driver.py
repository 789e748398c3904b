"""A test driver for the gateway's reducer; it acts as its clients, upstreams and control."""

from dataclasses import dataclass, field
from typing import Any

from endivewick_core.directory import UpstreamReport, UpstreamState
from endivewick_core.gateway import effects as fx
from endivewick_core.gateway import events as ev
from endivewick_core.gateway.reducer import reduce
from endivewick_core.gateway.state import GatewaySettings, GatewayState
from endivewick_core.messages import (
    ControlPeer,
    DirectoryAnswer,
    HeardReport,
    PrimaryLeaseAnswer,
    PrimaryLeaseNote,
    PrimaryWaitNote,
    WatermarkNote,
)
from endivewick_core.positions import Position
from endivewick_core.routes import Configuration, Freshness, Route, Service
from endivewick_core.statements import (
    Error,
    Fault,
    Statement,
    StatementKind,
    TransactionState,
    UpstreamReply,
)
from endivewick_core.upstream_links import (
    CloseConnection,
    ConnectionBroke,
    ConnectionOpened,
    ConnectionReplied,
    OpenConnection,
    SendStatements,
)

SERVICE = "orders"
PRIMARY, REPLICA, FAR_REPLICA = "u-primary", "u-replica", "u-far"
CONTROL = "10.0.0.1:7000"
REGIONS = {"dc-a": "north", "dc-b": "north", "dc-c": "south"}
START_MS = 100_000


def route(workspace, freshness, **changes):
    fields = Route(workspace, SERVICE, freshness, 1_000, 600, 1, 1_500)
    return fields._replace(**changes)


def configuration(version=1, limit=21, **changes):
    routes = {
        "strict": route("strict", Freshness.PRIMARY),
        "bounded": route("bounded", Freshness.BOUNDED),
        "session": route("session", Freshness.SESSION),
    }
    default = Configuration(version, routes, {SERVICE: Service(SERVICE, limit, 1)}, 3_000)
    return default._replace(**changes)


def report(upstream, **changes):
    data_centres = {PRIMARY: "dc-c", REPLICA: "dc-a", FAR_REPLICA: "dc-b"}
    address = f"10.0.1.{len(upstream)}:{5_000 + sum(upstream.encode())}"
    default = UpstreamReport(
        upstream,
        SERVICE,
        address,
        data_centres.get(upstream, "dc-a"),
        3,
        UpstreamState.READY,
        upstream == PRIMARY,
        0,
        1_000,
        1,
    )
    return default._replace(**changes)


def position(number, term=1):
    return Position(term, number)


@dataclass
class Sent:
    """A statement that was sent to an upstream and isn't answered yet."""

    connection: int
    upstream: str
    kind: StatementKind
    statement: Statement
    wait_for: Position | None


@dataclass
class Gateway:
    """A gateway under test, with its effects and the statements that aren't answered yet."""

    state: GatewayState
    now_ms: int = START_MS
    upstream_of: dict[int, str] = field(default_factory=dict)
    tenant_of: dict[int, str] = field(default_factory=dict)
    opening: list[int] = field(default_factory=list)
    sent: list[Sent] = field(default_factory=list)
    writes: list[list[StatementKind]] = field(default_factory=list)
    answers: list[Any] = field(default_factory=list)
    closed: list[int] = field(default_factory=list)
    closed_sessions: list[int] = field(default_factory=list)
    refused: list[Any] = field(default_factory=list)
    log_events: list[fx.LogEvent] = field(default_factory=list)
    documents: list[fx.ApplyDocument] = field(default_factory=list)
    messages: list[fx.Send] = field(default_factory=list)
    connects: list[str] = field(default_factory=list)
    unread: set[int] = field(default_factory=set)  # sessions of which more has arrived
    next_id: int = 1

    def handle(self, event):
        """Reduce one event and record its effects."""
        effects = reduce(self.state, event)
        for effect in effects:
            self._record_effect(effect)
        for effect in effects:
            if isinstance(effect, fx.FinishSession) and effect.session not in self.unread:
                self.handle(ev.SessionIdle(self.now_ms, effect.session))

    def _record_effect(self, effect):
        if isinstance(effect, OpenConnection):
            self.upstream_of[effect.connection] = effect.upstream
            self.tenant_of[effect.connection] = effect.tenant
            self.opening.append(effect.connection)
        elif isinstance(effect, SendStatements):
            kinds = [item.statement.kind for item in effect.statements]
            self.writes.append(kinds)
            upstream = self.upstream_of[effect.connection]
            for item in effect.statements:
                sent = Sent(
                    effect.connection, upstream, item.statement.kind, item.statement, item.wait_for
                )
                self.sent.append(sent)
        elif isinstance(effect, CloseConnection):
            self.closed.append(effect.connection)
            self.sent = [item for item in self.sent if item.connection != effect.connection]
        elif isinstance(effect, fx.AnswerStatement):
            self.answers.append(effect)
        elif isinstance(effect, fx.CloseSession):
            self.closed_sessions.append(effect.session)
        elif isinstance(effect, fx.RefuseSession):
            self.refused.append(effect)
        elif isinstance(effect, fx.LogEvent):
            self.log_events.append(effect)
        elif isinstance(effect, fx.ApplyDocument):
            self.documents.append(effect)
        elif isinstance(effect, fx.Send):
            self.messages.append(effect)
        elif isinstance(effect, fx.Connect):
            self.connects.append(effect.address)

    def tick(self, passed_ms=20):
        """Advance the time in one step and send a tick."""
        self.now_ms += passed_ms
        self.handle(ev.Tick(self.now_ms))

    def answer_poll(self, reports=(), watermarks=(), **changes):
        """Answer the gateway's latest poll of control."""
        question = [item for item in self.messages if item.address == CONTROL][-1].message
        answer = DirectoryAnswer(
            question.sequence,
            "boot",
            1,
            [HeardReport(item, 0) for item in reports],
            [ControlPeer(CONTROL, "10.0.0.1:80", "dc-a")],
            0,
            b"",
            list(watermarks),
            0,
            1,
            {},
            [],
        )
        self.handle(ev.MessageReceived(self.now_ms, answer._replace(**changes)))

    def grant_lease(self, left_ms=2_000, upstream=PRIMARY, leadership=0):
        """Let control answer the gateway's latest poll with a lease on the primary."""
        self.answer_leases([PrimaryLeaseNote(SERVICE, upstream, left_ms, leadership)])

    def tell_wait(self, waited_ms, left_ms=20_000):
        """Let control answer the gateway's latest poll with a failover that waits for commits."""
        self.answer_leases([], [PrimaryWaitNote(SERVICE, waited_ms, left_ms)])

    def answer_leases(self, leases, waits=()):
        """Let control answer the gateway's latest poll with what it knows of the primaries."""
        question = [item for item in self.messages if item.address == CONTROL][-1].message
        answer = PrimaryLeaseAnswer(question.sequence, leases, list(waits))
        self.handle(ev.MessageReceived(self.now_ms, answer))

    def open_all(self):
        """Accept every connection that is being opened, and answer its setup statements."""
        while self.opening:
            self.handle(ConnectionOpened(self.now_ms, self.opening.pop(0)))
        self.answer_own_statements()

    def answer_own_statements(self):
        """Answer the gateway's own statements, but not its clients', at position 1.10."""
        while True:
            item = next((one for one in self.sent if one.statement.request_id == "-"), None)
            if item is None or item is not self._first_on(item.connection):
                return
            self.reply(item)

    def _first_on(self, connection):
        return next(item for item in self.sent if item.connection == connection)

    def reply(self, item, error=None, number=10, rows=(), term=1, state=None):
        """Answer the oldest unanswered statement of a connection."""
        assert item is self._first_on(item.connection), "answers come in order"
        self.sent.remove(item)
        if state is None:
            state = self._state_after(item, error)
        proof = "" if error or item.statement.request_id == "-" else f"proof-{number}"
        reply = UpstreamReply(rows, proof, error, state, position(number, term))
        self.handle(ConnectionReplied(self.now_ms, item.connection, reply))

    def _state_after(self, item, error):
        open_now = self.state.connections[item.connection].in_transaction
        if item.kind is StatementKind.BEGIN:
            return TransactionState.IDLE if error else TransactionState.OPEN
        if item.kind in (StatementKind.ROLLBACK, StatementKind.COMMIT):
            return TransactionState.IDLE
        if open_now:
            return TransactionState.FAILED if error else TransactionState.OPEN
        return TransactionState.IDLE

    def break_connection(self, connection, fault=Fault.ABORTED):
        """Break a connection with an error."""
        self.sent = [item for item in self.sent if item.connection != connection]
        error = Error(fault, "the connection was reset")
        self.handle(ConnectionBroke(self.now_ms, connection, error))

    def session(self, number, workspace, key=""):
        """Open a session."""
        self.handle(ev.SessionOpened(self.now_ms, number, workspace, key))
        return number

    def send(self, session, kind, **fields):
        """Send a statement of a session; return its request id."""
        request_id = f"r{self.next_id}"
        self.next_id += 1
        texts = {
            StatementKind.READ: "read a",
            StatementKind.WRITE: "write a 1",
            StatementKind.COMMIT: "commit",
        }
        statement = Statement(kind, request_id, texts.get(kind, ""), **fields)
        self.handle(ev.StatementReceived(self.now_ms, session, statement))
        return request_id

    def find_sent(self, request_id):
        """Return a client's unanswered statement at an upstream, or None."""
        for item in self.sent:
            if item.statement.request_id == request_id:
                return item
        return None

    def watermark(self, number, age_ms=0, term=1, upstream=PRIMARY):
        """Return a watermark as control sends it."""
        return WatermarkNote(SERVICE, upstream, term, number, age_ms)


def ready_gateway(
    version=1,
    connections=1,
    address="10.0.0.9:7000",
    needs_primary_leases=False,
    uses_upstream_weights=False,
    **changes,
):
    """Return a gateway with a configuration, three upstreams and open connections."""
    settings = GatewaySettings(
        address,
        "b",
        "dc-a",
        REGIONS,
        [CONTROL],
        needs_primary_leases=needs_primary_leases,
        uses_upstream_weights=uses_upstream_weights,
    )
    gateway = Gateway(GatewayState(settings))
    gateway.tick()
    gateway.handle(ev.ConfigurationReceived(gateway.now_ms, configuration(version, **changes)))
    reports = [report(PRIMARY), report(REPLICA), report(FAR_REPLICA)]
    gateway.answer_poll(reports, [gateway.watermark(10)])
    for _ in range(connections):
        gateway.tick()
        gateway.open_all()
    return gateway
