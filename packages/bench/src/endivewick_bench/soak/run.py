"""The soak's command: seeded runs of the real programs under random faults.

Each run starts its own system and clients, injects overlapping faults, then only planned
operations, and finally expects that every client is served. All promises are checked during the
run. If one is broken, the exit code is 1 and the run's folder is kept.
"""

import shutil
import sys
import tempfile
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import trio
from absl import app, flags

from ..checkers import clock_ms
from ..cluster import default_net
from ..output import refuse_words, show_result
from .checks import CHECKS, TIMED_CHECKS, Recorder, Violation
from .clients import Client
from .faults import FAULTS, Fault
from .gaps import longest_gaps
from .history import Answered, Committed, Promoted
from .system import (
    System,
    plan_system,
    put_configuration,
    read_configuration,
    run_system,
)
from .wire import SoakWire

_SEED = flags.DEFINE_integer("seed", 1, "The first seed.")
_SEEDS = flags.DEFINE_integer("seeds", 1, "How many seeds, one after the other.", lower_bound=1)
_GATEWAYS = flags.DEFINE_integer("gateways", 3, "How many gateways.", 1, 120)
_SERVICES = flags.DEFINE_integer("services", 2, "How many services of three upstreams.", 1, 5)
_CLIENTS = flags.DEFINE_integer("clients", 18, "How many clients.", 1, 1000)
_FAULTS_S = flags.DEFINE_float("faults_s", 16.0, "How long faults overlap.", 0.0)
_CALM_S = flags.DEFINE_float("calm_s", 10.0, "How long only planned work follows.", 0.0)
_FAULT_NAMES = flags.DEFINE_list(
    "faults", [], "Only the faults whose names hold one of these words."
)
_FENCED = flags.DEFINE_bool(
    "fenced", True, "A promotion ends the former primary's leadership at once."
)
_TIMED = flags.DEFINE_bool(
    "timed", True, "Check limits of real time; without, they only end a run that hangs."
)
_KEEP = flags.DEFINE_bool("keep", False, "Keep the folder of every run.")
_OUT = flags.DEFINE_string("out", "", "A file for the result as JSON.")
_PLOT = flags.DEFINE_string("plot", "", "A file for the plot of the last run.")

FAULT_INTERVAL_S = (0.2, 1.6)  # between two faults
START_LIMIT_S = 20.0  # for the first configuration and for first answers, beside other load
HANG_TIMEOUT_S = 120.0  # ends a run that hangs, where real-time limits aren't checked
RECOVERY_LIMIT_S = 12.0  # the platform's limit until a system serves again after faults
MAX_PRINTED_VIOLATIONS = 10  # of one run
WARM_UP_S = 1.0  # of client load before the first fault


def run(wire: SoakWire) -> None:
    """Run the command with a platform's wire."""
    app.run(lambda arguments: _main(wire, arguments))


def _main(wire: SoakWire, arguments: list[str]) -> None:
    refuse_words(arguments)
    results = []
    for seed in range(_SEED.value, _SEED.value + _SEEDS.value):
        result = run_seed(wire, seed)
        results.append(result)
        broken = len(result["violations"])
        print(f"seed {seed}: {result['statements']} statements, {broken} violations", flush=True)
        for line in result["violations"][:MAX_PRINTED_VIOLATIONS]:
            print(f"  {line}", flush=True)
    totals = _totals(results)
    show_result(totals, _OUT.value)
    sys.exit(1 if totals["violations"] else 0)


def run_seed(wire: SoakWire, seed: int) -> dict[str, Any]:
    """Run one seed; return its summary."""
    folder = Path(tempfile.mkdtemp(prefix=f"endivewick-soak-{seed}-"))
    names = frozenset(CHECKS) - (frozenset() if _TIMED.value else TIMED_CHECKS)
    system = plan_system(
        wire,
        folder,
        default_net(seed),
        Random(seed),
        Recorder(names),
        _GATEWAYS.value,
        _SERVICES.value,
        _FENCED.value,
    )
    injected: list[tuple[float, str]] = []
    try:
        trio.run(_run_phases, system, injected)
    finally:
        for node in system.nodes().values():
            node.process.kill()
    violations = system.recorder.violations
    if _PLOT.value:
        # Loading the plotting library takes longer than a whole short run.
        from ..plots import plot_soak

        plot_soak(_answer_times(system), injected, Path(_PLOT.value))
    kept = bool(violations) or _KEEP.value
    if kept:
        _write_history(system, folder / "history.jsonl")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return _summary(system, seed, injected, str(folder) if kept else "")


async def _run_phases(system: System, injected: list[tuple[float, str]]) -> None:
    chosen = [item for item in FAULTS if _is_chosen(item)]
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        system.background = nursery
        await run_system(system, nursery)
        nursery.start_soon(_read_configurations, system, stop)
        with trio.move_on_after(START_LIMIT_S if _TIMED.value else HANG_TIMEOUT_S):
            await put_configuration(system, system.configuration)
        workspaces = sorted(system.configuration.routes)
        clients = [
            Client(f"c{number}", workspaces[number % len(workspaces)], system)
            for number in range(_CLIENTS.value)
        ]
        for client in clients:
            nursery.start_soon(client.run, stop)
        await _expect_service(system, clients, "at the start", START_LIMIT_S)
        await trio.sleep(WARM_UP_S)
        await _inject_faults(system, chosen, injected, _FAULTS_S.value)
        system.record_disturbance("the last fault ended")
        await _expect_service(system, clients, "after the faults", RECOVERY_LIMIT_S)
        planned = [item for item in chosen if item.is_planned]
        await _inject_faults(system, planned, injected, _CALM_S.value)
        await _expect_service(system, clients, "after planned work", RECOVERY_LIMIT_S)
        stop.set()
        await _expect_newest_configuration(system)
        nursery.cancel_scope.cancel()


