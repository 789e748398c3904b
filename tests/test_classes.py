"""Short and long work: slots, learned run times, and reads that outlast a short attempt."""

import pytest
from driver import GROUP
from endivewick_core.proxy.events import CallerRequest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan
from workload import CUSTOMER, home_of, ready_driver

LONG_MS = 2_500


@pytest.fixture
def driver():
    return ready_driver(1)


def ask(driver, answers, name, run_ms, work_class="", deadline_ms=20_000):
    statement = {"name": name, "op": "get", "key": "k", "run_ms": run_ms}
    request = CallerRequest("read", CUSTOMER, statement, work_class, "", "", deadline_ms, "")
    asked_ms = driver.now

    def answered(effect):
        answers.append((name, effect.failure, driver.now - asked_ms))

    driver.ask(home_of(driver), request, answered)


def home(driver):
    return driver.processes[home_of(driver)].state.homes[GROUP]


def test_undeclared_long_read_gets_its_answer(driver):
    """Guards against ending a long read after each short attempt until all attempts are used up."""
    answers = []
    ask(driver, answers, "report", LONG_MS)
    driver.run(10_000)
    assert_that([failure for _, failure, _ in answers], Equals([None]))


def test_long_run_time_is_learnt_before_the_first_ends(driver):
    answers = []
    ask(driver, answers, "report", LONG_MS)
    driver.run(400)
    ask(driver, answers, "report", LONG_MS)
    ask(driver, answers, "report", LONG_MS)
    driver.run(50)
    assert_that(answers, HasLength(0))
    running = [instance.running_long for instance in home(driver).instances.values()]
    assert_that(max(running), Equals(1))


@pytest.mark.parametrize("work_class", ["long", ""])
def test_short_reads_pass_a_crowd_of_long_ones(driver, work_class):
    answers = []
    ask(driver, answers, "lookup", 3)
    driver.run(200)
    for _ in range(20):
        ask(driver, answers, "report", LONG_MS, work_class)
    for _ in range(20):
        driver.run(100)
        ask(driver, answers, "lookup", 3)
    driver.run(100)
    spent = [spent_ms for name, _, spent_ms in answers if name == "lookup"]
    assert_that(spent, HasLength(21))
    assert_that(max(spent), LessThan(50))


def test_unknown_statements_leave_a_slot_for_known_ones(driver):
    answers = []
    ask(driver, answers, "lookup", 3)
    driver.run(200)
    for number in range(30):
        ask(driver, answers, f"new-{number}", 100)
    driver.run(5)
    for instance in home(driver).instances.values():
        assert_that(instance.running_long < instance.slots, Equals(True))


def test_slots_are_given_back_when_everything_has_ended(driver):
    answers = []
    for number in range(12):
        ask(driver, answers, f"n-{number % 3}", LONG_MS if number % 3 else 3)
    driver.run(40_000)
    held = [(item.running, item.running_long) for item in home(driver).instances.values()]
    assert_that(held, Equals([(0, 0)] * 3))
    assert_that(home(driver).connections_held, Equals({}))
