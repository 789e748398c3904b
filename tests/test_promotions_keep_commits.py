"""An acknowledged commit is in the log of every upstream that is promoted after it (issue 28).

Beside it stands a second promise: a service whose primary is gone gets a new one. The failures of
the independent review (review/1 to 5) and those found with them, without processes.
"""

from collections import Counter

from control_driver import ADDRESSES, peer
from endivewick_core.control import events as ce
from endivewick_core.messages import DirectoryShare, HeardReport
from endivewick_core.statements import RESUME
from replicated_service import OrderCourse
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

CRASH_LIMIT_MS = 15_000  # until a new primary serves, with healthy replicas
LOSS_LIMIT_MS = 40_000  # the same where commits are lost with it


def instances(service):
    """Return the primary and the two replicas."""
    return [service.upstreams[name] for name in ("u-primary", "u-second", "u-third")]


def run_until_ordered(service, limit_ms=CRASH_LIMIT_MS):
    """Let time pass until control has sent one more order; return the order."""
    before = len(service.orders)
    service.run_until(lambda: len(service.orders) > before, limit_ms)
    assert_that(len(service.orders), GreaterThan(before))
    return service.orders[-1]


def run_until_promoted(service, limit_ms=LOSS_LIMIT_MS):
    """Let time pass until one more upstream has been promoted, then a little more."""
    before = len(service.promoted)
    service.run_until(lambda: len(service.promoted) > before, limit_ms)
    assert_that(len(service.promoted), GreaterThan(before))
    service.run(2_000)


def assert_nothing_lost(service):
    """Each acknowledged commit is in the log of each upstream that was promoted after it."""
    assert_that(len(service.acknowledged), GreaterThan(100))
    assert_that(Counter(upstream for _, upstream in service.lost), Equals(Counter()))


def assert_serves_within(service, limit_ms):
    assert_that(service.time_to_next_commit_ms(limit_ms), LessThan(limit_ms))


# A scaffold that acknowledges nothing, or never promotes, would pass every other test here.
def test_a_planned_change_of_primary_keeps_commits_and_serves_again(service):
    primary, _, _ = instances(service)
    service.leave(primary)
    run_until_promoted(service, CRASH_LIMIT_MS)
    assert_nothing_lost(service)
    assert_serves_within(service, CRASH_LIMIT_MS)


# A crash with healthy replicas must neither lose commits nor leave the service without a primary.
def test_a_crashed_primary_is_replaced(service):
    primary, _, _ = instances(service)
    service.crash(primary)
    assert_serves_within(service, CRASH_LIMIT_MS)
    assert_nothing_lost(service)


# review/1: its first report went to a frozen control process, so that this one hears of it 1 s
# later; meanwhile it confirms commits, while the draining primary is replaced.
def test_a_replica_not_heard_of_yet_confirms_nothing(service):
    primary, _, _ = instances(service)
    service.start("u-new", unheard_for_ms=1_000)
    service.run(200)
    service.leave(primary)
    run_until_promoted(service)
    assert_nothing_lost(service)


def leave_the_only_receiver(service):
    """Let a replica leave that goes on to receive, while the other one receives nothing.

    Return the primary and the two.
    """
    primary, second, third = instances(service)
    service.leave(second)
    service.run(1_000)
    third.is_deaf = True
    return primary, second, third


def leave_with_a_lagging_replica(service):
    """Let the replica that has the newest commits depart, and then the primary leave."""
    primary, second, third = leave_the_only_receiver(service)
    service.run(2_000)
    service.depart(second)
    service.leave(primary)
    return primary, third


def lose_the_only_copy(service):
    """Let a leaving replica depart with the only copy of the newest commits, and the primary crash.

    The other replica receives nothing until 3 s after the crash.
    """
    primary, second, third = leave_the_only_receiver(service)
    service.run(3_000)
    service.depart(second)
    service.run(300)
    service.crash(primary)
    service.later(3_000, lambda: setattr(third, "is_deaf", False))


