"""Gateways, upstreams and control together; each test names its load pattern.

Every check is made on a run with weights. Where the pattern does harm without them, the same seed
is run without, so that the test does not pass by itself.
"""

import pytest
from endivewick_core.routes import Freshness
from endivewick_core.statements import Fault
from gateway_simulation import DEFAULT_LOAD, Load
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan
from weighted_simulation import READS, WeightedSimulation

MODERATE = Load(300.0, 15.0, 4, 32, 60, Freshness.BOUNDED)
RARE = Load(1_500.0, 15.0, 4, 32, 60, Freshness.BOUNDED)  # one statement of a gateway a second
NEARLY_FULL = Load(300.0, 12.0, 4, 4, 60, Freshness.BOUNDED)  # four wait, the next are rejected
WRITE_SHARE = 0.08


def started(seed, load=MODERATE, weights=True, **changes):
    """Return a simulation after its first seconds, with its counters at zero."""
    fields = {"write_share": WRITE_SHARE, **changes}
    simulation = WeightedSimulation(seed, load=load, weights=weights, **fields)
    simulation.run(4_000)
    simulation.arrived.clear()
    simulation.rejected.clear()
    simulation.answered.clear()
    return simulation


def slowest_read_ms(simulation):
    return max(item.took_ms for item in simulation.answered if item.kind in READS)


def failed_reads(simulation):
    return [item for item in simulation.answered if item.kind in READS and item.fault is not None]


def arrived_at(simulation, member, span_ms):
    """Run for ``span_ms``; return how many statements arrived at an upstream."""
    simulation.arrived.clear()
    simulation.run(span_ms)
    return simulation.arrived[member]


@pytest.mark.parametrize("seed", [1, 2])
def test_no_read_is_late_or_refused_while_an_upstream_answers_nothing(seed):
    """Pattern: an upstream accepts connections and answers nothing for four seconds."""
    slowest = {}
    for weights in (False, True):
        simulation = started(seed, weights=weights)
        simulation.unresponsive.add("u1")
        simulation.run(4_000)
        slowest[weights] = slowest_read_ms(simulation)
        assert_that(failed_reads(simulation), Equals([]))
    assert_that(slowest[True], LessThan(350))
    assert_that(slowest[False], GreaterThan(350))


def test_no_read_is_refused_unsent_while_transactions_run_and_an_upstream_answers_nothing():
    """Pattern: an upstream answers nothing, and clients run transactions of several statements.

    Seen before: "no upstream accepted the statement in time", with two other upstreams idle.
    """
    for seed in (1, 2, 3):
        simulation = started(seed, write_share=None)
        simulation.unresponsive.add("u1")
        simulation.run(4_000)
        refused = [item for item in failed_reads(simulation) if item.fault is Fault.BUSY]
        assert_that(refused, Equals([]))
        assert_that(simulation.recorder.violations, Equals([]))


