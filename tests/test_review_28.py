"""Faults that the review of issue 28 claims; each test fails while its fault is there."""

import matrix
from control_driver import ADDRESSES, SERVICE, peer
from endivewick_core.control import events as ce
from endivewick_core.directory import UpstreamState
from endivewick_core.messages import DirectoryShare, HeardReport, PrimaryHealth
from endivewick_core.positions import ZERO
from endivewick_core.statements import StatementKind as K
from gateway_driver import ready_gateway
from replicated_service import GATEWAYS, OrderCourse
from test_promotions_keep_commits import (
    CRASH_LIMIT_MS,
    LOSS_LIMIT_MS,
    assert_nothing_lost,
    assert_serves_within,
    instances,
    leave_with_a_lagging_replica,
    run_until_ordered,
)
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan, Not
from workload import CONTRACT, Session, ready_driver


# A former primary that started again under its id holds nothing of before. The end of its empty log
# is taken for the end of the log that it had, so that any replica seems to have every commit, and
# the positions of gateways aren't looked at.
def test_the_end_of_a_primary_that_started_empty_proves_nothing(service):
    primary, second, third = instances(service)
    third.is_deaf = True
    service.run(2_000)
    service.cut_from_control(second)
    service.crash(primary)
    primary.log, primary.leads = [], False
    service.run(1_000)
    service.come_back(primary, unheard_for_ms=1_000)
    service.later(9_000, lambda: service.reconnect_to_control(second))
    service.run_until(lambda: service.promoted, LOSS_LIMIT_MS)
    service.run(2_000)
    assert_nothing_lost(service)


# The next leader can't reach the new primary, and its last probe was of the former one, which is
# still draining. The end of that one's log, as a replica, is taken for the end of the primary's,
# and a primary that serves is replaced.
def test_the_end_of_an_upstream_that_was_not_the_primary_proves_nothing(service):
    primary, second, third = instances(service)
    service.leave(primary)
    watermark = service.state.watch.watermarks[SERVICE]
    service.run_until(lambda: service.primary() in (second, third), CRASH_LIMIT_MS)
    service.run_until(lambda: not service.state.failover.running, CRASH_LIMIT_MS)
    service.run(1_000)
    promoted = service.primary()
    other = third if promoted is second else second
    entries = service.state.directory_state.directory
    service.cut_from_control(promoted)
    service._end_control(700)
    service.state.directory_state.directory = entries
    service.state.watch.watermarks[SERVICE] = watermark
    service.win_election()
    before = len(service.promoted)
    service.run(100)
    other.is_deaf = True
    service.run_until(lambda: len(service.promoted) > before, CRASH_LIMIT_MS)
    service.run(2_000)
    assert_nothing_lost(service)


# A lost order is repeated for a target that has started again with an empty log: it is compared
# with the replicas that are left only, not with what is known to be acknowledged.
def test_an_order_is_not_repeated_for_an_empty_target_that_is_alone(service):
    primary, second, third = instances(service)
    service.courses = [OrderCourse(is_lost=True)]
    service.crash(primary)
    target = service.upstreams[run_until_ordered(service).upstream]
    other = third if target is second else second
    service.run(100)
    service.depart(other)
    target.log = []
    service.come_back(target, unheard_for_ms=2_500)
    service.break_connections(target.name)
    service.later(6_000, lambda: service.come_back(primary))
    service.run_until(lambda: service.promoted, LOSS_LIMIT_MS)
    service.run(2_000)
    assert_nothing_lost(service)


# An attempt that begins anew inherits the times since when it waits, so that after 30 s the first
# replica that confirms its new pause is promoted, although another one is known to have more.
def test_an_attempt_that_begins_anew_waits_for_the_best_replica(service):
    primary, second, third = instances(service)
    third.is_deaf = True
    service.run(2_000)
    service.cut_from_control(second)
    service.crash(primary)
    service.run(20_000)
    service.courses = [OrderCourse(is_lost=True)] * 40  # the platform is down
    service.reconnect_to_control(second)
    service.run(20_000)
    service.courses = []
    service.come_back(second)
    service.break_connections(second.name)
    service.run(8_000)
    assert_nothing_lost(service)


