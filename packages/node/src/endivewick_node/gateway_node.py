"""The gateway process: passes I/O to the gateway reducer as events, and executes its effects.

Effects run in the order in which the reducer returns them.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

import trio
from endivewick_core.codec import CodecFault, decode, encode
from endivewick_core.documents import decompress
from endivewick_core.exceptions import UNKNOWN_PATH, Failure, failure_body
from endivewick_core.gateway import effects as fx
from endivewick_core.gateway import leftovers, planned_stop, sessions
from endivewick_core.gateway.control_link import is_ready
from endivewick_core.gateway.events import (
    ConfigurationReceived,
    DrainRequested,
    Event,
    MessageReceived,
    MessageUndelivered,
    SessionClosed,
    SessionIdle,
    SessionOpened,
    StatementReceived,
    Tick,
)
from endivewick_core.gateway.reducer import has_waiting, next_tick_ms, reduce
from endivewick_core.gateway.state import GatewaySettings, GatewayState
from endivewick_core.gateway.upstream_health import count_reduced
from endivewick_core.messages import CODEC
from endivewick_core.routes import Configuration
from endivewick_core.upstream_links import (
    CloseConnection,
    ConnectionOpened,
    ConnectionReplied,
    OpenConnection,
    SendStatements,
)
from returns.result import Failure as Failed
from returns.result import Result

from .clock import now_ms
from .event_failures import CONNECTION_CLOSED_TEXT, log_failure
from .http_server import Connection, HttpServer, Request, Response
from .logs import log, log_rate_limited
from .peer_budget import DEFAULT_BUDGET_BYTES, PeerBudget
from .prometheus_metrics import PrometheusMetrics, serve_metrics
from .session_server import Load, SessionServer, UnfinishedConnections
from .sockets import Poller
from .statement_wire import StatementWire
from .transport import Transport
from .upstream_connections import UpstreamConnections

if TYPE_CHECKING:
    # Importing pydantic takes a fifth of a gateway's start-up time, and gateways don't use it.
    from .conf import ClusterSection

READINESS_CONNECTION_LIMIT = 64  # load balancers probe from a few addresses
GAUGE_INTERVAL_MS = 1_000  # gauges change slowly
# How long a planned stop waits at its end for messages that are on their way to slow links.
LAST_FRAMES_MS = 500
# Before the end of the grace time, so that a line is written before the platform's SIGKILL.
UNFINISHED_STOP_MARGIN_MS = 300
# Events of one session, upstream connection or process; see ``event_failures``.
PEER_EVENTS = (
    SessionOpened,
    SessionIdle,
    StatementReceived,
    ConnectionOpened,
    ConnectionReplied,
    MessageReceived,
)


class GatewayOptions(NamedTuple):
    """The start options of a gateway process.

    ``decode_configuration`` parses an operator's document. The load balancer requests
    ``readiness_path`` to find out whether to send new sessions to this gateway. ``routes`` maps
    the message addresses of other processes to the addresses at which this one reaches them.
    ``budget_bytes`` is what all connections of clients may hold together.
    """

    settings: GatewaySettings
    session_address: str
    session_limit: int
    readiness_address: str
    readiness_path: str
    metrics_address: str
    grace_ms: int
    wire: StatementWire
    decode_configuration: Callable[[bytes], Result[Configuration, Failure]]
    routes: dict[str, str]
    budget_bytes: int = DEFAULT_BUDGET_BYTES


class GatewayNode:
    """One gateway process."""

    def __init__(self, options: GatewayOptions) -> None:
        """Bind every address."""
        self._options = options
        self._state = GatewayState(options.settings)
        self._metrics = PrometheusMetrics()
        self._poller = Poller()
        section: ClusterSection = {"address": options.settings.address, "routes": options.routes}
        self._transport = Transport(section, self._count_dropped_message)
        self._upstreams = UpstreamConnections(options.wire, self._poller, self._reduce)
        budget = PeerBudget(options.budget_bytes, self._metrics.count_event)
        self._sessions = SessionServer(
            options.session_address,
            options.session_limit,
            options.wire,
            self._poller,
            self._reduce,
            self._load_of,
            budget,
        )
        self._readiness = HttpServer(
            {"address": options.readiness_address, "connection_limit": READINESS_CONNECTION_LIMIT},
            self._handle_readiness_request,
            self._poller,
            budget=budget,
            port="readiness",
        )
        self._metrics_server = serve_metrics(
            self._metrics, options.metrics_address, self._poller, budget
        )
        self._stopped = trio.Event()
        self._is_unfinished_logged = False
        self._statements_waiting = trio.Event()

    async def run(self) -> None:
        """Serve until a planned stop has ended every session."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poller.run)
            nursery.start_soon(self._sessions.close_slow_clients)
            nursery.start_soon(self._readiness.reject_slow_requests)
            nursery.start_soon(self._metrics_server.reject_slow_requests)
            nursery.start_soon(self._transport.receive, self._receive)
            nursery.start_soon(self._tick)
            nursery.start_soon(self._export_gauges)
            await self._stopped.wait()
            nursery.cancel_scope.cancel()
        # Here nothing is read any more: the line also has what arrived after the last look.
        self._log_stopped()
        # The last answers to other gateways may have been queued in the same turn.
        self._transport.close(LAST_FRAMES_MS)

    def drain(self) -> None:
        """Start a planned stop."""
        self._reduce(DrainRequested(now_ms(), self._options.grace_ms))

    def reload(self, control_addresses: list[str]) -> None:
        """Replace the control addresses to contact first; bound addresses need a restart."""
        settings = self._state.settings._replace(control_addresses=control_addresses)
        self._state.settings = settings
        log("info", "settings_reloaded", f"control addresses to contact first: {control_addresses}")

    def _reduce(self, event: Event) -> None:
        try:
            for effect in reduce(self._state, event):
                _EFFECT_HANDLERS[type(effect)](self, effect)
        except Exception as error:
            if not isinstance(event, PEER_EVENTS):
                raise
            log_failure(event, error)
            self._metrics.count_event("event_failed")
            self._disconnect_origin(event)
        if has_waiting(self._state):
            self._statements_waiting.set()

    def _disconnect_origin(self, event: Event) -> None:
        """Close the connection that an event came from, so that its work is not left half done."""
        if isinstance(event, ConnectionOpened | ConnectionReplied):
            self._upstreams.abort(event.connection, CONNECTION_CLOSED_TEXT)
        if isinstance(event, SessionOpened | SessionIdle | StatementReceived):
            self._sessions.close_session(event.session)
            self._reduce(SessionClosed(now_ms(), event.session))

    def _receive(self, sender: str, frame: bytes) -> None:
        message = decode(CODEC, frame)
        if isinstance(message, CodecFault):
            self._metrics.count_event("message_unreadable")
            log_rate_limited(
                "warning",
                "message_unreadable",
                f"can't decode a message from {sender}: {message.reason}",
            )
            return
        self._reduce(MessageReceived(now_ms(), message))

    async def _tick(self) -> None:
        while True:
            if self._state.draining_since_ms is not None:
                # The tick closes idle sessions: a statement that has arrived must be read before.
                self._poller.handle_all_ready()
            self._reduce(Tick(now_ms()))
            if self._end_if_drained():
                return
            self._check_unfinished_stop()
            wait_ms = next_tick_ms(self._state, now_ms())
            if has_waiting(self._state):
                await trio.sleep(wait_ms / 1000)
                continue
            self._statements_waiting = trio.Event()
            with trio.move_on_after(wait_ms / 1000):
                await self._statements_waiting.wait()

    def _end_if_drained(self) -> bool:
        """End the process if a planned stop may; from then on it reads and accepts nothing.

        Other tasks run once more before they are cancelled. What they would read could not be
        answered any more.
        """
        at_ms = now_ms()
        if not planned_stop.is_drained(self._state, at_ms):
            return False
        if self._sessions.has_unsent() and at_ms < planned_stop.ends_ms(self._state):
            return False
        self._poller.stop()
        self._transport.stop()
        self._stopped.set()
        return True

    def _describe_left(
        self, left: leftovers.Leftovers, connections: UnfinishedConnections
    ) -> dict[str, object]:
        """Return what the process has not finished, and how long its planned stop has lasted."""
        since_ms = self._state.draining_since_ms
        return {
            **left._asdict(),
            **connections._asdict(),
            "draining_ms": now_ms() - since_ms if since_ms is not None else None,
            "grace_ms": self._state.drain_grace_ms,
        }

    def _log_stopped(self) -> None:
        """Log and count what the end of the process cuts off."""
        left, connections = leftovers.find(self._state), self._sessions.find_unfinished()
        self._metrics.count_event("session_cut_off", left.sessions)
        self._metrics.count_event("statement_cut_off", left.statements + left.other_statements)
        self._metrics.count_event("answer_cut_off", connections.unwritten_answers)
        text = "planned stop: all sessions have ended"
        log_rate_limited("info", "stopped", text, inputs=self._describe_left(left, connections))

    def _check_unfinished_stop(self) -> None:
        """Log once what is left shortly before the platform kills the process."""
        since_ms = self._state.draining_since_ms
        if since_ms is None or self._stopped.is_set() or self._is_unfinished_logged:
            return
        if now_ms() - since_ms < self._state.drain_grace_ms - UNFINISHED_STOP_MARGIN_MS:
            return
        self._is_unfinished_logged = True
        self._metrics.count_event("stop_unfinished")
        text = "planned stop: sessions are left at the end of the grace time"
        left, connections = leftovers.find(self._state), self._sessions.find_unfinished()
        inputs = self._describe_left(left, connections)
        log_rate_limited("warning", "stop_unfinished", text, inputs=inputs)

    async def _export_gauges(self) -> None:
        while True:
            await trio.sleep(GAUGE_INTERVAL_MS / 1000)
            state = self._state
            self._metrics.set_gauge("sessions", len(state.sessions))
            self._metrics.set_gauge("upstream_connections", len(state.connections))
            self._metrics.set_gauge("waiting_statements", state.queued)
            self._metrics.set_gauge("configuration_version", state.configuration.version)
            self._metrics.set_gauge("upstreams_reduced", count_reduced(state, now_ms()))

    def _handle_readiness_request(self, request: Request, connection: Connection) -> None:
        if request.path != self._options.readiness_path:
            failure = Failure(UNKNOWN_PATH, f"no such path: {request.path}")
            connection.respond(Response(404, failure_body(failure)))
            return
        ready = is_ready(self._state)
        connection.respond(Response(200 if ready else 503, {"ready": ready}))

    def _apply_document(self, effect: fx.ApplyDocument) -> None:
        decoded = self._options.decode_configuration(decompress(effect.document))
        if isinstance(decoded, Failed):
            # Control has validated the document, so this process must run an older version than
            # control does.
            text = (
                f"configuration version {effect.version} can't be read: "
                f"{decoded.failure().message}; upgrade this process"
            )
            log("error", "configuration_unreadable", text)
            return
        self._reduce(ConfigurationReceived(now_ms(), decoded.unwrap()))

    def _send(self, effect: fx.Send) -> None:
        if self._transport.send(effect.address, encode(effect.message)):
            return
        self._reduce(MessageUndelivered(now_ms(), effect.address, effect.message))

    def _connect(self, effect: fx.Connect) -> None:
        self._transport.connect(effect.address)

    def _log_event(self, effect: fx.LogEvent) -> None:
        self._metrics.count_event(effect.event)
        fields: dict[str, object] = {"inputs": effect.inputs, "outcome": effect.outcome}
        if effect.request_id:
            fields["request_id"] = effect.request_id
        if effect.workspace:
            fields["workspace"] = effect.workspace
        log_rate_limited(effect.level, effect.event, effect.outcome, **fields)

    def _record_served(self, effect: fx.StatementServed) -> None:
        self._metrics.record_statement(effect)

    def _load_of(self, number: int) -> Load:
        session = self._state.sessions.get(number)
        if session is None:
            return Load(0, 0)
        return Load(len(session.waiting), sessions.held_bytes(session))

    def _count_dropped_message(self) -> None:
        self._metrics.count_event("message_dropped")


_EFFECT_HANDLERS: dict[type, Callable[[GatewayNode, Any], None]] = {
    fx.AcceptSession: lambda node, effect: node._sessions.accept_session(effect.session),
    fx.RefuseSession: lambda node, effect: node._sessions.refuse_session(
        effect.session, effect.error
    ),
    fx.AnswerStatement: lambda node, effect: node._sessions.answer(effect),
    fx.CloseSession: lambda node, effect: node._sessions.close_session(effect.session),
    fx.FinishSession: lambda node, effect: node._sessions.finish_session(effect.session),
    OpenConnection: lambda node, effect: node._upstreams.open(effect),
    SendStatements: lambda node, effect: node._upstreams.send(effect),
    CloseConnection: lambda node, effect: node._upstreams.close(effect),
    fx.Send: GatewayNode._send,
    fx.Connect: GatewayNode._connect,
    fx.ApplyDocument: GatewayNode._apply_document,
    fx.LogEvent: GatewayNode._log_event,
    fx.StatementServed: GatewayNode._record_served,
}
