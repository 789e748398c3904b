"""The log lines of a promotion tell what was known of each upstream, and who was passed over."""

import pytest
from control_driver import ADDRESSES, SERVICE, leading_control, peer
from endivewick_core.control import events as ce
from endivewick_core.control.commit_coverage import MISSING_COMMITS_TIMEOUT_MS
from endivewick_core.control.events import FailoverOutcome
from endivewick_core.directory import UpstreamReport, UpstreamState
from endivewick_core.messages import DirectoryQuestion, DirectoryShare
from endivewick_core.positions import Position
from replicated_service import GATEWAYS, OrderCourse
from test_missing_copies import end_everything, logged
from test_promotions_keep_commits import (
    CRASH_LIMIT_MS,
    LOSS_LIMIT_MS,
    instances,
    lose_the_only_copy,
    run_until_ordered,
    run_until_promoted,
)
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, LessThan

RISKS = ("promotion_below_acknowledged", "promotion_with_unheard")
GATEWAY = GATEWAYS[0]


@pytest.fixture
def control():
    return leading_control()


def risks(service):
    return [event.name for event in service.log_events if event.name in RISKS]


def fail_primary(control):
    control.upstreams["u-primary"].reachable = False
    control.break_connections("u-primary")
    control.run(4_000)


def tell(control, position):
    """Let a gateway tell where it acknowledged a commit."""
    question = DirectoryQuestion(
        GATEWAY, "dc-a", 1, 1, "boot", 0, [], [], {}, False, {SERVICE: position}
    )
    control.handle(ce.MessageReceived(control.now_ms, question))


# Guards against a promoted target whose order doesn't say why no other upstream was chosen.
def test_an_order_tells_who_was_passed_over_and_why(control):
    control.upstreams["u-second"].received = Position(1, 11)
    fail_primary(control)
    ordered = logged(control, "failover_ordered")[-1].inputs
    assert_that(ordered["target"], Equals("u-second"))
    passed_over = {name: item["passed_over"] for name, item in ordered["upstreams"].items()}
    expected = {"u-primary": "former_primary", "u-second": "", "u-third": "behind"}
    assert_that(passed_over, Equals(expected))
    assert_that((ordered["target_position"], ordered["target_is_complete"]), Equals(("1.11", True)))
    for item in ordered["upstreams"].values():
        names = ("state", "born_ms", "reported_ms_ago", "answered_before", "is_connected", "slots")
        assert_that(set(names) <= set(item), Equals(True))
        assert_that(item["answered_before"], Equals(True))
    for name in ("u-second", "u-third"):
        item = ordered["upstreams"][name]
        assert_that(item["received_ms_ago"] <= ordered["running_ms"], Equals(True))


# Guards against an upstream that did not answer and seems to have had nothing.
def test_an_order_tells_an_upstream_without_an_answer_from_one_that_is_behind(control):
    control.upstreams["u-third"].reachable = False
    control.break_connections("u-third")
    fail_primary(control)
    control.run(MISSING_COMMITS_TIMEOUT_MS)
    ordered = logged(control, "failover_ordered")[0].inputs
    assert_that(ordered["upstreams"]["u-third"]["passed_over"], Equals("no_answer"))
    unheard = logged(control, "promotion_with_unheard")[0].inputs["unheard"]
    assert_that(list(unheard), Equals(["u-third"]))
    assert_that(unheard["u-third"]["reason"], Equals("unreachable"))
    assert_that(unheard["u-third"]["reported_ms_ago"], GreaterThan(4_000))


# Guards against a position that nobody can trace to the gateway that acknowledged the commit.
def test_the_acknowledged_position_comes_with_its_source_and_age(control):
    tell(control, Position(1, 9))
    control.run(1_000)
    share = DirectoryShare(peer(ADDRESSES[1]), 0, [], [], 0, [], {}, {SERVICE: Position(1, 10)})
    control.handle(ce.MessageReceived(control.now_ms, share))
    control.run(500)
    tell(control, Position(1, 10))  # known already
    fail_primary(control)
    needed = logged(control, "failover_needed")[-1].inputs
    names = ("acknowledged", "acknowledged_from", "acknowledged_from_role")
    assert_that([needed[name] for name in names], Equals(["1.10", ADDRESSES[1], "control"]))
    assert_that(needed["acknowledged_ms_ago"], GreaterThan(499))
    ordered = logged(control, "failover_ordered")[-1].inputs
    assert_that(ordered["acknowledged_ms_ago"], GreaterThan(needed["acknowledged_ms_ago"]))
    tell(control, Position(1, 12))
    assert_that(control.state.directory_state.acknowledged_from[SERVICE].address, Equals(GATEWAY))


