"""Random walks over the model of a replicated service, with faults that overlap.

Each fault lasts at most as long as on the sites. A promotion that lacks an acknowledged commit is
counted where an upstream still has the commit, or is to return with it.

By hand: ``.venv/bin/python tests/service_walk.py --first=0 --seeds=500``.
"""

import random
import time
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from absl import app, flags
from control_driver import SERVICE, leading_control
from endivewick_core.control.events import FailoverOutcome
from endivewick_core.positions import Position
from replicated_service import (
    GATEWAYS,
    LEASE_MARGIN_MS,
    PRIMARY_LEASE_MS,
    Entry,
    Instance,
    OrderCourse,
    PendingCommit,
    ReplicatedService,
)

LONGEST_FAULT_MS = 7_000  # a crash, a dark upstream or a partition
LONGEST_DEAF_MS = 6_500  # a replica that receives nothing
CALM_MS = 3_000  # between two faults of one upstream
LATE_ORDER_MS = (2_000, 12_000)
WEIGHTS = (6, 4, 1, 3, 3, 2, 2, 4, 3, 2, 2, 1, 2, 1)  # of the events of take_step
# The same with few replicas that receive, and a primary that is often gone.
TENSE_WEIGHTS = (14, 6, 1, 4, 5, 2, 2, 6, 3, 0, 1, 0, 1, 0)
LONGEST_STEP_MS = 2_500
LONGEST_TENSE_STEP_MS = 900


class Loss(NamedTuple):
    """Acknowledged commits that a promoted upstream lacked, and who still had the newest."""

    at_ms: int
    promoted: str
    count: int
    holders: list[str]


