"""Failover of a service's primary, decided by the leader of control.

Where commits wait for one replica, each acknowledged commit is on at least one replica, but it is
not known which, and control may not know of every replica. The leader therefore first makes sure
that no further commit is acknowledged: the primary has become a replica, or every lease on it has
ended. Until then the replicas go on to receive, so that none gets ahead of those that are known.
Then the leader pauses them, reads their positions, and orders the platform to promote one that has
every commit that may have been acknowledged; see ``commit_coverage``.

If there is none, the leader waits for the former primary, or for a replica that has them. If they
don't come, it promotes the most advanced replica. After a restart it waits in the same way while
the logs of too many upstreams on record can't be read; see ``missing_copies``.

The fencing token of an attempt is the index of its log entry, which is unique. If an earlier leader
left an attempt open, the new leader orders the primary again with a newer token, so that the
platform refuses a late order of the earlier leader.
"""

from ..commands import BeginFailover, EndFailover
from ..directory import DirectoryEntry, UpstreamState
from ..positions import Position
from ..statements import StatementKind, UpstreamReply
from ..upstream_links import SendStatements
from . import (
    answered_upstreams,
    commit_coverage,
    failover_reasons,
    missing_copies,
    primary_leases,
    probes,
    replica_pauses,
    replication,
)
from .effects import Effect, OrderFailover
from .events import FailoverAnswered, FailoverOutcome
from .failover_log import failover_event, promotion_risks, upstream_wait_ended
from .service_state import Failover, ProbeKind, Stage
from .state import ControlState, Role

ORDER_RETRY_MS = 400  # an order without a response is repeated with the same token
# For an upstream that has just reported to be the primary to be connected and to answer a probe.
FIRST_ANSWER_MS = 1_000
TARGET_PROBE_INTERVAL_MS = 100  # clients wait for the new primary to be noticed
PROMOTION_TIMEOUT_MS = 5_000  # then the failover is restarted with a newer token
# Longer than the platform takes to promote an upstream after it has accepted the order.
PROMOTION_SETTLING_MS = 1_200
# For the position of an upstream that never answered control: an attempt to connect that timed out,
# and another one.
UNKNOWN_REPLICA_MS = 2_200
# For the replicas to answer their pauses; until then it isn't known which logs are out of reach.
PAUSE_ANSWER_MS = 600
REFUSED_ORDER_RETRY_MS = 400  # before another attempt orders an upstream
# Before a primary that has stepped down leads again, since no replica has all of its commits.
RETURN_TO_PRIMARY_MS = 700
RESUME_TIMEOUT_MS = 3_000  # then the failover ends, and unreachable replicas are resumed later


def check_failovers(state: ControlState, now_ms: int) -> list[Effect]:
    """Start, advance and end failovers; only a leader that has applied its log does so."""
    if state.role is not Role.LEADER or state.leader_state is None:
        state.failover.running.clear()
        state.failover.receiving.clear()
        return []
    if state.commit_index < state.leader_state.start_index:
        return []
    effects: list[Effect] = []
    for service in sorted(probes.services(state)):
        attempt = state.failover.running.get(service)
        if attempt is None:
            effects += _start_if_needed(state, now_ms, service)
            continue
        effects += _advance(state, now_ms, attempt)
    replica_pauses.find_paused(state)
    return effects + replica_pauses.resume(state, now_ms)


def handle_stepped_down(
    state: ControlState, now_ms: int, upstream: str, reply: UpstreamReply
) -> list[Effect]:
    """Record that an upstream has become a replica: the previous primary, or one that still led."""
    if reply.error is not None or reply.status is None or reply.status.is_primary:
        return []
    entry = state.directory_state.directory.entries.get(upstream)
    if entry is None:
        return []
    attempt = state.failover.running.get(entry.report.service)
    if attempt is None:
        return []
    attempt.leading.pop(upstream, None)
    if attempt.previous != upstream:
        return []
    if attempt.stepped_down_born_ms != entry.report.born_ms:
        attempt.stepped_down_ms = now_ms
    attempt.stepped_down_born_ms = entry.report.born_ms
    attempt.primary_end = _end_of_primary(state, attempt, reply.status.received)
    return [failover_event(state, now_ms, attempt, "info", "primary_stepped_down")]


