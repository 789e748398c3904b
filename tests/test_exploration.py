"""The exploration of control around a change of primary, bounded for CI; see exploration.py.

Each test takes all orders of the actions of one scenario up to a depth, on a platform that fences
former primaries and on one that doesn't, where commits are acknowledged under leases.
"""

import pytest
from exploration import (
    FENCED_LEASE_MS,
    FEW_RETURN_TIMES_MS,
    LEASE_MS,
    Action,
    Order,
    Scenario,
    branch,
    describe,
    explore,
    first_world,
    possible_actions,
    run_on,
    scenarios,
    take,
)
from testtools.assertions import assert_that
from testtools.matchers import Equals

PLATFORMS = {"fencing": (True, FENCED_LEASE_MS), "without_fencing": (False, LEASE_MS)}
FAULTS = {
    "crash": Action("crash", "a"),
    "cut": Action("cut", "a"),
    "restart": Action("restart", "all", -1),
}
on_each_platform = pytest.mark.parametrize("platform", PLATFORMS)


def scenario_on(platform, name):
    is_fenced, lease_ms = PLATFORMS[platform]
    return scenarios(is_fenced, lease_ms)[name]


def losing_paths(record_property, platform, name, depth):
    """Return the first actions that were found to lose a commit, with what was lost."""
    found = explore(scenario_on(platform, name), depth)
    record_property("states", found.states)
    return [f"{text}: {describe(path)}" for path, text in found.paths]


def stuck_paths(record_property, platform, name, depth):
    """Return the first actions after which the service isn't served again."""
    found = explore(scenario_on(platform, name), depth, most_paths=10_000, recover_every=1)
    record_property("states", found.states)
    return [describe(path) for path, _ in found.stuck[:3]]


def started(platform, **limits):
    """Return a world with a primary and two replicas that have run for seconds."""
    is_fenced, lease_ms = PLATFORMS[platform]
    return first_world(Scenario("calm", (), limits, is_fenced=is_fenced, primary_lease_ms=lease_ms))


def promoted(world, name, token):
    """Return the world after the platform has carried out an order."""
    after = branch(world)
    after.orders = (Order(name, token),)
    take(after, Action("effect", name, 0))
    return after


# Guards against a replica that hasn't reported confirming commits while the primary is replaced
# as planned (review/1).
@on_each_platform
def test_a_replica_that_has_not_reported_confirms_nothing_that_is_lost(platform, record_property):
    assert_that(losing_paths(record_property, platform, "primary_drains", 5), Equals([]))


# Guards against the promotion of a replica that lags, after the only copy has departed (review/2).
@on_each_platform
def test_a_lagging_replica_is_not_promoted_after_a_departure(platform, record_property):
    assert_that(losing_paths(record_property, platform, "replica_leaves", 5), Equals([]))


# Guards against a replica that starts during a failover confirming the commits that a primary
# still takes, which control can't reach (review/3).
@on_each_platform
def test_a_replica_that_starts_in_a_failover_confirms_nothing_that_is_lost(
    platform, record_property
):
    assert_that(losing_paths(record_property, platform, "primary_is_cut", 6), Equals([]))


# Guards against a failover just after a start of control, which knows some replicas only
# (review/4).
@on_each_platform
def test_a_failover_after_a_restart_of_control_waits_for_all_replicas(platform, record_property):
    assert_that(losing_paths(record_property, platform, "control_restarts", 5), Equals([]))


# Guards against a lagging replica that is promoted because the only copy of a commit went with a
# replica that started again without its log.
@on_each_platform
def test_a_replica_that_starts_again_takes_no_commit_with_it(platform, record_property):
    assert_that(losing_paths(record_property, platform, "replica_restarts", 5), Equals([]))


# Guards against a primary that comes back while it is replaced, and whose commits a replica that
# control doesn't know confirms.
@on_each_platform
def test_a_primary_that_returns_in_its_failover_loses_nothing(platform, record_property):
    assert_that(losing_paths(record_property, platform, "primary_returns", 5), Equals([]))


# Guards against a leader that takes an open failover over and trusts what the earlier one did.
@on_each_platform
def test_a_failover_that_is_taken_over_loses_nothing(platform, record_property):
    assert_that(losing_paths(record_property, platform, "leader_restarts", 5), Equals([]))


