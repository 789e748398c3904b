"""Statsd counters and gauges, and a latency histogram per customer, class, operation and stage.

docs/reference/metrics.md lists every name. Histograms record 1 ms to one hour with two significant
digits.
"""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from hdrh.histogram import HdrHistogram

from .addresses import split_address

if TYPE_CHECKING:
    from statsd import StatsClient

    from .conf import StatsdSection

LOWEST_MS = 1
HIGHEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Series(NamedTuple):
    """The labels of a histogram; ``stage`` is ``queue``, ``run`` or ``total``."""

    customer: str
    work_class: str
    operation: str
    stage: str


@dataclass(slots=True)
class Metrics:
    """The metrics of one process, flushed to statsd once a second.

    Counters are summed between flushes, so that a busy proxy sends each name once per flush.
    """

    client: "StatsClient | None"
    counters: dict[str, int] = field(default_factory=dict)
    totals: dict[str, int] = field(default_factory=dict)
    histograms: dict[Series, HdrHistogram] = field(default_factory=dict)
    gauges: dict[str, float] = field(default_factory=dict)

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter."""
        self.counters[name] = self.counters.get(name, 0) + amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def record(self, series: Series, value_ms: int) -> None:
        """Record one duration."""
        histogram = self.histograms.get(series)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
            self.histograms[series] = histogram
        histogram.record_value(min(max(value_ms, LOWEST_MS), HIGHEST_MS))

    def flush(self) -> None:
        """Send counters, gauges and percentiles to statsd, and reset the counters."""
        for name, amount in self.counters.items():
            self.totals[name] = self.totals.get(name, 0) + amount
        if self.client is None:
            self.counters.clear()
            return
        with self.client.pipeline() as pipe:
            for name, amount in self.counters.items():
                pipe.incr(name, amount)
            for name, value in self.gauges.items():
                pipe.gauge(name, value)
            for series, histogram in self.histograms.items():
                name = ".".join(("work", *series)).replace("..", ".")
                pipe.gauge(f"{name}.p50_ms", histogram.get_value_at_percentile(50.0))
                pipe.gauge(f"{name}.p99_ms", histogram.get_value_at_percentile(99.0))
        self.counters.clear()

    def histogram_rows(self) -> list[dict[str, object]]:
        """Return one row per histogram, for ``endivewickctl histogram``."""
        rows: list[dict[str, object]] = []
        for series, histogram in sorted(self.histograms.items()):
            row: dict[str, object] = dict(series._asdict())
            row["count"] = histogram.get_total_count()
            for percentile in PERCENTILES:
                value_ms = histogram.get_value_at_percentile(percentile)
                row[f"p{percentile:g}_ms"] = value_ms
            row["max_ms"] = histogram.get_max_value()
            rows.append(row)
        return rows


def open_metrics(section: "StatsdSection | None") -> Metrics:
    """Return the metrics of this process; without a statsd section they are sent nowhere."""
    if section is None:
        return Metrics(None)
    from statsd import StatsClient

    host, port = split_address(section["address"])
    return Metrics(StatsClient(host, port, prefix=section.get("prefix", "endivewick")))
