"""Weights of upstreams at a control process; each test names its load pattern."""

from control_driver import ADDRESSES, leading_control, peer
from endivewick_core.codec import encode
from endivewick_core.control import events as ce
from endivewick_core.control import upstream_weights
from endivewick_core.messages import DirectoryAnswer, DirectoryQuestion, DirectoryShare
from endivewick_core.upstream_statistics import (
    MIN_WEIGHT,
    Tally,
    UpstreamCounts,
    add_counts,
    age,
    select_reported,
    weight_of,
)
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

GATEWAYS = [f"10.0.0.{number}:7000" for number in range(20, 24)]
FAILING = {"u-second": UpstreamCounts(succeeded=2, lost=6)}
HEALTHY = {"u-second": UpstreamCounts(succeeded=8)}


def weighted_control(uses_upstream_weights=True):
    control = leading_control()
    control.state.settings = control.state.settings._replace(
        uses_upstream_weights=uses_upstream_weights
    )
    return control


def poll(control, counts, gateway=GATEWAYS[0]):
    """Let a gateway poll; return what it is told of upstreams."""
    question = DirectoryQuestion(
        gateway, "dc-a", 1, 1, "boot", 0, [], [], {}, False, upstream_counts=counts
    )
    control.handle(ce.MessageReceived(control.now_ms, question))
    answers = [item for item in control.replies if isinstance(item.message, DirectoryAnswer)]
    return answers[-1].message.upstream_weights


def share(control, counts, address=ADDRESSES[1]):
    """Let another control process share what its gateways reported."""
    message = DirectoryShare(peer(address), 0, [], [], 1, [], {}, upstream_counts=counts)
    control.handle(ce.MessageReceived(control.now_ms, message))


