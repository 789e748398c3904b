"""Messages between processes: their sender, lost peers, and addresses that can't be reached."""

import pytest
import trio
import zmq
from endivewick_node.exceptions import AddressInUse
from endivewick_node.transport import Transport
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

FIRST = "127.0.0.1:37011"
SECOND = "127.0.0.1:37012"
WAIT_S = 10.0


@pytest.fixture
def dropped():
    return []


@pytest.fixture
def pair(dropped):
    transports = [
        Transport({"address": address}, lambda: dropped.append(1)) for address in (FIRST, SECOND)
    ]
    yield transports
    for transport in transports:
        transport.close()


def exchange(receiver, send):
    """Call ``send`` until the receiver has a message; return the messages."""
    received = []

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(receiver.receive, lambda *item: received.append(item))
            with trio.fail_after(WAIT_S):
                while not received:
                    send()
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    trio.run(run)
    return received


def test_message_arrives_with_its_sender(pair):
    first, second = pair
    received = exchange(second, lambda: first.send(SECOND, b"frame"))
    assert_that(received[0], Equals((FIRST, b"frame")))


def test_sender_is_kept_when_a_peer_connects_again(pair, dropped):
    """A peer that connected again was once known by an identity that zmq had made up."""
    first, second = pair
    exchange(second, lambda: first.send(SECOND, b"one"))
    first.close()
    again = Transport({"address": FIRST}, lambda: dropped.append(1))
    received = exchange(second, lambda: again.send(SECOND, b"two"))
    again.close()
    assert_that({sender for sender, _ in received}, Equals({FIRST}))


@pytest.mark.parametrize("address", ["", "nonsense", "\x00\x8a1\x02", "127.0.0.1:port"])
def test_address_that_is_none_drops_the_message(pair, dropped, address):
    assert_that(pair[0].send(address, b"frame"), Equals(False))
    assert_that(dropped, Equals([1]))


def test_message_to_nobody_is_dropped_and_counted(pair, dropped):
    assert_that(pair[0].send("127.0.0.1:37099", b"frame"), Equals(False))
    assert_that(dropped, Equals([1]))


def test_message_of_the_wrong_shape_is_dropped(pair, dropped):
    first, second = pair
    context = zmq.Context()
    stranger = context.socket(zmq.DEALER)
    stranger.setsockopt(zmq.LINGER, 0)
    stranger.connect(f"tcp://{SECOND}")
    stranger.send(b"one part only")
    exchange(second, lambda: first.send(SECOND, b"frame") if dropped else None)
    context.destroy(linger=0)
    assert_that(dropped, Contains(1))


def test_address_in_use_names_the_setting(pair):
    with pytest.raises(AddressInUse) as caught:
        Transport({"address": FIRST}, lambda: None)
    assert_that(str(caught.value), Contains("cluster.address"))
