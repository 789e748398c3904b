"""Rounds of faults over real processes, under caller load, checked by every checker.

Each round kills, freezes, wipes or cuts something, heals it and waits until the system serves
again. The command prints rounds, requests, acknowledged writes, unknown outcomes and violations,
and exits with 1 where a promise was broken.
"""

import shutil
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import trio
from absl import app, flags

from . import cluster as cl
from .checkers import Record, Violation, check_all, read_history
from .output import refuse_words, show_result
from .relay import Relay
from .sessions import Recorder, Session
from .system_faults import FAULTS, GROUP, Bench, drain_home

_ROUNDS = flags.DEFINE_integer("rounds", 20, "How many faults.", upper_bound=200)
_SEED = flags.DEFINE_integer("seed", 1, "The seed of the callers' choices.")
_SESSIONS = flags.DEFINE_integer("sessions", 6, "How many callers.", upper_bound=100)
_KEEP = flags.DEFINE_bool("keep", False, "Keep the folder with the logs.")
_HISTORY = flags.DEFINE_string("history", "", "A file for the recorded history.")
_OUT = flags.DEFINE_string("out", "", "A file for the result as JSON.")

CUSTOMER = "rounds"
OPERATED = "operated"
CONTRACT = {"group": "main", "max_staleness_ms": 2_000, "connections": 10, "surge_share": 0.5}
FAULT_S = 3.5
CALM_S = 0.7
HEALTH_INTERVAL_S = 0.1
HEALTH_TIMEOUT_S = 0.2


def plan_relays(bench: Bench) -> None:
    """Put relays on every link of control-1, and before each upstream."""
    cluster = bench.cluster
    victim = "control-1"
    address = cluster.cluster_addresses[victim]
    relayed = f"{cluster.net}.200:7000"
    bench.to_control.append(Relay(relayed, address))
    routes: dict[str, str] = {}
    for port, name in enumerate(cluster.cluster_addresses, start=7001):
        if name == victim:
            continue
        other = cluster.cluster_addresses[name]
        back = f"{cluster.net}.200:{port}"
        bench.from_control.append(Relay(back, other))
        routes[other] = back
        cluster.settings[name]["cluster"]["routes"] = {address: relayed}
        cl.write_settings(cluster, name)
    cluster.settings[victim]["cluster"]["routes"] = routes
    cl.write_settings(cluster, victim)
    for port, (name, target) in enumerate(cluster.upstream_addresses.items(), start=9001):
        relay = Relay(f"{cluster.net}.201:{port}", target)
        bench.to_upstreams[name] = relay
        cluster.processes[name].arguments.append(f"--announced={relay.listen_address}")


@asynccontextmanager
async def running_bench(seed: int) -> AsyncIterator[Bench]:
    """Run the system of the rounds."""
    folder = Path(tempfile.mkdtemp(prefix="endivewick-"))
    cluster = cl.create_cluster(cl.SMALL, folder, cl.default_net())
    bench = Bench(cluster, Recorder(), Random(seed))
    plan_relays(bench)
    try:
        async with trio.open_nursery() as nursery:
            for relay in bench.to_control + bench.from_control + list(bench.to_upstreams.values()):
                nursery.start_soon(relay.serve)
            for relay in bench.to_upstreams.values():
                nursery.start_soon(relay.replication().serve)
            cl.start_all(cluster)
            await cl.bootstrap(cluster)
            yield bench
            nursery.cancel_scope.cancel()
    finally:
        cl.stop_all(cluster)
        if not _KEEP.value:
            shutil.rmtree(folder, ignore_errors=True)


async def operate(bench: Bench, until: trio.Event) -> None:
    """Change one contract again and again, resending changes whose answer was lost."""
    version = 0
    for serial in count(1):
        if until.is_set():
            return
        contract = {**CONTRACT, "connections": 10 + serial % 5}
        reply = await cl.put_contract(
            bench.cluster, OPERATED, contract, f"operator-{serial}", version
        )
        if reply.status == 200:
            version = reply.body["version"]
            fields = {"revision": reply.body["revision"]}
            bench.recorder.add("operator", "configuration_accepted", **fields)
        elif reply.body.get("error") == "change_conflict":
            version = reply.body["details"]["version"]
        await trio.sleep(0.2)


