"""The log lines of a recovery tell why there is no leader, and stay few."""

from random import Random

import pytest
from endivewick_core.codec import encode
from endivewick_core.commands import ChangeMembership, PutConfiguration
from endivewick_core.control import effects as cx
from endivewick_core.control import election_log
from endivewick_core.control import events as ce
from endivewick_core.control.reducer import reduce
from endivewick_core.control.replication import encode_full
from endivewick_core.control.state import (
    ControlSettings,
    Membership,
    Role,
    encode_membership,
)
from endivewick_core.messages import ControlPeer, LogEntry, Member, VoteReply, VoteRequest
from endivewick_core.replicated_state import ReplicatedState, StoredConfiguration
from endivewick_node import control_node
from endivewick_node.control_node import ControlNode, ControlOptions, restore_state
from endivewick_node.storage import Stored, StoredSnapshot, StoredVote
from test_elections import ADDRESSES, TICK_MS, TIMEOUT_MS, elect, follower
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

START_MS = 100_000  # long after the last contact to the leader
VOTERS = [Member(f"{address}#founder", address, address) for address in ADDRESSES]
OWN, CANDIDATE, THIRD = (voter.member_id for voter in VOTERS)
SETTINGS = ControlSettings({}, {}, ADDRESSES, 3, ControlPeer(ADDRESSES[0], "", ""))


@pytest.fixture
def voter():
    """Return a voter whose log ends at index 2 of term 1."""
    state = follower(ADDRESSES[0], Random(1))
    state.leader = ""
    state.log.entries = [LogEntry(1, index, b"") for index in (1, 2)]
    return state


def log_events(effects, name):
    return [item for item in effects if isinstance(item, cx.LogEvent) and item.name == name]


def ask(state, now_ms, **changes):
    """Ask for a vote; return the log events of refusals."""
    request = VoteRequest(2, CANDIDATE, 1, 1, True)._replace(**changes)
    effects = reduce(state, ce.MessageReceived(now_ms, request))
    return log_events(effects, "vote_refused")


# Guards against a recovery without a leader whose log lines don't show what each disk holds.
def test_a_start_tells_what_the_disk_holds():
    entries = [
        LogEntry(4, 31, encode(ChangeMembership(VOTERS[:2], VOTERS[2:]))),
        LogEntry(5, 32, encode(PutConfiguration(8, ["orders"], b""))),
    ]
    machine = ReplicatedState(configuration=StoredConfiguration(7, ["orders"], b""))
    membership = encode_membership(Membership(VOTERS, []))
    snapshot = StoredSnapshot(30, 4, membership, encode_full(machine))
    stored = Stored(THIRD, StoredVote(6, OWN), snapshot, entries, 17)
    state = restore_state(SETTINGS, ADDRESSES[2], ADDRESSES[2], stored)
    event = election_log.state_loaded(state, stored.cut_bytes)
    expected = {
        "identity": THIRD,
        "role": "follower",
        "term": 6,
        "voted_for": OWN,
        "log_end": "5.32",
        "log_entries": 2,
        "cut_bytes": 17,
        "snapshot_index": 30,
        "snapshot_term": 4,
        "is_voter": False,
        "voters": [OWN, CANDIDATE],
        "learners": [THIRD],
        "membership_index": 31,
        "committed_voters": [OWN, CANDIDATE, THIRD],
        "configuration_version": 7,
        "configuration_version_in_log": 8,
    }
    assert_that((event.name, event.inputs), Equals(("state_loaded", expected)))


