"""The exploration of quotas, bounded for CI; see quota_exploration.py."""

import pytest
from endivewick_core import token_buckets
from endivewick_core.control import quota_shares, quotas
from quota_exploration import SCENARIOS, describe, explore
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

DEPTH = 2
PLANTED_DEPTH = 3


def broken(found):
    return [f"{text}: {describe(path)}" for path, text in found.paths]


@pytest.mark.parametrize("name", SCENARIOS)
def test_no_sequence_of_faults_breaks_a_limit(record_property, name):
    """All sequences of two steps: cuts, freezes, restarts, lost answers, a lower limit."""
    found = explore(SCENARIOS[name], DEPTH, recover_every=10)
    record_property("sequences", found.sequences)
    assert_that(broken(found), Equals([]))


def test_a_returned_share_that_keeps_its_level_is_found(monkeypatch):
    """The exploration must notice tokens that are given twice."""
    refresh = token_buckets.refresh

    def keep_level(division, now_ms, limit, holds_back):
        before = division.undivided.burst
        refresh(division, now_ms, limit, holds_back)
        division.undivided.level += max(0.0, division.undivided.burst - before)

    monkeypatch.setattr(quota_shares, "refresh", keep_level)
    found = explore(SCENARIOS["restarts"], DEPTH, most_paths=1)
    assert_that(len(found.paths), GreaterThan(0))


def test_a_leader_that_forgets_unconfirmed_shares_is_found(monkeypatch):
    """The exploration must notice a share that its holder goes on using after a lost answer."""

    def forget(division, holder, grant):
        division.grants[holder] = [grant]
        token_buckets._update_used(division, holder)

    monkeypatch.setattr(token_buckets, "hold", forget)
    monkeypatch.setattr(quota_shares, "hold", forget)
    found = explore(SCENARIOS["lost answers"], PLANTED_DEPTH, most_paths=1)
    assert_that(len(found.paths), GreaterThan(0))


def test_a_new_leader_that_holds_nothing_back_is_found(monkeypatch):
    """The exploration must notice shares that a new leader doesn't know."""

    def is_complete_at_once(state, now_ms, leader, members):
        leader.is_complete = True
        return []

    monkeypatch.setattr(quota_shares, "_check_complete", is_complete_at_once)
    found = explore(SCENARIOS["partition"], PLANTED_DEPTH, most_paths=1)
    assert_that(len(found.paths), GreaterThan(0))


def test_a_lower_limit_that_is_ignored_is_found(monkeypatch):
    """The exploration must notice a control process that goes on with the higher limit."""

    def keep_highest(bucket, now_ms, limit, part):
        rate_per_s, burst = bucket.rate_per_s, bucket.burst
        token_buckets.resize(bucket, now_ms, limit, part)
        bucket.rate_per_s = max(bucket.rate_per_s, rate_per_s)
        bucket.burst = max(bucket.burst, burst)

    monkeypatch.setattr(quotas, "resize", keep_highest)
    found = explore(SCENARIOS["lower"], DEPTH, most_paths=1)
    assert_that(len(found.paths), GreaterThan(0))
