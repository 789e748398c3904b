"""Messages between processes: their sender, lost peers, and addresses that can't be reached."""

from itertools import count

import pytest
import trio
import zmq
from endivewick_node.exceptions import AddressInUse
from endivewick_node.transport import Transport
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

WAIT_S = 10.0
SERIALS = count(1)


@pytest.fixture
def dropped():
    return []


@pytest.fixture
def addresses(loopback):
    number = next(SERIALS)
    return f"{loopback}.{number}:7001", f"{loopback}.{number}:7002"


@pytest.fixture
def pair(dropped, addresses):
    transports = [
        Transport({"address": address}, lambda: dropped.append(1)) for address in addresses
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


def test_message_arrives_with_its_sender(pair, addresses):
    first, second = pair
    own, target = addresses
    received = exchange(second, lambda: first.send(target, b"frame"))
    assert_that(received[0], Equals((own, b"frame")))


def test_sender_is_kept_when_a_peer_connects_again(pair, dropped, addresses):
    """A peer that connected again was once known by an identity that zmq had made up."""
    first, second = pair
    own, target = addresses
    exchange(second, lambda: first.send(target, b"one"))
    first.close()
    again = Transport({"address": own}, lambda: dropped.append(1))
    received = exchange(second, lambda: again.send(target, b"two"))
    again.close()
    assert_that({sender for sender, _ in received}, Equals({own}))


@pytest.mark.parametrize("address", ["", "nonsense", "\x00\x8a1\x02", "127.0.0.1:port"])
def test_address_that_is_none_drops_the_message(pair, dropped, address):
    assert_that(pair[0].send(address, b"frame"), Equals(False))
    assert_that(dropped, Equals([1]))


def test_message_to_nobody_is_dropped_and_counted(pair, dropped):
    assert_that(pair[0].send("127.0.0.1:37099", b"frame"), Equals(False))
    assert_that(dropped, Equals([1]))


def test_message_of_the_wrong_shape_is_dropped(pair, dropped, addresses):
    first, second = pair
    _, target = addresses
    context = zmq.Context()
    stranger = context.socket(zmq.DEALER)
    stranger.setsockopt(zmq.LINGER, 0)
    stranger.connect(f"tcp://{target}")
    stranger.send(b"one part only")
    exchange(second, lambda: first.send(target, b"frame") if dropped else None)
    context.destroy(linger=0)
    assert_that(dropped, Contains(1))


def test_address_in_use_names_the_setting(pair, addresses):
    with pytest.raises(AddressInUse) as caught:
        Transport({"address": addresses[0]}, lambda: None)
    assert_that(str(caught.value), Contains("cluster.address"))
