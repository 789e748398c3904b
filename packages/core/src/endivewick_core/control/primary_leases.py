"""Leases on primaries at a control process; see ``endivewick_core.primary_leases``.

The leader grants them while a quorum confirms its leadership and the primary answers its probes.
The other control processes request them from the leader, and pass them on to gateways, which
acknowledge commits only under a lease. An order to promote another upstream waits until the leases
that this or an earlier leader granted have ended, or until the former primary has stepped down.
"""

from ..directory import DirectoryEntry, UpstreamState
from ..messages import PrimaryLeaseAnswer, PrimaryLeaseQuestion
from ..primary_leases import PrimaryLease, covers, renew, to_notes
from . import primary_waits, probes, replication
from .effects import Effect, Send
from .service_state import Failover, PrimaryWatermark, Stage
from .state import ControlState, Role

REQUEST_INTERVAL_MS = 200  # a fraction of a lease
URGENT_REQUEST_INTERVAL_MS = 100  # while a lease is missing, since clients wait for it
# Between the leader's probes of a primary, from which a lease counts.
LEASED_PROBE_INTERVAL_MS = 200
REQUESTS_KEPT = 32  # more than are sent in the longest round trip
# A leader whose leadership was last confirmed longer ago orders nothing, since another one may.
ORDER_VALIDITY_MS = 700
# If only the leader gets no responses from the primary, it trusts the others' probes after this
# long. By then a primary that has failed is overdue at the others too.
TRUST_OTHERS_AFTER_MS = 1_000


def are_granted(state: ControlState) -> bool:
    """Return whether this control process grants leases on primaries."""
    return state.settings.primary_lease_ms > 0


def prove_leadership(state: ControlState) -> bool:
    """Return whether only a lease proves that an upstream that accepts transactions is primary.

    That is so where the platform leaves former primaries running.
    """
    return are_granted(state) and not state.settings.fences_primaries


def check_leases(state: ControlState, now_ms: int) -> list[Effect]:
    """Grant leases as leader, or request them from the leader when due."""
    lease_state = state.primary_leases
    if not are_granted(state):
        return []
    if state.role is Role.LEADER:
        _grant(state, now_ms)
        return []
    if now_ms < lease_state.request_due_ms:
        return []
    address = replication.member_address(state, state.leader) if state.leader else ""
    if not address:
        return []
    interval_ms = REQUEST_INTERVAL_MS
    if any(not _is_current(state, now_ms, service) for service in state.watch.watermarks):
        interval_ms = URGENT_REQUEST_INTERVAL_MS
    lease_state.request_due_ms = now_ms + interval_ms
    lease_state.sequence += 1
    lease_state.requested_ms[lease_state.sequence] = now_ms
    lease_state.requested_ms.pop(lease_state.sequence - REQUESTS_KEPT, None)
    return [Send(address, PrimaryLeaseQuestion(state.settings.me.address, lease_state.sequence))]


def _is_current(state: ControlState, now_ms: int, service: str) -> bool:
    """Return whether the lease of a service is on its present primary and has not ended."""
    watermark = state.watch.watermarks[service]
    lease = state.primary_leases.leases.get(service)
    if lease is None or lease.upstream != watermark.upstream:
        return False
    return now_ms < lease.valid_until_ms


def handle_question(
    state: ControlState, now_ms: int, question: PrimaryLeaseQuestion
) -> list[Effect]:
    """Answer another control process with the leases, if this process is the leader."""
    if state.role is not Role.LEADER or not are_granted(state):
        return []
    _grant(state, now_ms)
    return [Send(question.sender, make_answer(state, now_ms, question.sequence))]


def handle_answer(state: ControlState, now_ms: int, answer: PrimaryLeaseAnswer) -> list[Effect]:
    """Store the leases in the leader's answer."""
    lease_state = state.primary_leases
    requested_ms = lease_state.requested_ms.pop(answer.sequence, None)
    if requested_ms is not None:
        renew(lease_state.leases, requested_ms, answer.leases)
        lease_state.waits, lease_state.waits_told_ms = answer.waits, now_ms
    return []


def make_answer(state: ControlState, now_ms: int, sequence: int) -> PrimaryLeaseAnswer:
    """Return what another process is told of the primaries in response to its request."""
    leases = to_notes(state.primary_leases.leases, now_ms)
    return PrimaryLeaseAnswer(sequence, leases, primary_waits.notes(state, now_ms))


def probe_interval_ms(state: ControlState) -> int:
    """Return how often this process probes each primary."""
    if are_granted(state) and state.role is Role.LEADER:
        return LEASED_PROBE_INTERVAL_MS
    return probes.PROBE_INTERVAL_MS


def covers_watermark(state: ControlState, service: str, watermark: PrimaryWatermark) -> bool:
    """Return whether the upstream of a watermark was surely the primary when it was probed."""
    if not prove_leadership(state):
        return True
    leases = state.primary_leases.leases
    return covers(leases, service, watermark.upstream, watermark.probed_ms)


def is_possible_primary(state: ControlState, entry: DirectoryEntry) -> bool:
    """Return whether an upstream that accepts transactions may be its service's primary.

    Where former primaries aren't fenced, several upstreams may accept them. The primary is the
    target of the last promotion, or its successor at the same address.
    """
    if not prove_leadership(state):
        return True
    service = entry.report.service
    attempt = state.failover.running.get(service)
    if attempt is not None and attempt.target:
        return entry.report.upstream == attempt.target
    record = state.replicated_state.failovers.get(service)
    return record is None or not record.address or record.address == entry.report.address


