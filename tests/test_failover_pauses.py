"""The pauses of a failover cover replicas that register, restart or answer while it runs.

Pattern (soak seed 101): a replica is replaced while the order to promote another one has no
response. The new one receives commits from the former primary, which the target lacks.
"""

import pytest
from control_driver import ADDRESSES, SERVICE, FakeUpstream, leading_control
from endivewick_core.control.events import FailoverOutcome, MessageReceived
from endivewick_core.directory import UpstreamState
from endivewick_core.messages import DirectoryQuestion
from endivewick_core.positions import Position
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan


@pytest.fixture
def control():
    return leading_control()


def order_failover(control):
    """Let the primary fail until a failover is ordered; return the order."""
    control.upstreams["u-primary"].reachable = False
    control.break_connections("u-primary")
    control.run(3_000)
    return control.orders[-1]


def register(control, name, received):
    """Start a replica whose log reaches up to ``received``."""
    newcomer = FakeUpstream(name, received=received, born_ms=9_000)
    control.upstreams[name] = newcomer
    control.report(newcomer)
    return newcomer


def test_a_replica_that_registers_after_the_order_is_paused(control):
    order_failover(control)
    newcomer = register(control, "u-new", Position(1, 10))
    control.run(100)
    assert_that(newcomer.paused_term, GreaterThan(1))


def test_a_replica_that_restarts_after_its_pause_is_paused_again(control):
    order_failover(control)
    restarted = control.upstreams["u-third"]
    control.break_connections("u-third")
    restarted.paused_term, restarted.born_ms = 0, 9_000
    control.report(restarted)
    control.run(600)
    assert_that(restarted.paused_term, GreaterThan(1))


def test_an_unanswered_order_is_not_repeated_for_a_target_that_lacks_commits(control):
    first = order_failover(control)
    register(control, "u-new", Position(1, 34))
    control.platform(FailoverOutcome.UNANSWERED)
    control.run(800)
    again = control.orders[-1]
    assert_that((again.upstream, again.token > first.token), Equals(("u-new", True)))


def test_an_unanswered_order_waits_for_a_replica_that_has_not_been_asked(control):
    order_failover(control)
    newcomer = FakeUpstream("u-new", reachable=False)
    control.upstreams["u-new"] = newcomer
    control.report(newcomer)
    control.platform(FailoverOutcome.UNANSWERED)
    control.run(1_000)
    assert_that(len(control.orders), Equals(1))
    newcomer.reachable = True
    control.run(2_500)
    assert_that(len(control.orders), Equals(2))


def test_a_former_primary_that_answers_again_is_told_to_step_down(control):
    order_failover(control)
    former = control.upstreams["u-primary"]
    former.reachable = True
    control.run(2_000)
    assert_that(former.leads, Equals(False))
    assert_that(control.log_event_names, Contains("primary_stepped_down"))


def test_a_leaving_replica_is_paused_like_any_other(control):
    """A leaving replica receives, and counts for acknowledgements, until it ends."""
    leaving = control.upstreams["u-third"]
    leaving.state = UpstreamState.LEAVING
    control.report(leaving, 9)
    order_failover(control)
    assert_that(leaving.paused_term, GreaterThan(1))


def test_a_new_primary_is_noticed_soon_after_its_promotion(control):
    """Clients wait for it; probes of a primary are usually four times as far apart."""
    order = order_failover(control)
    control.platform(FailoverOutcome.ACCEPTED)
    control.run(500)
    control.promote(order.upstream)
    control.run(160)
    assert_that(control.log_event_names, Contains("failover_promoted"))


def test_an_order_is_logged_with_what_was_known_of_each_upstream(control):
    """Guards against a lost commit whose cause the logs can't tell (issue 28)."""
    order_failover(control)
    ordered = [item for item in control.log_events if item.name == "failover_ordered"][-1]
    upstreams = ordered.inputs["upstreams"]
    assert_that(sorted(upstreams), Equals(["u-primary", "u-second", "u-third"]))
    for name in ("u-second", "u-third"):
        known = upstreams[name]
        assert_that((known["received"], known["restarted_since"]), Equals(("1.10", False)))
        assert_that(known["received_ms_ago"] <= ordered.inputs["running_ms"], Equals(True))
    assert_that(ordered.inputs["primary_position"], Equals("1.10"))


def test_positions_are_shared_at_most_five_times_a_second_without_reports(control):
    """Guards against a full share to each process for each commit while a primary fails."""
    control.upstreams["u-primary"].reachable = False
    control.break_connections("u-primary")
    control.run(1_200)
    control.shares.clear()
    for number in range(50):
        control.run(20)
        positions = {SERVICE: Position(1, 11 + number)}
        question = DirectoryQuestion(
            "10.0.0.9:7000", "dc-a", number, 1, "boot", 0, [], [], {}, False, positions
        )
        control.handle(MessageReceived(control.now_ms, question))
    to_one = [share for address, share in control.shares if address == ADDRESSES[1]]
    without_reports = [share for share in to_one if not share.reports]
    assert_that(len(without_reports), LessThan(7))
    assert_that(len(without_reports), GreaterThan(2))
    assert_that(without_reports[-1].acknowledged[SERVICE] > Position(1, 40), Equals(True))


def test_missing_commits_are_logged_only_where_a_replica_that_answered_lacks_them(control):
    """Guards against a warning in each failover, while the replicas are only being asked."""
    order_failover(control)
    assert_that("commits_missing" in control.log_event_names, Equals(False))


def test_missing_commits_are_logged_once(control):
    control.state.directory_state.acknowledged[SERVICE] = Position(1, 50)
    control.upstreams["u-primary"].reachable = False
    control.break_connections("u-primary")
    control.run(4_000)
    assert_that(control.log_event_names.count("commits_missing"), Equals(1))
    assert_that(control.orders, Equals([]))
