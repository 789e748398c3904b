"""Leases on primaries, where the platform doesn't fence a former primary.

Pattern (day trouble-3 of tsegaye-lunch): a primary is partitioned from its replicas and from
control, with a part of the gateways. It goes on to accept transactions and to answer reads while
another upstream is promoted.
"""

import pytest
from control_driver import ADDRESSES, SERVICE, leading_control
from endivewick_core.control import events as ce
from endivewick_core.control.events import FailoverOutcome
from endivewick_core.messages import (
    DirectoryAnswer,
    DirectoryQuestion,
    PrimaryLeaseAnswer,
    PrimaryLeaseNote,
    PrimaryLeaseQuestion,
)
from endivewick_core.positions import Position
from endivewick_core.replicated_state import FailoverRecord
from endivewick_core.statements import Fault, StatementKind
from gateway_driver import PRIMARY, REPLICA, ready_gateway
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan, Not

K = StatementKind
LEASE_MS = 2_000
GATEWAY = "10.0.0.9:7000"


@pytest.fixture
def control():
    return leading_control(LEASE_MS, fences_primaries=False)


@pytest.fixture
def gateway():
    made = ready_gateway(needs_primary_leases=True)
    made.tick(300)
    return made


def poll(control, sequence=1):
    """Poll control as a gateway; return the leases and the answer that follows them."""
    question = DirectoryQuestion(GATEWAY, "dc-a", sequence, 1, "boot", 0, [], [], {}, False)
    control.replies.clear()
    control.handle(ce.MessageReceived(control.now_ms, question))
    messages = [item.message for item in control.replies if item.address == GATEWAY]
    assert_that([type(item) for item in messages], Equals([PrimaryLeaseAnswer, DirectoryAnswer]))
    return messages


def lease_until(control):
    return control.state.primary_leases.leases[SERVICE].valid_until_ms


def make_primary_unreachable(control):
    control.upstreams["u-primary"].reachable = False
    control.break_connections("u-primary")


def test_a_gateway_gets_a_lease_on_the_primary(control):
    leases, answer = poll(control)
    (note,) = leases.leases
    assert_that(note.upstream, Equals("u-primary"))
    assert_that(note.left_ms, GreaterThan(1_000))
    assert_that(note.left_ms <= LEASE_MS, Equals(True))
    assert_that(answer.watermarks[0].upstream, Equals("u-primary"))


def test_nothing_is_ordered_while_a_lease_lasts(control):
    make_primary_unreachable(control)
    while not control.orders and control.now_ms < 200_000:
        control.run(20)
    assert_that(control.now_ms, GreaterThan(lease_until(control)))


def test_a_former_primary_that_steps_down_ends_the_wait(control):
    """A primary that left its service for good reasons answers; its leases need not run out."""
    control.run(1_000)
    leaving = control.upstreams["u-primary"]
    leaving.state = leaving.state.LEAVING
    control.report(leaving)
    control.run(200)
    assert_that(leaving.leads, Equals(False))
    assert_that(len(control.orders), Equals(1))
    assert_that(control.now_ms, LessThan(lease_until(control)))


def test_a_new_leader_waits_for_the_leases_of_the_one_before(control):
    make_primary_unreachable(control)
    control.run(1_200)
    control.state.primary_leases.leases.clear()
    control.state.leader_state.since_ms = control.now_ms
    control.run(LEASE_MS)
    assert_that(control.orders, Equals([]))
    control.run(500)
    assert_that(len(control.orders), Equals(1))


def test_a_leader_without_a_quorum_grants_and_orders_nothing(control):
    control.deaf = set(ADDRESSES[1:])
    control.run(100)
    until_ms = lease_until(control)
    make_primary_unreachable(control)
    control.run(1_100)
    assert_that(lease_until(control), Equals(until_ms))
    assert_that(control.orders, Equals([]))


