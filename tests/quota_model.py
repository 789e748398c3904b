"""A model of gateways and control processes for quotas: the real reducers, and a simulated network.

Each gateway and control process runs its real reducer on its own clock. Upstreams are left out: an
operation has run as soon as its gateway would send its first statement. Processes can be frozen,
restarted and cut off from each other, and messages can be lost.
"""

import heapq
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from endivewick_core.control import effects as cx
from endivewick_core.control import events as ce
from endivewick_core.control.reducer import reduce as reduce_control
from endivewick_core.control.state import ControlSettings, ControlState, Membership, Role
from endivewick_core.gateway import effects as gx
from endivewick_core.gateway import events as ge
from endivewick_core.gateway.reducer import reduce as reduce_gateway
from endivewick_core.gateway.state import GatewaySettings, GatewayState
from endivewick_core.messages import (
    ControlPeer,
    Member,
    QuotaAnswer,
    QuotaQuestion,
    QuotaShareAnswer,
    QuotaShareQuestion,
)
from endivewick_core.routes import Configuration, Freshness, Route, Service, Tenant
from endivewick_core.statements import Statement, StatementKind
from endivewick_core.token_buckets import TokenLimit

SERVICE = "orders"
WINDOW_MS = 5_000
QUOTA_MESSAGES = (QuotaAnswer, QuotaQuestion, QuotaShareAnswer, QuotaShareQuestion)


@dataclass
class Process:
    """A gateway or control process; its clock is ``offset_ms`` ahead of the model's.

    While it is frozen, its messages wait. The first event after that still has the time at which
    it was frozen, as if it was frozen after it read the clock.
    """

    address: str
    centre: str
    state: Any
    is_control: bool
    offset_ms: int = 0
    starts: int = 1
    frozen_ms: int | None = None
    stale_ms: int | None = None
    inbox: list[Any] = field(default_factory=list)


@dataclass
class World:
    """The processes, the messages on their way, and what has been counted.

    ``runs`` holds when each operation ran, by tenant, ``refused`` and ``waits`` when each was
    refused and how long each waited. ``cuts`` are pairs of addresses that don't reach each other.
    ``lose`` decides which messages are lost; answers about shares to ``lost_to`` always are.
    ``limits`` holds the limits by configuration version.
    """

    now_ms: int
    processes: dict[str, Process]
    latencies_ms: dict[tuple[str, str], int]
    tick_ms: int
    limits: dict[int, dict[str, TokenLimit]] = field(default_factory=dict)
    messages: list[tuple[int, int, str, str, Any]] = field(default_factory=list)
    cuts: set[frozenset[str]] = field(default_factory=set)
    lose: Any = None
    lost_to: str = ""
    next_number: int = 1
    runs: dict[str, list[int]] = field(default_factory=dict)
    refused: dict[str, list[int]] = field(default_factory=dict)
    retries: list[int] = field(default_factory=list)
    waits: dict[str, list[int]] = field(default_factory=dict)
    tenants: dict[tuple[str, int], tuple[str, int]] = field(default_factory=dict)
    sent: dict[str, int] = field(default_factory=dict)
    log_events: list[Any] = field(default_factory=list)


def control_address(index):
    return f"10.0.0.{index + 1}:7000"


def gateway_address(index):
    return f"10.0.9.{index + 1}:7000"


def configuration(version, limits):
    """Return the configuration that gateways decode."""
    route = Route("shop", SERVICE, Freshness.BOUNDED, 800, 600, 1, 1_500)
    tenants = {name: Tenant(name, 0, *limit) for name, limit in limits.items()}
    services = {SERVICE: Service(SERVICE, 10_000, 1)}  # so that no statement is forwarded
    names = {name: name for name in limits}  # each key is its tenant's name
    return Configuration(version, {"shop": route}, services, 3_000, tenants, names)


def start_world(limits, controls=3, gateways=3, tick_ms=20, remote_ms=20, settle_ms=6_000):
    """Return a world whose processes know each other and the limits."""
    centres = [f"dc-{index}" for index in range(controls)]
    latencies_ms = {}
    for one in centres:
        for other in centres:
            latencies_ms[(one, other)] = 0 if one == other else remote_ms
    world = World(100_000, {}, latencies_ms, tick_ms)
    for index in range(controls):
        address = control_address(index)
        state = _control_state(index, controls, centres, world.now_ms)
        world.processes[address] = Process(address, centres[index], state, True, 1_000 * index)
    for index in range(gateways):
        address = gateway_address(index)
        centre = centres[index % controls]
        state = _gateway_state(address, centre, controls, 1)
        offset_ms = 50_000 + 700 * index
        world.processes[address] = Process(address, centre, state, False, offset_ms)
    run(world, 2_000)
    put_limits(world, limits)
    run(world, settle_ms)
    return world


