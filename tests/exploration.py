"""An exhaustive exploration of control's reducers against a small model of one service.

The model: one service of a primary and replicas, the platform that promotes, one gateway reduced to
its acknowledgements, and control processes that are the real reducer on real states. The explorer
chooses what happens next, in every order up to a depth. What can only break the promise sooner is
not a choice but happens at once: a commit is acknowledged as soon as that is allowed, and the
gateway renews its leases at every tick.

The promise: at each promotion that takes effect, the target's log holds every commit that was
acknowledged before. Beside it: a service whose primary is gone gets one.

Deeper by hand: ``.venv/bin/python tests/exploration.py --depth=9 --seconds=600``.
"""

import hashlib
import sys
import time
from collections import deque
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import NamedTuple

import msgspec
from absl import app, flags
from endivewick_core.control import effects as cx
from endivewick_core.control import events as ce
from endivewick_core.control.reducer import reduce
from endivewick_core.control.state import ControlSettings, ControlState, Membership, Role
from endivewick_core.directory import UpstreamReport, UpstreamState
from endivewick_core.messages import (
    ControlPeer,
    DirectoryQuestion,
    Member,
    PrimaryLeaseAnswer,
)
from endivewick_core.positions import Position
from endivewick_core.primary_leases import covers, renew
from endivewick_core.statements import (
    Error,
    Fault,
    StatementKind,
    TransactionState,
    UpstreamReply,
    UpstreamStatus,
)
from endivewick_core.upstream_links import (
    CloseConnection,
    ConnectionBroke,
    ConnectionOpened,
    ConnectionReplied,
    OpenConnection,
    SendStatements,
)

sys.path.insert(0, str(Path(__file__).parent.parent / "platform"))
from endivewick_platform import control_role  # noqa: E402

SERVICE = "orders"
GATEWAY = "10.0.9.1:7000"
START_MS = 100_000
TICK_MS = 100
REPORT_INTERVAL_MS = 1_000
NEVER_MS = 10**9
# The platform promotes at least and at most this long after it accepted an order.
MIN_PROMOTION_MS = 300
MAX_PROMOTION_MS = 1_000
# An upstream that leaves goes on this long after control acknowledged that, or without an answer.
LEAVING_MS = 1_000
LEAVING_UNANSWERED_MS = 3_000
POLL_INTERVAL_MS = 300
FORMER_PRIMARY_MS = 1_000  # a former primary goes on this long where nothing fences it
RECOVERY_MS = 60_000
NOT_SERVED = f"no primary had a commit acknowledged for {RECOVERY_MS} ms"
# After an end of every process, in ms until an upstream is back; the longest crash of the sites is
# 7 s, and 20 s is beyond every recovery time.
RETURN_TIMES_MS = (0, 1_000, 7_000, 20_000, NEVER_MS)
FEW_RETURN_TIMES_MS = (0, 7_000, NEVER_MS)  # enough for review/11, and for CI
PROMISED_RETURN_MS = 30_000  # an upstream that is back within this time loses no commit
# Without a primary after that: where all commits are on upstreams that are back, and in any case.
COMPLETE_WAIT_LIMIT_MS = 12_000  # the sites' shortest time to recover
ANY_WAIT_LIMIT_MS = 40_000
LONGEST_WAIT_MS = 2_500
STATUS_KINDS = (StatementKind.PAUSE, StatementKind.RESUME, StatementKind.STEP_DOWN)
_FIELDS = {}  # the fields of each dataclass
_VARYING_FIELDS = {}  # without CONSTANT_FIELDS
CONSTANT_FIELDS = ("settings", "me", "snapshot_membership")
IGNORED_EFFECTS = (
    cx.SaveVote,
    cx.AppendEntries,
    cx.TruncateLog,
    cx.SaveSnapshot,
    cx.AnswerOperator,
    cx.AnswerConfiguration,
    cx.RedirectOperator,
)


class Action(NamedTuple):
    """One step of the explorer, at an upstream, a process, an order, or for a time."""

    kind: str
    subject: str = ""
    value: int = 0


class Scenario(NamedTuple):
    """A scripted beginning, and what the explorer may do after it.

    ``limits`` maps each kind of action to how often it may be chosen; others aren't chosen, except
    for ``receive``, ``report`` and ``effect``, which always may. A key may name an upstream, too.
    ``told_after_ms`` is how long it takes until control learns from the gateway what it has
    acknowledged; a gateway that is cut off from control tells nothing, but has a lease for a while.
    ``waits`` are the times that may pass in one step, beside that until control acts.
    ``return_times_ms`` are the times after which an upstream may be back where every process ends.
    """

    name: str
    prefix: tuple[Action, ...]
    limits: dict[str, int]
    waits: tuple[int, ...] = (100, 400)
    controls: int = 2
    is_fenced: bool = True
    primary_lease_ms: int = 0
    told_after_ms: int = POLL_INTERVAL_MS
    return_times_ms: tuple[int, ...] = RETURN_TIMES_MS


class Entry(NamedTuple):
    """A commit in a log."""

    term: int
    serial: int


class Upstream(NamedTuple):
    """An upstream. Until ``held_until_ms`` its reports reach nobody, unless the explorer says so.

    ``is_cut`` is set while control and it don't reach each other. An upstream that is down starts
    again at ``returns_ms``, under a new name where ``is_renamed``.
    """

    name: str
    address: str
    born_ms: int
    leads: bool = False
    term: int = 1
    log: tuple[Entry, ...] = ()
    paused_term: int = 0
    is_up: bool = True
    is_cut: bool = False
    state: UpstreamState = UpstreamState.READY
    sequence: int = 0
    report_due_ms: int = 0
    reports_to: int = 0
    held_until_ms: int = 0
    may_leave_ms: int = NEVER_MS
    returns_ms: int = NEVER_MS
    is_renamed: bool = False


class Link(NamedTuple):
    """A connection of a control process; ``waiting`` holds statements that are cut off."""

    upstream: str
    born_ms: int
    waiting: tuple = ()


