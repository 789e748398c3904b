"""Control's care for services: the directory, configurations, and failover of a primary."""

import pytest
from control_driver import ADDRESSES, SERVICE, FakeUpstream, leading_control, peer
from endivewick_core.control import events as ce
from endivewick_core.control.events import FailoverOutcome
from endivewick_core.control.service_state import PendingProbe, ProbeKind
from endivewick_core.directory import (
    SILENT_MS,
    Directory,
    UpstreamState,
    mark_gone,
    merge_report,
)
from endivewick_core.messages import DirectoryQuestion, DirectoryShare, HeardReport
from endivewick_core.positions import Position
from endivewick_core.replicated_state import FailoverRecord
from endivewick_core.statements import TransactionState, UpstreamReply
from endivewick_core.upstream_links import ConnectionReplied
from gateway_driver import report
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, IsInstance, Not


@pytest.fixture
def control():
    return leading_control()


def fail_primary(control):
    control.upstreams["u-primary"].reachable = False
    control.break_connections("u-primary")


def fail_over(control):
    """Let the primary fail, and carry out the order that follows."""
    fail_primary(control)
    control.run(3_000)
    control.platform(FailoverOutcome.ACCEPTED)
    control.promote(control.orders[-1].upstream)


def test_the_primary_is_the_upstream_that_accepts_a_transaction(control):
    mark = control.state.watch.watermarks[SERVICE]
    assert_that((mark.upstream, mark.position), Equals(("u-primary", Position(1, 10))))


def test_control_holds_a_connection_to_every_upstream(control):
    """At a failover an upstream may be at its connection limit."""
    assert_that(set(control.connections.values()), Equals(set(control.upstreams)))


def test_a_failed_primary_is_replaced_by_the_replica_that_received_most(control):
    control.upstreams["u-second"].received = Position(1, 11)
    control.upstreams["u-third"].received = Position(1, 12)
    fail_primary(control)
    control.run(3_000)
    order = control.orders[-1]
    assert_that((order.service, order.upstream), Equals((SERVICE, "u-third")))


def test_every_replica_is_paused_before_one_is_chosen(control):
    fail_primary(control)
    control.run(3_000)
    assert_that(len(control.orders), GreaterThan(0))
    paused = {item.name for item in control.upstreams.values() if item.paused_term}
    assert_that(paused, Equals({"u-second", "u-third"}))
    assert_that(control.upstreams["u-second"].paused_term, Equals(2))


def test_nothing_is_ordered_while_a_replica_has_not_been_asked(control):
    """The replica that can't be reached may hold the only copy of an acknowledged commit."""
    control.upstreams["u-third"].reachable = False
    fail_primary(control)
    control.run(5_000)
    assert_that(control.orders, Equals([]))
    control.upstreams["u-third"].reachable = True
    control.run(2_500)
    assert_that(len(control.orders), GreaterThan(0))


def test_a_leaving_replica_is_asked_too(control):
    leaving = control.upstreams["u-third"]
    leaving.state = UpstreamState.LEAVING
    leaving.received = Position(1, 50)
    control.report(leaving, 9)
    fail_primary(control)
    control.run(3_000)
    assert_that(control.orders[-1].upstream, Equals("u-third"))


def test_one_process_that_misses_the_primary_does_not_replace_it(control):
    fail_primary(control)
    control.share(failing_ms=0)
    for _ in range(40):
        control.now_ms += 20
        control.share(failing_ms=0)
        control.handle(ce.Tick(control.now_ms, 0.5))
    assert_that(control.orders, Equals([]))


def test_the_replicas_receive_again_after_a_failover(control):
    fail_over(control)
    control.run(5_000)
    paused = {item.name for item in control.upstreams.values() if item.paused_term}
    assert_that(paused, Equals(set()))
    assert_that(control.state.failover.running, Equals({}))


def test_a_failover_is_carried_out_once(control):
    """The end of a failover must be in the log before the leader looks for open ones again."""
    fail_over(control)
    control.run(10_000)
    assert_that(control.log_event_names.count("failover_needed"), Equals(1))
    assert_that(control.state.replicated_state.failovers[SERVICE].is_open, Equals(False))


def test_an_order_without_an_answer_is_repeated_with_its_token(control):
    fail_primary(control)
    control.run(3_000)
    first = control.orders[-1]
    control.platform(FailoverOutcome.UNANSWERED)
    control.run(500)
    assert_that(control.orders[-1], Equals(first))
    assert_that(len(control.orders), Equals(2))


def test_a_refused_order_is_followed_by_one_with_a_higher_token(control):
    fail_primary(control)
    control.run(3_000)
    first = control.orders[-1]
    control.platform(FailoverOutcome.REFUSED)
    control.run(500)
    assert_that(control.orders[-1].token, GreaterThan(first.token))


