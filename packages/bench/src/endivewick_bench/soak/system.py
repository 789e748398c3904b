"""The system under test: its settings, processes, relays and stand-ins for the platform."""

import signal
import time
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import trio
from endivewick_core.directory import UpstreamState
from endivewick_core.routes import Configuration, Freshness, Route, Service
from endivewick_node.http_server import Connection, HttpServer, Request, Response
from endivewick_node.sockets import Poller

from ..checkers import clock_ms
from ..cluster import Process, call
from ..http_client import Reply
from ..relay import Relay
from . import database as db
from .checks import Recorder
from .execution import Execution
from .history import (
    ConfigurationAcknowledged,
    ConfigurationRead,
    Disturbed,
    EndedByItself,
    Ordered,
    Promoted,
)
from .upstreams import (
    CONNECTION_LIMIT,
    PROMOTION_S,
    UPSTREAMS_PER_SERVICE,
    ServiceStandIn,
    Upstream,
)
from .wire import FailoverOrder, ProcessPlan, SoakWire

DATA_CENTRES = {"north-a": "north", "south-a": "south", "west-a": "west"}
GRACE_S = 6
LOST_DISKS = 1
CONTROL_COUNT = 3
ADDRESSES_PER_SERVICE = 5  # a new upstream may get that of one that left
RELAYED_CONTROL = "control-1"
MESSAGE_PORT = 7440  # the first port that the settings reserve for messages between processes
OPERATOR_TIMEOUT_S = 1.0
OPERATOR_RETRY_S = 0.1
PROBE_INTERVAL_S = 0.3
PROBE_TIMEOUT_S = 0.5
UNREADY_AFTER_MISSES = 2
WATCH_INTERVAL_S = 0.05
OWN_DELAY_LIMIT_MS = 100.0  # half of the shortest time limit that the checks measure
STALENESS_MS = 1_500
TIMEOUT_MS = 1_000
OBJECTIVE_MS = 600


class Node(NamedTuple):
    """One process and its settings; clients reach a gateway through its ``session_relay``."""

    plan: ProcessPlan
    process: Process
    session_relay: Relay | None


@dataclass(slots=True)
class System:
    """The processes, stand-ins and state of one run.

    ``fences_primaries`` is whether a promotion ends the former primary's leadership at once.

    ``late_order_share`` is the share of failover orders that are carried out late without an
    answer, or at once with a late answer. ``control_disrupted_ms`` is when a fault on control last
    began or ended.
    """

    wire: SoakWire
    folder: Path
    net: str
    random: Random
    recorder: Recorder
    fences_primaries: bool = True
    gateways: dict[str, Node] = field(default_factory=dict)
    controls: dict[str, Node] = field(default_factory=dict)
    services: dict[str, ServiceStandIn] = field(default_factory=dict)
    upstream_relays: dict[str, Relay] = field(default_factory=dict)
    message_relays: list[Relay] = field(default_factory=list)
    ready: set[str] = field(default_factory=set)
    stopped: set[str] = field(default_factory=set)
    late_order_share: float = 0.0
    newest_tokens: dict[str, int] = field(default_factory=dict)
    configuration: Configuration = Configuration(0, {}, {}, 3_000)
    newest_version: int = 0
    removed_routes: dict[str, Route] = field(default_factory=dict)
    operator_addresses: list[str] = field(default_factory=list)
    serial: int = 0
    is_wiping: bool = False
    control_disrupted_ms: float = 0.0
    background: trio.Nursery | None = None

    def nodes(self) -> dict[str, Node]:
        """Return every process by name."""
        return {**self.controls, **self.gateways}

    def record_control_disruption(self) -> None:
        """Record that a fault on control processes begins or has ended."""
        self.control_disrupted_ms = clock_ms()

    def record_disturbance(self, what: str) -> None:
        """Record a disturbance, which excuses exceeded time limits for a while."""
        self.recorder.add(Disturbed(clock_ms(), what))

    def start(self, name: str) -> None:
        """Start a process unless it is running."""
        self.stopped.discard(name)
        process = self.nodes()[name].process
        if process.popen is None or process.popen.poll() is not None:
            process.start()

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.stopped.add(name)
        self.nodes()[name].process.kill()

    def signal(self, name: str, number: int) -> None:
        """Send a process a signal; after SIGTERM its end is expected."""
        if number == signal.SIGTERM:
            self.stopped.add(name)
        self.nodes()[name].process.signal(number)


