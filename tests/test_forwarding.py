"""Gateways that forward to the one of their data centre that holds connections."""

import pytest
from endivewick_core.codec import decode, encode
from endivewick_core.gateway import events as ev
from endivewick_core.gateway import holders
from endivewick_core.messages import CODEC, ForwardedStatement
from endivewick_core.statements import (
    Error,
    Fault,
    Statement,
    StatementKind,
    TransactionState,
)
from gateway_driver import CONTROL, PRIMARY, REPLICA, SERVICE, ready_gateway
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, Not

K = StatementKind
ADDRESSES = [f"10.0.0.{number}:7000" for number in range(20, 24)]


class Centre:
    """The gateways of one data centre, among 74 before 21 connections."""

    def __init__(self):
        self.gateways = {}
        for address in ADDRESSES:
            gateway = ready_gateway(address=address, limit=21)
            gateway.tick(300)
            gateway.poll_answer([], [gateway.mark(10)], gateways=74, neighbours=ADDRESSES)
            self.gateways[address] = gateway
        some = self.gateways[ADDRESSES[0]]
        self.holder_address = holders.rank_gateways(some.state, SERVICE)[0]
        self.holder = self.gateways[self.holder_address]
        others = [item for item in ADDRESSES if item != self.holder_address]
        self.entry = self.gateways[others[0]]
        self.deaf = set()

    def deliver(self):
        """Carry the messages between the gateways through the real codec."""
        moved = True
        while moved:
            moved = False
            for gateway in self.gateways.values():
                messages, gateway.messages = gateway.messages, []
                for send in messages:
                    if send.address == CONTROL or send.address in self.deaf:
                        continue
                    moved = True
                    message = decode(CODEC, encode(send.message))
                    target = self.gateways[send.address]
                    target.handle(ev.MessageReceived(target.now_ms, message))


@pytest.fixture
def centre():
    return Centre()


def begin_with_a_write(centre):
    """Let a client begin a transaction and write; return the statement that the holder sent."""
    centre.entry.session(1, "strict")
    centre.entry.send(1, K.BEGIN)
    request = centre.entry.send(1, K.WRITE)
    centre.deliver()
    item = centre.holder.work(request)
    centre.holder.reply(item)
    centre.deliver()
    return item


def test_one_gateway_of_a_data_centre_holds_the_connections(centre):
    held = [item for item in centre.gateways.values() if holders.holds(item.state, SERVICE)]
    assert_that(held, Equals([centre.holder]))


def test_every_gateway_holds_its_own_where_there_are_enough():
    gateway = ready_gateway(limit=21)
    gateway.tick(300)
    gateway.poll_answer([], [], gateways=6, neighbours=ADDRESSES)
    assert_that(holders.holds(gateway.state, SERVICE), Equals(True))


def test_a_read_runs_at_the_holder_and_answers_the_client(centre):
    centre.entry.session(1, "bounded")
    request = centre.entry.send(1, K.READ)
    centre.deliver()
    item = centre.holder.work(request)
    assert_that(item.upstream, Equals(REPLICA))
    centre.holder.reply(item, rows=("x",))
    centre.deliver()
    answer = centre.entry.answers[-1]
    assert_that((answer.rows, answer.proof), Equals((("x",), "proof-10")))
    assert_that(centre.holder.state.sessions, Equals({}))


def test_a_session_sees_its_own_commit_through_the_holder(centre):
    centre.entry.session(1, "session")
    request = centre.entry.send(1, K.WRITE)
    centre.deliver()
    centre.holder.settle()
    centre.holder.reply(centre.holder.work(request), number=42)
    centre.deliver()
    request = centre.entry.send(1, K.READ)
    centre.deliver()
    assert_that(centre.holder.work(request).wait_for.offset, Equals(42))


