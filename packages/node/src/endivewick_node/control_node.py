"""The shell of a control process: durable effects are synced before any later effect."""

import ssl
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import trio
from endivewick_core.codec import CodecFault, decode, encode
from endivewick_core.commands import COMMANDS, ChangeMembership
from endivewick_core.control import effects as fx
from endivewick_core.control import replication
from endivewick_core.control.events import (
    Event,
    FailoverAnswered,
    MessageReceived,
    OperatorRequested,
    Tick,
)
from endivewick_core.control.log import Log
from endivewick_core.control.reducer import reduce
from endivewick_core.control.state import (
    ControlSettings,
    ControlState,
    Membership,
    Role,
    decode_membership,
    encode_membership,
)
from endivewick_core.documents import decompress
from endivewick_core.exceptions import NO_QUORUM, Failure
from endivewick_core.machine import decode_machine
from endivewick_core.messages import CODEC, Member
from endivewick_core.upstream_links import CloseConnection, OpenConnection, SendStatements
from returns.result import Failure as Failed

from .clock import draw, now_ms
from .conf import ClusterSection, HttpSection, Settings, StatsdSection
from .control_api import parse_operator
from .exposition import Exposition, serve_metrics
from .http_server import Answer, Connection, HttpServer, Request
from .logs import log, log_bounded
from .metrics import Metrics, open_metrics
from .proxy_api import failure_answer
from .service_edge import ServiceEdge
from .sockets import Poller
from .storage import FOUNDER, Storage, Stored, StoredSnapshot, StoredVote
from .transport import Transport
from .upstream_connections import UpstreamConnections

TICK_MS = 20
METRICS_INTERVAL_MS = 1_000


def control_settings(settings: Settings) -> ControlSettings:
    """Return the reducer's settings; defaults stand in ControlSettings."""
    section = dict(settings["control"])
    members = settings["control"]["members"]
    section.pop("members")
    return ControlSettings(
        members={member["name"]: member["address"] for member in members},
        operator_addresses={member["name"]: member["operator_address"] for member in members},
        **section,  # type: ignore[arg-type]
    )


def restore_state(
    settings: ControlSettings, name: str, address: str, stored: Stored
) -> ControlState:
    """Return the state that the data folder held."""
    state = ControlState(settings, Member(stored.member_id, name, address))
    if stored.vote is not None:
        state.term, state.voted_for = stored.vote
        state.role = Role.FOLLOWER
    if stored.snapshot is not None:
        snapshot = stored.snapshot
        state.log = Log(snapshot.last_index, snapshot.last_term)
        state.machine = decode_machine(snapshot.machine)
        state.snapshot_membership = decode_membership(snapshot.membership)
        state.commit_index = snapshot.last_index
        state.role = Role.FOLLOWER
    for entry in stored.entries:
        state.log.entries.append(entry)
        command = decode(COMMANDS, entry.command)
        if isinstance(command, ChangeMembership):
            membership = Membership(command.voters, command.learners)
            state.memberships.append((entry.log_index, membership))
    return state


class ControlPlan(NamedTuple):
    """What a control process is started with.

    ``founders`` are the addresses of the first voters where the whole system starts for the first
    time, else empty. ``services`` is set where the process keeps a directory of upstreams.
    """

    control: ControlSettings
    name: str
    cluster: ClusterSection
    http: HttpSection
    data_folder: Path
    founders: tuple[str, ...] = ()
    operator_key: str = ""
    statsd: StatsdSection | None = None
    tls: ssl.SSLContext | None = None
    services: ServiceEdge | None = None


def control_plan(settings: Settings, tls: ssl.SSLContext | None) -> ControlPlan:
    """Return the plan for settings in the project's own format."""
    return ControlPlan(
        control_settings(settings),
        settings["name"],
        settings["cluster"],
        settings["http"],
        Path(settings["data_folder"]),
        operator_key=settings.get("operator_key", ""),
        statsd=settings.get("statsd"),
        tls=tls,
    )


def _first_election_ms(settings: ControlSettings) -> int:
    """Return when a process that has just started asks for votes, if no leader is heard.

    It is soon, since all may have started; where another leads, the pre-vote is refused.
    """
    return int(settings.election_timeout_ms * (0.1 + 0.4 * draw()))


