"""Messages between processes: sender addresses, reconnects and unreachable addresses."""

from itertools import count

import pytest
import trio
import zmq
from endivewick_node.exceptions import AddressInUse
from endivewick_node.transport import Transport
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

WAIT_S = 10.0
ADDRESS_NUMBERS = count(1)
LARGE_BYTES = 32 * 1024 * 1024  # more than the sockets of one connection take
LINGER_MS = 10_000
SILENCE_MS = 500


@pytest.fixture
def dropped():
    return []


@pytest.fixture
def addresses(loopback):
    number = next(ADDRESS_NUMBERS)
    return f"{loopback}.{number}:7001", f"{loopback}.{number}:7002"


@pytest.fixture
def pair(dropped, addresses):
    transports = [
        Transport({"address": address}, lambda: dropped.append(1)) for address in addresses
    ]
    yield transports
    for transport in transports:
        transport.close()


def send_until_received(receiver, send):
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
    sender, receiver = pair
    own_address, target_address = addresses
    received = send_until_received(receiver, lambda: sender.send(target_address, b"frame"))
    assert_that(received[0], Equals((own_address, b"frame")))


def test_sender_address_is_kept_when_a_peer_reconnects(pair, dropped, addresses):
    """Guards against a reconnected peer appearing under an identity that zmq generated."""
    sender, receiver = pair
    own_address, target_address = addresses
    send_until_received(receiver, lambda: sender.send(target_address, b"one"))
    sender.close()
    reconnected = Transport({"address": own_address}, lambda: dropped.append(1))
    received = send_until_received(receiver, lambda: reconnected.send(target_address, b"two"))
    reconnected.close()
    assert_that({address for address, _ in received}, Equals({own_address}))


@pytest.mark.parametrize("address", ["", "nonsense", "\x00\x8a1\x02", "127.0.0.1:port"])
def test_message_to_an_invalid_address_is_dropped(pair, dropped, address):
    assert_that(pair[0].send(address, b"frame"), Equals(False))
    assert_that(dropped, Equals([1]))


def test_message_to_an_address_without_a_listener_is_dropped_and_counted(pair, dropped):
    assert_that(pair[0].send("127.0.0.1:37099", b"frame"), Equals(False))
    assert_that(dropped, Equals([1]))


def test_message_with_a_missing_part_is_dropped(pair, dropped, addresses):
    sender, receiver = pair
    _, target_address = addresses
    context = zmq.Context()
    other_socket = context.socket(zmq.DEALER)
    other_socket.setsockopt(zmq.LINGER, 0)
    other_socket.connect(f"tcp://{target_address}")
    other_socket.send(b"one part only")
    send_until_received(
        receiver, lambda: sender.send(target_address, b"frame") if dropped else None
    )
    context.destroy(linger=0)
    assert_that(dropped, Contains(1))


def test_address_in_use_names_the_setting(pair, addresses):
    with pytest.raises(AddressInUse) as caught:
        Transport({"address": addresses[0]}, lambda: None)
    assert_that(str(caught.value), Contains("cluster.address"))


# A process that has decided to end must not take a statement of another one.
def test_nothing_is_received_after_the_stop(pair, addresses):
    sender, receiver = pair
    send_until_received(receiver, lambda: sender.send(addresses[1], b"first"))
    assert_that(sender.send(addresses[1], b"second"), Equals(True))
    assert_that(receiver._router.poll(WAIT_S * 1000), Equals(zmq.POLLIN))
    received = []
    receiver.stop()
    trio.run(receiver.receive, lambda *item: received.append(item))
    assert_that(received, Equals([]))


# The last answer of a holder that ends must reach the gateway that waits for it.
def test_a_frame_that_was_queued_arrives_although_its_sender_closes(pair, addresses):
    sender, receiver = pair
    send_until_received(receiver, lambda: sender.send(addresses[1], b"first"))
    large = b"x" * LARGE_BYTES
    assert_that(sender.send(addresses[1], large), Equals(True))
    sender.close(LINGER_MS)
    frames = []
    while receiver._router.poll(SILENCE_MS):
        frames.append(receiver._router.recv_multipart()[2])
    assert_that(frames[-1:] == [large], Equals(True))
