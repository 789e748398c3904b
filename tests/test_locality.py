"""The share of reads that goes to other data centres; each test names its load pattern."""

from collections import deque

from endivewick_core.gateway.locality import (
    MAX_AGE_MS,
    PERIOD_MS,
    STEP,
    CentreFigures,
    Locality,
    LocalitySettings,
    choose,
    decide,
    first_due_ms,
)
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

SLOTS = 12
NEAR_MS, FAR_MS = 1.0, 40.0
DEFAULTS = LocalitySettings()


def figures(asked=6.0, running=None, slots=SLOTS, **changes):
    return CentreFigures(slots, asked if running is None else running, asked, 20.0, **changes)


def decide_often(state, own, others, periods=20, settings=DEFAULTS, start_ms=0):
    """Decide once in each period with the same figures; return all changes."""
    changes = []
    for period in range(periods):
        now_ms = start_ms + period * PERIOD_MS
        changes += decide(state, now_ms, own, others, settings)
    return changes


def total(state):
    return sum(state.shares.values())


class Centres:
    """Data centres that decide by figures which are ``delay`` periods old."""

    def __init__(self, ways_ms, delay=2, is_on=True):
        self.ways_ms = ways_ms
        self.states = {name: Locality() for name in ways_ms}
        self.seen = {name: deque(maxlen=delay + 1) for name in ways_ms}
        self.slots = dict.fromkeys(ways_ms, SLOTS)
        self.now_ms = 0
        self.is_on = is_on
        self.unserved = 0.0
        self.history = []

    def run(self, asked, periods):
        for _ in range(periods):
            self.now_ms += PERIOD_MS
            running = dict.fromkeys(asked, 0.0)
            for name, state in self.states.items():
                running[name] += asked[name] * (1 - total(state))
                for other, share in state.shares.items():
                    running[other] += asked[name] * share
            for name, slots in self.slots.items():
                self.unserved += max(0.0, running[name] - slots)
                self.seen[name].append(CentreFigures(slots, running[name], asked[name], 20.0))
            self.history.append({name: dict(item.shares) for name, item in self.states.items()})
            if not self.is_on:
                continue
            for name, state in self.states.items():
                others = {
                    other: self.seen[other][0]._replace(
                        way_ms=way_ms, age_ms=(len(self.seen[other]) - 1) * PERIOD_MS
                    )
                    for other, way_ms in self.ways_ms[name].items()
                }
                # A data centre knows the slots of its own upstreams without delay.
                own = self.seen[name][0]._replace(slots=self.slots[name], asked=asked[name])
                decide(state, self.now_ms, own, others, DEFAULTS)

    def turns(self, name):
        """Return how often the sum of a data centre's shares changed its direction."""
        sums = [sum(shares[name].values()) for shares in self.history]
        steps = [after - before for before, after in zip(sums, sums[1:], strict=False)]
        moves = [step for step in steps if abs(step) > 0.001]
        return sum(1 for one, other in zip(moves, moves[1:], strict=False) if one * other < 0)


THREE = {
    "a": {"b": NEAR_MS, "c": FAR_MS},
    "b": {"a": NEAR_MS, "c": FAR_MS},
    "c": {"a": FAR_MS, "b": FAR_MS},
}


def test_reads_stay_at_home_while_it_has_room():
    """Pattern: ordinary load; the neighbours are idle, and the way to them costs time."""
    state = Locality()
    decide_often(state, figures(8.0), {"b": figures(0.0, way_ms=NEAR_MS)})
    assert_that(state.shares, Equals({}))


def test_all_reads_leave_at_once_when_the_own_upstreams_are_gone():
    """Pattern: the data centre's upstreams crash; half a minute of steps would fail its reads."""
    state = Locality()
    others = {"b": figures(2.0, way_ms=NEAR_MS), "c": figures(2.0, way_ms=FAR_MS)}
    decide(state, 0, figures(slots=0), others, DEFAULTS)
    assert_that(state.shares, Equals({"b": 1.0}))