class Order(NamedTuple):
    """An order to promote; ``arrived_ms`` is None while it is under way, without an answer.

    An order that has arrived ends with the start of its target, ``born_ms``, that it named.
    """

    target: str
    token: int
    arrived_ms: int | None = None
    born_ms: int = 0


class Waiting(NamedTuple):
    """A commit that an upstream acknowledged to the gateway, which had no lease on it then."""

    serial: int
    position: Position
    upstream: str
    received_ms: int


@dataclass(slots=True)
class Process:
    """A control process; while it is frozen, events wait in ``inbox``."""

    address: str
    state: ControlState
    links: dict = field(default_factory=dict)
    inbox: list = field(default_factory=list)
    is_frozen: bool = False


@dataclass(slots=True)
class World:
    """The model's state. Worlds share their processes until one changes them.

    ``untold`` holds when each position was acknowledged that the gateway has not told control yet,
    and ``told`` the highest one that it has. ``reports`` maps the numbers of reports that wait for
    their acknowledgement to upstreams.
    ``happened`` is set by a tick in which an order or a pause, resumption or end of lead was sent.
    ``log_lines`` is a list where the log lines of control are wanted. Since the end of every
    process, ``unserved_ms`` is how long no primary was up, and ``delayed_ms`` how much of it passed
    while all but one upstream were up; both are None where not every process has ended.
    """

    scenario: Scenario
    now_ms: int
    processes: list
    upstreams: dict
    owns_processes: bool = True
    processes_digest: bytes = b""
    orders: tuple[Order, ...] = ()
    newest_token: int = 0
    is_silent: bool = False
    commits: int = 0
    joins: int = 0
    acknowledged: tuple[int, ...] = ()
    untold: tuple[tuple[int, Position], ...] = ()
    told: Position | None = None
    waiting: tuple[Waiting, ...] = ()
    leases: dict = field(default_factory=dict)
    reports: dict = field(default_factory=dict)
    used: dict = field(default_factory=dict)
    happened: bool = False
    violation: str = ""
    log_lines: list | None = None
    unserved_ms: int | None = None
    delayed_ms: int | None = None


# Worlds: the first one, copies and digests.


def _address(index):
    return f"10.0.0.{index + 1}:7000"


def _settings(scenario, index):
    """Return the settings of a control process; a field that the reducer lacks is left out."""
    addresses = tuple(_address(item) for item in range(scenario.controls))
    me = ControlPeer(addresses[index], f"10.0.0.{index + 1}:80", "dc-a")
    optional = {"fences_primaries": scenario.is_fenced}
    if hasattr(control_role, "LEASE_MARGIN_MS"):
        optional["lease_margin_ms"] = control_role.LEASE_MARGIN_MS
    known = {name: value for name, value in optional.items() if name in ControlSettings._fields}
    return ControlSettings(
        {},
        {},
        addresses,
        scenario.controls,
        me,
        primary_lease_ms=scenario.primary_lease_ms,
        **known,
    )


def _started_state(scenario, index, now_ms):
    address = _address(index)
    me = Member(f"{address}#founder", address, address)
    state = ControlState(_settings(scenario, index), me, Role.FOLLOWER)
    voters = []
    for item in range(scenario.controls):
        voters.append(Member(f"{_address(item)}#founder", _address(item), _address(item)))
    state.snapshot_membership = Membership(voters, [])
    state.election_due_ms = now_ms + 100 + 200 * index
    state.directory_state.boot = f"{address}/{now_ms}"
    return state


def settled_world(scenario):
    """Return a service with a primary and two replicas that control has known for seconds."""
    processes = []
    for index in range(scenario.controls):
        processes.append(Process(_address(index), _started_state(scenario, index, START_MS)))
    upstreams = {}
    log = (Entry(1, 0),)
    for number, name in enumerate("abc"):
        upstreams[name] = Upstream(name, f"10.0.1.{number}:5000", 1_000 + number, log=log)
    upstreams["a"] = upstreams["a"]._replace(leads=True)
    world = World(scenario, START_MS, processes, upstreams, acknowledged=(0,))
    pass_time(world, 1_500)
    request = ce.PutConfigurationRequest(1, [SERVICE], b"document-1")
    for index in range(scenario.controls):
        _handle(world, index, ce.OperatorRequested(world.now_ms, 1, request))
    pass_time(world, 3_000)
    # What follows doesn't depend on where in its second each upstream happens to be.
    for upstream in list(world.upstreams.values()):
        _change(world, upstream.name, report_due_ms=world.now_ms + REPORT_INTERVAL_MS)
    world.commits = 1
    return world


def first_world(scenario):
    """Return the world after the scenario's prefix."""
    world = settled_world(scenario)
    for action in scenario.prefix:
        take(world, action)
    world.used = {}
    return world


def branch(world):
    """Return a copy that shares its processes until it changes them."""
    return replace(
        world,
        owns_processes=False,
        upstreams=dict(world.upstreams),
        leases=dict(world.leases),
        reports=dict(world.reports),
        used=dict(world.used),
    )


def _own_processes(world):
    world.processes_digest = b""
    if world.owns_processes:
        return
    world.processes = [_copy_process(item) for item in world.processes]
    world.owns_processes = True


def _copy_process(process):
    return Process(
        process.address,
        _copied(process.state),
        dict(process.links),
        list(process.inbox),
        process.is_frozen,
    )


def _copied(value):
    """Return a copy of a state; tuples are shared, since nothing changes what they hold."""
    kind = type(value)
    if kind is dict:
        return {key: _copied(item) for key, item in value.items()}
    if kind is list:
        return [_copied(item) for item in value]
    names = _FIELDS.get(kind)
    if names is None:
        names = _FIELDS[kind] = tuple(getattr(kind, "__dataclass_fields__", ()))
    if names:
        copy = kind.__new__(kind)
        for name in names:
            setattr(copy, name, _copied(getattr(value, name)))
        return copy
    return kind(value) if kind in (set, deque) else value