def _control_state(index, controls, centres, now_ms):
    addresses = tuple(control_address(item) for item in range(controls))
    address = addresses[index]
    me = ControlPeer(address, address.replace(":7000", ":80"), centres[index])
    settings = ControlSettings(
        {}, {}, addresses, controls, me, heartbeat_ms=150, election_timeout_ms=700
    )
    state = ControlState(settings, Member(f"{address}#founder", address, address), Role.FOLLOWER)
    voters = [Member(f"{item}#founder", item, item) for item in addresses]
    state.snapshot_membership = Membership(voters, [])
    state.directory_state.boot = f"{address} 1"
    state.election_due_ms = now_ms + 1_000 * index + 100 + 300 * index
    return state


def _gateway_state(address, centre, controls, start):
    addresses = [control_address(item) for item in range(controls)]
    regions = {f"dc-{item}": f"region-{item}" for item in range(controls)}
    return GatewayState(GatewaySettings(address, f"boot {start}", centre, regions, addresses))


def put_limits(world, limits):
    """Let the operator put a configuration with other limits at the leader."""
    version = len(world.limits) + 1
    world.limits[version] = {name: TokenLimit(*limit) for name, limit in limits.items()}
    request = ce.PutConfigurationRequest(
        version, [SERVICE], str(version).encode(), world.limits[version]
    )
    for process in controls_of(world):
        if process.state.role is Role.LEADER and process.frozen_ms is None:
            event = ce.OperatorRequested(world.now_ms + process.offset_ms, version, request)
            handle(world, process, event)


def controls_of(world):
    return [item for item in world.processes.values() if item.is_control]


def gateways_of(world):
    return [item for item in world.processes.values() if not item.is_control]


def leader_of(world):
    """Return the control process that leads the highest term, None without one."""
    leading = [item for item in controls_of(world) if item.state.role is Role.LEADER]
    return max(leading, key=lambda item: item.state.term, default=None)


def clock_ms(world, process):
    """Return a process's clock; the first event after a freeze has a late one."""
    stale_ms, process.stale_ms = process.stale_ms, None
    return stale_ms if stale_ms is not None else world.now_ms + process.offset_ms


def handle(world, process, event):
    """Reduce one event and carry out its effects."""
    reduce = reduce_control if process.is_control else reduce_gateway
    pending = deque(reduce(process.state, event))
    while pending:
        pending.extend(_carry_out(world, process, event.now_ms, pending.popleft()))
    if not process.is_control:
        _run_queued(world, process)


def _carry_out(world, process, now_ms, effect):
    if isinstance(effect, cx.Send | gx.Send):
        _send(world, process, effect.address, effect.message)
    if isinstance(effect, gx.ApplyDocument):
        version = int(effect.document)
        item = configuration(version, world.limits[version])
        return reduce_gateway(process.state, ge.ConfigurationReceived(now_ms, item))
    if isinstance(effect, gx.AnswerStatement) and effect.error is not None:
        tenant, _ = world.tenants.pop((process.address, effect.session))
        world.refused.setdefault(tenant, []).append(world.now_ms)
        world.retries.append(effect.error.retry_after_ms)
        process.state.sessions.pop(effect.session, None)
    if isinstance(effect, cx.LogEvent | gx.LogEvent):
        world.log_events.append(effect)
    return []


def _send(world, process, address, message):
    target = world.processes[address]
    name = type(message).__name__
    world.sent[name] = world.sent.get(name, 0) + 1
    if frozenset((process.address, address)) in world.cuts:
        return
    if world.lose is not None and world.lose(process, message):
        return
    if address == world.lost_to and isinstance(message, QuotaShareAnswer):
        return
    due_ms = world.now_ms + world.latencies_ms[(process.centre, target.centre)]
    world.next_number += 1
    item = (due_ms, world.next_number, process.address, address, message)
    heapq.heappush(world.messages, item)


