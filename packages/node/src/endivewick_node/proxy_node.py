"""The proxy process: passes I/O to the proxy reducer as events, and executes its effects."""

import ssl
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import trio
from endivewick_core.codec import CodecFault, decode, encode
from endivewick_core.exceptions import Failure
from endivewick_core.messages import (
    CODEC,
    ForwardBatch,
    ForwardedAnswer,
    ForwardedRequest,
)
from endivewick_core.proxy import effects as fx
from endivewick_core.proxy import events as ev
from endivewick_core.proxy.reducer import reduce
from endivewick_core.proxy.state import (
    ProxySettings,
    ProxyState,
    configuration_fresh,
    lease_valid,
)

from .clock import now_ms
from .conf import Settings
from .http_server import Connection, HttpServer, Request, Response, failure_response
from .logs import log
from .metrics import Metrics, Series, open_metrics
from .operator_key import check_key
from .peer_budget import PeerBudget
from .proxy_api import parse_request
from .sockets import Poller
from .transport import Transport
from .upstream_client import UpstreamClient

TICK_MS = 20
METRICS_INTERVAL_MS = 1_000
ANNOUNCE_INTERVAL_MS = 500
EVENT_METRIC_PREFIX = "notes"
UNSENT_RESPONSES_TIMEOUT_MS = 2_000


class UnsentResponses(NamedTuple):
    """Responses that wait for a connection to their ingress proxy."""

    since_ms: int
    address: str
    responses: list[ForwardedAnswer]


@dataclass(slots=True)
class Outbox:
    """The requests and responses that one turn of the event loop forwards to one proxy."""

    requests: list[ForwardedRequest] = field(default_factory=list)
    responses: list[ForwardedAnswer] = field(default_factory=list)


def proxy_settings(settings: Settings) -> ProxySettings:
    """Return the reducer's settings; ProxySettings has the defaults."""
    return ProxySettings(
        name=settings["name"],
        boot=uuid.uuid4().hex[:12],
        address=settings["cluster"]["address"],
        http_address=settings["http"]["address"],
        data_centre=settings["data_centre"],
        control_addresses=[member["address"] for member in settings["control"]["members"]],
        session_key=bytes.fromhex(settings["session_key"]),
        **settings.get("proxy", {}),
    )


