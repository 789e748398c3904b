"""An open-loop load generator: sends at a given rate, however long the responses take."""

from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

import trio
from endivewick_node.clock import now_ms
from hdrh.histogram import HdrHistogram

from .http_client import ConnectionLost, HttpClient

MAX_CONNECTIONS = 600
MAX_LATENCY_US = 120_000_000
US_PER_SECOND = 1_000_000


class RequestProfile(NamedTuple):
    """One kind of request: its name, its share of the rate and its contents."""

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
class ResponseCounts:
    """Results of one request profile; latencies, in microseconds, are of good responses only."""

    sent: int = 0
    good: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    by_role: dict[str, int] = field(default_factory=dict)
    errors: dict[str, int] = field(default_factory=dict)
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3))
    refused_tags: list[str] = field(default_factory=list)

    def summarise(self, seconds: float) -> dict[str, Any]:
        """Return the results per second and the latency percentiles."""
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
class OpenLoop:
    """Sends requests to random proxies at a given rate."""

    addresses: list[str]
    random: Random
    idle: dict[str, list[HttpClient]] = field(default_factory=dict)
    open_count: int = 0
    serial: int = 0
    request_ids: dict[str, list[str]] = field(default_factory=dict)
    unsent: int = 0

    async def run(
        self, profiles: list[RequestProfile], rate: float, seconds: float
    ) -> dict[str, ResponseCounts]:
        """Send ``rate`` requests per second for ``seconds``, then wait for all responses."""
        counts_by_profile = {profile.name: ResponseCounts() for profile in profiles}
        weights = [profile.share for profile in profiles]
        start_s = trio.current_time()
        due_s = start_s
        async with trio.open_nursery() as nursery:
            while due_s < start_s + seconds:
                await trio.sleep_until(due_s)
                profile = self.random.choices(profiles, weights)[0]
                nursery.start_soon(self._send, profile, counts_by_profile[profile.name])
                due_s += self.random.expovariate(rate)
        return counts_by_profile

    async def fetch_request_ids(self, customer: str, count: int) -> None:
        """Fetch request ids in batches before the load starts."""
        client = HttpClient(self.addresses[0])
        body = {"customer": customer, "count": 1_000}
        while len(self.request_ids.setdefault(customer, [])) < count:
            reply = await client.call("POST", "/v1/request-ids", body)
            self.request_ids[customer] += reply.body["value"]["request_ids"]
        client.close()

    async def _send(self, profile: RequestProfile, counts: ResponseCounts) -> None:
        address = self.random.choice(self.addresses)
        client = self._get_client(address)
        if client is None:
            self.unsent += 1
            return
        self.serial += 1
        tag = f"{profile.name}/{self.serial}"
        body = self._body(profile, tag)
        counts.sent += 1
        started_ms = now_ms()
        started_s = trio.current_time()
        try:
            reply = await client.call("POST", "/v1/statements", body)
        except ConnectionLost:
            counts.failed += 1
            self.open_count -= 1
            return
        self.idle.setdefault(address, []).append(client)
        latency_us = int((trio.current_time() - started_s) * US_PER_SECOND)
        self._count_response(profile, counts, reply, tag, latency_us, now_ms() - started_ms)

    def _count_response(
        self,
        profile: RequestProfile,
        counts: ResponseCounts,
        reply: Any,
        tag: str,
        latency_us: int,
        latency_ms: int,
    ) -> None:
        if reply.status == 200 and latency_ms <= profile.good_within_ms:
            counts.good += 1
            counts.latency.record_value(min(latency_us, MAX_LATENCY_US))
            role = str(reply.body.get("role"))
            counts.by_role[role] = counts.by_role.get(role, 0) + 1
        elif reply.status == 200:
            counts.late += 1
        else:
            error = str(reply.body.get("error"))
            counts.errors[error] = counts.errors.get(error, 0) + 1
            if reply.body.get("ran") == "not_run":
                counts.refused += 1
                counts.refused_tags.append(tag)
            else:
                counts.failed += 1

    def _get_client(self, address: str) -> HttpClient | None:
        idle = self.idle.get(address)
        if idle:
            return idle.pop()
        if self.open_count >= MAX_CONNECTIONS:
            return None
        self.open_count += 1
        return HttpClient(address)

    def _body(self, profile: RequestProfile, tag: str) -> dict[str, Any]:
        op = "get" if profile.kind == "read" else "set"
        statement = {"name": profile.name, "op": op, "key": "k", "value": self.serial}
        statement |= {"run_ms": profile.run_ms, "tag": tag}
        body: dict[str, Any] = {
            "customer": profile.customer,
            "kind": profile.kind,
            "statement": statement,
            "deadline_ms": profile.deadline_ms,
        }
        if profile.work_class:
            body["class"] = profile.work_class
        if profile.with_request_id:
            body["request_id"] = self.request_ids[profile.customer].pop()
        return body
