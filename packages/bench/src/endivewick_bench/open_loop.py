"""Callers that send at a given rate whatever the answers do, as a crowd of users does."""

from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

import trio
from endivewick_node.clock import now_ms
from hdrh.histogram import HdrHistogram

from .http_client import ConnectionLost, HttpClient

CONNECTIONS_LIMIT = 600
HIGHEST_US = 120_000_000
MICROSECONDS = 1_000_000


class Shape(NamedTuple):
    """One kind of request: its name, its share of the rate and what it sends."""

    name: str
    share: float
    customer: str
    kind: str
    work_class: str
    run_ms: float
    deadline_ms: int
    good_within_ms: int
    with_request_id: bool = False


@dataclass(slots=True)
class Tally:
    """What came back for one shape; latencies in microseconds are those of good answers."""

    sent: int = 0
    good: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    by_role: dict[str, int] = field(default_factory=dict)
    errors: dict[str, int] = field(default_factory=dict)
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, HIGHEST_US, 3))
    refused_tags: list[str] = field(default_factory=list)

    def row(self, seconds: float) -> dict[str, Any]:
        """Return the figures of this shape."""
        return {
            "sent_per_second": round(self.sent / seconds, 1),
            "goodput_per_second": round(self.good / seconds, 1),
            "late": self.late,
            "refused": self.refused,
            "failed": self.failed,
            "errors": self.errors,
            "by_role": self.by_role,
            "p50_ms": round(self.latency.get_value_at_percentile(50) / 1000, 1),
            "p99_ms": round(self.latency.get_value_at_percentile(99) / 1000, 1),
        }


@dataclass(slots=True)
class Crowd:
    """An open loop over a set of proxies."""

    addresses: list[str]
    random: Random
    idle: dict[str, list[HttpClient]] = field(default_factory=dict)
    open_count: int = 0
    serial: int = 0
    request_ids: dict[str, list[str]] = field(default_factory=dict)
    unsent: int = 0

    async def run(self, shapes: list[Shape], rate: float, seconds: float) -> dict[str, Tally]:
        """Send ``rate`` requests a second for ``seconds``; wait for every answer."""
        tallies = {shape.name: Tally() for shape in shapes}
        weights = [shape.share for shape in shapes]
        start_s = trio.current_time()
        due_s = start_s
        async with trio.open_nursery() as nursery:
            while due_s < start_s + seconds:
                await trio.sleep_until(due_s)
                shape = self.random.choices(shapes, weights)[0]
                nursery.start_soon(self._send, shape, tallies[shape.name])
                due_s += self.random.expovariate(rate)
        return tallies

    async def stock_request_ids(self, customer: str, count: int) -> None:
        """Get request ids ahead, as callers do in batches."""
        client = HttpClient(self.addresses[0])
        body = {"customer": customer, "count": 1_000}
        while len(self.request_ids.setdefault(customer, [])) < count:
            reply = await client.call("POST", "/v1/request-ids", body)
            self.request_ids[customer] += reply.body["value"]["request_ids"]
        client.close()

    async def _send(self, shape: Shape, tally: Tally) -> None:
        address = self.random.choice(self.addresses)
        client = self._take(address)
        if client is None:
            self.unsent += 1
            return
        self.serial += 1
        tag = f"{shape.name}/{self.serial}"
        body = self._body(shape, tag)
        tally.sent += 1
        started_ms = now_ms()
        started_s = trio.current_time()
        try:
            reply = await client.call("POST", "/v1/statements", body)
        except ConnectionLost:
            tally.failed += 1
            self.open_count -= 1
            return
        self.idle.setdefault(address, []).append(client)
        spent_us = int((trio.current_time() - started_s) * MICROSECONDS)
        self._count(shape, tally, reply, tag, spent_us, now_ms() - started_ms)

    def _count(
        self, shape: Shape, tally: Tally, reply: Any, tag: str, spent_us: int, spent_ms: int
    ) -> None:
        if reply.status == 200 and spent_ms <= shape.good_within_ms:
            tally.good += 1
            tally.latency.record_value(min(spent_us, HIGHEST_US))
            role = str(reply.body.get("role"))
            tally.by_role[role] = tally.by_role.get(role, 0) + 1
        elif reply.status == 200:
            tally.late += 1
        else:
            error = str(reply.body.get("error"))
            tally.errors[error] = tally.errors.get(error, 0) + 1
            if reply.body.get("ran") == "not_run":
                tally.refused += 1
                tally.refused_tags.append(tag)
            else:
                tally.failed += 1

    def _take(self, address: str) -> HttpClient | None:
        idle = self.idle.get(address)
        if idle:
            return idle.pop()
        if self.open_count >= CONNECTIONS_LIMIT:
            return None
        self.open_count += 1
        return HttpClient(address)

    def _body(self, shape: Shape, tag: str) -> dict[str, Any]:
        op = "get" if shape.kind == "read" else "set"
        statement = {"name": shape.name, "op": op, "key": "k", "value": self.serial}
        statement |= {"run_ms": shape.run_ms, "tag": tag}
        body: dict[str, Any] = {
            "customer": shape.customer,
            "kind": shape.kind,
            "statement": statement,
            "deadline_ms": shape.deadline_ms,
        }
        if shape.work_class:
            body["class"] = shape.work_class
        if shape.with_request_id:
            body["request_id"] = self.request_ids[shape.customer].pop()
        return body