def test_reads_leave_an_unresponsive_upstream_at_all_gateways_within_a_few_hundred_milliseconds():
    """Pattern: an upstream becomes unresponsive; thirty gateways each read once a second."""
    simulation = started(1, RARE, gateways=30, clients=60, write_share=0.0)
    usual = arrived_at(simulation, "u1", 1_000)
    simulation.unresponsive.add("u1")
    simulation.run(500)
    assert_that(arrived_at(simulation, "u1", 1_000), LessThan(usual // 4))


def test_gateways_without_control_leave_an_unresponsive_upstream_by_their_own_figures():
    """Pattern: control can't be reached while an upstream becomes unresponsive."""
    simulation = started(1)
    simulation.control_is_cut_off = True
    simulation.unresponsive.add("u1")
    simulation.run(2_500)
    assert_that(failed_reads(simulation), Equals([]))
    assert_that(slowest_read_ms(simulation), LessThan(350))


def test_rare_reads_leave_a_gray_failing_upstream_by_what_others_found():
    """Pattern: an upstream resets half of its statements; each gateway reads once a second.

    Alone, each gateway has to find out by itself, with failures of its own.
    """
    later = {}
    for is_cut_off in (False, True):
        later[is_cut_off] = 0
        for seed in (1, 2, 3):
            simulation = started(seed, RARE, gateways=30, clients=60, write_share=0.0)
            simulation.control_is_cut_off = is_cut_off
            simulation.failing["u1"] = 0.5
            simulation.run(2_000)
            later[is_cut_off] += arrived_at(simulation, "u1", 3_000)
            assert_that(failed_reads(simulation), Equals([]))
    assert_that(later[False], LessThan(0.75 * later[True]))


def test_reads_return_to_an_upstream_in_steps():
    """Pattern: an upstream that failed for four seconds is well again."""
    simulation = started(1)
    usual = arrived_at(simulation, "u1", 2_000) / 2
    simulation.failing["u1"] = 0.7
    simulation.run(4_000)
    simulation.failing.clear()
    first = arrived_at(simulation, "u1", 1_000)
    assert_that(first, LessThan(0.6 * usual))
    simulation.run(8_000)
    assert_that(arrived_at(simulation, "u1", 2_000) / 2, GreaterThan(0.6 * usual))


def test_no_read_is_late_while_an_upstream_flaps():
    """Pattern: an upstream is unresponsive for 1,200 ms and well for 800 ms, three times."""
    simulation = started(1)
    for _ in range(3):
        simulation.unresponsive.add("u1")
        simulation.run(1_200)
        simulation.unresponsive.clear()
        simulation.run(800)
    assert_that(failed_reads(simulation), Equals([]))
    assert_that(slowest_read_ms(simulation), LessThan(350))


def test_reads_are_spread_by_free_slots_while_one_data_centre_has_the_clients():
    """Pattern: clients of one data centre fill the nearest upstream; others have free slots."""
    rejected, busiest = {}, {}
    for weights in (False, True):
        rejected[weights] = busiest[weights] = 0
        for seed in (1, 2, 3):
            simulation = started(
                seed, NEARLY_FULL, weights, gateways=12, clients=110, used_centres=("dc-a",)
            )
            simulation.run(6_000)
            rejected[weights] += sum(simulation.rejected.values())
            mean = sum(simulation.arrived.values()) / 3
            busiest[weights] += max(simulation.arrived.values()) / mean / 3
    assert_that(rejected[True], LessThan(0.85 * rejected[False]))
    assert_that(busiest[True], LessThan(busiest[False]))


def make_unresponsive(simulation):
    member = simulation.random.choice(sorted(simulation.database.members))
    simulation.unresponsive.add(member)
    simulation.schedule(
        simulation.random.uniform(300, 2_000), lambda: simulation.unresponsive.discard(member)
    )


def make_failing(simulation):
    member = simulation.random.choice(sorted(simulation.database.members))
    simulation.failing[member] = simulation.random.uniform(0.1, 0.9)
    simulation.schedule(
        simulation.random.uniform(300, 3_000), lambda: simulation.failing.pop(member, None)
    )


@pytest.mark.parametrize("holders", [False, True], ids=["own", "holders"])
@pytest.mark.parametrize("seed", range(12))
def test_promises_hold_under_random_faults_with_weights(seed, holders):
    """Guards against answers that are lost, doubled or stale since a request was moved.

    The faults are those of test_gateway_search, and upstreams that answer nothing or fail.
    """
    simulation = WeightedSimulation(seed, 3, 9, load=DEFAULT_LOAD, weights=True)
    simulation.holders = holders
    simulation.run(1_500)
    injected = []
    for _ in range(30):
        if simulation.random.random() < 0.3:
            fault = simulation.random.choice((make_unresponsive, make_failing))
            fault(simulation)
            injected.append(fault.__name__)
        else:
            injected.append(simulation.inject_fault())
        simulation.run(simulation.random.uniform(20, 500))
    simulation.run(3_000)
    before = [client.served for client in simulation.clients]
    simulation.run(12_000)
    served = [client.served for client in simulation.clients]
    unserved = [now for now, known in zip(served, before, strict=True) if now == known]
    broken = [f"{item.promise}: {item.text}" for item in simulation.recorder.violations]
    assert_that((broken[:5], unserved), Equals(([], [])), f"faults: {injected}")