def plan_system(
    wire: SoakWire,
    folder: Path,
    net: str,
    random: Random,
    recorder: Recorder,
    gateways: int,
    services: int,
    fences_primaries: bool,
) -> System:
    """Write the settings of a system without starting anything."""
    system = System(wire, folder, net, random, recorder, fences_primaries)
    centres = list(DATA_CENTRES)
    seeds = [f"{net}.{101 + number}:8782" for number in range(CONTROL_COUNT)]
    system.operator_addresses = seeds
    for number in range(CONTROL_COUNT):
        data_folder = folder / f"control-{number + 1}"
        data_folder.mkdir()
        plan = ProcessPlan(
            f"control-{number + 1}",
            f"{net}.{101 + number}",
            centres[number],
            DATA_CENTRES,
            seeds,
            True,
            str(data_folder),
            "",
            "",
            seeds[number],
            f"{net}.250:8783",
            LOST_DISKS,
            GRACE_S,
            system.fences_primaries,
            {},
        )
        system.controls[plan.name] = _make_node(system, plan, "control", None)
    for number in range(gateways):
        ip = f"{net}.{1 + number}"
        plan = ProcessPlan(
            f"gateway-{number + 1}",
            ip,
            centres[number % len(centres)],
            DATA_CENTRES,
            seeds,
            True,
            "",
            f"{ip}:8784",
            f"{ip}:8785",
            "",
            f"{net}.250:8783",
            LOST_DISKS,
            GRACE_S,
            system.fences_primaries,
            {},
        )
        relay = Relay(f"{ip}:9784", plan.session_address)
        system.gateways[plan.name] = _make_node(system, plan, "gateway", relay)
    _relay_messages(system)
    for number in range(services):
        _plan_service(system, f"service{number}", number)
    system.configuration = _first_configuration(services)
    return system


async def run_system(system: System, nursery: trio.Nursery) -> None:
    """Start the relays, the stand-ins and every process."""
    for relay in [*system.upstream_relays.values(), *system.message_relays]:
        nursery.start_soon(relay.serve)
    for node in system.gateways.values():
        assert node.session_relay is not None
        nursery.start_soon(node.session_relay.serve)
    for service in system.services.values():
        nursery.start_soon(service.run)
    poller = Poller()
    nursery.start_soon(poller.run)
    settings: Any = {"address": f"{system.net}.250:8783"}

    def handle(request: Request, connection: Connection) -> None:
        nursery.start_soon(_handle_failover_order, system, request, connection)

    HttpServer(settings, handle, poller)
    for name in system.nodes():
        system.start(name)
    nursery.start_soon(_watch_processes, system)
    nursery.start_soon(_watch_own_delays, system)
    nursery.start_soon(_track_ready_gateways, system)


async def put_configuration(
    system: System, configuration: Configuration, is_valid: bool = True, body: Any = None
) -> bool:
    """Send a configuration to control until it is accepted or refused; return whether accepted."""
    document = body or system.wire.encode_configuration(configuration)
    while True:
        reply = await _ask_control(system, "PUT", document)
        if reply is not None and reply.status == 200:
            names = frozenset(configuration.routes)
            system.newest_version = max(system.newest_version, configuration.version)
            event = ConfigurationAcknowledged(clock_ms(), configuration.version, is_valid, names)
            system.recorder.add(event)
            return True
        if reply is not None and 400 <= reply.status < 500:
            return False
        await trio.sleep(OPERATOR_RETRY_S)


