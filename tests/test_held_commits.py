"""A COMMIT of writes waits for a lease on its primary before it is sent.

Its success could not be acknowledged without one, and once it is sent its outcome may be in doubt.
Unsent, the transaction is rolled back and the client may repeat it.
"""

import pytest
from endivewick_core.statements import Fault
from endivewick_core.statements import StatementKind as K
from gateway_driver import PRIMARY, REPLICA, ready_gateway
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

LEASE_MS = 300


@pytest.fixture
def gateway():
    """Return a gateway with a transaction that has written, and whose lease has ended."""
    gateway = ready_gateway()
    gateway.state.settings = gateway.state.settings._replace(commits_need_leases=True)
    gateway.grant_lease(LEASE_MS)
    gateway.session(1, "strict")
    gateway.send(1, K.BEGIN)
    write = gateway.send(1, K.WRITE)
    gateway.answer_own_statements()
    gateway.reply(gateway.find_sent(write))
    gateway.tick(LEASE_MS)
    gateway.tick(100)
    gateway.answers.clear()
    return gateway


def is_rolled_back(gateway):
    """Return whether the transaction was rolled back upstream, or its connection closed."""
    return K.ROLLBACK in [item.kind for item in gateway.sent] or bool(gateway.closed)


def test_a_commit_is_sent_once_there_is_a_lease(gateway):
    commit = gateway.send(1, K.COMMIT)
    assert_that(gateway.find_sent(commit), Is(None))
    gateway.grant_lease()
    assert_that(gateway.find_sent(commit).upstream, Equals(PRIMARY))
    gateway.reply(gateway.find_sent(commit))
    assert_that([answer.error for answer in gateway.answers], Equals([None]))


# Guards against a COMMIT in doubt, or one that is never answered, where another upstream leads.
def test_a_commit_is_refused_once_another_upstream_leads(gateway):
    commit = gateway.send(1, K.COMMIT)
    gateway.grant_lease(upstream=REPLICA)
    assert_that([answer.error.fault for answer in gateway.answers], Equals([Fault.ABORTED]))
    assert_that(gateway.find_sent(commit), Is(None))
    assert_that(is_rolled_back(gateway), Equals(True))


# Guards against a transaction that stays open behind a COMMIT that was refused: the next statement
# of its session would run in it.
def test_a_commit_that_waited_in_vain_is_rolled_back(gateway):
    commit = gateway.send(1, K.COMMIT)
    for _ in range(60):
        gateway.tick(20)
    assert_that([answer.error.fault for answer in gateway.answers], Equals([Fault.BUSY]))
    assert_that(gateway.find_sent(commit), Is(None))
    assert_that(is_rolled_back(gateway), Equals(True))
    assert_that(gateway.state.sessions[1].connection, Is(None))


def test_a_commit_whose_connection_ends_is_refused(gateway):
    gateway.send(1, K.COMMIT)
    gateway.break_connection(gateway.state.sessions[1].connection)
    assert_that([answer.error.fault for answer in gateway.answers], Equals([Fault.ABORTED]))
    read = gateway.send(1, K.READ)
    gateway.tick()
    gateway.open_all()
    assert_that(gateway.find_sent(read), Not(Is(None)))


def test_a_commit_is_refused_while_a_failover_waits_for_commits(gateway):
    commit = gateway.send(1, K.COMMIT)
    gateway.tell_wait(waited_ms=2_000)
    (answer,) = gateway.answers
    assert_that((answer.error.fault, answer.error.retry_after_ms > 0), Equals((Fault.BUSY, True)))
    assert_that(gateway.find_sent(commit), Is(None))
    assert_that(is_rolled_back(gateway), Equals(True))


# Guards against a COMMIT that a queue of other statements holds up: they wait for its connection.
def test_a_held_commit_goes_before_queued_statements(gateway):
    for number in range(2, 40):
        gateway.session(number, "strict")
        gateway.send(number, K.READ)
    commit = gateway.send(1, K.COMMIT)
    gateway.grant_lease()
    assert_that(gateway.find_sent(commit), Not(Is(None)))


def test_a_transaction_that_wrote_nothing_commits_without_a_lease(gateway):
    gateway.session(2, "strict")
    gateway.send(2, K.BEGIN)
    read = gateway.send(2, K.READ)
    gateway.tick()
    gateway.open_all()
    gateway.reply(gateway.find_sent(read))
    commit = gateway.send(2, K.COMMIT)
    assert_that(gateway.find_sent(commit), Not(Is(None)))
