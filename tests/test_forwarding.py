"""Gateways that forward statements to the connection holder of their data centre."""

import pytest
from endivewick_core.codec import decode, encode
from endivewick_core.gateway import events as ev
from endivewick_core.gateway import holders
from endivewick_core.gateway.planned_stop import is_drained
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


class DataCentre:
    """The gateways of one data centre, 4 of 74 that share 21 connections."""

    def __init__(self):
        self.gateways = {}
        for address in ADDRESSES:
            gateway = ready_gateway(address=address, limit=21)
            gateway.tick(300)
            gateway.answer_poll([], [gateway.watermark(10)], gateways=74, neighbours=ADDRESSES)
            self.gateways[address] = gateway
        some = self.gateways[ADDRESSES[0]]
        self.holder_address = holders.rank_gateways(some.state, SERVICE)[0]
        self.holder = self.gateways[self.holder_address]
        others = [item for item in ADDRESSES if item != self.holder_address]
        self.ingress_address = others[0]
        self.ingress = self.gateways[others[0]]
        self.unreachable = set()

    def deliver(self):
        """Deliver the messages between the gateways, encoded and decoded with the real codec."""
        delivered = True
        while delivered:
            delivered = False
            for gateway in self.gateways.values():
                messages, gateway.messages = gateway.messages, []
                for send in messages:
                    if send.address == CONTROL or send.address in self.unreachable:
                        continue
                    delivered = True
                    message = decode(CODEC, encode(send.message))
                    target = self.gateways[send.address]
                    target.handle(ev.MessageReceived(target.now_ms, message))


@pytest.fixture
def centre():
    return DataCentre()


def begin_and_write(centre):
    """Begin a transaction and write in it; return the write that the holder sent upstream."""
    centre.ingress.session(1, "strict")
    centre.ingress.send(1, K.BEGIN)
    request = centre.ingress.send(1, K.WRITE)
    centre.deliver()
    item = centre.holder.find_sent(request)
    centre.holder.reply(item)
    centre.deliver()
    return item


def test_one_gateway_of_a_data_centre_holds_the_connections(centre):
    held = [item for item in centre.gateways.values() if holders.holds(item.state, SERVICE)]
    assert_that(held, Equals([centre.holder]))


def test_every_gateway_holds_its_own_where_there_are_enough():
    gateway = ready_gateway(limit=21)
    gateway.tick(300)
    gateway.answer_poll([], [], gateways=6, neighbours=ADDRESSES)
    assert_that(holders.holds(gateway.state, SERVICE), Equals(True))


def test_a_read_runs_at_the_holder_and_answers_the_client(centre):
    centre.ingress.session(1, "bounded")
    request = centre.ingress.send(1, K.READ)
    centre.deliver()
    item = centre.holder.find_sent(request)
    assert_that(item.upstream, Equals(REPLICA))
    centre.holder.reply(item, rows=("x",))
    centre.deliver()
    answer = centre.ingress.answers[-1]
    assert_that((answer.rows, answer.proof), Equals((("x",), "proof-10")))
    assert_that(centre.holder.state.sessions, Equals({}))


def test_a_session_sees_its_own_commit_through_the_holder(centre):
    centre.ingress.session(1, "session")
    request = centre.ingress.send(1, K.WRITE)
    centre.deliver()
    centre.holder.answer_own_statements()
    centre.holder.reply(centre.holder.find_sent(request), number=42)
    centre.deliver()
    request = centre.ingress.send(1, K.READ)
    centre.deliver()
    assert_that(centre.holder.find_sent(request).wait_for.offset, Equals(42))


# Guards against a commit that nobody tells control of, as its holder ends right after its answer.
@pytest.mark.parametrize("kinds", [(K.WRITE,), (K.BEGIN, K.WRITE, K.COMMIT)], ids=len)
def test_the_position_of_a_commit_is_told_by_the_gateway_of_its_client_too(centre, kinds):
    centre.ingress.session(1, "strict")
    for kind in kinds:
        request = centre.ingress.send(1, kind)
        centre.deliver()
        centre.holder.answer_own_statements()
        item = centre.holder.find_sent(request)
        if item is not None:
            centre.holder.reply(item, number=42)
            centre.deliver()
    told = centre.ingress.state.acknowledged
    assert_that(told[SERVICE].offset, Equals(42))
    assert_that(told, Equals(centre.holder.state.acknowledged))