def _plain(value):
    """Return a value as msgspec encodes it, with sets in order, for a stable digest."""
    kind = type(value)
    if kind in (set, frozenset):
        return sorted(value)
    if kind is deque:
        return list(value)
    if kind is dict and value:
        first = next(iter(value.values()))
        if not isinstance(first, tuple | str | int):
            return [(key, _plain(item)) for key, item in value.items()]
    names = _VARYING_FIELDS.get(kind)
    if names is None:
        known = getattr(kind, "__dataclass_fields__", ())
        names = _VARYING_FIELDS[kind] = [name for name in known if name not in CONSTANT_FIELDS]
    return [_plain(getattr(value, name)) for name in names] if names else value


def _hashed(value):
    return hashlib.blake2b(msgspec.msgpack.encode(value), digest_size=16).digest()


def digest(world):
    """Return a digest of all that the model's future depends on."""
    if not world.processes_digest:
        described = []
        for item in world.processes:
            names = [type(event).__name__ for event in item.inbox]
            rest = (item.links, names, item.inbox, item.is_frozen)
            described.append((_plain(item.state), rest))
        world.processes_digest = _hashed(described)
    rest = (
        world.processes_digest,
        world.now_ms,
        list(world.upstreams.items()),
        world.orders,
        world.newest_token,
        world.is_silent,
        world.commits,
        world.joins,
        world.acknowledged,
        world.untold,
        world.told,
        world.waiting,
        world.leases,
        world.reports,
        sorted(world.used.items()),
        world.unserved_ms,
        world.delayed_ms,
    )
    return _hashed(rest)


def _change(world, name, **changes):
    world.upstreams[name] = world.upstreams[name]._replace(**changes)


# Control: events, and the effects that the reducer returns.


def _handle(world, index, event):
    """Reduce an event and what follows from its effects at once."""
    _own_processes(world)
    pending = deque([(index, event)])
    while pending:
        index, event = pending.popleft()
        process = world.processes[index]
        if process.is_frozen:
            process.inbox.append(event)
            continue
        for effect in reduce(process.state, event._replace(now_ms=world.now_ms)):
            pending.extend(_carry_out(world, index, effect))


def _carry_out(world, index, effect):
    """Carry out an effect; return the events that follow, each with the process it goes to."""
    process = world.processes[index]
    if isinstance(effect, cx.Send):
        return _deliver(world, effect)
    if isinstance(effect, OpenConnection):
        return _open(world, index, effect)
    if isinstance(effect, SendStatements):
        return _send_statements(world, index, effect)
    if isinstance(effect, CloseConnection):
        process.links.pop(effect.connection, None)
        return []
    if isinstance(effect, cx.OrderFailover):
        return _receive_order(world, index, effect)
    if isinstance(effect, cx.AcknowledgeReport):
        name = world.reports.pop(effect.number, "")
        if name in world.upstreams:
            due_ms = min(world.upstreams[name].may_leave_ms, world.now_ms + LEAVING_MS)
            _change(world, name, may_leave_ms=due_ms)
        return []
    if isinstance(effect, cx.RefuseReport):
        world.reports.pop(effect.number, None)
        return []
    if isinstance(effect, cx.LogEvent):
        if world.log_lines is not None:
            line = f"{world.now_ms - START_MS} ms {process.address} {effect.name}: {effect.text}"
            world.log_lines.append(line)
        return []
    if isinstance(effect, IGNORED_EFFECTS):
        return []
    raise TypeError(f"the model doesn't know the effect {type(effect).__name__}")


def _deliver(world, effect):
    if effect.address == GATEWAY:
        if isinstance(effect.message, PrimaryLeaseAnswer):
            # The question's number is the time at which it was asked.
            renew(world.leases, effect.message.sequence, effect.message.leases)
        return []
    for index, process in enumerate(world.processes):
        if process.address == effect.address:
            return [(index, ce.MessageReceived(world.now_ms, effect.message))]
    return []


def _open(world, index, effect):
    upstream = world.upstreams.get(effect.upstream)
    if upstream is not None and upstream.is_cut:
        return []
    if upstream is None or not upstream.is_up or upstream.address != effect.address:
        error = Error(Fault.ABORTED, "refused")
        return [(index, ConnectionBroke(world.now_ms, effect.connection, error))]
    world.processes[index].links[effect.connection] = Link(upstream.name, upstream.born_ms)
    return [(index, ConnectionOpened(world.now_ms, effect.connection))]


def _send_statements(world, index, effect):
    links = world.processes[index].links
    link = links.get(effect.connection)
    if link is None:
        return []
    statements = tuple(item.statement for item in effect.statements)
    world.happened = world.happened or any(item.kind in STATUS_KINDS for item in statements)
    upstream = world.upstreams.get(link.upstream)
    if upstream is not None and upstream.is_cut:
        links[effect.connection] = link._replace(waiting=link.waiting + statements)
        return []
    if upstream is None or not upstream.is_up or upstream.born_ms != link.born_ms:
        del links[effect.connection]
        error = Error(Fault.ABORTED, "closed")
        return [(index, ConnectionBroke(world.now_ms, effect.connection, error))]
    events = []
    for statement in statements:
        reply = _run(world, upstream.name, statement)
        events.append((index, ConnectionReplied(world.now_ms, effect.connection, reply)))
    return events


def _run(world, name, statement):
    """Run a statement of control at an upstream."""
    upstream = world.upstreams[name]
    kind = statement.kind
    if kind is StatementKind.PAUSE:
        _change(world, name, paused_term=int(statement.argument))
    if kind is StatementKind.RESUME:
        _change(world, name, paused_term=0)
    if kind is StatementKind.STEP_DOWN and upstream.term < int(statement.argument):
        _change(world, name, leads=False, report_due_ms=world.now_ms)
    upstream = world.upstreams[name]
    position = _position(upstream)
    if kind is StatementKind.BEGIN and not upstream.leads:
        error = Error(Fault.READ_ONLY, "")
        return UpstreamReply((), "", error, TransactionState.IDLE, position)
    state = TransactionState.OPEN if kind is StatementKind.BEGIN else TransactionState.IDLE
    status = None
    if kind in STATUS_KINDS:
        status = UpstreamStatus(upstream.leads, position, upstream.term, upstream.paused_term)
    return UpstreamReply((), "", None, state, position, status)


def _position(upstream):
    return Position(upstream.log[-1].term if upstream.log else 0, len(upstream.log))


# The platform.


