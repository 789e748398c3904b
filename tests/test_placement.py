"""Homes: their spread over proxies, their hand-over, and their leases."""

from collections import Counter

import pytest
from driver import GROUP
from endivewick_core.codec import decode
from endivewick_core.commands import COMMANDS, RegisterUpstream, ReleaseHome
from endivewick_core.control.effects import Send
from endivewick_core.control.events import (
    BootstrapRequest,
    MessageReceived,
    OperatorRequested,
    Tick,
)
from endivewick_core.control.placement import fair_share
from endivewick_core.control.reducer import reduce
from endivewick_core.control.state import ControlSettings, ControlState
from endivewick_core.messages import HeartbeatReply, Member, ProxyHeartbeat
from endivewick_core.replicated_state import apply_command, decode_configuration
from matrix import PROXIES
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan
from workload import Session, answers_of, home_of, ready_driver

GROUPS = 24
STEP_MS = 500


class Leader:
    """A control process that leads alone, with groups and proxies that heartbeat."""

    def __init__(self):
        settings = ControlSettings({"c": "c:1"}, {"c": "c:2"})
        self.state = ControlState(settings, Member("c#1", "c", "c:1"))
        self.now_ms = 1_000_000
        self.replies = {}
        reduce(self.state, OperatorRequested(self.now_ms, 1, BootstrapRequest()))
        for number in range(GROUPS):
            name = f"group-{number}"
            command = RegisterUpstream(f"{name}-1", name, "u:1", "d1", 3, 20, "running")
            apply_command(self.state.replicated_state, 0, command)
        for _ in range(4):
            self.step([])

    def step(self, proxies, draining=()):
        self.now_ms += STEP_MS
        for name in proxies:
            heartbeat = ProxyHeartbeat(
                name, name, name, name, "d1", 1, self.state.commit_index, name in draining, []
            )
            reduce(self.state, MessageReceived(self.now_ms, heartbeat))
        for effect in reduce(self.state, Tick(self.now_ms, 0.5)):
            if isinstance(effect, Send) and isinstance(effect.message, HeartbeatReply):
                self.replies[effect.address] = effect.message

    def homes(self):
        return Counter(group.home for group in self.state.replicated_state.groups.values())


@pytest.fixture
def leader():
    return Leader()


def test_groups_spread_within_the_share(leader):
    for _ in range(3):
        leader.step(["a", "b", "c"])
    homes = leader.homes()
    assert_that(sum(homes.values()), Equals(GROUPS))
    assert_that(max(homes.values()) <= fair_share(leader.state, 3), Equals(True))


def test_groups_of_a_dead_proxy_move_only_after_its_lease(leader):
    for _ in range(3):
        leader.step(["a", "b", "c"])
    held = leader.homes()["c"]
    for _ in range(4):
        leader.step(["a", "b"])
    assert_that(leader.homes()["c"], Equals(held))
    for _ in range(2):
        leader.step(["a", "b"])
    assert_that(leader.homes()["c"], Equals(0))


def test_a_dead_proxy_moves_no_group_of_others(leader):
    for _ in range(3):
        leader.step(["a", "b", "c"])
    before = {name: group.home for name, group in leader.state.replicated_state.groups.items()}
    for _ in range(8):
        leader.step(["a", "b"])
    for name, group in leader.state.replicated_state.groups.items():
        if before[name] != "c":
            assert_that(group.home, Equals(before[name]))


def test_a_new_proxy_is_given_its_share(leader):
    """After restarts some proxies held everything and others nothing."""
    for _ in range(3):
        leader.step(["a", "b"])
    for _ in range(12 * GROUPS):
        leader.step(["a", "b", "c"])
        for name, reply in leader.replies.items():
            for group in reply.release:
                epoch = leader.state.replicated_state.groups[group].home_epoch
                index = leader.state.commit_index
                apply_command(leader.state.replicated_state, index, ReleaseHome(group, epoch))
            leader.replies[name] = reply._replace(release=[])
    assert_that(leader.homes()["c"], GreaterThan(0))
    assert_that(max(leader.homes().values()) <= fair_share(leader.state, 3), Equals(True))


def test_a_draining_proxy_is_given_nothing(leader):
    for _ in range(3):
        leader.step(["a", "b"], draining=["b"])
    assert_that(leader.homes(), Equals(Counter({"a": GROUPS})))


def test_new_leader_waits_for_leases_it_does_not_know(leader):
    for _ in range(3):
        leader.step(["a", "b"])
    leader.state.leader_state.leases.clear()
    leader.state.leader_state.since_ms = leader.now_ms
    held = leader.homes()
    for _ in range(4):
        leader.step(["b"])
    assert_that(leader.homes(), Equals(held))
    for _ in range(2):
        leader.step(["b"])
    assert_that(leader.homes(), Equals(Counter({"b": GROUPS})))


def test_home_hands_a_group_over_without_cutting_off_a_request():
    driver = ready_driver(1)
    sessions = [Session(driver, f"s{number}", PROXIES) for number in range(4)]
    driver.run(500)
    old = home_of(driver)
    driver.processes[old].state.homes[GROUP].handing_over = True
    released = []

    def watch(process, effect):
        if type(effect).__name__ == "Send" and isinstance(effect.message, ProxyHeartbeat):
            for proposal in effect.message.proposals:
                if isinstance(decode(COMMANDS, proposal), ReleaseHome):
                    released.append(driver.now)

    driver.watch = watch
    driver.run(2_500)
    assert_that(len(released), GreaterThan(0))
    assert_that(answers_of(driver.history, "outcome_unknown"), Equals(0))
    assert_that(answers_of(driver.history, "transaction_lost"), Equals(0))
    waits = [
        answer.at_ms - invoke.at_ms
        for invoke, answer in pairs(driver.history)
        if answer.operation in ("read", "write") and answer.outcome == "ok"
    ]
    assert_that(max(waits), LessThan(1_000))
    for session in sessions:
        session.stopped = True


def pairs(history):
    invoked = {item.tag: item for item in history if item.kind == "invoke"}
    return [(invoked[item.tag], item) for item in history if item.kind == "answer"]


def test_starting_proxies_share_one_snapshot_and_catch_up(leader):
    """The snapshot was once encoded for each of them, which held the leader up."""
    leader.state.log.compact(leader.state.commit_index)
    late = ProxyHeartbeat("late", "late", "late", "late", "d1", 1, 0, False, [])
    replies = []
    for _ in range(2):
        leader.now_ms += STEP_MS
        reduce(leader.state, MessageReceived(leader.now_ms, late))
        for effect in reduce(leader.state, Tick(leader.now_ms, 0.5)):
            if isinstance(effect, Send):
                replies.append(effect.message)
    assert_that(replies[0].machine is replies[1].machine, Equals(True))
    replicated_state = decode_configuration(replies[1].machine)
    assert_that(replicated_state.revision, Equals(replies[1].machine_index))
    follow = late._replace(revision=replies[1].machine_index)
    leader.now_ms += STEP_MS
    reduce(leader.state, MessageReceived(leader.now_ms, follow))
    for effect in reduce(leader.state, Tick(leader.now_ms, 0.5)):
        if isinstance(effect, Send):
            indexes = [entry.log_index for entry in effect.message.entries]
            wanted = list(range(follow.revision + 1, effect.message.commit_index + 1))
            assert_that(indexes, Equals(wanted))
