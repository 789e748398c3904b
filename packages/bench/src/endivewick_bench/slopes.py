"""Slopes for docs/CAPACITY.md: what one more proxy, upstream, contract, change or caller costs.

State and reducers are measured in this process at several sizes with the real codec; idle
processes and caller connections on a running system.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from typing import Any

import trio
from absl import app, flags
from endivewick_core.codec import decode, encode
from endivewick_core.commands import COMMANDS, AssignHomes, PutContract, RegisterUpstream
from endivewick_core.control import effects as cx
from endivewick_core.control.events import (
    BootstrapRequest,
    MessageReceived,
    OperatorRequested,
    Tick,
)
from endivewick_core.control.reducer import reduce as reduce_control
from endivewick_core.control.state import ControlSettings, ControlState
from endivewick_core.messages import (
    CODEC,
    GrantQuestion,
    HeartbeatReply,
    LogEntry,
    Member,
    ProxyHeartbeat,
)
from endivewick_core.proxy.events import MessageReceived as ProxyReceived
from endivewick_core.proxy.events import Tick as ProxyTick
from endivewick_core.proxy.reducer import reduce as reduce_proxy
from endivewick_core.proxy.state import Home, Phase, ProxySettings, ProxyState
from endivewick_core.replicated_state import (
    ReplicatedState,
    apply_command,
    decode_configuration,
    encode_replicated_state,
)
from endivewick_node.transport import Transport

from . import cluster as cl
from .http_client import HttpClient
from .output import refuse_words, show_result
from .processes import cpu_seconds, resident_kb
from .spreading import compare

_OUT = flags.DEFINE_string("out", "", "A file for the result as JSON.")
_SEED = flags.DEFINE_integer("seed", 1, "The seed of the failed members.")
_PARTS = flags.DEFINE_list(
    "parts", ["state", "control", "proxy", "spreading", "transport", "running"], "Which."
)

STATE_SIZES = (1_000, 2_000, 4_000, 8_000)
PROXY_COUNTS = (6, 64, 512, 3_800)
TARGET_GROUPS = 24_000
TARGET_UPSTREAMS = 72_000
REPEATS = 200
IDLE_S = 5.0
MESSAGES = 10_000
MESSAGE_BATCHES = (1, 10, 100)
CALLERS = 1_000
MICROSECONDS = 1_000_000


def memory_kb_of(make: Callable[[], object]) -> float:
    """Return the memory that a value holds, with all that it refers to."""
    gc.collect()
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    value = make()
    gc.collect()
    after_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del value
    return (after_bytes - before_bytes) / 1024


def cpu_us(work: Callable[[], object], repeats: int) -> float:
    """Return the processor time of one call in microseconds."""
    gc.collect()
    started = time.process_time()
    for _ in range(repeats):
        work()
    return (time.process_time() - started) / repeats * MICROSECONDS


def upstream_command(number: int) -> RegisterUpstream:
    """Return the registration of one upstream of three in its group."""
    group = f"group-{number // 3:05}"
    address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:5432"
    return RegisterUpstream(f"{group}-{number % 3}", group, address, "dc-01", 3, 20, "running")


def contract_command(number: int, version: int = 0, change: str = "") -> PutContract:
    """Return a contract of one customer."""
    return PutContract(
        change or f"{number:032x}",
        f"customer-{number:06}",
        version,
        f"group-{number % TARGET_GROUPS:05}",
        2_000,
        20,
        0.25,
        "primary",
    )


def replicated_state_of(upstreams: int, contracts: int) -> ReplicatedState:
    """Return a configuration of a given size."""
    replicated_state = ReplicatedState(keeps_changes=False)
    index = 0
    for number in range(upstreams):
        index += 1
        apply_command(replicated_state, index, upstream_command(number))
    for number in range(contracts):
        index += 1
        apply_command(replicated_state, index, contract_command(number))
    homes = [(name, 1) for name in replicated_state.groups]
    apply_command(
        replicated_state, index + 1, AssignHomes("proxy-0001", "b" * 12, "10.0.0.1:7000", homes)
    )
    return replicated_state


def measure_state() -> dict[str, Any]:
    """Return the memory of a proxy's configuration by upstreams and by contracts."""
    result: dict[str, Any] = {}
    for name, sizes in (
        ("upstreams", [(size, 0) for size in STATE_SIZES]),
        ("contracts", [(0, size) for size in STATE_SIZES]),
        ("target", [(TARGET_UPSTREAMS, TARGET_GROUPS)]),
    ):
        rows = []
        for upstreams, contracts in sizes:
            data = encode_replicated_state(
                replicated_state_of(upstreams, contracts), with_changes=False
            )
            spent_kb = memory_kb_of(partial(decode_configuration, data))
            rows.append(
                {
                    "upstreams": upstreams,
                    "contracts": contracts,
                    "memory_kb": round(spent_kb),
                    "snapshot_kb": round(len(data) / 1024),
                    "decode_ms": round(cpu_us(partial(decode_configuration, data), 3) / 1000, 1),
                }
            )
        result[name] = rows
    return result