def _receive_order(world, index, effect):
    world.happened = True
    target = world.upstreams.get(effect.upstream)
    outcome = ce.FailoverOutcome.ACCEPTED
    arrived_ms = world.now_ms
    if world.is_silent:
        outcome, arrived_ms = ce.FailoverOutcome.UNANSWERED, None
    elif target is None or not target.is_up or _is_outdated(world, effect.token):
        outcome = ce.FailoverOutcome.REFUSED
    born_ms = target.born_ms if target is not None else 0
    order = Order(effect.upstream, effect.token, arrived_ms, born_ms)
    late = arrived_ms is None
    known = any(
        item[:2] == order[:2] and (item.arrived_ms is None) == late for item in world.orders
    )
    if outcome is not ce.FailoverOutcome.REFUSED and not known:
        world.orders = (*world.orders, order)
    if outcome is ce.FailoverOutcome.ACCEPTED:
        world.newest_token = max(world.newest_token, effect.token)
    answered = ce.FailoverAnswered(world.now_ms, effect.service, effect.token, outcome)
    return [(index, answered)]


def _is_outdated(world, token):
    return world.scenario.is_fenced and token < world.newest_token


def _take_effect(world, order):
    """Promote an order's target, unless it is down, the primary or its token is outdated."""
    world.orders = tuple(item for item in world.orders if item is not order)
    target = world.upstreams.get(order.target)
    if target is None or not target.is_up or _is_outdated(world, order.token):
        return
    if order.arrived_ms is not None and order.born_ms != target.born_ms:
        return
    world.newest_token = max(world.newest_token, order.token)
    if _primary(world) == target:
        return
    held = {entry.serial for entry in target.log}
    lost = [serial for serial in world.acknowledged if serial not in held]
    if lost and not _are_given_up(world):
        world.violation = f"{target.name} was promoted without the commits {lost}"
    term = max(item.term for item in world.upstreams.values()) + 1
    if world.scenario.is_fenced:
        for name in list(world.upstreams):
            _change(world, name, leads=False)
    _change(world, target.name, leads=True, term=term, paused_term=0, report_due_ms=world.now_ms)


def _are_given_up(world):
    """Return whether commits may be lost whose upstreams stay away since every process ended."""
    return world.unserved_ms is not None and world.unserved_ms > PROMISED_RETURN_MS


# The service and its gateway.


def _primary(world):
    """Return the primary of the newest term, also while it is down, None if there is none."""
    leading = [item for item in world.upstreams.values() if item.leads]
    return max(leading, key=lambda item: item.term, default=None)


def _can_receive(world, upstream):
    source = _primary(world)
    if source is None or not source.is_up or not upstream.is_up or upstream.leads:
        return False
    return upstream.paused_term <= source.term and upstream.log != source.log


def _receive(world, name):
    source = _primary(world)
    _change(world, name, log=source.log, term=source.term)


def _acknowledge(world):
    """Acknowledge each commit that a replica has, where the gateway needs no lease or has one."""
    settled = {*world.acknowledged, *(item.serial for item in world.waiting)}
    up = [item for item in world.upstreams.values() if item.is_up]
    for source in up:
        if not source.leads:
            continue
        for number, entry in enumerate(source.log, 1):
            if entry.serial in settled:
                continue
            if not any(entry in item.log for item in up if item is not source):
                continue
            settled.add(entry.serial)
            position = Position(entry.term, number)
            world.waiting += (Waiting(entry.serial, position, source.name, world.now_ms),)
    if world.waiting:
        _resolve(world)


def _resolve(world):
    """Decide on the commits that wait, as commit_confirmations of the gateway does."""
    kept = []
    for item in world.waiting:
        lease = world.leases.get(SERVICE)
        if not world.scenario.primary_lease_ms or covers(
            world.leases, SERVICE, item.upstream, item.received_ms
        ):
            world.acknowledged = tuple(sorted({*world.acknowledged, item.serial}))
            if world.scenario.primary_lease_ms:
                world.untold += ((world.now_ms, item.position),)
        elif lease is None or lease.upstream == item.upstream:
            kept.append(item)
    world.waiting = tuple(kept)


def _report(world, name):
    """Let an upstream report to its control process; a frozen one is left for the next one."""
    upstream = world.upstreams[name]
    due_ms = world.now_ms + REPORT_INTERVAL_MS
    sequence = upstream.sequence + 1
    _change(world, name, sequence=sequence, report_due_ms=due_ms, held_until_ms=0)
    if upstream.is_cut:
        return
    index = upstream.reports_to
    if world.processes[index].is_frozen:
        _change(world, name, reports_to=(index + 1) % len(world.processes))
    number = 0
    if upstream.state is UpstreamState.LEAVING:
        number = 1 + max(world.reports, default=0)
        world.reports[number] = name
    report = UpstreamReport(
        name,
        SERVICE,
        upstream.address,
        "dc-a",
        3,
        upstream.state,
        upstream.leads,
        0,
        upstream.born_ms,
        sequence,
    )
    _handle(world, index, ce.ReportReceived(world.now_ms, number, report))


def _break_links(world, name):
    """End the connections to an upstream that stopped, unless control is cut off from it."""
    if world.upstreams[name].is_cut:
        return
    _own_processes(world)
    for index, process in enumerate(world.processes):
        broken = [number for number, link in process.links.items() if link.upstream == name]
        for number in broken:
            process.links.pop(number, None)
            error = Error(Fault.ABORTED, "closed")
            _handle(world, index, ConnectionBroke(world.now_ms, number, error))


# Time.


def pass_time(world, for_ms):
    """Let time pass, at most until a promotion that breaks the promise."""
    end_ms = world.now_ms + for_ms
    while world.now_ms < end_ms and not world.violation:
        _tick(world)


