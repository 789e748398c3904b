"""A driver for one control process's reducer: it plays upstreams, peers and the platform."""

from dataclasses import dataclass, field
from typing import Any

from endivewick_core.control import effects as cx
from endivewick_core.control import election
from endivewick_core.control import events as ce
from endivewick_core.control.reducer import reduce
from endivewick_core.control.state import ControlSettings, ControlState, Membership, Role
from endivewick_core.directory import UpstreamReport, UpstreamState
from endivewick_core.messages import (
    AppendReply,
    AppendRequest,
    ControlPeer,
    DirectoryShare,
    DirectoryShareReceived,
    Member,
    PrimaryHealth,
)
from endivewick_core.positions import Position
from endivewick_core.statements import (
    Error,
    Fault,
    StatementKind,
    TransactionState,
    UpstreamReply,
    UpstreamStatus,
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
ADDRESSES = ("10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000")
CENTRES = dict(zip(ADDRESSES, ("dc-a", "dc-b", "dc-c"), strict=True))
START_MS = 100_000


def peer(address):
    return ControlPeer(address, address.replace(":7000", ":80"), CENTRES[address])


@dataclass
class FakeUpstream:
    """An upstream that answers control's questions as its fields say."""

    name: str
    leads: bool = False
    received: Position = Position(1, 10)
    reachable: bool = True
    term: int = 1
    paused_term: int = 0
    state: UpstreamState = UpstreamState.READY
    born_ms: int = 1_000
    address: str = ""

    def __post_init__(self):
        self.address = self.address or f"10.0.1.1:{5_000 + sum(self.name.encode())}"


@dataclass
class Control:
    """A leader under test with two followers that agree to everything."""

    state: ControlState
    upstreams: dict[str, FakeUpstream]
    now_ms: int = START_MS
    connections: dict[int, str] = field(default_factory=dict)
    orders: list[cx.OrderFailover] = field(default_factory=list)
    acknowledged: list[int] = field(default_factory=list)
    refused: list[int] = field(default_factory=list)
    answers: dict[int, Any] = field(default_factory=dict)
    shares: list[tuple[str, DirectoryShare]] = field(default_factory=list)
    log_event_names: list[str] = field(default_factory=list)
    log_events: list[cx.LogEvent] = field(default_factory=list)
    replies: list[Any] = field(default_factory=list)
    deaf: set[str] = field(default_factory=set)
    sequence: int = 1

    def handle(self, event):
        """Reduce one event and carry out its effects at once."""
        self._perform(reduce(self.state, event))

    def _perform(self, effects):
        pending = list(effects)
        while pending:
            pending += self._carry_out(pending.pop(0))

    def _carry_out(self, effect):
        if isinstance(effect, cx.Send):
            return self._follow(effect)
        if isinstance(effect, OpenConnection):
            self.connections[effect.connection] = effect.upstream
            if self.upstreams[effect.upstream].reachable:
                return reduce(self.state, ConnectionOpened(self.now_ms, effect.connection))
        if isinstance(effect, CloseConnection):
            self.connections.pop(effect.connection, None)
        if isinstance(effect, SendStatements):
            return self._ask(effect)
        if isinstance(effect, cx.OrderFailover):
            self.orders.append(effect)
        if isinstance(effect, cx.AcknowledgeReport):
            self.acknowledged.append(effect.number)
        if isinstance(effect, cx.RefuseReport):
            self.refused.append(effect.number)
        if isinstance(effect, cx.AnswerOperator | cx.AnswerConfiguration | cx.RedirectOperator):
            self.answers[effect.number] = effect
        if isinstance(effect, cx.LogEvent):
            self.log_event_names.append(effect.name)
            self.log_events.append(effect)
        return []

    def _follow(self, effect):
        message = effect.message
        if isinstance(message, DirectoryShare):
            self.shares.append((effect.address, message))
            if message.serial and effect.address not in self.deaf:
                received = DirectoryShareReceived(effect.address, message.serial)
                return reduce(self.state, ce.MessageReceived(self.now_ms, received))
        if isinstance(message, AppendRequest) and effect.address not in self.deaf:
            match = message.previous_index + len(message.entries)
            reply = AppendReply(
                message.term, f"{effect.address}#founder", True, match, message.round_number
            )
            return reduce(self.state, ce.MessageReceived(self.now_ms, reply))
        self.replies.append(effect)
        return []

    def _ask(self, effect):
        upstream = self.upstreams[self.connections[effect.connection]]
        effects = []
        for item in effect.statements:
            if not upstream.reachable:
                continue
            reply = self._reply(upstream, item.statement)
            effects += reduce(self.state, ConnectionReplied(self.now_ms, effect.connection, reply))
        return effects

    def _reply(self, upstream, statement):
        state = TransactionState.IDLE
        if statement.kind is StatementKind.BEGIN and upstream.leads:
            state = TransactionState.OPEN
        if statement.kind is StatementKind.PAUSE:
            upstream.paused_term = int(statement.argument)
        if statement.kind is StatementKind.RESUME:
            upstream.paused_term = 0
        if statement.kind is StatementKind.STEP_DOWN:
            upstream.leads = upstream.leads and int(statement.argument) <= upstream.term
        status = None
        if statement.kind in (StatementKind.PAUSE, StatementKind.RESUME, StatementKind.STEP_DOWN):
            status = UpstreamStatus(
                upstream.leads, upstream.received, upstream.term, upstream.paused_term
            )
        error = None
        if statement.kind is StatementKind.BEGIN and not upstream.leads:
            error = Error(Fault.READ_ONLY, "")
        return UpstreamReply((), "", error, state, upstream.received, status)

    def make_follower(self, leader=""):
        """Make the process a follower of ``leader`` that calls no election for a minute."""
        state = self.state
        state.role, state.leader_state, state.leader = Role.FOLLOWER, None, leader
        state.leader_last_contact_ms = self.now_ms
        state.election_due_ms = self.now_ms + 60_000

    def win_election(self):
        """Make the process the leader of the next term, with the votes of a quorum."""
        state = self.state
        state.term += 1
        state.voted_for = state.me.member_id
        state.votes = {state.me.member_id, f"{ADDRESSES[1]}#founder"}
        state.role = Role.CANDIDATE
        self._perform(election._count_votes(state, self.now_ms))

    def restart(self):
        """Start the process again with its durable log; it calls no election for a minute."""
        before = self.state
        assert not before.log.start_index, "a compacted log needs its snapshot"
        self.state = ControlState(before.settings, before.me, Role.FOLLOWER)
        self.state.term, self.state.voted_for = before.term, before.voted_for
        self.state.log = before.log
        self.state.snapshot_membership = before.snapshot_membership
        self.state.directory_state.boot = f"boot at {self.now_ms}"
        self.state.election_due_ms = self.now_ms + 60_000
        self.connections.clear()

    def break_connections(self, name):
        """End an upstream's connections, as a crash does."""
        for number in [item for item, upstream in self.connections.items() if upstream == name]:
            del self.connections[number]
            error = Error(Fault.ABORTED, "the upstream closed the connection")
            self.handle(ConnectionBroke(self.now_ms, number, error))

    def run(self, for_ms, step_ms=20):
        """Let time pass; upstreams keep reporting and followers keep sharing."""
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.now_ms += step_ms
            if self.now_ms % 1_000 < step_ms:
                self.report_all()
                self.share()
            self.handle(ce.Tick(self.now_ms, 0.5))

    def share(self, failing_ms=None):
        """Let the followers say how they find the primary: as this process does, or as told."""
        for address in ADDRESSES[1:]:
            if address in self.deaf:
                continue
            mark = self.state.watch.watermarks.get(SERVICE)
            primary = mark.upstream if mark else ""
            failing = not self.upstreams[primary].reachable if primary else False
            told = failing_ms if failing_ms is not None else (1_000 if failing else 0)
            health = [PrimaryHealth(SERVICE, primary, told, 0)] if primary else []
            share = DirectoryShare(peer(address), 0, [], health, 0, [], {})
            self.handle(ce.MessageReceived(self.now_ms, share))

    def report_all(self):
        """Let every reachable upstream report itself."""
        for upstream in self.upstreams.values():
            if upstream.reachable:
                self.report(upstream)

    def report(self, upstream, number=0):
        """Let an upstream report itself."""
        self.sequence += 1
        made = UpstreamReport(
            upstream.name,
            SERVICE,
            upstream.address,
            "dc-a",
            3,
            upstream.state,
            upstream.leads,
            0,
            upstream.born_ms,
            self.sequence,
        )
        self.handle(ce.ReportReceived(self.now_ms, number, made))

    def operator(self, number, request):
        """Send an operator's request."""
        self.handle(ce.OperatorRequested(self.now_ms, number, request))

    def platform(self, outcome):
        """Answer the newest order."""
        order = self.orders[-1]
        event = ce.FailoverAnswered(self.now_ms, order.service, order.token, outcome)
        self.handle(event)

    def promote(self, name, is_fenced=True):
        """Let an upstream lead the next term, as the platform does after an order.

        A platform that fences former primaries ends their leadership at the same moment.
        """
        term = max(item.term for item in self.upstreams.values()) + 1
        for upstream in self.upstreams.values():
            upstream.leads = upstream.name == name or (upstream.leads and not is_fenced)
        self.upstreams[name].term = term
        self.upstreams[name].received = Position(term, self.upstreams[name].received.offset)
        self.upstreams[name].paused_term = 0


def leading_control(
    primary_lease_ms=2_000,
    fences_primaries=True,
    lease_margin_ms=100,
    driver=Control,
    upstream=FakeUpstream,
):
    """Return a leader of three founders, with a configuration and three upstreams."""
    me = Member(f"{ADDRESSES[0]}#founder", ADDRESSES[0], ADDRESSES[0])
    settings = ControlSettings(
        {},
        {},
        ADDRESSES,
        3,
        peer(ADDRESSES[0]),
        primary_lease_ms=primary_lease_ms,
        lease_margin_ms=lease_margin_ms,
        fences_primaries=fences_primaries,
    )
    state = ControlState(settings, me, Role.FOLLOWER)
    voters = [Member(f"{address}#founder", address, address) for address in ADDRESSES]
    state.snapshot_membership = Membership(voters, [])
    state.directory_state.boot = "boot"
    upstreams = {
        "u-primary": upstream("u-primary", leads=True),
        "u-second": upstream("u-second"),
        "u-third": upstream("u-third"),
    }
    control = driver(state, upstreams)
    control.win_election()
    control.run(200)
    control.operator(1, ce.PutConfigurationRequest(1, [SERVICE], b"document-1"))
    control.report_all()
    control.run(2_000)
    return control
