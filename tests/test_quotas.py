"""Quotas over all gateways: limits hold in every window, and what lies below them is served.

Each test runs the real reducers over a simulated network; see quota_model.py.
"""

import random

import msgspec
import pytest
from endivewick_core.codec import decode, encode
from endivewick_core.commands import COMMANDS, PutConfiguration
from endivewick_core.control import events as ce
from endivewick_core.control.quota_shares import SHARE_LEASE_MS
from endivewick_core.messages import QuotaQuestion, QuotaShare, QuotaShareAnswer, TokenNeed
from endivewick_core.replicated_state import (
    ReplicatedState,
    apply_command,
    decode_replicated_state,
    encode_replicated_state,
)
from endivewick_core.token_buckets import TokenLimit
from endivewick_node.http_server import Request
from endivewick_platform import control_codec
from quota_model import (
    QUOTA_MESSAGES,
    allowed,
    controls_of,
    cut,
    freeze,
    gateways_of,
    handle,
    heal,
    leader_of,
    most_in_window,
    offer,
    put_limits,
    receive,
    restart,
    run,
    start_world,
    thaw,
)
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

TENANT = "bode"
LIMITS = {"low": (5, 5), "middle": (20, 20), "high": (174, 174)}


def load_of(rates, seed=1, centres=None):
    """Return a load with operations at random gateways and times, at these mean rates."""
    draws = random.Random(seed)

    def load(world):
        gateways = [item for item in gateways_of(world) if not centres or item.centre in centres]
        for tenant, rate_per_s in rates.items():
            left = rate_per_s * world.tick_ms / 1000
            while left > 0:
                if draws.random() < min(1.0, left):
                    offer(world, draws.choice(gateways), tenant)
                left -= 1

    return load


def assert_within_limits(world, limits):
    for tenant, limit in limits.items():
        most = most_in_window(world.runs.get(tenant, []))
        assert_that(most, LessThan(allowed(TokenLimit(*limit)) + 1), tenant)


def served_since(world, tenant, since_ms):
    return sum(1 for time_ms in world.runs.get(tenant, []) if time_ms >= since_ms)


def refused_since(world, tenant, since_ms):
    return sum(1 for time_ms in world.refused.get(tenant, []) if time_ms >= since_ms)


def flood(limits=None):
    return load_of({name: 3 * limit[0] for name, limit in (limits or LIMITS).items()})


def test_low_limits_are_served_through_all_gateways_and_control_processes():
    """A tenant with 4 of 5 operations a second must not lose any to tokens stranded elsewhere."""
    limits = {f"t{rate}": (5, 5) for rate in (1, 2, 3, 4)}
    world = start_world(limits, controls=6, gateways=62)
    run(world, 30_000, load_of({"t1": 1, "t2": 2, "t3": 3, "t4": 4}))
    refused = {tenant: len(times) for tenant, times in world.refused.items()}
    served = sum(len(times) for times in world.runs.values())
    assert_that(sum(refused.values()), LessThan(0.01 * served), str(refused))
    waits = sorted(wait for tenant in limits for wait in world.waits[tenant])
    # The question and its answer take no time in the data centre of the model.
    assert_that(waits[int(0.95 * len(waits))], Equals(0))


def test_a_tenant_that_uses_one_data_centre_has_its_whole_limit():
    """Shares of data centres without demand must not be lost to it."""
    limits = {"low": (5, 5), "high": (50, 50)}
    world = start_world(limits, controls=6, gateways=12)
    since_ms = world.now_ms
    run(world, 20_000, load_of({"low": 4, "high": 45}, centres=["dc-3"]))
    assert_that(refused_since(world, "low", since_ms), LessThan(2))
    assert_that(refused_since(world, "high", since_ms), LessThan(5))
    since_ms = world.now_ms
    run(world, 10_000, load_of({"high": 150}, centres=["dc-4"]))
    assert_that(served_since(world, "high", since_ms), GreaterThan(0.95 * 50 * 10))
    assert_within_limits(world, limits)