def handle_primary_confirmed(
    state: ControlState, now_ms: int, service: str, upstream: str
) -> list[Effect]:
    """Start to resume the replicas once the target of a failover is the primary."""
    attempt = state.failover.running.get(service)
    if attempt is None or state.leader_state is None:
        return []
    if attempt.stage not in (Stage.ORDERED, Stage.PROMOTING) or upstream != attempt.target:
        return []
    if attempt.has_earlier_orders and not _is_settled(attempt, now_ms):
        return []
    return _start_to_resume(state, now_ms, attempt, upstream)


def handle_order_answered(state: ControlState, event: FailoverAnswered) -> list[Effect]:
    """Process the platform's response to an order."""
    attempt = state.failover.running.get(event.service)
    if attempt is None or attempt.token != event.token:
        return []
    attempt.order_in_flight = False
    if event.outcome is FailoverOutcome.ACCEPTED:
        if attempt.stage is Stage.ORDERED:
            attempt.stage = Stage.PROMOTING
            attempt.accepted_ms = event.now_ms
        if attempt.target == attempt.previous:
            attempt.stepped_down_born_ms = None  # it leads again
        return [failover_event(state, event.now_ms, attempt, "info", "failover_accepted")]
    if event.outcome is FailoverOutcome.REFUSED:
        effects: list[Effect] = [
            failover_event(state, event.now_ms, attempt, "warning", "failover_refused")
        ]
        if attempt.target == attempt.previous:
            # It isn't running; it has to answer again before it can be ordered.
            attempt.stepped_down_born_ms = None
        effects += _restart(state, event.now_ms, attempt, "the order was refused")
        fresh = state.failover.running[event.service]
        fresh.order_due_ms = event.now_ms + REFUSED_ORDER_RETRY_MS
        return effects
    return [failover_event(state, event.now_ms, attempt, "warning", "failover_unanswered")]


def handle_failover_started(
    state: ControlState, now_ms: int, index: int, command: BeginFailover
) -> list[Effect]:
    """Use the index of the committed entry as the fencing token of this leader's failover."""
    attempt = state.failover.running.get(command.service)
    if attempt is None or command.holder != state.me.member_id:
        return []
    if attempt.stage is not Stage.PROPOSED:
        return []
    attempt.token = index
    attempt.stage = Stage.PAUSING
    return [failover_event(state, now_ms, attempt, "info", "failover_begun")]


def handle_failover_ended(state: ControlState, command: EndFailover) -> None:
    """Remove a failover whose end is committed."""
    attempt = state.failover.running.get(command.service)
    if attempt is not None and attempt.token == command.token:
        del state.failover.running[command.service]


def _end_of_primary(state: ControlState, attempt: Failover, received: Position) -> Position | None:
    """Return the end of the log with which the primary stepped down, None if it isn't known.

    An upstream that was a replica before, or started again without its log, tells nothing of it.
    """
    watermark = state.watch.watermarks.get(attempt.service)
    if watermark is None or watermark.upstream != attempt.previous:
        return None
    if not primary_leases.is_last_target(state, attempt.service, attempt.previous):
        return None
    return received if received >= watermark.position else None


def _start_if_needed(state: ControlState, now_ms: int, service: str) -> list[Effect]:
    previous = failover_reasons.last_primary(state, service)
    reason, may_keep_primary = failover_reasons.find_reason(state, now_ms, service, previous)
    if not reason:
        return []
    attempt = Failover(service, previous, reason, may_keep_primary, now_ms)
    record = state.replicated_state.failovers.get(service)
    attempt.is_takeover = record is not None and record.is_open
    attempt.has_earlier_orders = attempt.is_takeover
    state.failover.running[service] = attempt
    return _propose(state, now_ms, attempt)