class ControlNode:
    """One control process."""

    def __init__(self, plan: ControlPlan) -> None:
        """Open the data folder and bind every address."""
        self._metrics: Metrics = open_metrics(plan.statsd)
        self._storage = Storage(plan.data_folder)
        founds = plan.name in plan.founders
        stored = self._storage.load(plan.name, FOUNDER if founds else "")
        self._state = restore_state(plan.control, plan.name, plan.cluster["address"], stored)
        if founds and stored.snapshot is None:
            self._found(plan.founders)
        self._state.directory_state.boot = uuid.uuid4().hex[:8]
        self._state.election_due_ms = now_ms() + _first_election_ms(plan.control)
        if stored.cut_bytes:
            text = f"removed {stored.cut_bytes} bytes of a write that was cut short"
            log("warning", "log_tail_cut", text)
        self._operator_key = plan.operator_key
        self._transport = Transport(plan.cluster, self._count_dropped)
        self._poller = Poller()
        self._server = HttpServer(plan.http, self._handle_request, self._poller, plan.tls)
        self._operators: dict[int, Connection] = {}
        self._next_number = 1
        self._stopped = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._services = plan.services
        if plan.services is not None:
            self._upstreams = UpstreamConnections(plan.services.wire, self._poller, self._reduce)
            self._exposition = Exposition()
            serve_metrics(self._exposition, plan.services.metrics_address, self._poller)

    def _found(self, founders: tuple[str, ...]) -> None:
        """Start as one of the first voters, whom all of them know without asking."""
        voters = [Member(f"{name}#{FOUNDER}", name, name) for name in founders]
        membership = Membership(voters, [])
        state = self._state
        state.snapshot_membership = membership
        state.role = Role.FOLLOWER
        empty = replication.encode_full(state.machine)
        snapshot = StoredSnapshot(0, 0, encode_membership(membership), empty)
        self._storage.save_snapshot(snapshot, [])
        log("info", "founded", f"one of the first voters: {', '.join(founders)}")

    async def run(self) -> None:
        """Serve until told to stop; every promise is on disk, so stopping needs no handover."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._poller.run)
            nursery.start_soon(self._server.sweep)
            nursery.start_soon(self._transport.receive, self._receive)
            nursery.start_soon(self._tick)
            nursery.start_soon(self._report)
            await self._stopped.wait()
            nursery.cancel_scope.cancel()
        self._transport.close()
        self._storage.close()

    def drain(self) -> None:
        """End the process."""
        log("info", "stopped", "a planned stop")
        self._stopped.set()

    def _reduce(self, event: Event) -> None:
        for effect in reduce(self._state, event):
            _CARRY_OUT[type(effect)](self, effect)

    def reload(self, control_addresses: list[str]) -> None:
        """Take the control processes to ask first; addresses hold until the process ends."""
        settings = self._state.settings._replace(seeds=tuple(control_addresses))
        self._state.settings = settings
        log("info", "settings_reloaded", f"control is asked first at {control_addresses}")

    def _handle_request(self, request: Request, connection: Connection) -> None:
        if self._services is not None:
            self._handle_service_request(self._services, request, connection)
            return
        if request.path == "/v1/health":
            healthy = self._state.role is Role.LEADER or bool(self._state.leader)
            connection.answer(Answer(200 if healthy else 503, {"healthy": healthy}))
            return
        parsed = parse_operator(request, self._operator_key)
        if isinstance(parsed, Failure):
            connection.answer(failure_answer(parsed))
            return
        number = self._next_number
        self._next_number += 1
        self._operators[number] = connection
        self._reduce(OperatorRequested(now_ms(), number, parsed))

    def _handle_service_request(
        self, edge: ServiceEdge, request: Request, connection: Connection
    ) -> None:
        number = self._next_number
        self._next_number += 1
        parsed = edge.parse(request, now_ms(), number)
        if isinstance(parsed, Failed):
            failure = parsed.failure()
            self._exposition.event("request_refused")
            inputs: dict[str, object] = {"method": request.method, "path": request.path}
            log_bounded("warning", "request_refused", failure.message, inputs=inputs)
            connection.answer(failure_answer(failure))
            return
        self._operators[number] = connection
        self._reduce(parsed.unwrap())

    def _receive(self, sender: str, frame: bytes) -> None:
        message = decode(CODEC, frame)
        if isinstance(message, CodecFault):
            self._metrics.count("messages.unreadable")
            log("warning", "message_unreadable", f"{sender}: {message.reason}")
            return
        self._metrics.count("messages.received")
        self._reduce(MessageReceived(now_ms(), message))

    async def _tick(self) -> None:
        while True:
            self._reduce(Tick(now_ms(), draw()))
            await trio.sleep(TICK_MS / 1000)

    def _save_vote(self, effect: fx.SaveVote) -> None:
        self._storage.save_vote(StoredVote(effect.term, effect.voted_for))

    def _append_entries(self, effect: fx.AppendEntries) -> None:
        self._storage.append(0, effect.entries)

    def _truncate_log(self, effect: fx.TruncateLog) -> None:
        self._storage.append(effect.from_index, [])

    def _save_snapshot(self, effect: fx.SaveSnapshot) -> None:
        snapshot = StoredSnapshot(*effect)
        log_ = self._state.log
        following = [item for item in log_.entries if item.log_index > effect.last_index]
        self._storage.save_snapshot(snapshot, following)
        log("info", "snapshot_saved", f"snapshot at index {effect.last_index}")

    def _send(self, effect: fx.Send) -> None:
        self._transport.send(effect.address, encode(effect.message))

    def _answer_operator(self, effect: fx.AnswerOperator) -> None:
        connection = self._operators.pop(effect.number)
        connection.answer(Answer(effect.status, effect.body))
        if self._services is not None:
            inputs: dict[str, object] = {"status": effect.status, **effect.body}
            log_bounded("info", "operator_answered", "", inputs=inputs)

    def _answer_configuration(self, effect: fx.AnswerConfiguration) -> None:
        connection = self._operators.pop(effect.number)
        connection.answer(Answer(200, decompress(effect.document)))

    def _redirect_operator(self, effect: fx.RedirectOperator) -> None:
        assert self._services is not None
        connection = self._operators.pop(effect.number)
        connection.answer(self._services.encode_redirect(effect.operator_address))

    def _acknowledge_report(self, effect: fx.AcknowledgeReport) -> None:
        assert self._services is not None
        connection = self._operators.pop(effect.number)
        connection.answer(self._services.encode_acknowledgement(effect.report_to))

    def _refuse_report(self, effect: fx.RefuseReport) -> None:
        message = "no other control process confirmed the report; send it to another one"
        connection = self._operators.pop(effect.number)
        connection.answer(failure_answer(Failure(NO_QUORUM, message)))

    def _order_failover(self, effect: fx.OrderFailover) -> None:
        assert self._services is not None and self._nursery is not None
        self._nursery.start_soon(self._carry_out_order, self._services, effect)

    async def _carry_out_order(self, edge: ServiceEdge, effect: fx.OrderFailover) -> None:
        outcome = await edge.order_failover(effect)
        self._reduce(FailoverAnswered(now_ms(), effect.service, effect.token, outcome))

    def _note(self, effect: fx.Note) -> None:
        self._metrics.count(f"notes.{effect.name}")
        if self._services is not None:
            self._exposition.event(effect.name)
        log_bounded(effect.level, effect.name, effect.text)

    def _count_dropped(self) -> None:
        self._metrics.count("messages.dropped")

    async def _report(self) -> None:
        while True:
            await trio.sleep(METRICS_INTERVAL_MS / 1000)
            state = self._state
            self._metrics.gauge("control.term", state.term)
            self._metrics.gauge("control.commit_index", state.commit_index)
            self._metrics.gauge("control.leads", int(state.role is Role.LEADER))
            if state.leader_state is not None:
                self._metrics.gauge("control.proxies", len(state.leader_state.leases))
            if self._services is not None:
                self._exposition.state("term", state.term)
                self._exposition.state("commit_index", state.commit_index)
                self._exposition.state("leads", int(state.role is Role.LEADER))
                version = state.machine.configuration.version
                self._exposition.state("configuration_version", version)
            self._metrics.flush()


_CARRY_OUT: dict[type, Callable[[ControlNode, Any], None]] = {
    fx.SaveVote: ControlNode._save_vote,
    fx.AppendEntries: ControlNode._append_entries,
    fx.TruncateLog: ControlNode._truncate_log,
    fx.SaveSnapshot: ControlNode._save_snapshot,
    fx.Send: ControlNode._send,
    fx.AnswerOperator: ControlNode._answer_operator,
    fx.Note: ControlNode._note,
    fx.AnswerConfiguration: ControlNode._answer_configuration,
    fx.RedirectOperator: ControlNode._redirect_operator,
    fx.AcknowledgeReport: ControlNode._acknowledge_report,
    fx.RefuseReport: ControlNode._refuse_report,
    fx.OrderFailover: ControlNode._order_failover,
    OpenConnection: lambda node, effect: node._upstreams.open(effect),
    SendStatements: lambda node, effect: node._upstreams.send(effect),
    CloseConnection: lambda node, effect: node._upstreams.close(effect),
}