async def read_configuration(system: System) -> bool:
    """Request the newest configuration from one control process; return whether it answered."""
    asked_ms = clock_ms()
    reply = await _ask_control(system, "GET", None)
    if reply is None or reply.status != 200:
        return False
    version = system.wire.read_version(reply.body)
    system.recorder.add(ConfigurationRead(clock_ms(), asked_ms, version))
    return True


async def _ask_control(system: System, method: str, body: Any) -> Reply | None:
    address = system.random.choice(system.operator_addresses)
    path = system.wire.configuration_path
    for _ in range(3):
        reply = await call(address, method, path, body, timeout_s=OPERATOR_TIMEOUT_S)
        if reply is None or reply.status != 307:
            return reply
        address = reply.location.removeprefix("http://").partition("/")[0]
    return None


def change_routes(system: System, serial: int) -> Configuration:
    """Return the next configuration: one workspace is added, and the oldest extra one removed.

    It is removed only while there are more than three extra ones.
    """
    old = system.configuration
    routes = dict(old.routes)
    extras = [name for name in routes if name.startswith("extra")]
    if len(extras) > 3:
        system.removed_routes[extras[0]] = routes.pop(extras[0])
    added = f"extra{serial}"
    routes[added] = _route(added, "service0", Freshness.SESSION)
    return old._replace(version=old.version + 1 + serial % 3, routes=routes)


def _route(workspace: str, service: str, freshness: Freshness) -> Route:
    staleness_ms = 0 if freshness is Freshness.PRIMARY else STALENESS_MS
    return Route(workspace, service, freshness, TIMEOUT_MS, OBJECTIVE_MS, 1, staleness_ms)


def _first_configuration(services: int) -> Configuration:
    routes: dict[str, Route] = {}
    for number in range(services):
        for freshness in Freshness:
            name = f"{freshness.value}{number}"
            routes[name] = _route(name, f"service{number}", freshness)
    known = {
        f"service{number}": Service(f"service{number}", CONNECTION_LIMIT, 1)
        for number in range(services)
    }
    return Configuration(1, routes, known, 3_000)


def write_settings(system: System, plan: ProcessPlan) -> None:
    """Write a process's settings file; other processes reach the first control by its relay."""
    routes: dict[str, str] = {}
    if plan.name != RELAYED_CONTROL:
        routes = {relay.target_address: relay.listen_address for relay in system.message_relays}
    text = system.wire.encode_settings(plan._replace(routes=routes))
    (system.folder / f"{plan.name}.toml").write_text(text)


def _make_node(system: System, plan: ProcessPlan, role: str, relay: Relay | None) -> Node:
    path = system.folder / f"{plan.name}.toml"
    process = Process(
        plan.name,
        [*system.wire.start_command, role],
        system.folder / f"{plan.name}.log",
        {system.wire.settings_variable: str(path)},
    )
    return Node(plan, process, relay)


def _relay_messages(system: System) -> None:
    """Relay the messages that every other process sends to the first control process."""
    relayed_ip = system.controls[RELAYED_CONTROL].plan.ip
    relay = Relay(f"{system.net}.200:{MESSAGE_PORT}", f"{relayed_ip}:{MESSAGE_PORT}")
    system.message_relays.append(relay)
    for node in system.nodes().values():
        write_settings(system, node.plan)


def _plan_service(system: System, service: str, number: int) -> None:
    database = db.Database(service, is_fenced=system.fences_primaries)
    execution = Execution(database, system.recorder, count(1))
    stand_in = ServiceStandIn(execution, {}, system.wire, system.random, system.operator_addresses)
    for index in range(ADDRESSES_PER_SERVICE):
        ip = f"{system.net}.{150 + 10 * number + index}"
        relay = Relay(f"{ip}:9001", f"{ip}:9000")
        system.upstream_relays[relay.listen_address] = relay
        stand_in.free_addresses.append((relay.target_address, relay.listen_address))
    for index, centre in enumerate(list(DATA_CENTRES)[:UPSTREAMS_PER_SERVICE]):
        name = f"{service}-{index + 1}"
        member = db.Member(name, centre, is_leader=index == number % UPSTREAMS_PER_SERVICE)
        database.members[name] = member
        address = stand_in.free_addresses.pop(0)
        stand_in.upstreams[name] = Upstream(member, *address, int(time.time() * 1000) + index)
    system.services[service] = stand_in