# Guards against reads that hold up a failover until a replica has what they saw.
def test_the_position_of_a_forwarded_read_is_not_told(centre):
    centre.ingress.session(1, "strict")
    request = centre.ingress.send(1, K.READ)
    centre.deliver()
    centre.holder.reply(centre.holder.find_sent(request), number=42)
    centre.deliver()
    assert_that(centre.ingress.state.acknowledged, Equals({}))


def test_a_transaction_stays_at_its_holder(centre):
    centre.ingress.session(1, "strict")
    centre.ingress.send(1, K.BEGIN)
    connections = []
    for kind in (K.READ, K.WRITE, K.COMMIT):
        request = centre.ingress.send(1, kind)
        centre.deliver()
        item = centre.holder.find_sent(request)
        connections.append(item.connection)
        centre.holder.reply(item)
        centre.deliver()
    assert_that(connections, Equals([connections[0]] * 3))
    assert_that(centre.ingress.answers[-1].state, Equals(TransactionState.IDLE))
    assert_that(centre.holder.state.sessions, Equals({}))


def test_a_statement_after_a_transaction_stands_by_itself(centre):
    centre.ingress.session(1, "strict")
    centre.ingress.send(1, K.BEGIN)
    for kind in (K.READ, K.COMMIT):
        request = centre.ingress.send(1, kind)
        centre.deliver()
        centre.holder.reply(centre.holder.find_sent(request))
        centre.deliver()
    centre.holder.answer_own_statements()
    request = centre.ingress.send(1, K.READ)
    centre.deliver()
    assert_that(centre.holder.find_sent(request), Not(Is(None)))


def test_a_rollback_ends_the_transaction_at_the_holder(centre):
    begin_and_write(centre)
    centre.ingress.send(1, K.ROLLBACK)
    centre.deliver()
    assert_that(centre.holder.writes[-1], Equals([K.ROLLBACK, K.BEGIN]))
    assert_that(centre.holder.state.sessions, Equals({}))


def test_a_client_that_disconnects_ends_its_transaction_at_the_holder(centre):
    begin_and_write(centre)
    centre.ingress.handle(ev.SessionClosed(centre.ingress.now_ms, 1))
    centre.deliver()
    assert_that(centre.holder.writes[-1], Equals([K.ROLLBACK, K.BEGIN]))


def test_a_transaction_that_its_holder_rolled_back_is_aborted(centre):
    begin_and_write(centre)
    centre.holder.tick(3_100)
    centre.ingress.send(1, K.COMMIT)
    centre.deliver()
    answer = centre.ingress.answers[-1]
    assert_that((answer.error.fault, answer.state), Equals((Fault.ABORTED, TransactionState.IDLE)))


def test_a_transaction_whose_connection_was_lost_does_not_go_on_elsewhere(centre):
    """On another connection its next statement would run outside the client's transaction."""
    item = begin_and_write(centre)
    centre.holder.break_connection(item.connection)
    request = centre.ingress.send(1, K.WRITE)
    centre.deliver()
    assert_that(centre.holder.find_sent(request), Is(None))
    assert_that(centre.ingress.answers[-1].error.fault, Equals(Fault.ABORTED))


def test_a_write_whose_holder_is_lost_times_out(centre):
    centre.ingress.session(1, "session")
    centre.ingress.send(1, K.WRITE)
    centre.unreachable = {centre.holder_address}
    centre.deliver()
    centre.ingress.tick(1_000)
    assert_that(centre.ingress.answers[-1].error.fault, Equals(Fault.TIMEOUT))