def test_a_tenant_over_its_limit_gets_its_limit_and_is_told_when_to_come_back():
    """Bursts of 5 to 7.5 times the load of one tenant must not exceed its limit nor lose it."""
    limits = {"hot": (20, 20), "calm": (20, 20)}
    world = start_world(limits, controls=6, gateways=62)
    run(world, 20_000, load_of({"hot": 150, "calm": 10}))
    assert_within_limits(world, limits)
    assert_that(len(world.runs["hot"]), GreaterThan(0.95 * 20 * 20))
    assert_that(len(world.refused.get("calm", [])), Equals(0))
    assert_that(min(world.retries), GreaterThan(299))
    assert_that(len(set(world.retries)), GreaterThan(7))


def test_nothing_is_sent_without_limits():
    """Earlier deployments have no tenants and must see no quota message."""
    world = start_world({}, controls=3, gateways=3)
    run(world, 2_000)
    sent = {name for name in world.sent if name.startswith("Quota")}
    assert_that(sent, Equals(set()))


@pytest.mark.parametrize("share", [0.3, 0.7])
def test_lost_messages_break_no_limit(share):
    """Lost tokens expire by themselves; lost shares stay reserved."""
    world = start_world(LIMITS, controls=3, gateways=6)
    draws = random.Random(2)
    world.lose = lambda _, message: isinstance(message, QUOTA_MESSAGES) and draws.random() < share
    run(world, 12_000, flood())
    world.lose = None
    since_ms = world.now_ms
    run(world, 8_000, flood())
    assert_within_limits(world, LIMITS)
    assert_that(served_since(world, "high", since_ms), GreaterThan(0.9 * 174 * 8))


def test_a_control_process_that_is_cut_off_stops_when_its_lease_ends():
    """By then the others may have its share."""
    world = start_world(LIMITS, controls=3, gateways=6)
    run(world, 3_000, flood())
    follower = [item for item in controls_of(world) if item is not leader_of(world)][0]
    everyone = list(world.processes)
    own = [item.address for item in gateways_of(world) if item.centre == follower.centre]
    cut(world, follower.address, [item for item in everyone if item not in own])
    run(world, SHARE_LEASE_MS + 100)
    given = sum(world.sent.get(name, 0) for name in ("QuotaAnswer",))
    question = QuotaQuestion(own[0], "boot 1", 10_000, 1, {"high": TokenNeed(5, 0)})
    receive(world, follower, question)
    share = follower.state.quotas.shares["high"]
    assert_that((share.bucket.rate_per_s, share.bucket.level), Equals((0.0, 0.0)))
    assert_that(world.sent["QuotaAnswer"], Equals(given))
    heal(world)
    since_ms = world.now_ms
    run(world, 6_000, flood())
    assert_within_limits(world, LIMITS)
    assert_that(served_since(world, "high", since_ms), GreaterThan(0.85 * 174 * 6))


@pytest.mark.parametrize("frozen_ms", [400, 3_000, 9_000])
@pytest.mark.parametrize("kind", ["leader", "follower", "gateway"])
def test_a_process_that_thaws_with_a_late_clock_gives_nothing_twice(kind, frozen_ms):
    """It first handles an event with the time at which it was frozen."""
    world = start_world(LIMITS, controls=3, gateways=6)
    run(world, 3_000, flood())
    followers = [item for item in controls_of(world) if item is not leader_of(world)]
    frozen = {
        "leader": leader_of(world),
        "follower": followers[0],
        "gateway": gateways_of(world)[0],
    }[kind]
    freeze(world, frozen.address)
    run(world, frozen_ms, flood())
    thaw(world, frozen.address)
    run(world, 8_000, flood())
    assert_within_limits(world, LIMITS)


@pytest.mark.parametrize("kind", ["leader", "follower", "gateway", "all"])
def test_a_process_that_is_killed_and_restarted_breaks_no_limit(kind):
    """A new process knows nothing of the tokens that the one before it gave or used."""
    world = start_world(LIMITS, controls=3, gateways=6)
    for _ in range(4):
        run(world, 1_500, flood())
        followers = [item for item in controls_of(world) if item is not leader_of(world)]
        subjects = {
            "leader": [leader_of(world)],
            "follower": followers[:1],
            "gateway": gateways_of(world)[:1],
            "all": list(world.processes.values()),
        }[kind]
        for process in subjects:
            if process is not None:
                restart(world, process.address)
    since_ms = world.now_ms + SHARE_LEASE_MS + 2_000
    run(world, 12_000, flood())
    assert_within_limits(world, LIMITS)
    served = served_since(world, "high", since_ms)
    assert_that(served, GreaterThan(0.9 * 174 * (world.now_ms - since_ms) / 1000))


