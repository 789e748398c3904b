"""The voters of control bear every loss that the settings allow, at each step of a change."""

import pytest
from endivewick_core.control.state import Role
from membership_simulation import RECOVERY_MS, Site
from testtools.assertions import assert_that
from testtools.matchers import Equals


@pytest.fixture
def grown_site():
    """Return a site of five voters and a learner that bears two lost disks."""
    site = Site(2)
    site.start(3)
    return site


def check(site, record_property):
    """Check that no fault was recorded, and that all that run recover with the voters they need."""
    site.heal()
    site.run(RECOVERY_MS)
    record_property("states", len(site.fingerprints))
    assert_that(site.faults, Equals([]))
    running = {item.state.me.member_id for item in site.machines if item.is_up}
    voters = {item.member_id for item in site.voters()}
    expected = min(site.options.control.voter_target, len(running))
    assert_that((len(voters), voters <= running), Equals((expected, True)))


# Guards against a voter removed for a learner that is as far out of reach as the voter itself.
@pytest.mark.parametrize("learner_stays", [True, False])
@pytest.mark.parametrize("split_ms", [500, 1_500, 2_000, 3_000, 4_500, 6_500, 9_000])
def test_a_split_with_lost_disks(grown_site, split_ms, learner_stays, record_property):
    site = grown_site
    leader = site.leader()
    voters = [site.machine_of(item) for item in site.voters()]
    (learner,) = [item for item in site.machines if item not in voters]
    side = [leader, *[item for item in voters if item is not leader][:2]]
    if learner_stays:
        side.append(learner)
    site.split(side)
    site.run(split_ms)
    assert_that((leader.state.role, site.committed_voters(leader)), Equals((Role.LEADER, 5)))
    for machine in side[:2]:
        site.wipe(machine, 500)
    site.run(500)
    check(site, record_property)


# Guards against a voter replaced by a learner that can't take part.
def test_a_voter_and_the_learner_out_of_reach(grown_site, record_property):
    site = grown_site
    voters = [site.machine_of(item) for item in site.voters()]
    (learner,) = [item for item in site.machines if item not in voters]
    known = list(site.voters())
    cut_off = next(item for item in voters if item is not site.leader())
    site.split([learner, cut_off])
    site.run(8_000)
    assert_that(site.voters(), Equals(known))
    check(site, record_property)
