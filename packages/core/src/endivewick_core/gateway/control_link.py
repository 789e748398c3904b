"""Polls the nearest control process for changes of the directory, watermarks and configuration.

A lost poll is repeated, and an answer names the revision that it starts from, so the copy of the
directory converges whichever messages are lost. Times in answers are ages. They are counted from
the time when the poll was sent, so information can appear older than it is, but never newer.
"""

from ..directory import UpstreamState, copy_report
from ..messages import DirectoryAnswer, DirectoryQuestion, PrimaryLeaseAnswer
from ..positions import Position
from ..primary_leases import renew
from ..watermarks import WatermarkHistory, add_watermark
from . import (
    commit_confirmations,
    connection_admission,
    forwarding,
    holders,
    limits,
    maintenance,
    pool,
    primary_leases,
    primary_waits,
    routing,
    sessions,
    upstream_health,
)
from .effects import ApplyDocument, Effect, LogEvent, Send
from .events import ConfigurationReceived
from .state import GatewayState, distance

CONTROL_BACKOFF_MS = 2_000  # how long a control process that did not answer is not polled
URGENT_POLL_INTERVAL_MS = 100  # while sessions wait for what this gateway has to learn
UNCONNECTED_POLL_INTERVAL_MS = 30  # before the first answer, at a control process not yet connected
MAX_UNDELIVERED_POLLS = 2  # consecutive ones; then another control process is polled
UNKNOWN_DISTANCE = 3  # beyond another region
MAX_LEADER_AGE_MS = 1_500  # a control process without a leader for longer is not polled


def check_poll(state: GatewayState, now_ms: int) -> list[Effect]:
    """Poll control when it is due; change to another process if the current one doesn't answer."""
    link = state.control
    if now_ms < link.next_poll_ms - upstream_health.poll_advance_ms(state):
        return []
    effects: list[Effect] = []
    last_received_ms = link.last_received_ms if link.last_received_ms is not None else 0
    waited_ms = now_ms - max(link.address_chosen_ms, last_received_ms)
    if not link.address:
        _choose_control(state, now_ms)
    elif waited_ms >= state.settings.control_timeout_ms:
        effects.append(_change_control(state, now_ms, f"no answer for {waited_ms} ms"))
    link.sequence += 1
    interval_ms = URGENT_POLL_INTERVAL_MS
    if _has_started(state) and not _waits_for_primary(state, now_ms):
        interval_ms = state.settings.poll_interval_ms
    link.next_poll_ms = now_ms + interval_ms
    link.poll_sent_ms[link.sequence] = now_ms
    link.poll_sent_ms.pop(link.sequence - 32, None)
    version = max(state.configuration.version, state.last_document_version)
    question = DirectoryQuestion(
        state.settings.address,
        state.settings.data_centre,
        link.sequence,
        version,
        link.boot,
        link.revision,
        limits.refusing_upstreams(state, now_ms),
        _writes_failing(state, now_ms),
        limits.wanted(state),
        state.draining_since_ms is not None,
        dict(state.acknowledged),
        connection_admission.demand(state),
        upstream_health.take_report(state, now_ms),
    )
    return [*effects, Send(link.address, question)]


def handle_undelivered_poll(state: GatewayState, now_ms: int, address: str) -> list[Effect]:
    """Poll another control process if the current one isn't connected."""
    link = state.control
    if address != link.address:
        return []
    if link.last_received_ms is None:
        _choose_control(state, now_ms)
        link.next_poll_ms = now_ms + UNCONNECTED_POLL_INTERVAL_MS
        return []
    link.undelivered_polls += 1
    if link.undelivered_polls < MAX_UNDELIVERED_POLLS:
        link.next_poll_ms = now_ms + URGENT_POLL_INTERVAL_MS
        return []
    link.undelivered_polls = 0
    link.next_poll_ms = now_ms
    return [_change_control(state, now_ms, "it is not connected")]


def handle_leases(state: GatewayState, now_ms: int, answer: PrimaryLeaseAnswer) -> list[Effect]:
    """Store the leases on primaries, and continue the work that waited for them."""
    requested_ms = state.control.poll_sent_ms.get(answer.sequence)
    if requested_ms is None:
        return []
    renew(state.primary_leases, requested_ms, answer.leases)
    effects = primary_waits.apply_notes(state, now_ms, requested_ms, answer.waits)
    effects += commit_confirmations.resolve(state, now_ms)
    services = {note.service for note in answer.leases} | {note.service for note in answer.waits}
    for service in sorted(services):
        effects += routing.dispatch_queued(state, now_ms, service)
    return effects


