"""An upstream that reports stays in the directory, whatever others report of its address."""

import pytest
from control_driver import ADDRESSES, SERVICE, FakeUpstream, leading_control, peer
from endivewick_core.control import events as ce
from endivewick_core.directory import (
    INFERRED_SEQUENCE,
    LIVE_SPAN_MS,
    SILENT_MS,
    Directory,
    UpstreamState,
    copy_report,
    mark_gone,
    merge_report,
)
from endivewick_core.messages import DirectoryQuestion, DirectoryShare, HeardReport
from endivewick_core.positions import Position
from gateway_driver import report
from testtools.assertions import assert_that
from testtools.matchers import Equals

INTERVAL_MS = 1_200
OLD, NEW = "u-ab", "u-ba"  # the drivers derive an address from the letters of a name


@pytest.fixture
def directory():
    """Return a directory with one upstream, which reported at 0 ms."""
    directory = Directory()
    merge_report(directory, 0, report(OLD, born_ms=1_000), 0)
    return directory


@pytest.fixture
def control():
    """Return a leader with three upstreams."""
    return leading_control()


def state_of(directory, upstream):
    return directory.entries[upstream].report.state


def heard(upstream, at, sequence=1, age_ms=0, **changes):
    """Return a report of another writer at the address of a control driver's upstream."""
    made = report(upstream, sequence=sequence, **changes)
    return HeardReport(made._replace(address=at), age_ms)


def address_of(control, upstream):
    return control.state.directory_state.directory.entries[upstream].report.address


