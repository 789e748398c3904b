"""Injects faults into a running system; each fault returns a function that reverts it."""

import shutil
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import trio

from . import cluster as cl
from .cluster import Cluster
from .relay import Relay
from .sessions import Recorder

GROUP = "main"
MAX_ENTRIES_BEHIND = 50


@dataclass(slots=True)
class Bench:
    """A running system with relays in front of its first control process and its upstreams."""

    cluster: Cluster
    recorder: Recorder
    random: Random
    to_control: list[Relay] = field(default_factory=list)
    from_control: list[Relay] = field(default_factory=list)
    to_upstreams: dict[str, Relay] = field(default_factory=dict)
    healthy: set[str] = field(default_factory=set)


class Fault(NamedTuple):
    """A named fault; ``inject`` returns the function that reverts it."""

    name: str
    inject: Callable[[Bench], Awaitable[Callable[[], Awaitable[None]]]]


async def group_status(bench: Bench) -> dict[str, Any]:
    """Return the group's status from the leader once it has a home and a primary."""
    with trio.fail_after(cl.READY_TIMEOUT_S):
        while True:
            status = await cl.leader_status(bench.cluster)
            rows = [row for row in (status or {}).get("groups", []) if row["name"] == GROUP]
            if rows and rows[0]["home"] and rows[0]["primary"]:
                return dict(rows[0])
            await trio.sleep(cl.POLL_S)


async def leader_name(bench: Bench) -> str:
    """Wait for a leader and return its name."""
    with trio.fail_after(cl.READY_TIMEOUT_S):
        while True:
            status = await cl.leader_status(bench.cluster)
            if status is not None:
                return str(status["name"])
            await trio.sleep(cl.POLL_S)


def _kill(bench: Bench, name: str) -> Callable[[], Awaitable[None]]:
    process = bench.cluster.processes[name]
    bench.recorder.add(name, "process_stopped")
    process.kill()

    async def heal() -> None:
        process.start()
        bench.recorder.add(name, "process_started")

    return heal


def _freeze(bench: Bench, name: str) -> Callable[[], Awaitable[None]]:
    process = bench.cluster.processes[name]
    process.signal(signal.SIGSTOP)

    async def heal() -> None:
        process.signal(signal.SIGCONT)

    return heal


async def kill_primary(bench: Bench) -> Callable[[], Awaitable[None]]:
    """Kill the primary; it restarts as a replica without data."""
    name = (await group_status(bench))["primary"]
    process = bench.cluster.processes[name]
    process.kill()

    async def heal() -> None:
        row = await group_status(bench)
        primary = bench.cluster.upstream_addresses[row["primary"]]
        kept = [item for item in process.arguments if not item.startswith("--primary=")]
        process.arguments = [*kept, f"--primary={primary}"]
        process.start()

    return heal


async def freeze_primary(bench: Bench) -> Callable[[], Awaitable[None]]:
    """Stop the primary with SIGSTOP; continue it after it was replaced."""
    return _freeze(bench, (await group_status(bench))["primary"])


async def cut_primary(bench: Bench) -> Callable[[], Awaitable[None]]:
    """Drop all traffic between the primary and the proxies, without closing connections."""
    relay = bench.to_upstreams[(await group_status(bench))["primary"]]
    relay.cut()

    async def heal() -> None:
        relay.heal()

    return heal


async def kill_home(bench: Bench) -> Callable[[], Awaitable[None]]:
    """Kill the home of the group."""
    return _kill(bench, (await group_status(bench))["home"])


async def freeze_home(bench: Bench) -> Callable[[], Awaitable[None]]:
    """Stop the home with SIGSTOP until after its lease has expired."""
    return _freeze(bench, (await group_status(bench))["home"])


async def kill_ingress(bench: Bench) -> Callable[[], Awaitable[None]]:
    """Kill a proxy that is not the home."""
    home = (await group_status(bench))["home"]
    names = [name for name in bench.cluster.proxy_addresses if name != home]
    return _kill(bench, bench.random.choice(names))


async def kill_leader(bench: Bench) -> Callable[[], Awaitable[None]]:
    """Kill the leader of the control processes."""
    return _kill(bench, await leader_name(bench))