def _run_queued(world, process):
    """Count the operations that would be sent upstream now."""
    state = process.state
    for queue in state.queues.values():
        for heap in (queue.primary, queue.reads):
            for item in heap:
                request = item.request
                if request.serial not in state.requests:
                    continue
                key = (process.address, request.session)
                tenant, started_ms = world.tenants.pop(key)
                world.runs.setdefault(tenant, []).append(world.now_ms)
                world.waits.setdefault(tenant, []).append(world.now_ms - started_ms)
                del state.requests[request.serial]
                state.sessions.pop(request.session)
            heap.clear()
    state.queued = 0


def offer(world, process, tenant, count=1):
    """Let clients of a tenant begin operations at a gateway."""
    if process.frozen_ms is not None:
        return
    for _ in range(count):
        if not process.state.configuration.version:
            return
        world.next_number += 1
        number = world.next_number
        world.tenants[(process.address, number)] = (tenant, world.now_ms)
        handle(world, process, ge.SessionOpened(clock_ms(world, process), number, "shop", tenant))
        statement = Statement(StatementKind.READ, f"r{number}", "read a")
        event = ge.StatementReceived(clock_ms(world, process), number, statement)
        handle(world, process, event)


def run(world, for_ms, load=None):
    """Let time pass; ``load`` is called at each tick and offers operations."""
    end_ms = world.now_ms + for_ms
    while world.now_ms < end_ms:
        tick_at_ms = min(end_ms, world.now_ms + world.tick_ms)
        deliver(world, tick_at_ms)
        world.now_ms = tick_at_ms
        for process in world.processes.values():
            if process.frozen_ms is not None:
                continue
            if process.is_control:
                # Random numbers that differ between processes, so that elections end.
                random = (sum(process.address.encode()) * 37 % 97 + world.now_ms % 89) / 200
                handle(world, process, ce.Tick(clock_ms(world, process), random))
            else:
                handle(world, process, ge.Tick(clock_ms(world, process)))
        if load is not None:
            load(world)
        deliver(world, tick_at_ms)


def deliver(world, until_ms):
    """Deliver the messages that arrive by then."""
    while world.messages and world.messages[0][0] <= until_ms:
        due_ms, _, _, address, message = heapq.heappop(world.messages)
        world.now_ms = max(world.now_ms, due_ms)
        process = world.processes[address]
        if process.frozen_ms is not None:
            process.inbox.append(message)
            continue
        receive(world, process, message)


def receive(world, process, message):
    event = ce.MessageReceived if process.is_control else ge.MessageReceived
    handle(world, process, event(clock_ms(world, process), message))


def freeze(world, address):
    process = world.processes[address]
    if process.frozen_ms is None:
        process.frozen_ms = world.now_ms + process.offset_ms


def thaw(world, address):
    """Continue a frozen process: it first handles the messages that waited."""
    process = world.processes[address]
    if process.frozen_ms is None:
        return
    process.stale_ms, process.frozen_ms = process.frozen_ms, None
    waiting, process.inbox = process.inbox, []
    for message in waiting:
        receive(world, process, message)


def restart(world, address):
    """Kill a process and start it again; a control process keeps its log."""
    process = world.processes[address]
    process.frozen_ms = process.stale_ms = None
    process.inbox = []
    process.starts += 1
    controls = len(controls_of(world))
    for key in [item for item in world.tenants if item[0] == address]:
        del world.tenants[key]
    if not process.is_control:
        process.state = _gateway_state(address, process.centre, controls, process.starts)
        return
    before = process.state
    state = ControlState(before.settings, before.me, Role.FOLLOWER)
    state.term, state.voted_for, state.log = before.term, before.voted_for, before.log
    state.snapshot_membership = before.snapshot_membership
    state.memberships = list(before.memberships)
    state.directory_state.boot = f"{address} {process.starts}"
    state.election_due_ms = world.now_ms + process.offset_ms + 200
    process.state = state


def cut(world, address, others=None):
    """Cut a process off from the others, or from all."""
    for other in others if others is not None else world.processes:
        if other != address:
            world.cuts.add(frozenset((address, other)))


def heal(world):
    world.cuts.clear()


def allowed(limit, window_ms=WINDOW_MS):
    """Return how many operations may run in a window."""
    return (limit.rate_per_s * window_ms / 1000 + limit.burst) * 1.1 + 20


def most_in_window(times_ms, window_ms=WINDOW_MS):
    """Return the highest number of operations in any sliding window."""
    most, first = 0, 0
    for index, time_ms in enumerate(times_ms):
        while times_ms[first] <= time_ms - window_ms:
            first += 1
        most = max(most, index - first + 1)
    return most
