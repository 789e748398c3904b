"""Injects faults into a running system under load and runs all checkers on the history.

Each round kills, freezes, wipes or disconnects a process, reverts the fault and waits until the
system serves again. The command prints the numbers of rounds, requests, acknowledged writes,
unknown outcomes and violations, and exits with status 1 if a guarantee was broken.
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

_ROUNDS = flags.DEFINE_integer("rounds", 20, "Number of faults to inject.", upper_bound=200)
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the callers' random choices.")
_SESSIONS = flags.DEFINE_integer("sessions", 6, "Number of callers.", upper_bound=100)
_KEEP = flags.DEFINE_bool("keep", False, "Keep the folder with settings, logs and histories.")
_HISTORY = flags.DEFINE_string("history", "", "File for the recorded history.")
_OUT = flags.DEFINE_string("out", "", "File for the result as JSON.")

CUSTOMER = "rounds"
CHANGED_CUSTOMER = "operated"
CONTRACT = {"group": "main", "max_staleness_ms": 2_000, "connections": 10, "surge_share": 0.5}
FAULT_DURATION_S = 3.5
ROUND_PAUSE_S = 0.7
HEALTH_INTERVAL_S = 0.1
HEALTH_TIMEOUT_S = 0.2


def plan_relays(bench: Bench) -> None:
    """Put relays on every link of control-1 and in front of each upstream."""
    cluster = bench.cluster
    victim = "control-1"
    address = cluster.cluster_addresses[victim]
    relay_address = f"{cluster.net}.200:7000"
    bench.to_control.append(Relay(relay_address, address))
    routes: dict[str, str] = {}
    for port, name in enumerate(cluster.cluster_addresses, start=7001):
        if name == victim:
            continue
        member_address = cluster.cluster_addresses[name]
        return_address = f"{cluster.net}.200:{port}"
        bench.from_control.append(Relay(return_address, member_address))
        routes[member_address] = return_address
        cluster.settings[name]["cluster"]["routes"] = {address: relay_address}
        cl.write_settings(cluster, name)
    cluster.settings[victim]["cluster"]["routes"] = routes
    cl.write_settings(cluster, victim)
    for port, (name, target) in enumerate(cluster.upstream_addresses.items(), start=9001):
        relay = Relay(f"{cluster.net}.201:{port}", target)
        bench.to_upstreams[name] = relay
        cluster.processes[name].arguments.append(f"--announced={relay.listen_address}")


@asynccontextmanager
async def running_bench(seed: int) -> AsyncIterator[Bench]:
    """Run a small system with relays; stop it at the end."""
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


async def change_contract(bench: Bench, stop_event: trio.Event) -> None:
    """Change one contract repeatedly and resend changes whose response was lost."""
    version = 0
    for serial in count(1):
        if stop_event.is_set():
            return
        contract = {**CONTRACT, "connections": 10 + serial % 5}
        reply = await cl.put_contract(
            bench.cluster, CHANGED_CUSTOMER, contract, f"operator-{serial}", version
        )
        if reply.status == 200:
            version = reply.body["version"]
            fields = {"revision": reply.body["revision"]}
            bench.recorder.add("operator", "configuration_accepted", **fields)
        elif reply.body.get("error") == "change_conflict":
            version = reply.body["details"]["version"]
        await trio.sleep(0.2)


async def check_health(bench: Bench, stop_event: trio.Event) -> None:
    """Keep the set of proxies whose health check passes, as the platform's load balancer does."""
    while not stop_event.is_set():
        for name, address in bench.cluster.proxy_addresses.items():
            with trio.move_on_after(HEALTH_TIMEOUT_S):
                reply = await cl.call(address, "GET", "/v1/health")
                if reply is not None and reply.status == 200:
                    bench.healthy.add(name)
                    continue
            bench.healthy.discard(name)
        await trio.sleep(HEALTH_INTERVAL_S)


async def watch_revisions(bench: Bench, stop_event: trio.Event) -> None:
    """Record the configuration revision that each proxy has applied."""
    while not stop_event.is_set():
        for name, address in bench.cluster.proxy_addresses.items():
            reply = await cl.call(address, "GET", "/v1/status")
            if reply is not None:
                fields = {"revision": reply.body["revision"]}
                bench.recorder.add(name, "configuration_in_force", **fields)
        await trio.sleep(0.1)


async def run_rounds(bench: Bench, rounds: int, sessions: int) -> list[str]:
    """Inject the faults one after the other under load; return their names."""
    await cl.put_contract(bench.cluster, CUSTOMER, CONTRACT, "rounds-1")
    await cl.wait_serving(bench.cluster, CUSTOMER)
    stop_event = trio.Event()
    fault_names: list[str] = []
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
            nursery.start_soon(session.run, stop_event)
        nursery.start_soon(change_contract, bench, stop_event)
        nursery.start_soon(check_health, bench, stop_event)
        nursery.start_soon(watch_revisions, bench, stop_event)
        for number in range(rounds):
            await trio.sleep(ROUND_PAUSE_S)
            fault = FAULTS[number % len(FAULTS)]
            if fault.inject is not drain_home:
                bench.recorder.add("rounds", "fault_began", value=fault.name)
            heal = await fault.inject(bench)
            await trio.sleep(FAULT_DURATION_S)
            await heal()
            await cl.wait_serving(bench.cluster, CUSTOMER)
            fault_names.append(fault.name)
            print(f"round {number + 1}: {fault.name}", flush=True)
        stop_event.set()
    return fault_names


def summarise(
    history: list[Record], fault_names: list[str], violations: list[Violation]
) -> dict[str, Any]:
    """Return the counts of a run."""
    answers = [item for item in history if item.kind == "answer"]
    outcomes = Counter(item.outcome for item in answers)
    written = [item for item in answers if item.operation in ("write", "commit")]
    return {
        "rounds": len(fault_names),
        "faults": dict(Counter(fault_names)),
        "requests": sum(1 for item in history if item.kind == "invoke"),
        "acknowledged_writes": sum(1 for item in written if item.outcome == "ok"),
        "unknown_outcomes": outcomes["outcome_unknown"],
        "outcomes": dict(outcomes),
        "changes_accepted": sum(1 for i in history if i.kind == "configuration_accepted"),
        "changes_of_primary": sum(1 for i in history if i.kind == "promoted"),
        "violations": len(violations),
    }


async def main_async() -> dict[str, Any]:
    """Run the rounds and the checkers; return the result."""
    async with running_bench(_SEED.value) as bench:
        fault_names = await run_rounds(bench, _ROUNDS.value, _SESSIONS.value)
        upstream_records = read_history(bench.cluster.history_paths())
    history = sorted(bench.recorder.records + upstream_records, key=lambda item: item.at_ms)
    if _HISTORY.value:
        lines = [msgspec.json.encode(item._asdict()) for item in history]
        Path(_HISTORY.value).write_bytes(b"\n".join(lines) + b"\n")
    violations = check_all(history)
    for violation in violations[:20]:
        print(violation)
    return summarise(history, fault_names, violations)


def main(arguments: list[str]) -> None:
    """Run the command."""
    refuse_words(arguments)
    result = trio.run(main_async)
    show_result(result, _OUT.value)
    sys.exit(1 if result["violations"] else 0)


if __name__ == "__main__":
    app.run(main)
