"""Loads that a gateway must carry well; each test names the pattern that it answers."""

from endivewick_core.statements import Error, Fault, StatementKind
from gateway_driver import FAR_REPLICA, PRIMARY, REPLICA, ready_gateway
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

K = StatementKind


def crowd(gateway, count, kind=K.READ, workspace="strict"):
    """Let ``count`` sessions send a statement at once."""
    requests = []
    for number in range(count):
        gateway.session(number, workspace)
        requests.append(gateway.send(number, kind))
    return requests


def connections_to(gateway, upstream):
    return [item for item in gateway.state.connections.values() if item.upstream == upstream]


def test_all_gateways_start_together_and_each_finds_a_connection():
    """Pattern: after a loss of power every gateway starts at once with a crowd of statements.

    The first to start must not take every connection of the primary before the others have one.
    """
    gateway = ready_gateway(limit=21)
    gateway.state.control.gateways = 1
    crowd(gateway, 40)
    for _ in range(3):
        gateway.tick()
        gateway.open_all()
    assert_that(len(connections_to(gateway, PRIMARY)), LessThan(5))
    for _ in range(10):
        gateway.tick(100)
        gateway.open_all()
    assert_that(len(connections_to(gateway, PRIMARY)) > 5, Equals(True))


def test_a_gateway_keeps_to_its_share_while_others_are_refused():
    """Pattern: one data centre has most of the load and holds the connections of the others."""
    gateway = ready_gateway(limit=21)
    requests = crowd(gateway, 30)
    for _ in range(10):
        gateway.tick(60)
        gateway.open_all()
    held = len(connections_to(gateway, PRIMARY))
    assert_that(held > 4, Equals(True))
    gateway.tick(300)
    gateway.poll_answer([], [gateway.mark(10)], gateways=4, contended=[PRIMARY])
    for request in requests:
        item = gateway.work(request)
        if item is not None:
            gateway.reply(item)
            gateway.settle()
    assert_that(len(connections_to(gateway, PRIMARY)), Equals(4))


def test_a_refused_gateway_asks_the_others_for_its_share():
    """Pattern: a gateway finds the primary full of its neighbours' connections."""
    gateway = ready_gateway(limit=21)
    for connection in connections_to(gateway, PRIMARY):
        gateway.lose(connection.number)
    gateway.tick(300)
    gateway.lose(gateway.opening.pop(), Fault.TOO_MANY_CONNECTIONS)
    gateway.tick(300)
    question = gateway.messages[-1].message
    assert_that(question.refused_by, Equals([PRIMARY]))


def test_reads_leave_a_replica_that_fails_part_of_them_and_come_back():
    """Pattern: a replica fails half of its statements while its health probe is good."""
    gateway = ready_gateway()
    gateway.session(1, "bounded")
    served = []
    for number in range(40):
        request = gateway.send(1, K.READ)
        while (item := gateway.work(request)) is not None:
            fails = item.upstream == REPLICA and number % 2
            served.append(item.upstream)
            gateway.reply(item, error=Error(Fault.FAILED, "") if fails else None)
            gateway.settle()
        gateway.open_all()
    assert_that(served[-10:].count(REPLICA) < 3, Equals(True))
    assert_that(FAR_REPLICA in served or PRIMARY in served, Equals(True))
    for _ in range(60):
        gateway.tick(1_000)
        gateway.poll_answer([], [gateway.mark(10)])
    request = gateway.send(1, K.READ)
    assert_that(gateway.work(request).upstream, Equals(REPLICA))
