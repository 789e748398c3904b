"""The small parts of the core: tokens, request ids, contracts, codec, queues, configuration."""

import pytest
from endivewick_core.codec import CodecFault, decode, encode
from endivewick_core.commands import AssignHomes, Promote, PutContract, SetUpstream
from endivewick_core.contract_checks import check_contract
from endivewick_core.exceptions import FAILURES_BY_NAME
from endivewick_core.messages import CODEC, VoteReply
from endivewick_core.positions import Position
from endivewick_core.proxy import replicas
from endivewick_core.proxy.queueing import FairQueue
from endivewick_core.proxy.state import Home, PrimarySample
from endivewick_core.proxy.work import Origin, Work
from endivewick_core.replicated_state import (
    ReplicatedState,
    apply_command,
    decode_configuration,
    decode_replicated_state,
    encode_replicated_state,
)
from endivewick_core.request_ids import RequestId, decode_request_id, encode_request_id
from endivewick_core.tokens import EMPTY, advance, decode_token, encode_token
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is, IsInstance

KEY = b"k" * 32
COMMON = settings(derandomize=True, max_examples=60, deadline=None)


def contract_change(change_id="a", version=0, connections=4):
    return PutContract(change_id, "farms", version, "main", 1_000, connections, 0.5, "primary")


def test_token_comes_back():
    token = advance(EMPTY, "main", Position(2, 7))
    assert_that(decode_token(KEY, encode_token(KEY, token)), Equals(Success(token)))


def test_token_never_goes_back():
    token = advance(advance(EMPTY, "main", Position(2, 7)), "main", Position(1, 9))
    assert_that(token.positions["main"], Equals(Position(2, 7)))


@COMMON
@given(st.text(max_size=120))
def test_any_text_is_a_token_or_a_typed_failure(text):
    result = decode_token(KEY, text)
    if text:
        assert_that(result.failure().type.name, Equals("token_invalid"))


@COMMON
@given(st.integers(min_value=0, max_value=40))
def test_changed_token_is_refused(position):
    text = encode_token(KEY, advance(EMPTY, "main", Position(2, 7)))
    changed = list(text)
    place = position % (len(text) - 4)
    changed[place] = "A" if changed[place] != "A" else "B"
    result = decode_token(KEY, "".join(changed))
    assert_that(result.failure().type.name, Equals("token_invalid"))


def test_token_of_another_key_is_refused():
    text = encode_token(b"o" * 32, advance(EMPTY, "main", Position(2, 7)))
    assert_that(decode_token(KEY, text).failure().type.name, Equals("token_invalid"))


def test_request_id_comes_back_and_foreign_ones_do_not():
    request_id = RequestId("main", 3, 5_000, 1)
    text = encode_request_id(KEY, request_id)
    assert_that(decode_request_id(KEY, text), Equals(request_id))
    assert_that(decode_request_id(b"o" * 32, text), Is(None))
    assert_that(decode_request_id(KEY, "purchase-17"), Is(None))


def test_token_is_no_request_id():
    text = encode_token(KEY, advance(EMPTY, "main", Position(2, 7)))
    assert_that(decode_request_id(KEY, text), Is(None))


def test_contract_reports_all_faults():
    failure = check_contract({"group": 5, "connections": 0, "surge": 1}).failure()
    faults = failure.details["faults"]
    assert_that(faults, HasLength(5))
    for path in ("group", "max_staleness_ms", "connections", "surge_share", "surge"):
        assert_that("\n".join(faults), Contains(path))


@COMMON
@given(st.binary(max_size=200))
def test_any_frame_is_a_message_or_a_fault(frame):
    assert_that(decode(CODEC, frame), IsInstance(CodecFault))


def test_frame_of_a_newer_version_is_a_fault():
    frame = bytearray(encode(VoteReply(1, "a", True, False)))
    frame[1] = 9
    assert_that(decode(CODEC, bytes(frame)).reason, Contains("newer"))


def test_same_change_gets_the_first_answer_again():
    replicated_state = ReplicatedState()
    first = apply_command(replicated_state, 1, contract_change())
    apply_command(replicated_state, 2, contract_change("b", 1))
    assert_that(apply_command(replicated_state, 3, contract_change()), Equals(first))
    assert_that(replicated_state.contracts["farms"].version, Equals(2))


def test_same_change_against_a_newer_version_gets_the_first_answer_again():
    """endivewickctl reads the version again when it resends a change."""
    replicated_state = ReplicatedState()
    first = apply_command(replicated_state, 1, contract_change())
    assert_that(apply_command(replicated_state, 2, contract_change(version=1)), Equals(first))


def test_same_version_with_other_content_is_a_conflict():
    replicated_state = ReplicatedState()
    apply_command(replicated_state, 1, contract_change())
    result = apply_command(replicated_state, 2, contract_change("b", 0, 9))
    assert_that((result.failure, result.version), Equals(("change_conflict", 1)))
    assert_that(replicated_state.contracts["farms"].connections, Equals(4))


