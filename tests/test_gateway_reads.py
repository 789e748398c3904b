"""Reads of a gateway: their freshness and their routing."""

from endivewick_core.gateway import events as ev
from endivewick_core.statements import Error, Fault, StatementKind
from gateway_driver import (
    FAR_REPLICA,
    PRIMARY,
    REPLICA,
    configuration,
    position,
    ready_gateway,
    report,
)
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, Not

K = StatementKind


def test_a_bounded_read_goes_to_the_nearest_replica_at_a_watermark(gateway):
    gateway.session(1, "bounded")
    item = gateway.find_sent(gateway.send(1, K.READ))
    assert_that(item.upstream, Equals(REPLICA))
    assert_that(item.wait_for, Equals(position(10)))


def test_a_bounded_read_needs_no_newer_watermark_than_its_staleness_asks(gateway):
    gateway.now_ms += 1_000
    gateway.tick()
    gateway.answer_poll([], [gateway.watermark(99)])
    gateway.session(1, "bounded")
    item = gateway.find_sent(gateway.send(1, K.READ))
    assert_that(item.wait_for, Equals(position(10)))


def test_a_read_goes_to_the_primary_where_watermarks_are_too_old(gateway):
    gateway.now_ms += 1_501
    gateway.session(1, "bounded")
    item = gateway.find_sent(gateway.send(1, K.READ))
    assert_that((item.upstream, item.wait_for), Equals((PRIMARY, None)))


def test_the_age_of_a_watermark_counts_from_the_question(gateway):
    gateway.tick(1_000)
    gateway.now_ms += 1_400
    gateway.answer_poll([], [gateway.watermark(99, age_ms=200)])
    gateway.session(1, "bounded")
    assert_that(gateway.find_sent(gateway.send(1, K.READ)).upstream, Equals(PRIMARY))


def test_a_session_read_sees_its_own_commit(gateway):
    gateway.session(1, "session")
    request = gateway.send(1, K.WRITE)
    gateway.answer_own_statements()
    gateway.reply(gateway.find_sent(request), number=42)
    item = gateway.find_sent(gateway.send(1, K.READ))
    assert_that((item.upstream, item.wait_for), Equals((REPLICA, position(42))))


def test_a_bounded_read_does_not_wait_for_its_own_commit(gateway):
    gateway.session(1, "bounded")
    request = gateway.send(1, K.WRITE)
    gateway.answer_own_statements()
    gateway.reply(gateway.find_sent(request), number=42)
    assert_that(gateway.find_sent(gateway.send(1, K.READ)).wait_for, Equals(position(10)))


def test_a_strict_read_runs_inside_a_transaction_of_the_primary(gateway):
    gateway.session(1, "strict")
    item = gateway.find_sent(gateway.send(1, K.READ))
    assert_that(item.upstream, Equals(PRIMARY))
    assert_that(gateway.state.connections[item.connection].in_transaction, Equals(True))
    assert_that(gateway.writes[-1], Equals([K.READ, K.ROLLBACK, K.BEGIN]))


def test_a_strict_read_never_runs_outside_a_transaction(gateway):
    """After a refused BEGIN the read that was to run in its transaction must not be sent."""
    gateway.session(1, "strict")
    gateway.send(1, K.SET, name="tenant", argument="t1")
    request = gateway.send(1, K.READ)
    assert_that(gateway.find_sent(request), Is(None))
    assert_that(gateway.writes[-1], Equals([K.ROLLBACK, K.SET, K.BEGIN]))
    rollback, setting, begin = gateway.sent
    gateway.reply(rollback)
    gateway.reply(setting)
    gateway.reply(begin, error=Error(Fault.READ_ONLY, ""))
    assert_that(gateway.find_sent(request), Is(None))
    assert_that(gateway.answers[-1].error, Is(None))