def test_a_failover_that_a_former_leader_left_open_names_the_primary_again(control):
    """A late order of the former leader is refused once a higher token was seen."""
    control.state.replicated_state.failovers[SERVICE] = FailoverRecord(1, "another", True, "")
    control.upstreams["u-second"].paused_term = 2
    control.run(1_500)
    order = control.orders[-1]
    assert_that(order.upstream, Equals("u-primary"))
    assert_that(order.token, GreaterThan(1))
    control.platform(FailoverOutcome.ACCEPTED)
    control.run(1_500)
    assert_that(control.upstreams["u-second"].paused_term, Equals(0))


def test_a_primary_that_leaves_is_replaced_before_it_ends(control):
    control.upstreams["u-primary"].state = UpstreamState.LEAVING
    control.report(control.upstreams["u-primary"], 9)
    control.run(1_000)
    assert_that(control.orders[-1].upstream, Not(Equals("u-primary")))


def poll(control, gateway, writes_failing):
    question = DirectoryQuestion(gateway, "dc-a", 1, 1, "boot", 0, [], writes_failing, {}, False)
    control.handle(ce.MessageReceived(control.now_ms, question))


def test_a_primary_that_answers_control_but_no_writes_is_replaced(control):
    """It may be cut off from its replicas: a commit then waits for ever."""
    control.run(8_000)
    for gateway in ("10.0.0.7:7000", "10.0.0.8:7000"):
        poll(control, gateway, [SERVICE])
    poll(control, "10.0.0.9:7000", [])
    control.run(500)
    assert_that(control.orders[-1].upstream, Not(Equals("u-primary")))


def test_a_primary_that_answers_most_gateways_stays(control):
    control.run(8_000)
    poll(control, "10.0.0.7:7000", [SERVICE])
    for gateway in ("10.0.0.8:7000", "10.0.0.9:7000"):
        poll(control, gateway, [])
    control.run(500)
    assert_that(control.orders, Equals([]))


def test_an_upstream_that_crashed_is_not_waited_for_once_its_address_has_a_new_one(control):
    fail_primary(control)
    old = control.upstreams.pop("u-primary")
    reborn = FakeUpstream("u-primary", received=Position(1, 9), born_ms=9_000)
    reborn.name = "u-yrimarp"  # the fake's address follows from its letters
    control.upstreams["u-primary"] = old  # out of reach, so that it reports nothing more
    control.run(SILENT_MS)
    control.upstreams[reborn.name] = reborn
    control.report(reborn)
    entry = control.state.directory_state.directory.entries["u-primary"]
    assert_that(entry.report.state, Equals(UpstreamState.GONE))


def test_a_leaving_report_is_acknowledged_once_another_process_has_it(control):
    control.deaf = set(ADDRESSES[1:])
    leaving = control.upstreams["u-third"]
    leaving.state = UpstreamState.LEAVING
    control.report(leaving, 9)
    assert_that(control.acknowledged, Not(Contains(9)))
    control.deaf = set()
    control.sequence += 1
    control.report(leaving, 10)
    assert_that(control.acknowledged, Contains(10))


def test_a_leaving_report_that_nobody_confirms_is_refused(control):
    control.deaf = set(ADDRESSES[1:])
    leaving = control.upstreams["u-third"]
    leaving.state = UpstreamState.LEAVING
    control.report(leaving, 9)
    control.run(720)
    assert_that(control.refused, Equals([9]))


def test_a_configuration_is_acknowledged_again_and_never_replaced_by_an_older_one(control):
    put = ce.PutConfigurationRequest
    control.operator(11, put(7, [SERVICE], b"seven"))
    control.operator(12, put(7, [SERVICE], b"other"))
    control.operator(13, put(5, [SERVICE], b"five"))
    assert_that([control.answers[number].status for number in (11, 12, 13)], Equals([200] * 3))
    assert_that(control.state.replicated_state.configuration.document, Equals(b"seven"))


def test_a_configuration_is_read_only_with_a_quorum(control):
    control.deaf = set(ADDRESSES[1:])
    control.operator(11, ce.GetConfiguration())
    control.run(100)
    assert_that(control.answers, Not(Contains(11)))
    control.run(4_000)
    assert_that(control.answers[11].status, Equals(503))


def test_a_gateway_gets_only_what_changed(control):
    question = DirectoryQuestion("10.0.0.9:7000", "dc-a", 1, 0, "", 0, [], [], {}, False)
    control.replies.clear()
    control.handle(ce.MessageReceived(control.now_ms, question))
    first = control.replies[-1].message
    assert_that(len(first.reports), Equals(3))
    assert_that(first.document, Equals(b"document-1"))
    question = DirectoryQuestion(
        "10.0.0.9:7000", "dc-a", 2, 1, first.control_boot, first.revision, [], [], {}, False
    )
    control.handle(ce.MessageReceived(control.now_ms, question))
    second = control.replies[-1].message
    assert_that((second.reports, second.document), Equals(([], b"")))
    assert_that(second.watermarks[0].upstream, Equals("u-primary"))


