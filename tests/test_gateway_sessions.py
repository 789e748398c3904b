"""Sessions of a gateway: values, prepared statements and transactions on pooled connections."""

import pytest
from endivewick_core.gateway import events as ev
from endivewick_core.gateway.planned_stop import is_drained
from endivewick_core.gateway.reducer import next_tick_ms
from endivewick_core.gateway.state import GatewayState
from endivewick_core.positions import Position
from endivewick_core.statements import Error, Fault, StatementKind, TransactionState
from endivewick_core.watermarks import Watermark
from gateway_driver import PRIMARY, REPLICA, SERVICE, configuration, ready_gateway
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

K = StatementKind


def test_a_session_of_an_unknown_workspace_is_refused(gateway):
    gateway.session(1, "nobody")
    assert_that(gateway.refused[0].error.fault, Equals(Fault.UNKNOWN_WORKSPACE))


def test_statements_without_upstream_work_are_answered_at_once(gateway):
    gateway.session(1, "strict")
    gateway.send(1, K.SET, name="tenant", argument="t1")
    gateway.send(1, K.PREPARE, name="s", argument="q1")
    gateway.send(1, K.BEGIN)
    assert_that([item.error for item in gateway.answers], Equals([None, None, None]))
    assert_that(gateway.answers[-1].state, Equals(TransactionState.OPEN))
    assert_that(gateway.sent, Equals([]))


def test_values_reach_the_upstream_before_the_first_statement(gateway):
    gateway.session(1, "bounded")
    gateway.send(1, K.SET, name="tenant", argument="t1")
    gateway.send(1, K.READ)
    assert_that(gateway.writes[-1], Equals([K.SET, K.READ]))


def test_a_connection_is_reset_between_sessions_with_other_values(gateway):
    gateway.session(1, "bounded")
    gateway.send(1, K.SET, name="tenant", argument="t1")
    request = gateway.send(1, K.READ)
    gateway.answer_own_statements()
    gateway.reply(gateway.find_sent(request), rows=("x",))
    gateway.session(2, "bounded")
    gateway.send(2, K.READ)
    assert_that(gateway.writes[-1], Equals([K.RESET, K.READ]))


def test_a_prepared_statement_is_prepared_again_after_a_reset(gateway):
    gateway.session(1, "bounded")
    gateway.send(1, K.PREPARE, name="s", argument="q1")
    request = gateway.send(1, K.EXECUTE, name="s", argument="a")
    assert_that(gateway.writes[-1], Equals([K.PREPARE, K.EXECUTE]))
    gateway.answer_own_statements()
    gateway.reply(gateway.find_sent(request))
    request = gateway.send(1, K.EXECUTE, name="s", argument="b")
    assert_that(gateway.writes[-1], Equals([K.EXECUTE]))
    gateway.reply(gateway.find_sent(request))
    gateway.send(1, K.SET, name="tenant", argument="t1")
    gateway.send(1, K.READ)
    gateway.answer_own_statements()
    gateway.reply(gateway.sent[0])
    gateway.session(2, "bounded")
    gateway.send(2, K.PREPARE, name="s", argument="q1")
    gateway.send(2, K.EXECUTE, name="s", argument="a")
    assert_that(gateway.writes[-1], Equals([K.RESET, K.PREPARE, K.EXECUTE]))


def test_equal_names_of_two_sessions_run_their_own_shapes(gateway):
    for session, shape in ((1, "q1"), (2, "q2")):
        gateway.session(session, "bounded")
        gateway.send(session, K.PREPARE, name="s", argument=shape)
    names = []
    for session in (1, 2):
        request = gateway.send(session, K.EXECUTE, name="s", argument="a")
        gateway.answer_own_statements()
        item = gateway.find_sent(request)
        names.append(item.statement.name)
        gateway.reply(item)
    assert_that(names[0], Not(Equals(names[1])))


def test_an_unknown_prepared_name_is_refused_without_running(gateway):
    gateway.session(1, "bounded")
    gateway.send(1, K.EXECUTE, name="s", argument="a")
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.UNKNOWN_STATEMENT))
    assert_that(gateway.sent, Equals([]))


def test_a_transaction_stays_on_one_connection_until_its_commit(gateway):
    gateway.session(1, "strict")
    gateway.send(1, K.BEGIN)
    used = []
    for kind in (K.READ, K.WRITE, K.COMMIT):
        item = gateway.find_sent(gateway.send(1, kind))
        used.append((item.connection, item.upstream))
        gateway.reply(item)
    assert_that(used, Equals([used[0]] * 3))
    assert_that(used[0][1], Equals(PRIMARY))
    assert_that(gateway.answers[-1].state, Equals(TransactionState.IDLE))
    assert_that(gateway.answers[-1].proof, Equals("proof-10"))


