"""A small model of a replicated service around the reducer of one control process.

Clients write all the time. The primary appends each commit; every replica that is linked to it and
not paused receives it. A commit is acknowledged once a replica has it and, where control grants
leases on primaries, the gateway holds one. An order of the platform takes effect some time after
it was accepted: the target then leads the next term with what it has received at that moment.

The model assumes nothing about how control keeps the promise: it answers the statements that
control sends, and records the acknowledged commits that a promoted upstream lacks.
"""

import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from control_driver import SERVICE, Control, FakeUpstream, leading_control
from endivewick_core.control import effects as cx
from endivewick_core.control import events as ce
from endivewick_core.control.events import FailoverOutcome
from endivewick_core.directory import UpstreamState
from endivewick_core.messages import DirectoryQuestion, PrimaryLeaseAnswer
from endivewick_core.positions import Position
from endivewick_core.primary_leases import PrimaryLeases, confirms, covers, known_leadership, renew
from endivewick_core.statements import StatementKind

sys.path.insert(0, str(Path(__file__).parent.parent / "platform"))
from endivewick_platform.control_role import LEASE_MARGIN_MS, PRIMARY_LEASE_MS  # noqa: E402

STEP_MS = 20  # between commits, and for a commit's way to a replica
REPORT_INTERVAL_MS = 1_000
POLL_INTERVAL_MS = 100  # of a gateway, so that its lease is as new as it can be
WRITES_FAILING_MS = 1_500  # without an answer to a write, until gateways report it
ORDER_ANSWER_MS = 20
ORDER_TIMEOUT_MS = 1_000  # without an answer
PROMOTION_MS = 1_000  # between an order's acceptance and its effect; the longest that was seen
CONTROL_DOWN_MS = 500  # of a restart of all control processes
ELECTION_MS = 300  # from the start of all control processes to the first leader
LEADER_CHANGE_MS = 700  # from the end of a leader to the next one, little more than the timeout
FIRST_REPORT_MS = 900  # after an election, of an upstream whose report came just before a restart
GATEWAYS = ("10.0.0.8:7000", "10.0.0.9:7000")


class Entry(NamedTuple):
    """A commit in a log, identified by its number."""

    term: int
    number: int


class OrderCourse(NamedTuple):
    """What happens to an order on its way: it arrives late without an answer, or is lost."""

    delay_ms: int = 0
    is_lost: bool = False


@dataclass
class Instance(FakeUpstream):
    """An upstream with a log.

    ``reachable`` says whether control reaches it; it serves gateways and is linked to the other
    upstreams while ``is_up``. While ``is_deaf`` it receives nothing.
    """

    log: list[Entry] = field(default_factory=list)
    is_up: bool = True
    is_deaf: bool = False
    report_due_ms: int = 0

    def end_of_log(self):
        return Position(self.log[-1].term if self.log else 1, len(self.log))


class PendingCommit(NamedTuple):
    """A commit without an answer of its primary, in whose log it stands at ``index``."""

    entry: Entry
    primary: Instance
    gateway: str
    index: int


class HeldCommit(NamedTuple):
    """A commit that its primary has answered while the gateway held no lease on it."""

    entry: Entry
    primary: Instance
    gateway: str
    received_ms: int
    leadership: int | None


