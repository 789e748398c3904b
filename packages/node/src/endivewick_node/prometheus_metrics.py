"""Counters, gauges and latency histograms in the Prometheus text format.

docs/reference/metrics.md lists every name, with its labels, unit and meaning.
"""

from typing import TYPE_CHECKING

from endivewick_core.gateway.effects import StatementServed
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from .http_server import Connection, HttpServer, Request, Response
from .peer_budget import PeerBudget
from .sockets import Poller

if TYPE_CHECKING:
    # Importing pydantic takes a fifth of a gateway's start-up time, and gateways don't use it.
    from .conf import HttpSection

# The range is from a local read to the longest statement timeout that is common in contracts.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 4.0)
WORKSPACES_LIMIT = 500  # workspaces beyond it share one series
CONNECTION_LIMIT = 32  # one or two collectors ask for metrics


class PrometheusMetrics:
    """The metrics of one process, in a registry of its own."""

    def __init__(self) -> None:
        """Register every metric."""
        self._registry = CollectorRegistry()
        self._workspaces: set[str] = set()
        self._statements = Counter(
            "endivewick_statements_total",
            "Statements that were forwarded, by outcome",
            ("workspace", "kind", "outcome"),
            registry=self._registry,
        )
        self._latency = Histogram(
            "endivewick_statement_seconds",
            "Time from a statement's arrival to its answer",
            ("workspace", "kind"),
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._events = Counter(
            "endivewick_events_total",
            "Decisions and changes of belief, by event; also those whose log line was left out",
            ("event",),
            registry=self._registry,
        )
        self._gauges = Gauge(
            "endivewick_state",
            "Sizes: sessions, upstream connections, waiting statements, versions, terms",
            ("name",),
            registry=self._registry,
        )

    def record_statement(self, effect: StatementServed) -> None:
        """Count a forwarded statement and record its latency."""
        workspace = effect.workspace
        if workspace not in self._workspaces:
            if len(self._workspaces) >= WORKSPACES_LIMIT:
                workspace = "(others)"
            self._workspaces.add(workspace)
        self._statements.labels(workspace, effect.kind, effect.outcome).inc()
        self._latency.labels(workspace, effect.kind).observe(effect.took_ms / 1000)

    def count_event(self, name: str, amount: int = 1) -> None:
        """Count an event, or ``amount`` of them."""
        self._events.labels(name).inc(amount)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges.labels(name).set(value)

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self._registry)


def serve_metrics(
    metrics: PrometheusMetrics, address: str, poller: Poller, budget: PeerBudget
) -> HttpServer:
    """Serve the metrics at ``address`` for as long as ``poller`` runs; return the server."""

    def respond(request: Request, connection: Connection) -> None:
        connection.respond(Response(200, metrics.render()))

    section: HttpSection = {"address": address, "connection_limit": CONNECTION_LIMIT}
    return HttpServer(section, respond, poller, budget=budget, port="metrics")