def _advance(state: ControlState, now_ms: int, attempt: Failover) -> list[Effect]:
    if attempt.stage in (Stage.PROPOSED, Stage.ENDING):
        return []
    if attempt.stage in replica_pauses.PAUSED_STAGES and not primary_leases.is_confirmed_leader(
        state, now_ms
    ):
        return []
    if attempt.stage is Stage.PAUSING:
        return _choose_primary(state, now_ms, attempt)
    if attempt.stage is Stage.RESUMING:
        paused = attempt.service in state.failover.to_resume.values()
        if paused and now_ms - attempt.ordered_ms < RESUME_TIMEOUT_MS:
            return []
        return _finish(state, now_ms, attempt)
    if now_ms - attempt.ordered_ms >= PROMOTION_TIMEOUT_MS:
        attempt.slow_targets |= {attempt.target}
        return _restart(state, now_ms, attempt, "the promotion took too long")
    target = state.directory_state.directory.entries.get(attempt.target)
    if target is None or target.report.state is UpstreamState.GONE:
        return _restart(state, now_ms, attempt, "the target has departed")
    if target.report.born_ms != attempt.target_born_ms:
        return _restart(state, now_ms, attempt, "the target has started again")
    effects: list[Effect] = []
    if not attempt.keeps_primary:
        effects += replica_pauses.pause(state, now_ms, attempt) + _step_down(state, now_ms, attempt)
    if attempt.stage is Stage.ORDERED and not attempt.order_in_flight:
        if now_ms - attempt.ordered_ms >= ORDER_RETRY_MS:
            return effects + _repeat_order(state, now_ms, attempt)
    return effects + probes.probe_position(state, now_ms, target, TARGET_PROBE_INTERVAL_MS)


def _choose_primary(state: ControlState, now_ms: int, attempt: Failover) -> list[Effect]:
    """Order the promotion of an upstream once it is sure to have every acknowledged commit.

    Where the attempt may keep the primary and it has responded meanwhile, it is ordered instead.
    """
    primary = _confirmed_primary(state, now_ms, attempt)
    if primary and attempt.may_keep_primary:
        log_events = _end_unreported_wait(state, now_ms, attempt, "the return of the primary")
        return log_events + _keep_primary(state, now_ms, attempt, primary)
    if _may_answer_first_probe(state, now_ms, attempt):
        return []
    if not primary_leases.may_replace_primary(state, now_ms, attempt):
        # A primary that may be kept goes on to serve until the leases on it have ended.
        return [] if attempt.may_keep_primary else _step_down(state, now_ms, attempt)
    effects = replica_pauses.pause(state, now_ms, attempt)
    if attempt.pausing_since_ms is None:
        attempt.pausing_since_ms = now_ms
    effects += _check_unreported(state, now_ms, attempt)
    replicas = _answered_replicas(state, now_ms, attempt)
    target = _find_target(state, now_ms, attempt, replicas)
    if target:
        if now_ms < attempt.order_due_ms:
            return effects
        attempt.target = target
        return effects + _send_order(state, now_ms, attempt)
    if attempt.incomplete_since_ms is None:
        attempt.incomplete_since_ms = now_ms
    if replicas and not attempt.is_gap_logged:
        attempt.is_gap_logged = True
        effects.append(failover_event(state, now_ms, attempt, "warning", "commits_missing"))
    return effects + _return_to_primary(state, now_ms, attempt, primary)


def _may_answer_first_probe(state: ControlState, now_ms: int, attempt: Failover) -> bool:
    """Return whether an upstream that reports to be the primary has had no time to answer yet.

    After a restart its report may be the first one of its service.
    """
    if not attempt.may_keep_primary or attempt.service in state.watch.watermarks:
        return False
    entry = state.directory_state.directory.entries.get(attempt.previous)
    if entry is None or entry.is_apart or not entry.report.is_primary:
        return False
    return now_ms - attempt.started_ms < FIRST_ANSWER_MS