def _tick(world):
    world.now_ms += TICK_MS
    world.happened = False
    for order in world.orders:
        if order.arrived_ms is not None and world.now_ms - order.arrived_ms >= MAX_PROMOTION_MS:
            _take_effect(world, order)
    for upstream in list(world.upstreams.values()):
        if not upstream.is_up and world.now_ms >= upstream.returns_ms:
            _start_again(world, upstream)
            continue
        if not upstream.is_up or world.now_ms < upstream.held_until_ms:
            continue
        if world.now_ms >= upstream.report_due_ms:
            _report(world, upstream.name)
    for index, process in enumerate(world.processes):
        if process.is_frozen:
            continue
        draw = index / len(world.processes)
        _handle(world, index, ce.Tick(world.now_ms, draw))
    _poll(world)
    _acknowledge(world)
    _check_wait(world)


def _check_wait(world):
    """Check how long no primary has been up since every process ended."""
    if world.unserved_ms is None or world.violation:
        return
    if _serves(world):
        world.unserved_ms = world.delayed_ms = 0
        return
    world.unserved_ms += TICK_MS
    # Each acknowledged commit is on two upstreams, so one that is down can't have the only copy.
    if sum(not item.is_up for item in world.upstreams.values()) <= 1:
        world.delayed_ms += TICK_MS
    if world.delayed_ms > COMPLETE_WAIT_LIMIT_MS:
        world.violation = f"no primary for {world.delayed_ms} ms, though all commits are there"
    elif world.unserved_ms > ANY_WAIT_LIMIT_MS:
        world.violation = f"no primary for {world.unserved_ms} ms"


def _start_again(world, upstream):
    """Start an upstream whose time to return has come, at its address and with its log."""
    if upstream.is_renamed:
        del world.upstreams[upstream.name]
        world.joins += 1
        upstream = upstream._replace(name=f"{upstream.name}{world.joins}", is_renamed=False)
        world.upstreams[upstream.name] = upstream
    _change(world, upstream.name, returns_ms=NEVER_MS)
    _take_return(world, Action("return", upstream.name))


def _poll(world):
    """Let the gateway ask every control process for leases."""
    if not world.scenario.primary_lease_ms:
        return
    while world.untold and world.now_ms - world.untold[0][0] >= world.scenario.told_after_ms:
        world.told = max(world.untold[0][1], world.told or world.untold[0][1])
        world.untold = world.untold[1:]
    for index in range(len(world.processes)):
        _handle(world, index, ce.MessageReceived(world.now_ms, _question(world)))


def _question(world):
    """Return the gateway's question; a field that the reducer lacks is left out."""
    optional = {}
    if "acknowledged" in DirectoryQuestion._fields:
        optional["acknowledged"] = {SERVICE: world.told} if world.told else {}
    return DirectoryQuestion(GATEWAY, "dc-a", world.now_ms, 1, "", 0, [], [], {}, False, **optional)


# Actions.


def take(world, action):
    """Carry out an action in place."""
    for key in (f"{action.kind} {action.subject}", action.kind):
        if key in world.scenario.limits:
            world.used[key] = world.used.get(key, 0) + 1
            break
    _ACTIONS[action.kind](world, action)
    if not world.violation:
        _acknowledge(world)


def _take_wait(world, action):
    pass_time(world, action.value)


def _take_commit(world, action):
    upstream = world.upstreams[action.subject]
    entry = Entry(upstream.term, world.commits)
    world.commits += 1
    _change(world, upstream.name, log=(*upstream.log, entry))


def _take_receive(world, action):
    _receive(world, action.subject)


def _take_join(world, action):
    """Start a replica; it receives at once, and reports when the explorer says so."""
    world.joins += 1
    name = f"new{world.joins}"
    address = f"10.0.2.{world.joins}:5000"
    source = _primary(world)
    term = source.term if source is not None else 1
    world.upstreams[name] = Upstream(name, address, world.now_ms, term=term, held_until_ms=NEVER_MS)


def _take_rejoin(world, action):
    """Start a replica again under its id, without its log."""
    _break_links(world, action.subject)
    _change(
        world,
        action.subject,
        born_ms=world.now_ms,
        log=(),
        paused_term=0,
        sequence=0,
        state=UpstreamState.READY,
        held_until_ms=NEVER_MS,
        may_leave_ms=NEVER_MS,
    )


def _take_succeed(world, action):
    """Start a replica under a new id at the address of one that leaves, with its log."""
    old = world.upstreams[action.subject]
    _break_links(world, old.name)
    del world.upstreams[old.name]
    world.joins += 1
    name = f"new{world.joins}"
    world.upstreams[name] = Upstream(
        name,
        old.address,
        world.now_ms,
        term=old.term,
        log=old.log,
        is_cut=old.is_cut,
        held_until_ms=NEVER_MS,
    )


def _take_drain(world, action):
    due_ms = world.now_ms + LEAVING_UNANSWERED_MS
    _change(world, action.subject, state=UpstreamState.LEAVING, may_leave_ms=due_ms)
    _report(world, action.subject)


def _take_depart(world, action):
    upstream = world.upstreams[action.subject]
    if not upstream.is_cut:
        event = ce.UpstreamRemoved(world.now_ms, 0, upstream.name)
        _handle(world, upstream.reports_to, event)
    _break_links(world, upstream.name)
    del world.upstreams[upstream.name]


def _take_report(world, action):
    _report(world, action.subject)


def _take_crash(world, action):
    _change(world, action.subject, is_up=False)
    _break_links(world, action.subject)


def _take_return(world, action):
    """Start a crashed upstream with its log; it leads if nothing was promoted meanwhile."""
    upstream = world.upstreams[action.subject]
    _change(
        world,
        action.subject,
        is_up=True,
        leads=_primary(world) == upstream,
        born_ms=world.now_ms,
        paused_term=0,
        sequence=0,
        report_due_ms=world.now_ms,
    )


def _take_cut(world, action):
    _change(world, action.subject, is_cut=True)


def _take_heal(world, action):
    """End a cut; what was sent meanwhile arrives, unless control closed the connection."""
    _own_processes(world)
    _change(world, action.subject, is_cut=False)
    for index, process in enumerate(world.processes):
        for number, link in list(process.links.items()):
            if link.upstream != action.subject:
                continue
            upstream = world.upstreams[action.subject]
            if not upstream.is_up or upstream.born_ms != link.born_ms:
                process.links.pop(number, None)
                error = Error(Fault.ABORTED, "closed")
                _handle(world, index, ConnectionBroke(world.now_ms, number, error))
                continue
            process.links[number] = link._replace(waiting=())
            for statement in link.waiting:
                reply = _run(world, upstream.name, statement)
                _handle(world, index, ConnectionReplied(world.now_ms, number, reply))


