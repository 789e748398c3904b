"""Each checker fails on a decision that is broken on purpose, and passes on the product's own."""

import matrix
import pytest
from endivewick_bench.checkers import check_all
from endivewick_core.control import election
from endivewick_core.exceptions import FailureType
from endivewick_core.proxy import (
    answers,
    configuration,
    deduplication,
    dispatch,
    homes,
    ingress,
    outcomes,
    replicas,
    transactions,
)
from endivewick_core.proxy.state import ConnectionState, Instance
from faults import primary_of
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals
from workload import Operator, Session, home_of, ready_driver

SEED = 1
PROXIES = matrix.PROXIES


def broken_promises(history):
    return {violation.promise for violation in check_all(history)}


def run_matrix(step, fault, seeds=(1, 2, 3)):
    found = set()
    for seed in seeds:
        found |= broken_promises(matrix.run_scenario(step, fault, seed).history)
    return found


def test_session_checker_finds_reads_of_any_replica(monkeypatch):
    monkeypatch.setattr(replicas, "is_valid", lambda *arguments: True)
    found = run_matrix("request: forwarded", "replicas lag")
    assert_that(found, Contains("read_your_writes"))


def late_acknowledgement(seed):
    """Freeze the home before it answers a write, replace home and primary, then thaw it."""
    driver = ready_driver(seed)
    sessions = [Session(driver, f"s{number}", PROXIES) for number in range(3)]
    frozen = []

    def watch(process, effect):
        is_answer = type(effect).__name__ == "ForwardAnswer" and effect.answer.is_write
        if is_answer and not frozen and effect.answer.upstream:
            frozen.append(process.name)
            driver.freeze(process.name)
            driver.kill_upstream(effect.answer.upstream)

    driver.watch = watch
    driver.run(1_700)
    for name in frozen:
        driver.thaw(name)
    driver.run(4_000)
    for session in sessions:
        session.stopped = True
    driver.run(2_500)
    return driver.history


def test_replaced_primary_checker_finds_unbounded_grants(monkeypatch):
    monkeypatch.setattr(answers, "extend_grant", lambda *arguments: 60_000)
    monkeypatch.setattr(matrix, "FAULT_MS", 6_000)
    found = set()
    for seed in range(6):
        found |= broken_promises(late_acknowledgement(seed))
        found |= broken_promises(
            matrix.run_scenario("request: answered by home", ENTRY_FROZEN, seed).history
        )
    assert_that(found, Contains("replaced_primary"))


ENTRY_FROZEN = "an entry frozen while the primary is killed"


def _freeze_entry(driver, actor):
    for name in PROXIES:
        if name != actor.name:
            driver.freeze(name)
    driver.after(200, lambda: driver.kill_upstream(primary_of(driver)))


matrix.FAULTS_FOR_CHECKERS = {ENTRY_FROZEN: _freeze_entry}


@pytest.fixture(autouse=True)
def with_extra_faults(monkeypatch):
    faults = {**matrix.FAULTS, **matrix.FAULTS_FOR_CHECKERS}
    monkeypatch.setattr(matrix, "FAULTS", faults)


@pytest.mark.parametrize("seed", range(6))
def test_late_acknowledgement_of_a_replaced_primary_is_withheld(seed):
    assert_that(broken_promises(late_acknowledgement(seed)), Equals(set()))
    history = matrix.run_scenario("request: answered by home", ENTRY_FROZEN, seed).history
    assert_that(broken_promises(history), Equals(set()))


def test_transaction_checker_finds_shared_connections(monkeypatch):
    real_begin = transactions.begin

    def begin(home, work, connection, now_ms):
        identity = real_begin(home, work, connection, now_ms)
        instance = home.instances[connection.upstream]
        connection.state = ConnectionState.IDLE
        instance.idle.append(connection.number)
        return identity

    monkeypatch.setattr(transactions, "begin", begin)
    driver = ready_driver(SEED)
    for number in range(6):
        Session(driver, f"s{number}", PROXIES)
    driver.run(5_000)
    assert_that(broken_promises(driver.history), Contains("transactions"))


def test_whole_answer_checker_finds_shared_connections(monkeypatch):
    real_send = dispatch._send

    def send(now_ms, instance, connection, work, known):
        instance.idle.append(connection.number)
        return real_send(now_ms, instance, connection, work, known)

    monkeypatch.setattr(dispatch, "_send", send)
    driver = ready_driver(SEED)
    for number in range(4):
        Session(driver, f"s{number}", PROXIES)
    driver.run(3_000)  # until two statements share a connection
    assert_that(broken_promises(driver.history), Contains("whole_answers"))