def _find_target(
    state: ControlState, now_ms: int, attempt: Failover, replicas: list[DirectoryEntry]
) -> str:
    """Return the replica to promote, or an empty text while there is none to promote yet."""
    if not replicas:
        return ""
    target, is_complete = commit_coverage.choose_target(state, now_ms, attempt, replicas)
    received = attempt.paused[target].received
    if is_complete:
        attempt.incomplete_since_ms = None
        return target
    return target if commit_coverage.is_wait_over(state, now_ms, attempt, received) else ""


def _answered_replicas(state: ControlState, now_ms: int, attempt: Failover) -> list[DirectoryEntry]:
    """Return the replicas that confirmed their pause, or none while one should be waited for."""
    unpaused = replica_pauses.unpaused_replicas(state, attempt)
    replicas = replica_pauses.replicas(state, attempt.service, attempt.previous)
    answered = [entry for entry in replicas if entry not in unpaused]
    waits = _waits_for_unpaused(state, now_ms, attempt, unpaused)
    waits = waits or _waits_for_unreported(now_ms, attempt)
    waits = waits or _waits_for_silent_gateways(state, now_ms, attempt)
    return [] if waits and not _has_end_of_primary(attempt, answered) else answered


def _waits_for_unpaused(
    state: ControlState, now_ms: int, attempt: Failover, unpaused: list[DirectoryEntry]
) -> bool:
    """Return whether to wait for replicas that have reported and have not confirmed their pause.

    One that never answered control may be a mere report. It is waited for only shortly.
    """
    if not unpaused:
        return False
    limit_ms = UNKNOWN_REPLICA_MS
    if any(answered_upstreams.has_answered(state, entry) for entry in unpaused):
        limit_ms = commit_coverage.unreachable_wait_ms(state, attempt)
    return now_ms - (attempt.pausing_since_ms or now_ms) < limit_ms


def _waits_for_silent_gateways(state: ControlState, now_ms: int, attempt: Failover) -> bool:
    """Return whether to wait for gateways that may have acknowledged commits out of reach."""
    waited_ms = now_ms - (attempt.pausing_since_ms or now_ms)
    if waited_ms >= commit_coverage.SILENT_GATEWAYS_MS:
        return False
    return waited_ms < commit_coverage.silent_gateways_wait_ms(state, now_ms, attempt)


def _check_unreported(state: ControlState, now_ms: int, attempt: Failover) -> list[Effect]:
    """Find the upstreams on record that have not reported, and log when a wait for them changes.

    They have been silent since the election of this leader, or are hidden by another report.
    """
    assert state.leader_state is not None
    copies = missing_copies.find(state, attempt)
    limit_ms = commit_coverage.unreported_wait_ms(state, attempt, copies)
    since_ms = state.leader_state.since_ms
    known = state.directory_state.directory.entries
    if any(upstream.upstream in known for upstream in copies.unreported):
        since_ms = attempt.pausing_since_ms or now_ms
    attempt.unreported = copies.unreported
    attempt.unreported_until_ms = since_ms + limit_ms if limit_ms else None
    if _waits_for_unreported(now_ms, attempt):
        pausing_ms = now_ms - (attempt.pausing_since_ms or now_ms)
        if attempt.is_wait_logged or pausing_ms < PAUSE_ANSWER_MS:
            return []
        attempt.is_wait_logged = True
        return [failover_event(state, now_ms, attempt, "warning", "upstreams_awaited")]
    ended_by = "the time limit" if limit_ms else "reports and answers of upstreams"
    return _end_unreported_wait(state, now_ms, attempt, ended_by)


def _waits_for_unreported(now_ms: int, attempt: Failover) -> bool:
    """Return whether to wait for upstreams on record that have not reported."""
    return attempt.unreported_until_ms is not None and now_ms < attempt.unreported_until_ms


