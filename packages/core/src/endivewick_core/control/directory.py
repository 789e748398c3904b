"""The directory of upstreams at a control process, and its replication to the others and gateways.

Reports are soft state: they are held in memory, sent to the other control processes as soon as they
change something, and repeated once a second. The report of an upstream that shuts down is
acknowledged only after another control process has received it, so that it survives the loss of one
process.
"""

from collections import Counter
from collections.abc import Iterable

from ..directory import (
    UpstreamReport,
    UpstreamState,
    departed_since,
    mark_gone,
    merge_report,
    remove_expired,
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
from ..positions import Position
from . import (
    connection_demand,
    departures,
    primary_leases,
    probes,
    quota_reserves,
    upstream_weights,
)
from .effects import AcknowledgeReport, Effect, LogEvent, RefuseReport, Send
from .events import ReportReceived, UpstreamRemoved
from .service_state import AcknowledgedSource, Peer, PendingReport
from .state import ControlState, Role, peers

SHARE_INTERVAL_MS = 1_000  # between repeats of the recent reports to the other control processes
# Between shares of the positions of acknowledged commits while their primary fails or is replaced.
ACKNOWLEDGED_SHARE_INTERVAL_MS = 200
SHARE_MAX_AGE_MS = 10_000  # reports that were received within this time are repeated
GATEWAY_TIMEOUT_MS = 1_000  # three missed polls; by then the gateway may poll another process
CONTENTION_MS = 2_000  # gateways keep to their shares of connections for this long after a refusal
# For another process to confirm the report of an upstream that shuts down. The upstream waits for
# 1,000 ms.
CONFIRMATION_TIMEOUT_MS = 700


def handle_report(state: ControlState, event: ReportReceived) -> list[Effect]:
    """Merge an upstream's report, share it if it changes something, and acknowledge it."""
    now_ms, report = event.now_ms, event.report
    directory = state.directory_state.directory
    changed = merge_report(directory, now_ms, report, 0, _known_services(state))
    report_to = _report_to(state, now_ms, report)
    effects: list[Effect] = []
    if changed:
        effects.append(_report_event(report))
    if report.state is UpstreamState.LEAVING:
        return effects + _await_confirmation(state, now_ms, event.number, report, report_to)
    if changed:
        effects += _send_share(state, now_ms, [HeardReport(report, 0)], 0)
    return [AcknowledgeReport(event.number, report_to), *effects]


def handle_upstream_removed(state: ControlState, event: UpstreamRemoved) -> list[Effect]:
    """Record that an upstream has departed."""
    report = mark_gone(state.directory_state.directory, event.now_ms, event.upstream)
    if report is None:
        return [AcknowledgeReport(event.number, "")]
    effects = [_report_event(report)]
    return effects + _await_confirmation(state, event.now_ms, event.number, report, "")


def handle_share(state: ControlState, now_ms: int, share: DirectoryShare) -> list[Effect]:
    """Merge the reports of another control process, and record its other data.

    A process that has just started or was unreachable is sent the recent reports at once, since it
    may have missed their changes.
    """
    previous = state.directory_state.peers.get(share.sender.address)
    is_new = previous is None or now_ms - previous.last_received_ms > probes.PEER_TIMEOUT_MS
    state.directory_state.peers[share.sender.address] = Peer(
        share.sender,
        now_ms,
        share.primaries,
        share.gateways,
        share.contended,
        share.wanted,
        share.demand,
        share.upstream_counts,
    )
    source = AcknowledgedSource(share.sender.address, False, now_ms)
    _record_acknowledged(state, source, share.acknowledged)
    effects: list[Effect] = []
    departed: list[HeardReport] = []
    directory, services = state.directory_state.directory, _known_services(state)
    for report, age_ms in share.reports:
        if merge_report(directory, now_ms, report, age_ms, services):
            effects.append(_report_event(report, age_ms, share.sender.address))
        entry = departed_since(directory, report)
        if entry is not None:
            departed.append(HeardReport(entry.report, now_ms - entry.last_contact_ms))
    if share.serial:
        received = DirectoryShareReceived(state.settings.me.address, share.serial)
        effects.insert(0, Send(share.sender.address, received))
    if is_new:
        departed += _recent_reports(state, now_ms)
    if is_new or departed:
        # A process that has restarted may have believed a late report of a departed upstream.
        own = _build_share(state, now_ms, departed, 0)
        effects.append(Send(share.sender.address, own))
    return effects


def handle_share_received(
    state: ControlState, now_ms: int, received: DirectoryShareReceived
) -> list[Effect]:
    """Acknowledge the report that another control process has received."""
    pending = state.directory_state.pending_reports.pop(received.serial, None)
    if pending is None:
        return []
    return [AcknowledgeReport(pending.number, pending.report_to)]


def handle_directory_request(
    state: ControlState, now_ms: int, request: DirectoryQuestion
) -> list[Effect]:
    """Record a gateway's poll, and respond with what has changed since its last one."""
    directory_state = state.directory_state
    directory_state.gateway_contact_ms[request.gateway] = now_ms
    quota_reserves.note_contact(state, now_ms, request.gateway)
    if request.is_draining:
        directory_state.gateway_centres.pop(request.gateway, None)
    else:
        directory_state.gateway_centres[request.gateway] = request.data_centre
    directory_state.writes_failing[request.gateway] = request.writes_failing
    directory_state.wanted[request.gateway] = request.wanted
    connection_demand.record(state, now_ms, request.gateway, request.demand)
    upstream_weights.record(state, now_ms, request)
    source = AcknowledgedSource(request.gateway, True, now_ms)
    _record_acknowledged(state, source, request.acknowledged)
    _merge_acknowledged(directory_state.own_acknowledged, request.acknowledged)
    for upstream in request.refused_by:
        directory_state.connection_refused_ms[upstream] = now_ms
    after = request.revision if request.control_boot == directory_state.boot else 0
    reports = [
        HeardReport(entry.report, now_ms - entry.last_contact_ms)
        for entry in directory_state.directory.entries.values()
        if entry.revision > after and not entry.is_apart
    ]
    configuration = state.replicated_state.configuration
    has_it = request.configuration_version >= configuration.version
    answer = DirectoryAnswer(
        request.sequence,
        directory_state.boot,
        directory_state.directory.revision,
        reports,
        _known_peers(state, now_ms),
        configuration.version,
        b"" if has_it else configuration.document,
        _watermark_notes(state, now_ms),
        leader_age_ms(state, now_ms),
        count_gateways(state, now_ms),
        _contended(state, now_ms),
        _neighbours(state, request.data_centre),
        connection_demand.total(state, now_ms, count_gateways(state, now_ms), request.demand),
        upstream_weights.answer_weights(state, now_ms),
    )
    effects: list[Effect] = []
    if primary_leases.are_granted(state):
        # Before the answer, so that its watermarks are covered by a lease.
        leases = primary_leases.make_answer(state, now_ms, request.sequence)
        effects.append(Send(request.gateway, leases))
    return [*effects, Send(request.gateway, answer)]


def check_sharing(state: ControlState, now_ms: int) -> list[Effect]:
    """Refuse reports that were not confirmed in time, and share recent reports when due.

    A share is sent early when the failing primaries change, or another upstream is contended or
    fails statements.
    """
    directory_state = state.directory_state
    effects: list[Effect] = []
    for serial, pending in list(directory_state.pending_reports.items()):
        if now_ms - pending.since_ms >= CONFIRMATION_TIMEOUT_MS:
            del directory_state.pending_reports[serial]
            effects.append(RefuseReport(pending.number))
    failing = frozenset(
        service
        for service in state.watch.watermarks
        if probes.failing_ms(state, now_ms, service) > 0
    )
    contended = _own_contended(state, now_ms)
    effects += _share_acknowledged(state, now_ms, failing)
    own_gateways = _count_own_gateways(state, now_ms)
    is_new = (
        failing != directory_state.failing_shared
        or not contended <= directory_state.contended_shared
        or connection_demand.must_share(state, now_ms, own_gateways)
        or upstream_weights.needs_early_share(state, now_ms)
    )
    if now_ms < directory_state.share_due_ms and not is_new:
        return effects
    directory_state.failing_shared = failing
    directory_state.contended_shared = contended
    directory_state.share_due_ms = now_ms + SHARE_INTERVAL_MS
    remove_expired(directory_state.directory, now_ms)
    departures.record_departures(state, now_ms)
    state.watch.answered.intersection_update(directory_state.directory.entries)
    return effects + _send_share(state, now_ms, _recent_reports(state, now_ms), 0)


def leader_age_ms(state: ControlState, now_ms: int) -> int:
    """Return the time since this process's last contact with its leader; 0 at the leader."""
    if state.role is Role.LEADER:
        return 0
    return now_ms - state.leader_last_contact_ms


def operator_address(state: ControlState, now_ms: int, address: str) -> str:
    """Return the operator address of the control process at ``address``, or an empty text."""
    for peer in _known_peers(state, now_ms):
        if peer.address == address:
            return peer.operator_address
    return ""


def _known_services(state: ControlState) -> list[str] | None:
    """Return the services of the configuration, None while this process has no configuration."""
    configuration = state.replicated_state.configuration
    return configuration.services if configuration.version else None


def _known_peers(state: ControlState, now_ms: int) -> list[ControlPeer]:
    live = probes.live_peers(state, now_ms)
    return [state.settings.me, *(item.peer for item in live)]


def _count_own_gateways(state: ControlState, now_ms: int) -> int:
    """Return how many gateways poll this process; remove those that have stopped."""
    last_contact_ms = state.directory_state.gateway_contact_ms
    for address, contact_ms in list(last_contact_ms.items()):
        if now_ms - contact_ms > GATEWAY_TIMEOUT_MS:
            del last_contact_ms[address]
            state.directory_state.writes_failing.pop(address, None)
            state.directory_state.wanted.pop(address, None)
            state.directory_state.demand.pop(address, None)
            state.directory_state.gateway_centres.pop(address, None)
    return len(last_contact_ms)


def count_gateways(state: ControlState, now_ms: int) -> int:
    """Return the approximate number of gateways that poll any control process."""
    others = probes.live_peers(state, now_ms)
    return _count_own_gateways(state, now_ms) + sum(item.gateways for item in others)


def _neighbours(state: ControlState, data_centre: str) -> list[str]:
    """Return the gateways of a data centre that poll this process."""
    centres = state.directory_state.gateway_centres
    return sorted(address for address, centre in centres.items() if centre == data_centre)


def _own_contended(state: ControlState, now_ms: int) -> frozenset[str]:
    """Return the upstreams that recently refused connections to gateways of this process."""
    refused = state.directory_state.connection_refused_ms
    for upstream, connection_refused_ms in list(refused.items()):
        if now_ms - connection_refused_ms > CONTENTION_MS:
            del refused[upstream]
    return frozenset(refused)


def _contended(state: ControlState, now_ms: int) -> dict[str, int]:
    """Return the contended upstreams, and how many connections all gateways want to each."""
    others = probes.live_peers(state, now_ms)
    contended = _own_contended(state, now_ms).union(*(item.contended for item in others))
    if not contended:
        return {}
    total = _sum_counts([*state.directory_state.wanted.values(), *(item.wanted for item in others)])
    return {upstream: total.get(upstream, 0) for upstream in sorted(contended)}


def _sum_counts(counts: Iterable[dict[str, int]]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for count in counts:
        total.update(count)
    return dict(total)


def _other_addresses(state: ControlState) -> list[str]:
    return [member.address for member in peers(state) if member.address != state.me.address]


def _await_confirmation(
    state: ControlState, now_ms: int, number: int, report: UpstreamReport, report_to: str
) -> list[Effect]:
    if not _other_addresses(state):
        return [AcknowledgeReport(number, report_to)]
    directory_state = state.directory_state
    serial = directory_state.next_serial
    directory_state.next_serial += 1
    directory_state.pending_reports[serial] = PendingReport(number, report_to, now_ms)
    return _send_share(state, now_ms, [HeardReport(report, 0)], serial)


def _recent_reports(state: ControlState, now_ms: int) -> list[HeardReport]:
    return [
        HeardReport(entry.report, now_ms - entry.last_contact_ms)
        for entry in state.directory_state.directory.entries.values()
        if now_ms - entry.last_contact_ms < SHARE_MAX_AGE_MS
    ]


def _send_share(
    state: ControlState, now_ms: int, reports: list[HeardReport], serial: int
) -> list[Effect]:
    share = _build_share(state, now_ms, reports, serial)
    return [Send(address, share) for address in _other_addresses(state)]


def _build_share(
    state: ControlState, now_ms: int, reports: list[HeardReport], serial: int
) -> DirectoryShare:
    return DirectoryShare(
        state.settings.me,
        serial,
        reports,
        probes.primary_health(state, now_ms),
        _count_own_gateways(state, now_ms),
        sorted(_own_contended(state, now_ms)),
        _sum_counts(state.directory_state.wanted.values()),
        dict(state.directory_state.acknowledged),
        connection_demand.own(state),
        upstream_weights.shared_counts(state, now_ms),
    )


def _record_acknowledged(
    state: ControlState, source: AcknowledgedSource, positions: dict[str, Position]
) -> None:
    """Record where commits were acknowledged, with the source of each position that is new."""
    directory_state = state.directory_state
    for service, position in positions.items():
        known = directory_state.acknowledged.get(service)
        if known is None or position > known:
            directory_state.acknowledged_from[service] = source
    _merge_acknowledged(directory_state.acknowledged, positions)


def _merge_acknowledged(known: dict[str, Position], positions: dict[str, Position]) -> None:
    for service, position in positions.items():
        known[service] = max(known.get(service, position), position)


def _share_acknowledged(state: ControlState, now_ms: int, failing: frozenset[str]) -> list[Effect]:
    """Share where gateways acknowledge commits of services that fail or are in a failover."""
    directory_state = state.directory_state
    if now_ms < directory_state.acknowledged_due_ms:
        return []
    failovers = state.replicated_state.failovers
    acknowledged = {
        service: position
        for service, position in directory_state.own_acknowledged.items()
        if service in failing or (service in failovers and failovers[service].is_open)
    }
    if acknowledged == directory_state.acknowledged_shared:
        return []
    directory_state.acknowledged_shared = acknowledged
    directory_state.acknowledged_due_ms = now_ms + ACKNOWLEDGED_SHARE_INTERVAL_MS
    return _send_share(state, now_ms, [], 0)


def _report_to(state: ControlState, now_ms: int, report: UpstreamReport) -> str:
    """Return the operator address that an upstream should report to.

    It is that of a control process in the upstream's data centre, else of this process.
    """
    for peer in _known_peers(state, now_ms):
        if peer.data_centre == report.data_centre:
            return peer.operator_address
    return state.settings.me.operator_address


def _watermark_notes(state: ControlState, now_ms: int) -> list[WatermarkNote]:
    return [
        WatermarkNote(
            service, watermark.upstream, *watermark.position, now_ms - watermark.probed_ms
        )
        for service, watermark in state.watch.watermarks.items()
        if primary_leases.covers_watermark(state, service, watermark)
    ]


def _report_event(report: UpstreamReport, age_ms: int = 0, heard_from: str = "") -> Effect:
    """Return the log event of a changed report; ``heard_from`` is empty for its own upstream."""
    role = "primary" if report.is_primary else "replica"
    text = (
        f"{report.upstream} of {report.service} at {report.address} in {report.data_centre} is "
        f"{report.state.value}, {role}; started at {report.born_ms}, report {report.sequence}"
    )
    inputs: dict[str, object] = {
        "upstream": report.upstream,
        "service": report.service,
        "address": report.address,
        "state": report.state.value,
        "is_primary": report.is_primary,
        "born_ms": report.born_ms,
        "sequence": report.sequence,
        "heard_ms_ago": age_ms,
        "heard_from": heard_from,
    }
    return LogEvent("info", "upstream_changed", text, inputs)
