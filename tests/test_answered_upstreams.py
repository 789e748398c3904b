"""A failover waits long only for upstreams that have ever answered control."""

import pytest
from replicated_service import GATEWAYS, REPORT_INTERVAL_MS, Instance
from test_promotions_keep_commits import (
    assert_nothing_lost,
    assert_serves_within,
    instances,
    run_until_promoted,
)
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not

RECOVERY_MS = 12_000
DARK_MS = 15_000


def keep_reporting(service, instance):
    """Let an upstream that control can't reach report itself all the while."""

    def report():
        if service.control_is_up:
            service.report(instance)
        service.later(REPORT_INTERVAL_MS, report)

    report()


def restart_everything(service, primary):
    """Restart control and the gateways while a primary is lost: nobody knows what it confirmed."""
    service.crash(primary)
    for gateway in GATEWAYS:
        service.positions[gateway] = {}
    service.restart_control()


@pytest.fixture
def stranger(service):
    """Return an upstream that another writer reports, where nothing listens."""
    instance = Instance("u-stranger", born_ms=service.now_ms)
    instance.is_up = instance.reachable = False
    service.upstreams[instance.name] = instance
    keep_reporting(service, instance)
    service.run(3_000)
    return instance


# Guards against a mere report that holds up every failover for 30 s after a restart of everything.
@pytest.mark.parametrize("restarts", [True, False])
def test_an_upstream_that_never_answered_does_not_hold_up_a_service(service, stranger, restarts):
    primary, _, _ = instances(service)
    if restarts:
        restart_everything(service, primary)
    else:
        service.crash(primary)
    assert_serves_within(service, RECOVERY_MS)
    assert_nothing_lost(service)


# Guards against lost commits: the replica that has them answered before everything restarted.
def test_a_replica_that_answered_before_a_restart_is_waited_for(service):
    primary, second, third = instances(service)
    third.is_deaf = True
    service.run(2_000)
    service.cut_from_control(second)
    keep_reporting(service, second)
    restart_everything(service, primary)
    service.run(DARK_MS)
    assert_that(service.promoted, Equals([]))
    service.reconnect_to_control(second)
    run_until_promoted(service)
    assert_that(service.promoted[-1], Equals(second.name))
    assert_nothing_lost(service)


def test_the_record_follows_the_upstreams(service, stranger):
    _, second, _ = instances(service)
    record = service.state.replicated_state.answered["orders"]
    assert_that(record, Equals(["u-primary", "u-second", "u-third"]))
    service.start("u-new")
    service.leave(second)
    service.run(1_000)
    service.depart(second)
    service.run(3_000)
    record = service.state.replicated_state.answered["orders"]
    assert_that(record, Contains("u-new"))
    assert_that(record, Not(Contains(second.name)))
