"""The directory of upstreams at a control process, and how it spreads.

Reports are soft state: they are held in memory, passed to the other control processes as soon as
they change something, and repeated once a second. A report that an upstream leaves is acknowledged
only after another control process has it, so that the loss of one process doesn't lose it.
"""

from collections import Counter
from collections.abc import Iterable

from ..directory import (
    UpstreamReport,
    UpstreamState,
    forget_gone,
    leave,
    merge_report,
)
from ..messages import (
    ControlPeer,
    DirectoryAnswer,
    DirectoryQuestion,
    DirectoryShare,
    DirectoryShareReceived,
    HeardReport,
    WatermarkNote,
)
from . import questions
from .effects import AcknowledgeReport, Effect, Note, RefuseReport, Send
from .events import ReportReceived, UpstreamLeft
from .service_state import Peer, WaitingReport
from .state import ControlState, Role, peers

SHARE_MS = 1_000  # how often the recent reports are repeated to the other control processes
SHARED_AGE_MS = 10_000  # how long a change is repeated
GATEWAY_SILENT_MS = 1_000  # three polls of a gateway were missed; it may ask another by then
CONTENDED_MS = 2_000  # how long gateways keep to their shares after a refusal
CONFIRM_MS = 700  # how long a leaving upstream's acknowledgement waits; the sender waits 1,000 ms


def handle_report(state: ControlState, event: ReportReceived) -> list[Effect]:
    """Take an upstream's report."""
    now_ms, report = event.now_ms, event.report
    changed = merge_report(state.spread.directory, now_ms, report, 0)
    report_to = _report_to(state, now_ms, report)
    effects: list[Effect] = []
    if changed:
        effects.append(_seen(report))
    if report.state is UpstreamState.LEAVING:
        return effects + _confirm(state, now_ms, event.number, report, report_to)
    if changed:
        effects += _share(state, now_ms, [HeardReport(report, 0)], 0)
    return [AcknowledgeReport(event.number, report_to), *effects]


def handle_left(state: ControlState, event: UpstreamLeft) -> list[Effect]:
    """Take an upstream's goodbye."""
    report = leave(state.spread.directory, event.now_ms, event.upstream)
    if report is None:
        return [AcknowledgeReport(event.number, "")]
    effects = [_seen(report)]
    return effects + _confirm(state, event.now_ms, event.number, report, "")


def handle_share(state: ControlState, now_ms: int, share: DirectoryShare) -> list[Effect]:
    """Take another control process's reports."""
    state.spread.peers[share.sender.address] = Peer(
        share.sender,
        now_ms,
        share.primaries,
        share.gateways,
        share.contended,
        share.wanted,
    )
    effects: list[Effect] = []
    for report, age_ms in share.reports:
        if merge_report(state.spread.directory, now_ms, report, age_ms):
            effects.append(_seen(report))
    if share.serial:
        received = DirectoryShareReceived(state.settings.me.address, share.serial)
        effects.insert(0, Send(share.sender.address, received))
    return effects


def handle_share_received(
    state: ControlState, now_ms: int, received: DirectoryShareReceived
) -> list[Effect]:
    """Acknowledge the report that another control process has now."""
    waiting = state.spread.waiting.pop(received.serial, None)
    if waiting is None:
        return []
    return [AcknowledgeReport(waiting.number, waiting.report_to)]


def handle_question(state: ControlState, now_ms: int, question: DirectoryQuestion) -> list[Effect]:
    """Answer a gateway's poll."""
    spread = state.spread
    spread.gateways_ms[question.gateway] = now_ms
    if question.is_draining:
        spread.gateway_centres.pop(question.gateway, None)
    else:
        spread.gateway_centres[question.gateway] = question.data_centre
    spread.writes_failing[question.gateway] = question.writes_failing
    spread.wanted[question.gateway] = question.wanted
    for upstream in question.refused_by:
        spread.refused_ms[upstream] = now_ms
    after = question.revision if question.control_boot == spread.boot else 0
    reports = [
        HeardReport(entry.report, now_ms - entry.heard_ms)
        for entry in spread.directory.entries.values()
        if entry.revision > after
    ]
    configuration = state.machine.configuration
    has_it = question.configuration_version >= configuration.version
    answer = DirectoryAnswer(
        question.sequence,
        spread.boot,
        spread.directory.revision,
        reports,
        _known_peers(state, now_ms),
        configuration.version,
        b"" if has_it else configuration.document,
        _watermark_notes(state, now_ms),
        leader_age_ms(state, now_ms),
        count_gateways(state, now_ms),
        _contended(state, now_ms),
        _neighbours(state, question.data_centre),
    )
    return [Send(question.gateway, answer)]