def leading_state(replicated_state: ReplicatedState, proxies: int) -> tuple[ControlState, int]:
    """Return a control process that leads alone, with a configuration, and its clock.

    The groups are spread over ``proxies``.
    """
    settings = ControlSettings({"c": "10.0.0.9:7000"}, {"c": "10.0.0.9:8000"})
    state = ControlState(settings, Member("c#1", "c", "10.0.0.9:7000"))
    now_ms = 1_000_000
    reduce_control(state, OperatorRequested(now_ms, 1, BootstrapRequest()))
    for number, group in enumerate(replicated_state.groups.values()):
        home = f"proxy-{number % proxies:04}"
        held = group._replace(home=home, home_boot=home, home_epoch=1)
        state.replicated_state.groups[group.name] = held
    state.replicated_state.upstreams.update(replicated_state.upstreams)
    state.replicated_state.contracts.update(replicated_state.contracts)
    for _ in range(4):
        now_ms += 700
        reduce_control(state, Tick(now_ms, 0.5))
    return state, now_ms


def heartbeat_of(number: int, revision: int) -> ProxyHeartbeat:
    """Return the heartbeat of one proxy."""
    address = f"10.1.{number >> 8}.{number & 255}"
    name = f"proxy-{number:04}"
    return ProxyHeartbeat(
        name, name, f"{address}:7000", f"{address}:8000", "dc-01", 12_345, revision, False, []
    )