def test_a_transaction_stays_at_its_holder(centre):
    centre.entry.session(1, "strict")
    centre.entry.send(1, K.BEGIN)
    connections = []
    for kind in (K.READ, K.WRITE, K.COMMIT):
        request = centre.entry.send(1, kind)
        centre.deliver()
        item = centre.holder.work(request)
        connections.append(item.connection)
        centre.holder.reply(item)
        centre.deliver()
    assert_that(connections, Equals([connections[0]] * 3))
    assert_that(centre.entry.answers[-1].state, Equals(TransactionState.IDLE))
    assert_that(centre.holder.state.sessions, Equals({}))


def test_a_statement_after_a_transaction_stands_by_itself(centre):
    centre.entry.session(1, "strict")
    centre.entry.send(1, K.BEGIN)
    for kind in (K.READ, K.COMMIT):
        request = centre.entry.send(1, kind)
        centre.deliver()
        centre.holder.reply(centre.holder.work(request))
        centre.deliver()
    centre.holder.settle()
    request = centre.entry.send(1, K.READ)
    centre.deliver()
    assert_that(centre.holder.work(request), Not(Is(None)))


def test_a_rollback_ends_the_transaction_at_the_holder(centre):
    begin_with_a_write(centre)
    centre.entry.send(1, K.ROLLBACK)
    centre.deliver()
    assert_that(centre.holder.writes[-1], Equals([K.ROLLBACK, K.BEGIN]))
    assert_that(centre.holder.state.sessions, Equals({}))


def test_a_client_that_leaves_ends_its_transaction_at_the_holder(centre):
    begin_with_a_write(centre)
    centre.entry.handle(ev.SessionClosed(centre.entry.now_ms, 1))
    centre.deliver()
    assert_that(centre.holder.writes[-1], Equals([K.ROLLBACK, K.BEGIN]))


def test_a_transaction_whose_holder_forgot_it_is_aborted(centre):
    begin_with_a_write(centre)
    centre.holder.tick(3_100)
    centre.entry.send(1, K.COMMIT)
    centre.deliver()
    answer = centre.entry.answers[-1]
    assert_that((answer.error.fault, answer.state), Equals((Fault.ABORTED, TransactionState.IDLE)))


def test_a_transaction_whose_connection_was_lost_does_not_go_on_elsewhere(centre):
    """Its next statement would run outside the transaction that the client began."""
    item = begin_with_a_write(centre)
    centre.holder.lose(item.connection)
    request = centre.entry.send(1, K.WRITE)
    centre.deliver()
    assert_that(centre.holder.work(request), Is(None))
    assert_that(centre.entry.answers[-1].error.fault, Equals(Fault.ABORTED))


def test_a_write_whose_holder_is_lost_promises_nothing(centre):
    centre.entry.session(1, "session")
    centre.entry.send(1, K.WRITE)
    centre.deaf = {centre.holder_address}
    centre.deliver()
    centre.entry.tick(1_000)
    assert_that(centre.entry.answers[-1].error.fault, Equals(Fault.TIMEOUT))


def test_a_read_whose_holder_is_lost_is_sent_to_the_next_one(centre):
    centre.entry.session(1, "bounded")
    request = centre.entry.send(1, K.READ)
    centre.deaf = {centre.holder_address}
    centre.deliver()
    centre.entry.tick(520)
    target = [item.address for item in centre.entry.messages if item.address != CONTROL]
    assert_that(target, Not(Contains(centre.holder_address)))
    second = centre.entry if not target else centre.gateways[target[-1]]
    centre.deliver()
    second.open_all()
    assert_that(second.work(request), Not(Is(None)))


def test_a_refusal_of_the_holder_reaches_the_client_as_it_is(centre):
    centre.entry.session(1, "strict")
    request = centre.entry.send(1, K.EXECUTE, name="s", argument="a")
    assert_that(centre.entry.answers[-1].error.fault, Equals(Fault.UNKNOWN_STATEMENT))
    centre.entry.send(1, K.PREPARE, name="s", argument="q1", is_write=True)
    request = centre.entry.send(1, K.EXECUTE, name="s", argument="a")
    centre.deliver()
    centre.holder.settle()
    item = centre.holder.work(request)
    assert_that(item.upstream, Equals(PRIMARY))
    centre.holder.reply(item, error=Error(Fault.FAILED, "constraint"))
    centre.deliver()
    assert_that(centre.entry.answers[-1].error.fault, Equals(Fault.FAILED))