# Guards against a process that starts without the line.
@pytest.mark.parametrize("is_first_start", [True, False])
def test_a_control_process_logs_its_state_once_at_its_start(
    tmp_path, loopback, monkeypatch, is_first_start
):
    address = f"{loopback}.{5 + is_first_start}:7449"
    written = []
    monkeypatch.setattr(
        control_node, "log_rate_limited", lambda *line, **fields: written.append((line, fields))
    )
    options = ControlOptions(
        SETTINGS,
        address,
        {"address": address, "routes": {}},
        {"address": address.replace("7449", "8081"), "connection_limit": 8},
        tmp_path,
        initial_voters=(address,) if is_first_start else (),
    )
    node = ControlNode(options)
    node._transport.close()
    node._storage.close()
    ((line, fields),) = written
    assert_that(line[:2], Equals(("info", "state_loaded")))
    assert_that(fields["inputs"]["is_voter"], Equals(is_first_start))
    assert_that(fields["inputs"]["role"], Equals("follower" if is_first_start else "empty"))


# Guards against a majority that refuses the only candidate for its shorter log, unseen.
def test_a_refusal_for_a_shorter_log_tells_both_ends(voter):
    (event,) = ask(voter, START_MS)
    inputs = event.inputs
    ends = [inputs[name] for name in ("reason", "candidate", "candidate_end", "own_end")]
    assert_that(ends, Equals(["log_shorter", CANDIDATE, "1.1", "1.2"]))
    assert_that((inputs["pre_vote"], inputs["term"]), Equals((True, 1)))
    assert_that((inputs["candidate_term"], inputs["commit_index"]), Equals((2, 0)))
    assert_that(inputs["is_voter"], Equals(True))


# Guards against a refusal by a learner that looks like one by a voter.
def test_a_refusal_tells_whether_the_process_votes_by_its_own_log(voter):
    voter.memberships = [(2, Membership(VOTERS[1:], VOTERS[:1]))]
    (event,) = ask(voter, START_MS)
    names = ("is_voter", "voters", "learners", "membership_index", "committed_voters")
    expected = [False, [CANDIDATE, THIRD], [OWN], 2, [OWN, CANDIDATE, THIRD]]
    assert_that([event.inputs[name] for name in names], Equals(expected))


# Guards against a lost vote that nothing explains.
def test_a_refusal_names_whom_the_vote_was_given_to(voter):
    voter.term, voter.voted_for = 2, THIRD
    (event,) = ask(voter, START_MS, last_index=2, pre_vote=False)
    assert_that(event.inputs["reason"], Equals("voted_for_another"))
    assert_that(event.inputs["voted_for"], Equals(THIRD))