def is_confirmed_leader(state: ControlState, now_ms: int) -> bool:
    """Return whether a quorum confirmed this leader so lately that no other one orders yet."""
    confirmed_ms = replication.confirmed_start_ms(state)
    return confirmed_ms is not None and now_ms - confirmed_ms <= ORDER_VALIDITY_MS


def may_replace_primary(state: ControlState, now_ms: int, attempt: Failover) -> bool:
    """Return whether another upstream may be promoted: no lease on the former primary is left."""
    if not are_granted(state):
        return True
    assert state.leader_state is not None
    margin_ms = state.settings.lease_margin_ms
    # A lease on an upstream that an earlier leader promoted doesn't end with the step down.
    is_known = is_last_target(state, attempt.service, attempt.previous)
    if has_stepped_down(state, attempt) and is_known and not attempt.is_takeover:
        return now_ms - state.leader_state.since_ms > ORDER_VALIDITY_MS + margin_ms
    if not have_earlier_ended(state, now_ms):
        return False
    lease = state.primary_leases.leases.get(attempt.service)
    return lease is None or now_ms > lease.valid_until_ms + margin_ms


def may_keep_primary(state: ControlState, attempt: Failover) -> bool:
    """Return whether the former primary, which is still the primary, may be ordered itself.

    Where the platform checks no tokens, an earlier order may still be executed.
    """
    return not prove_leadership(state) or not attempt.has_earlier_orders


def is_last_target(state: ControlState, service: str, upstream: str) -> bool:
    """Return whether an upstream is the target of a service's last failover, or its successor.

    Its log stays at its address when it restarts under another name.
    """
    attempt = state.failover.running.get(service)
    if attempt is not None and attempt.stage in (Stage.RESUMING, Stage.ENDING):
        return attempt.target == upstream
    record = state.replicated_state.failovers.get(service)
    if record is None or not record.primary or record.primary == upstream:
        return True
    entry = state.directory_state.directory.entries.get(upstream)
    return entry is not None and entry.report.address == record.address


def have_earlier_ended(state: ControlState, now_ms: int) -> bool:
    """Return whether every lease that an earlier leader granted has ended."""
    assert state.leader_state is not None
    led_ms = now_ms - state.leader_state.since_ms
    return led_ms > state.settings.primary_lease_ms + state.settings.lease_margin_ms


def has_stepped_down(state: ControlState, attempt: Failover) -> bool:
    """Return whether the former primary has become a replica since it last started."""
    entry = state.directory_state.directory.entries.get(attempt.previous)
    if entry is None or entry.report.state is UpstreamState.GONE:
        return False
    return attempt.stepped_down_born_ms == entry.report.born_ms


def _grant(state: ControlState, now_ms: int) -> None:
    """Renew the lease of every service whose primary is known and isn't being replaced."""
    leader_state = state.leader_state
    if leader_state is None or state.commit_index < leader_state.start_index:
        return
    confirmed_ms = replication.confirmed_start_ms(state)
    if confirmed_ms is None:
        return
    for service in state.replicated_state.configuration.services:
        upstream, known_ms = _known_primary(state, now_ms, service)
        if not upstream or not _may_grant(state, service, upstream):
            continue
        until_ms = state.settings.primary_lease_ms + min(confirmed_ms, known_ms)
        lease = PrimaryLease(upstream, until_ms, _leadership(state, service))
        _renew(state, now_ms, service, lease)


def _leadership(state: ControlState, service: str) -> int:
    """Return the token of the failover with which the present primary began to lead, or 0."""
    record = state.replicated_state.failovers.get(service)
    if record is None:
        return 0
    attempt = state.failover.running.get(service)
    if attempt is not None and attempt.target != record.primary:
        return attempt.token
    return record.leadership


def _renew(state: ControlState, now_ms: int, service: str, lease: PrimaryLease) -> None:
    leases = state.primary_leases.leases
    known = leases.get(service)
    # Without fencing, the lease of another upstream must have ended, whoever promoted this one.
    if known is not None and known.upstream != lease.upstream and prove_leadership(state):
        if now_ms <= known.valid_until_ms:
            return
    if known is None or known.valid_until_ms < lease.valid_until_ms:
        leases[service] = lease


def _known_primary(state: ControlState, now_ms: int, service: str) -> tuple[str, int]:
    """Return a service's primary and when it was last known to serve, or an empty name.

    A leader that can't reach the primary since its election takes the others' word for it.
    """
    watermark = state.watch.watermarks.get(service)
    if watermark is not None and is_last_target(state, service, watermark.upstream):
        return watermark.upstream, _primary_known_ms(state, now_ms, service, watermark)
    return probes.primary_of_majority(state, now_ms, service), now_ms


def _may_grant(state: ControlState, service: str, upstream: str) -> bool:
    entry = state.directory_state.directory.entries.get(upstream)
    if entry is None or not is_possible_primary(state, entry):
        return False
    if not is_last_target(state, service, upstream):
        return False
    attempt = state.failover.running.get(service)
    if attempt is not None:
        return attempt.stage in (Stage.RESUMING, Stage.ENDING)
    record = state.replicated_state.failovers.get(service)
    return record is None or not record.is_open


def _primary_known_ms(
    state: ControlState, now_ms: int, service: str, watermark: PrimaryWatermark
) -> int:
    """Return when the primary was last known to serve.

    A lease ends soon after the primary has failed, so that its replacement need not wait.
    """
    if probes.failing_ms(state, now_ms, service) < TRUST_OTHERS_AFTER_MS:
        return watermark.probed_ms
    if probes.majority_finds_failing(state, now_ms, service, watermark.upstream):
        return watermark.probed_ms
    return now_ms