def test_a_read_whose_holder_is_lost_is_sent_to_the_next_one(centre):
    centre.ingress.session(1, "bounded")
    request = centre.ingress.send(1, K.READ)
    centre.unreachable = {centre.holder_address}
    centre.deliver()
    centre.ingress.tick(520)
    target = [item.address for item in centre.ingress.messages if item.address != CONTROL]
    assert_that(target, Not(Contains(centre.holder_address)))
    second = centre.ingress if not target else centre.gateways[target[-1]]
    centre.deliver()
    second.open_all()
    assert_that(second.find_sent(request), Not(Is(None)))


def test_a_refusal_of_the_holder_reaches_the_client_as_it_is(centre):
    centre.ingress.session(1, "strict")
    request = centre.ingress.send(1, K.EXECUTE, name="s", argument="a")
    assert_that(centre.ingress.answers[-1].error.fault, Equals(Fault.UNKNOWN_STATEMENT))
    centre.ingress.send(1, K.PREPARE, name="s", argument="q1", is_write=True)
    request = centre.ingress.send(1, K.EXECUTE, name="s", argument="a")
    centre.deliver()
    centre.holder.answer_own_statements()
    item = centre.holder.find_sent(request)
    assert_that(item.upstream, Equals(PRIMARY))
    centre.holder.reply(item, error=Error(Fault.FAILED, "constraint"))
    centre.deliver()
    assert_that(centre.ingress.answers[-1].error.fault, Equals(Fault.FAILED))


def test_a_statement_runs_in_no_transaction_older_than_its_configuration(centre):
    """The forwarding gateway may have a newer configuration than the holder."""
    centre.ingress.state.configuration = centre.ingress.state.configuration._replace(version=9)
    centre.ingress.session(1, "strict")
    request = centre.ingress.send(1, K.READ)
    centre.deliver()
    assert_that(centre.holder.find_sent(request), Is(None))
    centre.holder.answer_own_statements()
    assert_that(centre.holder.find_sent(request), Not(Is(None)))


def test_a_prepared_statement_of_an_empty_shape_runs_at_the_holder(centre):
    centre.ingress.session(1, "bounded")
    centre.ingress.send(1, K.PREPARE, name="s", argument="")
    request = centre.ingress.send(1, K.EXECUTE, name="s", argument="a")
    centre.deliver()
    centre.holder.answer_own_statements()
    assert_that(centre.holder.find_sent(request), Not(Is(None)))


@pytest.mark.parametrize("begins", [False, True], ids=["single", "in a new transaction"])
def test_a_statement_runs_in_no_transaction_whose_end_was_lost(centre, begins):
    """A broken connection between gateways may lose the message that ends a transaction."""
    item = begin_and_write(centre)
    centre.unreachable = {centre.holder_address}
    centre.ingress.send(1, K.ROLLBACK)
    centre.deliver()
    centre.unreachable = set()
    if begins:
        centre.ingress.send(1, K.BEGIN)
    request = centre.ingress.send(1, K.READ)
    centre.deliver()
    centre.holder.answer_own_statements()
    assert_that(centre.holder.writes, Contains([K.ROLLBACK, K.BEGIN]))
    kinds = [kind for kinds in centre.holder.writes for kind in kinds]
    last_read = len(kinds) - 1 - kinds[::-1].index(K.READ)
    write = kinds.index(K.WRITE)
    assert_that(K.ROLLBACK in kinds[write:last_read], Equals(True))
    assert_that(centre.holder.find_sent(request).connection, Equals(item.connection))


def test_a_statement_that_could_not_be_sent_waits_and_is_sent_again(centre):
    """While the connection to a process is being opened, nothing of a message to it is sent."""
    centre.ingress.session(1, "session")
    centre.ingress.send(1, K.WRITE)
    (first,) = [item for item in centre.ingress.messages if item.address != CONTROL]
    centre.ingress.messages.clear()
    event = ev.MessageUndelivered(centre.ingress.now_ms, first.address, first.message)
    centre.ingress.handle(event)
    assert_that(centre.ingress.state.queued, Equals(1))
    centre.ingress.tick(20)
    (second,) = [item for item in centre.ingress.messages if item.address != CONTROL]
    assert_that(second.message.number, Equals(first.message.number))


