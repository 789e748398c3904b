"""The outcomes that a gateway reports for statements whose answers are missing or errors."""

from endivewick_core.positions import Position
from endivewick_core.statements import Error, Fault, StatementKind, TransactionState, UpstreamReply
from endivewick_core.upstream_links import ConnectionReplied
from gateway_driver import PRIMARY, REPLICA
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

K = StatementKind


def test_a_single_write_without_an_answer_is_in_doubt(gateway):
    gateway.session(1, "session")
    request = gateway.send(1, K.WRITE)
    gateway.break_connection(gateway.find_sent(request).connection)
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.OUTCOME_UNKNOWN))
    assert_that(gateway.find_sent(request), Is(None))


def test_a_commit_of_writes_without_an_answer_is_in_doubt(gateway):
    gateway.session(1, "strict")
    gateway.send(1, K.BEGIN)
    gateway.reply(gateway.find_sent(gateway.send(1, K.WRITE)))
    gateway.break_connection(gateway.find_sent(gateway.send(1, K.COMMIT)).connection)
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.OUTCOME_UNKNOWN))


def test_a_transaction_whose_commit_was_not_sent_is_aborted(gateway):
    gateway.session(1, "strict")
    gateway.send(1, K.BEGIN)
    gateway.break_connection(gateway.find_sent(gateway.send(1, K.WRITE)).connection)
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.ABORTED))


def test_a_transaction_that_loses_its_connection_between_statements_is_aborted(gateway):
    gateway.session(1, "strict")
    gateway.send(1, K.BEGIN)
    item = gateway.find_sent(gateway.send(1, K.WRITE))
    gateway.reply(item)
    gateway.break_connection(item.connection)
    gateway.send(1, K.COMMIT)
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.ABORTED))


def test_a_read_without_an_answer_is_sent_to_another_upstream(gateway):
    gateway.session(1, "bounded")
    request = gateway.send(1, K.READ)
    gateway.break_connection(gateway.find_sent(request).connection)
    assert_that(gateway.find_sent(request).upstream, Not(Equals(REPLICA)))


def test_a_write_that_the_upstream_refused_waits_for_the_next_primary(gateway):
    gateway.session(1, "session")
    request = gateway.send(1, K.WRITE)
    gateway.answer_own_statements()
    gateway.reply(gateway.find_sent(request), error=Error(Fault.READ_ONLY, ""))
    assert_that(gateway.answers, Equals([]))
    gateway.answer_own_statements()
    gateway.tick(300)
    gateway.answer_own_statements()
    gateway.reply(gateway.find_sent(request), error=Error(Fault.READ_ONLY, ""))
    gateway.answer_poll([], [gateway.watermark(11, term=2, upstream=REPLICA)])
    gateway.answer_own_statements()
    assert_that(gateway.find_sent(request).upstream, Equals(REPLICA))


def test_a_write_that_was_never_sent_is_refused_as_not_run(gateway):
    gateway.break_connection(next(n for n, u in gateway.upstream_of.items() if u == PRIMARY))
    gateway.session(1, "session")
    request = gateway.send(1, K.WRITE)
    assert_that(gateway.find_sent(request), Is(None))
    gateway.tick(1_000)
    error = gateway.answers[-1].error
    assert_that((error.fault, error.retry_after_ms), Equals((Fault.BUSY, 300)))


def test_a_write_that_was_sent_is_never_refused_as_not_run(gateway):
    gateway.session(1, "session")
    gateway.send(1, K.WRITE)
    gateway.tick(1_000)
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.TIMEOUT))


def test_a_late_answer_reaches_nobody_else(gateway):
    gateway.session(1, "bounded")
    late = gateway.find_sent(gateway.send(1, K.READ))
    gateway.tick(1_000)
    answers = len(gateway.answers)
    gateway.session(2, "bounded")
    gateway.reply(late, rows=("late",))
    assert_that(len(gateway.answers), Equals(answers))
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.TIMEOUT))


def test_every_request_is_answered_once(gateway):
    gateway.session(1, "bounded")
    request = gateway.send(1, K.READ)
    first = gateway.find_sent(request)
    gateway.reply(first, error=Error(Fault.BUSY, ""))
    gateway.tick(20)
    gateway.open_all()
    second = gateway.find_sent(request)
    gateway.reply(second, rows=("x",))
    gateway.tick(2_000)
    assert_that([item.rows for item in gateway.answers], Equals([("x",)]))


def test_each_failure_is_logged_with_its_inputs(gateway):
    gateway.session(1, "session")
    request = gateway.send(1, K.WRITE)
    gateway.break_connection(gateway.find_sent(request).connection)
    log_event = [item for item in gateway.log_events if item.request_id == request][-1]
    assert_that(log_event.outcome, Equals(Fault.OUTCOME_UNKNOWN.value))
    assert_that(log_event.inputs["attempts"], Equals(1))


def test_an_upstream_at_its_connection_limit_is_backed_off(gateway):
    gateway.session(1, "strict")
    gateway.session(2, "strict")
    gateway.send(1, K.READ)
    gateway.send(2, K.READ)
    opening = gateway.opening.pop()
    gateway.break_connection(opening, Fault.TOO_MANY_CONNECTIONS)
    gateway.tick(20)
    assert_that(gateway.opening, Equals([]))
    gateway.tick(500)
    assert_that(len(gateway.opening), Equals(1))