def test_a_gateway_that_stops_is_no_neighbour_any_more(control):
    poll(control, "10.0.0.7:7000", [])
    poll(control, "10.0.0.8:7000", [])
    assert_that(control.replies[-1].message.neighbours, Equals(["10.0.0.7:7000", "10.0.0.8:7000"]))
    question = DirectoryQuestion("10.0.0.7:7000", "dc-a", 2, 1, "boot", 0, [], [], {}, True)
    control.handle(ce.MessageReceived(control.now_ms, question))
    assert_that(control.replies[-1].message.neighbours, Equals(["10.0.0.8:7000"]))


def test_an_upstream_that_refused_a_gateway_is_contended_for_all(control):
    question = DirectoryQuestion(
        "10.0.0.9:7000", "dc-a", 1, 1, "boot", 0, ["u-second"], [], {"u-second": 9}, False
    )
    control.handle(ce.MessageReceived(control.now_ms, question))
    assert_that(control.replies[-1].message.contended, Equals({"u-second": 9}))
    control.shares.clear()
    control.handle(ce.Tick(control.now_ms + 1, 0.5))
    assert_that(control.shares[-1][1].contended, Equals(["u-second"]))


def test_a_late_report_changes_nothing():
    directory = Directory()
    merge_report(directory, 5_000, report("u-1", sequence=5), 0)
    changed = merge_report(directory, 5_000, report("u-1", sequence=4, state="leaving"), 0)
    assert_that(changed, Equals(False))
    assert_that(directory.entries["u-1"].report.state, Equals(UpstreamState.READY))


def test_an_upstream_that_starts_again_under_its_name_is_new():
    directory = Directory()
    merge_report(directory, 5_000, report("u-1", sequence=50), 0)
    mark_gone(directory, 5_000, "u-1")
    merge_report(directory, 6_000, report("u-1", sequence=1, born_ms=5_900), 0)
    assert_that(directory.entries["u-1"].report, IsInstance(tuple))
    assert_that(directory.entries["u-1"].report.state, Equals(UpstreamState.READY))


def test_a_late_report_after_a_goodbye_does_not_bring_an_upstream_back():
    directory = Directory()
    merge_report(directory, 5_000, report("u-1", sequence=5), 0)
    mark_gone(directory, 5_000, "u-1")
    merge_report(directory, 5_100, report("u-1", sequence=5), 0)
    assert_that(directory.entries["u-1"].report.state, Equals(UpstreamState.GONE))


def test_a_late_report_of_an_older_upstream_at_the_address_has_no_effect():
    directory = Directory()
    merge_report(directory, 5_000, report("u-ab", born_ms=2_000), 0)
    merge_report(directory, 5_000, report("u-ba", born_ms=1_000), 0)
    assert_that(directory.entries["u-ba"].report.state, Equals(UpstreamState.GONE))
    assert_that(directory.entries["u-ab"].report.state, Equals(UpstreamState.READY))


def test_an_answer_out_of_step_is_no_proof_that_an_upstream_leads(control):
    """An upstream that loses the answer to BEGIN goes on with the one to ROLLBACK."""
    connection = control.state.watch.connections[control.state.watch.by_upstream["u-primary"]]
    before = control.state.watch.watermarks[SERVICE]
    connection.pending_probes.extend(
        [
            PendingProbe(ProbeKind.POSITION, control.now_ms),
            PendingProbe(ProbeKind.ROLLBACK, control.now_ms),
        ]
    )
    idle = TransactionState.IDLE
    reply = UpstreamReply((), "", None, idle, Position(1, 999))
    control.handle(ConnectionReplied(control.now_ms, connection.number, reply))
    assert_that(control.state.watch.watermarks[SERVICE].position, Equals(before.position))
    assert_that(control.state.watch.connections, Not(Contains(connection.number)))


def test_a_restarted_process_learns_that_an_upstream_departed(control):
    """A late report of it may reach a process that has lost its directory with its restart."""
    control.upstreams["u-third"].reachable = False
    late = control.state.directory_state.directory.entries["u-third"].report
    control.handle(ce.UpstreamRemoved(control.now_ms, 9, "u-third"))
    control.run(20_000)
    control.shares.clear()
    share = DirectoryShare(peer(ADDRESSES[1]), 0, [HeardReport(late, 0)], [], 0, [], {})
    control.handle(ce.MessageReceived(control.now_ms, share))
    address, answer = control.shares[-1]
    assert_that(address, Equals(ADDRESSES[1]))
    states = {item.report.upstream: item.report.state for item in answer.reports}
    assert_that(states["u-third"], Equals(UpstreamState.GONE))
    restarted = Directory()
    merge_report(restarted, control.now_ms, late, 0)
    for report_, age_ms in answer.reports:
        merge_report(restarted, control.now_ms, report_, age_ms)
    assert_that(restarted.entries["u-third"].report.state, Equals(UpstreamState.GONE))


def test_a_primary_that_reports_nothing_stays_while_it_answers_probes(control):
    """Pattern: a VM that is only slow to report must not have its work taken away."""
    control.report_all = lambda: None
    control.run(30_000)
    assert_that(control.orders, Equals([]))
    assert_that(control.state.watch.watermarks[SERVICE].upstream, Equals("u-primary"))