def _take_freeze(world, action):
    _own_processes(world)
    world.processes[action.value].is_frozen = True


def _take_thaw(world, action):
    _own_processes(world)
    process = world.processes[action.value]
    process.is_frozen = False
    events, process.inbox = process.inbox, []
    for event in events:
        _handle(world, action.value, event)


def _take_restart(world, action):
    """Start control processes again from their durable log and vote: one, or all with -1."""
    _own_processes(world)
    chosen = range(len(world.processes)) if action.value < 0 else [action.value]
    for index in chosen:
        old = world.processes[index].state
        state = _started_state(world.scenario, index, world.now_ms)
        state.term, state.voted_for, state.log = old.term, old.voted_for, old.log
        state.memberships = old.memberships
        world.processes[index] = Process(_address(index), state)
    world.reports = {}
    if action.value >= 0:
        return
    # Each upstream's next report comes within the interval, in an order that the explorer chooses.
    due_ms = world.now_ms + REPORT_INTERVAL_MS
    for upstream in list(world.upstreams.values()):
        if upstream.held_until_ms <= world.now_ms:
            _change(world, upstream.name, held_until_ms=due_ms, report_due_ms=due_ms)


def _take_end_all(world, action):
    """End every process and upstream; ``value`` chooses when each upstream is back, or never.

    Control keeps its log, upstreams keep theirs, and the gateway forgets everything.
    """
    choice = action.value
    for upstream in list(world.upstreams.values()):
        choice, index = divmod(choice, len(world.scenario.return_times_ms))
        delay_ms = world.scenario.return_times_ms[index]
        if not delay_ms:
            continue
        _change(
            world,
            upstream.name,
            is_up=False,
            returns_ms=min(NEVER_MS, world.now_ms + delay_ms),
            is_renamed=action.subject == "renamed",
        )
    _take_restart(world, Action("restart", "all", -1))
    world.leases, world.waiting, world.untold, world.told = {}, (), (), None
    world.unserved_ms = world.delayed_ms = 0


def _take_silence(world, action):
    """Let the platform give no answers until ``value`` is 0; orders are then carried out late."""
    world.is_silent = bool(action.value)


def _take_effect_of(world, action):
    _take_effect(world, world.orders[action.value])


_ACTIONS = {
    "wait": _take_wait,
    "commit": _take_commit,
    "receive": _take_receive,
    "join": _take_join,
    "rejoin": _take_rejoin,
    "succeed": _take_succeed,
    "drain": _take_drain,
    "depart": _take_depart,
    "report": _take_report,
    "crash": _take_crash,
    "return": _take_return,
    "cut": _take_cut,
    "heal": _take_heal,
    "freeze": _take_freeze,
    "thaw": _take_thaw,
    "restart": _take_restart,
    "restart_one": _take_restart,
    "end_all": _take_end_all,
    "silence": _take_silence,
    "effect": _take_effect_of,
}


def possible_actions(world):
    """Return what may happen next, in a fixed order."""
    actions = []
    for index, order in enumerate(world.orders):
        if order.arrived_ms is None or world.now_ms - order.arrived_ms >= MIN_PROMOTION_MS:
            actions.append(Action("effect", order.target, index))
    for upstream in world.upstreams.values():
        actions += _upstream_actions(world, upstream)
    if _may(world, "join"):
        actions.append(Action("join"))
    for index, process in enumerate(world.processes):
        if process.is_frozen:
            actions.append(Action("thaw", "", index))
            continue
        if _may(world, "freeze"):
            actions.append(Action("freeze", "", index))
    if _may(world, "restart"):
        actions.append(Action("restart", "all", -1))
    for subject in ("same", "renamed"):
        if _may(world, "end_all", subject):
            choices = len(world.scenario.return_times_ms) ** len(world.upstreams)
            actions += [Action("end_all", subject, choice) for choice in range(choices - 1)]
    if _may(world, "restart_one"):
        for index in range(len(world.processes)):
            actions.append(Action("restart_one", "", index))
    if world.is_silent:
        actions.append(Action("silence", "", 0))
    elif _may(world, "silence"):
        actions.append(Action("silence", "", 1))
    return actions


def _may(world, kind, name=""):
    """Return whether a limit, of a kind of action or of one at this upstream, isn't reached."""
    for key in (f"{kind} {name}", kind):
        if world.used.get(key, 0) < world.scenario.limits.get(key, 0):
            return True
    return False


def successors(world):
    """Return the actions that are possible with the worlds that they lead to, in a fixed order."""
    following = []
    for action in possible_actions(world):
        after = branch(world)
        take(after, action)
        following.append((action, after))
    return following + _waits(world)


def last_successors(world):
    """Return the last steps that can end in a promotion: effects, and time until one is through."""
    following = []
    for action in possible_actions(world):
        if action.kind == "effect":
            after = branch(world)
            take(after, action)
            following.append((action, after))
    passing = branch(world)
    shortest_ms = world.now_ms + max(world.scenario.waits)
    while passing.now_ms < shortest_ms or any(item.arrived_ms for item in passing.orders):
        _tick(passing)
        if passing.violation:
            break
    following.append((Action("wait", "", passing.now_ms - world.now_ms), passing))
    return following


def _waits(world):
    """Return the waits: the scenario's, and that until control sends something of a failover."""
    following = []
    passing = branch(world)
    has_happened = False
    while not passing.violation:
        _tick(passing)
        passed_ms = passing.now_ms - world.now_ms
        is_next = passing.happened and not has_happened
        has_happened = has_happened or passing.happened
        if is_next or passing.violation or passed_ms in world.scenario.waits:
            action = Action("wait", "", passed_ms)
            following.append((action, branch(passing)))
            passing.owns_processes = False
        if passed_ms >= max(world.scenario.waits) and (
            has_happened or passed_ms >= LONGEST_WAIT_MS
        ):
            break
    return following


