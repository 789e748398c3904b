"""An acknowledged commit is kept while faults of a replicated service overlap; see service_walk."""

import pytest
from replicated_service import GATEWAYS
from service_walk import LONGEST_FAULT_MS, walk, walking_service
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

SEEDS = range(4)
PHASES_MS = (0, 120)  # of the partition's start between two probes of the primary
DOUBLE_LOSS_MS = 8_500  # until a primary is replaced that is lost together with a replica

on_each_platform = pytest.mark.parametrize("is_fenced", [True, False], ids=["fencing", "without"])


@pytest.fixture(params=[True, False], ids=["fencing", "without_fencing"])
def partitioned(request):
    """Return a service as it is before a partition."""
    service = walking_service(0, request.param)
    service.skips, service.told_after_ms = 0.0, 300
    return service


# Guards against the promotion of the only replica on control's side of a partition, while the
# gateways on the other side can't tell what they acknowledged there.
@pytest.mark.parametrize("phase_ms", PHASES_MS)
@pytest.mark.parametrize("partition_ms", [6_000, LONGEST_FAULT_MS])
def test_a_partition_with_a_primary_a_replica_and_a_gateway_loses_nothing(
    partitioned, phase_ms, partition_ms
):
    service = partitioned
    service.run(phase_ms)
    before = len(service.acknowledged)
    service.partition_for(["u-primary", "u-second"], [GATEWAYS[0]], partition_ms)
    service.run(16_000)
    assert_that(len(service.acknowledged) - before, GreaterThan(100))
    assert_that(service.lost, Equals([]))


# Guards against the promotion of a replica that lags by the last commits before a partition, where
# the replica with these commits departs and the gateways that acknowledged them can't tell.
def test_a_departure_and_a_partition_of_the_primary_and_gateways_lose_nothing(partitioned):
    service = partitioned
    service.leave(service.upstreams["u-third"])
    service.run(1_000)
    service.deafen_for(service.upstreams["u-second"], 1_000)
    service.run(200)
    service.partition_for(["u-primary"], GATEWAYS, LONGEST_FAULT_MS)
    service.run(200)
    service.depart(service.upstreams["u-third"])
    service.run(16_000)
    assert_that(service.lost, Equals([]))


# Guards against a longer wait where every gateway has told what it acknowledged.
def test_a_primary_and_a_replica_that_are_lost_alone_are_passed_over_as_before(partitioned):
    service = partitioned
    service.is_writing = False
    service.run(1_000)
    service.partition_for(["u-primary", "u-second"], [], 60_000)
    waited_ms = service.run_until(lambda: service.promoted, 20_000)
    assert_that(waited_ms, LessThan(DOUBLE_LOSS_MS))


# Guards against losses where faults overlap in an order that no other test has.
@on_each_platform
@pytest.mark.parametrize("seed", SEEDS)
def test_a_random_walk_loses_nothing(is_fenced, seed):
    service = walk(seed, is_fenced)
    assert_that(service.losses, Equals([]))