def test_change_id_with_other_content_is_refused():
    replicated_state = ReplicatedState()
    apply_command(replicated_state, 1, contract_change())
    result = apply_command(replicated_state, 2, contract_change("a", 1, 9))
    assert_that(result.failure, Equals("change_id_reused"))


def test_changes_survive_a_snapshot():
    replicated_state = ReplicatedState()
    first = apply_command(replicated_state, 1, contract_change())
    again = decode_replicated_state(encode_replicated_state(replicated_state, with_changes=True))
    assert_that(apply_command(again, 2, contract_change()), Equals(first))


def test_proxies_get_no_change_records():
    replicated_state = ReplicatedState()
    apply_command(replicated_state, 1, contract_change())
    copy = decode_configuration(encode_replicated_state(replicated_state, with_changes=False))
    assert_that(copy.changes, Equals({}))
    assert_that(copy.contracts, Equals(replicated_state.contracts))


def test_unknown_upstream_is_refused():
    result = apply_command(ReplicatedState(), 1, SetUpstream("a", "db", 0, "stopped"))
    assert_that(result.failure, Equals("unknown_upstream"))


def test_promotion_by_an_older_home_changes_nothing():
    replicated_state = ReplicatedState()
    apply_command(replicated_state, 1, contract_change())
    apply_command(replicated_state, 2, AssignHomes("p", "p/1", "a", [("main", 2)]))
    apply_command(replicated_state, 3, Promote("main", 1, 5, "db-2", 10))
    assert_that(replicated_state.groups["main"].term, Equals(0))


def test_home_epoch_only_grows():
    replicated_state = ReplicatedState()
    apply_command(replicated_state, 1, contract_change())
    apply_command(replicated_state, 2, AssignHomes("p", "p/1", "a", [("main", 2)]))
    apply_command(replicated_state, 3, AssignHomes("q", "q/1", "b", [("main", 2)]))
    assert_that(replicated_state.groups["main"].home, Equals("p"))


def test_every_result_of_the_replicated_state_is_a_documented_failure():
    for name in ("change_conflict", "change_id_reused", "unknown_upstream"):
        assert_that(FAILURES_BY_NAME, Contains(name))


def work(customer, weight=1.0):
    origin = Origin("", 0, 0)
    return Work(origin, "read", customer, "s", "short", "", "", Position(0, 0), weight, 0, 1_000)


def drain(queue, count):
    return [queue.pop(lambda item: True).customer for _ in range(count)]


def test_customers_take_turns():
    queue = FairQueue()
    for customer in ["a"] * 10 + ["b"] * 3:
        queue.push(work(customer))
    assert_that(drain(queue, 6).count("b"), Equals(3))


def test_weight_gives_a_larger_share():
    queue = FairQueue()
    for _ in range(40):
        queue.push(work("a", 1.0))
        queue.push(work("b", 0.25))
    assert_that(drain(queue, 20).count("a"), Equals(16))


def test_idle_customer_saves_up_no_turns():
    queue = FairQueue()
    queue.push(work("b"))
    drain(queue, 1)
    for _ in range(50):
        queue.push(work("a"))
    drain(queue, 40)
    for _ in range(10):
        queue.push(work("b"))
    assert_that(drain(queue, 8).count("a"), Equals(4))


@COMMON
@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=60))
def test_queue_keeps_count(steps):
    queue = FairQueue()
    held = 0
    for customer, push in steps:
        if push:
            queue.push(work(customer))
            held += 1
        elif queue.pop(lambda item: True) is not None:
            held -= 1
        assert_that(queue.size, Equals(held))
        assert_that(len(list(queue)), Equals(held))


@pytest.fixture
def sampled_home():
    home = Home("main", 1, 0)
    for at_ms, offset in ((100, 10), (200, 20), (300, 30)):
        replicas.sample_primary(home, at_ms, Position(1, offset))
    return home


@pytest.mark.parametrize(
    ("offset", "age"), [(30, 50), (29, 150), (20, 150), (10, 250), (9, None), (31, 50)]
)
def test_age_is_that_of_the_newest_sample_held(sampled_home, offset, age):
    assert_that(replicas.age_ms(sampled_home, Position(1, offset), 350), Equals(age))


def test_unchanged_primary_keeps_replicas_young(sampled_home):
    for at_ms in range(400, 2_000, 100):
        replicas.sample_primary(sampled_home, at_ms, Position(1, 30))
    assert_that(replicas.age_ms(sampled_home, Position(1, 30), 2_000), Equals(100))
    assert_that(len(sampled_home.samples) < 6, Equals(True))


def test_older_term_has_no_age(sampled_home):
    sampled_home.samples.append(PrimarySample(400, Position(2, 5)))
    assert_that(replicas.age_ms(sampled_home, Position(1, 30), 500), Equals(200))