def test_not_run_checker_finds_refusals_of_work_that_ran(monkeypatch):
    claimed = FailureType("outcome_unknown", 504, "not_run")
    monkeypatch.setattr(outcomes, "OUTCOME_UNKNOWN", claimed)
    monkeypatch.setattr(ingress, "OUTCOME_UNKNOWN", claimed)
    found = run_matrix("request: answered by home", "acting process killed")
    assert_that(found, Contains("not_run"))


def home_dies_after_a_purchase(seed):
    """Kill the home when an upstream has run a request id, before the answer is on its way."""
    driver = ready_driver(seed)
    for number in range(3):
        Session(driver, f"s{number}", PROXIES)
    killed = []
    real_apply = driver._apply

    def apply(upstream, statement):
        real_apply(upstream, statement)
        if statement["key"].startswith("once.") and not killed:
            killed.append(home_of(driver))
            driver.kill(killed[0])

    driver._apply = apply
    driver.run(8_000)
    return driver.history


def test_once_checker_finds_ids_of_an_older_epoch(monkeypatch):
    real_decode = deduplication.decode_request_id

    class AnyEpoch(int):
        def __ne__(self, other):
            return False

    def decode(key, text):
        request_id = real_decode(key, text)
        return request_id._replace(home_epoch=AnyEpoch(), expires_ms=10**12)

    monkeypatch.setattr(deduplication, "decode_request_id", decode)
    found = set()
    for seed in range(8):
        found |= broken_promises(home_dies_after_a_purchase(seed))
    assert_that(found, Contains("at_most_once"))


@pytest.mark.parametrize("seed", range(8))
def test_purchase_runs_once_when_its_home_dies(seed):
    assert_that(broken_promises(home_dies_after_a_purchase(seed)), Equals(set()))


def test_leaving_checker_finds_new_work(monkeypatch):
    monkeypatch.setattr(Instance, "leaving", property(lambda instance: False))
    found = run_matrix("request: forwarded", "primary leaving")
    assert_that(found, Contains("leaving"))


def test_graceful_stop_checker_finds_abandoned_work(monkeypatch):
    def release(state, now_ms, home):
        if state.draining_since_ms is None:
            return []
        return homes._drop(state, now_ms, home)

    monkeypatch.setattr(homes, "check_release", release)
    monkeypatch.setattr("driver.RUN_MS", 100)
    found = run_matrix("request: sent to upstream", "planned stop of the home")
    assert_that(found, Contains("graceful_stop"))


def cut_off_entry(seed):
    """Cut one proxy off from control only, for longer than a change may take."""
    driver = ready_driver(seed)
    entry_name = next(name for name in PROXIES if name != home_of(driver))
    Session(driver, "s0", [entry_name])
    Operator(driver, "other").change()
    for control in driver.control_settings.members:
        driver.cut(entry_name, control)
    driver.run(12_000)
    return driver.history


def test_configuration_checker_finds_work_at_an_old_revision(monkeypatch):
    monkeypatch.setattr(ingress, "configuration_fresh", lambda *arguments: True)
    assert_that(broken_promises(cut_off_entry(SEED)), Contains("configuration"))


def test_proxy_cut_off_from_control_stops_taking_work():
    history = cut_off_entry(SEED)
    assert_that(broken_promises(history), Equals(set()))
    late = [item for item in history if item.kind == "answer" and item.at_ms > 8_000]
    outcomes = {item.outcome for item in late}
    assert_that(outcomes, Equals({"configuration_stale"}))


def test_configuration_checker_finds_a_revert(monkeypatch):
    real_apply = configuration._apply

    def apply(state, now_ms, reply):
        effects = real_apply(state, now_ms, reply)
        if len(reply.entries) > 1:
            state.replicated_state.revision -= len(reply.entries) + 1
        return effects

    monkeypatch.setattr(configuration, "_apply", apply)
    driver = ready_driver(SEED)
    Operator(driver, "other").change()
    driver.run(3_000)
    assert_that(broken_promises(driver.history), Contains("configuration"))


def test_driver_finds_two_leaders_where_votes_are_given_twice(monkeypatch):
    monkeypatch.setattr(election, "_find_refusal", lambda *arguments: "")
    found = []
    for seed in range(10):
        driver = ready_driver(seed)
        Operator(driver, "other").change()
        for _ in range(6):
            driver.run(400)
            leader = driver.leader()
            if leader is not None:
                driver.isolate(leader)
                driver.run(2_500)
                driver.heal()
        found += driver.faults
    assert_that(bool(found), Equals(True))
