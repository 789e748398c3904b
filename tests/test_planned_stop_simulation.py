"""Planned stops of gateways that hold connections and of others, in simulated time."""

import pytest
from endivewick_bench.soak.history import Answered
from endivewick_core.gateway import holders
from gateway_simulation import DEFAULT_LOAD, SERVICE, Simulation
from testtools.assertions import assert_that
from testtools.matchers import Equals

SEEDS = 2
STOPS = 8
STOP_INTERVAL_MS = 1_300
GATEWAYS = 8
# What answers may say: success, or that nothing was kept, and why.
TRUE_OUTCOMES = {"ok", "own", "busy", "aborted", "bad_request", "unknown_statement", "read_only"}
# Statements that run for long, from clients that hardly pause.
SLOW_LOAD = DEFAULT_LOAD._replace(work_ms=300.0, pause_ms=5.0)


def choose_stopped(simulation):
    """Return two gateways that run; half of the time a holder is among them."""
    running = [
        address
        for address in simulation.addresses
        if simulation.now_ms >= simulation.nodes[address].starts_ms
        and simulation.nodes[address].state.draining_since_ms is None
    ]
    held = [item for item in running if holders.holds(simulation.nodes[item].state, SERVICE)]
    chosen = simulation.random.sample(running, min(2, len(running)))
    if held and simulation.random.random() < 0.5:
        chosen[:1] = held[:1]
    return chosen


def play(seed, **options):
    """Stop gateways while clients work; return the violations and the outcomes of answers."""
    simulation = Simulation(seed, gateways=GATEWAYS, clients=12, **options)
    simulation.run(2_000)
    for _ in range(STOPS):
        for address in choose_stopped(simulation):
            simulation.stop_gateway(address)
        simulation.run(STOP_INTERVAL_MS)
    simulation.run(8_000)
    broken = [f"{item.promise}: {item.text}" for item in simulation.recorder.violations]
    outcomes = {item.outcome for item in simulation.recorder.events if isinstance(item, Answered)}
    return broken, outcomes


# A planned stop of a holder or of another gateway cut off statements, or let them time out.
@pytest.mark.parametrize("holders", [False, True], ids=["own", "holders"])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_planned_stops_cut_off_nothing(seed, holders):
    broken, outcomes = play(seed, holders=holders)
    assert_that((broken[:5], outcomes - TRUE_OUTCOMES), Equals(([], set())))


# Statements that run until the end of the grace time were cut off.
@pytest.mark.parametrize("holders", [False, True], ids=["own", "holders"])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_planned_stops_answer_slow_statements(seed, holders):
    broken, _ = play(seed, holders=holders, load=SLOW_LOAD)
    assert_that(broken[:5], Equals([]))
