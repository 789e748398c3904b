"""Planned stops of a gateway process: what it has taken gets an answer, and nothing is cut off."""

import pytest
import trio
from endivewick_core.gateway import events as ev
from endivewick_node import gateway_node
from gateway_process import HOSTS, KEY, Process
from testtools.assertions import assert_that
from testtools.matchers import Equals

GRACE_OF_BALANCER_MS = 2_500
STARTUP = f"STARTUP db1 {KEY}\r\n".encode()


@pytest.fixture
def process(loopback):
    process = Process(f"{loopback}.{next(HOSTS)}")
    yield process
    process.close()


def start_stop(process, passed_ms):
    """Start a planned stop of ``process`` that began ``passed_ms`` ago."""
    process.node.drain()
    process.node._state.draining_since_ms -= passed_ms


# A statement that arrives while the process ends must not reach an upstream.
def test_nothing_is_read_once_the_end_is_decided(process, monkeypatch):
    client = process.connect_silent()
    process.node._poller.handle_all_ready()
    start_stop(process, GRACE_OF_BALANCER_MS)
    is_drained = gateway_node.is_drained

    def decide_while_a_statement_arrives(state, now_ms):
        ends = is_drained(state, now_ms)
        if ends:
            client.sendall(STARTUP + b"QUERY r1 PUT a 1\r\n")
        return ends

    events = []
    reduce = gateway_node.reduce

    def reduce_and_record(state, event):
        events.append(type(event))
        return reduce(state, event)

    monkeypatch.setattr(gateway_node, "is_drained", decide_while_a_statement_arrives)
    monkeypatch.setattr(gateway_node, "reduce", reduce_and_record)
    trio.run(process.node.run)
    assert_that(ev.SessionOpened in events, Equals(False))