# The primary answers a probe just before it steps down. That answer is taken for one of a primary
# that leads: it is kept, though nothing leads (without fencing), or ordered at once, and a replica
# with every acknowledged commit isn't waited for.
def test_a_primary_that_has_stepped_down_is_not_kept_for_an_earlier_answer(service):
    primary, _, _ = instances(service)
    service.leave(primary)
    service.run_until(lambda: "failover_done" in service.log_event_names, CRASH_LIMIT_MS)
    assert_that(service.primary(), Not(Is(None)))
    assert_that(service.promoted[-1], Not(Equals("u-primary")))


# Most control processes restarted, know no primary, and so don't find it failing; the leader knows
# one. Neither majority is reached. Nothing writes, so that gateways don't report either.
def test_a_primary_that_only_the_leader_knew_is_replaced(service):
    primary, _, _ = instances(service)

    def share():
        for address in ADDRESSES[1:]:
            message = DirectoryShare(peer(address), 0, [], [], 0, [], {})
            service.handle(ce.MessageReceived(service.now_ms, message))

    service.share = share
    service.is_writing = False
    service.crash(primary)
    service.run_until(lambda: service.promoted, LOSS_LIMIT_MS)
    assert_that(len(service.promoted), GreaterThan(0))


# All processes are killed, gateways too: nobody remembers what was acknowledged. The replica that
# has it is heard of 3 s after the election, and the lagging one is promoted before.
def test_a_lagging_replica_is_not_promoted_after_gateways_restarted_too(service):
    primary, second, third = instances(service)
    third.is_deaf = True
    service.run(2_000)
    service.crash(primary)
    for gateway in GATEWAYS:
        service.positions[gateway] = {}
    service.restart_control(late=second)
    second.report_due_ms = service.now_ms + 3_000
    service.run_until(lambda: service.promoted, LOSS_LIMIT_MS)
    service.run(2_000)
    assert_nothing_lost(service)


def receive_late(service):
    """Let the replicas receive what the primary had 60 ms ago."""
    primary = service.primary()
    sent = []
    receive = service._replicate

    def replicate_later():
        sent.append(list(primary.log))
        if service.primary() is not primary:
            receive()
            return
        newest = primary.log
        primary.log = sent[-4] if len(sent) > 3 else []
        receive()
        primary.log = newest

    service._replicate = replicate_later


# Commits follow each other faster than a replica receives them, so that the answer to a commit
# shows entries that nobody has received. The positions of gateways then exceed those of every
# replica, and a plain crash with healthy replicas waits 30 s for what was never acknowledged.
def test_a_plain_crash_under_load_is_not_held_up_by_unacknowledged_commits(service):
    primary, _, _ = instances(service)
    receive_late(service)
    service.run(2_000)
    service.crash(primary)
    assert_serves_within(service, CRASH_LIMIT_MS)
    assert_nothing_lost(service)


# A former primary that stepped down and then crashed is ordered to lead again. The platform refuses
# each time, and a new attempt begins at once, with two more entries of the log.
def test_a_former_primary_that_crashed_is_not_ordered_again_and_again(service):
    primary, _ = leave_with_a_lagging_replica(service)
    service.run_until(lambda: service.orders, CRASH_LIMIT_MS)
    service.run_until(lambda: service.promoted, CRASH_LIMIT_MS)
    orders = len(service.orders)
    service.run_until(lambda: not service.primary(), CRASH_LIMIT_MS)
    service.run(40)
    service.crash(primary)
    service.run(10_000)
    assert_that(len(service.orders) - orders, LessThan(12))  # one a second


# While the only replica of a draining primary lags, each planned change fails and takes the service
# down again, though nothing has changed since the last one.
def test_a_draining_primary_serves_while_its_replica_lags(service):
    primary, third = leave_with_a_lagging_replica(service)
    leading = 0
    for _ in range(500):
        service.run(20)
        leading += service.primary() is not None
    assert_that(leading, GreaterThan(400))  # of 500


# A COMMIT that is sent without a lease can't be acknowledged, and ends in doubt, which its client
# can't retry. Not sent, it could wait for the lease, or be refused with nothing kept.
def test_a_commit_is_not_sent_while_its_success_could_not_be_acknowledged():
    gateway = ready_gateway(needs_primary_leases=False)
    gateway.state.settings = gateway.state.settings._replace(commits_need_leases=True)
    gateway.grant_lease(left_ms=300)
    session = gateway.session(1, "strict")
    gateway.send(session, K.BEGIN)
    request = gateway.send(session, K.WRITE)
    gateway.answer_own_statements()
    gateway.reply(gateway.find_sent(request))
    gateway.tick(400)
    request = gateway.send(session, K.COMMIT)
    assert_that(gateway.find_sent(request), Is(None))