def report_as_another_writer(control, service, born_ms, for_ms):
    """Report every second at the address of u-second, while all upstreams report themselves."""
    control.upstreams["u-other"] = FakeUpstream("u-other", reachable=False)
    for sequence in range(1, for_ms // 1_000 + 1):
        made, _ = heard("u-other", address_of(control, "u-second"), sequence)
        made = made._replace(service=service, born_ms=born_ms)
        control.handle(ce.ReportReceived(control.now_ms, 0, made))
        control.run(1_000)


# Guards against a report of an unknown service that removes the replica at its address.
@pytest.mark.parametrize("service", ["orders-2019", SERVICE])
@pytest.mark.parametrize("silent_ms", [0, SILENT_MS + 1_000])
def test_a_report_of_another_writer_removes_no_upstream(control, service, silent_ms):
    second = control.upstreams["u-second"]
    report_as_another_writer(control, service, 9_000, 3_000)
    second.reachable = not silent_ms
    report_as_another_writer(control, service, 9_000, silent_ms)
    second.reachable = True
    report_as_another_writer(control, service, 9_000, 5_000)
    directory = control.state.directory_state.directory
    assert_that(state_of(directory, "u-second"), Equals(UpstreamState.READY))


# Guards against a promotion that loses the commits of a replica that another writer hid.
def test_a_replica_at_the_address_of_an_unknown_service_is_promoted(control):
    report_as_another_writer(control, "orders-2019", 9_000, 4_000)
    control.upstreams["u-second"].received = Position(1, 30)
    control.upstreams["u-primary"].reachable = False
    control.break_connections("u-primary")
    report_as_another_writer(control, "orders-2019", 9_000, 4_000)
    assert_that({order.upstream for order in control.orders}, Equals({"u-second"}))


# Guards against a service whose upstreams stay hidden although it is configured by now.
def test_an_unknown_service_takes_part_once_it_is_configured(control):
    control.upstreams["u-new"] = FakeUpstream("u-new", reachable=False)
    made = report("u-new", service="later", born_ms=9_000)
    control.handle(ce.ReportReceived(control.now_ms, 0, made))

    def told():
        question = DirectoryQuestion("10.0.0.9:1", "dc-a", 1, 0, "", 0, [], [], {}, False)
        control.replies.clear()
        control.handle(ce.MessageReceived(control.now_ms, question))
        answers = [reply.message for reply in control.replies]
        reports = [item for answer in answers for item in getattr(answer, "reports", [])]
        return {item.report.upstream for item in reports}

    assert_that("u-new" in told(), Equals(False))
    control.operator(2, ce.PutConfigurationRequest(2, [SERVICE, "later"], b"document-2"))
    control.run(200)
    control.handle(ce.ReportReceived(control.now_ms, 0, made._replace(sequence=2)))
    assert_that("u-new" in told(), Equals(True))


def test_a_silent_upstream_has_departed_once_its_address_has_another(directory):
    merge_report(directory, SILENT_MS, report(NEW, born_ms=2_000), 0)
    assert_that(state_of(directory, OLD), Equals(UpstreamState.GONE))


def test_an_upstream_that_just_reported_departs_only_after_it_was_silent(directory):
    merge_report(directory, 100, report(NEW, born_ms=2_000), 0)
    assert_that(state_of(directory, OLD), Equals(UpstreamState.READY))
    merge_report(directory, SILENT_MS, report(NEW, born_ms=2_000, sequence=2), 0)
    assert_that(state_of(directory, OLD), Equals(UpstreamState.GONE))


# Guards against late reports that come together and bring an upstream back that crashed.
def test_late_reports_do_not_revoke_a_departure(directory):
    merge_report(directory, SILENT_MS, report(NEW, born_ms=2_000), 0)
    for sequence in range(2, 12):
        late = report(OLD, born_ms=1_000, sequence=sequence)
        merge_report(directory, SILENT_MS + 50 * sequence, late, 0)
    assert_that(state_of(directory, OLD), Equals(UpstreamState.GONE))


# Guards against the same where the late reports come one by one, or had been overtaken.
@pytest.mark.parametrize(("first", "interval_ms"), [(2, SILENT_MS), (-20, INTERVAL_MS)])
def test_single_late_reports_do_not_revoke_a_departure(directory, first, interval_ms):
    merge_report(directory, SILENT_MS, report(NEW, born_ms=2_000), 0)
    for number in range(8):
        late = report(OLD, born_ms=1_000, sequence=first + number)
        merge_report(directory, SILENT_MS + interval_ms * number, late, 0)
    assert_that(state_of(directory, OLD), Equals(UpstreamState.GONE))


# Guards against an upstream that is hidden for good although it reports all the while.
def test_reports_over_some_seconds_revoke_an_inferred_departure(directory):
    merge_report(directory, SILENT_MS, report(NEW, born_ms=2_000), 0)
    for sequence in range(2, 5):
        now_ms = SILENT_MS + INTERVAL_MS * sequence
        merge_report(directory, now_ms, report(OLD, born_ms=1_000, sequence=sequence), 0)
        merge_report(directory, now_ms, report(NEW, born_ms=2_000, sequence=sequence), 0)
    assert_that(state_of(directory, OLD), Equals(UpstreamState.READY))
    assert_that(state_of(directory, NEW), Equals(UpstreamState.READY))


def test_repeats_of_one_report_do_not_revoke_a_departure(directory):
    merge_report(directory, SILENT_MS, report(NEW, born_ms=2_000), 0)
    for now_ms in range(SILENT_MS, SILENT_MS + 5 * LIVE_SPAN_MS, 500):
        merge_report(directory, now_ms, report(OLD, born_ms=1_000, sequence=2), 0)
    assert_that(state_of(directory, OLD), Equals(UpstreamState.GONE))


def test_an_announced_departure_is_not_revoked(directory):
    merge_report(directory, 100, report(OLD, born_ms=1_000, sequence=2, state="leaving"), 0)
    mark_gone(directory, 200, OLD)
    for sequence in range(3, 9):
        late = report(OLD, born_ms=1_000, sequence=sequence)
        merge_report(directory, INTERVAL_MS * sequence, late, 0)
    assert_that(state_of(directory, OLD), Equals(UpstreamState.GONE))


# Guards against a peer that passes on the departure of an upstream that this process hears from.
def test_a_departure_that_a_peer_inferred_waits_until_the_upstream_is_silent(control):
    known = control.state.directory_state.directory.entries["u-second"].report
    gone = known._replace(state=UpstreamState.GONE, is_primary=False, sequence=INFERRED_SEQUENCE)
    share = DirectoryShare(peer(ADDRESSES[1]), 0, [HeardReport(gone, 900)], [], 0, [], {})
    control.handle(ce.MessageReceived(control.now_ms, share))
    directory = control.state.directory_state.directory
    assert_that(state_of(directory, "u-second"), Equals(UpstreamState.READY))
    control.upstreams["u-second"].reachable = False
    control.run(SILENT_MS + 1_000)
    control.handle(ce.MessageReceived(control.now_ms, share))
    assert_that(state_of(directory, "u-second"), Equals(UpstreamState.GONE))


# Guards against a gateway that goes on to believe a departure that control has revoked.
def test_a_copy_follows_its_source_in_departures():
    copy = Directory()
    reported = report(OLD, born_ms=1_000)
    gone = reported._replace(state=UpstreamState.GONE, sequence=INFERRED_SEQUENCE)
    copy_report(copy, 0, reported, 0)
    copy_report(copy, 5_000, gone, 4_000)
    assert_that(state_of(copy, OLD), Equals(UpstreamState.GONE))
    copy_report(copy, 9_000, reported._replace(sequence=5), 0)
    assert_that(state_of(copy, OLD), Equals(UpstreamState.READY))


def test_a_source_shows_both_upstreams_of_an_address(directory):
    before = directory.revision
    merge_report(directory, 100, report(NEW, born_ms=2_000), 0)
    shown = {name for name, entry in directory.entries.items() if entry.revision > before}
    assert_that(shown, Equals({OLD, NEW}))