@dataclass
class WalkingService(ReplicatedService):
    """A replicated service whose links to control and between upstreams may be cut.

    ``far`` names the upstreams and gateways on the other side of a partition. ``told_after_ms`` is
    how long it takes until control hears where a gateway acknowledged, ``untold`` what it has not
    heard yet. ``skips`` is how often a replica receives nothing for one step. ``returning`` are
    the upstreams that are down and come back with their logs.
    """

    random: Any = None
    far: set[str] = field(default_factory=set)
    cut_gateways: set[str] = field(default_factory=set)
    told_after_ms: int = 300
    told: dict[str, Position] = field(default_factory=dict)
    untold: list[tuple[int, str, Position]] = field(default_factory=list)
    skips: float = 0.0
    returning: set[str] = field(default_factory=set)
    busy_until_ms: dict[str, int] = field(default_factory=dict)
    losses: list[Loss] = field(default_factory=list)
    told_events: list[str] = field(default_factory=list)
    started: int = 0
    gone: set[str] = field(default_factory=set)
    accepted: list[str] = field(default_factory=list)
    weights: tuple[int, ...] = WEIGHTS
    longest_step_ms: int = LONGEST_STEP_MS

    # Links.

    def _replicate(self):
        primary = self.primary()
        hidden = []
        for item in self.upstreams.values():
            if item.is_deaf or item is primary:
                continue
            apart = primary is not None and (item.name in self.far) != (primary.name in self.far)
            if apart or self.random.random() < self.skips:
                item.is_deaf = True
                hidden.append(item)
        super()._replicate()
        for item in hidden:
            item.is_deaf = False

    def _write(self):
        if not self.is_writing:
            return
        for item in self.upstreams.values():
            if not item.is_up or not item.leads:
                continue
            reaching = [name for name in GATEWAYS if (name in self.far) == (item.name in self.far)]
            if not reaching:
                continue
            self.commits_sent += 1
            entry = Entry(item.term, self.commits_sent)
            item.log.append(entry)
            gateway = reaching[self.commits_sent % len(reaching)]
            self.pending.append(PendingCommit(entry, item, gateway, len(item.log) - 1))

    def _acknowledge(self, commit):
        super()._acknowledge(commit)
        position = self.positions[commit.gateway][SERVICE]
        self.untold.append((self.now_ms, commit.gateway, position))

    def _poll(self, gateway):
        if gateway in self.cut_gateways or gateway in self.far:
            return
        kept = []
        for item in self.untold:
            since_ms, name, position = item
            if name != gateway or self.now_ms - since_ms < self.told_after_ms:
                kept.append(item)
                continue
            self.told[gateway] = max(position, self.told.get(gateway, position))
        self.untold = kept
        acknowledged = self.positions[gateway]
        told = self.told.get(gateway)
        self.positions[gateway] = {SERVICE: told} if told else {}
        super()._poll(gateway)
        self.positions[gateway] = acknowledged

    def replace_leader(self):
        """Let another control process lead, which has heard all that gateways told."""
        acknowledged = self.state.directory_state.acknowledged
        peers = self.state.directory_state.peers
        super().replace_leader()
        self.state.directory_state.peers = peers
        known = self.state.directory_state.acknowledged
        for service, position in acknowledged.items():
            known[service] = max(position, known.get(service, position))

    # The promise.

    def _execute(self, order):
        outcome = super()._execute(order)
        if outcome is FailoverOutcome.ACCEPTED:
            self.accepted.append(order.upstream)
        return outcome

    def _take_effect(self, target):
        if target.name in self.accepted:
            self.accepted.remove(target.name)
        before = len(self.lost)
        super()._take_effect(target)
        self._note_losses(self.lost[before:], target.name)

    def _note_losses(self, lost, name):
        kept = []
        for entry, _ in lost:
            holders = [
                item.name
                for item in self.upstreams.values()
                if entry in item.log and (item.is_up or item.name in self.returning)
            ]
            if holders:
                kept.append(holders)
        if kept:
            self.losses.append(Loss(self.now_ms, name, len(kept), kept[-1]))

    # Faults.

    def _note(self, text):
        self.told_events.append(f"{self.now_ms} {text}")

    def _occupy(self, name, for_ms):
        """Return whether an upstream is free for a fault, and reserve it."""
        if self.now_ms < self.busy_until_ms.get(name, 0):
            return False
        self.busy_until_ms[name] = self.now_ms + for_ms + CALM_MS
        return True

    def _running(self):
        return [item for item in self.upstreams.values() if item.is_up]

    def crash_for(self, instance, for_ms):
        """Crash an upstream, which comes back with its log."""
        if not self._occupy(instance.name, for_ms):
            return
        self._note(f"crash {instance.name} {for_ms}")
        self.crash(instance)
        self.returning.add(instance.name)

        def come_back():
            self._note(f"back {instance.name}")
            self.returning.discard(instance.name)
            self.come_back(instance, self.random.choice((0, 200, 900)))

        self.later(for_ms, come_back)

    def deafen_for(self, instance, for_ms):
        """Let a replica receive nothing for a time."""
        if instance.is_deaf:
            return
        self._note(f"deaf {instance.name} {for_ms}")
        instance.is_deaf = True
        self.later(for_ms, lambda: setattr(instance, "is_deaf", False))

    def cut_for(self, instance, for_ms):
        """Cut an upstream off from control only."""
        if not self._occupy(instance.name, for_ms):
            return
        self._note(f"cut {instance.name} {for_ms}")
        self.cut_from_control(instance)

        def heal():
            if instance.is_up:
                self._note(f"heal {instance.name}")
                self.reconnect_to_control(instance)

        self.later(for_ms, heal)

    def partition_for(self, names, gateways, for_ms):
        """Cut some upstreams and gateways off from control and from the others."""
        if self.far:
            return
        names = [name for name in names if self._occupy(name, for_ms)]
        if not names:
            return
        self._note(f"partition {names} {gateways} {for_ms}")
        self.far = {*names, *gateways}
        for name in names:
            self.cut_from_control(self.upstreams[name])

        def heal():
            self._note("partition ends")
            self.far = set()
            for name in names:
                instance = self.upstreams.get(name)
                if instance is not None and instance.is_up:
                    # A connection that was cut off is replaced once control has given it up.
                    instance.reachable = True

        self.later(for_ms, heal)

    def cut_gateway_for(self, gateway, for_ms):
        """Cut a gateway off from control only."""
        if gateway in self.cut_gateways:
            return
        self._note(f"cut {gateway} {for_ms}")
        self.cut_gateways.add(gateway)
        self.later(for_ms, lambda: self.cut_gateways.discard(gateway))

    def end_gateway(self, gateway):
        """Start a gateway again; it forgets where it acknowledged."""
        self._note(f"end {gateway}")
        self.positions[gateway] = {}
        self.leases[gateway] = {}
        self.told.pop(gateway, None)
        self.untold = [item for item in self.untold if item[1] != gateway]
        self.held = [item for item in self.held if item.gateway != gateway]
        self.pending = [item for item in self.pending if item.gateway != gateway]

    def rejoin(self, instance):
        """Start a replica again under its name, without its log."""
        if instance.leads or instance.name in self.accepted:
            return  # an accepted order can't be taken back
        if not self._occupy(instance.name, 0):
            return
        self._note(f"rejoin {instance.name}")
        self.crash(instance)
        instance.log = []
        self.come_back(instance, self.random.choice((0, 300, 900)))

    def release(self, instance, drain_ms, with_log):
        """Replace an upstream: a new one starts, then the old one leaves."""
        if self.primary() is None or not instance.is_up or not instance.reachable:
            return
        if not self._occupy(instance.name, 60_000):
            return
        self.started += 1
        name = f"u-{self.started}"
        self._note(f"release {instance.name} by {name}, {drain_ms}, with_log={with_log}")
        if not with_log:
            self.start(name, self.random.choice((0, 300, 1_000)))
        self.leave(instance)

        def depart():
            if not instance.is_up:
                return
            self._note(f"depart {instance.name}")
            log, term = list(instance.log), instance.term
            self.depart(instance)
            self.gone.add(instance.name)
            if with_log:
                new = Instance(name, born_ms=self.now_ms, log=log, term=term)
                new.address = instance.address
                new.report_due_ms = self.now_ms + self.random.choice((0, 300, 1_000))
                self.upstreams[name] = new

        self.later(drain_ms, depart)