def test_reads_of_a_data_centre_without_upstreams_go_somewhere_even_if_all_are_full():
    """Pattern: own upstreams gone, and the neighbours are as full; refusing all would be worse."""
    state = Locality()
    others = {"b": figures(14.0, way_ms=NEAR_MS), "c": figures(14.0, way_ms=FAR_MS)}
    decide(state, 0, figures(slots=0), others, DEFAULTS)
    assert_that(total(state), Equals(1.0))


def test_reads_leave_slow_upstreams_in_steps_and_to_the_nearest_with_room():
    """Pattern: own upstreams are slow, so that more statements are in progress than slots."""
    state = Locality()
    own = figures(18.0)._replace(service_ms=60.0)
    others = {"b": figures(2.0, way_ms=NEAR_MS), "c": figures(2.0, way_ms=FAR_MS)}
    decide(state, 0, own, others, DEFAULTS)
    assert_that(state.shares, Equals({"b": STEP}))
    decide_often(state, own, others, start_ms=PERIOD_MS)
    assert_that(state.shares["b"], GreaterThan(0.35))
    assert_that("c" in state.shares, Equals(False))


def test_the_next_data_centre_gets_what_the_nearest_has_no_room_for():
    """Pattern: own upstreams full, the nearest neighbour nearly full, the far one idle."""
    state = Locality()
    own = figures(36.0)._replace(service_ms=60.0)
    others = {"b": figures(10.0, way_ms=NEAR_MS), "c": figures(0.0, way_ms=FAR_MS)}
    decide_often(state, own, others, periods=3)
    assert_that(state.shares["c"], GreaterThan(0.1))


def test_reads_that_fail_at_home_leave_it():
    """Pattern: half of the own upstreams' statements fail."""
    state = Locality()
    own = figures(10.0, failing=0.5)
    decide_often(state, own, {"b": figures(2.0, way_ms=NEAR_MS)})
    assert_that(state.shares["b"], GreaterThan(0.3))


def test_reads_stay_at_home_where_the_neighbours_are_as_full():
    """Pattern: half of the slots are lost everywhere; moving reads only adds the way."""
    state = Locality()
    others = {"b": figures(6.0, slots=6, way_ms=NEAR_MS), "c": figures(7.0, slots=6, way_ms=FAR_MS)}
    decide_often(state, figures(7.0, slots=6), others)
    assert_that(state.shares, Equals({}))


def test_reads_stay_where_the_way_takes_longer_than_the_wait():
    """Pattern: a slight overload; another region is idle, and 40 ms away."""
    state = Locality()
    own = figures(13.0)
    decide_often(state, own, {"c": figures(0.0, way_ms=FAR_MS)})
    assert_that(state.shares, Equals({}))
    settings = LocalitySettings(cost_per_ms=0.01)
    decide_often(state, own, {"c": figures(0.0, way_ms=FAR_MS)}, 5, settings, 60_000)
    assert_that(total(state), GreaterThan(0.0))


def test_a_peak_that_moves_from_one_data_centre_to_the_next_is_followed():
    """Pattern: the peak of the day moves on; the share goes out and comes back."""
    centres = Centres(THREE)
    centres.run({"a": 20.0, "b": 4.0, "c": 4.0}, 20)
    assert_that(total(centres.states["a"]), GreaterThan(0.3))
    centres.run({"a": 4.0, "b": 20.0, "c": 4.0}, 30)
    assert_that(total(centres.states["a"]), Equals(0.0))
    assert_that(total(centres.states["b"]), GreaterThan(0.3))


def test_reads_come_back_from_the_farthest_when_the_peak_is_over():
    """Pattern: a peak ends; the neighbours have room, and the way to them costs time."""
    state = Locality({"b": 0.3, "c": 0.2})
    others = {"b": figures(2.0, way_ms=NEAR_MS), "c": figures(2.0, way_ms=FAR_MS)}
    decide_often(state, figures(4.0), others, periods=2)
    assert_that(state.shares, Equals({"b": 0.3}))
    decide_often(state, figures(4.0), others, periods=4, start_ms=10_000)
    assert_that(state.shares, Equals({}))


