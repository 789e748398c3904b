"""What gateways run while no control process answers, and what control keeps for them."""

import random

from endivewick_core.token_buckets import TokenLimit
from quota_model import (
    allowed,
    controls_of,
    cut,
    gateways_of,
    most_in_window,
    offer,
    run,
    start_world,
)
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

LIMIT = (100, 100)


def load(rate_per_s, gateways=None, seed=1):
    """Return a load of one tenant at random gateways."""
    draws = random.Random(seed)

    def offer_some(world):
        chosen = gateways or gateways_of(world)
        left = rate_per_s * world.tick_ms / 1000
        while left > 0:
            if draws.random() < min(1.0, left):
                offer(world, draws.choice(chosen), "bode")
            left -= 1

    return offer_some


def cut_off(world, gateways):
    for gateway in gateways:
        cut(world, gateway.address, [item.address for item in controls_of(world)])


def served_between(world, since_ms, until_ms):
    return sum(1 for time_ms in world.runs["bode"] if since_ms <= time_ms < until_ms)


def test_gateways_that_are_cut_off_from_control_go_on_at_their_rate():
    """Most gateways may lose control for seconds; their clients must be served meanwhile."""
    world = start_world({"bode": LIMIT}, controls=3, gateways=6)
    run(world, 10_000, load(40))
    gateways = gateways_of(world)[:4]
    cut_off(world, gateways)
    since_ms = world.now_ms + 1_000
    run(world, 7_000, load(40 * 4 / 6, gateways))
    asked = 40 * 4 / 6 * 6
    assert_that(served_between(world, since_ms, world.now_ms), GreaterThan(0.5 * asked))


def test_the_reserve_of_a_gateway_ends():
    """Control keeps it for a limited time only, so a gateway may not use it for longer."""
    world = start_world({"bode": LIMIT}, controls=3, gateways=6)
    run(world, 10_000, load(40))
    gateways = gateways_of(world)[:4]
    cut_off(world, gateways)
    run(world, 8_500, load(20, gateways))
    since_ms = world.now_ms
    run(world, 3_000, load(20, gateways))
    assert_that(served_between(world, since_ms, world.now_ms), Equals(0))


def test_a_flood_elsewhere_while_gateways_are_cut_off_breaks_no_limit():
    """Control must not give away what gateways that it doesn't hear from go on to use."""
    world = start_world({"bode": LIMIT}, controls=3, gateways=6)
    run(world, 10_000, load(95))
    cut_off(world, gateways_of(world)[:4])
    since_ms = world.now_ms
    run(world, 9_000, load(400))
    run(world, 6_000, load(400))
    most = most_in_window([time_ms for time_ms in world.runs["bode"] if time_ms >= since_ms])
    assert_that(most, LessThan(allowed(TokenLimit(*LIMIT)) + 1))
