"""Gateways under random faults in simulated time; a seed repeats exactly."""

import pytest
from gateway_simulation import DEFAULT_LOAD, Simulation
from testtools.assertions import assert_that
from testtools.matchers import Equals

SEEDS = 15
FAULTS = 30
RECOVERY_MS = 12_000  # the platform's time limit for a system to serve again


# Fewer connections than the clients' tenants need at once, so that connections change tenants.
TENANT_LOAD = DEFAULT_LOAD._replace(connection_limit=10)


def play(seed, holders, fenced, **options):
    """Run overlapping faults; return violations, clients not served afterwards and the faults."""
    simulation = Simulation(seed, holders=holders, fenced=fenced, **options)
    simulation.run(1_500)
    injected = []
    for _ in range(FAULTS):
        injected.append(simulation.inject_fault())
        simulation.run(simulation.random.uniform(20, 500))
    simulation.run(3_000)
    before = [client.served for client in simulation.clients]
    simulation.run(RECOVERY_MS)
    unserved = [
        client.name
        for client, known in zip(simulation.clients, before, strict=True)
        if client.served == known
    ]
    broken = [f"{item.promise}: {item.text}" for item in simulation.recorder.violations]
    return broken, unserved, injected


@pytest.mark.parametrize("fenced", [True, False], ids=["fenced", "leased"])
@pytest.mark.parametrize("holders", [False, True], ids=["own", "holders"])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_promises_hold_under_random_faults(seed, holders, fenced):
    broken, unserved, injected = play(seed, holders, fenced)
    assert_that((broken[:5], unserved), Equals(([], [])), f"faults: {injected}")


@pytest.mark.parametrize("holders", [False, True], ids=["own", "holders"])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_promises_hold_with_tenants_under_random_faults(seed, holders):
    """No statement may run on another tenant's connection or under a key revoked for long."""
    options = {"has_tenants": True, "load": TENANT_LOAD, "clients": 9}
    broken, unserved, injected = play(seed, holders, True, **options)
    assert_that((broken[:5], unserved), Equals(([], [])), f"faults: {injected}")