async def freeze_leader(bench: Bench) -> Callable[[], Awaitable[None]]:
    """Stop the leader of the control processes with SIGSTOP."""
    return _freeze(bench, await leader_name(bench))


async def cut_control(bench: Bench) -> Callable[[], Awaitable[None]]:
    """Drop all traffic to and from control-1."""
    return _cut_control(bench, True, True)


async def cut_traffic_to_control(bench: Bench) -> Callable[[], Awaitable[None]]:
    """Drop all traffic to control-1; its own messages still arrive."""
    return _cut_control(bench, True, False)


def _cut_control(
    bench: Bench, to_control: bool, from_control: bool
) -> Callable[[], Awaitable[None]]:
    relays = (bench.to_control if to_control else []) + (bench.from_control if from_control else [])
    for relay in relays:
        relay.cut()

    async def heal() -> None:
        for relay in relays:
            relay.heal()

    return heal


async def wipe_follower(bench: Bench) -> Callable[[], Awaitable[None]]:
    """Kill a follower of the control processes, empty its data folder and restart it."""
    leader = await leader_name(bench)
    names = [name for name in sorted(bench.cluster.operator_addresses) if name != leader]
    name = bench.random.choice(names)
    restart = _kill(bench, name)
    folder = Path(bench.cluster.settings[name]["data_folder"])
    shutil.rmtree(folder)
    folder.mkdir()
    await restart()

    async def heal() -> None:
        await _wait_until_all_vote(bench)

    return heal


async def _wait_until_all_vote(bench: Bench) -> None:
    with trio.fail_after(cl.READY_TIMEOUT_S):
        while True:
            status = await cl.leader_status(bench.cluster)
            if status is not None and len(status["voters"]) == bench.cluster.site.controls:
                matches = [row["match_index"] for row in status["members"]]
                if (
                    min(matches) + MAX_ENTRIES_BEHIND >= status["commit_index"]
                    and not status["learners"]
                ):
                    return
            await trio.sleep(cl.POLL_S)


async def drain_home(bench: Bench) -> Callable[[], Awaitable[None]]:
    """Drain the home with SIGTERM; restart it after it has exited."""
    name = (await group_status(bench))["home"]
    bench.recorder.add(name, "drain_started")
    process = bench.cluster.processes[name]
    process.signal(signal.SIGTERM)

    async def heal() -> None:
        code = await process.wait(cl.READY_TIMEOUT_S)
        bench.recorder.add(name, "process_stopped")
        if code != 0:
            bench.recorder.add(name, "drain_failed", value=code)
        process.start()
        bench.recorder.add(name, "process_started")

    return heal


async def silence_upstreams(bench: Bench) -> Callable[[], Awaitable[None]]:
    """Make all open connections of all upstreams silent permanently; new connections work."""
    for name in bench.cluster.upstream_addresses:
        await cl.set_fault(bench.cluster, name, silent=True)

    async def heal() -> None:
        return

    return heal


async def announce_primary_leaving(bench: Bench) -> Callable[[], Awaitable[None]]:
    """Make the primary announce that it is leaving."""
    name = (await group_status(bench))["primary"]
    await cl.set_fault(bench.cluster, name, leaving=True)

    async def heal() -> None:
        await cl.set_fault(bench.cluster, name, leaving=False)

    return heal


FAULTS: tuple[Fault, ...] = (
    Fault("primary killed", kill_primary),
    Fault("home killed", kill_home),
    Fault("home frozen past its lease", freeze_home),
    Fault("control leader killed", kill_leader),
    Fault("primary cut off", cut_primary),
    Fault("data folder wiped", wipe_follower),
    Fault("connections silent", silence_upstreams),
    Fault("control-1 cut off", cut_control),
    Fault("primary frozen", freeze_primary),
    Fault("entry killed", kill_ingress),
    Fault("planned stop of the home", drain_home),
    Fault("control leader frozen", freeze_leader),
    Fault("primary leaving", announce_primary_leaving),
    Fault("control-1 cut off inward", cut_traffic_to_control),
)