async def balance(bench: Bench, until: trio.Event) -> None:
    """Stand in for the platform's balancer: keep the set of proxies whose health check passes."""
    while not until.is_set():
        for name, address in bench.cluster.proxy_addresses.items():
            with trio.move_on_after(HEALTH_TIMEOUT_S):
                reply = await cl.call(address, "GET", "/v1/health")
                if reply is not None and reply.status == 200:
                    bench.healthy.add(name)
                    continue
            bench.healthy.discard(name)
        await trio.sleep(HEALTH_INTERVAL_S)


async def watch_revisions(bench: Bench, until: trio.Event) -> None:
    """Record the revision that each proxy has in force."""
    while not until.is_set():
        for name, address in bench.cluster.proxy_addresses.items():
            reply = await cl.call(address, "GET", "/v1/status")
            if reply is not None:
                fields = {"revision": reply.body["revision"]}
                bench.recorder.add(name, "configuration_in_force", **fields)
        await trio.sleep(0.1)


async def run_rounds(bench: Bench, rounds: int, sessions: int) -> list[str]:
    """Run the faults one after the other under load; return their names."""
    await cl.put_contract(bench.cluster, CUSTOMER, CONTRACT, "rounds-1")
    await cl.wait_serving(bench.cluster, CUSTOMER)
    until = trio.Event()
    struck: list[str] = []
    async with trio.open_nursery() as nursery:
        for number in range(sessions):
            session = Session(
                f"s{number}",
                CUSTOMER,
                GROUP,
                bench.cluster.proxy_addresses,
                bench.recorder,
                Random(bench.random.random()),
                healthy=bench.healthy,
            )
            nursery.start_soon(session.run, until)
        nursery.start_soon(operate, bench, until)
        nursery.start_soon(balance, bench, until)
        nursery.start_soon(watch_revisions, bench, until)
        for number in range(rounds):
            await trio.sleep(CALM_S)
            fault = FAULTS[number % len(FAULTS)]
            if fault.strike is not drain_home:
                bench.recorder.add("rounds", "fault_began", value=fault.name)
            heal = await fault.strike(bench)
            await trio.sleep(FAULT_S)
            await heal()
            await cl.wait_serving(bench.cluster, CUSTOMER)
            struck.append(fault.name)
            print(f"round {number + 1}: {fault.name}", flush=True)
        until.set()
    return struck


def summary(
    history: list[Record], struck: list[str], violations: list[Violation]
) -> dict[str, Any]:
    """Return the figures of a run."""
    answers = [item for item in history if item.kind == "answer"]
    outcomes = Counter(item.outcome for item in answers)
    written = [item for item in answers if item.operation in ("write", "commit")]
    return {
        "rounds": len(struck),
        "faults": dict(Counter(struck)),
        "requests": sum(1 for item in history if item.kind == "invoke"),
        "acknowledged_writes": sum(1 for item in written if item.outcome == "ok"),
        "unknown_outcomes": outcomes["outcome_unknown"],
        "outcomes": dict(outcomes),
        "changes_accepted": sum(1 for i in history if i.kind == "configuration_accepted"),
        "changes_of_primary": sum(1 for i in history if i.kind == "promoted"),
        "violations": len(violations),
    }


async def main_async() -> dict[str, Any]:
    """Run the command; return its result."""
    async with running_bench(_SEED.value) as bench:
        struck = await run_rounds(bench, _ROUNDS.value, _SESSIONS.value)
        upstream_records = read_history(bench.cluster.history_paths())
    history = sorted(bench.recorder.records + upstream_records, key=lambda item: item.at_ms)
    if _HISTORY.value:
        lines = [msgspec.json.encode(item._asdict()) for item in history]
        Path(_HISTORY.value).write_bytes(b"\n".join(lines) + b"\n")
    violations = check_all(history)
    for violation in violations[:20]:
        print(violation)
    return summary(history, struck, violations)


def main(arguments: list[str]) -> None:
    """Run the rounds as a command."""
    refuse_words(arguments)
    result = trio.run(main_async)
    show_result(result, _OUT.value)
    sys.exit(1 if result["violations"] else 0)


if __name__ == "__main__":
    app.run(main)