# Guards against an order of an earlier leader that the platform carries out after its end.
@on_each_platform
def test_a_late_order_of_an_earlier_leader_loses_nothing(platform, record_property):
    assert_that(losing_paths(record_property, platform, "orders_are_late", 5), Equals([]))


# Guards against a successor at an address that is taken for a replica without the log.
@on_each_platform
def test_a_successor_with_the_log_of_a_departed_replica_loses_nothing(platform, record_property):
    assert_that(losing_paths(record_property, platform, "replica_succeeded", 5), Equals([]))


# Guards against a frozen process, at times the leader, that goes on with an old failover.
@on_each_platform
def test_a_frozen_control_process_loses_nothing(platform, record_property):
    assert_that(losing_paths(record_property, platform, "control_freezes", 5), Equals([]))


# Guards against the promotion of a replica that lags, after every process has ended, before the
# upstreams with the commits are back (review/11); and against a wait for them that is too long.
@on_each_platform
@pytest.mark.parametrize(
    "name", ["everything_ends", "everything_ends_renamed", "everything_ends_twice"]
)
def test_an_end_of_every_process_loses_nothing(platform, name, record_property):
    scenario = scenario_on(platform, name)._replace(return_times_ms=FEW_RETURN_TIMES_MS)
    found = explore(scenario, 2)
    record_property("states", found.states)
    assert_that([f"{text}: {describe(path)}" for path, text in found.paths], Equals([]))


# Guards against a service that stays without a primary after a fault of one kind.
@on_each_platform
@pytest.mark.parametrize("fault", ["crash", "cut", "restart"])
def test_a_service_gets_a_primary_again(platform, fault):
    world = started(platform)
    take(world, FAULTS[fault])
    assert_that(run_on(world), Equals(""))


# Guards against a primary that is lost while control restarts and is never replaced (review/5).
@on_each_platform
def test_a_primary_that_is_lost_while_control_restarts_is_replaced(platform, record_property):
    assert_that(stuck_paths(record_property, platform, "primary_is_lost", 4), Equals([]))


# Guards against a failover that leaves the service without a primary, whatever it met.
@on_each_platform
@pytest.mark.parametrize("name", ["primary_drains", "primary_is_cut", "leader_restarts"])
def test_a_failover_ends_with_a_primary(platform, name, record_property):
    assert_that(stuck_paths(record_property, platform, name, 4), Equals([]))


# Guards against an exploration whose states or paths differ from run to run.
def test_an_exploration_repeats_exactly():
    scenario = scenarios()["replica_leaves"]
    assert_that(explore(scenario, 3), Equals(explore(scenario, 3)))


# Guards against a model that sees no loss.
def test_the_promotion_of_a_replica_that_lags_breaks_the_promise():
    world = started("fencing", commit=1)
    take(world, Action("commit", "a"))
    take(world, Action("receive", "b"))
    assert_that(world.acknowledged, Equals((0, 1)))
    assert_that(promoted(world, "b", 9).violation, Equals(""))
    expected = "c was promoted without the commits [1]"
    assert_that(promoted(world, "c", 9).violation, Equals(expected))


# Guards against a model in which an order that the platform refuses takes effect, or none does.
@on_each_platform
def test_an_outdated_order_takes_effect_only_without_fencing(platform):
    world = started(platform)
    world.newest_token = 9
    after = promoted(world, "c", 8)
    assert_that(after.upstreams["c"].leads, Equals(platform == "without_fencing"))
    assert_that(after.upstreams["a"].leads, Equals(True))
    after = promoted(world, "c", 9)
    assert_that(after.upstreams["a"].leads, Equals(platform == "without_fencing"))


# Guards against a model whose paused replicas receive.
def test_a_paused_replica_receives_nothing():
    world = started("fencing", commit=1)
    take(world, Action("commit", "a"))
    assert_that(Action("receive", "b") in possible_actions(world), Equals(True))
    world.upstreams["b"] = world.upstreams["b"]._replace(paused_term=2)
    assert_that(Action("receive", "b") in possible_actions(world), Equals(False))


# Guards against a gateway of the model that acknowledges without a lease, or never does.
def test_a_commit_is_acknowledged_under_a_lease_only():
    world = started("without_fencing", commit=1)
    world.leases.clear()
    take(world, Action("commit", "a"))
    take(world, Action("receive", "b"))
    assert_that(world.acknowledged, Equals((0,)))
    take(world, Action("wait", "", 200))
    assert_that(world.acknowledged, Equals((0, 1)))
