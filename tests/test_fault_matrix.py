"""Every fault at every step, over the reducers; docs/PROOFS.md explains the table it prints."""

import matrix
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

SEED = 1
TWICE_STEPS = (
    "request: sent to upstream",
    "failover: proposed",
    "change: spread",
    "upstream: leaving",
    "home: released",
)


@pytest.mark.parametrize("step", matrix.STEPS)
def test_every_fault_at_step(step, record_property):
    for fault in matrix.FAULTS:
        scenario = matrix.run_scenario(step, fault, SEED)
        found = (scenario.violations, scenario.faults, scenario.recovered, scenario.reached)
        assert_that(found, Equals(([], [], True, True)), f"{step} / {fault}")
        for promise, exercised in matrix.EXERCISED.items():
            if exercised(scenario.history):
                record_property("cell", (promise, fault))


@pytest.mark.parametrize("fault", matrix.FAULTS)
def test_every_fault_twice(fault, record_property):
    for step in TWICE_STEPS:
        scenario = matrix.run_scenario(step, fault, SEED, twice=True)
        found = (scenario.violations, scenario.faults, scenario.recovered, scenario.reached)
        assert_that(found, Equals(([], [], True, True)), f"{step} / {fault}, twice")
        for promise, exercised in matrix.EXERCISED.items():
            if exercised(scenario.history):
                record_property("cell", (promise, f"{fault}, twice"))