# review/2: all commits were acknowledged through the replica that left; the other one lags. Its
# promotion loses them, though the primary comes back with its log.
def test_a_lagging_replica_is_not_promoted_after_the_only_copy_departed(service):
    primary, _, _ = instances(service)
    lose_the_only_copy(service)
    service.run(7_000)
    service.come_back(primary)
    assert_serves_within(service, LOSS_LIMIT_MS)
    assert_nothing_lost(service)


# A fix of review/2 that waits for a primary which is lost for good would never promote again.
def test_a_lagging_replica_leads_at_last_if_the_primary_is_lost_for_good(service):
    lose_the_only_copy(service)
    run_until_promoted(service, LOSS_LIMIT_MS)


# The lesser case of the review: control forgets what a target that departs had received, and
# promotes the next one, which lacks it.
def test_what_a_departed_target_had_is_not_forgotten(service):
    primary, second, third = instances(service)
    service.leave(second)
    third.is_deaf = True
    service.run(2_000)
    service.crash(primary)
    order = run_until_ordered(service)
    assert_that(order.upstream, Equals("u-second"))
    service.run(200)
    service.depart(second)
    third.is_deaf = False
    service.run(7_000)
    service.come_back(primary)
    assert_serves_within(service, LOSS_LIMIT_MS)
    assert_nothing_lost(service)


# review/3: the primary still serves gateways. Nothing receives its writes, until a new replica
# starts between the order and its effect and confirms them.
def test_a_replica_that_starts_after_the_order_confirms_nothing(service):
    primary, _, _ = instances(service)
    service.cut_from_control(primary)
    run_until_ordered(service)
    service.start("u-new", unheard_for_ms=400)
    service.later(5_000, lambda: service.reconnect_to_control(primary))
    run_until_promoted(service)
    assert_nothing_lost(service)


# The same without a new replica: the primary alone must not make commits that are lost.
def test_a_primary_cut_off_from_control_only_is_replaced_without_loss(service):
    primary, _, _ = instances(service)
    service.cut_from_control(primary)
    run_until_promoted(service, CRASH_LIMIT_MS)
    assert_nothing_lost(service)
    assert_serves_within(service, CRASH_LIMIT_MS)


# review/4: a leader that has just started knows only the upstreams that have reported since.
def test_a_replica_silent_since_a_restart_of_control_confirms_nothing(service):
    primary, _, third = instances(service)
    service.restart_control(late=third)
    service.leave(primary)
    run_until_promoted(service)
    assert_nothing_lost(service)


# review/5: no watermark is left after the restart, and the primary that fails was told from it.
def test_a_primary_lost_while_control_restarts_is_replaced(service):
    primary, _, _ = instances(service)
    service.crash(primary)
    service.restart_control()
    assert_serves_within(service, CRASH_LIMIT_MS)
    assert_nothing_lost(service)


# A promotion that the leader ordered before all control processes restarted takes effect after.
def test_a_restart_of_control_after_an_order_keeps_commits_and_serves(service):
    primary, _, third = instances(service)
    service.leave(primary)
    run_until_ordered(service)
    service.restart_control(late=third)
    service.run(5_000)
    assert_nothing_lost(service)
    assert_serves_within(service, CRASH_LIMIT_MS)


# The pause of a replica ends with its restart, of which control hears only with its next report.
def test_a_paused_replica_that_restarts_after_the_order_confirms_nothing(service):
    primary, _, third = instances(service)
    service.cut_from_control(primary)
    order = run_until_ordered(service)
    restarted = third if order.upstream != third.name else service.upstreams["u-second"]
    service.crash(restarted)
    service.run(100)
    service.come_back(restarted, unheard_for_ms=1_000)
    run_until_promoted(service)
    assert_nothing_lost(service)


