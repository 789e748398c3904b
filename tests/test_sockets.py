"""The poller of a process's sockets."""

import socket

from endivewick_node.sockets import EVENTS_PER_TURN, READABLE, Poller
from testtools.assertions import assert_that
from testtools.matchers import Equals


def test_all_ready_sockets_are_handled_at_once():
    """Pattern: a planned stop under load; what has arrived is read before idle sessions close."""
    poller = Poller()
    pairs = [socket.socketpair() for _ in range(EVENTS_PER_TURN + 10)]
    handled = []
    for number, (ours, theirs) in enumerate(pairs):
        ours.setblocking(False)

        def read(events, ours=ours, number=number):
            handled.append((number, ours.recv(10)))

        poller.add(ours, READABLE, read)
        theirs.send(b"request")
    poller.handle_all_ready()
    assert_that(len(handled), Equals(len(pairs)))
    for ours, theirs in pairs:
        poller.close(ours)
        theirs.close()
