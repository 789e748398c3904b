"""A random search over the control quorum: crashes, cuts, freezes, lost disks, lost messages.

Each walk draws its actions from a seed. The driver checks after every step that no index is
committed twice with different content, that no term has two leaders and that no group has two
holders; at the end of a walk every accepted change must be in force at every process.
"""

import pytest
from driver import Driver
from matrix import _accepted_in_force, _all_vote
from testtools.assertions import assert_that
from testtools.matchers import Equals
from workload import CUSTOMER, Operator, ready_driver

WALKS = 24
ACTIONS = 30
PAUSE_MS = 400
CONTROLS = ("c0", "c1", "c2")


def act(driver: Driver) -> None:
    """Do one thing to the cluster; never lose a second disk before the first is replaced."""
    name = driver.random.choice(CONTROLS)
    other = driver.random.choice([item for item in driver.processes if item != name])
    choice = driver.random.randrange(10)
    if choice == 0:
        driver.kill(name)
    elif choice == 1:
        driver.restart(name)
    elif choice == 2:
        driver.isolate(name)
    elif choice == 3:
        driver.cut(name, other, both=False)
    elif choice == 4:
        driver.freeze(name)
    elif choice == 5:
        driver.freeze(other)
    elif choice == 6 and _all_vote(driver):
        driver.restart(name, wipe=True)
    elif choice == 7:
        driver.loss = driver.random.choice([0.0, 0.1, 0.3])
    else:
        driver.heal()


def walk(seed: int) -> tuple[Driver, list[str]]:
    """Run one walk; return its driver and what was wrong."""
    driver = ready_driver(seed)
    operators = [Operator(driver, "other", name) for name in ("ann", "bob")]
    for operator in operators:
        operator.change()
    for _ in range(ACTIONS):
        act(driver)
        driver.run(driver.random.randrange(PAUSE_MS))
    driver.heal()
    driver.run(10_000)
    for operator in operators:
        operator.stopped = True
    driver.run(3_000)
    faults = driver.faults + _accepted_in_force(driver, operators)
    if not any(operator.accepted for operator in operators):
        faults.append("no change was accepted")
    return driver, faults


@pytest.mark.parametrize("seed", range(WALKS))
def test_walk_keeps_every_accepted_change(seed, record_property):
    driver, faults = walk(seed)
    record_property("steps", driver.steps)
    assert_that(faults, Equals([]))
    assert_that(CUSTOMER in driver.processes["p0"].state.replicated_state.contracts, Equals(True))


def test_walk_fails_where_a_wiped_disk_keeps_its_identity(monkeypatch):
    """A voter that lost its disk but votes again as itself can lose accepted changes."""

    def restart(self, name, wipe=False):
        process = self.processes[name]
        if wipe:
            process.disk = type(process.disk)(process.disk.identity)
        if process.alive:
            self.kill(name)
        self._start(process)
        if wipe:
            leader = self.processes[self.leader() or name].state
            process.state.snapshot_membership = leader.membership
            process.state.role = type(process.state.role).FOLLOWER

    monkeypatch.setattr(Driver, "restart", restart)
    assert_that(any(walk(seed)[1] for seed in range(WALKS)), Equals(True))


def test_a_membership_that_only_the_leader_has_waits_for_its_return():
    """A replaced voter's lost identity is removed first; then two voters need each other."""
    driver = ready_driver(1)
    leader = driver.leader()
    lost, stays = (name for name in CONTROLS if name != leader)

    def voters(name):
        return len(driver.processes[name].state.membership.voters)

    driver.restart(lost, wipe=True)

    def learner_has_whole_log():
        state = driver.processes[leader].state
        (learner,) = state.membership.learners
        return state.leader_state.progress[learner.member_id].match_index >= state.log.last_index

    while not (voters(leader) == voters(stays) == 2 and learner_has_whole_log()):
        driver.run(1)
    driver.cut(leader, stays, both=False)
    driver.cut(leader, lost, both=False)
    while voters(leader) == 2:
        driver.run(1)
    assert_that((voters(stays), voters(lost)), Equals((2, 2)))
    driver.kill(leader)
    driver.heal()
    driver.run(10_000)
    roles = {str(driver.processes[name].state.role) for name in (stays, lost)}
    assert_that("leader" in roles, Equals(False))
    driver.restart(leader)
    driver.run(10_000)
    assert_that(all(voters(name) == 3 for name in CONTROLS), Equals(True))
