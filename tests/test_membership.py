"""The voters of control bear every loss that the settings allow, at each step of a change."""

from functools import partial
from random import Random

import pytest
from endivewick_core.control import effects as cx
from endivewick_core.control import events as ce
from endivewick_core.control.reducer import reduce
from endivewick_core.control.state import Role
from membership_simulation import CATCH_UP_MS, RECOVERY_MS, Site
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

WALKS = 30
POWER_WALKS = 6


@pytest.fixture(
    params=[(1, 0), (1, 1), (2, 2), (2, 3)], ids=lambda item: f"{3 + item[1]}-of-{item}"
)
def any_site(request):
    """Return a running site: small, small with a spare, grown without and with one."""
    lost_disks, others = request.param
    site = Site(lost_disks)
    site.start(others)
    return site


@pytest.fixture
def small_site():
    """Return a site of three control processes that bears one lost disk."""
    site = Site(1)
    site.start(0)
    return site


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


# Guards against a voter that stops as planned while its successor has the whole log and no vote.
@pytest.mark.parametrize("leader_first", [True, False])
@pytest.mark.parametrize("wait_ms", [50, 500, 1_000, 2_000, 4_000])
def test_machines_replaced_one_after_the_other(small_site, wait_ms, leader_first, record_property):
    site = small_site
    for _ in range(3):
        leader = site.leader()
        others = [item for item in site.machines if item is not leader]
        old = leader if leader_first else others[0]
        successor = site.add()
        site.run(CATCH_UP_MS + wait_ms)
        site.retire(old, successor)
        while old in site.machines:
            site.run(20)
    check(site, record_property)


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


# Guards against a loss that goes unnoticed until after it has stopped to count.
@pytest.mark.parametrize("lost", ["leader", "follower"])
@pytest.mark.parametrize("down_ms", [0, 300, 1_500])
@pytest.mark.parametrize("is_wiped", [True, False])
def test_disks_lost_one_after_the_other(any_site, lost, down_ms, is_wiped, record_property):
    site = any_site
    for _ in range(3):
        leader = site.leader()
        machine = (
            leader
            if lost == "leader"
            else next(site.machine_of(item) for item in site.voters() if item != leader.state.me)
        )
        if is_wiped:
            site.wipe(machine, down_ms)
        else:
            site.replace(machine, down_ms)
        site.run(down_ms + CATCH_UP_MS)
    check(site, record_property)


# Guards against two lost identities of one machine that both count as voters.
def test_a_machine_that_loses_its_disk_again_and_again(any_site, record_property):
    site = any_site
    machine = site.machine_of(
        next(item for item in site.voters() if item != site.leader().state.me)
    )
    for run_ms in range(600, 800, 10):
        site.wipe(machine, 0)
        site.run(run_ms)
    check(site, record_property)


# Guards against a rolling restart that shrinks the quorum, or leaves without a successor.
def test_a_rolling_restart(any_site, record_property):
    site = any_site
    for machine in list(site.machines):
        site.stop(machine, lambda item=machine: site.after(300, lambda: site.restart(item)))
        site.run(7_000)
    check(site, record_property)


# Guards against a voter that is removed for a request that it made before it started again.
def test_a_voter_that_comes_back_at_once_is_not_taken_for_stopping(small_site, record_property):
    site = small_site
    gone, stopped = [item for item in site.machines if item is not site.leader()]
    site.replace(gone, 0)
    site.run(1_000)
    site.stop(stopped, lambda: site.restart(stopped))
    while not site.losses or stopped.is_stopping:
        site.run(20)
    site.run(1_500)
    voters = {item.address for item in site.voters()}
    assert_that(stopped.address in voters and gone.address not in voters, Equals(True))
    check(site, record_property)