def test_a_write_that_no_holder_could_be_sent_has_not_run(centre):
    centre.ingress.session(1, "session")
    centre.ingress.send(1, K.WRITE)
    for _ in range(60):
        messages, centre.ingress.messages = centre.ingress.messages, []
        for item in messages:
            if item.address != CONTROL:
                event = ev.MessageUndelivered(centre.ingress.now_ms, item.address, item.message)
                centre.ingress.handle(event)
        centre.ingress.tick(20)
    assert_that([item.error.fault for item in centre.ingress.answers], Equals([Fault.BUSY]))


def test_a_holder_that_answers_others_keeps_a_slow_read(centre):
    """Pattern: an upstream is slow.

    Reads sent to another gateway would open connections at gateways that have no share.
    """
    centre.ingress.session(1, "bounded")
    centre.ingress.session(2, "session")
    slow = centre.ingress.send(1, K.READ)
    centre.deliver()
    centre.ingress.tick(300)
    request = centre.ingress.send(2, K.READ)
    centre.deliver()
    centre.holder.open_all()
    centre.holder.reply(centre.holder.find_sent(request))
    centre.deliver()
    centre.ingress.tick(300)
    centre.ingress.tick(300)
    sent = [item.address for item in centre.ingress.messages if item.address != CONTROL]
    assert_that(sent, Equals([]))
    assert_that(centre.holder.find_sent(slow), Not(Is(None)))


def test_the_answer_to_a_process_before_its_restart_is_dropped(centre):
    """Request numbers restart with the process, so a late answer could match another request."""
    centre.ingress.session(1, "bounded")
    request = centre.ingress.send(1, K.READ)
    centre.deliver()
    item = centre.holder.find_sent(request)
    restarted = ready_gateway(address=centre.ingress.state.settings.address, limit=21)
    restarted.state.settings = restarted.state.settings._replace(boot="later")
    restarted.tick(300)
    restarted.answer_poll([], [restarted.watermark(10)], gateways=74, neighbours=ADDRESSES)
    restarted.session(1, "bounded")
    restarted.send(1, K.READ)
    centre.gateways[restarted.state.settings.address] = restarted
    restarted.messages.clear()
    centre.holder.reply(item, rows=("old",))
    centre.deliver()
    assert_that(restarted.answers, Equals([]))


def test_a_statement_runs_while_the_last_one_of_its_session_still_runs(centre):
    """Pattern: a client's statement timed out, and the client sends the next one at once."""
    centre.ingress.session(1, "bounded")
    old = centre.ingress.send(1, K.READ)
    centre.deliver()
    centre.ingress.tick(1_000)
    assert_that(centre.ingress.answers[-1].error.fault, Equals(Fault.TIMEOUT))
    request = centre.ingress.send(1, K.READ)
    centre.deliver()
    centre.holder.open_all()
    assert_that(centre.holder.find_sent(old).connection, Not(Equals(None)))
    assert_that(centre.holder.find_sent(request), Not(Is(None)))


def test_gateways_connect_to_their_holders_in_advance(centre):
    assert_that(centre.ingress.connects, Contains(centre.holder_address))


def test_an_answer_that_could_not_be_sent_is_sent_again(centre):
    """A holder's first answer to a gateway can't be sent while the connection is being opened."""
    centre.ingress.session(1, "bounded")
    request = centre.ingress.send(1, K.READ)
    centre.deliver()
    centre.holder.reply(centre.holder.find_sent(request), rows=("x",))
    (reply,) = [item for item in centre.holder.messages if item.address != CONTROL]
    centre.holder.messages.clear()
    event = ev.MessageUndelivered(centre.holder.now_ms, reply.address, reply.message)
    centre.holder.handle(event)
    centre.holder.tick(20)
    centre.deliver()
    assert_that([item.rows for item in centre.ingress.answers], Equals([("x",)]))


def test_a_holder_connects_in_advance_to_the_gateways_that_it_holds_for(centre):
    others = {item for item in ADDRESSES if item != centre.holder_address}
    assert_that(set(centre.holder.connects), Equals(others))