def _end_unreported_wait(
    state: ControlState, now_ms: int, attempt: Failover, ended_by: str
) -> list[Effect]:
    """Log what ended the wait for upstreams that had not reported, if there was one."""
    if not attempt.is_wait_logged:
        return []
    attempt.is_wait_logged = False
    attempt.unreported_until_ms = None
    return [upstream_wait_ended(state, now_ms, attempt, ended_by)]


def _has_end_of_primary(attempt: Failover, replicas: list[DirectoryEntry]) -> bool:
    """Return whether a replica has all that the primary had when it stepped down."""
    end = attempt.primary_end
    received = [attempt.paused[entry.report.upstream].received for entry in replicas]
    return end is not None and any(position >= end for position in received)


def _return_to_primary(
    state: ControlState, now_ms: int, attempt: Failover, primary: str
) -> list[Effect]:
    """Let the former primary lead again if it has commits that no known replica has."""
    if primary and primary_leases.may_keep_primary(state, attempt):
        return _keep_primary(state, now_ms, attempt, primary)
    effects = _step_down(state, now_ms, attempt)
    assert attempt.incomplete_since_ms is not None
    waited_ms = now_ms - attempt.incomplete_since_ms
    if waited_ms < RETURN_TO_PRIMARY_MS or now_ms < attempt.order_due_ms:
        return effects
    if not primary_leases.has_stepped_down(state, attempt) or attempt.primary_end is None:
        return effects
    if not commit_coverage.has_every_commit(state, now_ms, attempt, attempt.primary_end):
        return effects
    attempt.target = attempt.previous
    return _send_order(state, now_ms, attempt)


def _keep_primary(
    state: ControlState, now_ms: int, attempt: Failover, primary: str
) -> list[Effect]:
    """Order the primary itself, so that a late order of an earlier leader is refused.

    Where the platform checks no tokens nothing was ordered, and the attempt ends.
    """
    if primary_leases.prove_leadership(state):
        return _start_to_resume(state, now_ms, attempt, primary)
    attempt.target = primary
    attempt.keeps_primary = True
    return _send_order(state, now_ms, attempt)


def _start_to_resume(
    state: ControlState, now_ms: int, attempt: Failover, primary: str
) -> list[Effect]:
    attempt.stage = Stage.RESUMING
    attempt.target = primary
    attempt.ordered_ms = now_ms
    for entry in replica_pauses.replicas(state, attempt.service, primary):
        state.failover.to_resume[entry.report.upstream] = attempt.service
    return [failover_event(state, now_ms, attempt, "info", "failover_promoted")]


def _step_down(state: ControlState, now_ms: int, attempt: Failover) -> list[Effect]:
    """Tell the previous primary, where it can be reached, to become a replica."""
    entry = state.directory_state.directory.entries.get(attempt.previous)
    if entry is None or attempt.target == attempt.previous:
        return []
    if attempt.stepped_down_born_ms == entry.report.born_ms:
        return []
    statement = probes.next_term_statement(state, attempt.service, StatementKind.STEP_DOWN)
    effects = probes.send_probe(state, now_ms, entry, statement, ProbeKind.STEP_DOWN)
    if any(isinstance(effect, SendStatements) for effect in effects):
        attempt.step_down_sent_ms = now_ms
    return effects


def _repeat_order(state: ControlState, now_ms: int, attempt: Failover) -> list[Effect]:
    """Repeat an order without a response, unless a replica has more of the log than its target.

    A replica that registered after the order may have received commits that the target lacks.
    """
    if attempt.target == attempt.previous:
        return _send_order(state, now_ms, attempt)
    replicas = _answered_replicas(state, now_ms, attempt)
    if attempt.target not in [entry.report.upstream for entry in replicas]:
        return []
    for entry in replicas:
        upstream = entry.report.upstream
        if attempt.paused[upstream].received > attempt.paused[attempt.target].received:
            reason = f"{upstream} has received more than the target"
            return _restart(state, now_ms, attempt, reason)
    received = attempt.paused[attempt.target].received
    if not commit_coverage.has_every_commit(state, now_ms, attempt, received):
        if not commit_coverage.is_wait_over(state, now_ms, attempt, received):
            return _restart(state, now_ms, attempt, "the target lacks commits")
    return _send_order(state, now_ms, attempt)