def test_a_read_that_a_lagging_replica_refused_goes_to_another_upstream(gateway):
    gateway.session(1, "bounded")
    request = gateway.send(1, K.READ)
    gateway.reply(gateway.find_sent(request), error=Error(Fault.LAGGING, ""))
    item = gateway.find_sent(request)
    assert_that(item.upstream, Not(Equals(REPLICA)))
    assert_that(item.statement.text, Equals("read a"))


def test_a_read_only_transaction_begins_at_a_watermark_before_its_first_read(gateway):
    gateway.session(1, "bounded")
    gateway.send(1, K.BEGIN, is_read_only=True)
    request = gateway.send(1, K.READ)
    assert_that(gateway.find_sent(request), Is(None))
    begin = gateway.sent[0]
    assert_that((begin.upstream, begin.wait_for), Equals((REPLICA, position(10))))
    assert_that(begin.statement.is_read_only, Equals(True))
    gateway.reply(begin)
    assert_that(gateway.find_sent(request).connection, Equals(begin.connection))


def test_a_read_only_transaction_of_a_strict_route_runs_as_a_plain_one(gateway):
    gateway.session(1, "strict")
    gateway.send(1, K.BEGIN, is_read_only=True)
    item = gateway.find_sent(gateway.send(1, K.READ))
    assert_that(item.upstream, Equals(PRIMARY))


def test_reads_spill_to_another_replica_once_the_nearest_is_busy():
    """Pattern: a peak load of long reads in one data centre whose replica has three slots."""
    gateway = ready_gateway(connections=1)
    upstreams = []
    for number in range(12):
        gateway.session(number, "bounded")
        gateway.send(number, K.READ)
        gateway.open_all()
        gateway.tick()
    upstreams = [item.upstream for item in gateway.sent if item.kind is K.READ]
    assert_that(upstreams, Contains(FAR_REPLICA))
    assert_that(upstreams.count(REPLICA) > upstreams.count(FAR_REPLICA), Equals(True))


def test_a_leaving_upstream_gets_no_new_work(gateway):
    gateway.tick(300)
    leaving = report(REPLICA)._replace(state="leaving", sequence=2)
    gateway.answer_poll([leaving], [gateway.watermark(10)])
    gateway.session(1, "bounded")
    assert_that(gateway.find_sent(gateway.send(1, K.READ)).upstream, Not(Equals(REPLICA)))


def test_idle_transactions_are_renewed_with_each_configuration(gateway):
    """A statement must not run in a transaction begun before the configuration in force."""
    gateway.handle(ev.ConfigurationReceived(gateway.now_ms, configuration(2)))
    assert_that(gateway.writes[-1], Equals([K.ROLLBACK, K.BEGIN]))


def test_an_older_configuration_never_replaces_a_newer_one(gateway):
    gateway.handle(ev.ConfigurationReceived(gateway.now_ms, configuration(5)))
    gateway.handle(ev.ConfigurationReceived(gateway.now_ms, configuration(4, routes={})))
    assert_that(gateway.state.configuration.version, Equals(5))


def test_a_transaction_takes_the_route_in_force_at_its_first_statement(gateway):
    gateway.session(1, "bounded")
    gateway.send(1, K.BEGIN)
    gateway.handle(ev.ConfigurationReceived(gateway.now_ms, configuration(2, routes={})))
    gateway.send(1, K.READ)
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.UNKNOWN_WORKSPACE))


def test_a_new_primary_ends_the_idle_transactions_on_the_old_one(gateway):
    gateway.tick(300)
    gateway.answer_poll([], [gateway.watermark(11, term=2, upstream=REPLICA)])
    written = gateway.writes[-2:]
    assert_that(sorted(written), Equals([[K.BEGIN], [K.ROLLBACK]]))


def test_a_control_process_that_was_frozen_does_not_restore_a_former_primary(gateway):
    gateway.tick(300)
    gateway.answer_poll([], [gateway.watermark(11, term=2, upstream=REPLICA)])
    gateway.tick(300)
    gateway.answer_poll([], [gateway.watermark(10, age_ms=4_000)])
    assert_that(gateway.state.primaries["orders"], Equals(REPLICA))