def run_polls(control, counts, for_ms):
    """Let time pass while all gateways poll every 250 ms; return the last weights told."""
    told = {}
    for _ in range(for_ms // 250):
        for gateway in GATEWAYS:
            told = poll(control, counts, gateway)
        control.run(250)
    return told


def test_other_gateways_learn_of_a_failing_upstream_with_their_next_poll():
    """Pattern: one gateway of many meets a gray-failing upstream; the others rarely use it."""
    control = weighted_control()
    assert_that(poll(control, FAILING), Equals({}))
    control.run(120)
    told = poll(control, {}, GATEWAYS[1])
    assert_that(list(told), Equals(["u-second"]))
    assert_that(told["u-second"].weight_percent, LessThan(15))


def test_the_other_control_processes_are_told_at_once():
    """Pattern: an upstream fails for the gateways of one data centre first.

    Without an early share the others would learn of it up to a second later.
    """
    control = weighted_control()
    control.run(1_000)
    control.run(40)
    control.shares.clear()
    poll(control, FAILING)
    control.run(40)
    told = [message.upstream_counts for _, message in control.shares]
    assert_that(len(told), GreaterThan(0))
    assert_that(told[0]["u-second"].failed, Equals(6))


def test_findings_of_all_control_processes_are_summed():
    """Pattern: each of three data centres sees a few failures of one upstream."""
    control = weighted_control()
    one = {"u-second": UpstreamCounts(succeeded=4, failed=1)}
    run_polls(control, one, 250)
    alone = poll(control, {}).get("u-second")
    for address in ADDRESSES[1:]:
        share(control, {"u-second": UpstreamCounts(succeeded=4, failed=20)}, address)
    control.run(120)
    together = poll(control, {})["u-second"].weight_percent
    assert_that(together, LessThan(alone.weight_percent if alone else 100))
    assert_that(together, LessThan(30))


def test_a_weight_returns_in_steps():
    """Pattern: an upstream comes back; all gateways must not return to it at the same moment."""
    control = weighted_control()
    run_polls(control, FAILING, 500)
    weights = []
    for _ in range(16):
        told = run_polls(control, HEALTHY, 1_000).get("u-second")
        weights.append(told.weight_percent if told is not None else 100)
    rising = [
        (before, after)
        for before, after in zip(weights, weights[1:], strict=False)
        if after > before
    ]
    assert_that(len(rising), GreaterThan(2))
    for before, after in rising:
        assert_that(after, LessThan(max(2 * before, before + 10) + 3))
    assert_that(weights[-1], Equals(100))


def test_a_share_of_a_control_process_that_is_gone_is_ignored():
    """Pattern: a control process shares a finding and is cut off; the finding gets old."""
    control = weighted_control()
    share(control, {"u-second": UpstreamCounts(failed=200)})
    control.deaf.update(ADDRESSES[1:])
    control.run(120)
    assert_that(poll(control, {})["u-second"].weight_percent, LessThan(5))
    control.run(4_000)
    told = poll(control, {})["u-second"]
    assert_that(told.age_ms, GreaterThan(3_000))
    control.run(8_000)
    assert_that(poll(control, {}), Equals({}))


def test_findings_without_a_newer_outcome_are_ignored_after_some_seconds():
    """Pattern: an upstream failed many statements, and then no statement goes there at all."""
    control = weighted_control()
    poll(control, {"u-second": UpstreamCounts(failed=2_000)})
    control.run(5_000)
    assert_that(poll(control, {})["u-second"].weight_percent, Equals(2))
    control.run(3_500)
    assert_that(poll(control, {})["u-second"].weight_percent, GreaterThan(20))


def test_gateways_are_told_which_upstreams_have_few_free_slots():
    """Pattern: many gateways each have one statement at an upstream with three slots."""
    control = weighted_control()
    running = {"u-second": UpstreamCounts(succeeded=1, running=1)}
    run_polls(control, running, 3_000)
    told = poll(control, {}, GATEWAYS[0])["u-second"]
    assert_that(told.weight_percent, Equals(100))
    assert_that(told.load_percent, GreaterThan(100))


def test_the_running_statements_of_a_gateway_that_is_gone_are_forgotten():
    """Pattern: gateways are killed while their statements run; the load must not stay."""
    control = weighted_control()
    run_polls(control, {"u-second": UpstreamCounts(succeeded=1, running=5)}, 2_000)
    control.run(8_000)
    assert_that(poll(control, {}), Equals({}))
    assert_that(control.state.directory_state.weights.running, Equals({}))


def test_reports_of_upstreams_that_no_control_process_knows_are_dropped():
    """Pattern: a gateway reports upstreams that have departed; control's memory must not grow."""
    control = weighted_control()
    for number in range(50):
        poll(control, {f"u-{number}": UpstreamCounts(failed=1, running=1)})
    control.run(200)
    gathered = control.state.directory_state.weights
    assert_that(gathered.tallies, Equals({}))
    assert_that(gathered.running, Equals({}))


def test_without_the_policy_control_keeps_and_tells_nothing():
    """Pattern: a deployment without the policy `health`; messages stay as they were."""
    control = weighted_control(uses_upstream_weights=False)
    control.shares.clear()
    run_polls(control, FAILING, 1_500)
    assert_that(poll(control, FAILING), Equals({}))
    assert_that(
        [item.upstream_counts for _, item in control.shares if item.upstream_counts], HasLength(0)
    )


def test_a_change_of_a_weight_is_logged_with_its_inputs():
    """Pattern: an operator looks for the reason why reads left an upstream."""
    control = weighted_control()
    poll(control, FAILING)
    control.run(120)
    events = [item for item in control.log_events if item.name == "upstream_weight_changed"]
    assert_that([item.inputs["upstream"] for item in events], Equals(["u-second"]))
    assert_that(events[0].inputs["failed"], GreaterThan(5))


def test_a_poll_stays_within_its_byte_budget():
    """Pattern: a gateway uses hundreds of upstreams; failing ones are reported first."""
    counts = {f"upstream-{number:05}": UpstreamCounts(succeeded=200) for number in range(300)}
    counts["upstream-00299"] = UpstreamCounts(lost=1)
    chosen = select_reported(counts)
    assert_that("upstream-00299" in chosen, Equals(True))
    question = DirectoryQuestion(
        GATEWAYS[0], "dc-a", 1, 1, "boot", 0, [], [], {}, False, upstream_counts={}
    )
    added = len(encode(question._replace(upstream_counts=chosen))) - len(encode(question))
    assert_that(added, LessThan(600))


def test_a_share_and_an_answer_stay_within_their_byte_budget():
    """Pattern: every upstream of a large system fails at once."""
    control = weighted_control()
    weights = control.state.directory_state.weights
    for number in range(500):
        name = f"upstream-{number:05}"
        weights.tallies[name] = Tally(control.now_ms, 100, 100, 10)
        weights.weights[name] = upstream_weights.GatheredWeight(0.1, 1.0)
    assert_that(len(encode(upstream_weights_message(control))), LessThan(1_400))
    assert_that(upstream_weights.answer_weights(control.state, control.now_ms), HasLength(32))


def upstream_weights_message(control):
    counts = upstream_weights.shared_counts(control.state, control.now_ms)
    return DirectoryShare(peer(ADDRESSES[0]), 0, [], [], 0, [], {}, upstream_counts=counts)


def test_failures_lose_half_of_their_value_in_two_seconds_and_successes_sooner():
    """Guards against findings that never age, or age with each call and not with time."""
    tally = add_counts(Tally(), 1_000, UpstreamCounts(succeeded=64, lost=4, rejected=2))
    in_two_steps = age(age(tally, 2_000), 3_000)
    assert_that([round(item, 6) for item in in_two_steps], Equals([3_000, 4.0, 2.0, 1.0]))
    assert_that(age(tally, 3_000), Equals(Tally(3_000, 4.0, 2.0, 1.0)))


def test_rejections_for_lack_of_capacity_do_not_lower_a_weight():
    """Guards against taking a full upstream for a failing one: its weight would oscillate."""
    tally = add_counts(Tally(), 1_000, UpstreamCounts(rejected=50))
    assert_that(weight_of(tally, 4.0), Equals(1.0))
    failing = add_counts(Tally(), 1_000, UpstreamCounts(failed=500))
    assert_that(weight_of(failing, 4.0), Equals(MIN_WEIGHT))