def test_a_gateway_reports_writes_without_answers_to_control(gateway):
    gateway.session(1, "session")
    request = gateway.send(1, K.WRITE)
    gateway.answer_own_statements()
    gateway.tick(1_400)
    assert_that(gateway.messages[-1].message.writes_failing, Equals([]))
    gateway.tick(300)
    assert_that(gateway.messages[-1].message.writes_failing, Equals(["orders"]))
    gateway.session(2, "session")
    request = gateway.send(2, K.WRITE)
    gateway.open_all()
    gateway.answer_own_statements()
    gateway.reply(gateway.find_sent(request))
    gateway.tick(300)
    assert_that(gateway.messages[-1].message.writes_failing, Equals([]))


def test_a_gateway_does_not_report_writes_that_it_could_not_send(gateway):
    """Too few connections must not lead to a failover of the primary."""
    gateway.break_connection(next(n for n, u in gateway.upstream_of.items() if u == PRIMARY))
    gateway.session(1, "session")
    gateway.send(1, K.WRITE)
    for _ in range(20):
        while gateway.opening:
            gateway.break_connection(gateway.opening.pop(), Fault.TOO_MANY_CONNECTIONS)
        gateway.tick(100)
    assert_that(gateway.messages[-1].message.writes_failing, Equals([]))


def test_a_gateway_reports_a_primary_that_it_cannot_reach_to_control(gateway):
    gateway.break_connection(next(n for n, u in gateway.upstream_of.items() if u == PRIMARY))
    for _ in range(40):
        while gateway.opening:
            gateway.break_connection(gateway.opening.pop(), Fault.ABORTED)
        gateway.tick(100)
    assert_that(gateway.messages[-1].message.writes_failing, Equals(["orders"]))


def test_an_answer_without_a_proof_is_no_answer_to_a_write(gateway):
    """An upstream that loses one answer still sends those to other statements."""
    gateway.session(1, "strict")
    gateway.send(1, K.BEGIN)
    item = gateway.find_sent(gateway.send(1, K.WRITE))
    gateway.reply(item)
    commit = gateway.find_sent(gateway.send(1, K.COMMIT))
    reply = UpstreamReply((), "", None, TransactionState.IDLE, Position(1, 10))
    gateway.handle(ConnectionReplied(gateway.now_ms, commit.connection, reply))
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.OUTCOME_UNKNOWN))
    assert_that(gateway.closed, Equals([commit.connection]))


def test_a_proof_in_the_answer_to_an_own_statement_ends_the_connection(gateway):
    """An earlier answer was lost, so that this one belongs to a client's statement."""
    session = gateway.session(1, "strict")
    gateway.send(session, K.SET, name="v", argument="1")
    request = gateway.send(session, K.WRITE)
    item = gateway.find_sent(request)
    assert_that(gateway._first_on(item.connection).statement.request_id, Equals("-"))
    reply = UpstreamReply((), "proof", None, TransactionState.IDLE, Position(1, 11))
    gateway.handle(ConnectionReplied(gateway.now_ms, item.connection, reply))
    assert_that(gateway.closed, Equals([item.connection]))
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.OUTCOME_UNKNOWN))


def test_a_read_whose_answer_has_no_proof_is_retried(gateway):
    gateway.session(1, "strict")
    request = gateway.send(1, K.READ)
    item = gateway.find_sent(request)
    gateway.sent.remove(item)
    rollback = next(one for one in gateway.sent if one.connection == item.connection)
    gateway.reply(rollback)
    assert_that(gateway.answers, Equals([]))
    assert_that(gateway.closed, Equals([item.connection]))


def test_a_begin_whose_answer_was_lost_starts_no_statement(gateway):
    """The next statement would run outside a transaction, perhaps on a former primary."""
    gateway.session(1, "strict")
    gateway.send(1, K.SET, name="v", argument="1")
    request = gateway.send(1, K.READ)
    begin = next(one for one in gateway.sent if one.kind is K.BEGIN)
    for item in [one for one in gateway.sent if one.connection == begin.connection]:
        state = TransactionState.IDLE if item.kind is K.BEGIN else None
        gateway.reply(item, state=state)
        if item.kind is K.BEGIN:
            break
    assert_that(gateway.closed, Equals([begin.connection]))
    assert_that(gateway.find_sent(request), Is(None))


def test_a_refusal_of_a_later_statement_is_never_taken_for_that_of_a_write(gateway):
    """Pattern (soak seed 201 without fencing): a write's answer is lost, its upstream steps down.

    The refusal of the BEGIN that followed the write in one batch was taken for the write's own: the
    write was sent again seven times, and then refused as not run.
    """
    for kind in (K.WRITE, K.COMMIT):
        session = gateway.session(20 + len(gateway.answers), "strict")
        if kind is K.COMMIT:
            gateway.send(session, K.BEGIN)
            write = gateway.send(session, K.WRITE)
            gateway.answer_own_statements()
            gateway.reply(gateway.find_sent(write))
        request = gateway.send(session, kind)
        gateway.answer_own_statements()
        item = gateway.find_sent(request)
        behind = [one for one in gateway.sent if one.connection == item.connection]
        assert_that(behind, Equals([item]))
        gateway.reply(item, number=11)
        gateway.answer_own_statements()
        assert_that(gateway.state.connections[item.connection].in_transaction, Equals(True))