def test_a_gateway_that_is_no_holder_opens_one_connection_at_most(centre):
    """Pattern: statements that are sent to a gateway that is no holder.

    Their connections must not use up the holders' shares.
    """
    for number in range(20):
        centre.ingress.session(number, "strict")
        message = forwarded_statement(centre, number)
        centre.ingress.handle(ev.MessageReceived(centre.ingress.now_ms, message))
    for _ in range(20):
        centre.ingress.tick(100)
        centre.ingress.open_all()
    held = [item for item in centre.ingress.state.connections.values() if item.upstream == PRIMARY]
    assert_that(len(held), Equals(1))


def forwarded_statement(centre, number):
    """Return a statement as another gateway forwards it."""
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


def test_a_transaction_goes_on_at_a_holder_that_control_no_longer_lists(centre):
    """Pattern: a VM that is silent towards control for a while; its running work is not moved."""
    begin_and_write(centre)
    others = [item for item in ADDRESSES if item != centre.holder_address]
    centre.ingress.state.control.neighbours = tuple(others)
    centre.ingress.state.control.ranked_holders.clear()
    request = centre.ingress.send(1, K.COMMIT)
    centre.deliver()
    assert_that(centre.holder.find_sent(request), Not(Is(None)))


def test_a_write_that_its_holder_could_not_send_is_refused_as_not_run(centre):
    """Pattern: many gateways before few connections, while the primary is being replaced.

    The gateway of the session used to reach the timeout first, and could only answer that the
    write may have run, which a client can't repeat.
    """
    centre.holder.state.primaries.clear()
    centre.ingress.session(1, "strict")
    centre.ingress.send(1, K.WRITE)
    centre.deliver()
    for _ in range(49):
        for gateway in (centre.ingress, centre.holder):
            gateway.tick(20)
        centre.deliver()
    assert_that(centre.ingress.answers[-1].error.fault, Equals(Fault.BUSY))


# The answer to a statement of another gateway must be sent before a planned stop ends the process.
def test_a_planned_stop_waits_for_an_answer_that_could_not_be_sent(centre):
    centre.holder.handle(ev.DrainRequested(centre.holder.now_ms, 6_000))
    centre.holder.tick(2_500)
    centre.ingress.session(1, "strict")
    request = centre.ingress.send(1, K.WRITE)
    centre.deliver()
    centre.holder.answer_own_statements()
    centre.holder.reply(centre.holder.find_sent(request))
    undelivered = centre.holder.messages.pop()
    at_ms = centre.holder.now_ms
    centre.holder.handle(ev.MessageUndelivered(at_ms, centre.ingress_address, undelivered.message))
    assert_that(is_drained(centre.holder.state, at_ms), Equals(False))
    # Nor may a gateway that can't be reached hold up the stop beyond the grace time.
    assert_that(is_drained(centre.holder.state, at_ms + 3_500), Equals(True))
    centre.holder.tick()
    centre.deliver()
    assert_that(centre.ingress.answers[-1].proof, Equals("proof-10"))
    assert_that(is_drained(centre.holder.state, centre.holder.now_ms), Equals(True))


# A statement at a holder that ends soon timed out, although nothing of it had to run.
@pytest.mark.parametrize("is_started", [False, True])
def test_a_holder_that_ends_soon_refuses_statements_as_not_run(centre, is_started):
    centre.ingress.session(1, "strict")
    if is_started:
        begin_and_write(centre)
    centre.holder.handle(ev.DrainRequested(centre.holder.now_ms, 6_000))
    centre.holder.now_ms += 5_000
    request = centre.ingress.send(1, K.COMMIT if is_started else K.WRITE)
    centre.deliver()
    assert_that(centre.holder.find_sent(request), Is(None))
    answer = centre.ingress.answers[-1]
    assert_that(answer.error.fault, Equals(Fault.ABORTED if is_started else Fault.BUSY))
    assert_that(centre.holder.state.sessions, Equals({}))