# Guards against a wait without what it waits for.
def test_missing_commits_come_with_the_source_of_the_acknowledged_position(control):
    tell(control, Position(1, 50))
    fail_primary(control)
    (missing,) = logged(control, "commits_missing")
    assert_that(missing.inputs["acknowledged"], Equals("1.50"))
    assert_that(missing.inputs["acknowledged_from"], Equals(GATEWAY))
    assert_that(missing.inputs["acknowledged_from_role"], Equals("gateway"))
    assert_that(missing.inputs["gateways"], Equals(0))  # it polled once, some seconds ago
    assert_that(missing.inputs["other_processes"], Equals(2))


# Guards against a promotion that loses acknowledged commits and is not counted.
def test_a_promotion_below_the_acknowledged_position_is_counted(service):
    lose_the_only_copy(service)
    run_until_promoted(service, LOSS_LIMIT_MS)
    (event,) = logged(service, "promotion_below_acknowledged")
    ordered = logged(service, "failover_ordered")[-1].inputs
    for name in ("service", "token", "target", "target_position", "acknowledged"):
        assert_that(event.inputs[name], Equals(ordered[name]))
    assert_that(event.inputs["target_is_complete"], Equals(False))
    assert_that(GATEWAYS, Contains(event.inputs["acknowledged_from"]))
    assert_that(event.inputs["incomplete_ms"], GreaterThan(9_000))


# Guards against a promotion without the only copy of a commit that is not counted.
def test_a_promotion_without_replicas_that_answered_before_is_counted(service):
    primary, second, third = instances(service)
    third.is_deaf = True
    service.run(2_000)
    end_everything(service, primary, second)
    third.is_deaf = False
    run_until_promoted(service, 60_000)
    event = logged(service, "promotion_with_unheard")[-1]
    assert_that(event.inputs["target"], Equals(third.name))
    unheard = event.inputs["unheard"][second.name]
    names = ("reason", "address", "born_ms", "hidden_by_service")
    expected = ["unreported", second.address, second.born_ms, ""]
    assert_that([unheard[name] for name in names], Equals(expected))


# Guards against a count of the failovers in which nothing is missing.
def test_a_promotion_with_every_replica_heard_is_not_counted(service):
    primary, _, _ = instances(service)
    service.crash(primary)
    run_until_promoted(service, CRASH_LIMIT_MS)
    assert_that(risks(service), Equals([]))


# Guards against a count for each repeat of an order, which is sent every 400 ms.
def test_a_repeated_order_is_counted_once(service):
    lose_the_only_copy(service)
    service.courses = [OrderCourse(is_lost=True)] * 3
    run_until_ordered(service, LOSS_LIMIT_MS)
    service.run(3_000)
    repeats = logged(service, "failover_ordered")
    assert_that(len(repeats), GreaterThan(1))
    tokens = {event.inputs["token"] for event in repeats}
    assert_that(logged(service, "promotion_below_acknowledged"), HasLength(len(tokens)))


# Guards against the count of a primary that is ordered again, so that late orders are refused.
def test_a_primary_that_is_kept_is_not_counted(control):
    fail_primary(control)
    control.restart()
    control.win_election()
    control.upstreams["u-primary"].reachable = True
    tell(control, Position(1, 50))
    before = len(control.orders)
    control.run(4_000)
    control.platform(FailoverOutcome.ACCEPTED)
    orders = [order.upstream for order in control.orders[before:]]
    assert_that(orders[0], Equals("u-primary"))
    assert_that(risks(control), Equals([]))


# Guards against inputs that grow with the number of failovers.
def test_the_lines_of_a_failover_are_few(service):
    primary, _, _ = instances(service)
    before = len(service.log_events)
    service.crash(primary)
    run_until_promoted(service, CRASH_LIMIT_MS)
    assert_that(len(service.log_events) - before, LessThan(25))


# Guards against a replica that is hidden by a report of another service, and seems not to exist.
def test_a_replica_that_another_report_hides_is_told_with_its_service(service):
    primary, second, _ = instances(service)
    service.cut_from_control(second)
    hidden = UpstreamReport(
        second.name,
        "unnamed",
        "10.0.9.9:1",
        "dc-a",
        3,
        UpstreamState.READY,
        False,
        0,
        service.now_ms,
        1,
    )
    service.handle(ce.ReportReceived(service.now_ms, 0, hidden))
    service.crash(primary)
    run_until_promoted(service, 60_000)
    event = logged(service, "promotion_with_unheard")[0]
    assert_that(event.inputs["unheard"][second.name]["hidden_by_service"], Equals("unnamed"))