# As above, but between the reading of its position and the order, which waits for the other one.
def test_a_paused_replica_that_restarts_before_the_order_confirms_nothing(service):
    primary, second, third = instances(service)
    service.cut_from_control(second)
    service.cut_from_control(primary)
    service.run_until(lambda: third.paused_term > 1, CRASH_LIMIT_MS)
    assert_that(third.paused_term, GreaterThan(1))
    service.run(100)
    service.crash(third)
    service.run(100)
    service.come_back(third, unheard_for_ms=1_000)
    service.run(100)
    service.reconnect_to_control(second)
    run_until_promoted(service)
    assert_nothing_lost(service)


# The primary was kept, but the order that says so was lost. The platform hasn't seen its token, and
# carries out a late order of the earlier leader, for a replica that lags by then.
def test_a_late_order_of_an_earlier_leader_loses_nothing(fenced_service):
    service = fenced_service
    primary, _, _ = instances(service)
    service.courses = [OrderCourse(delay_ms=4_000)]
    service.cut_from_control(primary)
    target = service.upstreams[run_until_ordered(service).upstream]
    service.replace_leader()
    service.courses = [OrderCourse(is_lost=True)] * 2
    service.reconnect_to_control(primary)
    target.is_deaf = True
    service.run(8_000)
    assert_nothing_lost(service)
    assert_serves_within(service, CRASH_LIMIT_MS)


# The same with an order that was accepted by the platform and has not taken effect yet when the
# next leader keeps the primary: no token refuses it any more.
def test_an_accepted_order_of_an_earlier_leader_loses_nothing(service):
    primary, _, _ = instances(service)
    service.cut_from_control(primary)
    target = service.upstreams[run_until_ordered(service).upstream]
    service.replace_leader()
    service.reconnect_to_control(primary)
    target.is_deaf = True
    run_until_promoted(service)
    assert_nothing_lost(service)


# As soon as the next leader knows which upstream leads, it must end an attempt that was left open.
def test_an_attempt_left_open_does_not_stop_the_service(service):
    primary, _, _ = instances(service)
    service.courses = [OrderCourse(is_lost=True)]
    service.cut_from_control(primary)
    run_until_ordered(service)
    service.reconnect_to_control(primary)
    service.restart_control()
    assert_serves_within(service, CRASH_LIMIT_MS)
    assert_nothing_lost(service)


# An upstream that crashed sends nothing, so control can't tell it from one that is cut off.
def test_a_primary_and_a_replica_that_crash_together_are_replaced(service):
    primary, second, _ = instances(service)
    service.crash(primary)
    service.crash(second)
    run_until_promoted(service, LOSS_LIMIT_MS)
    assert_nothing_lost(service)


# After a restart no watermark says what the primary had, so the replica that has it must be heard.
def test_a_lagging_replica_heard_first_after_a_restart_is_not_promoted(service):
    primary, second, third = instances(service)
    second.is_deaf = True
    service.run(1_000)
    service.crash(primary)
    service.restart_control(late=third)
    second.is_deaf = False
    assert_serves_within(service, CRASH_LIMIT_MS)
    assert_nothing_lost(service)


# A primary that has stepped down leads nothing and says nothing: the next leader has to know.
def test_a_restart_of_control_before_an_order_keeps_commits_and_serves(service):
    primary, _, third = instances(service)
    service.cut_from_control(third)
    service.leave(primary)
    service.run(300)
    service.restart_control()
    service.reconnect_to_control(third)
    assert_serves_within(service, CRASH_LIMIT_MS)
    assert_nothing_lost(service)


# Control forgets an upstream without a report for a minute, which may still be linked to the
# primary and confirm commits.
def test_a_replica_cut_off_from_control_for_long_confirms_nothing(service):
    primary, _, third = instances(service)
    service.cut_from_control(third)
    service.run(65_000)
    service.leave(primary)
    run_until_promoted(service)
    assert_nothing_lost(service)