def test_a_statement_runs_in_no_transaction_older_than_its_configuration(centre):
    """The entry may have a newer configuration than the holder."""
    centre.entry.state.configuration = centre.entry.state.configuration._replace(version=9)
    centre.entry.session(1, "strict")
    request = centre.entry.send(1, K.READ)
    centre.deliver()
    assert_that(centre.holder.work(request), Is(None))
    centre.holder.settle()
    assert_that(centre.holder.work(request), Not(Is(None)))


def test_a_prepared_statement_of_an_empty_shape_runs_at_the_holder(centre):
    centre.entry.session(1, "bounded")
    centre.entry.send(1, K.PREPARE, name="s", argument="")
    request = centre.entry.send(1, K.EXECUTE, name="s", argument="a")
    centre.deliver()
    centre.holder.settle()
    assert_that(centre.holder.work(request), Not(Is(None)))


@pytest.mark.parametrize("begins", [False, True], ids=["single", "in a new transaction"])
def test_a_statement_runs_in_no_transaction_whose_end_was_lost(centre, begins):
    """The connection between two gateways may break and lose the message that ends it."""
    item = begin_with_a_write(centre)
    centre.deaf = {centre.holder_address}
    centre.entry.send(1, K.ROLLBACK)
    centre.deliver()
    centre.deaf = set()
    if begins:
        centre.entry.send(1, K.BEGIN)
    request = centre.entry.send(1, K.READ)
    centre.deliver()
    centre.holder.settle()
    assert_that(centre.holder.writes, Contains([K.ROLLBACK, K.BEGIN]))
    kinds = [kind for kinds in centre.holder.writes for kind in kinds]
    last_read = len(kinds) - 1 - kinds[::-1].index(K.READ)
    write = kinds.index(K.WRITE)
    assert_that(K.ROLLBACK in kinds[write:last_read], Equals(True))
    assert_that(centre.holder.work(request).connection, Equals(item.connection))


def test_a_statement_that_could_not_be_sent_waits_and_is_sent_again(centre):
    """The first message to a process finds no connection yet; nothing of it was sent."""
    centre.entry.session(1, "session")
    centre.entry.send(1, K.WRITE)
    (first,) = [item for item in centre.entry.messages if item.address != CONTROL]
    centre.entry.messages.clear()
    event = ev.MessageUndelivered(centre.entry.now_ms, first.address, first.message)
    centre.entry.handle(event)
    assert_that(centre.entry.state.queued, Equals(1))
    centre.entry.tick(20)
    (second,) = [item for item in centre.entry.messages if item.address != CONTROL]
    assert_that(second.message.number, Equals(first.message.number))


def test_a_write_that_no_holder_could_be_sent_has_not_run(centre):
    centre.entry.session(1, "session")
    centre.entry.send(1, K.WRITE)
    for _ in range(60):
        messages, centre.entry.messages = centre.entry.messages, []
        for item in messages:
            if item.address != CONTROL:
                event = ev.MessageUndelivered(centre.entry.now_ms, item.address, item.message)
                centre.entry.handle(event)
        centre.entry.tick(20)
    assert_that([item.error.fault for item in centre.entry.answers], Equals([Fault.BUSY]))


def test_a_holder_that_answers_others_is_not_left_for_a_slow_read(centre):
    """Pattern: a slow upstream; reads that move on open connections at gateways without a share."""
    centre.entry.session(1, "bounded")
    centre.entry.session(2, "session")
    slow = centre.entry.send(1, K.READ)
    centre.deliver()
    centre.entry.tick(300)
    request = centre.entry.send(2, K.READ)
    centre.deliver()
    centre.holder.open_all()
    centre.holder.reply(centre.holder.work(request))
    centre.deliver()
    centre.entry.tick(300)
    centre.entry.tick(300)
    sent = [item.address for item in centre.entry.messages if item.address != CONTROL]
    assert_that(sent, Equals([]))
    assert_that(centre.holder.work(slow), Not(Is(None)))


