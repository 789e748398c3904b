"""The failover gap: how long writes of a group are unavailable when its primary fails.

A probe writes without pause. The gap lies between its last acknowledgement before the failure and
the first one after; the home's log lines divide it.
"""

import time
from datetime import datetime
from statistics import median
from typing import Any, NamedTuple

import msgspec
import trio

from . import cluster as cl
from .cluster import Cluster, Site
from .http_client import ConnectionLost, HttpClient
from .relay import Relay

DEADLINE_MS = 9_000
PROBE_PAUSE_S = 0.002
CALM_S = 1.5
# Answers that were on their way when the primary failed may arrive for this long.
ON_THE_WAY_S = 0.02
GAP_LIMIT_S = 20.0
EVENTS = ("primary_unreachable", "promotion_proposed", "primary_changed", "primary_active")
PARTS = ("detection", "revocation", "spreading", "promotion", "resumption")
CONTRACT = {"max_staleness_ms": 2_000, "connections": 10, "surge_share": 1.0}


class Gap(NamedTuple):
    """One failover: what was done, the whole gap and its parts, in milliseconds."""

    how: str
    group: str
    gap_ms: float
    parts_ms: dict[str, float]


class Probe:
    """A caller that writes to one group without pause and notes each acknowledgement."""

    def __init__(self, cluster: Cluster, group: str) -> None:
        """Probe ``group`` through every proxy in turn."""
        self._group = group
        self._clients = [HttpClient(address) for address in cluster.proxy_addresses.values()]
        self.acknowledged_s: list[float] = []
        self.failed = 0

    async def run(self) -> None:
        """Write until cancelled."""
        serial = 0
        while True:
            client = self._clients[serial % len(self._clients)]
            serial += 1
            statement = {"name": "probe", "op": "set", "key": "probe", "value": serial}
            body = {"customer": self._group, "kind": "write", "statement": statement}
            try:
                reply = await client.call(
                    "POST", "/v1/statements", {**body, "deadline_ms": DEADLINE_MS}
                )
            except ConnectionLost:
                self.failed += 1
                continue
            if reply.status == 200:
                self.acknowledged_s.append(time.time())
            else:
                self.failed += 1
            await trio.sleep(PROBE_PAUSE_S)


async def measure(site: Site, rounds: int) -> dict[str, Any]:
    """Fail the primaries of a site ``rounds`` times by kill and by isolation."""
    gaps: list[Gap] = []
    async with trio.open_nursery() as nursery:
        async with cl.running(site, prepare=_announce_relays) as cluster:
            relays = _relays(cluster)
            for relay in relays.values():
                nursery.start_soon(relay.serve)
                nursery.start_soon(relay.replication().serve)
            for group in site.groups:
                contract = {**CONTRACT, "group": group}
                await cl.put_contract(cluster, group, contract, f"gaps-{group}")
            for group in site.groups:
                await cl.wait_serving(cluster, group)
            for number in range(rounds):
                how = ("kill", "isolation")[number % 2]
                group = site.groups[number % len(site.groups)]
                gaps.append(await _fail_once(cluster, relays, group, how))
                print(f"{site.name} {number + 1}: {how} {gaps[-1].gap_ms:.0f} ms", flush=True)
        nursery.cancel_scope.cancel()
    return summarize(site, gaps)


def summarize(site: Site, gaps: list[Gap]) -> dict[str, Any]:
    """Return median and maximum of the gaps and of each part, by kind of failure."""
    result: dict[str, Any] = {"site": site.name, "rounds": len(gaps)}
    for how in ("kill", "isolation"):
        chosen = [gap for gap in gaps if gap.how == how]
        if not chosen:
            continue
        parts = {part: round(median(gap.parts_ms[part] for gap in chosen), 1) for part in PARTS}
        result[how] = {
            "rounds": len(chosen),
            "median_ms": round(median(gap.gap_ms for gap in chosen), 1),
            "max_ms": round(max(gap.gap_ms for gap in chosen), 1),
            "parts_median_ms": parts,
        }
    return result


def _relay_address(cluster: Cluster, name: str) -> str:
    position = sorted(cluster.upstream_addresses).index(name)
    return f"{cluster.net}.220:{9_001 + position}"


def _announce_relays(cluster: Cluster) -> None:
    for name in cluster.upstream_addresses:
        address = _relay_address(cluster, name)
        cluster.processes[name].arguments.append(f"--announced={address}")


def _relays(cluster: Cluster) -> dict[str, Relay]:
    return {
        name: Relay(_relay_address(cluster, name), address)
        for name, address in cluster.upstream_addresses.items()
    }


async def _row(cluster: Cluster, group: str) -> dict[str, Any]:
    with trio.fail_after(cl.READY_TIMEOUT_S):
        while True:
            status = await cl.leader_status(cluster)
            for row in (status or {}).get("groups", []):
                if row["name"] == group and row["home"] and row["primary"]:
                    return dict(row)
            await trio.sleep(cl.POLL_S)


async def _fail_once(cluster: Cluster, relays: dict[str, Relay], group: str, how: str) -> Gap:
    row = await _row(cluster, group)
    primary, home = row["primary"], row["home"]
    probe = Probe(cluster, group)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(probe.run)
        await trio.sleep(CALM_S)
        struck_s = time.time()
        if how == "kill":
            cluster.processes[primary].kill()
        else:
            relays[primary].cut()
        before_s = probe.acknowledged_s[-1]
        with trio.fail_after(GAP_LIMIT_S):
            while probe.acknowledged_s[-1] <= struck_s + ON_THE_WAY_S:
                await trio.sleep(cl.POLL_S)
        after_s = next(at_s for at_s in probe.acknowledged_s if at_s > struck_s + ON_THE_WAY_S)
        nursery.cancel_scope.cancel()
    parts = _parts(cluster, home, struck_s, after_s)
    await _heal(cluster, relays, group, primary, how)
    return Gap(how, group, (after_s - before_s) * 1000, parts)


def _parts(cluster: Cluster, home: str, struck_s: float, after_s: float) -> dict[str, float]:
    """Divide the gap by the home's log lines."""
    times = [struck_s]
    lines = (cluster.folder / f"{home}.log").read_bytes().splitlines()
    for event in EVENTS:
        found = times[-1]
        for line in lines:
            record = msgspec.json.decode(line)
            at_s = datetime.fromisoformat(record["at"]).timestamp()
            if record["event"] == event and at_s >= struck_s - 0.001:
                found = max(found, at_s)
                break
        times.append(found)
    times.append(after_s)
    return {
        part: max(0.0, (times[position + 1] - times[position]) * 1000)
        for position, part in enumerate(PARTS)
    }


async def _heal(
    cluster: Cluster, relays: dict[str, Relay], group: str, name: str, how: str
) -> None:
    """Bring the failed upstream back as a follower, and wait until it has caught up."""
    row = await _row(cluster, group)
    process = cluster.processes[name]
    if how == "kill":
        primary = cluster.upstream_addresses[row["primary"]]
        kept = [item for item in process.arguments if not item.startswith("--primary=")]
        process.arguments = [*kept, f"--primary={primary}"]
        process.start()
    relays[name].heal()
    with trio.fail_after(cl.READY_TIMEOUT_S):
        while True:
            reply = await cl.call(
                cl.admin_address(cluster.upstream_addresses[name]), "POST", "/report", {}
            )
            if reply is not None and reply.body["term"] == row["term"]:
                return
            await trio.sleep(cl.POLL_S)
