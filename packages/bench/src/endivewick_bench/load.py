"""Measures the throughput, latency and CPU time per statement of the proxies.

Starts a system on loopback, sends statements on a number of connections for a limited time, and
prints statements per second, latency percentiles and the CPU time of each proxy per statement. The
result can be written to a JSON file.
"""

import itertools
from dataclasses import dataclass, field
from typing import Any

import trio
from absl import app, flags
from endivewick_node.clock import now_ms
from hdrh.histogram import HdrHistogram

from . import cluster as cl
from .http_client import ConnectionLost, HttpClient
from .output import refuse_words, show_result
from .processes import cpu_seconds, resident_kb

_SECONDS = flags.DEFINE_float("seconds", 5.0, "Duration of the load in seconds.", upper_bound=120.0)
_CONNECTIONS = flags.DEFINE_integer(
    "connections", 16, "Number of caller connections.", upper_bound=500
)
_WRITES = flags.DEFINE_float("writes", 0.1, "Share of writes, from 0 to 1.")
_THROUGH = flags.DEFINE_enum(
    "through",
    "home",
    ["home", "entry"],
    "Proxy that receives the load: the home, or another one as ingress.",
)
_ACKNOWLEDGE = flags.DEFINE_enum(
    "acknowledge",
    "primary",
    ["primary", "replica"],
    "Who must hold a write before it is acknowledged.",
)
_RUN_MS = flags.DEFINE_float("run_ms", 0.0, "Run time of a statement in an upstream.")
_SLOTS = flags.DEFINE_integer(
    "slots", 64, "Slots of an upstream; many, so that the upstream is not the bottleneck."
)
_OUT = flags.DEFINE_string("out", "", "File for the result as JSON.")

CUSTOMER = "load"
US_PER_SECOND = 1_000_000
MAX_LATENCY_US = 60 * US_PER_SECOND
PERCENTILES = (50.0, 99.0, 99.9)
CONTRACT = {"group": "main", "max_staleness_ms": 2_000, "connections": 64, "surge_share": 1.0}


@dataclass(slots=True)
class Counts:
    """Outcomes and latencies (in microseconds) seen by the callers."""

    ok: int = 0
    failed: dict[str, int] = field(default_factory=dict)
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3))


async def caller(address: str, number: int, counts: Counts, end_ms: int, writes: float) -> None:
    """Send statements sequentially on one connection until ``end_ms``."""
    client = HttpClient(address)
    token = ""
    write_interval = round(1 / writes) if writes else 0
    for serial in itertools.count(1):
        if now_ms() >= end_ms:
            break
        is_write = bool(write_interval) and serial % write_interval == 0
        op = {"op": "set", "value": serial} if is_write else {"op": "get"}
        body = {
            "customer": CUSTOMER,
            "kind": "write" if is_write else "read",
            "statement": {"name": "load", "key": f"k{number}", **op},
        }
        started = trio.current_time()
        try:
            reply = await client.call("POST", "/v1/statements", body, token)
        except ConnectionLost:
            counts.failed["cut"] = counts.failed.get("cut", 0) + 1
            continue
        counts.latency.record_value(int((trio.current_time() - started) * US_PER_SECOND))
        token = reply.token or token
        if reply.status == 200:
            counts.ok += 1
        else:
            error = str(reply.body.get("error"))
            counts.failed[error] = counts.failed.get(error, 0) + 1
    client.close()


async def home_of(cluster: cl.Cluster, group: str) -> str:
    """Wait until a group has a home and return its name."""
    with trio.fail_after(cl.READY_TIMEOUT_S):
        while True:
            status = await cl.leader_status(cluster)
            for row in (status or {}).get("groups", []):
                if row["name"] == group and row["home"]:
                    return str(row["home"])
            await trio.sleep(cl.POLL_S)


async def measure() -> dict[str, Any]:
    """Run the load after one second of warm-up; return the result."""
    upstream = {"slots": _SLOTS.value, "connections": 200, "run_ms": _RUN_MS.value}
    async with cl.running(cl.SMALL, upstream=upstream) as cluster:
        contract = {**CONTRACT, "acknowledge": _ACKNOWLEDGE.value}
        await cl.put_contract(cluster, CUSTOMER, contract, "load-1")
        await cl.wait_serving(cluster, CUSTOMER)
        home = await home_of(cluster, "main")
        other_proxies = [name for name in cluster.proxy_addresses if name != home]
        ingress = home if _THROUGH.value == "home" else other_proxies[0]
        measured = {"home": cluster.processes[home], "entry": cluster.processes[ingress]}
        counts = Counts()
        await _send(cluster.proxy_addresses[ingress], Counts(), 1.0)
        before = {role: cpu_seconds(process) for role, process in measured.items()}
        await _send(cluster.proxy_addresses[ingress], counts, _SECONDS.value)
        cpu_by_role = {
            role: cpu_seconds(process) - before[role] for role, process in measured.items()
        }
        return _result(counts, cpu_by_role, {r: resident_kb(p) for r, p in measured.items()})


async def _send(address: str, counts: Counts, seconds: float) -> None:
    end_ms = now_ms() + int(seconds * 1000)
    async with trio.open_nursery() as nursery:
        for number in range(_CONNECTIONS.value):
            nursery.start_soon(caller, address, number, counts, end_ms, _WRITES.value)


def _result(
    counts: Counts, cpu_by_role: dict[str, float], memory_kb_by_role: dict[str, int]
) -> dict[str, Any]:
    total = counts.ok + sum(counts.failed.values())
    result: dict[str, Any] = {
        "through": _THROUGH.value,
        "connections": _CONNECTIONS.value,
        "writes": _WRITES.value,
        "acknowledge": _ACKNOWLEDGE.value,
        "seconds": _SECONDS.value,
        "statements": total,
        "statements_per_second": round(total / _SECONDS.value),
        "failed": counts.failed,
    }
    for percentile in PERCENTILES:
        value_us = counts.latency.get_value_at_percentile(percentile)
        result[f"p{percentile:g}_us"] = value_us
    for role, seconds in cpu_by_role.items():
        result[f"{role}_cpu_us_per_statement"] = round(seconds / max(1, total) * US_PER_SECOND, 1)
        result[f"{role}_cpu_share"] = round(seconds / _SECONDS.value, 3)
        result[f"{role}_resident_kb"] = memory_kb_by_role[role]
    return result


def main(arguments: list[str]) -> None:
    """Run the command."""
    refuse_words(arguments)
    result = trio.run(measure)
    show_result(result, _OUT.value)


if __name__ == "__main__":
    app.run(main)