def test_the_answer_to_a_process_before_its_restart_is_dropped(centre):
    """Numbers start again with the process, so a late answer could pass for another one's."""
    centre.entry.session(1, "bounded")
    request = centre.entry.send(1, K.READ)
    centre.deliver()
    item = centre.holder.work(request)
    fresh = ready_gateway(address=centre.entry.state.settings.address, limit=21)
    fresh.state.settings = fresh.state.settings._replace(boot="later")
    fresh.tick(300)
    fresh.poll_answer([], [fresh.mark(10)], gateways=74, neighbours=ADDRESSES)
    fresh.session(1, "bounded")
    fresh.send(1, K.READ)
    centre.gateways[fresh.state.settings.address] = fresh
    fresh.messages.clear()
    centre.holder.reply(item, rows=("old",))
    centre.deliver()
    assert_that(fresh.answers, Equals([]))


def test_a_statement_runs_although_the_last_one_of_its_session_still_does(centre):
    """Pattern: a client was told of a timeout and goes on at once."""
    centre.entry.session(1, "bounded")
    old = centre.entry.send(1, K.READ)
    centre.deliver()
    centre.entry.tick(1_000)
    assert_that(centre.entry.answers[-1].error.fault, Equals(Fault.TIMEOUT))
    request = centre.entry.send(1, K.READ)
    centre.deliver()
    centre.holder.open_all()
    assert_that(centre.holder.work(old).connection, Not(Equals(None)))
    assert_that(centre.holder.work(request), Not(Is(None)))


def test_gateways_connect_to_their_holders_ahead(centre):
    assert_that(centre.entry.connects, Contains(centre.holder_address))


def test_an_answer_that_could_not_be_sent_is_sent_again(centre):
    """A holder's first answer to a gateway finds no connection yet."""
    centre.entry.session(1, "bounded")
    request = centre.entry.send(1, K.READ)
    centre.deliver()
    centre.holder.reply(centre.holder.work(request), rows=("x",))
    (reply,) = [item for item in centre.holder.messages if item.address != CONTROL]
    centre.holder.messages.clear()
    event = ev.MessageUndelivered(centre.holder.now_ms, reply.address, reply.message)
    centre.holder.handle(event)
    centre.holder.tick(20)
    centre.deliver()
    assert_that([item.rows for item in centre.entry.answers], Equals([("x",)]))


def test_a_holder_connects_ahead_to_those_it_holds_for(centre):
    others = {item for item in ADDRESSES if item != centre.holder_address}
    assert_that(set(centre.holder.connects), Equals(others))


def test_a_gateway_that_is_not_to_hold_connections_opens_one_at_most(centre):
    """Pattern: statements sent to a second choice must not take the holders' connections."""
    for number in range(20):
        centre.entry.session(number, "strict")
        message = next_statement(centre, number)
        centre.entry.handle(ev.MessageReceived(centre.entry.now_ms, message))
    for _ in range(20):
        centre.entry.tick(100)
        centre.entry.open_all()
    held = [item for item in centre.entry.state.connections.values() if item.upstream == PRIMARY]
    assert_that(len(held), Equals(1))


def next_statement(centre, number):
    """Return a statement that another gateway forwards."""
    other = centre.gateways[centre.holder_address]
    statement = Statement(K.READ, f"q{number}", "read a")
    route = other.state.configuration.routes["strict"]
    origin = other.state.settings.address
    return ForwardedStatement(
        origin,
        "b",
        number,
        number,
        statement,
        route,
        "idle",
        False,
        False,
        {},
        None,
        None,
        1,
        5_000,
    )
