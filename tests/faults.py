"""The faults of the fault matrix, each on the driver and the process that reached the step."""

from collections.abc import Callable

from driver import GROUP, Driver, Process
from endivewick_core.proxy.events import DrainRequested
from workload import home_of

PROXIES = ["p0", "p1", "p2"]


def primary_of(driver: Driver) -> str:
    for process in driver.processes.values():
        if (
            process.disk is None
            and process.alive
            and GROUP in process.state.replicated_state.groups
        ):
            return process.state.replicated_state.groups[GROUP].primary or "u0"
    return "u0"


def home_now(driver: Driver) -> str:
    return home_of(driver) or "p0"


def leader_now(driver: Driver) -> str:
    return driver.leader() or "c0"


def follower_now(driver: Driver) -> str:
    return next(
        name for name in sorted(driver.control_settings.members) if name != leader_now(driver)
    )


def entry_now(driver: Driver) -> str:
    return next(name for name in PROXIES if name != home_now(driver))


def _kill_primary(driver: Driver, actor: Process) -> None:
    driver.kill_upstream(primary_of(driver))


def _isolate_primary(driver: Driver, actor: Process) -> None:
    name = primary_of(driver)
    for proxy in PROXIES:
        driver.cut(proxy, name)


def _lag_replicas(driver: Driver, actor: Process) -> None:
    for upstream in driver.upstreams.values():
        if upstream.name != primary_of(driver):
            upstream.lag_ms = 1


def _freeze_primary(driver: Driver, actor: Process) -> None:
    driver.freeze(primary_of(driver))


def _kill_actor(driver: Driver, actor: Process) -> None:
    driver.kill(actor.name)


def freeze_actor(driver: Driver, actor: Process) -> None:
    driver.freeze(actor.name)


def _isolate_actor(driver: Driver, actor: Process) -> None:
    driver.isolate(actor.name)


def _kill_home(driver: Driver, actor: Process) -> None:
    driver.kill(home_now(driver))


def _kill_entry(driver: Driver, actor: Process) -> None:
    driver.kill(entry_now(driver))


def _isolate_leader(driver: Driver, actor: Process) -> None:
    driver.isolate(leader_now(driver))


def _kill_leader(driver: Driver, actor: Process) -> None:
    driver.kill(leader_now(driver))


def _lose_disk(driver: Driver, actor: Process) -> None:
    driver.restart(follower_now(driver), wipe=True)


def _lose_leader_disk(driver: Driver, actor: Process) -> None:
    driver.restart(leader_now(driver), wipe=True)


def _restart_all(driver: Driver, actor: Process) -> None:
    for name in list(driver.processes):
        driver.restart(name)


def _silence(driver: Driver, actor: Process) -> None:
    driver.silent.update(driver.connections)


def leave(driver: Driver, actor: Process) -> None:
    name = primary_of(driver)
    driver.upstreams[name].leaving = True
    driver.record("upstream_leaving", name, upstream=name)


def drain_home(driver: Driver) -> None:
    """Begin the planned stop of the proxy that holds the group."""
    process = driver.processes[home_now(driver)]
    driver.record("drain_started", process.name)
    driver.step(process, DrainRequested(driver.clock(process)))


def drain(driver: Driver, actor: Process) -> None:
    driver.after(1, lambda: drain_home(driver))


def _lossy(driver: Driver, actor: Process) -> None:
    driver.loss = 0.15
    driver.record("messages_lost", "network")


FAULTS: dict[str, Callable[[Driver, Process], None]] = {
    "primary killed": _kill_primary,
    "primary isolated": _isolate_primary,
    "primary frozen": _freeze_primary,
    "replicas lag": _lag_replicas,
    "acting process killed": _kill_actor,
    "acting process frozen past its leases": freeze_actor,
    "acting process isolated": _isolate_actor,
    "home killed": _kill_home,
    "entry killed": _kill_entry,
    "control leader isolated": _isolate_leader,
    "control leader killed": _kill_leader,
    "disk of a follower lost": _lose_disk,
    "disk of the leader lost": _lose_leader_disk,
    "all processes restarted": _restart_all,
    "connections silent": _silence,
    "primary leaving": leave,
    "planned stop of the home": drain,
    "messages lost, doubled, reordered": _lossy,
}