def lost_by_proxy(driver):
    """Return the acknowledged writes that the one promoted upstream lacks."""
    (promoted,) = [item.upstream for item in driver.history if item.kind == "promoted"]
    held = {(item.key, item.value) for item in driver.upstreams[promoted].database.log}
    return [
        item
        for item in driver.history
        if item.kind == "answer" and item.operation == "write" and item.outcome == "ok"
        if item.key and (item.key, item.value) not in held
    ]


# The project's own proxy, with `acknowledge: replica`: a leaving replica counts for acknowledged
# writes, but neither is promoted nor waited for. One that lags is promoted instead.
def test_the_proxy_does_not_promote_past_a_leaving_replica(monkeypatch):
    monkeypatch.setitem(CONTRACT, "acknowledge", "replica")
    driver = ready_driver(1)
    for number in range(3):
        Session(driver, f"s{number}", matrix.PROXIES)
    driver.run(500)
    driver.upstreams["u2"].leaving = True
    driver.run(500)
    driver.upstreams["u1"].lag_ms = 60_000
    driver.run(2_000)
    driver.kill_upstream("u0")
    driver.run(5_000)
    assert_that(lost_by_proxy(driver), Equals([]))


# The project's own proxy, with `acknowledge: replica`: the replica that confirmed the writes isn't
# heard for longer than the proxy waits for one, and the other one, which lags, was promoted.
def test_the_proxy_waits_for_the_replica_that_confirmed_writes(monkeypatch):
    monkeypatch.setitem(CONTRACT, "acknowledge", "replica")
    driver = ready_driver(1)
    for number in range(3):
        Session(driver, f"s{number}", matrix.PROXIES)
    driver.run(500)
    driver.upstreams["u1"].lag_ms = 60_000
    driver.run(2_000)
    for proxy in matrix.PROXIES:
        driver.cut(proxy, "u2")
    driver.kill_upstream("u0")
    driver.run(6_000)
    driver.heal()
    driver.run(6_000)
    assert_that(lost_by_proxy(driver), Equals([]))


# A target that is promoted raises no demand on the next one: it may end before it has acknowledged
# anything, and the next one would be waited for in vain.
def test_the_proxy_demands_only_what_it_acknowledged():
    driver = ready_driver(1)
    driver.run(500)
    driver.kill_upstream("u0")
    driver.run(5_000)
    homes = [
        home for name in matrix.PROXIES for home in driver.processes[name].state.homes.values()
    ]
    assert_that([item.kind for item in driver.history].count("promoted"), Equals(1))
    assert_that({home.replicated_position for home in homes}, Equals({ZERO}))


# A DELETE names no start. One that is late, or repeated since its answer was lost, marks the new
# start of the same id as departed, and for one start that is final: its reports are dropped.
def test_a_late_departure_does_not_remove_the_next_start_of_an_upstream(service):
    _, second, _ = instances(service)
    service.leave(second)
    service.depart(second)
    service.run(500)
    second.state = UpstreamState.READY
    service.come_back(second)
    service.run(500)
    service.handle(ce.UpstreamRemoved(service.now_ms, 0, second.name))
    service.run(5_000)
    entry = service.state.directory_state.directory.entries[second.name]
    assert_that(entry.report.state, Equals(UpstreamState.READY))


# Both replicas are lost, so that no write is confirmed and gateways report it. The primary is told
# to step down, and no replica answers: it is never told to lead again, although it is there.
def test_a_primary_that_lost_its_replicas_goes_on_to_lead(service):
    primary, second, third = instances(service)
    service.run(8_000)
    service.crash(second)
    service.crash(third)
    service.run(60_000)
    assert_that(primary.leads, Equals(True))


# The same in a planned change, where the leader is cut off from both replicas once it has begun.
def test_a_draining_primary_leads_again_if_no_replica_answers(service):
    primary, second, third = instances(service)
    service.leave(primary)
    service.run_until(lambda: not primary.leads, CRASH_LIMIT_MS)
    service.cut_from_control(second)
    service.cut_from_control(third)
    service.break_connections(second.name)
    service.break_connections(third.name)
    service.run(LOSS_LIMIT_MS)
    assert_that(service.primary(), Not(Is(None)))