# Guards against stopping processes that all wait for another one to lead.
@pytest.mark.parametrize("delay_ms", [0, 20, 200])
def test_all_voters_that_stop_together_leave_in_turn(small_site, delay_ms, record_property):
    site = small_site
    site.add()
    site.run(1_500)
    stopped = list(site.machines[:3])
    for machine in stopped:
        restart = partial(site.after, 300, partial(site.restart, machine))
        site.stop(machine, restart)
        site.run(delay_ms)
    while any(machine.is_stopping for machine in stopped):
        site.run(20)
    check(site, record_property)


# Guards against a learner whose longer log refuses the only candidate that can be elected.
def test_a_learner_gets_no_entry_that_the_voters_lack(grown_site, record_property):
    site = grown_site
    proposer = site.leader()
    voters = [site.machine_of(item) for item in site.voters()]
    (learner,) = [item for item in site.machines if item not in voters]
    holder, lost, *electors = [item for item in voters if item is not proposer]
    site.split([lost])
    site.run(site.options.control.lost_voter_ms - 100)
    site.heal()
    site.split([proposer, holder, learner])
    while len(proposer.state.membership.voters) < 6:
        site.run(1)
    site.run(15)  # the holder and the learner have the membership of six, uncommitted
    site.heal()
    site.split([proposer, holder])
    electors.append(lost)
    while not any(item.state.leader_state for item in electors):
        site.run(1)
    for machine in voters:
        site.kill(machine)
    site.run(15)  # the new leader's first entry has reached the learner at most
    new_leader = next(item for item in electors if item.state.leader_state)
    electors.remove(new_leader)
    site.wipe(new_leader, 300)
    site.wipe(electors.pop(), 300)
    for machine in [proposer, holder, *electors]:
        site.after(300, partial(site.restart, machine))
    check(site, record_property)


# Guards against an operator's change that gets no answer when its leader stops as planned.
def test_a_leader_that_stops_answers_the_changes_that_are_not_committed(small_site):
    site = small_site
    state = site.leader().state
    now_ms = site.now_ms
    request = ce.PutConfigurationRequest(1, ["s"], b"document")
    reduce(state, ce.OperatorRequested(now_ms, 7, request))
    effects = reduce(state, ce.StopRequested(now_ms, now_ms + 1_000))
    kinds = [type(item) for item in effects]
    assert_that(kinds[-1], Equals(cx.StopProcess))
    (answer,) = [item for item in effects if isinstance(item, cx.AnswerOperator)]
    assert_that((answer.number, answer.status >= 500), Equals((7, True)))


def disturb(site, random):
    """Disturb the site once, without more lost disks than may be lost at once."""
    up = [item for item in site.machines if item.is_up and not item.is_stopping]
    if len(up) < 2:
        return
    machine = random.choice(up)
    kind = random.randrange(8)
    may_lose = site.disks_to_lose() > 0
    down_ms = random.choice([0, 300, 1_000, 3_000])
    if kind == 0 and site.may_lose(machine):
        site.wipe(machine, down_ms)
    elif kind == 1 and may_lose:
        site.replace(machine, down_ms)
    elif kind == 2:
        site.kill(machine)
        site.after(down_ms, lambda: site.restart(machine))
    elif kind == 3:
        site.stop(machine, lambda: site.after(down_ms, lambda: site.restart(machine)))
    elif kind == 4 and may_lose and not any(item.side for item in site.machines):
        successor = site.add()
        site.run(CATCH_UP_MS + random.choice([50, 500]))
        if machine.is_up and not machine.is_stopping and site.disks_to_lose() > 0:
            site.retire(machine, successor)
    elif kind in (5, 6) and not any(item.side for item in site.machines):
        count = 1 if kind == 5 else len(up) // 2
        site.split(random.sample(up, count))
        site.after(random.choice([500, 1_500, 3_000, 6_500]), site.heal)
    else:
        site.run(random.randrange(CATCH_UP_MS))


