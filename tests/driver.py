"""A deterministic simulation of a small system around the real reducers.

All input and output is faked, and one seeded queue orders the events. Each process has its own
clock. Messages pass through the real codec, so no two processes share an object. A frozen process
receives its events when it thaws; a killed process loses them.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random
from typing import Any

from endivewick_bench.checkers import Record
from endivewick_bench.standins.database import Database
from endivewick_core.codec import decode, encode
from endivewick_core.control import effects as cx
from endivewick_core.control import events as ce
from endivewick_core.control import reducer as control_reducer
from endivewick_core.control.state import ControlSettings, ControlState, Role
from endivewick_core.messages import CODEC, Announcement, ForwardBatch
from endivewick_core.proxy import effects as px
from endivewick_core.proxy import events as pe
from endivewick_core.proxy import reducer as proxy_reducer
from endivewick_core.proxy.state import ProxySettings, ProxyState, lease_valid
from endivewick_node.control_node import restore_state
from endivewick_node.storage import Stored, StoredSnapshot, StoredVote
from fake_upstream import GROUP, Upstream, execute, replicate

TICK_MS = 20
RUN_MS = 3
REPLICATE_MS = 10
ANNOUNCE_MS = 250
SESSION_KEY = b"k" * 32


@dataclass
class Disk:
    """The durable data of a control process."""

    identity: str
    vote: StoredVote | None = None
    snapshot: StoredSnapshot | None = None
    entries: list[Any] = field(default_factory=list)


@dataclass
class Process:
    """A control process or a proxy."""

    name: str
    offset_ms: int
    state: Any = None
    boot: int = 0
    alive: bool = True
    frozen: bool = False
    inbox: list[Callable[[], None]] = field(default_factory=list)
    disk: Disk | None = None
    revision: int = 0


class Driver:
    """A simulated system: control processes, proxies and the upstreams of one group."""

    def __init__(self, seed: int, controls: int = 3, proxies: int = 3, upstreams: int = 3):
        self.random = Random(seed)
        self.now = 0
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.serial = count()
        self.history: list[Record] = []
        self.cuts: set[tuple[str, str]] = set()
        self.silent: set[Any] = set()
        self.loss = 0.0
        self.steps = 0
        self.watch: Callable[[Process, Any], None] | None = None
        self.committed: dict[int, Any] = {}
        self.faults: list[str] = []
        self.answers: dict[tuple[str, int], Callable[[Any], None]] = {}
        self.connections: dict[Any, str] = {}
        self.control_settings = ControlSettings(
            members={f"c{i}": f"c{i}" for i in range(controls)},
            operator_addresses={f"c{i}": f"c{i}" for i in range(controls)},
            snapshot_entries=20,
            entries_kept=5,
        )
        self.processes: dict[str, Process] = {}
        self.upstreams: dict[str, Upstream] = {}
        for i in range(controls):
            self._add(f"c{i}")
        for i in range(proxies):
            self._add(f"p{i}")
        for i in range(upstreams):
            role = "replica" if i else "primary"
            self.upstreams[f"u{i}"] = Upstream(f"u{i}", Database(role, 1, "u0" if i else ""))
        self.after(REPLICATE_MS, self._replicate)
        for name in self.upstreams:
            self.after(ANNOUNCE_MS, lambda name=name: self._announce(name))

    # Time and events.

    def after(self, delay_ms: int, action: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (self.now + delay_ms, next(self.serial), action))

    def run(self, duration_ms: int) -> None:
        end = self.now + duration_ms
        while self.heap and self.heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self.heap)
            action()
        self.now = end

    def run_until(self, holds: Callable[[], bool], limit_ms: int = 20_000) -> bool:
        end = self.now + limit_ms
        while not holds() and self.now < end:
            self.run(TICK_MS)
        return holds()

    def record(self, kind: str, source: str, **fields: Any) -> None:
        self.history.append(Record(self.now, source, kind, **fields))

    def deliver(self, name: str, boot: int, action: Callable[[], None]) -> None:
        process = self.processes[name]
        if not process.alive or process.boot != boot:
            return
        if process.frozen:
            process.inbox.append(lambda: self.deliver(name, boot, action))
            return
        action()

    # Processes and their faults.

    def _add(self, name: str) -> None:
        process = Process(name, self.random.randrange(1_000_000))
        self.processes[name] = process
        if name.startswith("c"):
            process.disk = Disk(f"{name}#0")
        self._start(process)

    def _start(self, process: Process) -> None:
        process.boot += 1
        process.alive, process.frozen, process.inbox = True, False, []
        process.revision = 0
        if process.disk is not None:
            disk = process.disk
            stored = Stored(disk.identity, disk.vote, disk.snapshot, list(disk.entries), 0)
            process.state = restore_state(self.control_settings, process.name, process.name, stored)
            process.state.election_due_ms = self.clock(process) + 600
        else:
            settings = ProxySettings(
                name=process.name,
                boot=f"{process.name}/{process.boot}",
                address=process.name,
                http_address=process.name,
                data_centre="d1",
                control_addresses=list(self.control_settings.members),
                session_key=SESSION_KEY,
            )
            process.state = ProxyState(settings)
        self.record("process_started", process.name)
        self._tick(process, process.boot)

    def clock(self, process: Process) -> int:
        return self.now + process.offset_ms

    def kill(self, name: str) -> None:
        process = self.processes[name]
        process.alive = False
        self.record("process_stopped", name)
        for key in [key for key in self.answers if key[0] == name]:
            self.answers.pop(key)(None)
        for key in [key for key in self.connections if key[0] == name]:
            self._forget(key)

    def restart(self, name: str, wipe: bool = False) -> None:
        process = self.processes[name]
        if process.alive:
            self.kill(name)
        if wipe:
            process.disk = Disk(f"{name}#{process.boot}")
        self._start(process)

    def freeze(self, name: str) -> None:
        (self.processes.get(name) or self.upstreams[name]).frozen = True

    def thaw(self, name: str) -> None:
        target = self.processes.get(name) or self.upstreams[name]
        target.frozen = False
        waiting = target.inbox if isinstance(target, Process) else target.pending
        actions, waiting[:] = list(waiting), []
        for action in actions:
            action()

    def cut(self, one: str, other: str, both: bool = True) -> None:
        self.cuts.add((one, other))
        if both:
            self.cuts.add((other, one))

    def isolate(self, name: str) -> None:
        for other in [*self.processes, *self.upstreams]:
            if other != name:
                self.cut(name, other)

    def heal(self) -> None:
        self.cuts.clear()
        self.silent.clear()
        self.loss = 0.0
        for name in [*self.processes, *self.upstreams]:
            target = self.processes.get(name) or self.upstreams[name]
            if target.frozen:
                self.thaw(name)
            if not target.alive:
                self.revive(name)

    def revive(self, name: str) -> None:
        if name in self.processes:
            self.restart(name)
        else:
            self.upstreams[name].alive = True

    # Reducing.

    def _tick(self, process: Process, boot: int) -> None:
        def tick() -> None:
            if process.boot != boot or not process.alive:
                return
            if not process.frozen:
                now = self.clock(process)
                is_control = process.disk is not None
                draw = self.random.random()
                self.step(process, ce.Tick(now, draw) if is_control else pe.Tick(now))
            self.after(TICK_MS, tick)

        self.after(1 + self.random.randrange(TICK_MS), tick)

    def step(self, process: Process, event: Any) -> None:
        self.steps += 1
        reducer = control_reducer if process.disk is not None else proxy_reducer
        self._carry_out(process, reducer.reduce(process.state, event))

    def _carry_out(self, process: Process, effects: list[Any]) -> None:
        """Carry out effects; a fault may stop or freeze the process before any of them."""
        boot = process.boot
        for position, effect in enumerate(effects):
            if self.watch is not None:
                self.watch(process, effect)
            if not process.alive or process.boot != boot:
                return
            if process.frozen:
                resume = partial(self._carry_out, process, effects[position:])
                process.inbox.append(partial(self.deliver, process.name, boot, resume))
                return
            getattr(self, f"_on_{type(effect).__name__}")(process, effect)
        if process.disk is not None:
            self._check_committed(process)
            return
        self._check_homes()
        if process.state.replicated_state.revision != process.revision:
            process.revision = process.state.replicated_state.revision
            self.record("configuration_in_force", process.name, revision=process.revision)

    def _check_homes(self) -> None:
        """Check that no group has two holders with valid leases, each by its own clock."""
        holders: dict[str, str] = {}
        for process in self.processes.values():
            if process.disk is not None or not process.alive:
                continue
            if not lease_valid(process.state, self.clock(process)):
                continue
            for group in process.state.homes:
                if group in holders:
                    both = f"{holders[group]} and {process.name}"
                    self.faults.append(f"{both} hold {group} at {self.now}")
                holders[group] = process.name

    def _check_committed(self, process: Process) -> None:
        state: ControlState = process.state
        for entry in state.log.entries:
            if entry.log_index > state.commit_index:
                break
            known = self.committed.setdefault(entry.log_index, entry)
            if known != entry:
                self.faults.append(f"index {entry.log_index} committed twice with other content")
        if state.role is Role.LEADER:
            known = self.committed.setdefault(-state.term, state.me.member_id)
            if known != state.me.member_id:
                self.faults.append(f"two leaders in term {state.term}")

    def _send(self, process: Process, address: str, message: Any) -> None:
        if (process.name, address) in self.cuts or self.random.random() < self.loss:
            return
        frame, sender = encode(message), process.name
        copies = 2 if self.random.random() < self.loss / 2 else 1
        for _ in range(copies):
            spread = 60 if self.loss and self.random.random() < 0.2 else 3
            boot = self.processes[address].boot
            receive = partial(self._receive, address, sender, frame)
            delay_ms = 1 + self.random.randrange(spread)
            self.after(delay_ms, partial(self.deliver, address, boot, receive))

    def _receive(self, name: str, sender: str, frame: bytes) -> None:
        process = self.processes[name]
        message = decode(CODEC, frame)
        now = self.clock(process)
        if process.disk is not None:
            self.step(process, ce.MessageReceived(now, message))
        else:
            self.step(process, pe.MessageReceived(now, sender, message))

    # Control effects.

    def _on_SaveVote(self, process: Process, effect: cx.SaveVote) -> None:
        process.disk.vote = StoredVote(*effect)

    def _on_AppendEntries(self, process: Process, effect: cx.AppendEntries) -> None:
        process.disk.entries += effect.entries

    def _on_TruncateLog(self, process: Process, effect: cx.TruncateLog) -> None:
        kept = [item for item in process.disk.entries if item.log_index < effect.from_index]
        process.disk.entries = kept

    def _on_SaveSnapshot(self, process: Process, effect: cx.SaveSnapshot) -> None:
        process.disk.snapshot = StoredSnapshot(*effect)
        log = process.state.log
        process.disk.entries = [e for e in log.entries if e.log_index > effect.last_index]

    def _on_Send(self, process: Process, effect: Any) -> None:
        self._send(process, effect.address, effect.message)

    def _on_LogEvent(self, process: Process, effect: Any) -> None:
        pass

    _on_Count = _on_Served = _on_LogEvent

    def _on_AnswerOperator(self, process: Process, effect: cx.AnswerOperator) -> None:
        self.answers.pop((process.name, effect.number))(effect)

    # Proxy effects.

    def _on_AnswerCaller(self, process: Process, effect: px.AnswerCaller) -> None:
        self.answers.pop((process.name, effect.number))(effect)

    def _on_Forward(self, process: Process, effect: px.Forward) -> None:
        self._send(process, effect.address, ForwardBatch([effect.request], []))

    def _on_ForwardAnswer(self, process: Process, effect: px.ForwardAnswer) -> None:
        self._send(process, effect.address, ForwardBatch([], [effect.answer]))

    def _on_OpenConnection(self, process: Process, effect: px.OpenConnection) -> None:
        key = (process.name, process.boot, effect.connection)
        upstream = self.upstreams[effect.address]
        self.connections[key] = upstream.name

        def opened() -> None:
            if key not in self.connections or (process.name, upstream.name) in self.cuts:
                return
            number = effect.connection
            if upstream.alive:
                event: Any = pe.ConnectionOpened(self.clock(process), number)
            else:
                event = pe.ConnectionBroke(self.clock(process), number, "refused")
            self.step(process, event)

        self.after(2, lambda: self.deliver(process.name, key[1], opened))

    def _on_CloseConnection(self, process: Process, effect: px.CloseConnection) -> None:
        self._forget((process.name, process.boot, effect.connection))

    def _forget(self, key: Any) -> None:
        upstream = self.connections.pop(key, None)
        if upstream is not None:
            self.upstreams[upstream].transactions.pop(key, None)

    def _on_SendUpstream(self, process: Process, effect: px.SendUpstream) -> None:
        key = (process.name, process.boot, effect.connection)
        if key not in self.connections:
            return
        upstream = self.upstreams[self.connections[key]]

        def arrive() -> None:
            if (process.name, upstream.name) in self.cuts or key in self.silent:
                return
            statement = effect.body.get("statement")
            if upstream.alive and statement is not None:
                tag, name = statement.get("tag", ""), upstream.name
                self.record("upstream_began", name, upstream=name, tag=tag)
            begin()

        def begin() -> None:
            if upstream.frozen:
                upstream.pending.append(begin)
            elif upstream.alive:
                self._run(upstream, key, effect)

        self.after(1 + self.random.randrange(2), arrive)

    # Upstreams.

    def kill_upstream(self, name: str) -> None:
        self.upstreams[name].alive = False
        self.upstreams[name].transactions.clear()
        for key in [key for key, upstream in self.connections.items() if upstream == name]:
            del self.connections[key]
            process = self.processes[key[0]]

            def broke(process: Process = process, key: Any = key) -> None:
                self.step(process, pe.ConnectionBroke(self.clock(process), key[2], "reset"))

            if (name, process.name) not in self.cuts:
                self.after(1, lambda p=process, k=key, b=broke: self.deliver(p.name, k[1], b))

    def _run(self, upstream: Upstream, key: Any, effect: px.SendUpstream) -> None:
        statement = effect.body.get("statement")
        run_ms = statement.get("run_ms", RUN_MS) if statement else 0

        def finish() -> None:
            if upstream.frozen:
                upstream.pending.append(finish)
                return
            if not upstream.alive or key not in self.connections:
                return
            status, value = execute(upstream, key, effect, self._apply, self.record)
            database = upstream.database
            answer = pe.UpstreamAnswer(
                status, database.term, len(database.log), database.role, value
            )
            process = self.processes[key[0]]

            def answered() -> None:
                if (upstream.name, process.name) in self.cuts or key in self.silent:
                    return
                event = pe.UpstreamAnswered(self.clock(process), key[2], answer)
                self.step(process, event)

            self.after(1, lambda: self.deliver(process.name, key[1], answered))

        self.after(run_ms, finish)

    def _apply(self, upstream: Upstream, statement: dict[str, Any]) -> None:
        upstream.database.write(statement["key"], statement["value"])
        name = upstream.name
        self.record("upstream_ran", name, upstream=name, group=GROUP, tag=statement["tag"])

    def _replicate(self) -> None:
        replicate(self.upstreams, self.cuts)
        self.after(REPLICATE_MS, self._replicate)

    def _announce(self, name: str) -> None:
        upstream = self.upstreams[name]
        self.after(ANNOUNCE_MS, lambda: self._announce(name))
        proxies = [p for p in self.processes.values() if p.disk is None and p.alive]
        if not upstream.alive or upstream.frozen or not proxies:
            return
        proxy = self.random.choice(proxies)
        if (name, proxy.name) in self.cuts:
            return
        database, state = upstream.database, "leaving" if upstream.leaving else "running"
        announcement = Announcement(
            name, GROUP, name, "d1", state, database.role, database.term, len(database.log), 3, 20
        )
        action = lambda: self.step(  # noqa: E731
            proxy, pe.UpstreamAnnounced(self.clock(proxy), announcement)
        )
        self.deliver(proxy.name, proxy.boot, action)

    # Callers and operators.

    def ask(self, proxy: str, ask: pe.CallerRequest, done: Callable[[Any], None]) -> None:
        process = self.processes[proxy]
        number = next(self.serial)
        if not process.alive:
            done(None)
            return
        self.answers[(proxy, number)] = done
        self.deliver(
            proxy,
            process.boot,
            lambda: self.step(process, pe.CallerRequestReceived(self.clock(process), number, ask)),
        )

    def operate(self, control: str, request: Any, done: Callable[[Any], None]) -> None:
        process = self.processes[control]
        number = next(self.serial)
        if not process.alive:
            done(None)
            return
        self.answers[(control, number)] = done
        self.deliver(
            control,
            process.boot,
            lambda: self.step(process, ce.OperatorRequested(self.clock(process), number, request)),
        )

    def leader(self) -> str | None:
        for process in self.processes.values():
            is_control = process.disk is not None and process.alive
            if is_control and process.state.role is Role.LEADER:
                return process.name
        return None
