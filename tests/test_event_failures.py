"""Pattern: an unexpected error in one session's or upstream's event must not end the process."""

from itertools import count

import pytest
from endivewick_core.gateway import events as ev
from endivewick_core.gateway.state import GatewaySettings
from endivewick_core.statements import Statement, StatementKind, TransactionState, UpstreamReply
from endivewick_core.upstream_links import ConnectionReplied
from endivewick_node import gateway_node
from endivewick_node.gateway_node import GatewayNode, GatewayOptions
from testtools.assertions import assert_that
from testtools.matchers import Equals

HOSTS = count(10)


class Broken(Exception):
    """An error that nothing in the product raises."""


@pytest.fixture
def node(loopback, monkeypatch):
    """Return a gateway whose reducer fails at the events named in ``node.failing``."""
    host = f"{loopback}.{next(HOSTS)}"  # the listening sockets of a node outlive its test
    settings = GatewaySettings(f"{host}:7440", "b", "dc-a", {"dc-a": "north"}, [])
    options = GatewayOptions(
        settings,
        f"{host}:8784",
        100,
        f"{host}:8785",
        "/readyz",
        f"{host}:9464",
        6_000,
        wire=_Wire,
        decode_configuration=None,
        routes={},
    )
    made = GatewayNode(options)
    reduced = []

    def fail_or_record(state, event):
        reduced.append(event)
        if type(event) in made.failing:
            raise Broken
        return []

    made.failing, made.reduced = set(), reduced
    monkeypatch.setattr(gateway_node, "reduce", fail_or_record)
    yield made
    made._transport.close()


class _Wire:
    """A wire that is not used."""


STATEMENT = Statement(StatementKind.READ, "id1", "read a")
REPLY = UpstreamReply((), "", None, TransactionState.IDLE, None)


@pytest.mark.parametrize(
    ("event", "cleanup"),
    [
        (ev.StatementReceived(1, 7, STATEMENT), "SessionClosed"),
        (ev.SessionOpened(1, 7, "orders"), "SessionClosed"),
        (ConnectionReplied(1, 7, REPLY), "ConnectionBroke"),
    ],
)
def test_an_error_ends_only_the_connection_that_it_came_from(node, event, cleanup):
    node.failing = {type(event)}
    node._reduce(event)
    assert_that([type(item).__name__ for item in node.reduced[1:]], Equals([cleanup]))


def test_an_error_in_a_message_of_another_process_drops_the_message(node):
    node.failing = {ev.MessageReceived}
    node._reduce(ev.MessageReceived(1, object()))
    assert_that(len(node.reduced), Equals(1))


def test_an_error_in_the_timed_work_ends_the_process(node):
    """It would come again with each tick, and the state may be half changed."""
    node.failing = {ev.Tick}
    with pytest.raises(Broken):
        node._reduce(ev.Tick(1))
