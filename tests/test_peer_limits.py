"""The limits of what a peer makes a process hold, without a process."""

import errno
import sys
from pathlib import Path

import pytest
from endivewick_core.gateway.sessions import MAX_STORED_BYTES
from endivewick_node.peer_budget import Account, PeerBudget
from endivewick_node.sockets import READABLE, accept_nonblocking, resume_accept
from testtools.assertions import assert_that
from testtools.matchers import Equals

sys.path.insert(0, str(Path(__file__).parent.parent / "platform"))

from endivewick_platform import statement_codec as codec  # noqa: E402

LARGEST = codec.LINE_LIMIT_BYTES


def budget_with(limit_bytes, names):
    """Return a budget, its accounts by name, and the list of the names that it closed."""
    budget, closed = PeerBudget(limit_bytes), []
    accounts = {name: Account(lambda reason, name=name: closed.append(name)) for name in names}
    return budget, accounts, closed


def test_the_connection_that_holds_most_for_longest_is_closed():
    """A large message that arrives now is not the one that has to go."""
    budget, accounts, closed = budget_with(1_000_000, "abc")
    budget.update(accounts["a"], 300_000, now_ms=0)
    budget.update(accounts["b"], 400_000, now_ms=9_000)
    budget.update(accounts["c"], 500_000, now_ms=10_000)
    assert_that(closed, Equals(["a"]))
    assert_that(budget.held_bytes, Equals(900_000))


def test_a_connection_that_was_emptied_counts_from_its_next_message():
    budget, accounts, closed = budget_with(1_000_000, "abc")
    budget.update(accounts["a"], 400_000, now_ms=0)
    budget.update(accounts["a"], 0, now_ms=5_000)
    budget.update(accounts["b"], 400_000, now_ms=6_000)
    budget.update(accounts["a"], 400_000, now_ms=9_000)
    budget.update(accounts["c"], 400_000, now_ms=9_500)
    assert_that(closed, Equals(["b"]))


def test_a_close_that_updates_others_closes_no_more_than_needed():
    """Closing a session writes answers to others, in the middle of the closing."""
    budget, accounts, closed = budget_with(1_000_000, "ab")

    def close(reason):
        closed.append("large")
        budget.update(accounts["a"], 200_000, now_ms=2)

    large = Account(close)
    budget.update(accounts["a"], 100_000, now_ms=0)
    budget.update(accounts["b"], 100_000, now_ms=0)
    budget.update(large, 900_000, now_ms=1)
    assert_that(closed, Equals(["large"]))
    assert_that(budget.held_bytes, Equals(300_000))


@pytest.mark.parametrize("size", [1, 7, 65_536])
def test_a_line_in_pieces_is_found_whatever_their_size(size):
    """A line's end that is cut in two must be found, although each byte is searched once."""
    data = b"QUERY r1 FETCH a\r\nQUERY r2 PUT k v\rw\r\nQUIT\r\n"
    read = codec.line_reader()
    lines = [line for at in range(0, len(data), size) for line in read(data[at : at + size])]
    assert_that(lines, Equals(["QUERY r1 FETCH a", "QUERY r2 PUT k v\rw", "QUIT"]))


def test_messages_beyond_the_limit_of_a_call_are_kept():
    """Statements that nobody waits for yet stay bytes."""
    read = codec.read_client()
    data = b"QUIT\r\n" * 3
    assert_that(len(read(data, 1)), Equals(1))
    assert_that(read.held_bytes, Equals(2 * len(b"QUIT\r\n")))
    assert_that(len(read(b"")), Equals(2))
    assert_that(read.held_bytes, Equals(0))


@pytest.mark.parametrize("extra", [0, 1])
def test_a_line_of_the_largest_size_is_read_and_a_larger_one_is_not(extra):
    read = codec.line_reader()
    read(b"x" * (LARGEST + extra - 10))
    (line,) = read(b"x" * 10 + b"\r\n")
    assert_that(line is None, Equals(bool(extra)))


def test_one_statement_of_the_largest_size_may_be_stored():
    assert_that(MAX_STORED_BYTES >= LARGEST, Equals(True))


class Listener:
    """A listening socket without free descriptors."""

    def accept(self):
        raise OSError(errno.EMFILE, "too many open files")


class Masks:
    """Records the events that a poller is asked to report."""

    def __init__(self):
        self.masks = []

    def change(self, stream, mask):
        self.masks.append(mask)


def test_accepting_pauses_without_a_free_descriptor():
    """The listening socket stays readable, and the event loop turned without pause."""
    poller = Masks()
    assert_that(accept_nonblocking(Listener(), poller), Equals(None))
    resume_accept(Listener(), poller)
    assert_that(poller.masks, Equals([0, READABLE]))