def test_no_other_session_gets_the_connection_of_an_open_transaction(gateway):
    gateway.session(1, "strict")
    gateway.send(1, K.BEGIN)
    first = gateway.find_sent(gateway.send(1, K.READ))
    gateway.reply(first)
    gateway.session(2, "strict")
    request = gateway.send(2, K.READ)
    assert_that(gateway.find_sent(request), Is(None))
    gateway.open_all()
    assert_that(gateway.find_sent(request).connection, Not(Equals(first.connection)))


def test_a_client_that_disconnects_inside_a_transaction_is_rolled_back(gateway):
    gateway.session(1, "strict")
    gateway.send(1, K.BEGIN)
    item = gateway.find_sent(gateway.send(1, K.WRITE))
    gateway.reply(item)
    gateway.handle(ev.SessionClosed(gateway.now_ms, 1))
    assert_that(gateway.writes[-1], Equals([K.ROLLBACK, K.BEGIN]))


def test_a_client_that_disconnects_before_an_answer_loses_the_connection(gateway):
    gateway.session(1, "strict")
    gateway.send(1, K.BEGIN)
    item = gateway.find_sent(gateway.send(1, K.WRITE))
    gateway.handle(ev.SessionClosed(gateway.now_ms, 1))
    assert_that(gateway.closed, Equals([item.connection]))


def test_an_idle_transaction_releases_its_connection(gateway):
    gateway.session(1, "strict")
    gateway.send(1, K.BEGIN)
    gateway.reply(gateway.find_sent(gateway.send(1, K.WRITE)))
    gateway.tick(3_000)
    assert_that(gateway.writes[-1], Equals([K.ROLLBACK, K.BEGIN]))
    gateway.send(1, K.COMMIT)
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.ABORTED))
    assert_that(gateway.answers[-1].state, Equals(TransactionState.IDLE))


def test_a_failed_transaction_refuses_everything_until_its_end(gateway):
    gateway.session(1, "strict")
    gateway.send(1, K.BEGIN)
    gateway.reply(gateway.find_sent(gateway.send(1, K.READ)))
    gateway.reply(gateway.find_sent(gateway.send(1, K.READ)), error=Error(Fault.BUSY, ""))
    assert_that(gateway.answers[-1].state, Equals(TransactionState.FAILED))
    gateway.send(1, K.READ)
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.BAD_REQUEST))
    gateway.send(1, K.ROLLBACK)
    assert_that(gateway.answers[-1].state, Equals(TransactionState.IDLE))


def test_an_empty_transaction_commits_upstream(gateway):
    gateway.session(1, "strict")
    gateway.send(1, K.BEGIN)
    item = gateway.find_sent(gateway.send(1, K.COMMIT))
    gateway.reply(item)
    assert_that(gateway.answers[-1].proof, Equals("proof-10"))


def test_statements_wait_for_the_first_configuration():
    gateway = ready_gateway()
    gateway.state.configuration = configuration(0)
    gateway.session(1, "bounded")
    request = gateway.send(1, K.READ)
    assert_that(gateway.answers, Equals([]))
    gateway.handle(ev.ConfigurationReceived(gateway.now_ms, configuration(1)))
    assert_that(gateway.find_sent(request).upstream, Equals(REPLICA))


def test_statements_are_refused_if_no_configuration_arrives():
    gateway = ready_gateway()
    gateway.state.configuration = configuration(0)
    gateway.session(1, "bounded")
    gateway.send(1, K.READ)
    gateway.tick(1_500)
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.BUSY))
    assert_that(gateway.answers[-1].error.retry_after_ms, Equals(300))


def test_a_planned_stop_closes_idle_sessions_and_lets_transactions_end(gateway):
    gateway.session(1, "strict")
    gateway.session(2, "strict")
    gateway.send(2, K.BEGIN)
    gateway.reply(gateway.find_sent(gateway.send(2, K.READ)))
    gateway.handle(ev.DrainRequested(gateway.now_ms, 6_000))
    gateway.tick(100)
    assert_that(gateway.closed_sessions, Equals([]))
    gateway.tick(2_450)
    assert_that(gateway.closed_sessions, Equals([1]))
    gateway.tick(450)
    assert_that(gateway.closed_sessions, Equals([1, 2]))


def test_a_commit_of_a_transaction_that_failed_here_ends_it_upstream(gateway):
    """The next statement of the session must not run inside the failed transaction."""
    gateway.session(1, "strict")
    gateway.send(1, K.BEGIN)
    item = gateway.find_sent(gateway.send(1, K.WRITE))
    gateway.reply(item)
    gateway.send(1, K.EXECUTE, name="unknown", argument="a")
    gateway.send(1, K.COMMIT)
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.ABORTED))
    gateway.answer_own_statements()
    request = gateway.send(1, K.READ)
    assert_that(gateway.find_sent(request), Not(Is(None)))
    kinds = [kind for kinds in gateway.writes for kind in kinds]
    write = kinds.index(K.WRITE)
    assert_that(K.ROLLBACK in kinds[write : kinds.index(K.READ, write)], Equals(True))