def walking_service(seed, is_fenced):
    """Return a service that has served for a while, and walks as the seed says."""
    drawn = random.Random(seed)

    def driver(state, upstreams):
        service = WalkingService(state, upstreams, is_fenced=is_fenced, random=drawn)
        service.told_after_ms = drawn.choice((100, 250, 380))
        service.skips = drawn.choice((0.0, 0.2, 0.5))
        if drawn.random() < 0.5:
            service.weights, service.longest_step_ms = TENSE_WEIGHTS, LONGEST_TENSE_STEP_MS
        return service

    service = leading_control(PRIMARY_LEASE_MS, is_fenced, LEASE_MARGIN_MS, driver, Instance)
    service.run(3_000)
    return service


def take_step(service):
    """Let one event happen."""
    drawn = service.random
    running = service._running()
    primary = service.primary()
    replicas = [item for item in running if item is not primary]
    kind = drawn.choices(
        (
            "deaf",
            "crash_primary",
            "crash_replica",
            "cut",
            "partition",
            "cut_gateway",
            "end_gateway",
            "release_replica",
            "release_primary",
            "rejoin",
            "replace_leader",
            "restart_control",
            "late_order",
            "power",
        ),
        service.weights,
    )[0]
    fault_ms = drawn.randrange(200, LONGEST_FAULT_MS + 1, 20)
    if kind == "deaf" and replicas:
        deaf_ms = drawn.randrange(200, LONGEST_DEAF_MS + 1, 20)
        service.deafen_for(drawn.choice(replicas), deaf_ms)
    elif kind == "crash_primary" and primary is not None:
        service.crash_for(primary, fault_ms)
    elif kind == "crash_replica" and replicas:
        service.crash_for(drawn.choice(replicas), fault_ms)
    elif kind == "cut" and running:
        service.cut_for(drawn.choice(running), fault_ms)
    elif kind == "partition" and running:
        names = [item.name for item in running if drawn.random() < 0.6]
        gateways = [name for name in GATEWAYS if drawn.random() < 0.5]
        service.partition_for(names, gateways, fault_ms)
    elif kind == "cut_gateway":
        service.cut_gateway_for(drawn.choice(GATEWAYS), fault_ms)
    elif kind == "end_gateway":
        service.end_gateway(drawn.choice(GATEWAYS))
    elif kind == "release_replica" and len(replicas) > 1:
        drain_ms = drawn.randrange(1_000, 6_000, 20)
        service.release(drawn.choice(replicas), drain_ms, drawn.random() < 0.3)
    elif kind == "release_primary" and primary is not None and len(replicas) > 1:
        service.release(primary, drawn.randrange(2_000, 8_000, 20), drawn.random() < 0.3)
    elif kind == "rejoin" and replicas:
        service.rejoin(drawn.choice(replicas))
    elif kind == "replace_leader":
        service._note("replace_leader")
        service.replace_leader()
    elif kind == "restart_control":
        service._note("restart_control")
        late = drawn.choice((None, *running))
        service.restart_control(late)
    elif kind == "power":
        service._note("power: control and gateways")
        for gateway in GATEWAYS:
            service.end_gateway(gateway)
        service.restart_control()
    elif kind == "late_order" and service.is_fenced:
        # Without fencing nothing refuses it once another upstream was promoted; see decision 16.
        service._note("late_order")
        course = OrderCourse(drawn.randrange(*LATE_ORDER_MS, 20), drawn.random() < 0.2)
        service.courses = [course]


def walk(seed, is_fenced=True, steps=16):
    """Take steps until a commit is lost; return the service."""
    service = walking_service(seed, is_fenced)
    for _ in range(steps):
        take_step(service)
        service.run(service.random.randrange(20, service.longest_step_ms, 20))
        if service.losses:
            return service
    service.run(12_000)
    return service


FLAGS = flags.FLAGS
if __name__ == "__main__":
    flags.DEFINE_integer("first", 0, "the first seed")
    flags.DEFINE_integer("seeds", 100, "how many seeds to walk")
    flags.DEFINE_bool("fenced", True, "whether the platform fences former primaries")
    flags.DEFINE_bool("explain", False, "print control's log events of each walk that lost commits")


def main(_):
    """Walk with one seed after the other, and print what was lost."""
    started_s = time.monotonic()
    for seed in range(FLAGS.first, FLAGS.first + FLAGS.seeds):
        service = walk(seed, FLAGS.fenced)
        if not service.losses:
            continue
        print(f"seed {seed}: {service.losses}; {' | '.join(service.told_events)}", flush=True)
        if FLAGS.explain:
            for event in service.log_events:
                print(f"    {event.name}: {event.text}")
    print(f"{FLAGS.seeds} seeds in {time.monotonic() - started_s:.0f} s")


if __name__ == "__main__":
    app.run(main)