def _is_settled(attempt: Failover, now_ms: int) -> bool:
    """Return whether no order of an earlier attempt can be executed any more.

    The platform has seen the newer token of this attempt, and a promotion that it had accepted
    before has taken effect.
    """
    if attempt.accepted_ms is None:
        return False
    return now_ms - attempt.accepted_ms >= PROMOTION_SETTLING_MS


def _confirmed_primary(state: ControlState, now_ms: int, attempt: Failover) -> str:
    """Return the primary if it has responded since the failover began, else an empty text."""
    watermark = state.watch.watermarks.get(attempt.service)
    if watermark is None or watermark.probed_ms < attempt.started_ms:
        return ""
    # An answer to an earlier probe doesn't show that the primary has not stepped down.
    if attempt.step_down_sent_ms is not None and watermark.probed_ms <= attempt.step_down_sent_ms:
        return ""
    known = state.directory_state.directory.entries
    return watermark.upstream if watermark.upstream in known else ""


def _send_order(state: ControlState, now_ms: int, attempt: Failover) -> list[Effect]:
    # An order that is repeated with the same token is one promotion.
    is_first = attempt.stage is not Stage.ORDERED
    attempt.stage = Stage.ORDERED
    attempt.target_born_ms = state.directory_state.directory.entries[attempt.target].report.born_ms
    attempt.ordered_ms = now_ms
    attempt.order_in_flight = True
    order = OrderFailover(attempt.service, attempt.target, state.me.name, attempt.token)
    log_events: list[Effect] = [failover_event(state, now_ms, attempt, "info", "failover_ordered")]
    if is_first:
        log_events += promotion_risks(state, now_ms, attempt)
    return [order, *log_events]


def _restart(state: ControlState, now_ms: int, attempt: Failover, reason: str) -> list[Effect]:
    """Restart the failover with a newer token."""
    # Without fencing, the order of the attempt may still be carried out.
    may_keep_primary = attempt.may_keep_primary and not primary_leases.prove_leadership(state)
    fresh = Failover(attempt.service, attempt.previous, reason, may_keep_primary, now_ms)
    fresh.stepped_down_born_ms = attempt.stepped_down_born_ms
    fresh.is_takeover = attempt.is_takeover
    fresh.has_earlier_orders = attempt.has_earlier_orders or bool(attempt.ordered_ms)
    fresh.primary_end = attempt.primary_end
    fresh.stepped_down_ms = attempt.stepped_down_ms
    fresh.received = attempt.received
    fresh.incomplete_since_ms = attempt.incomplete_since_ms
    fresh.step_down_sent_ms = attempt.step_down_sent_ms
    fresh.slow_targets = attempt.slow_targets
    state.failover.running[attempt.service] = fresh
    return _propose(state, now_ms, fresh)


def _propose(state: ControlState, now_ms: int, attempt: Failover) -> list[Effect]:
    log_event = failover_event(state, now_ms, attempt, "warning", "failover_needed")
    command = BeginFailover(attempt.service, state.me.member_id)
    return [log_event, *replication.propose_now(state, now_ms, command)]


def _finish(state: ControlState, now_ms: int, attempt: Failover) -> list[Effect]:
    attempt.stage = Stage.ENDING
    state.failover.ended_ms[attempt.service] = now_ms
    if attempt.target == attempt.previous:
        state.failover.kept_ms[attempt.service] = now_ms
    log_event = failover_event(state, now_ms, attempt, "info", "failover_done")
    entry = state.directory_state.directory.entries.get(attempt.target)
    address = entry.report.address if entry is not None else ""
    command = EndFailover(attempt.service, attempt.token, attempt.target, address)
    return [log_event, *replication.propose_now(state, now_ms, command)]