def test_a_gateway_without_waiting_statements_ticks_less_often(gateway):
    assert_that(next_tick_ms(gateway.state, gateway.now_ms) > 20, Equals(True))
    gateway.state.queued = 1
    assert_that(next_tick_ms(gateway.state, gateway.now_ms), Equals(20))


def test_a_session_that_opens_during_a_planned_stop_is_served_before_it_is_closed(gateway):
    """Pattern: a planned stop under load; the balancer sends sessions until it notices."""
    gateway.handle(ev.DrainRequested(gateway.now_ms, 6_000))
    gateway.tick(2_400)
    session = gateway.session(5, "bounded")
    gateway.state.watermarks[SERVICE].marks.append(Watermark(gateway.now_ms, Position(1, 10)))
    request = gateway.send(session, K.READ)
    gateway.tick(200)
    assert_that(gateway.closed_sessions, Equals([]))
    gateway.reply(gateway.find_sent(request))
    assert_that(gateway.answers[-1].error, Is(None))
    gateway.tick(20)
    assert_that(gateway.closed_sessions, Equals([session]))


# A client that sends its next statement right after each answer was cut off at the end.
def test_a_planned_stop_closes_a_busy_session_right_after_an_answer(gateway):
    gateway.session(1, "bounded")
    gateway.handle(ev.DrainRequested(gateway.now_ms, 6_000))
    gateway.state.watermarks[SERVICE].marks.append(
        Watermark(gateway.now_ms + 2_500, Position(1, 10))
    )
    request = gateway.send(1, K.READ)
    gateway.now_ms += 2_500
    gateway.reply(gateway.find_sent(request))
    assert_that(gateway.closed_sessions, Equals([1]))


# A statement that has arrived behind an answer must be served before its session is closed.
def test_a_planned_stop_serves_a_statement_that_is_being_read(gateway):
    gateway.session(1, "strict")
    gateway.handle(ev.DrainRequested(gateway.now_ms, 6_000))
    gateway.unread.add(1)
    gateway.tick(2_500)
    assert_that(gateway.closed_sessions, Equals([]))
    gateway.unread.clear()
    request = gateway.send(1, K.READ)
    gateway.tick(20)
    gateway.reply(gateway.find_sent(request))
    assert_that((len(gateway.answers), gateway.closed_sessions), Equals((1, [1])))


# A statement that can't be answered before the process ends was cut off instead of refused.
@pytest.mark.parametrize("kind", [K.READ, K.WRITE, K.BEGIN])
def test_the_last_part_of_a_planned_stop_refuses_statements_as_not_run(gateway, kind):
    gateway.session(1, "strict")
    gateway.unread.add(1)
    gateway.handle(ev.DrainRequested(gateway.now_ms, 6_000))
    gateway.tick(5_000)
    sent = len(gateway.sent)
    gateway.unread.clear()
    gateway.send(1, kind)
    answer = gateway.answers[-1]
    assert_that(answer.error.fault, Equals(Fault.BUSY))
    assert_that(len(gateway.sent), Equals(sent))
    assert_that(gateway.closed_sessions, Equals([1]))


# A transaction whose COMMIT is refused must be rolled back, and its client told so.
@pytest.mark.parametrize("kind", [K.WRITE, K.COMMIT])
def test_the_last_part_of_a_planned_stop_rolls_back_transactions(gateway, kind):
    gateway.session(1, "strict")
    gateway.send(1, K.BEGIN)
    item = gateway.find_sent(gateway.send(1, K.WRITE))
    gateway.reply(item)
    gateway.unread.add(1)
    gateway.handle(ev.DrainRequested(gateway.now_ms, 6_000))
    gateway.now_ms += 5_000
    request = gateway.send(1, kind)
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.ABORTED))
    assert_that(gateway.find_sent(request), Is(None))
    sent = [one.kind for one in gateway.sent if one.connection == item.connection]
    assert_that(sent[0], Equals(K.ROLLBACK))


# A client that connected to a gateway about to end was cut off without a word.
def test_the_last_part_of_a_planned_stop_refuses_sessions(gateway):
    gateway.handle(ev.DrainRequested(gateway.now_ms, 6_000))
    gateway.now_ms += 5_000
    gateway.session(1, "strict")
    assert_that([item.error.fault for item in gateway.refused], Equals([Fault.BUSY]))