def test_a_load_that_varies_a_little_moves_no_reads_back_and_forth():
    """Pattern: the reads asked for vary by a tenth from second to second."""
    state = Locality()
    others = {"b": figures(2.0, way_ms=NEAR_MS)}
    changes = []
    for period in range(100):
        asked = 15.0 if period % 2 else 13.7
        changes += decide(state, period * PERIOD_MS, figures(asked), others, DEFAULTS)
    assert_that(len(changes), LessThan(8))


def test_old_figures_bring_no_more_reads_to_a_data_centre():
    """Pattern: a data centre's figures are stale; it was idle when it was last heard of."""
    state = Locality()
    stale = figures(0.0, way_ms=NEAR_MS, age_ms=MAX_AGE_MS + 1)
    decide_often(state, figures(20.0), {"b": stale})
    assert_that(state.shares, Equals({}))


def test_reads_leave_a_data_centre_that_was_not_heard_of_for_long():
    """Pattern: the figures of a data centre stop; what was sent there may not be served."""
    state = Locality({"b": 0.4})
    decide_often(state, figures(14.0), {"b": figures(0.0, way_ms=NEAR_MS, age_ms=11_000)})
    assert_that(state.shares, Equals({}))


def test_contradictory_figures_move_at_most_a_step():
    """Pattern: a data centre alternately reports that it is idle and that it is overfull."""
    state = Locality()
    seen = []
    for period in range(40):
        running = 0.0 if period % 2 else 20.0
        others = {"b": figures(4.0, running=running, way_ms=NEAR_MS)}
        decide(state, period * PERIOD_MS, figures(20.0), others, DEFAULTS)
        seen.append(total(state))
    moves = [abs(after - before) for before, after in zip(seen, seen[1:], strict=False)]
    assert_that(max(moves), LessThan(STEP + 0.001))


def test_two_overloaded_data_centres_do_not_send_to_each_other():
    """Pattern: two neighbours are both overfull; each would send its excess to the other."""
    centres = Centres({"a": {"b": NEAR_MS}, "b": {"a": NEAR_MS}})
    centres.run({"a": 16.0, "b": 16.0}, 40)
    for shares in centres.history:
        assert_that(bool(shares["a"]) and bool(shares["b"]), Equals(False))


def test_shares_do_not_oscillate_over_a_hundred_periods_with_delayed_figures():
    """Pattern: a constant overload of one data centre, with figures three periods old."""
    centres = Centres(THREE, delay=3)
    centres.run({"a": 18.0, "b": 6.0, "c": 5.0}, 100)
    for name in THREE:
        assert_that(centres.turns(name), LessThan(3))
    last = [sum(shares["a"].values()) for shares in centres.history[-40:]]
    assert_that(max(last) - min(last), LessThan(0.001))


def test_gateways_decide_at_different_times():
    """Pattern: thousands of gateways; a common moment would move all their reads together."""
    due = [first_due_ms(0, f"10.0.{n // 250}.{n % 250}:7000", "orders") for n in range(2_000)]
    for tenth in range(10):
        start = tenth * PERIOD_MS // 10
        count = sum(1 for item in due if start <= item < start + PERIOD_MS // 10)
        assert_that(count, LessThan(300))


def test_a_read_is_sent_out_by_its_fraction():
    """Guards against shares that are decided and not kept."""
    state = Locality({"b": 0.2, "c": 0.1})
    chosen = [choose(state, (number + 0.5) / 100) for number in range(100)]
    assert_that([chosen.count(name) for name in ("b", "c", "")], Equals([20, 10, 70]))


def test_without_the_decision_an_overloaded_data_centre_leaves_free_slots_unused():
    """Pattern: a peak in one data centre, decided and not decided."""
    unserved = {}
    for is_on in (False, True):
        centres = Centres(THREE, is_on=is_on)
        centres.run({"a": 20.0, "b": 4.0, "c": 4.0}, 60)
        unserved[is_on] = centres.unserved
    assert_that(unserved[False], GreaterThan(400.0))
    assert_that(unserved[True], LessThan(0.25 * unserved[False]))
