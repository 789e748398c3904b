"""Failover of a group's primary, simulated with the reducers."""

import matrix
import pytest
from driver import GROUP
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan
from workload import CONTRACT, Operator, Session, home_of, ready_driver

TARGET_MS = 9_000
AIM_MS = 3_000
SEEDS = range(4)


def promotions(driver):
    return [item for item in driver.history if item.kind == "promoted"]


def loaded(seed):
    driver = ready_driver(seed)
    sessions = [Session(driver, f"s{number}", matrix.PROXIES) for number in range(3)]
    driver.run(500)
    return driver, sessions


@pytest.mark.parametrize("seed", SEEDS)
def test_killed_primary_is_replaced_once_and_not_by_itself(seed):
    """Guards against the home proposing the killed primary itself.

    It counted as reachable, since its last response had come within the last second.
    """
    driver, _ = loaded(seed)
    driver.kill_upstream("u0")
    driver.run(3_000)
    found = promotions(driver)
    assert_that(found, HasLength(1))
    assert_that((found[0].term, found[0].upstream == "u0"), Equals((2, False)))


def gap_ms(driver, struck_ms):
    for item in driver.history:
        acknowledged = item.kind == "answer" and item.outcome == "ok" and item.term > 1
        if acknowledged and item.operation == "write":
            return item.at_ms - struck_ms
    return float("inf")


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("fault", ["primary killed", "primary isolated", "primary frozen"])
def test_writes_come_back_within_the_aim(seed, fault):
    driver, _ = loaded(seed)
    struck_ms = driver.now
    matrix.FAULTS[fault](driver, driver.processes["p0"])
    driver.run(TARGET_MS)
    assert_that(gap_ms(driver, struck_ms), LessThan(AIM_MS))


@pytest.mark.parametrize("seed", SEEDS)
def test_writes_come_back_when_primary_and_home_die_together(seed):
    driver, _ = loaded(seed)
    struck_ms = driver.now
    driver.kill(home_of(driver))
    driver.kill_upstream("u0")
    driver.run(TARGET_MS)
    assert_that(gap_ms(driver, struck_ms), LessThan(TARGET_MS))


@pytest.mark.parametrize("seed", SEEDS)
def test_writes_come_back_when_primary_home_and_leader_die_together(seed):
    driver, _ = loaded(seed)
    struck_ms = driver.now
    driver.kill(driver.leader())
    driver.kill(home_of(driver))
    driver.kill_upstream("u0")
    driver.run(TARGET_MS)
    assert_that(gap_ms(driver, struck_ms), LessThan(TARGET_MS))


def test_leaving_primary_loses_no_write_and_no_session():
    driver, _ = loaded(1)
    matrix.FAULTS["primary leaving"](driver, driver.processes["p0"])
    driver.run(4_000)
    outcomes = {item.outcome for item in driver.history if item.kind == "answer"}
    assert_that(outcomes & {"session_lost", "outcome_unknown"}, Equals(set()))
    assert_that(promotions(driver), HasLength(1))


def test_returned_primary_follows_the_new_one():
    driver, _ = loaded(1)
    matrix.FAULTS["primary isolated"](driver, driver.processes["p0"])
    driver.run(3_000)
    driver.heal()
    driver.run(3_000)
    database = driver.upstreams["u0"].database
    assert_that((database.role, database.term), Equals(("replica", 2)))


def test_fork_is_recorded_at_the_promoted_position():
    driver, _ = loaded(1)
    for name in ("u1", "u2"):
        driver.upstreams[name].lag_ms = 1
    driver.run(300)
    length = len(driver.upstreams["u1"].database.log)
    driver.kill_upstream("u0")
    driver.run(3_000)
    forks = driver.processes["p0"].state.replicated_state.groups[GROUP].forks
    assert_that([tuple(fork) for fork in forks], Equals([(2, length)]))


@pytest.mark.parametrize("seed", SEEDS)
def test_change_is_in_force_everywhere_within_the_target(seed):
    """With one control process cut off and one proxy restarted during the change."""
    driver, _ = loaded(seed)
    operator = Operator(driver, "other")
    cut = next(name for name in ("c0", "c1", "c2") if name != driver.leader())
    driver.isolate(cut)
    operator.change()
    driver.run(50)
    driver.restart("p1")
    driver.run_until(lambda: bool(operator.accepted))
    operator.stopped = True
    accepted_ms = driver.now
    revision = operator.accepted[0][2]

    def in_force():
        proxies = [driver.processes[name].state for name in matrix.PROXIES]
        return all(state.replicated_state.revision >= revision for state in proxies)

    driver.run_until(in_force)
    assert_that(driver.now - accepted_ms, LessThan(8_000))
    assert_that(in_force(), Equals(True))


def test_five_hundred_changes_survive_a_restart_of_everything():
    driver = ready_driver(1)
    operator = Operator(driver, "other")
    operator.change()
    driver.run_until(lambda: len(operator.accepted) >= 500, limit_ms=200_000)
    operator.stopped = True
    driver.run(1_000)
    before = driver.processes["p0"].state.replicated_state.contracts["other"]
    for name in list(driver.processes):
        driver.restart(name)
    driver.run(6_000)
    for name in driver.processes:
        known = driver.processes[name].state.replicated_state.contracts["other"]
        assert_that(known, Equals(before))
    assert_that(before.version, Equals(operator.accepted[-1][1]))


def lost_writes(seed):
    """Return the acknowledged writes that the new primary's log lacks."""
    driver, _ = loaded(seed)
    for name in ("u1", "u2"):
        driver.upstreams[name].lag_ms = 1
    driver.run(100)
    driver.kill_upstream("u0")
    struck_ms = driver.now
    driver.run(1_500)
    for name in ("u1", "u2"):
        driver.upstreams[name].lag_ms = 0
    driver.run(3_500)
    assert_that(promotions(driver), HasLength(1))
    log = driver.upstreams[promotions(driver)[0].upstream].database.log
    held = {(item.key, item.value) for item in log}
    acknowledged = [
        (item.key, item.value)
        for item in driver.history
        if item.kind == "answer" and item.operation == "write" and item.outcome == "ok"
        if item.key and item.at_ms <= struck_ms
    ]
    assert_that(len(acknowledged) > 5, Equals(True))
    return [item for item in acknowledged if item not in held]


def test_write_that_a_replica_holds_survives_its_primary(monkeypatch):
    """With ``acknowledge: replica`` no acknowledged write is lost; without it some are."""
    assert_that(any(lost_writes(seed) for seed in range(8)), Equals(True))
    monkeypatch.setitem(CONTRACT, "acknowledge", "replica")
    for seed in range(8):
        assert_that(lost_writes(seed), Equals([]))