def let_others_reach(service, primary):
    """Let the other control processes say that a primary answers them, and pass its reports on."""
    report = service.state.directory_state.directory.entries[primary.name].report

    def share():
        heard = [HeardReport(report._replace(sequence=service.now_ms), 0)]
        for address in ADDRESSES[1:]:
            health = [PrimaryHealth(SERVICE, primary.name, 0, 0)]
            message = DirectoryShare(peer(address), 0, heard, health, 0, [], {})
            service.handle(ce.MessageReceived(service.now_ms, message))

    service.share = share


# After a restart the leader alone can't reach the primary, which serves and answers the others. It
# isn't replaced, but nobody is granted a lease on it either.
def test_a_primary_that_only_the_new_leader_misses_serves(service):
    primary, _, _ = instances(service)
    service.cut_from_control(primary)
    let_others_reach(service, primary)
    service.restart_control()
    service.run(3_000)
    assert_serves_within(service, CRASH_LIMIT_MS)


# The same where its last probe was of the former primary: it goes on to lease that one, since the
# others don't find it failing.
def test_a_new_leader_does_not_lease_a_former_primary(service):
    primary, second, third = instances(service)
    service.crash(primary)
    watermark = service.state.watch.watermarks[SERVICE]
    service.run_until(lambda: service.primary() in (second, third), CRASH_LIMIT_MS)
    service.run_until(lambda: not service.state.failover.running, CRASH_LIMIT_MS)
    service.come_back(primary)
    service.run(2_000)
    promoted = service.primary()
    entries = service.state.directory_state.directory
    service.cut_from_control(promoted)
    let_others_reach(service, promoted)
    service._end_control(700)
    service.state.directory_state.directory = entries
    service.state.watch.watermarks[SERVICE] = watermark
    service.share()
    service.win_election()
    service.run(3_000)
    leased = service.state.primary_leases.leases.get(SERVICE)
    assert_that(leased is not None and leased.upstream == primary.name, Equals(False))
    assert_serves_within(service, CRASH_LIMIT_MS)


# Gateways held successes of a primary that the leader could not reach after its promotion. It is
# replaced, which rolls these commits back, and then promoted again: the lease on its second
# leadership confirms commits of its first one.
def test_a_lease_on_a_later_leadership_confirms_no_commit_of_an_earlier_one(fenced_service):
    service = fenced_service
    primary, second, third = instances(service)
    answer = service._answer_commits

    def answer_in_time():
        """A statement times out after 2 s, so that its success is held no longer."""
        kept = [item for item in service.held if service.now_ms - item.received_ms < 2_000]
        service.held = kept
        answer()

    service._answer_commits = answer_in_time
    service.leave(third)
    service.courses = [OrderCourse(is_lost=True)]
    service.run(1_260)
    service.leave(primary)
    service.run(1_200)
    service.cut_from_control(second)
    service.later(6_000, lambda: service.reconnect_to_control(second))
    service.run(14_000)
    assert_nothing_lost(service)


# A primary that stepped down, and is unknown as such after a restart of control, counts as replica:
# its last commit, which nobody else had, holds the service up for 30 s once it has departed.
def test_a_commit_that_only_the_former_primary_had_does_not_hold_up_a_service(service):
    primary, second, _ = instances(service)
    service.leave(second)
    service.run(200)
    service.leave(primary)
    service.run_until(lambda: not primary.leads, CRASH_LIMIT_MS)
    service.run(100)
    service.restart_control()
    service.run_until(lambda: service.orders, CRASH_LIMIT_MS)
    service.depart(primary)
    assert_serves_within(service, CRASH_LIMIT_MS)


# The same 20 s after a replica departed, as in any release. It can't hold what was acknowledged
# since.
def test_a_replica_that_departed_before_does_not_hold_up_a_crash_under_load(service):
    primary, second, _ = instances(service)
    service.start("u-new")
    service.leave(second)
    service.run(1_000)
    service.depart(second)
    service.run(20_000)
    receive_late(service)
    service.run(2_000)
    service.crash(primary)
    assert_serves_within(service, CRASH_LIMIT_MS)
    assert_nothing_lost(service)
