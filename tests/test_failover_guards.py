"""Guards of a failover that act only where a second thing goes wrong at the same time."""

import pytest
from control_driver import ADDRESSES, SERVICE
from endivewick_core.control import departures
from endivewick_core.control.commit_coverage import UNCERTAIN_COMMITS_TIMEOUT_MS
from endivewick_core.control.failover import PROMOTION_SETTLING_MS, PROMOTION_TIMEOUT_MS
from endivewick_core.control.primary_leases import ORDER_VALIDITY_MS
from endivewick_core.control.probes import PEER_TIMEOUT_MS
from endivewick_core.control.state import Role
from endivewick_core.control.watch import REOPEN_DELAY_MS
from endivewick_core.directory import UpstreamState
from endivewick_core.positions import Position
from replicated_service import (
    GATEWAYS,
    LEASE_MARGIN_MS,
    PROMOTION_MS,
    STEP_MS,
    OrderCourse,
    running_service,
)
from test_promotions_keep_commits import (
    CRASH_LIMIT_MS,
    LOSS_LIMIT_MS,
    assert_nothing_lost,
    assert_serves_within,
    instances,
    leave_the_only_receiver,
    run_until_ordered,
    run_until_promoted,
)
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, LessThan, Not


def acknowledge_unreported(service, for_ms):
    """Let the gateways acknowledge commits for a while, and start again before they report them."""
    poll = service._poll
    service._poll = lambda gateway: None
    service.run(for_ms)
    service._poll = poll
    for gateway in GATEWAYS:
        service.positions[gateway], service.leases[gateway] = {}, {}