def test_a_former_primary_that_goes_on_is_not_believed(control):
    make_primary_unreachable(control)
    control.run(4_000)
    control.platform(FailoverOutcome.ACCEPTED)
    target = control.orders[-1].upstream
    control.promote(target, is_fenced=False)
    control.run(1_000)
    control.upstreams["u-primary"].reachable = True
    control.upstreams["u-primary"].received = Position(3, 99)
    control.run(500)
    assert_that(control.state.watch.watermarks[SERVICE].upstream, Equals(target))
    leases, answer = poll(control)
    assert_that([item.upstream for item in leases.leases], Equals([target]))
    assert_that([item.upstream for item in answer.watermarks], Equals([target]))


def test_a_failover_that_an_earlier_leader_left_open_is_carried_out(control):
    """Its order may still be carried out, so the former primary can't be kept."""
    control.state.replicated_state.failovers[SERVICE] = FailoverRecord(1, "another", True, "")
    control.run(3_000)
    assert_that(control.orders[-1].upstream, Not(Equals("u-primary")))


def test_a_follower_counts_a_lease_from_before_its_request(control):
    control.make_follower(f"{ADDRESSES[1]}#founder")
    control.state.primary_leases.leases.clear()
    control.replies.clear()
    control.run(20)
    asked_ms = control.now_ms
    question = next(
        item.message for item in control.replies if isinstance(item.message, PrimaryLeaseQuestion)
    )
    control.run(700)
    notes = [PrimaryLeaseNote(SERVICE, "u-primary", 900)]
    answer = PrimaryLeaseAnswer(question.sequence, notes)
    control.handle(ce.MessageReceived(control.now_ms, answer))
    assert_that(lease_until(control), Equals(asked_ms + 900))


def test_a_follower_cut_off_from_its_leader_passes_no_watermark_on(control):
    """Its probes of a former primary still succeed, but prove nothing."""
    control.make_follower()
    control.run(LEASE_MS + 500)
    leases, answer = poll(control)
    assert_that((leases.leases, answer.watermarks), Equals(([], [])))


def test_a_read_is_sent_to_the_primary_only_under_a_lease(gateway):
    session = gateway.session(1, "strict")
    request = gateway.send(session, K.READ)
    assert_that(gateway.find_sent(request), Is(None))
    gateway.grant_lease()
    gateway.answer_own_statements()
    assert_that(gateway.find_sent(request).upstream, Equals(PRIMARY))


def test_a_lease_that_ended_sends_no_read(gateway):
    gateway.grant_lease(left_ms=500)
    gateway.tick(600)
    request = gateway.send(gateway.session(1, "strict"), K.READ)
    gateway.answer_own_statements()
    assert_that(gateway.find_sent(request), Is(None))


def test_a_read_that_waited_for_its_transaction_checks_the_lease_again(gateway):
    gateway.grant_lease(left_ms=100)
    session = gateway.session(1, "strict")
    gateway.send(session, K.SET, name="tenant", argument="a")
    request = gateway.send(session, K.READ)
    gateway.now_ms += 200
    gateway.answer_own_statements()
    assert_that(gateway.find_sent(request), Is(None))


def test_bounded_reads_go_on_without_a_lease_while_a_watermark_is_young_enough(gateway):
    request = gateway.send(gateway.session(1, "bounded"), K.READ)
    item = gateway.find_sent(request)
    assert_that(item.upstream, Equals(REPLICA))
    assert_that(item.wait_for, Equals(Position(1, 10)))


def test_an_answer_of_a_primary_without_a_lease_is_no_watermark(gateway):
    gateway.grant_lease(left_ms=300)
    session = gateway.session(1, "strict")
    request = gateway.send(session, K.READ)
    gateway.answer_own_statements()
    gateway.now_ms += 400
    sent = gateway.find_sent(request)
    gateway.state.primary_leases.clear()
    gateway.reply(sent, number=99)
    newest = gateway.state.watermarks["orders"].newest
    assert_that(newest.position, Equals(Position(1, 10)))


def write_past_the_lease(gateway):
    """Send a write under a lease that ends before its answer; return its request id."""
    gateway.grant_lease(left_ms=200)
    request = gateway.send(gateway.session(1, "strict"), K.WRITE)
    gateway.answer_own_statements()
    gateway.tick(300)
    gateway.answers.clear()
    gateway.reply(gateway.find_sent(request), number=11)
    return request