# Guards against any order of losses, splits, stops and restarts that leaves no majority.
@pytest.mark.parametrize("seed", [*range(WALKS), 2_192])
def test_random_disturbances_leave_a_majority(seed, record_property):
    random = Random(seed)
    lost_disks, others = random.choice([(1, 0), (1, 1), (2, 2), (2, 3)])
    site = Site(lost_disks, random=random)
    site.start(others)
    for _ in range(20):
        disturb(site, random)
        site.run(random.choice([20, 200, 1_000, 3_000]))
    site.run(10_000)
    check(site, record_property)


def put_configurations(site, random, every_ms):
    """Put a new configuration every ``every_ms`` on average, while there is a leader."""

    def put():
        site.put_configuration()
        site.after(random.randint(1, 2 * every_ms), put)

    put()


def stop_in_turn(site, random):
    """Stop all processes as planned, each once the one before it has started again."""
    waiting = list(site.machines)
    random.shuffle(waiting)
    down_ms, wait_ms = random.choice([100, 700]), random.choice([0, 300, 2_000])

    def stop_next():
        while waiting:
            machine = waiting.pop()
            if machine in site.machines and machine.is_up and not machine.is_stopping:
                site.stop(machine, partial(site.after, down_ms, partial(go_on, machine)))
                return

    def go_on(machine):
        site.restart(machine)
        site.after(wait_ms, stop_next)

    stop_next()


def last_disturbance(site, random):
    """Begin what is under way when the power is lost, and let some of it happen."""
    kind = random.randrange(5)
    if kind == 0:
        stop_in_turn(site, random)
        site.run(random.randint(0, 12_000))
    elif kind == 1:
        leader = site.leader()
        if not leader.is_stopping:
            site.stop(leader, lambda: site.after(300, lambda: site.restart(leader)))
        site.run(random.randint(0, 2_500))
    elif kind == 2:
        leader = site.leader()
        site.kill(leader)
        site.after(300, lambda: site.restart(leader))
        site.run(random.randint(300, 2_500))
    elif kind == 3:
        disturb(site, random)
        site.run(random.randint(0, 1_000))
    else:
        site.run(random.randint(0, 200))


def lose_power_and_disks(site, random):
    """Take all disks that may be lost, and the power of all machines, at one moment."""
    count = max(0, min(site.disks_to_lose(), len(site.machines)))
    counted = [item.machine for item in site.losses if item.machine in site.machines]
    others = [item for item in site.machines if item not in counted]
    wiped = random.sample(others, min(count, len(others)))
    wiped += [item for item in counted if random.random() < 0.5]
    site.lose_power(wiped)


def power_walk(seed):
    """Disturb a site that ends with a loss of all power and of disks; return it."""
    random = Random(seed)
    lost_disks, others = random.choice([(2, 2), (2, 3), (2, 3), (1, 1)])
    snapshot_entries = random.choice([None, None, 30, 6])
    site = Site(lost_disks, snapshot_entries, random=random)
    site.start(others)
    put_configurations(site, random, random.choice([50, 200, 1_000]))
    for _ in range(random.randint(0, 6)):
        disturb(site, random)
        site.run(random.choice([20, 200, 1_000, 3_000]))
    last_disturbance(site, random)
    if random.random() < 0.5:
        acknowledged = []
        site.on_acknowledged = partial(acknowledged.append, True)
        while not acknowledged:
            site.run(1)
    lose_power_and_disks(site, random)
    return site


def recover(site):
    """Run until a configuration that was put after the loss of power is acknowledged."""
    site.heal()
    known = site.configurations_put
    deadline_ms = site.now_ms + RECOVERY_MS
    while site.acknowledged_version <= known and site.now_ms < deadline_ms:
        site.run(20)
    assert_that(site.acknowledged_version, GreaterThan(known))


# Guards against a loss of all power, together with disks, after which no leader can be elected or
# something acknowledged is gone.
@pytest.mark.parametrize("seed", range(POWER_WALKS))
def test_nothing_acknowledged_is_lost_with_the_power(seed, record_property):
    site = power_walk(seed)
    recover(site)
    record_property("states", len(site.fingerprints))
    assert_that(site.missing_after(), Equals([]))
    assert_that(site.faults, Equals([]))