async def _handle_failover_order(system: System, request: Request, connection: Connection) -> None:
    """Carry out an order to change a primary, as the platform does.

    Refuses an order whose upstream is unknown or down, and where primaries are fenced one whose
    token is older than the newest one.
    """
    order = system.wire.read_order(request)
    if order is None:
        connection.respond(Response(404, {}))
        return
    late_s = 0.0
    if system.random.random() < system.late_order_share:
        late_s = system.random.uniform(0.5, 4.0)
    is_answered = not late_s or system.random.random() < 0.5
    if not is_answered:
        await trio.sleep(late_s)
    if system.fences_primaries and order.token < system.newest_tokens.get(order.service, 0):
        connection.respond(Response(409, {}))
        return
    system.newest_tokens[order.service] = order.token
    stand_in = system.services[order.service]
    upstream = stand_in.upstreams.get(order.upstream)
    if upstream is None or not upstream.member.is_up:
        connection.respond(Response(409, {}))
        return
    event = Ordered(clock_ms(), order.service, order.upstream, order.holder, order.token)
    system.recorder.add(event)
    async with trio.open_nursery() as nursery:
        if is_answered:
            nursery.start_soon(_respond_late, connection, late_s)
        if upstream.member is not stand_in.database.leader():
            nursery.start_soon(_promote_soon, system, order, upstream)


async def _respond_late(connection: Connection, late_s: float) -> None:
    await trio.sleep(late_s)
    connection.respond(Response(200, {}))


async def _promote_soon(system: System, order: FailoverOrder, upstream: Upstream) -> None:
    """Carry out an accepted order, even if another one was accepted meanwhile."""
    await trio.sleep(system.random.uniform(*PROMOTION_S))
    database = system.services[order.service].database
    is_gone = upstream.state is UpstreamState.GONE or not upstream.member.is_up
    if is_gone or upstream.member is database.leader():
        return
    member = db.promote(database, order.upstream)
    log = frozenset(item for entry in member.log for item in entry.request_ids)
    system.recorder.add(Promoted(clock_ms(), order.service, order.upstream, member.term, log))


async def _watch_processes(system: System) -> None:
    """Record processes that end unexpectedly, and restart them."""
    while True:
        for name, node in system.nodes().items():
            popen = node.process.popen
            if popen is None or name in system.stopped or popen.poll() is None:
                continue
            system.recorder.add(EndedByItself(clock_ms(), name, popen.returncode))
            node.process.start()
        await trio.sleep(WATCH_INTERVAL_S)


async def _watch_own_delays(system: System) -> None:
    """Record when the soak itself was delayed, since it then sees answers and exits too late."""
    while True:
        before_ms = clock_ms()
        await trio.sleep(WATCH_INTERVAL_S)
        late_ms = clock_ms() - before_ms - WATCH_INTERVAL_S * 1000
        if late_ms > OWN_DELAY_LIMIT_MS:
            system.record_disturbance(f"the soak itself was delayed by {late_ms:.0f} ms")


async def _track_ready_gateways(system: System) -> None:
    """Track which gateways are ready for new sessions, as the platform's balancer does."""
    async with trio.open_nursery() as nursery:
        for name, node in system.gateways.items():
            nursery.start_soon(_probe_readiness, system, name, node.plan.readiness_address)


async def _probe_readiness(system: System, name: str, address: str) -> None:
    misses = UNREADY_AFTER_MISSES
    while True:
        reply = await call(address, "GET", system.wire.readiness_path, timeout_s=PROBE_TIMEOUT_S)
        misses = 0 if reply is not None and reply.status == 200 else misses + 1
        if not misses:
            system.ready.add(name)
        if misses >= UNREADY_AFTER_MISSES:
            system.ready.discard(name)
        await trio.sleep(PROBE_INTERVAL_S)