def test_held_shares_serve_while_there_is_no_leader():
    """Requests of tenants far below their limits must not fail with the core of control."""
    limits = {"low": (5, 5), "high": (174, 174)}
    world = start_world(limits, controls=3, gateways=6)
    rates = {"low": 2, "high": 60}
    run(world, 8_000, load_of(rates))
    leader = leader_of(world)
    centre = leader.centre
    others = [item.centre for item in controls_of(world) if item.centre != centre]
    since_ms = world.now_ms
    freeze(world, leader.address)
    run(world, 700, load_of(rates, centres=others))
    assert_that(refused_since(world, "high", since_ms), Equals(0))
    assert_that(refused_since(world, "low", since_ms), Equals(0))
    run(world, 4_000, load_of(rates, centres=others))
    served = served_since(world, "high", since_ms)
    assert_that(refused_since(world, "high", since_ms), LessThan(0.1 * served))
    assert_that(leader_of(world).address != leader.address, Equals(True))


def test_a_new_leader_holds_back_until_every_member_has_reported():
    """A share that it doesn't know may still be in use."""
    world = start_world(LIMITS, controls=3, gateways=6)
    run(world, 3_000, flood())
    first = leader_of(world)
    freeze(world, first.address)
    run(world, 2_500, flood())
    second = leader_of(world)
    assert_that(second is not first, Equals(True))
    quotas = second.state.quotas.leader
    assert_that((quotas.term, quotas.is_complete), Equals((second.state.term, False)))
    assert_that(quotas.divisions["high"].undivided.level, Equals(0.0))
    thaw(world, first.address)
    run(world, 800, flood())
    assert_that(quotas.is_complete, Equals(True))
    run(world, 5_000, flood())
    assert_within_limits(world, LIMITS)


def test_a_lower_limit_takes_effect_within_seconds():
    """Limits must be in force 5 s after their acknowledgement, also where a process was cut off."""
    world = start_world({TENANT: (100, 100)}, controls=3, gateways=6)
    run(world, 4_000, flood({TENANT: (100, 100)}))
    follower = [item for item in controls_of(world) if item is not leader_of(world)][0]
    cut(world, follower.address)
    put_limits(world, {TENANT: (5, 5)})
    run(world, 5_000, flood({TENANT: (100, 100)}))
    since_ms = world.now_ms
    run(world, 10_000, flood({TENANT: (100, 100)}))
    after_ms = [time_ms for time_ms in world.runs[TENANT] if time_ms >= since_ms]
    assert_that(most_in_window(after_ms), LessThan(allowed(TokenLimit(5, 5))))


def test_a_limit_that_is_removed_and_comes_back_is_not_given_twice():
    """A process that was cut off meanwhile still has its share of before."""
    world = start_world({TENANT: (100, 10)}, controls=3, gateways=6)
    run(world, 4_000, flood({TENANT: (100, 10)}))
    follower = [item for item in controls_of(world) if item is not leader_of(world)][0]
    cut(world, follower.address, [item.address for item in controls_of(world)])
    before = leader_of(world).state.quotas.leader.divisions[TENANT]
    put_limits(world, {})
    run(world, 600)
    put_limits(world, {TENANT: (100, 10)})
    run(world, 400)
    assert_that(leader_of(world).state.quotas.leader.divisions[TENANT] is before, Equals(True))


def test_shares_never_add_up_to_more_than_the_limit():
    """Answers that cross questions must not let a process keep two shares."""
    limits = {TENANT: (100, 10)}
    world = start_world(limits, controls=3, gateways=3)
    draws = random.Random(4)
    world.lose = lambda _, message: isinstance(message, QUOTA_MESSAGES) and draws.random() < 0.3
    for step in range(60):
        centre = f"dc-{step // 5 % 3}"
        run(world, 100, load_of({TENANT: 300}, seed=step, centres=[centre]))
        shares = [item.state.quotas.shares[TENANT] for item in controls_of(world)]
        assert_that(sum(item.part.rate_ppm for item in shares), LessThan(1_000_001))
        assert_that(sum(item.part.burst_ppm for item in shares), LessThan(1_000_001))