def check_spread(state: ControlState, now_ms: int) -> list[Effect]:
    """Repeat recent changes, and settle the acknowledgements that waited long enough."""
    spread = state.spread
    effects: list[Effect] = []
    for serial, waiting in list(spread.waiting.items()):
        if now_ms - waiting.since_ms >= CONFIRM_MS:
            del spread.waiting[serial]
            effects.append(RefuseReport(waiting.number))
    failing = frozenset(
        service for service in state.watch.marks if questions.failing_ms(state, now_ms, service) > 0
    )
    contended = _own_contended(state, now_ms)
    is_new = failing != spread.failing_shared or not contended <= spread.contended_shared
    if now_ms < spread.share_due_ms and not is_new:
        return effects
    spread.failing_shared = failing
    spread.contended_shared = contended
    spread.share_due_ms = now_ms + SHARE_MS
    forget_gone(spread.directory, now_ms)
    recent = [
        HeardReport(entry.report, now_ms - entry.heard_ms)
        for entry in spread.directory.entries.values()
        if now_ms - entry.heard_ms < SHARED_AGE_MS
    ]
    return effects + _share(state, now_ms, recent, 0)


def leader_age_ms(state: ControlState, now_ms: int) -> int:
    """Return how long ago this process last knew a leader that it follows, or is."""
    if state.role is Role.LEADER:
        return 0
    return now_ms - state.leader_heard_ms


def operator_address(state: ControlState, now_ms: int, address: str) -> str:
    """Return the operators' address of the control process at ``address``, or an empty text."""
    for peer in _known_peers(state, now_ms):
        if peer.address == address:
            return peer.operator_address
    return ""


def _known_peers(state: ControlState, now_ms: int) -> list[ControlPeer]:
    heard = questions.heard_peers(state, now_ms)
    return [state.settings.me, *(item.peer for item in heard)]


def _own_gateways(state: ControlState, now_ms: int) -> int:
    """Return how many gateways have asked this process lately."""
    asked = state.spread.gateways_ms
    for address, asked_ms in list(asked.items()):
        if now_ms - asked_ms > GATEWAY_SILENT_MS:
            del asked[address]
            state.spread.writes_failing.pop(address, None)
            state.spread.wanted.pop(address, None)
            state.spread.gateway_centres.pop(address, None)
    return len(asked)


def count_gateways(state: ControlState, now_ms: int) -> int:
    """Return about how many gateways there are, as all control processes count them."""
    others = questions.heard_peers(state, now_ms)
    return _own_gateways(state, now_ms) + sum(item.gateways for item in others)


def _neighbours(state: ControlState, data_centre: str) -> list[str]:
    """Return the gateways of a data centre that ask this process."""
    centres = state.spread.gateway_centres
    return sorted(address for address, centre in centres.items() if centre == data_centre)


def _own_contended(state: ControlState, now_ms: int) -> frozenset[str]:
    """Return the upstreams that refused connections to this process's gateways lately."""
    refused = state.spread.refused_ms
    for upstream, refused_ms in list(refused.items()):
        if now_ms - refused_ms > CONTENDED_MS:
            del refused[upstream]
    return frozenset(refused)


def _contended(state: ControlState, now_ms: int) -> dict[str, int]:
    """Return the contended upstreams, with how many connections all gateways want of each."""
    others = questions.heard_peers(state, now_ms)
    contended = _own_contended(state, now_ms).union(*(item.contended for item in others))
    if not contended:
        return {}
    total = _add_up([*state.spread.wanted.values(), *(item.wanted for item in others)])
    return {upstream: total.get(upstream, 0) for upstream in sorted(contended)}


def _add_up(counts: Iterable[dict[str, int]]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for count in counts:
        total.update(count)
    return dict(total)


def _others(state: ControlState) -> list[str]:
    return [member.address for member in peers(state) if member.address != state.me.address]


def _confirm(
    state: ControlState, now_ms: int, number: int, report: UpstreamReport, report_to: str
) -> list[Effect]:
    if not _others(state):
        return [AcknowledgeReport(number, report_to)]
    spread = state.spread
    serial = spread.next_serial
    spread.next_serial += 1
    spread.waiting[serial] = WaitingReport(number, report_to, now_ms)
    return _share(state, now_ms, [HeardReport(report, 0)], serial)


def _share(
    state: ControlState, now_ms: int, reports: list[HeardReport], serial: int
) -> list[Effect]:
    share = DirectoryShare(
        state.settings.me,
        serial,
        reports,
        questions.primary_health(state, now_ms),
        _own_gateways(state, now_ms),
        sorted(_own_contended(state, now_ms)),
        _add_up(state.spread.wanted.values()),
    )
    return [Send(address, share) for address in _others(state)]


def _report_to(state: ControlState, now_ms: int, report: UpstreamReport) -> str:
    """Return the operators' address that an upstream should report to: in its own data centre."""
    for peer in _known_peers(state, now_ms):
        if peer.data_centre == report.data_centre:
            return peer.operator_address
    return state.settings.me.operator_address


def _watermark_notes(state: ControlState, now_ms: int) -> list[WatermarkNote]:
    return [
        WatermarkNote(service, mark.upstream, *mark.position, now_ms - mark.asked_ms)
        for service, mark in state.watch.marks.items()
    ]


def _seen(report: UpstreamReport) -> Effect:
    role = "primary" if report.is_primary else "replica"
    text = (
        f"{report.upstream} of {report.service} at {report.address} in {report.data_centre} is "
        f"{report.state.value}, {role}; report {report.born_ms}/{report.sequence}"
    )
    return Note("info", "upstream_changed", text)