# A request that runs until the process ends must get an answer, and only a true one.
@pytest.mark.parametrize(("is_sent", "fault"), [(True, Fault.TIMEOUT), (False, Fault.BUSY)])
def test_a_planned_stop_answers_every_request_before_its_end(gateway, is_sent, fault):
    gateway.session(1, "strict")
    gateway.session(2, "strict")
    gateway.handle(ev.DrainRequested(gateway.now_ms, 6_000))
    gateway.unread.update((1, 2))
    gateway.tick(4_900)
    gateway.send(1, K.WRITE)
    gateway.send(2, K.WRITE)
    gateway.tick(880)
    assert_that(gateway.answers, Equals([]))
    gateway.unread.clear()
    waits_ms = next_tick_ms(gateway.state, gateway.now_ms)
    gateway.tick(waits_ms)
    faults = {item.session: item.error.fault for item in gateway.answers}
    assert_that(faults[1 if is_sent else 2], Equals(fault))
    assert_that(gateway.closed_sessions, Equals([1, 2]))
    assert_that(is_drained(gateway.state, gateway.now_ms), Equals(True))


# A transaction stayed open after its COMMIT was refused; the next writes were never committed.
@pytest.mark.parametrize(
    ("kind", "state"), [(K.COMMIT, TransactionState.IDLE), (K.WRITE, TransactionState.FAILED)]
)
def test_a_statement_of_a_removed_route_ends_its_transaction(gateway, kind, state):
    gateway.session(1, "strict")
    gateway.send(1, K.BEGIN)
    without = configuration(2)
    del without.routes["strict"]
    gateway.handle(ev.ConfigurationReceived(gateway.now_ms, without))
    gateway.send(1, kind)
    answer = gateway.answers[-1]
    assert_that((answer.error.fault, answer.state), Equals((Fault.UNKNOWN_WORKSPACE, state)))


# The balancer sends sessions to stopping gateways, too, where too few others are ready.
def test_a_planned_stop_waits_for_the_first_statement_of_a_new_session(gateway):
    gateway.handle(ev.DrainRequested(gateway.now_ms, 6_000))
    gateway.tick(2_600)
    gateway.session(1, "strict")
    gateway.session(2, "strict")
    gateway.tick(100)
    assert_that(gateway.closed_sessions, Equals([]))
    gateway.send(1, K.SET, name="tenant", argument="t1")
    gateway.tick(200)
    assert_that(gateway.closed_sessions, Equals([2]))
    gateway.send(1, K.ROLLBACK)
    assert_that(gateway.closed_sessions, Equals([2, 1]))


# Guards against a transaction that is begun and can't come to its end before its session is closed.
def test_the_second_half_of_a_planned_stop_begins_no_transaction(gateway):
    gateway.session(1, "strict")
    gateway.unread.add(1)
    gateway.handle(ev.DrainRequested(gateway.now_ms, 6_000))
    gateway.tick(3_100)
    gateway.unread.clear()
    gateway.send(1, K.BEGIN)
    answer = gateway.answers[-1]
    assert_that((answer.error.fault, answer.state), Equals((Fault.BUSY, TransactionState.IDLE)))
    assert_that(gateway.closed_sessions, Equals([1]))


# Guards against a transaction that is cut off between two statements of a client that goes on.
def test_a_planned_stop_lets_a_transaction_go_on_until_its_client_pauses(gateway):
    gateway.session(1, "strict")
    gateway.session(2, "strict")
    gateway.send(1, K.BEGIN)
    gateway.send(2, K.BEGIN)
    gateway.handle(ev.DrainRequested(gateway.now_ms, 6_000))
    for _ in range(32):
        gateway.tick(100)
        gateway.reply(gateway.find_sent(gateway.send(1, K.READ)))
    assert_that(gateway.closed_sessions, Equals([2]))
    gateway.reply(gateway.find_sent(gateway.send(1, K.COMMIT)))
    assert_that(gateway.answers[-1].error, Is(None))
    assert_that(gateway.closed_sessions, Equals([2, 1]))


# Guards against a process that ends with statements which wait for the first configuration.
def test_a_planned_stop_refuses_statements_that_wait_for_the_first_configuration(gateway):
    gateway.state.configuration = GatewayState(gateway.state.settings).configuration
    gateway.handle(ev.DrainRequested(gateway.now_ms, 6_000))
    gateway.tick(4_980)
    gateway.session(1, "strict")
    gateway.send(1, K.WRITE)
    gateway.send(1, K.WRITE)
    assert_that(gateway.answers, Equals([]))
    gateway.tick(40)
    faults = [item.error.fault for item in gateway.answers]
    assert_that(faults, Equals([Fault.BUSY, Fault.BUSY]))
