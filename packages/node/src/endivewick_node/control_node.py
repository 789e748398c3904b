"""The control process: passes I/O to the control reducer as events and executes its effects.

Effects run in order. A durable effect is synced to disk before any later effect runs.
"""

import ssl
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import trio
from endivewick_core.codec import CodecFault, decode, encode
from endivewick_core.commands import COMMANDS, ChangeMembership
from endivewick_core.control import effects as fx
from endivewick_core.control import election_log, replication
from endivewick_core.control.events import (
    Event,
    FailoverAnswered,
    MessageReceived,
    OperatorRequested,
    ReportReceived,
    StopRequested,
    Tick,
    UpstreamRemoved,
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
from endivewick_core.messages import (
    CODEC,
    DirectoryQuestion,
    DirectoryShare,
    Member,
    QuotaQuestion,
    QuotaShareAnswer,
    QuotaShareQuestion,
)
from endivewick_core.replicated_state import decode_replicated_state
from endivewick_core.upstream_links import (
    CloseConnection,
    ConnectionOpened,
    ConnectionReplied,
    OpenConnection,
    SendStatements,
)
from returns.result import Failure as Failed

from .clock import now_ms, random_fraction
from .control_api import parse_operator_request
from .event_failures import CONNECTION_CLOSED_TEXT, log_failure
from .http_server import Connection, HttpServer, Request, Response, failure_response
from .logs import log, log_rate_limited
from .metrics import Metrics, open_metrics
from .peer_budget import DEFAULT_BUDGET_BYTES, PeerBudget
from .platform_adapter import PlatformAdapter
from .prometheus_metrics import PrometheusMetrics, serve_metrics
from .sockets import Poller
from .storage import INITIAL_VOTER, Storage, Stored, StoredSnapshot, StoredVote
from .transport import Transport
from .upstream_connections import UpstreamConnections

if TYPE_CHECKING:
    # Importing pydantic takes a third of a control process's start-up time.
    from .conf import ClusterSection, HttpSection, Settings, StatsdSection

TICK_MS = 20
METRICS_INTERVAL_MS = 1_000


def control_settings(settings: "Settings") -> ControlSettings:
    """Return the reducer's settings; ControlSettings has the defaults."""
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
    """Rebuild the state from the contents of the data folder."""
    state = ControlState(settings, Member(stored.member_id, name, address))
    if stored.vote is not None:
        state.term, state.voted_for = stored.vote
        state.role = Role.FOLLOWER
    if stored.snapshot is not None:
        snapshot = stored.snapshot
        state.log = Log(snapshot.last_index, snapshot.last_term)
        state.replicated_state = decode_replicated_state(snapshot.machine)
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


class ControlOptions(NamedTuple):
    """The start options of a control process.

    ``initial_voters`` are the addresses of the first voters when the whole system starts for the
    first time, and empty otherwise. ``platform`` is set if the process keeps a directory of
    upstreams. ``budget_bytes`` is what all connections to the HTTP addresses may hold together.
    Requests below ``large_body_prefix`` carry configurations. A planned stop waits at most
    ``handover_ms`` for a successor of this process.
    """

    control: ControlSettings
    name: str
    cluster: "ClusterSection"
    http: "HttpSection"
    data_folder: Path
    initial_voters: tuple[str, ...] = ()
    operator_key: str = ""
    statsd: "StatsdSection | None" = None
    tls: ssl.SSLContext | None = None
    platform: PlatformAdapter | None = None
    budget_bytes: int = DEFAULT_BUDGET_BYTES
    large_body_prefix: str = "/v1/contracts"
    handover_ms: int = 0


def control_options(settings: "Settings", tls: ssl.SSLContext | None) -> ControlOptions:
    """Return the options for settings in the project's own format."""
    return ControlOptions(
        control_settings(settings),
        settings["name"],
        settings["cluster"],
        settings["http"],
        Path(settings["data_folder"]),
        operator_key=settings.get("operator_key", ""),
        statsd=settings.get("statsd"),
        tls=tls,
    )


def _first_election_delay_ms(settings: ControlSettings) -> int:
    """Return the election timeout of a process that has just started.

    It is short because all processes may have just started, so that there is no leader. If there is
    one, the pre-vote is refused.
    """
    return int(settings.election_timeout_ms * (0.1 + 0.4 * random_fraction()))


def _concerns_soft_state(event: Event) -> bool:
    """Return whether an event can't change the log, so that the process may outlive an error."""
    if isinstance(event, MessageReceived):
        return isinstance(
            event.message,
            DirectoryQuestion
            | DirectoryShare
            | QuotaQuestion
            | QuotaShareQuestion
            | QuotaShareAnswer,
        )
    return isinstance(
        event, ReportReceived | UpstreamRemoved | ConnectionOpened | ConnectionReplied
    )


class ControlNode:
    """One control process."""

    def __init__(self, options: ControlOptions) -> None:
        """Open the data folder and bind every address."""
        self._metrics: Metrics = open_metrics(options.statsd)
        self._storage = Storage(options.data_folder)
        is_initial_voter = options.name in options.initial_voters
        stored = self._storage.load(options.name, INITIAL_VOTER if is_initial_voter else "")
        self._state = restore_state(
            options.control, options.name, options.cluster["address"], stored
        )
        if is_initial_voter and stored.snapshot is None:
            self._start_as_initial_voter(options.initial_voters)
        self._state.directory_state.boot = uuid.uuid4().hex[:8]
        self._state.election_due_ms = now_ms() + _first_election_delay_ms(options.control)
        if stored.cut_bytes:
            text = f"removed {stored.cut_bytes} bytes of an incomplete write from the log's end"
            log("warning", "log_tail_cut", text)
        self._operator_key = options.operator_key
        self._transport = Transport(options.cluster, self._count_dropped_message)
        self._poller = Poller()
        self._budget = PeerBudget(options.budget_bytes, self._count_closed_peer)
        self._server = HttpServer(
            options.http,
            self._handle_request,
            self._poller,
            options.tls,
            self._budget,
            options.large_body_prefix,
            "operators",
        )
        self._waiting_connections: dict[int, Connection] = {}
        self._next_request_number = 1
        self._stopped = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._platform = options.platform
        self._handover_ms = options.handover_ms
        if options.platform is not None:
            self._upstreams = UpstreamConnections(options.platform.wire, self._poller, self._reduce)
            self._prometheus = PrometheusMetrics()
            self._metrics_server = serve_metrics(
                self._prometheus, options.platform.metrics_address, self._poller, self._budget
            )
        self._log_event(election_log.state_loaded(self._state, stored.cut_bytes))

    def _start_as_initial_voter(self, initial_voters: tuple[str, ...]) -> None:
        """Start as one of the initial voters, which all of them know from their settings."""
        voters = [Member(f"{name}#{INITIAL_VOTER}", name, name) for name in initial_voters]
        membership = Membership(voters, [])
        state = self._state
        state.snapshot_membership = membership
        state.role = Role.FOLLOWER
        empty_state = replication.encode_full(state.replicated_state)
        snapshot = StoredSnapshot(0, 0, encode_membership(membership), empty_state)
        self._storage.save_snapshot(snapshot, [])
        log("info", "founded", f"started as one of the voters {', '.join(initial_voters)}")

    async def run(self) -> None:
        """Serve until the planned stop that ``drain`` begins is complete."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._poller.run)
            nursery.start_soon(self._server.reject_slow_requests)
            if self._platform is not None:
                nursery.start_soon(self._metrics_server.reject_slow_requests)
            nursery.start_soon(self._transport.receive, self._receive)
            nursery.start_soon(self._tick)
            nursery.start_soon(self._export_metrics)
            await self._stopped.wait()
            nursery.cancel_scope.cancel()
        self._transport.close()
        self._storage.close()

    def drain(self) -> None:
        """Stop the process, after a learner has taken over its vote if there is one."""
        self._reduce(StopRequested(now_ms(), now_ms() + self._handover_ms))

    def _stop_process(self, effect: fx.StopProcess) -> None:
        log("info", "stopped", "planned stop")
        self._stopped.set()

    def _reduce(self, event: Event) -> None:
        try:
            for effect in reduce(self._state, event):
                _EFFECT_HANDLERS[type(effect)](self, effect)
        except Exception as error:
            if not _concerns_soft_state(event):
                raise
            log_failure(event, error)
            self._metrics.count("event_failed")
            self._disconnect_origin(event)

    def _disconnect_origin(self, event: Event) -> None:
        """Close the connection that an event came from."""
        if isinstance(event, ConnectionOpened | ConnectionReplied):
            self._upstreams.abort(event.connection, CONNECTION_CLOSED_TEXT)
        if isinstance(event, ReportReceived | UpstreamRemoved):
            connection = self._waiting_connections.pop(event.number, None)
            if connection is not None:
                failure = Failure(NO_QUORUM, "an internal error occurred; report elsewhere")
                connection.respond(failure_response(failure))

    def reload(self, control_addresses: list[str]) -> None:
        """Replace the control addresses to contact first; bound addresses need a restart."""
        settings = self._state.settings._replace(seeds=tuple(control_addresses))
        self._state.settings = settings
        log("info", "settings_reloaded", f"control addresses to contact first: {control_addresses}")

    def _handle_request(self, request: Request, connection: Connection) -> None:
        if self._platform is not None:
            self._handle_platform_request(self._platform, request, connection)
            return
        if request.path == "/v1/health":
            healthy = self._state.role is Role.LEADER or bool(self._state.leader)
            connection.respond(Response(200 if healthy else 503, {"healthy": healthy}))
            return
        parsed = parse_operator_request(request, self._operator_key)
        if isinstance(parsed, Failure):
            connection.respond(failure_response(parsed))
            return
        number = self._next_request_number
        self._next_request_number += 1
        self._waiting_connections[number] = connection
        self._reduce(OperatorRequested(now_ms(), number, parsed))

    def _handle_platform_request(
        self, platform: PlatformAdapter, request: Request, connection: Connection
    ) -> None:
        number = self._next_request_number
        self._next_request_number += 1
        parsed = platform.parse(request, now_ms(), number)
        if isinstance(parsed, Failed):
            failure = parsed.failure()
            self._prometheus.count_event("request_refused")
            inputs: dict[str, object] = {"method": request.method, "path": request.path}
            log_rate_limited("warning", "request_refused", failure.message, inputs=inputs)
            connection.respond(failure_response(failure))
            return
        self._waiting_connections[number] = connection
        self._reduce(parsed.unwrap())

    def _receive(self, sender: str, frame: bytes) -> None:
        message = decode(CODEC, frame)
        if isinstance(message, CodecFault):
            self._metrics.count("messages.unreadable")
            log(
                "warning",
                "message_unreadable",
                f"can't decode a message from {sender}: {message.reason}",
            )
            return
        self._metrics.count("messages.received")
        self._reduce(MessageReceived(now_ms(), message))

    async def _tick(self) -> None:
        while True:
            self._reduce(Tick(now_ms(), random_fraction()))
            await trio.sleep(TICK_MS / 1000)

    def _save_vote(self, effect: fx.SaveVote) -> None:
        self._storage.save_vote(StoredVote(effect.term, effect.voted_for))

    def _append_entries(self, effect: fx.AppendEntries) -> None:
        self._storage.append(0, effect.entries)

    def _truncate_log(self, effect: fx.TruncateLog) -> None:
        self._storage.append(effect.from_index, [])

    def _save_snapshot(self, effect: fx.SaveSnapshot) -> None:
        snapshot = StoredSnapshot(*effect)
        replicated_log = self._state.log
        later_entries = [
            item for item in replicated_log.entries if item.log_index > effect.last_index
        ]
        self._storage.save_snapshot(snapshot, later_entries)
        log("info", "snapshot_saved", f"saved a snapshot up to log index {effect.last_index}")

    def _send(self, effect: fx.Send) -> None:
        self._transport.send(effect.address, encode(effect.message))

    def _answer_operator(self, effect: fx.AnswerOperator) -> None:
        connection = self._waiting_connections.pop(effect.number)
        connection.respond(Response(effect.status, effect.body))
        if self._platform is not None:
            inputs: dict[str, object] = {"status": effect.status, **effect.body}
            log_rate_limited("info", "operator_answered", "", inputs=inputs)

    def _answer_configuration(self, effect: fx.AnswerConfiguration) -> None:
        connection = self._waiting_connections.pop(effect.number)
        connection.respond(Response(200, decompress(effect.document)))

    def _redirect_operator(self, effect: fx.RedirectOperator) -> None:
        assert self._platform is not None
        connection = self._waiting_connections.pop(effect.number)
        connection.respond(self._platform.encode_redirect(effect.operator_address))

    def _acknowledge_report(self, effect: fx.AcknowledgeReport) -> None:
        assert self._platform is not None
        connection = self._waiting_connections.pop(effect.number)
        connection.respond(self._platform.encode_acknowledgement(effect.report_to))

    def _refuse_report(self, effect: fx.RefuseReport) -> None:
        message = "no other control process confirmed the report; retry with another one"
        connection = self._waiting_connections.pop(effect.number)
        connection.respond(failure_response(Failure(NO_QUORUM, message)))

    def _order_failover(self, effect: fx.OrderFailover) -> None:
        assert self._platform is not None and self._nursery is not None
        self._nursery.start_soon(self._send_failover_order, self._platform, effect)

    async def _send_failover_order(
        self, platform: PlatformAdapter, effect: fx.OrderFailover
    ) -> None:
        outcome = await platform.order_failover(effect)
        self._reduce(FailoverAnswered(now_ms(), effect.service, effect.token, outcome))

    def _log_event(self, effect: fx.LogEvent) -> None:
        self._metrics.count(f"notes.{effect.name}")
        if self._platform is not None:
            self._prometheus.count_event(effect.name)
        fields = {} if effect.inputs is None else {"inputs": effect.inputs}
        log_rate_limited(effect.level, effect.name, effect.text, **fields)

    def _count_closed_peer(self, event: str) -> None:
        self._metrics.count(f"notes.{event}")
        if self._platform is not None:
            self._prometheus.count_event(event)

    def _count_dropped_message(self) -> None:
        self._metrics.count("messages.dropped")

    async def _export_metrics(self) -> None:
        while True:
            await trio.sleep(METRICS_INTERVAL_MS / 1000)
            state = self._state
            self._metrics.gauge("control.term", state.term)
            self._metrics.gauge("control.commit_index", state.commit_index)
            self._metrics.gauge("control.leads", int(state.role is Role.LEADER))
            if state.leader_state is not None:
                self._metrics.gauge("control.proxies", len(state.leader_state.leases))
            if self._platform is not None:
                self._prometheus.set_gauge("term", state.term)
                self._prometheus.set_gauge("commit_index", state.commit_index)
                self._prometheus.set_gauge("leads", int(state.role is Role.LEADER))
                version = state.replicated_state.configuration.version
                self._prometheus.set_gauge("configuration_version", version)
            self._metrics.flush()


_EFFECT_HANDLERS: dict[type, Callable[[ControlNode, Any], None]] = {
    fx.SaveVote: ControlNode._save_vote,
    fx.AppendEntries: ControlNode._append_entries,
    fx.TruncateLog: ControlNode._truncate_log,
    fx.SaveSnapshot: ControlNode._save_snapshot,
    fx.Send: ControlNode._send,
    fx.StopProcess: ControlNode._stop_process,
    fx.AnswerOperator: ControlNode._answer_operator,
    fx.LogEvent: ControlNode._log_event,
    fx.AnswerConfiguration: ControlNode._answer_configuration,
    fx.RedirectOperator: ControlNode._redirect_operator,
    fx.AcknowledgeReport: ControlNode._acknowledge_report,
    fx.RefuseReport: ControlNode._refuse_report,
    fx.OrderFailover: ControlNode._order_failover,
    OpenConnection: lambda node, effect: node._upstreams.open(effect),
    SendStatements: lambda node, effect: node._upstreams.send(effect),
    CloseConnection: lambda node, effect: node._upstreams.close(effect),
}