@dataclass
class ReplicatedService(Control):
    """A control process, its service, the service's clients, two gateways and the platform.

    Where ``pauses_primaries``, an upstream that leads answers a pause as if it had an effect.
    ``lost`` holds the acknowledged commits that a promoted upstream lacked, ``promoted`` the
    upstreams that were promoted. ``courses`` are those of the next orders, ``token_seen`` is the
    highest token that the platform has seen. ``positions`` is where each gateway acknowledged
    commits.
    """

    is_fenced: bool = True
    pauses_primaries: bool = False
    is_writing: bool = True
    control_is_up: bool = True
    acknowledged: dict[Entry, int] = field(default_factory=dict)
    pending: list[PendingCommit] = field(default_factory=list)
    held: list[HeldCommit] = field(default_factory=list)
    lost: list[tuple[Entry, str]] = field(default_factory=list)
    promoted: list[str] = field(default_factory=list)
    newest_primary: Instance | None = None
    leases: dict[str, PrimaryLeases] = field(
        default_factory=lambda: {gateway: {} for gateway in GATEWAYS}
    )
    positions: dict[str, dict[str, Position]] = field(
        default_factory=lambda: {gateway: {} for gateway in GATEWAYS}
    )
    courses: list[OrderCourse] = field(default_factory=list)
    token_seen: int = 0
    scheduled: list[tuple[int, Any]] = field(default_factory=list)
    commits_sent: int = 0
    answered_ms: int = 0
    polls: int = 0

    # Time.

    def run(self, for_ms, step_ms=STEP_MS):
        """Let time pass for the service, the platform and control."""
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.now_ms += step_ms
            self._run_scheduled()
            self._replicate()
            self._answer_commits()
            self._write()
            if self.control_is_up:
                self._run_control(step_ms)

    def run_until(self, condition, limit_ms):
        """Let time pass until a condition holds; return the time, or the limit if it never did."""
        start_ms = self.now_ms
        while not condition() and self.now_ms - start_ms < limit_ms:
            self.run(STEP_MS)
        return self.now_ms - start_ms

    def later(self, delay_ms, action):
        """Carry out an action when some time has passed."""
        self.scheduled.append((self.now_ms + delay_ms, action))

    def _run_scheduled(self):
        due = [item for item in self.scheduled if item[0] <= self.now_ms]
        self.scheduled = [item for item in self.scheduled if item[0] > self.now_ms]
        for _, action in due:
            action()

    def _run_control(self, step_ms):
        for instance in self.upstreams.values():
            if instance.reachable and instance.is_up and self.now_ms >= instance.report_due_ms:
                self.report(instance)
        if self.now_ms % 1_000 < step_ms:
            self.share()
        if self.now_ms % POLL_INTERVAL_MS < step_ms:
            for gateway in GATEWAYS:
                self._poll(gateway)
        self.handle(ce.Tick(self.now_ms, 0.5))

    # Commits.

    def primary(self):
        """Return the upstream that leads the newest term, None if none leads."""
        leaders = [item for item in self.upstreams.values() if item.is_up and item.leads]
        return max(leaders, key=lambda item: item.term, default=None)

    def _replicate(self):
        primary = self.primary()
        if primary is None:
            return
        for item in self.upstreams.values():
            if not item.is_up or item.is_deaf or item.leads or item.paused_term > primary.term:
                continue
            if item.term > primary.term:
                continue  # a former primary that isn't fenced has no newer commits
            item.log, item.term = list(primary.log), primary.term

    def _write(self):
        """Append a commit at each upstream that leads: its gateways may not know another one."""
        if not self.is_writing:
            return
        for item in self.upstreams.values():
            if not item.is_up or not item.leads:
                continue
            self.commits_sent += 1
            entry = Entry(item.term, self.commits_sent)
            item.log.append(entry)
            gateway = GATEWAYS[self.commits_sent % len(GATEWAYS)]
            self.pending.append(PendingCommit(entry, item, gateway, len(item.log) - 1))

    def _answer_commits(self):
        waiting, self.pending = self.pending, []
        for commit in waiting:
            primary = commit.primary
            if not primary.is_up or not primary.leads or primary.term != commit.entry.term:
                continue  # its connection is lost with the lead: the outcome is unknown
            if not self._is_received(commit):
                self.pending.append(commit)
                continue
            self.answered_ms = self.now_ms
            lease = self.leases[commit.gateway].get(SERVICE)
            leadership = known_leadership(lease, primary.name)
            self.held.append(
                HeldCommit(commit.entry, primary, commit.gateway, self.now_ms, leadership)
            )
        waiting, self.held = self.held, []
        for commit in waiting:
            if self._may_acknowledge(commit):
                self._acknowledge(commit)
            else:
                self.held.append(commit)

    def _is_received(self, commit):
        return any(
            item is not commit.primary
            and item.is_up
            and item.log[commit.index : commit.index + 1] == [commit.entry]
            for item in self.upstreams.values()
        )

    def _may_acknowledge(self, commit):
        """Where control grants leases, one must cover the time of the answer."""
        if not self.state.settings.primary_lease_ms:
            return True
        leases = self.leases[commit.gateway]
        if not covers(leases, SERVICE, commit.primary.name, commit.received_ms):
            return False
        return confirms(leases[SERVICE], commit.leadership, self.now_ms - commit.received_ms)

    def _acknowledge(self, commit):
        self.acknowledged[commit.entry] = self.now_ms
        # The primary's answer shows the end of its log, which may be past the commit.
        known = self.positions[commit.gateway].get(SERVICE, Position(0, 0))
        answered = commit.primary.end_of_log()
        self.positions[commit.gateway][SERVICE] = max(known, answered)
        newest = self.newest_primary
        if newest is not None and commit.entry not in newest.log:
            self.lost.append((commit.entry, newest.name))

    def time_to_next_commit_ms(self, limit_ms):
        """Return how long it takes until a commit of a client that asks now is acknowledged."""
        before = self.commits_sent
        return self.run_until(
            lambda: any(entry.number > before for entry in self.acknowledged), limit_ms
        )

    # Gateways.

    def _poll(self, gateway):
        self.polls += 1
        failing = self.is_writing and self.now_ms - self.answered_ms >= WRITES_FAILING_MS
        question = DirectoryQuestion(
            gateway,
            "dc-a",
            self.polls,
            1,
            "",
            0,
            [],
            [SERVICE] if failing else [],
            {},
            False,
            dict(self.positions[gateway]),
        )
        self.handle(ce.MessageReceived(self.now_ms, question))

    def _follow(self, effect):
        if effect.address in GATEWAYS:
            if isinstance(effect.message, PrimaryLeaseAnswer):
                renew(self.leases[effect.address], self.now_ms, effect.message.leases)
            return []
        return super()._follow(effect)

    # Upstreams.

    def _reply(self, upstream, statement):
        if statement.kind is StatementKind.PAUSE:
            # Only a replica is paused, and no pause ends by another one with a lower term.
            is_pausable = self.pauses_primaries or not upstream.leads
            asked = int(statement.argument) if is_pausable else 0
            statement = statement._replace(argument=str(max(upstream.paused_term, asked)))
        was_leading = upstream.leads
        upstream.received = upstream.end_of_log()
        reply = super()._reply(upstream, statement)
        if was_leading and not upstream.leads:
            upstream.report_due_ms = self.now_ms
        return reply

    def deliver(self, instance, statement):
        """Let a statement of another control process reach an upstream."""
        self._reply(instance, statement)

    def report(self, upstream, number=0):
        """Let an upstream report itself; its next report follows after the usual interval."""
        upstream.report_due_ms = self.now_ms + REPORT_INTERVAL_MS
        super().report(upstream, number)

    def start(self, name, unheard_for_ms=0):
        """Start a new replica with a copy of the primary's log.

        Control hears of it after ``unheard_for_ms``.
        """
        primary = self.primary()
        instance = Instance(name, born_ms=self.now_ms, log=list(primary.log), term=primary.term)
        instance.report_due_ms = self.now_ms + unheard_for_ms
        self.upstreams[name] = instance
        return instance

    def leave(self, instance):
        """Let an upstream report that it shuts down; it goes on until it departs."""
        instance.state = UpstreamState.LEAVING
        self.report(instance)

    def depart(self, instance):
        """End an upstream that was leaving; its log is gone with it."""
        self.crash(instance)
        instance.leads = False
        self.handle(ce.UpstreamRemoved(self.now_ms, 0, instance.name))

    def crash(self, instance):
        """End an upstream without a word; its log stays on its disk."""
        instance.is_up = instance.reachable = False
        self.break_connections(instance.name)

    def come_back(self, instance, unheard_for_ms=0):
        """Start a crashed upstream again with its log; it leads if no other was promoted."""
        instance.is_up = instance.reachable = True
        instance.born_ms, instance.paused_term = self.now_ms, 0
        instance.report_due_ms = self.now_ms + unheard_for_ms

    def cut_from_control(self, instance):
        """Drop all that passes between an upstream and control; gateways still reach it."""
        instance.reachable = False

    def reconnect_to_control(self, instance):
        """Let an upstream that was cut off reach control again, on new connections."""
        instance.reachable = True
        self.break_connections(instance.name)

    # Control.

    def restart_control(self, late=None):
        """Restart all control processes: only their log is left.

        All upstreams report before a leader is elected, except for ``late``.
        """
        self._end_control(CONTROL_DOWN_MS)
        if late is not None:
            late.report_due_ms = self.now_ms + ELECTION_MS + FIRST_REPORT_MS
        self.run(ELECTION_MS)
        self.win_election()

    def replace_leader(self):
        """Let another control process lead, which has heard the same reports and probes."""
        directory, watermarks = self.state.directory_state.directory, self.state.watch.watermarks
        self._end_control(LEADER_CHANGE_MS)
        self.state.directory_state.directory = directory
        self.state.watch.watermarks = watermarks
        self.win_election()

    def _end_control(self, for_ms):
        self.control_is_up = False
        self.run(for_ms)
        self.restart()
        self.control_is_up = True

    # The platform.

    def _carry_out(self, effect):
        if isinstance(effect, cx.OrderFailover):
            self._send_order(effect)
        if isinstance(effect, cx.AcknowledgeReport):
            return []
        return super()._carry_out(effect)

    def _send_order(self, order):
        course = self.courses.pop(0) if self.courses else OrderCourse()
        if not course.delay_ms and not course.is_lost:
            outcome = self._execute(order)
            self.later(ORDER_ANSWER_MS, lambda: self._answer_order(order, outcome))
            return
        unanswered = FailoverOutcome.UNANSWERED
        self.later(ORDER_TIMEOUT_MS, lambda: self._answer_order(order, unanswered))
        if not course.is_lost:
            self.later(course.delay_ms, lambda: self._execute(order))

    def _answer_order(self, order, outcome):
        if self.control_is_up:
            event = ce.FailoverAnswered(self.now_ms, order.service, order.token, outcome)
            self.handle(event)

    def _execute(self, order):
        if self.is_fenced and order.token < self.token_seen:
            return FailoverOutcome.REFUSED
        self.token_seen = max(self.token_seen, order.token)
        target = self.upstreams[order.upstream]
        if not target.is_up:
            return FailoverOutcome.REFUSED
        if target is not self.primary():
            self.later(PROMOTION_MS, lambda: self._take_effect(target))
        return FailoverOutcome.ACCEPTED

    def _take_effect(self, target):
        if not target.is_up or target is self.primary():
            return
        term = 1 + max(item.term for item in self.upstreams.values())
        for item in self.upstreams.values():
            was_leading = item.leads
            if item is target or self.is_fenced or not item.is_up:
                item.leads = item is target
            if item.leads != was_leading:
                item.report_due_ms = self.now_ms
        target.term, target.paused_term = term, 0
        self.newest_primary = target
        self.promoted.append(target.name)
        held = set(target.log)
        self.lost += [(entry, target.name) for entry in self.acknowledged if entry not in held]


def running_service(is_fenced):
    """Return a service that has served for a while under a leader of control."""

    def driver(state, upstreams):
        return ReplicatedService(state, upstreams, is_fenced=is_fenced)

    service = leading_control(PRIMARY_LEASE_MS, is_fenced, LEASE_MARGIN_MS, driver, Instance)
    service.run(3_000)
    return service