def handle_answer(state: GatewayState, now_ms: int, answer: DirectoryAnswer) -> list[Effect]:
    """Apply the changes of the directory, the watermarks and the configuration."""
    link = state.control
    sent_ms = link.poll_sent_ms.pop(answer.sequence, None)
    if sent_ms is None:
        return []
    effects: list[Effect] = []
    if link.last_received_ms is None:
        effects.append(_log_event("info", "control_found", link.address, "serving"))
    link.last_received_ms = now_ms
    link.undelivered_polls = 0
    link.leader_contact_ms = max(link.leader_contact_ms or 0, sent_ms - answer.leader_age_ms)
    link.boot, link.revision = answer.control_boot, answer.revision
    link.peers = answer.controls or link.peers
    link.gateways = max(1, answer.gateways)
    effects += connection_admission.record_answer(state, now_ms, answer)
    if tuple(answer.neighbours) != link.neighbours:
        link.neighbours = tuple(answer.neighbours)
        link.ranked_holders.clear()
        effects += forwarding.preconnect(state)
    effects += _apply_contended(state, now_ms, answer.contended)
    # Of two upstreams at one address the earlier one goes first: it runs if it reported recently.
    for report, age_ms in sorted(answer.reports, key=lambda heard: heard.report.born_ms):
        copy_report(state.directory, sent_ms, report, age_ms)
        routing.add_pool(state, report.upstream, report.service)
    upstream_health.apply_told(state, sent_ms, answer.upstream_weights)
    for note in answer.watermarks:
        history = state.watermarks.setdefault(note.service, WatermarkHistory())
        add_watermark(history, sent_ms - note.age_ms, Position(note.term, note.offset))
    effects += _apply_primaries(state, now_ms, sent_ms, answer)
    if answer.document and answer.configuration_version > state.last_document_version:
        state.last_document_version = answer.configuration_version
        effects.append(ApplyDocument(answer.configuration_version, answer.document))
    if answer.leader_age_ms > MAX_LEADER_AGE_MS and state.configuration.version:
        text = f"it has had no contact with a leader for {answer.leader_age_ms} ms"
        effects.append(_change_control(state, now_ms, text))
        return effects
    nearest = _nearest_control(state, now_ms)
    if (
        nearest
        and nearest != link.address
        and _distance_to(state, nearest) < _distance_to(state, link.address)
    ):
        link.address = nearest
        effects.append(_log_event("info", "control_changed", nearest, "nearer"))
    return effects


def handle_configuration(state: GatewayState, event: ConfigurationReceived) -> list[Effect]:
    """Put a configuration in force, unless it is older than the one in force."""
    configuration = event.configuration
    if configuration.version <= state.configuration.version:
        return []
    inputs: dict[str, object] = {
        "previous": state.configuration.version,
        "routes": len(configuration.routes),
    }
    state.configuration = configuration
    effects = maintenance.close_removed_tenants(state)
    if configuration.tenants is not None:
        effects += forwarding.preconnect(state)
    effects += maintenance.renew_transactions(state, event.now_ms)
    if not inputs["previous"]:
        for session in list(state.sessions.values()):
            effects += sessions.run_waiting(state, event.now_ms, session)
    log_event = LogEvent(
        "info", "configuration_in_force", "", "", inputs, str(configuration.version)
    )
    return [log_event, *effects]


def is_ready(state: GatewayState) -> bool:
    """Tell whether the balancer should send new sessions to this gateway."""
    if state.draining_since_ms is not None or not state.configuration.version:
        return False
    if state.control.last_received_ms is None:
        return False
    if len(state.control.neighbours) > 1 and not any(
        holders.holds(state, service) for service in state.configuration.services
    ):
        return True
    if state.configuration.tenants is not None:
        return any(item.service in state.primaries for item in state.pools.values())
    return any(item.connections for item in state.pools.values())


def _has_started(state: GatewayState) -> bool:
    """Return whether this gateway has a configuration and the primary of each reported service."""
    if not state.configuration.version:
        return False
    reported = {item.service for item in state.pools.values()}
    known = state.primary_leases if state.settings.needs_primary_leases else state.primaries
    return all(service in known for service in state.configuration.services if service in reported)


def _waits_for_primary(state: GatewayState, now_ms: int) -> bool:
    """Return whether statements or commits wait for a lease on a primary, or are refused."""
    if state.unconfirmed_commits or state.primary_waits:
        return True
    for service, queue in state.queues.items():
        if not queue.primary:
            continue
        primary = state.primaries.get(service, "")
        if not primary_leases.covers_commit(state, service, primary, now_ms):
            return True
    return False


