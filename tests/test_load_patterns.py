"""Loads that a gateway must carry well; each test names the pattern that it answers."""

from endivewick_core.statements import Fault, StatementKind
from gateway_driver import PRIMARY, ready_gateway
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
