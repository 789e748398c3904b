"""What a gateway says became of a statement whose answer did not come."""

from endivewick_core.statements import Error, Fault, StatementKind, TransactionState
from gateway_driver import PRIMARY, REPLICA
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

K = StatementKind


def test_a_single_write_without_an_answer_is_in_doubt(gateway):
    gateway.session(1, "session")
    request = gateway.send(1, K.WRITE)
    gateway.lose(gateway.work(request).connection)
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.OUTCOME_UNKNOWN))
    assert_that(gateway.work(request), Is(None))


def test_a_commit_of_writes_without_an_answer_is_in_doubt(gateway):
    gateway.session(1, "strict")
    gateway.send(1, K.BEGIN)
    gateway.reply(gateway.work(gateway.send(1, K.WRITE)))
    gateway.lose(gateway.work(gateway.send(1, K.COMMIT)).connection)
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.OUTCOME_UNKNOWN))


def test_a_transaction_whose_commit_was_not_sent_is_aborted(gateway):
    gateway.session(1, "strict")
    gateway.send(1, K.BEGIN)
    gateway.lose(gateway.work(gateway.send(1, K.WRITE)).connection)
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.ABORTED))


def test_a_transaction_that_loses_its_connection_between_statements_is_aborted(gateway):
    gateway.session(1, "strict")
    gateway.send(1, K.BEGIN)
    item = gateway.work(gateway.send(1, K.WRITE))
    gateway.reply(item)
    gateway.lose(item.connection)
    gateway.send(1, K.COMMIT)
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.ABORTED))


def test_a_read_without_an_answer_is_tried_elsewhere(gateway):
    gateway.session(1, "bounded")
    request = gateway.send(1, K.READ)
    gateway.lose(gateway.work(request).connection)
    assert_that(gateway.work(request).upstream, Not(Equals(REPLICA)))


def test_a_write_that_the_upstream_refused_waits_for_the_next_primary(gateway):
    gateway.session(1, "session")
    request = gateway.send(1, K.WRITE)
    gateway.settle()
    gateway.reply(gateway.work(request), error=Error(Fault.READ_ONLY, ""))
    assert_that(gateway.answers, Equals([]))
    gateway.settle()
    gateway.tick(300)
    gateway.settle()
    gateway.reply(gateway.work(request), error=Error(Fault.READ_ONLY, ""))
    gateway.poll_answer([], [gateway.mark(11, term=2, upstream=REPLICA)])
    gateway.settle()
    assert_that(gateway.work(request).upstream, Equals(REPLICA))


def test_a_write_that_was_never_sent_is_refused_as_not_run(gateway):
    gateway.lose(next(n for n, u in gateway.upstream_of.items() if u == PRIMARY))
    gateway.session(1, "session")
    request = gateway.send(1, K.WRITE)
    assert_that(gateway.work(request), Is(None))
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
    late = gateway.work(gateway.send(1, K.READ))
    gateway.tick(1_000)
    answers = len(gateway.answers)
    gateway.session(2, "bounded")
    gateway.reply(late, rows=("late",))
    assert_that(len(gateway.answers), Equals(answers))
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.TIMEOUT))


def test_every_request_is_answered_once(gateway):
    gateway.session(1, "bounded")
    request = gateway.send(1, K.READ)
    first = gateway.work(request)
    gateway.reply(first, error=Error(Fault.BUSY, ""))
    gateway.tick(20)
    gateway.open_all()
    second = gateway.work(request)
    gateway.reply(second, rows=("x",))
    gateway.tick(2_000)
    assert_that([item.rows for item in gateway.answers], Equals([("x",)]))


def test_each_failure_is_logged_with_its_inputs(gateway):
    gateway.session(1, "session")
    request = gateway.send(1, K.WRITE)
    gateway.lose(gateway.work(request).connection)
    decision = [item for item in gateway.decisions if item.request_id == request][-1]
    assert_that(decision.outcome, Equals(Fault.OUTCOME_UNKNOWN.value))
    assert_that(decision.inputs["attempts"], Equals(1))


def test_an_upstream_at_its_connection_limit_is_left_alone_for_a_while(gateway):
    gateway.session(1, "strict")
    gateway.session(2, "strict")
    gateway.send(1, K.READ)
    gateway.send(2, K.READ)
    opening = gateway.opening.pop()
    gateway.lose(opening, Fault.TOO_MANY_CONNECTIONS)
    gateway.tick(20)
    assert_that(gateway.opening, Equals([]))
    gateway.tick(500)
    assert_that(len(gateway.opening), Equals(1))


def test_a_gateway_tells_control_of_writes_without_answers(gateway):
    gateway.session(1, "session")
    request = gateway.send(1, K.WRITE)
    gateway.settle()
    gateway.tick(1_400)
    assert_that(gateway.messages[-1].message.writes_failing, Equals([]))
    gateway.tick(300)
    assert_that(gateway.messages[-1].message.writes_failing, Equals(["orders"]))
    gateway.session(2, "session")
    request = gateway.send(2, K.WRITE)
    gateway.open_all()
    gateway.settle()
    gateway.reply(gateway.work(request))
    gateway.tick(300)
    assert_that(gateway.messages[-1].message.writes_failing, Equals([]))


def test_a_gateway_tells_nothing_of_writes_that_it_could_not_send(gateway):
    """A shortage of connections is no reason to replace the primary."""
    gateway.lose(next(n for n, u in gateway.upstream_of.items() if u == PRIMARY))
    gateway.session(1, "session")
    gateway.send(1, K.WRITE)
    for _ in range(20):
        while gateway.opening:
            gateway.lose(gateway.opening.pop(), Fault.TOO_MANY_CONNECTIONS)
        gateway.tick(100)
    assert_that(gateway.messages[-1].message.writes_failing, Equals([]))


def test_a_gateway_tells_control_of_a_primary_that_it_cannot_reach(gateway):
    gateway.lose(next(n for n, u in gateway.upstream_of.items() if u == PRIMARY))
    for _ in range(40):
        while gateway.opening:
            gateway.lose(gateway.opening.pop(), Fault.ABORTED)
        gateway.tick(100)
    assert_that(gateway.messages[-1].message.writes_failing, Equals(["orders"]))


def test_an_answer_without_a_proof_is_no_answer_to_a_write(gateway):
    """An upstream that loses one answer goes on with those to the statements behind it."""
    gateway.session(1, "strict")
    gateway.send(1, K.BEGIN)
    item = gateway.work(gateway.send(1, K.WRITE))
    gateway.reply(item)
    commit = gateway.work(gateway.send(1, K.COMMIT))
    gateway.sent.remove(commit)
    begin = next(one for one in gateway.sent if one.connection == commit.connection)
    gateway.reply(begin)
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.OUTCOME_UNKNOWN))
    assert_that(gateway.closed, Equals([commit.connection]))


def test_a_read_whose_answer_has_no_proof_is_tried_elsewhere(gateway):
    gateway.session(1, "strict")
    request = gateway.send(1, K.READ)
    item = gateway.work(request)
    gateway.sent.remove(item)
    rollback = next(one for one in gateway.sent if one.connection == item.connection)
    gateway.reply(rollback)
    assert_that(gateway.answers, Equals([]))
    assert_that(gateway.closed, Equals([item.connection]))


def test_a_begin_whose_answer_was_lost_is_not_taken_for_begun(gateway):
    """A statement behind it would run outside a transaction, at whatever still leads or not."""
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
    assert_that(gateway.work(request), Is(None))