def preopen_connections(state: GatewayState, now_ms: int) -> list[Effect]:
    """Open a connection to each upstream that has none, so that first statements don't wait.

    With tenants none is opened: it would have to belong to the tenant of the next statement.
    """
    effects: list[Effect] = []
    if state.configuration.tenants is not None:
        return effects
    for item in state.pools.values():
        if item.connections or not pool.accepts_work(state, item):
            continue
        if not holders.holds(state, item.service):
            continue
        if not connection_admission.may_preopen(state, now_ms, item):
            continue
        effects += pool.open_connection(state, now_ms, item)
    return effects


def _writes_failing(state: GatewayState, now_ms: int) -> list[str]:
    """Return the services whose primary has not answered writes or can't be connected to."""
    limit_ms = state.settings.writes_failing_after_ms
    failing: list[str] = []
    for service in state.configuration.services:
        unanswered_ms = now_ms - state.unanswered_write_since_ms.get(service, now_ms)
        unreachable_ms = now_ms - state.unreachable_since_ms.get(service, now_ms)
        if max(unanswered_ms, unreachable_ms) >= limit_ms:
            failing.append(service)
    return failing


def _apply_contended(state: GatewayState, now_ms: int, contended: dict[str, int]) -> list[Effect]:
    """Close idle connections above this gateway's share to newly contended upstreams."""
    newly_contended = contended.keys() - state.control.contended.keys()
    state.control.contended = contended
    effects: list[Effect] = []
    for upstream in sorted(newly_contended):
        item = state.pools.get(upstream)
        if item is not None:
            effects += maintenance.close_excess(state, now_ms, item)
    return effects


def _apply_primaries(
    state: GatewayState, now_ms: int, sent_ms: int, answer: DirectoryAnswer
) -> list[Effect]:
    """Change to the upstreams that were most recently confirmed as primaries.

    Control's watermarks carry the time of confirmation, since a control process that was frozen or
    partitioned may name a former primary. Until a service has a primary, an upstream's own report
    that it is the primary counts.
    """
    effects: list[Effect] = []
    for note in answer.watermarks:
        primary_confirmed_ms = sent_ms - note.age_ms
        if primary_confirmed_ms <= state.primary_confirmed_ms.get(note.service, 0):
            continue
        state.primary_confirmed_ms[note.service] = primary_confirmed_ms
        if state.primaries.get(note.service) != note.upstream:
            effects += maintenance.change_primary(state, now_ms, note.service, note.upstream)
    for entry in state.directory.entries.values():
        report = entry.report
        if not report.is_primary or report.state is UpstreamState.GONE:
            continue
        if report.service not in state.primaries:
            effects += maintenance.change_primary(state, now_ms, report.service, report.upstream)
    return effects


def _change_control(state: GatewayState, now_ms: int, reason: str) -> LogEvent:
    """Back off the current control process and poll another one."""
    link = state.control
    link.backoff_until_ms[link.address] = now_ms + CONTROL_BACKOFF_MS
    previous = link.address
    _choose_control(state, now_ms)
    inputs: dict[str, object] = {"previous": previous, "reason": reason}
    return LogEvent("warning", "control_changed", "", "", inputs, link.address)


def _choose_control(state: GatewayState, now_ms: int) -> None:
    state.control.address = _next_control(state, now_ms)
    state.control.address_chosen_ms = now_ms


def _next_control(state: GatewayState, now_ms: int) -> str:
    nearest = _nearest_control(state, now_ms)
    if nearest:
        return nearest
    seeds = state.settings.control_addresses
    link = state.control
    link.next_seed += 1
    return seeds[link.next_seed % len(seeds)]


def _nearest_control(state: GatewayState, now_ms: int) -> str:
    """Return the address of the nearest control process that isn't backed off, or an empty text."""
    link = state.control
    best = ""
    for peer in link.peers:
        if now_ms < link.backoff_until_ms.get(peer.address, 0):
            continue
        if not best or _distance_to(state, peer.address) < _distance_to(state, best):
            best = peer.address
    return best


def _distance_to(state: GatewayState, address: str) -> int:
    """Return the distance of a control process; an unknown one is farthest."""
    for peer in state.control.peers:
        if peer.address == address:
            return distance(state.settings, peer.data_centre)
    return UNKNOWN_DISTANCE


def _log_event(level: str, event: str, address: str, outcome: str) -> LogEvent:
    return LogEvent(level, event, "", "", {"address": address}, outcome)