def _upstream_actions(world, upstream):
    name = upstream.name
    if not upstream.is_up:
        return [Action("return", name)] if _may(world, "return", name) else []
    actions = []
    is_leaving = upstream.state is UpstreamState.LEAVING
    if upstream.leads and _may(world, "commit", name):
        actions.append(Action("commit", name))
    if _can_receive(world, upstream):
        actions.append(Action("receive", name))
    if world.now_ms < upstream.held_until_ms:
        actions.append(Action("report", name))
    if is_leaving and world.now_ms >= upstream.may_leave_ms and _may(world, "depart", name):
        actions.append(Action("depart", name))
    if is_leaving and not upstream.leads and _may(world, "succeed", name):
        actions.append(Action("succeed", name))
    if not is_leaving and _may(world, "drain", name):
        actions.append(Action("drain", name))
    if upstream.leads and _may(world, "crash", name):
        actions.append(Action("crash", name))
    if not upstream.leads and _may(world, "rejoin", name):
        actions.append(Action("rejoin", name))
    if upstream.is_cut:
        actions.append(Action("heal", name))
    elif upstream.leads and _may(world, "cut", name):
        actions.append(Action("cut", name))
    return actions


# The explorer.


class Found(NamedTuple):
    """The paths that lose a commit, and those after which the service isn't served again.

    ``is_complete`` is unset where the exploration was ended early.
    """

    states: int
    paths: list
    stuck: list
    recoveries: int
    is_complete: bool


def explore(scenario, depth, most_paths=1, recover_every=0, is_over=None):
    """Take all actions in all orders up to ``depth``; return the paths that break a promise.

    Every ``recover_every``-th state without a primary that is one step before the end of its path
    is run on without faults. A state that was reached before with at least as many steps left isn't
    visited again. The last step is only taken where it can end in a promotion.
    """
    seen = {}
    paths, stuck = [], []
    ends, recoveries = 0, 0
    root = first_world(scenario)
    if root.violation:
        return Found(1, [((), root.violation)], [], 0, True)
    seen[digest(root)] = depth
    pending = [(root, (), depth)]
    while pending:
        if is_over is not None and is_over():
            return Found(len(seen), paths, stuck, recoveries, False)
        world, path, left = pending.pop()
        if left == 1 and recover_every and not _serves(world):
            ends += 1
            if ends % recover_every == 0:
                recoveries += 1
                failure = run_on(world)
                if failure == NOT_SERVED:
                    stuck.append((path, failure))
                elif failure:
                    paths.append(((*path, Action("run_on")), failure))
        following = []
        for action, after in successors(world) if left > 1 else last_successors(world):
            taken = (*path, action)
            if after.violation:
                paths.append((taken, after.violation))
                if len(paths) >= most_paths:
                    return Found(len(seen), paths, stuck, recoveries, False)
                continue
            if left == 1:
                continue
            key = digest(after)
            if seen.get(key, 0) < left - 1:
                seen[key] = left - 1
                following.append((after, taken, left - 1))
        pending += reversed(following)
    return Found(len(seen), paths, stuck, recoveries, True)


def find(scenario, depth, is_over=None):
    """Explore one step deeper at a time, up to ``depth``, until a commit is lost.

    Return what was found with all states visited, and the depth that was explored in full.
    """
    states, complete_depth = 0, 0
    found = None
    for bound in range(1, depth + 1):
        found = explore(scenario, bound, is_over=is_over)
        states += found.states
        if not found.is_complete:
            break
        complete_depth = bound
    return found._replace(states=states), complete_depth


def _serves(world):
    primary = _primary(world)
    return primary is not None and primary.is_up and not primary.is_cut


def run_on(world):
    """Go on without faults; return what is wrong, an empty text if the service is served again.

    An upstream that is down stays away as long as a running one holds every acknowledged commit.
    """
    world = branch(world)
    _end_faults(world)
    end_ms = world.now_ms + RECOVERY_MS
    asked, wanted, asked_ms = "", None, 0
    while world.now_ms < end_ms:
        _tick(world)
        if world.violation:
            return world.violation
        for upstream in list(world.upstreams.values()):
            if _can_receive(world, upstream):
                _receive(world, upstream.name)
        _acknowledge(world)
        primary = _primary(world)
        if primary is None or not primary.is_up:
            continue
        if primary.name != asked:
            asked, wanted, asked_ms = primary.name, world.commits, world.now_ms
            _take_commit(world, Action("commit", primary.name))
        if world.now_ms - asked_ms >= FORMER_PRIMARY_MS:
            _end_former_primaries(world, primary)
        # A primary that is alone has no commit acknowledged.
        is_alone = sum(item.is_up for item in world.upstreams.values()) == 1
        if is_alone or wanted in world.acknowledged:
            return ""
    return NOT_SERVED


def _end_faults(world):
    world.is_silent = False
    for index, process in enumerate(world.processes):
        if process.is_frozen:
            take(world, Action("thaw", "", index))
    for upstream in list(world.upstreams.values()):
        if upstream.is_cut:
            take(world, Action("heal", upstream.name))
        if world.now_ms < upstream.held_until_ms:
            _change(world, upstream.name, held_until_ms=0, report_due_ms=0)
    if _has_complete_upstream(world):
        return
    for upstream in list(world.upstreams.values()):
        if not upstream.is_up:
            take(world, Action("return", upstream.name))


def _end_former_primaries(world, primary):
    """End the lead of those that can reach the new primary, as happens without fencing."""
    for upstream in list(world.upstreams.values()):
        if upstream.is_up and upstream.leads and upstream.name != primary.name:
            _change(world, upstream.name, leads=False, report_due_ms=world.now_ms)


def _has_complete_upstream(world):
    for upstream in world.upstreams.values():
        held = {entry.serial for entry in upstream.log}
        if upstream.is_up and held.issuperset(world.acknowledged):
            return True
    return False


def replay(scenario, path):
    """Return the log lines of control and the actions of a path, in their order."""
    world = first_world(scenario)
    world.log_lines = []
    for action in path:
        world.log_lines.append(f"-- {world.now_ms - START_MS} ms {describe([action])}")
        take(world, action)
    if world.violation:
        world.log_lines.append(f"-- {world.violation}")
    return world.log_lines


