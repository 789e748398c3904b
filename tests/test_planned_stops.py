"""Planned stops of a gateway process: what it has taken gets an answer, and nothing is cut off."""

import socket

import pytest
import trio
from endivewick_core.gateway import events as ev
from endivewick_core.gateway import planned_stop
from endivewick_node import gateway_node
from endivewick_node.clock import now_ms
from gateway_process import HOSTS, KEY, Process
from testtools.assertions import assert_that
from testtools.matchers import Equals

GRACE_OF_BALANCER_MS = 2_500
GRACE_MS = 6_000
LARGE_BYTES = 1_000_000  # more than a socket with the smallest buffer takes at once
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
    is_drained = planned_stop.is_drained

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

    monkeypatch.setattr(planned_stop, "is_drained", decide_while_a_statement_arrives)
    monkeypatch.setattr(gateway_node, "reduce", reduce_and_record)
    trio.run(process.node.run)
    assert_that(ev.SessionOpened in events, Equals(False))


def turn(process):
    """Do the timed work of a process, and handle its sockets."""
    process.node._reduce(ev.Tick(now_ms()))
    process.node._poller.handle_all_ready()


def leave_unsent(process, client):
    """Let a session's answer wait for its client."""
    process.read(client)
    sessions = process.node._sessions
    (number,) = process.node._state.sessions
    stream = sessions._connections[number].stream
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
    sessions._write(number, b"x" * LARGE_BYTES)
    assert_that(sessions.has_unsent(), Equals(True))


# An answer that a slow client has not taken yet must not be cut off by the end of the process.
def test_the_end_waits_for_answers_that_the_kernel_has_not_accepted(process):
    client = process.connect(KEY)
    leave_unsent(process, client)
    node = process.node
    start_stop(process, GRACE_OF_BALANCER_MS)
    turn(process)
    assert_that(node._end_if_drained(), Equals(False))
    received = process.read(client, end=b"never")
    assert_that(received.count(b"x"), Equals(LARGE_BYTES))
    turn(process)
    assert_that((node._state.sessions, node._end_if_drained()), Equals(({}, True)))
    client.close()


# A client that doesn't read its answers must not keep the process until it is killed.
def test_the_end_waits_no_longer_than_the_grace_time(process):
    client = process.connect(KEY)
    leave_unsent(process, client)
    node = process.node
    start_stop(process, GRACE_MS)
    turn(process)
    assert_that(node._end_if_drained(), Equals(True))
    client.close()


# A statement that waits behind an answer must be served, although its session looks idle.
def test_a_session_with_an_unread_statement_is_not_closed(process):
    client = process.connect(KEY)
    leave_unsent(process, client)
    client.sendall(b"QUERY r1 PUT a 1\r\n")
    start_stop(process, GRACE_OF_BALANCER_MS)
    turn(process)
    received = 0
    while received < LARGE_BYTES:
        received += len(process.read(client, end=b"x"))
    turn(process)
    assert_that(len(process.node._state.requests), Equals(1))
    client.close()
