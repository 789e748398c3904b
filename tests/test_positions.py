"""Tests of log positions and forks."""

from endivewick_core.positions import FORKS_KEPT, Fork, Position, covers, survives
from testtools.assertions import assert_that
from testtools.matchers import Equals


def test_position_below_the_fork_survives():
    assert_that(survives(Position(1, 5), [Fork(2, 5)]), Equals(True))


def test_position_above_the_fork_is_lost():
    assert_that(survives(Position(1, 6), [Fork(2, 5)]), Equals(False))


def test_position_of_the_new_term_survives_its_own_fork():
    assert_that(survives(Position(2, 9), [Fork(2, 5)]), Equals(True))


def test_position_above_any_later_fork_is_lost():
    assert_that(survives(Position(1, 5), [Fork(2, 7), Fork(3, 4)]), Equals(False))


def test_position_from_before_the_stored_forks_counts_as_lost():
    forks = [Fork(term, 1_000) for term in range(10, 10 + FORKS_KEPT)]
    assert_that(survives(Position(8, 5), forks), Equals(False))
    assert_that(survives(Position(9, 5), forks), Equals(True))


def test_replica_of_an_older_term_does_not_cover_a_newer_position():
    assert_that(covers(Position(1, 100), Position(2, 3)), Equals(False))
