"""The soak's command: seeded runs of the real programs under random faults.

Each run starts a system of its own, lets clients work, injects faults that overlap, then only
planned work, and at last asks whether everything serves again. Every promise is checked while it
runs. The exit code is 1 where one was broken; the folder of such a run is kept.
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
_NAMES = flags.DEFINE_list("faults", [], "Only the faults whose names hold one of these words.")
_TIMED = flags.DEFINE_bool(
    "timed", True, "Check limits of real time; without, they only end a run that hangs."
)
_KEEP = flags.DEFINE_bool("keep", False, "Keep the folder of every run.")
_OUT = flags.DEFINE_string("out", "", "A file for the result as JSON.")
_PLOT = flags.DEFINE_string("plot", "", "A file for the plot of the last run.")

GAP_S = (0.2, 1.6)  # between two faults
FIRST_S = 20.0  # how long a system may take to serve at first, beside other load
HANG_S = 120.0  # ends a run that hangs, where limits of real time aren't checked
RECOVERY_S = 12.0  # the platform's limit until a system serves again
SHOWN = 10  # violations of one run that are printed
SETTLE_S = 1.0  # the clients work before the first fault


def run(wire: SoakWire) -> None:
    """Run the command over a platform's wire."""
    app.run(lambda arguments: _main(wire, arguments))


def _main(wire: SoakWire, arguments: list[str]) -> None:
    refuse_words(arguments)
    results = []
    for seed in range(_SEED.value, _SEED.value + _SEEDS.value):
        result = run_seed(wire, seed)
        results.append(result)
        broken = len(result["violations"])
        print(f"seed {seed}: {result['statements']} statements, {broken} violations", flush=True)
        for line in result["violations"][:SHOWN]:
            print(f"  {line}", flush=True)
    totals = _totals(results)
    show_result(totals, _OUT.value)
    sys.exit(1 if totals["violations"] else 0)


def run_seed(wire: SoakWire, seed: int) -> dict[str, Any]:
    """Run one seed; return its figures."""
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
    )
    struck: list[tuple[float, str]] = []
    try:
        trio.run(_play, system, struck)
    finally:
        for node in system.nodes().values():
            node.process.kill()
    violations = system.recorder.violations
    if _PLOT.value:
        # Loading the plotting library takes longer than a whole short run.
        from ..plots import plot_soak

        plot_soak(_answer_times(system), struck, Path(_PLOT.value))
    kept = bool(violations) or _KEEP.value
    if kept:
        _write_history(system, folder / "history.jsonl")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return _figures(system, seed, struck, str(folder) if kept else "")


async def _play(system: System, struck: list[tuple[float, str]]) -> None:
    chosen = [item for item in FAULTS if _is_chosen(item)]
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        system.background = nursery
        await run_system(system, nursery)
        nursery.start_soon(_read_configurations, system, stop)
        with trio.move_on_after(FIRST_S if _TIMED.value else HANG_S):
            await put_configuration(system, system.configuration)
        workspaces = sorted(system.configuration.routes)
        clients = [
            Client(f"c{number}", workspaces[number % len(workspaces)], system)
            for number in range(_CLIENTS.value)
        ]
        for client in clients:
            nursery.start_soon(client.run, stop)
        await _expect_service(system, clients, "at the start", FIRST_S)
        await trio.sleep(SETTLE_S)
        await _strike(system, chosen, struck, _FAULTS_S.value)
        system.disturb("the last fault ended")
        await _expect_service(system, clients, "after the faults", RECOVERY_S)
        planned = [item for item in chosen if item.is_planned]
        await _strike(system, planned, struck, _CALM_S.value)
        await _expect_service(system, clients, "after planned work", RECOVERY_S)
        stop.set()
        await _read_back(system)
        nursery.cancel_scope.cancel()


def _is_chosen(fault: Fault) -> bool:
    return not _NAMES.value or any(word in fault.name for word in _NAMES.value)


async def _strike(
    system: System, faults: list[Fault], struck: list[tuple[float, str]], span_s: float
) -> None:
    """Strike with random faults that overlap; return once all have ended."""
    if not faults or not span_s:
        return
    end_s = trio.current_time() + span_s
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_s:
            fault = system.random.choice(faults)
            struck.append((clock_ms(), fault.name))
            nursery.start_soon(_strike_once, system, fault)
            await trio.sleep(system.random.uniform(*GAP_S))


async def _strike_once(system: System, fault: Fault) -> None:
    if not fault.is_planned:
        system.disturb(fault.name)
    if fault.on_control:
        system.note_control()
    await fault.strike(system)
    if fault.on_control:
        system.note_control()
    if not fault.is_planned:
        system.disturb(f"{fault.name} ended")


async def _expect_service(system: System, clients: list[Client], when: str, limit_s: float) -> None:
    """Expect that every client is served once more within a limit."""
    before = {client.name: client.served for client in clients}
    waiting = clients
    with trio.move_on_after(limit_s if _TIMED.value else HANG_S):
        while waiting := [item for item in waiting if item.served == before[item.name]]:
            await trio.sleep(0.05)
        return
    names = ", ".join(f"{item.name} of {item.workspace} at {item.gateway}" for item in waiting)
    _violate(system, f"not served {when}: {names}")


async def _read_configurations(system: System, stop: trio.Event) -> None:
    while not stop.is_set():
        await read_configuration(system)
        await trio.sleep(system.random.uniform(0.1, 0.5))


async def _read_back(system: System) -> None:
    """Expect that the newest configuration is read back at the end."""
    with trio.move_on_after(RECOVERY_S if _TIMED.value else HANG_S):
        while not await read_configuration(system):
            await trio.sleep(0.1)
        return
    _violate(system, "the newest configuration isn't read back")


def _write_history(system: System, path: Path) -> None:
    """Write each event as a line: its kind, then its fields."""
    lines = [
        msgspec.json.encode({"event": type(event).__name__, **event._asdict()}, enc_hook=sorted)
        for event in system.recorder.events
    ]
    path.write_bytes(b"\n".join(lines) + b"\n")


def _violate(system: System, text: str) -> None:
    event = system.recorder.events[-1]
    system.recorder.violations.append(Violation("service", text, event))


def _answer_times(system: System) -> list[tuple[float, bool]]:
    return [
        (event.at_ms, event.outcome in ("ok", "own"))
        for event in system.recorder.events
        if isinstance(event, Answered)
    ]


def _figures(
    system: System, seed: int, struck: list[tuple[float, str]], folder: str
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
        "faults": dict(Counter(name for _, name in struck)),
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
        "outcomes": dict(outcomes),
        "faults": dict(faults),
        "violations": sum(len(result["violations"]) for result in results),
        "failed": [result for result in results if result["violations"]],
    }