def describe(path):
    """Return a path as a text."""
    return ", ".join(" ".join(str(item) for item in action if item) for action in path)


# The scenarios.

WAIT = Action("wait", "", 1_000)


# Without its setting, control grants no leases where the platform fences.
LEASE_MS = control_role.PRIMARY_LEASE_MS
FENCED_LEASE_MS = LEASE_MS if "fences_primaries" in ControlSettings._fields else 0


def scenarios(is_fenced=True, primary_lease_ms=FENCED_LEASE_MS):
    """Return the scenarios by name, for a platform that fences former primaries or doesn't."""
    described = [
        # review/1: a replica that has not reported starts, and the primary drains.
        Scenario("primary_drains", (Action("join"), Action("drain", "a")), {"commit": 2}),
        # review/2: a replica leaves with the only copy of what control saw at the primary.
        Scenario(
            "replica_leaves",
            (Action("drain", "b"), WAIT, Action("commit", "a"), Action("receive", "b"), WAIT),
            {"commit": 1, "depart b": 1, "crash a": 1, "return a": 1},
        ),
        # As before, but the primary crashes before control saw its last commits.
        Scenario(
            "replica_leaves_unseen",
            (Action("drain", "b"), WAIT),
            {"commit": 2, "depart b": 1, "crash a": 1, "return a": 1},
        ),
        # review/3: the primary is cut off from control, and a replica starts.
        Scenario("primary_is_cut", (Action("cut", "a"), WAIT), {"commit": 2, "join": 1}),
        # review/4: all of control restarts while the primary drains.
        Scenario(
            "control_restarts",
            (Action("drain", "a"), Action("commit", "a"), Action("restart", "all", -1)),
            {"commit": 1},
        ),
        # A process, at times the leader, starts again while the primary is replaced.
        Scenario(
            "leader_restarts",
            (Action("drain", "a"), Action("wait", "", 600)),
            {"commit": 1, "restart_one": 1},
        ),
        # A leader starts again after an order that the platform carries out late; its successor
        # keeps the primary, and gets no answers either.
        Scenario(
            "orders_are_late",
            (
                Action("silence", "", 1),
                Action("cut", "a"),
                Action("wait", "", 1_200),
                Action("restart_one", "", 0),
                Action("heal", "a"),
                WAIT,
            ),
            {"commit": 1, "restart_one": 1},
        ),
        # A replica starts again under its id without its log, while the primary is replaced.
        Scenario("replica_restarts", (Action("drain", "a"),), {"commit": 1, "rejoin": 1}),
        # A leaving replica's successor starts with its log, and the primary crashes.
        Scenario(
            "replica_succeeded",
            (Action("drain", "b"), WAIT),
            {"commit": 1, "succeed b": 1, "crash a": 1, "return a": 1},
        ),
        # The primary crashes and comes back while it is replaced.
        Scenario(
            "primary_returns",
            (Action("crash", "a"), WAIT),
            {"commit": 1, "return a": 1, "join": 1},
        ),
        # The primary is lost for good, also while control restarts (review/5).
        Scenario(
            "primary_is_lost",
            (Action("commit", "a"), Action("receive", "b"), Action("crash", "a")),
            {"restart": 1, "join": 1},
        ),
        # review/11: every process ends while one replica lags; each upstream is back after a time
        # of its own, or never.
        Scenario(
            "everything_ends",
            (Action("commit", "a"), Action("receive", "b"), WAIT),
            {"commit": 1, "end_all same": 1},
            (1_000, 45_000),
        ),
        # The same where an upstream is back under a new name.
        Scenario(
            "everything_ends_renamed",
            (Action("commit", "a"), Action("receive", "b"), WAIT),
            {"commit": 1, "end_all renamed": 1},
            (1_000, 45_000),
        ),
        # Every process ends once more, 3 s after the first time.
        Scenario(
            "everything_ends_twice",
            (
                Action("commit", "a"),
                Action("receive", "b"),
                WAIT,
                Action("end_all", "same", 0),
                Action("wait", "", 3_000),
            ),
            {"end_all renamed": 1},
            (1_000, 45_000),
        ),
        # One of three control processes, at times the leader, freezes while the primary drains.
        Scenario(
            "control_freezes",
            (Action("drain", "a"),),
            {"commit": 1, "freeze": 1},
            controls=3,
        ),
    ]
    named = {}
    for item in described:
        named[item.name] = item._replace(is_fenced=is_fenced, primary_lease_ms=primary_lease_ms)
    return named


FLAGS = flags.FLAGS
if __name__ == "__main__":
    flags.DEFINE_integer("depth", 8, "the number of actions after the beginning of a scenario")
    flags.DEFINE_float("seconds", 60, "after this time a scenario is ended")
    flags.DEFINE_string("scenario", "", "the only scenario to explore; all of them if empty")
    flags.DEFINE_bool("fenced", True, "whether the platform fences former primaries")
    flags.DEFINE_integer("lease_ms", FENCED_LEASE_MS, "how long a lease lasts; 0: there are none")
    flags.DEFINE_integer("told_ms", POLL_INTERVAL_MS, "until control learns what is acknowledged")
    flags.DEFINE_bool("explain", False, "print control's log lines of each path that is found")


def main(_):
    """Explore the scenarios one after the other, and print what was found."""
    for name, scenario in scenarios(FLAGS.fenced, FLAGS.lease_ms).items():
        if FLAGS.scenario not in ("", name):
            continue
        scenario = scenario._replace(told_after_ms=FLAGS.told_ms)
        started_s = time.monotonic()
        end_s = started_s + FLAGS.seconds
        found, depth = find(scenario, FLAGS.depth, lambda end_s=end_s: time.monotonic() > end_s)
        took_s = time.monotonic() - started_s
        print(f"{name}: {found.states} states, {took_s:.1f} s, in full up to depth {depth}")
        for path, violation in found.paths:
            print(f"  {violation}: {describe(path)}")
            if FLAGS.explain:
                print("\n".join(f"    {line}" for line in replay(scenario, path)))


if __name__ == "__main__":
    app.run(main)