# Guards against a target that has started again and is waited for until the promotion times out:
# the platform accepted its order, and it was down when the promotion should have taken effect.
def test_a_target_that_started_again_is_not_waited_for(service):
    primary, _, _ = instances(service)
    service.crash(primary)
    order = run_until_ordered(service)
    target = service.upstreams[order.upstream]
    ordered_ms = service.now_ms
    service.run(PROMOTION_MS // 2)
    service.crash(target)
    service.run(PROMOTION_MS)
    service.come_back(target)
    run_until_ordered(service)
    assert_that(service.now_ms - ordered_ms, LessThan(PROMOTION_TIMEOUT_MS))
    assert_serves_within(service, CRASH_LIMIT_MS)
    assert_nothing_lost(service)


# Guards against an order of a leader that hears no quorum any more, when the next leader may
# already be choosing another target.
def test_a_leader_that_no_quorum_confirms_orders_nothing(service):
    primary, _, _ = instances(service)
    service.crash(primary)
    service.run_until(lambda: "failover_begun" in service.log_event_names, CRASH_LIMIT_MS)
    leases_end_ms = service.state.primary_leases.leases[SERVICE].valid_until_ms + LEASE_MARGIN_MS
    service.run(leases_end_ms - service.now_ms - ORDER_VALIDITY_MS)
    service.deaf = set(ADDRESSES[1:])
    service.run(ORDER_VALIDITY_MS + 300)
    assert_that(service.state.role, Equals(Role.LEADER))
    assert_that(service.orders, Equals([]))
    service.deaf = set()
    assert_serves_within(service, CRASH_LIMIT_MS)


# Guards against the end of an empty log being taken for the end of the primary's: any replica
# seems to have all of it, and one that can't be reached, with the only copies, isn't waited for.
def test_the_end_of_an_empty_log_does_not_end_the_wait_for_a_replica(service):
    primary, second, third = instances(service)
    third.is_deaf = True
    acknowledge_unreported(service, 200)
    service.cut_from_control(second)
    service.break_connections(second.name)
    service.crash(primary)
    primary.log, primary.leads = [], False
    service.run(1_000)
    service.come_back(primary)
    service.later(3_500, lambda: service.reconnect_to_control(second))
    run_until_promoted(service)
    assert_nothing_lost(service)


def assert_not_replaced(service, primary):
    """The primary, which control can't reach, goes on to lead."""
    service.run(8_000)
    assert_that(service.orders, Equals([]))
    assert_that(primary.leads, Equals(True))


# Guards against a leader that replaces a primary which only it can't reach.
def test_a_primary_that_answers_the_other_control_processes_is_not_replaced(service):
    primary, _, _ = instances(service)
    share = service.share
    service.share = lambda: share(failing_ms=0)
    service.share()
    service.cut_from_control(primary)
    assert_not_replaced(service, primary)


# Guards against a leader that hears no other control process and takes itself for the majority.
# Its log still reaches a quorum, so that it could replace a primary which only it can't reach.
def test_a_leader_that_hears_no_other_does_not_replace_a_primary(service):
    primary, _, _ = instances(service)
    service.share = lambda: None
    service.run(PEER_TIMEOUT_MS)
    service.cut_from_control(primary)
    assert_not_replaced(service, primary)


# The same after a restart of control, where the leader knows of no primary.
def test_a_new_leader_that_hears_no_other_does_not_replace_a_primary(service):
    primary, _, _ = instances(service)
    service.share = lambda: None
    service.cut_from_control(primary)
    service.restart_control()
    assert_not_replaced(service, primary)


# Guards against an attempt that begins anew and forgets what its departed target had received.
# The gateways that acknowledged it have ended, so that nothing else tells.
def test_a_new_attempt_knows_what_the_departed_target_had(service):
    primary, second, third = leave_the_only_receiver(service)
    acknowledge_unreported(service, 200)
    service.crash(primary)
    order = run_until_ordered(service)
    assert_that(order.upstream, Equals("u-second"))
    service.run(200)
    service.depart(second)
    service.run(7_000)
    service.come_back(primary)
    third.is_deaf = False
    assert_serves_within(service, LOSS_LIMIT_MS)
    assert_nothing_lost(service)


# Guards against an attempt that begins anew and forgets where the log of the primary ended which
# it told to step down: that primary alone has every commit, and would not be told to lead again.
def test_a_new_attempt_knows_the_end_of_the_primary_that_stepped_down(service):
    primary, second, third = leave_the_only_receiver(service)
    service.run(1_000)
    service.leave(primary)
    order = run_until_ordered(service)
    assert_that(order.upstream, Equals("u-second"))
    service.run(STEP_MS)
    service.depart(second)
    service.later(3_000, lambda: setattr(third, "is_deaf", False))
    assert_serves_within(service, CRASH_LIMIT_MS)
    assert_nothing_lost(service)


def leave_beside_a_former_primary(service):
    """Let a primary leave while the only other upstream is a former primary that still leads."""
    former, second, third = instances(service)
    service.cut_from_control(former)
    run_until_promoted(service)
    service.reconnect_to_control(former)
    primary = service.primary()
    service.crash(third if primary is second else second)
    service.run(300)
    service.leave(primary)
    return former


# Guards against a former primary that still leads, as nothing fences it, and counts as a replica
# since it answers the pause. It was ordered again and again, and the service had no primary for
# 133 s (soak seed 201).
@pytest.mark.parametrize("pauses_primaries", [True, False])
def test_a_former_primary_that_still_leads_is_no_replica(pauses_primaries):
    service = running_service(is_fenced=False)
    service.pauses_primaries = pauses_primaries
    former = leave_beside_a_former_primary(service)
    assert_that(former.leads, Equals(True))
    service.run_until(lambda: not former.leads, CRASH_LIMIT_MS)
    assert_that(former.leads, Equals(False))
    assert_serves_within(service, CRASH_LIMIT_MS)
    assert_nothing_lost(service)


# Guards against a new primary that is told to step down: its connection had ended, so that it is
# asked to pause again, just after its promotion and before earlier orders can't take effect.
def test_the_target_of_a_failover_is_not_told_to_step_down():
    service = running_service(is_fenced=False)
    primary, _, _ = instances(service)
    service.courses = [OrderCourse(is_lost=True)]
    service.crash(primary)
    run_until_ordered(service)
    service.replace_leader()
    target = service.upstreams[run_until_ordered(service).upstream]
    service.run(PROMOTION_MS - REOPEN_DELAY_MS + STEP_MS)
    service.break_connections(target.name)
    service.run_until(lambda: service.promoted, CRASH_LIMIT_MS)
    service.run(PROMOTION_SETTLING_MS)
    assert_that(target.leads, Equals(True))
    assert_that(service.log_event_names, Not(Contains("replica_leads")))


# Guards against a target that is ordered again and again although its promotion never takes effect
# (soak seed 201), while another replica has every commit.
def test_a_target_that_was_ordered_in_vain_is_not_ordered_again_before_another(service):
    primary, _, _ = instances(service)
    service.crash(primary)
    target = run_until_ordered(service).upstream
    take_effect = service._take_effect
    service._take_effect = lambda item: None if item.name == target else take_effect(item)
    run_until_promoted(service, CRASH_LIMIT_MS)
    assert_that(service.promoted, Not(Contains(target)))
    assert_nothing_lost(service)


# Guards against a wait that ends after 10 s, as for commits that nobody received, although a
# replica departed with the only copies just before. The primary has them, and comes back later.
@pytest.mark.parametrize("until_crash_ms", [0, 300])
def test_copies_that_just_departed_are_waited_for(service, until_crash_ms):
    primary, second, third = leave_the_only_receiver(service)
    service.run(2 * STEP_MS)
    service.depart(second)
    service.run(until_crash_ms)
    service.crash(primary)
    third.is_deaf = False
    service.run(UNCERTAIN_COMMITS_TIMEOUT_MS + 5_000)
    service.come_back(primary)
    assert_serves_within(service, LOSS_LIMIT_MS)
    assert_nothing_lost(service)


# Guards against a bound on the log of a departed upstream from a probe before its departure, or
# from before it started again.
def test_a_departed_log_is_bounded_by_later_probes_only(service):
    _, second, _ = instances(service)
    service.leave(second)
    service.depart(second)
    state, now_ms = service.state, service.now_ms
    entry = state.directory_state.directory.entries[second.name]
    departures.record_departures(state, now_ms)
    departures.bound_departures(state, SERVICE, now_ms - 1, Position(1, 500))
    assert_that(departures.may_exceed(state, entry, Position(1, 900)), Is(True))
    departures.bound_departures(state, SERVICE, now_ms + 1, Position(1, 500))
    assert_that(departures.may_exceed(state, entry, Position(1, 499)), Is(True))
    assert_that(departures.may_exceed(state, entry, Position(1, 500)), Is(False))
    second.state = UpstreamState.READY
    service.come_back(second)
    service.report(second)
    service.leave(second)
    service.depart(second)
    assert_that(departures.may_exceed(state, entry, Position(1, 500)), Is(True))