def measure_control() -> dict[str, Any]:
    """Return the leader's processor time per heartbeat and per change, by proxies."""
    replicated_state = replicated_state_of(TARGET_UPSTREAMS, TARGET_GROUPS)
    rows = []
    for proxies in PROXY_COUNTS:
        state, now_ms = leading_state(replicated_state, proxies)
        frames = [encode(heartbeat_of(n, state.commit_index)) for n in range(proxies)]
        spent: list[float] = []
        bytes_out = 0
        assert state.leader_state is not None
        for _ in range(max(5, 4_000 // proxies)):
            now_ms += 1_000
            state.leader_state.placement_due_ms = now_ms + 1
            started = time.process_time()
            for frame in frames:
                reduce_control(state, MessageReceived(now_ms, decode(CODEC, frame)))
            for effect in reduce_control(state, Tick(now_ms, 0.5)):
                if isinstance(effect, cx.Send):
                    bytes_out = len(encode(effect.message))
            spent.append(time.process_time() - started)
        placement_us = _placement_us(state, now_ms)
        assignment_ms = _assignment_ms(state, now_ms)
        per_heartbeat = min(spent) / proxies * MICROSECONDS
        rows.append(
            {
                "proxies": proxies,
                "us_per_heartbeat": round(per_heartbeat, 1),
                "placement_us_per_scan": round(placement_us),
                "assign_all_groups_ms": assignment_ms,
                "heartbeat_bytes": len(frames[0]),
                "reply_bytes": bytes_out,
            }
        )
    return {"leader": rows, "change_us": round(_change_us(replicated_state), 1)}


def _placement_us(state: ControlState, now_ms: int) -> float:
    def scan() -> None:
        assert state.leader_state is not None
        state.leader_state.placement_due_ms = 0
        reduce_control(state, Tick(now_ms, 0.5))

    return cpu_us(scan, 20)


def _assignment_ms(state: ControlState, now_ms: int) -> int:
    """Return how long one turn takes that gives every group a home, as after a whole restart."""
    assert state.leader_state is not None
    for name, group in state.replicated_state.groups.items():
        state.replicated_state.groups[name] = group._replace(home="", home_boot="")
    state.leader_state.placement_due_ms = 0
    started = time.process_time()
    reduce_control(state, Tick(now_ms, 0.5))
    return round((time.process_time() - started) * 1_000)


def _change_us(replicated_state: ReplicatedState) -> float:
    number = iter(range(10**9))

    def change() -> None:
        serial = next(number)
        command = contract_command(900_000 + serial)
        apply_command(replicated_state, 10**7 + serial, decode_command(encode(command)))

    return cpu_us(change, REPEATS)


def decode_command(frame: bytes) -> Any:
    """Return the command in a frame."""
    return decode(COMMANDS, frame)


def measure_proxy() -> dict[str, Any]:
    """Return a proxy's processor time per tick, reply and change at the target's configuration."""
    settings = ProxySettings(
        "proxy-0001",
        "other",
        "10.0.0.1:7000",
        "10.0.0.1:8000",
        "dc-01",
        ["10.0.0.9:7000"],
        b"k" * 32,
    )
    state = ProxyState(settings, replicated_state_of(TARGET_UPSTREAMS, TARGET_GROUPS))
    state.replicated_state.members.update(
        decode_configuration(
            encode_replicated_state(state.replicated_state, with_changes=False)
        ).members
    )
    clock = iter(range(10_000_000, 10**10, 1_000))

    def beat(with_change: bool) -> Callable[[], None]:
        def run() -> None:
            now_ms = next(clock)
            reduce_proxy(state, ProxyTick(now_ms))
            entries = []
            revision = state.replicated_state.revision
            if with_change:
                revision += 1
                command = encode(contract_command(800_000 + revision))
                entries = [LogEntry(3, revision, command)]
            reply = HeartbeatReply(state.sequence, 2_000, revision, entries, 0, b"", [])
            message = decode(CODEC, encode(reply))
            reduce_proxy(state, ProxyReceived(now_ms, "10.0.0.9:7000", message))

        return run

    quiet_us = cpu_us(beat(False), REPEATS)
    changed_us = cpu_us(beat(True), REPEATS)
    tick_us = cpu_us(lambda: reduce_proxy(state, ProxyTick(1)), REPEATS)
    return {
        "grant_renewal_us": round(_grant_us(state), 1),
        "tick_us": round(tick_us, 1),
        "heartbeat_us": round(quiet_us, 1),
        "change_us": round(changed_us - quiet_us, 1),
    }


def _grant_us(state: ProxyState) -> float:
    """Return what a home spends on an entry's question for a fresh grant."""
    group = next(iter(state.replicated_state.groups))
    state.homes[group] = Home(group, 1, 0, phase=Phase.ACTIVE)
    state.lease_until_ms = 10**12
    question = encode(GrantQuestion(group, 1, state.replicated_state.groups[group].term, 5))

    def ask() -> None:
        message = decode(CODEC, question)
        effects = reduce_proxy(state, ProxyReceived(10, "10.0.0.2:7000", message))
        encode(effects[0].message)  # type: ignore[union-attr]

    spent_us = cpu_us(ask, REPEATS)
    del state.homes[group]
    return spent_us


async def measure_transport() -> dict[str, Any]:
    """Return the processor time of one message, sent and received, library threads included."""
    sender = Transport({"address": f"{cl.default_net()}.240:7000"}, lambda: None)
    receiver = Transport({"address": f"{cl.default_net()}.241:7000"}, lambda: None)
    target = f"{cl.default_net()}.241:7000"
    frame = encode(heartbeat_of(1, 1_000_000))
    result: dict[str, Any] = {}
    received = 0

    def count(source: str, data: bytes) -> None:
        nonlocal received
        received += 1

    async with trio.open_nursery() as nursery:
        nursery.start_soon(receiver.receive, count)
        while not received:
            sender.send(target, frame)
            await trio.sleep(cl.POLL_S)
        for batch in MESSAGE_BATCHES:
            received = 0
            started = time.process_time()
            for _ in range(MESSAGES // batch):
                wanted = received + batch
                for _ in range(batch):
                    sender.send(target, frame)
                while received < wanted:
                    await trio.lowlevel.checkpoint()
            spent = time.process_time() - started
            result[f"us_per_message_in_batches_of_{batch}"] = round(
                spent / received * MICROSECONDS, 1
            )
        nursery.cancel_scope.cancel()
    sender.close()
    receiver.close()
    return result


async def measure_running() -> dict[str, Any]:
    """Return what idle processes and idle callers cost on a running system."""
    async with cl.running(cl.SMALL) as cluster:
        contract = {
            "group": "main",
            "max_staleness_ms": 2_000,
            "connections": 8,
            "surge_share": 0.5,
        }
        await cl.put_contract(cluster, "idle", contract, "slopes-1")
        await cl.wait_serving(cluster, "idle")
        status = await cl.leader_status(cluster)
        assert status is not None
        home = status["groups"][0]["home"]
        entry = next(name for name in cluster.proxy_addresses if name != home)
        follower = next(name for name in status["voters"] if name != status["leader"])
        roles = {"leader": status["leader"], "follower": follower, "home": home, "entry": entry}
        before = {role: cpu_seconds(cluster.processes[name]) for role, name in roles.items()}
        await trio.sleep(IDLE_S)
        result: dict[str, Any] = {}
        for role, name in roles.items():
            process = cluster.processes[name]
            result[role] = {
                "idle_core_percent": round((cpu_seconds(process) - before[role]) / IDLE_S * 100, 2),
                "resident_kb": resident_kb(process),
            }
        result["idle_caller_kb"] = await _idle_callers(cluster, entry)
        return result


async def _idle_callers(cluster: cl.Cluster, name: str) -> float:
    """Return the memory of one idle caller connection that has been used once."""
    process = cluster.processes[name]
    before_kb = resident_kb(process)
    clients = [HttpClient(cluster.proxy_addresses[name]) for _ in range(CALLERS)]
    for client in clients:
        await client.call("GET", "/v1/health")
    await trio.sleep(1.0)
    spent_kb = resident_kb(process) - before_kb
    for client in clients:
        client.close()
    return round(spent_kb / CALLERS, 2)


def main(arguments: list[str]) -> None:
    """Measure the slopes."""
    refuse_words(arguments)
    parts: dict[str, Callable[[], dict[str, Any]]] = {
        "state": measure_state,
        "control": measure_control,
        "proxy": measure_proxy,
        "spreading": lambda: compare(_SEED.value),
        "transport": lambda: trio.run(measure_transport),
        "running": lambda: trio.run(measure_running),
    }
    result: dict[str, Any] = {"command": f"python -m endivewick_bench.slopes --seed={_SEED.value}"}
    for name in _PARTS.value:
        result[name] = parts[name]()
        print(f"{name}: done", flush=True)
    show_result(result, _OUT.value)


if __name__ == "__main__":
    app.run(main)