class ProxyNode:
    """One proxy process."""

    def __init__(self, settings: Settings, tls: ssl.SSLContext | None) -> None:
        """Bind every address; raise AddressInUse if one is in use."""
        self._state = ProxyState(proxy_settings(settings))
        self._metrics: Metrics = open_metrics(settings.get("statsd"))
        self._transport = Transport(settings["cluster"], self._count_dropped_message)
        self._poller = Poller()
        budget = PeerBudget(count_event=lambda event: self._metrics.count(f"notes.{event}"))
        self._server = HttpServer(
            settings["http"], self._handle_request, self._poller, tls, budget, port="callers"
        )
        self._client = UpstreamClient(
            self._poller,
            self._on_upstream_opened,
            self._on_upstream_response,
            self._on_upstream_broken,
        )
        self._callers: dict[int, tuple[Connection, ev.CallerRequest, int]] = {}
        self._next_request_number = 1
        self._outboxes: dict[str, Outbox] = {}
        self._unsent_responses: list[UnsentResponses] = []
        self._outboxes_filled = trio.Event()
        self._stopped = trio.Event()
        self._operator_key = settings.get("operator_key", "")

    async def run(self) -> None:
        """Serve until a planned stop has completed."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poller.run)
            nursery.start_soon(self._server.reject_slow_requests)
            nursery.start_soon(self._transport.receive, self._receive)
            nursery.start_soon(self._tick)
            nursery.start_soon(self._flush_forwards)
            nursery.start_soon(self._export_metrics)
            await self._stopped.wait()
            nursery.cancel_scope.cancel()
        self._transport.close()

    def drain(self) -> None:
        """Start a planned stop: complete running requests, hand over the homes, then stop."""
        self._server.is_draining = True
        self._reduce(ev.DrainRequested(now_ms()))

    def _reduce(self, event: ev.Event) -> None:
        for effect in reduce(self._state, event):
            _EFFECT_HANDLERS[type(effect)](self, effect)

    # Events from callers, other processes, upstreams and the clock.

    def _handle_request(self, request: Request, connection: Connection) -> None:
        if request.method == "GET" or request.path == "/v1/drain":
            connection.respond(self._handle_operator_request(request))
            return
        parsed = parse_request(request)
        if isinstance(parsed, Failure):
            self._metrics.count("requests.refused_at_edge")
            connection.respond(failure_response(parsed))
            return
        if parsed.announcement is not None:
            self._reduce(ev.UpstreamAnnounced(now_ms(), parsed.announcement))
            connection.respond(Response(200, {"interval_ms": ANNOUNCE_INTERVAL_MS}))
            return
        assert parsed.caller_request is not None
        number = self._next_request_number
        self._next_request_number += 1
        started_ms = now_ms()
        self._callers[number] = (connection, parsed.caller_request, started_ms)
        self._reduce(ev.CallerRequestReceived(started_ms, number, parsed.caller_request))

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
        self._reduce(ev.MessageReceived(now_ms(), sender, message))

    def _on_upstream_opened(self, connection: int) -> None:
        self._reduce(ev.ConnectionOpened(now_ms(), connection))

    def _on_upstream_response(self, connection: int, answer: ev.UpstreamAnswer) -> None:
        self._reduce(ev.UpstreamAnswered(now_ms(), connection, answer))

    def _on_upstream_broken(self, connection: int, reason: str) -> None:
        self._metrics.count("upstream.broken_connections")
        self._reduce(ev.ConnectionBroke(now_ms(), connection, reason))

    async def _tick(self) -> None:
        while True:
            self._reduce(ev.Tick(now_ms()))
            if self._unsent_responses:
                self._retry_unsent_responses()
            if self._is_drained():
                log("info", "stopped", "planned stop: all homes handed over, all requests answered")
                self._stopped.set()
            await trio.sleep(TICK_MS / 1000)

    def _is_drained(self) -> bool:
        state = self._state
        since_ms = state.draining_since_ms
        if since_ms is None or now_ms() - since_ms < state.settings.balancer_grace_ms:
            return False
        holds_homes = any(
            group.home_boot == state.settings.boot
            for group in state.replicated_state.groups.values()
        )
        return not (
            holds_homes
            or state.requests
            or self._server.count_busy_connections()
            or self._outboxes
            or self._unsent_responses
        )

    # Effects.

    def _answer_caller(self, effect: fx.AnswerCaller) -> None:
        connection, caller_request, started_ms = self._callers.pop(effect.number)
        elapsed_ms = now_ms() - started_ms
        outcome = effect.failure.type.name if effect.failure else "ok"
        self._metrics.count(f"requests.{caller_request.operation}.{outcome}")
        if effect.failure is None:
            work_class = caller_request.work_class or "undeclared"
            series = Series(caller_request.customer, work_class, caller_request.operation, "total")
            self._metrics.record(series, elapsed_ms)
            connection.respond(Response(200, effect.body, effect.token))
            return
        if effect.failure.type.ran == "outcome_unknown":
            log(
                "warning",
                "outcome_unknown",
                effect.failure.message,
                customer=caller_request.customer,
                request_id=caller_request.request_id,
            )
        connection.respond(failure_response(effect.failure, effect.token))

    def _send(self, effect: fx.Send) -> None:
        self._transport.send(effect.address, encode(effect.message))

    def _forward(self, effect: fx.Forward) -> None:
        self._outbox(effect.address).requests.append(effect.request)

    def _forward_response(self, effect: fx.ForwardAnswer) -> None:
        self._outbox(effect.address).responses.append(effect.answer)

    def _open_connection(self, effect: fx.OpenConnection) -> None:
        self._client.open(effect.connection, effect.address)

    def _send_upstream(self, effect: fx.SendUpstream) -> None:
        self._client.send(effect.connection, effect.path, effect.body)

    def _close_connection(self, effect: fx.CloseConnection) -> None:
        self._client.close(effect.connection)

    def _record_served(self, effect: fx.Served) -> None:
        metrics = self._metrics
        metrics.count(f"work.{effect.operation}.{effect.outcome}")
        if effect.operation == "read" and effect.upstream_role:
            metrics.count(f"reads.by_{effect.upstream_role}")
        key = (effect.customer, effect.work_class, effect.operation)
        metrics.record(Series(*key, "queue"), effect.queue_ms)
        metrics.record(Series(*key, "run"), effect.run_ms)

    def _count(self, effect: fx.Count) -> None:
        self._metrics.count(effect.name, effect.amount)

    def _log_event(self, effect: fx.LogEvent) -> None:
        self._metrics.count(f"{EVENT_METRIC_PREFIX}.{effect.name}")
        log(effect.level, effect.name, effect.text)

    def _count_dropped_message(self) -> None:
        self._metrics.count("messages.dropped")

    # Forwarding between proxies, in one batch per proxy and turn of the event loop.

    def _outbox(self, address: str) -> Outbox:
        outbox = self._outboxes.get(address)
        if outbox is None:
            outbox = self._outboxes[address] = Outbox()
            self._outboxes_filled.set()
        return outbox

    async def _flush_forwards(self) -> None:
        while True:
            await self._outboxes_filled.wait()
            self._outboxes_filled = trio.Event()
            outboxes, self._outboxes = self._outboxes, {}
            for address, outbox in outboxes.items():
                batch = ForwardBatch(outbox.requests, outbox.responses)
                if self._transport.send(address, encode(batch)):
                    continue
                if outbox.responses:
                    self._unsent_responses.append(
                        UnsentResponses(now_ms(), address, outbox.responses)
                    )
                for request in outbox.requests:
                    self._reduce(ev.ForwardUnsent(now_ms(), request.number))

    def _retry_unsent_responses(self) -> None:
        """Retry responses that could not be sent because the connection was still being opened."""
        unsent_responses, self._unsent_responses = self._unsent_responses, []
        oldest_ms = now_ms() - UNSENT_RESPONSES_TIMEOUT_MS
        for item in unsent_responses:
            if item.since_ms < oldest_ms:
                self._metrics.count("messages.answers_lost", len(item.responses))
                continue
            batch = ForwardBatch([], item.responses)
            if not self._transport.send(item.address, encode(batch)):
                self._unsent_responses.append(item)

    # Reports for operators, and metrics.

    def _handle_operator_request(self, request: Request) -> Response:
        if request.path == "/v1/drain" and request.method == "POST":
            refusal = check_key(request, self._operator_key)
            if refusal is not None:
                return failure_response(refusal)
            self.drain()
            return Response(200, {"draining": True})
        report = _REPORTS.get(request.path)
        if report is None:
            paths = ", ".join(sorted(_REPORTS))
            body: dict[str, Any] = {
                "error": "unknown_path",
                "message": f"no such path; GET accepts {paths}",
            }
            return Response(404, body)
        return report(self)

    def _health(self) -> Response:
        state = self._state
        reason = ""
        if state.draining_since_ms is not None:
            reason = "draining"
        elif not configuration_fresh(state, now_ms()):
            reason = "configuration_stale"
        return Response(503 if reason else 200, {"healthy": not reason, "reason": reason})

    def _status(self) -> Response:
        state = self._state
        homes = [
            {
                "group": home.group,
                "home_epoch": home.epoch,
                "phase": str(home.phase),
                "queued": home.queued,
                "transactions": len(home.transactions),
                "request_ids": len(home.deduplication),
                "upstreams": [
                    {
                        "name": item.name,
                        "role": item.role,
                        "term": item.position.term,
                        "position": item.position.offset,
                        "connections": len(item.connections),
                        "running": item.running,
                        "leaving": item.leaving,
                        "heard_ms_ago": (
                            now_ms() - item.last_received_ms if item.last_received_ms else None
                        ),
                    }
                    for item in home.instances.values()
                ],
            }
            for home in state.homes.values()
        ]
        body = {
            "name": state.settings.name,
            "revision": state.replicated_state.revision,
            "lease": lease_valid(state, now_ms()),
            "configuration_fresh": configuration_fresh(state, now_ms()),
            "draining": state.draining_since_ms is not None,
            "callers": len(self._server.connections),
            "requests": len(state.requests),
            "homes": homes,
            "totals": self._metrics.totals,
        }
        return Response(200, body)

    def _histograms(self) -> Response:
        return Response(200, {"histograms": self._metrics.histogram_rows()})

    async def _export_metrics(self) -> None:
        while True:
            await trio.sleep(METRICS_INTERVAL_MS / 1000)
            state = self._state
            metrics = self._metrics
            metrics.gauge("callers.connections", len(self._server.connections))
            metrics.gauge("callers.requests", len(state.requests))
            metrics.gauge("configuration.revision", state.replicated_state.revision)
            metrics.gauge("homes.held", len(state.homes))
            waiting = sum(len(numbers) for numbers in state.waiting.values())
            metrics.gauge("requests.waiting_for_home", waiting)
            metrics.flush()


_EFFECT_HANDLERS: dict[type, Callable[[ProxyNode, Any], None]] = {
    fx.AnswerCaller: ProxyNode._answer_caller,
    fx.Send: ProxyNode._send,
    fx.Forward: ProxyNode._forward,
    fx.ForwardAnswer: ProxyNode._forward_response,
    fx.OpenConnection: ProxyNode._open_connection,
    fx.SendUpstream: ProxyNode._send_upstream,
    fx.CloseConnection: ProxyNode._close_connection,
    fx.Served: ProxyNode._record_served,
    fx.Count: ProxyNode._count,
    fx.LogEvent: ProxyNode._log_event,
}
_REPORTS: dict[str, Callable[[ProxyNode], Response]] = {
    "/v1/health": ProxyNode._health,
    "/v1/status": ProxyNode._status,
    "/v1/histograms": ProxyNode._histograms,
}