# Guards against a line for each of the pre-votes, which repeat several times a second.
def test_a_refusal_that_repeats_is_logged_every_few_seconds(voter):
    counts = [len(ask(voter, START_MS + at_ms)) for at_ms in range(0, 20_000, 100)]
    assert_that(sum(counts), Equals(20_000 // election_log.REPEAT_MS))
    (event,) = ask(voter, START_MS + 20_000)
    assert_that(event.inputs["repeated"], Equals(49))


# Guards against a new cause that hides behind the limit for repeated ones.
def test_another_cause_of_a_refusal_is_logged_at_once(voter):
    ask(voter, START_MS)
    assert_that(len(ask(voter, START_MS + 10)), Equals(0))
    voter.log.entries.append(LogEntry(1, 3, b""))
    (event,) = ask(voter, START_MS + 20)
    assert_that((event.inputs["own_end"], event.inputs["repeated"]), Equals(("1.3", 1)))
    assert_that(len(ask(voter, START_MS + 30, candidate=THIRD)), Equals(1))


# Guards against a record of refusals that grows with each identity that ever asked.
def test_old_refusals_are_dropped(voter):
    for number in range(100):
        ask(voter, START_MS + number * 1_000, candidate=f"{ADDRESSES[1]}#{number}")
    assert_that(len(voter.election_record.refused), LessThan(12))


# Guards against lines for what happens in every election, and whenever a process joins.
@pytest.mark.parametrize("case", ["older_term", "leader_in_contact"])
def test_usual_refusals_are_not_logged(voter, case):
    if case == "older_term":
        voter.term = 5
    else:
        voter.leader, voter.leader_last_contact_ms = THIRD, START_MS
    assert_that(ask(voter, START_MS), Equals([]))


def run_candidate(state, for_ms, answer):
    """Let a candidate ask for votes; return the log events of its lack of success."""
    events = []
    state.election_due_ms = START_MS
    for now_ms in range(START_MS, START_MS + for_ms, TICK_MS):
        for effect in reduce(state, ce.Tick(now_ms, 0.5)):
            events += log_events([effect], "election_unsuccessful")
            if isinstance(effect, cx.Send) and isinstance(effect.message, VoteRequest):
                reply = answer(effect)
                if reply is not None:
                    reduce(state, ce.MessageReceived(now_ms, reply))
    return events


def refuse_as_third(effect):
    if effect.address != ADDRESSES[2]:
        return None
    return VoteReply(1, THIRD, False, effect.message.pre_vote)


# Guards against a quorum that is missing without a line that says who answered and who did not.
def test_a_candidate_without_success_tells_who_is_needed(voter):
    voter.commit_index = 1
    first, *others = run_candidate(voter, 20_000, refuse_as_third)
    inputs = first.inputs
    assert_that((inputs["granted"], inputs["needed"]), Equals(([OWN], 2)))
    assert_that(inputs["answers"][CANDIDATE], Equals({"answer": "none"}))
    assert_that(inputs["answers"][THIRD]["answer"], Equals("refused"))
    assert_that(inputs["answers"][THIRD]["answered_ms_ago"], LessThan(TIMEOUT_MS))
    assert_that((inputs["own_end"], inputs["commit_index"]), Equals(("1.2", 1)))
    assert_that((inputs["term"], inputs["role"]), Equals((1, "pre_candidate")))
    assert_that(inputs["candidate_ms"], GreaterThan(5 * TIMEOUT_MS - 1))
    assert_that(inputs["elections"], GreaterThan(5))
    assert_that(len(others), Equals(3))


# Guards against a process that lost its disk, and grants votes that don't count under a new name.
def test_answers_of_others_than_the_voters_are_told_apart(voter):
    def answer(effect):
        return VoteReply(2, f"{effect.address}#new", True, True)

    event, *_ = run_candidate(voter, 5_000, answer)
    assert_that(event.inputs["granted"], Equals([OWN]))
    assert_that(event.inputs["other_answers"][f"{ADDRESSES[1]}#new"]["answer"], Equals("granted"))


# Guards against a candidacy that seems to have lasted since before the last leader.
def test_a_leader_ends_the_record_of_a_candidacy(voter):
    run_candidate(voter, 5_000, refuse_as_third)
    voter.votes = {OWN, CANDIDATE}
    voter.role = Role.CANDIDATE
    reduce(voter, ce.MessageReceived(START_MS + 6_000, VoteReply(1, CANDIDATE, True, False)))
    assert_that(voter.role, Equals(Role.LEADER))
    assert_that(voter.election_record.candidate_since_ms, Equals(None))


# Guards against elections with a quorum that fill the log.
def test_elections_with_a_quorum_log_little():
    counts = []
    for seed in range(30):
        _, events = elect(seed)
        names = [event.name for event in events]
        assert_that("election_unsuccessful" in names, Equals(False))
        counts.append(names.count("vote_refused"))
    assert_that(max(counts), LessThan(4))
    assert_that(sum(counts) / len(counts), LessThan(1.5))


# Guards against a voter that stops without a line that says whether its vote was still needed.
def test_a_planned_stop_tells_whether_the_process_still_votes(voter):
    effects = reduce(voter, ce.StopRequested(START_MS, START_MS + 4_000))
    (event,) = log_events(effects, "stop_ready")
    assert_that(event.inputs["is_voter"], Equals(True))
    assert_that(event.inputs["voters"], Contains(OWN))
    assert_that((event.inputs["log_end"], event.inputs["waited_ms"]), Equals(("1.2", 0)))