def _is_chosen(fault: Fault) -> bool:
    return not _FAULT_NAMES.value or any(word in fault.name for word in _FAULT_NAMES.value)


async def _inject_faults(
    system: System, faults: list[Fault], injected: list[tuple[float, str]], span_s: float
) -> None:
    """Inject random, overlapping faults for a time; return once all have ended."""
    if not faults or not span_s:
        return
    end_s = trio.current_time() + span_s
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_s:
            fault = system.random.choice(faults)
            injected.append((clock_ms(), fault.name))
            nursery.start_soon(_inject_fault, system, fault)
            await trio.sleep(system.random.uniform(*FAULT_INTERVAL_S))


async def _inject_fault(system: System, fault: Fault) -> None:
    if not fault.is_planned:
        system.record_disturbance(fault.name)
    if fault.disrupts_control:
        system.record_control_disruption()
    await fault.inject(system)
    if fault.disrupts_control:
        system.record_control_disruption()
    if not fault.is_planned:
        system.record_disturbance(f"{fault.name} ended")


async def _expect_service(system: System, clients: list[Client], when: str, limit_s: float) -> None:
    """Record a violation unless every client is served once more within a limit."""
    before = {client.name: client.served for client in clients}
    waiting = clients
    with trio.move_on_after(limit_s if _TIMED.value else HANG_TIMEOUT_S):
        while waiting := [item for item in waiting if item.served == before[item.name]]:
            await trio.sleep(0.05)
        return
    names = ", ".join(f"{item.name} of {item.workspace} at {item.gateway}" for item in waiting)
    _record_violation(system, f"not served {when}: {names}")


async def _read_configurations(system: System, stop: trio.Event) -> None:
    while not stop.is_set():
        await read_configuration(system)
        await trio.sleep(system.random.uniform(0.1, 0.5))


async def _expect_newest_configuration(system: System) -> None:
    """Record a violation unless a control process returns the newest configuration."""
    with trio.move_on_after(RECOVERY_LIMIT_S if _TIMED.value else HANG_TIMEOUT_S):
        while not await read_configuration(system):
            await trio.sleep(0.1)
        return
    _record_violation(system, "the newest configuration isn't read back")


def _write_history(system: System, path: Path) -> None:
    """Write each event as a line of JSON: its class name, then its fields."""
    lines = [
        msgspec.json.encode({"event": type(event).__name__, **event._asdict()}, enc_hook=sorted)
        for event in system.recorder.events
    ]
    path.write_bytes(b"\n".join(lines) + b"\n")


def _record_violation(system: System, text: str) -> None:
    event = system.recorder.events[-1]
    system.recorder.violations.append(Violation("service", text, event))


def _answer_times(system: System) -> list[tuple[float, bool]]:
    return [
        (event.at_ms, event.outcome in ("ok", "own"))
        for event in system.recorder.events
        if isinstance(event, Answered)
    ]


def _summary(
    system: System, seed: int, injected: list[tuple[float, str]], folder: str
) -> dict[str, Any]:
    events = system.recorder.events
    outcomes = Counter(item.outcome for item in events if isinstance(item, Answered))
    committed = {
        request_id
        for item in events
        if isinstance(item, Committed)
        for request_id in item.request_ids
    }
    acknowledged = sum(
        isinstance(item, Answered) and item.outcome == "ok" and item.request_id in committed
        for item in events
    )
    return {
        "seed": seed,
        "processes": len(system.nodes()),
        "statements": sum(outcomes.values()),
        "acknowledged_writes": acknowledged,
        "outcomes": dict(outcomes),
        "promotions": sum(isinstance(item, Promoted) for item in events),
        "longest_gap_ms": longest_gaps(events),
        "faults": dict(Counter(name for _, name in injected)),
        "violations": [f"{item.promise}: {item.text}" for item in system.recorder.violations],
        "folder": folder,
    }


def _totals(results: list[dict[str, Any]]) -> dict[str, Any]:
    faults: Counter[str] = Counter()
    outcomes: Counter[str] = Counter()
    for result in results:
        faults.update(result["faults"])
        outcomes.update(result["outcomes"])
    unknown = ("cut", "timeout", "outcome_unknown")
    return {
        "seeds": [result["seed"] for result in results],
        "processes": max(result["processes"] for result in results),
        "statements": sum(result["statements"] for result in results),
        "acknowledged_writes": sum(result["acknowledged_writes"] for result in results),
        "unknown_outcomes": sum(outcomes[name] for name in unknown),
        "promotions": sum(result["promotions"] for result in results),
        "longest_gap_ms": {result["seed"]: result["longest_gap_ms"] for result in results},
        "outcomes": dict(outcomes),
        "faults": dict(faults),
        "violations": sum(len(result["violations"]) for result in results),
        "failed": [result for result in results if result["violations"]],
    }