def test_the_answer_of_an_earlier_leader_is_dropped_once_the_next_one_was_asked():
    """The next leader may have given what the earlier one still gives."""
    world = start_world({TENANT: (20, 20)}, controls=3, gateways=3)
    follower = [item for item in controls_of(world) if item is not leader_of(world)][0]
    quotas = follower.state.quotas
    share = quotas.shares[TENANT]
    before = share.serial
    for term_offset, adopts in ((-1, False), (0, True)):
        quotas.sequence += 1
        now_ms = world.now_ms + follower.offset_ms
        quotas.sent_ms[quotas.sequence] = now_ms
        given = QuotaShare(before + 1_000, 10, 10, 0.0)
        answer = QuotaShareAnswer(
            follower.state.directory_state.boot,
            quotas.asked_term + term_offset,
            quotas.sequence,
            {TENANT: given},
        )
        receive(world, follower, answer)
        assert_that(share.serial == before + 1_000, Equals(adopts))


def test_answers_that_overtake_each_other_leave_the_newest_share():
    """The leader has freed what the older one gave, once the newer one was confirmed."""
    world = start_world({TENANT: (20, 20)}, controls=3, gateways=3)
    follower = [item for item in controls_of(world) if item is not leader_of(world)][0]
    quotas = follower.state.quotas
    share = quotas.shares[TENANT]
    newest = share.serial + 1_000
    for serial, rate_ppm in ((newest, 10), (newest - 1, 500_000), (newest, 700_000)):
        quotas.sequence += 1
        quotas.sent_ms[quotas.sequence] = world.now_ms + follower.offset_ms
        given = QuotaShare(serial, rate_ppm, 10, 0.0)
        boot = follower.state.directory_state.boot
        answer = QuotaShareAnswer(boot, quotas.asked_term, quotas.sequence, {TENANT: given})
        receive(world, follower, answer)
    assert_that(share.part.rate_ppm, Equals(10))


def test_log_entries_of_earlier_versions_decode_without_limits():
    """A control process must read the log that it wrote before it was updated."""
    earlier = msgspec.msgpack.encode([1, "PutConfiguration", [7, ["orders"], b"document"]])
    command = decode(COMMANDS, earlier)
    assert_that(command, Equals(PutConfiguration(7, ["orders"], b"document", {})))
    state = ReplicatedState()
    apply_command(state, 1, command)
    assert_that(state.configuration.limits, Equals({}))


def test_limits_survive_the_log_and_a_snapshot():
    """A restarted leader must know the limits before any operator puts them again."""
    put = PutConfiguration(7, ["orders"], b"document", {TENANT: TokenLimit(5.0, 6.0)})
    command = decode(COMMANDS, encode(put))
    state = ReplicatedState()
    apply_command(state, 1, command)
    restored = decode_replicated_state(encode_replicated_state(state, with_changes=True))
    assert_that(restored.configuration.limits, Equals({TENANT: TokenLimit(5.0, 6.0)}))


def test_the_limits_of_the_document_reach_control():
    """Tenants without rate-per-s are not limited."""
    document = {
        "version": 3,
        "routes": [],
        "services": [],
        "tenants": [
            {"name": "bode", "api-keys": ["k1"], "rate-per-s": 158, "burst": 160},
            {"name": "free", "api-keys": ["k2"]},
        ],
    }
    request = Request("PUT", "/config", {}, msgspec.json.encode(document))
    event = control_codec.parse_request(request, 5, 1).unwrap()
    assert_that(event.request.limits, Equals({"bode": TokenLimit(158.0, 160.0)}))
    assert_that(isinstance(event.request, ce.PutConfigurationRequest), Equals(True))


def test_a_gateway_that_knows_a_limit_before_control_does_waits():
    """Otherwise operations would run without a limit until the configuration arrives."""
    world = start_world({"low": (5, 5)}, controls=3, gateways=3)
    control, gateway = controls_of(world)[0], gateways_of(world)[0]
    answers = []

    def remember(process, message):
        if process is control:
            answers.append(message)
        return True

    world.lose = remember
    for version in (2, 1):
        question = QuotaQuestion(gateway.address, "boot 1", 99, version, {"new": TokenNeed(3, 1)})
        handle(world, control, ce.MessageReceived(world.now_ms + control.offset_ms, question))
    tokens = [item.answers["new"].tokens for item in answers]
    assert_that(tokens, Equals([0, 4]))
