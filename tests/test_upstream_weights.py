"""Upstreams that fail, answer nothing or are full; each test names its load pattern.

In each pattern reads have to leave the upstream, and return to it afterwards.
"""

from endivewick_core.gateway import upstream_health
from endivewick_core.gateway.reducer import next_tick_ms
from endivewick_core.statements import Error, Fault, StatementKind
from endivewick_core.upstream_links import ConnectionOpened
from endivewick_core.upstream_statistics import UpstreamWeight
from gateway_driver import CONTROL, FAR_REPLICA, PRIMARY, REPLICA, ready_gateway
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan, Not

K = StatementKind
TOOK_MS = {REPLICA: 10, FAR_REPLICA: 40, PRIMARY: 60}


def weighted_gateway(**changes):
    return ready_gateway(uses_upstream_weights=True, **changes)


def drop(gateway, request):
    """Let an upstream never answer a request; return where it was sent."""
    item = gateway.find_sent(request)
    gateway.sent = [one for one in gateway.sent if one.connection != item.connection]
    return item.upstream


def run_without(gateway, upstream, for_ms):
    """Let time pass; every upstream but one opens connections and answers the gateway."""
    for _ in range(for_ms // 20):
        gateway.tick(20)
        for number in list(gateway.opening):
            if gateway.upstream_of[number] != upstream:
                gateway.opening.remove(number)
                gateway.handle(ConnectionOpened(gateway.now_ms, number))
        gateway.sent = [item for item in gateway.sent if item.upstream != upstream]
        gateway.answer_own_statements()


def serve_reads(gateway, session, count):
    """Send reads one after the other and answer them; return the upstreams that served them."""
    served = []
    for _ in range(count):
        request = gateway.send(session, K.READ)
        gateway.open_all()
        item = gateway.find_sent(request)
        if item is None:
            run_without(gateway, "", 100)
            item = gateway.find_sent(request)
        served.append(item.upstream)
        gateway.now_ms += TOOK_MS[item.upstream]
        gateway.reply(item)
        gateway.answer_own_statements()
    return served


def test_a_read_leaves_an_upstream_that_accepts_connections_and_answers_nothing():
    """Pattern: an upstream is unresponsive; its statements and its connections stay open.

    The read must be answered inside an objective of 600 ms, so it has to leave within 300 ms.
    """
    gateway = weighted_gateway()
    gateway.session(1, "bounded")
    request = gateway.send(1, K.READ)
    assert_that(drop(gateway, request), Equals(REPLICA))
    run_without(gateway, REPLICA, 300)
    again = gateway.find_sent(request)
    assert_that(again, Not(Is(None)))
    assert_that(again.upstream, Not(Equals(REPLICA)))


def test_the_reads_of_all_sessions_leave_an_unresponsive_upstream_without_a_retry_budget():
    """Pattern: an unresponsive upstream holds more reads than the budget for repeated ones."""
    gateway = weighted_gateway(connections=8)
    gateway.state.retry_budget = 0.0
    for number in range(4):
        gateway.session(number, "bounded")
        gateway.send(number, K.READ)
        gateway.open_all()
    held = [item.upstream for item in gateway.sent if item.statement.request_id != "-"]
    assert_that(held.count(REPLICA), GreaterThan(1))
    for _ in range(30):
        run_without(gateway, REPLICA, 20)
        for item in [one for one in gateway.sent if one.statement.request_id != "-"]:
            gateway.reply(item)
            gateway.answer_own_statements()
    assert_that([item.error for item in gateway.answers], Equals([None] * 4))


def test_a_gateway_that_was_suspended_takes_no_upstream_for_unresponsive():
    """Pattern: a gateway's VM is frozen for a second; the answers have come but aren't read yet.

    Otherwise it would find all upstreams unresponsive at once, and send its reads twice.
    """
    gateway = weighted_gateway()
    gateway.session(1, "bounded")
    request = gateway.send(1, K.READ)
    gateway.tick(500)
    item = gateway.state.pools[REPLICA]
    assert_that(upstream_health.is_unresponsive(gateway.state, gateway.now_ms, item), Equals(False))
    gateway.tick(40)
    gateway.tick(180)
    assert_that(upstream_health.is_unresponsive(gateway.state, gateway.now_ms, item), Equals(True))
    assert_that(request, Equals("r1"))


def test_a_read_that_only_the_primary_may_serve_is_not_sent_again_and_again():
    """Pattern: the primary answers nothing; its reads have no other upstream to move to."""
    gateway = weighted_gateway()
    gateway.state.retry_budget = 0.0
    gateway.session(1, "strict")
    request = gateway.send(1, K.READ)
    gateway.answer_own_statements()
    drop(gateway, request)
    run_without(gateway, PRIMARY, 600)
    item = gateway.state.pools[PRIMARY]
    assert_that(upstream_health.is_unresponsive(gateway.state, gateway.now_ms, item), Equals(True))
    moved = [one for one in gateway.log_events if one.event == "placed_again"]
    assert_that(moved, Equals([]))


def test_a_transaction_that_waits_for_its_begin_leaves_an_unresponsive_upstream():
    """Pattern: an upstream is unresponsive while a read-only transaction begins.

    Its first read was refused after the timeout and had been sent nowhere.
    """
    gateway = weighted_gateway()
    gateway.session(1, "bounded")
    gateway.send(1, K.BEGIN, is_read_only=True)
    request = gateway.send(1, K.READ)
    begin = next(item for item in gateway.sent if item.kind is K.BEGIN)
    assert_that(begin.upstream, Equals(REPLICA))
    run_without(gateway, REPLICA, 300)
    assert_that(gateway.find_sent(request).upstream, Not(Equals(REPLICA)))
    gateway.reply(gateway.find_sent(request))
    assert_that(gateway.answers[-1].error, Is(None))


def test_a_transaction_whose_first_read_is_not_answered_starts_again_elsewhere():
    """Pattern: an upstream becomes unresponsive between a BEGIN and the first read."""
    gateway = weighted_gateway()
    gateway.session(1, "bounded")
    gateway.send(1, K.BEGIN, is_read_only=True)
    request = gateway.send(1, K.READ)
    gateway.answer_own_statements()
    assert_that(gateway.find_sent(request).upstream, Equals(REPLICA))
    run_without(gateway, REPLICA, 300)
    assert_that(gateway.find_sent(request).upstream, Not(Equals(REPLICA)))


def test_a_read_does_not_wait_for_a_connection_that_an_unresponsive_upstream_never_opens():
    """Pattern: an upstream accepts a connection and never answers its first line.

    The read waited for this connection until its timeout and was refused, sent nowhere.
    """
    gateway = weighted_gateway()
    for connection in list(gateway.state.connections.values()):
        if connection.upstream == REPLICA:
            gateway.break_connection(connection.number)
    gateway.session(1, "bounded")
    run_without(gateway, REPLICA, 600)
    item = gateway.state.pools[REPLICA]
    assert_that(upstream_health.is_unresponsive(gateway.state, gateway.now_ms, item), Equals(True))
    gateway.state.pools[FAR_REPLICA].latency_ms = 200.0
    gateway.state.pools[PRIMARY].latency_ms = 200.0
    request = gateway.send(1, K.READ)
    assert_that(gateway.find_sent(request), Not(Is(None)))


def test_a_read_takes_a_free_connection_elsewhere_while_the_best_upstream_has_none():
    """Pattern: a gateway's few connections to the nearest upstream run long statements."""
    gateway = weighted_gateway()
    gateway.session(1, "bounded")
    gateway.session(2, "bounded")
    first = gateway.send(1, K.READ)
    assert_that(gateway.find_sent(first).upstream, Equals(REPLICA))
    gateway.state.pools[FAR_REPLICA].latency_ms = 200.0
    gateway.state.pools[PRIMARY].latency_ms = 300.0
    second = gateway.send(2, K.READ)
    assert_that(gateway.find_sent(second), Is(None))
    gateway.tick(60)
    assert_that(gateway.find_sent(second).upstream, Equals(FAR_REPLICA))


def test_new_reads_avoid_an_unresponsive_upstream_until_it_answers():
    """Pattern: an unresponsive upstream comes back; a trickle of reads detects it."""
    gateway = weighted_gateway()
    gateway.session(1, "bounded")
    request = gateway.send(1, K.READ)
    drop(gateway, request)
    run_without(gateway, REPLICA, 300)
    gateway.reply(gateway.find_sent(request))
    gateway.answer_own_statements()
    served = serve_reads(gateway, 1, 40)
    assert_that(served.count(REPLICA), LessThan(4))
    run_without(gateway, "", 2_500)
    item = gateway.state.pools[REPLICA]
    assert_that(upstream_health.weight(gateway.state, gateway.now_ms, item), GreaterThan(0.2))
    later = []
    for _ in range(12):
        later += serve_reads(gateway, 1, 10)
        run_without(gateway, "", 1_000)
        gateway.answer_poll([], [gateway.watermark(10)])
    assert_that(later[-10:].count(REPLICA), GreaterThan(5))


def test_a_writer_goes_to_the_primary_whatever_its_weight():
    """Pattern: the primary fails part of its statements; writes have no other upstream."""
    gateway = weighted_gateway()
    gateway.tick(300)
    weights = {PRIMARY: UpstreamWeight(2, 0, 0)}
    gateway.answer_poll([], [gateway.watermark(10)], upstream_weights=weights)
    gateway.session(1, "session")
    request = gateway.send(1, K.WRITE)
    gateway.answer_own_statements()
    assert_that(gateway.find_sent(request).upstream, Equals(PRIMARY))


def test_one_reset_is_enough_for_a_gateway_to_leave_a_gray_failing_upstream():
    """Pattern: an upstream resets part of its connections while its health probe succeeds."""
    gateway = weighted_gateway(connections=3)
    gateway.session(1, "bounded")
    request = gateway.send(1, K.READ)
    gateway.break_connection(gateway.find_sent(request).connection)
    gateway.open_all()
    run_without(gateway, "", 100)
    gateway.reply(gateway.find_sent(request))
    gateway.answer_own_statements()
    item = gateway.state.pools[REPLICA]
    assert_that(upstream_health.weight(gateway.state, gateway.now_ms, item), LessThan(0.3))
    gateway.state.pools[FAR_REPLICA].latency_ms = 60.0
    assert_that(serve_reads(gateway, 1, 10).count(REPLICA), LessThan(8))


def test_a_read_that_was_refused_often_is_still_sent_to_an_upstream_that_did_not_try_it():
    """Pattern: two upstreams are full and gone, and a third one could serve the read."""
    gateway = weighted_gateway(connections=3)
    gateway.session(1, "bounded")
    request = gateway.send(1, K.READ)
    gateway.state.requests[next(iter(gateway.state.requests))].attempts = 3
    gateway.break_connection(gateway.find_sent(request).connection)
    assert_that(gateway.answers, Equals([]))
    run_without(gateway, REPLICA, 100)
    assert_that(gateway.find_sent(request).upstream, Not(Equals(REPLICA)))


def test_a_read_that_every_replica_refused_tries_them_again_beside_an_unresponsive_primary():
    """Pattern: both replicas lag for a moment while the primary answers nothing.

    The read waited for the primary until its timeout, though a replica had caught up.
    """
    gateway = weighted_gateway()
    gateway.session(1, "bounded")
    primary = gateway.state.pools[PRIMARY]
    primary.health.unresponsive_until_ms = gateway.now_ms + 5_000
    primary.idle.clear()
    request = gateway.send(1, K.READ)
    for _ in range(2):
        gateway.reply(gateway.find_sent(request), error=Error(Fault.LAGGING, ""))
        gateway.answer_own_statements()
    run_without(gateway, PRIMARY, 300)
    assert_that(gateway.find_sent(request).upstream, Equals(REPLICA))


def test_a_read_that_has_one_upstream_left_does_not_hold_up_those_behind_it():
    """Pattern: a queued read was refused by both replicas, and the primary is full."""
    gateway = weighted_gateway()
    pools = gateway.state.pools
    gateway.session(1, "bounded")
    gateway.session(2, "bounded")
    pools[PRIMARY].busy_backoff_until_ms = gateway.now_ms + 5_000
    for upstream in (REPLICA, FAR_REPLICA):
        pools[upstream].lagging_backoff_until_ms = gateway.now_ms + 5_000
    gateway.send(1, K.READ)
    second = gateway.send(2, K.READ)
    next(iter(gateway.state.requests.values())).tried.update({REPLICA, FAR_REPLICA})
    for upstream in (REPLICA, FAR_REPLICA):
        pools[upstream].lagging_backoff_until_ms = 0
    gateway.tick(20)
    assert_that(gateway.find_sent(second), Not(Is(None)))


def test_a_gateway_follows_what_control_found_and_ignores_old_findings():
    """Pattern: others see an upstream fail; control's word of it is then not renewed."""
    gateway = weighted_gateway(connections=2)
    gateway.session(1, "bounded")
    gateway.tick(300)
    weights = {REPLICA: UpstreamWeight(2, 0, 100)}
    gateway.answer_poll([], [gateway.watermark(10)], upstream_weights=weights)
    assert_that(serve_reads(gateway, 1, 20).count(REPLICA), LessThan(4))
    item = gateway.state.pools[REPLICA]
    later_ms = gateway.now_ms + upstream_health.TOLD_MAX_AGE_MS
    assert_that(upstream_health.weight(gateway.state, later_ms, item), Equals(1.0))


def test_reads_are_spread_while_the_slots_of_the_nearest_upstream_are_taken():
    """Pattern: the nearest upstream's slots are all in use by others, and other slots are free."""
    gateway = weighted_gateway(connections=2)
    gateway.session(1, "bounded")
    gateway.tick(300)
    weights = {REPLICA: UpstreamWeight(100, 150, 0), PRIMARY: UpstreamWeight(100, 150, 0)}
    gateway.answer_poll([], [gateway.watermark(10)], upstream_weights=weights)
    served = serve_reads(gateway, 1, 60)
    assert_that(served.count(FAR_REPLICA), GreaterThan(20))


def test_outcomes_are_reported_once_and_only_for_upstreams_that_changed():
    """Pattern: an idle system; polls must not grow with the number of upstreams."""
    gateway = weighted_gateway()
    gateway.session(1, "bounded")
    serve_reads(gateway, 1, 1)
    request = gateway.send(1, K.READ)
    item = gateway.find_sent(request)
    gateway.reply(item, error=Error(Fault.FAILED, ""))
    gateway.answer_own_statements()
    gateway.reply(gateway.find_sent(request))
    gateway.answer_own_statements()
    gateway.tick(300)
    counts = gateway.messages[-1].message.upstream_counts
    assert_that(counts[REPLICA].succeeded, Equals(1))
    assert_that(counts[REPLICA].failed, Equals(1))
    gateway.tick(300)
    assert_that(gateway.messages[-1].message.upstream_counts, Equals({}))


def test_many_gateways_report_healthy_upstreams_less_often_and_failures_at_once():
    """Pattern: three thousand gateways poll four times a second; control's bytes are bounded."""
    gateway = weighted_gateway()
    gateway.session(1, "bounded")
    serve_reads(gateway, 1, 1)
    gateway.tick(300)
    gateway.state.control.gateways = 3_000
    gateway.messages.clear()
    for _ in range(8):
        serve_reads(gateway, 1, 1)
        gateway.tick(300)
    counts = [item.message.upstream_counts for item in gateway.messages if item.address == CONTROL]
    assert_that([item for item in counts if REPLICA in item], Equals([]))
    item = gateway.state.pools[REPLICA]
    upstream_health.record_lost(item, gateway.now_ms, 1, Fault.ABORTED)
    gateway.tick(300)
    assert_that(gateway.messages[-1].message.upstream_counts[REPLICA].succeeded, GreaterThan(5))


def test_failures_are_reported_before_the_next_poll_is_due():
    """Pattern: an upstream begins to fail; the other gateways should learn of it soon."""
    gateway = weighted_gateway(connections=3)
    gateway.session(1, "bounded")
    gateway.tick(300)
    request = gateway.send(1, K.READ)
    gateway.break_connection(gateway.find_sent(request).connection)
    gateway.messages.clear()
    gateway.tick(110)
    counts = [item.message.upstream_counts for item in gateway.messages if item.address == CONTROL]
    assert_that([item[REPLICA].lost for item in counts], Equals([1]))


def test_a_late_read_is_sent_elsewhere_inside_its_objective_where_the_upstream_is_slow():
    """Pattern: an upstream loses some answers, and its mean latency is high.

    By its mean latency alone the answer would be overdue after 1,000 ms, beyond the objective.
    """
    gateway = weighted_gateway()
    gateway.session(1, "bounded")
    request = gateway.send(1, K.READ)
    item = gateway.state.pools[drop(gateway, request)]
    item.latency_ms = 300.0
    for _ in range(14):
        item.health.answered_ms = gateway.now_ms
        run_without(gateway, item.upstream, 20)
    assert_that(gateway.find_sent(request), Not(Is(None)))


def test_an_unresponsive_upstream_is_looked_for_more_often_while_requests_wait():
    """Guards against ticks of 100 ms, which would add up to 100 ms to each move of a read."""
    gateway = weighted_gateway()
    gateway.session(1, "bounded")
    gateway.send(1, K.READ)
    assert_that(next_tick_ms(gateway.state, gateway.now_ms), LessThan(50))


def test_a_transaction_is_no_part_of_the_trickle_to_an_unresponsive_upstream():
    """Pattern: an upstream answers nothing; a transaction there could not be repeated."""
    gateway = weighted_gateway(connections=2)
    gateway.session(1, "bounded")
    health = gateway.state.pools[REPLICA].health
    used = []
    for _ in range(300):
        health.unresponsive_until_ms = gateway.now_ms + 5_000
        gateway.state.pools[FAR_REPLICA].latency_ms = 80.0
        gateway.send(1, K.BEGIN, is_read_only=True)
        request = gateway.send(1, K.READ)
        used += [item.upstream for item in gateway.sent]
        gateway.answer_own_statements()
        gateway.reply(gateway.find_sent(request))
        gateway.send(1, K.ROLLBACK)
        gateway.answer_own_statements()
    assert_that(used.count(REPLICA), Equals(0))


def test_without_the_policy_nothing_is_reported_and_weights_are_ignored():
    """Pattern: a deployment without the policy `health` behaves as before."""
    gateway = ready_gateway(connections=2)
    gateway.session(1, "bounded")
    gateway.tick(300)
    assert_that(gateway.messages[-1].message.upstream_counts, Equals({}))
    weights = {REPLICA: UpstreamWeight(2, 200, 0)}
    gateway.answer_poll([], [gateway.watermark(10)], upstream_weights=weights)
    upstream_health.record_lost(gateway.state.pools[REPLICA], gateway.now_ms, 9, Fault.ABORTED)
    assert_that(set(serve_reads(gateway, 1, 20)), Equals({REPLICA}))


def test_a_changed_weight_is_logged_with_what_decided_it():
    """Pattern: an operator looks for the reason why reads left an upstream."""
    gateway = weighted_gateway()
    gateway.session(1, "bounded")
    drop(gateway, gateway.send(1, K.READ))
    run_without(gateway, REPLICA, 300)
    events = [item for item in gateway.log_events if item.event == "upstream_weight_changed"]
    assert_that([item.inputs["upstream"] for item in events], Equals([REPLICA]))
    assert_that(events[0].inputs["unresponsive"], Equals(True))