# A replica that starts again under its id holds nothing of before. A lost order is not to be
# repeated on the position that was read before that start, of which control hears 1 s later.
def test_an_order_is_not_repeated_for_a_target_that_started_empty(service):
    primary, _, _ = instances(service)
    service.courses = [OrderCourse(is_lost=True)]
    service.crash(primary)
    target = service.upstreams[run_until_ordered(service).upstream]
    service.run(300)
    service.crash(target)
    target.log = []
    service.run(300)
    service.come_back(target, unheard_for_ms=1_000)
    run_until_promoted(service, CRASH_LIMIT_MS)
    assert_nothing_lost(service)


# Only the leader that paused a replica remembers to resume it, so that it stays paused where the
# primary was kept: its term isn't above that of the pause.
def test_a_replica_that_an_earlier_leader_paused_receives_again(service):
    primary, second, third = instances(service)
    service.cut_from_control(third)
    service.cut_from_control(primary)
    service.run_until(lambda: second.paused_term > 1, CRASH_LIMIT_MS)
    service.cut_from_control(second)
    service.reconnect_to_control(primary)
    service.run(8_000)
    service.replace_leader()
    service.reconnect_to_control(second)
    service.reconnect_to_control(third)
    service.run(CRASH_LIMIT_MS)
    assert_that(len(service.primary().log) - len(second.log), LessThan(10))
    assert_nothing_lost(service)


# A leaving primary may be gone before its replacement leads: its own log is no help then.
def test_a_primary_that_departs_early_is_replaced_without_loss(service):
    primary, _, _ = instances(service)
    service.leave(primary)
    service.run(400)
    service.depart(primary)
    assert_serves_within(service, CRASH_LIMIT_MS)
    assert_nothing_lost(service)


# As review/2, in a planned change. A primary that has stepped down replicates nothing more, so the
# replica that lags can't catch up then.
def test_a_leaving_primary_is_not_replaced_by_a_lagging_replica(service):
    _, third = leave_with_a_lagging_replica(service)
    service.later(3_000, lambda: setattr(third, "is_deaf", False))
    run_until_promoted(service)
    assert_serves_within(service, LOSS_LIMIT_MS)
    assert_nothing_lost(service)


# RESUME has no term: one of an earlier leader that was frozen, or that is late, ends the pause of
# this leader's failover. It isn't told so.
def test_a_late_resume_of_an_earlier_leader_confirms_nothing(service):
    primary, second, third = instances(service)
    service.cut_from_control(primary)
    order = run_until_ordered(service)
    resumed = third if order.upstream != third.name else second
    service.run(100)
    service.deliver(resumed, RESUME)
    run_until_promoted(service)
    assert_nothing_lost(service)


# After a crash the former primary has commits that nobody else received, so its log is the longest,
# but it lacks those of the newer term. The first promotion may wait for it: control can't know that
# those commits were not acknowledged.
def test_a_former_primary_with_a_longer_log_of_an_older_term_is_not_promoted(service):
    primary, second, third = instances(service)
    second.is_deaf = third.is_deaf = True
    service.run(1_000)
    service.crash(primary)
    second.is_deaf = third.is_deaf = False
    service.run_until(lambda: service.promoted, LOSS_LIMIT_MS)
    primary.is_deaf = True
    service.come_back(primary)
    service.run(500)
    assert_that(len(primary.log), GreaterThan(len(service.primary().log)))
    service.crash(service.primary())
    run_until_promoted(service, CRASH_LIMIT_MS)
    assert_nothing_lost(service)


# The last report of a departed replica lay in a frozen control process, and was shared when it went
# on. The failover then waited for a replica that no longer existed (seen on review/1).
def test_a_late_report_of_a_departed_replica_does_not_hold_up_a_failover(service):
    primary, second, _ = instances(service)
    service.leave(second)
    late = service.state.directory_state.directory.entries[second.name].report
    service.depart(second)
    heard = HeardReport(late._replace(sequence=late.sequence + 1), 900)
    share = DirectoryShare(peer(ADDRESSES[1]), 0, [heard], [], 0, [], {})
    service.handle(ce.MessageReceived(service.now_ms, share))
    service.leave(primary)
    run_until_promoted(service, limit_ms=4_000)
    assert_nothing_lost(service)