def test_a_commit_is_acknowledged_once_a_lease_covers_it(gateway):
    write_past_the_lease(gateway)
    assert_that(gateway.answers, Equals([]))
    gateway.tick(20)
    gateway.grant_lease()
    assert_that([item.error for item in gateway.answers], Equals([None]))


def test_a_commit_at_an_upstream_that_was_replaced_is_in_doubt(gateway):
    write_past_the_lease(gateway)
    gateway.tick(20)
    gateway.grant_lease(upstream=REPLICA)
    assert_that(gateway.answers[0].error.fault, Equals(Fault.OUTCOME_UNKNOWN))


def test_a_gateway_without_control_refuses_at_once(gateway):
    """It can't obtain a lease, so waiting for the statement's timeout would help nobody."""
    gateway.answer_poll()
    gateway.tick(3_000)
    gateway.answers.clear()
    gateway.send(gateway.session(1, "strict"), K.WRITE)
    (answer,) = gateway.answers
    assert_that(answer.error.fault, Equals(Fault.BUSY))
    assert_that(answer.error.retry_after_ms, GreaterThan(0))


def test_a_commit_that_waits_for_its_confirmation_is_not_sent_again(gateway):
    """It was taken for an overdue read, since its session was no longer in a transaction."""
    gateway.grant_lease(left_ms=400)
    session = gateway.session(1, "strict")
    gateway.send(session, K.BEGIN)
    request = gateway.send(session, K.WRITE)
    gateway.answer_own_statements()
    gateway.reply(gateway.find_sent(request))
    request = gateway.send(session, K.COMMIT)
    gateway.tick(420)
    gateway.answers.clear()
    gateway.reply(gateway.find_sent(request), number=11)
    gateway.answer_own_statements()
    for _ in range(20):
        gateway.tick(20)
        assert_that(gateway.find_sent(request), Is(None))
    gateway.tick(1_000)
    (answer,) = gateway.answers
    assert_that(answer.error.fault, Equals(Fault.OUTCOME_UNKNOWN))


def test_a_later_leadership_of_an_upstream_confirms_no_commit_of_an_earlier_one(gateway):
    """Guards against a commit that was rolled back by a failover and is acknowledged after it."""
    gateway.grant_lease(left_ms=400, leadership=3)
    session = gateway.session(1, "strict")
    request = gateway.send(session, K.WRITE)
    gateway.answer_own_statements()
    gateway.tick(420)
    gateway.reply(gateway.find_sent(request), number=11)
    gateway.answers.clear()
    gateway.grant_lease(leadership=7)
    (answer,) = gateway.answers
    assert_that(answer.error.fault, Equals(Fault.OUTCOME_UNKNOWN))


def test_control_is_polled_often_while_statements_wait_for_a_lease(gateway):
    gateway.grant_lease(left_ms=100)
    gateway.tick(300)
    gateway.send(gateway.session(1, "strict"), K.READ)
    gateway.messages.clear()
    for _ in range(16):
        gateway.tick(50)
    polls = [item for item in gateway.messages if isinstance(item.message, DirectoryQuestion)]
    assert_that(len(polls), GreaterThan(5))


def test_a_follower_asks_more_often_once_a_lease_has_ended(control):
    control.make_follower(f"{ADDRESSES[1]}#founder")
    control.run(LEASE_MS + 500)
    control.replies.clear()
    control.run(400)
    asked = [item for item in control.replies if isinstance(item.message, PrimaryLeaseQuestion)]
    assert_that(len(asked), GreaterThan(3))


def test_a_new_primary_is_leased_before_its_failover_has_ended():
    """Guards against writes that wait until the last replica has been resumed."""
    control = leading_control()
    control.upstreams["u-primary"].reachable = False
    control.break_connections("u-primary")
    control.run(3_000)
    control.platform(FailoverOutcome.ACCEPTED)
    target = control.orders[-1].upstream
    control.promote(target)
    control.upstreams["u-second" if target == "u-third" else "u-third"].reachable = False
    control.run(400)
    assert_that(SERVICE in control.state.failover.running, Equals(True))
    assert_that(control.state.primary_leases.leases[SERVICE].upstream, Equals(target))
