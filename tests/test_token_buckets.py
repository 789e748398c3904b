"""The divisible token bucket: its parts give no more than the undivided bucket would."""

from endivewick_core.token_buckets import (
    SPARE_TOKENS,
    WHOLE_PPM,
    Bucket,
    Division,
    Grant,
    Part,
    TokenLimit,
    add,
    confirm,
    give,
    hold,
    refresh,
    reserved,
    resize,
    rest,
    take,
)
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

LIMIT = TokenLimit(10, 8)
CAPACITY = 8 + SPARE_TOKENS
WHOLE = Part(WHOLE_PPM, WHOLE_PPM)
HALF = Part(WHOLE_PPM // 2, WHOLE_PPM // 2)


def full_division():
    division = Division()
    refresh(division, 0, LIMIT, holds_back=False)
    refresh(division, 10_000, LIMIT, holds_back=False)
    return division


def test_a_bucket_fills_up_to_its_burst():
    bucket = Bucket()
    resize(bucket, 0, LIMIT, WHOLE)
    assert_that(take(bucket, 0, 5), Equals(0))
    assert_that(take(bucket, 500, 9), Equals(5))
    assert_that(take(bucket, 100_000, 1_000), Equals(int(CAPACITY)))


def test_a_clock_that_goes_back_adds_no_tokens():
    """A frozen process may handle an event with the time before it was frozen."""
    bucket = Bucket()
    resize(bucket, 0, LIMIT, WHOLE)
    assert_that(take(bucket, 1_000, 10), Equals(10))
    assert_that(take(bucket, 0, 10), Equals(0))
    assert_that(take(bucket, 1_100, 10), Equals(1))


def test_a_lower_limit_drops_tokens_at_once():
    bucket = Bucket()
    resize(bucket, 0, LIMIT, WHOLE)
    resize(bucket, 10_000, TokenLimit(1, 1), WHOLE)
    assert_that(take(bucket, 10_000, 1_000), Equals(int(1 + SPARE_TOKENS)))


def test_a_limit_of_nothing_gives_nothing():
    bucket = Bucket()
    resize(bucket, 0, LIMIT, WHOLE)
    resize(bucket, 10_000, TokenLimit(0, 5), WHOLE)
    assert_that(take(bucket, 100_000, 1), Equals(0))


def test_tokens_are_given_once():
    """Tokens that a holder got must not stay in the undivided bucket."""
    division = full_division()
    given = give(division, 10_000, LIMIT, "a", Grant(1, HALF, 14_000), 0, 6)
    assert_that(given, Equals(6))
    assert_that(division.undivided.level, Equals(min(CAPACITY - 6, CAPACITY / 2)))
    assert_that(division.undivided.rate_per_s, Equals(5))


def test_a_part_that_ends_goes_back_without_its_level():
    """Its holder may have used the tokens; with the level, they would be given again."""
    division = full_division()
    give(division, 10_000, LIMIT, "a", Grant(1, HALF, 14_000), 0, CAPACITY / 2)
    take(division.undivided, 10_000, 1_000)
    assert_that(division.undivided.level, Equals(0))
    refresh(division, 10_100, LIMIT, holds_back=False)
    before = division.undivided.level
    division.grants["a"] = [Grant(1, HALF, 10_100)]
    division.next_end_ms = 10_100
    refresh(division, 10_101, LIMIT, holds_back=False)
    assert_that(division.undivided.burst, Equals(CAPACITY))
    assert_that(division.undivided.level, LessThan(before + 0.1))


def test_a_replaced_grant_stays_reserved_until_its_holder_confirms_the_next():
    """The answer with the smaller share may be lost, and its holder goes on with the larger one."""
    division = full_division()
    give(division, 10_000, LIMIT, "a", Grant(1, HALF, 14_000), 0, 0)
    give(division, 10_100, LIMIT, "a", Grant(2, Part(), 14_100), 0, 0)
    assert_that(reserved(division), Equals(HALF))
    confirm(division, "a", 1)
    assert_that(reserved(division), Equals(HALF))
    confirm(division, "a", 2)
    assert_that(reserved(division), Equals(Part()))


def test_a_process_that_was_started_again_is_another_holder():
    division = full_division()
    hold(division, "a 1", Grant(1, HALF, 14_000))
    assert_that(rest(division, "a 2"), Equals(HALF))


def test_nothing_is_undivided_while_grants_may_be_unknown():
    """A new leader doesn't know yet what the one before it gave."""
    division = Division()
    refresh(division, 0, LIMIT, holds_back=True)
    refresh(division, 10_000, LIMIT, holds_back=True)
    assert_that(division.undivided.level, Equals(0))


def test_added_tokens_fit_the_burst():
    bucket = Bucket()
    resize(bucket, 0, LIMIT, HALF)
    add(bucket, 1_000)
    assert_that(take(bucket, 0, 1_000), Equals(int(CAPACITY / 2)))
