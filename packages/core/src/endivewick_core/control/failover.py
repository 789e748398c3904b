"""Failover of a service's primary, decided by the leader of control.

Where commits wait for one replica, an acknowledged commit is on at least one of them, and nobody
knows which. So the leader first pauses every replica: from then on nothing more is acknowledged,
and the replica that received most holds every acknowledged commit. Only then is it named to the
platform. Each attempt has the index of its log entry as its fencing token, which no other attempt
can have; an attempt that a former leader left open is ended by naming the primary with a newer
token, so that a late order of the former leader is refused.
"""

from ..commands import BeginFailover, EndFailover
from ..directory import DirectoryEntry, UpstreamState
from ..positions import Position
from ..statements import RESUME, StatementKind, UpstreamReply, own
from . import directory, questions, replication
from .effects import Effect, Note, OrderFailover
from .events import FailoverAnswered, FailoverOutcome
from .service_state import Failover, Question, Stage
from .state import ControlState, Role

SUSPECT_MS = 600  # overdue answers of this length, seen by a majority of control, are a failure
ORDER_RETRY_MS = 400  # an order without an answer is repeated with the same token
PROMOTE_LIMIT_MS = 5_000  # a promotion that takes longer is begun anew with a newer token
RESUME_LIMIT_MS = 3_000  # a replica that can't be reached is resumed after the failover's end
WRITES_PAUSE_MS = 8_000  # after a failover, so that writes that waited for it are answered first


def check_failovers(state: ControlState, now_ms: int) -> list[Effect]:
    """Begin, go on with and end failovers; only a leader that has applied its log does so."""
    if state.role is not Role.LEADER or state.leading is None:
        state.failover.running.clear()
        return []
    if state.commit_index < state.leading.start_index:
        return []
    effects: list[Effect] = []
    for service in sorted(questions.services(state)):
        running = state.failover.running.get(service)
        if running is None:
            effects += _begin_where_needed(state, now_ms, service)
            continue
        effects += _go_on(state, now_ms, running)
    return effects + _resume(state, now_ms)


def handle_paused(
    state: ControlState, now_ms: int, upstream: str, reply: UpstreamReply
) -> list[Effect]:
    """Record how far a paused replica had received."""
    if reply.error is not None or reply.status is None:
        return []
    entry = state.spread.directory.entries.get(upstream)
    running = state.failover.running.get(entry.report.service) if entry is not None else None
    if running is not None and running.stage is Stage.PAUSING:
        running.received[upstream] = reply.status.received
    return []


def handle_resumed(
    state: ControlState, now_ms: int, upstream: str, reply: UpstreamReply
) -> list[Effect]:
    """Forget a replica that receives again."""
    if reply.error is None:
        state.failover.to_resume.pop(upstream, None)
    return []


def handle_leading(state: ControlState, now_ms: int, service: str, upstream: str) -> list[Effect]:
    """Let the replicas receive again once the target of a failover leads."""
    running = state.failover.running.get(service)
    if running is None or state.leading is None:
        return []
    if running.stage in (Stage.ORDERED, Stage.PROMOTING) and upstream == running.target:
        running.stage = Stage.RESUMING
        running.ordered_ms = now_ms
        for entry in _replicas(state, service, upstream):
            state.failover.to_resume[entry.report.upstream] = service
        return [_note("info", "failover_promoted", running, now_ms)]
    return []


def handle_answered(state: ControlState, event: FailoverAnswered) -> list[Effect]:
    """Take the platform's answer to an order."""
    running = state.failover.running.get(event.service)
    if running is None or running.token != event.token:
        return []
    running.order_in_flight = False
    if event.outcome is FailoverOutcome.ACCEPTED:
        if running.stage is Stage.ORDERED:
            running.stage = Stage.PROMOTING
        return [_note("info", "failover_accepted", running, event.now_ms)]
    if event.outcome is FailoverOutcome.REFUSED:
        effects: list[Effect] = [_note("warning", "failover_refused", running, event.now_ms)]
        return effects + _restart(state, event.now_ms, running, "the order was refused")
    return [_note("warning", "failover_unanswered", running, event.now_ms)]


def handle_begun(
    state: ControlState, now_ms: int, index: int, command: BeginFailover
) -> list[Effect]:
    """Take the index of the committed entry as the token of this leader's failover."""
    running = state.failover.running.get(command.service)
    if running is None or command.holder != state.me.member_id:
        return []
    if running.stage is not Stage.PROPOSED:
        return []
    running.token = index
    running.stage = Stage.PAUSING
    return [_note("info", "failover_begun", running, now_ms)]


def handle_ended(state: ControlState, command: EndFailover) -> None:
    """Forget a failover whose end is in the log."""
    running = state.failover.running.get(command.service)
    if running is not None and running.token == command.token:
        del state.failover.running[command.service]


def _begin_where_needed(state: ControlState, now_ms: int, service: str) -> list[Effect]:
    mark = state.watch.marks.get(service)
    previous = mark.upstream if mark else ""
    reason, keeps_primary = _reason(state, now_ms, service, previous)
    if not reason:
        return []
    running = Failover(service, previous, reason, keeps_primary, now_ms)
    state.failover.running[service] = running
    return _propose(state, now_ms, running)


def _reason(state: ControlState, now_ms: int, service: str, previous: str) -> tuple[str, bool]:
    """Return why the primary must change, or an empty text, and whether it may stay after all."""
    record = state.machine.failovers.get(service)
    if record is not None and record.is_open:
        return "a former leader left a failover open", True
    entry = state.spread.directory.entries.get(previous)
    if entry is None:
        return "", False
    if not _is_ready(entry):
        others = [item for item in _replicas(state, service, previous) if _is_ready(item)]
        return ("the primary leaves", False) if others else ("", False)
    failing_ms = questions.failing_ms(state, now_ms, service)
    if failing_ms >= SUSPECT_MS and _majority_fails(state, now_ms, service, previous):
        return f"the primary has not answered for {failing_ms} ms", True
    ended_ms = state.failover.ended_ms.get(service, 0)
    if now_ms - ended_ms >= WRITES_PAUSE_MS and _most_writes_fail(state, now_ms, service):
        return "most gateways get no answers to writes", False
    return "", False


def _most_writes_fail(state: ControlState, now_ms: int, service: str) -> bool:
    """Tell whether most gateways, and two at least, miss the primary's answers to writes.

    So it is where the primary is cut off from its replicas, or from most gateways, and yet answers
    control.
    """
    failing = questions.gateways_failing(state, service)
    for peer in questions.heard_peers(state, now_ms):
        failing += sum(item.gateways_failing for item in peer.primaries if item.service == service)
    return failing >= 2 and failing * 2 > directory.count_gateways(state, now_ms)


def _majority_fails(state: ControlState, now_ms: int, service: str, primary: str) -> bool:
    """Tell whether most control processes that were heard lately miss the primary's answers."""
    asked, failing = 1, 1
    for peer in questions.heard_peers(state, now_ms):
        asked += 1
        for health in peer.primaries:
            if health.service == service and health.upstream == primary and health.failing_ms:
                failing += 1
    return failing * 2 > asked


def _go_on(state: ControlState, now_ms: int, running: Failover) -> list[Effect]:
    if running.stage in (Stage.PROPOSED, Stage.ENDING):
        return []
    if running.stage is Stage.PAUSING:
        return _pause(state, now_ms, running)
    if running.stage is Stage.RESUMING:
        paused = running.service in state.failover.to_resume.values()
        if paused and now_ms - running.ordered_ms < RESUME_LIMIT_MS:
            return []
        return _end(state, now_ms, running)
    if now_ms - running.ordered_ms >= PROMOTE_LIMIT_MS:
        return _restart(state, now_ms, running, "the promotion took too long")
    if running.stage is Stage.ORDERED and not running.order_in_flight:
        if now_ms - running.ordered_ms >= ORDER_RETRY_MS:
            return _order(state, now_ms, running)
    target = state.spread.directory.entries.get(running.target)
    if target is None:
        return _restart(state, now_ms, running, "the target is gone")
    return questions.ask_position(state, now_ms, target)


def _pause(state: ControlState, now_ms: int, running: Failover) -> list[Effect]:
    """Pause every replica; name the one that received most once all have answered."""
    leading = _answers(state, now_ms, running)
    if leading and running.keeps_primary:
        running.target = leading
        return _order(state, now_ms, running)
    replicas = _replicas(state, running.service, running.previous)
    term = questions.newest_term(state, running.service) + 1
    pause = own(StatementKind.PAUSE, argument=str(term))
    effects: list[Effect] = []
    for entry in replicas:
        upstream = entry.report.upstream
        if upstream in running.received:
            continue
        state.failover.to_resume[upstream] = running.service
        effects += questions.ask(state, now_ms, entry, pause, Question.PAUSE)
    missing = [item for item in replicas if item.report.upstream not in running.received]
    if missing or not replicas:
        return effects
    running.target = _choose(replicas, running.received)
    return effects + _order(state, now_ms, running)


def _answers(state: ControlState, now_ms: int, running: Failover) -> str:
    """Return the primary where it has answered since the failover began, or an empty text."""
    mark = state.watch.marks.get(running.service)
    if mark is None or mark.asked_ms < running.started_ms:
        return ""
    return mark.upstream


def _choose(replicas: list[DirectoryEntry], received: dict[str, Position]) -> str:
    """Return the replica that received most; of equals, one that stays."""
    best = max(
        replicas,
        key=lambda item: (
            received[item.report.upstream],
            _is_ready(item),
            item.report.upstream,
        ),
    )
    return best.report.upstream


def _order(state: ControlState, now_ms: int, running: Failover) -> list[Effect]:
    running.stage = Stage.ORDERED
    running.ordered_ms = now_ms
    running.order_in_flight = True
    order = OrderFailover(running.service, running.target, state.me.name, running.token)
    return [order, _note("info", "failover_ordered", running, now_ms)]


def _restart(state: ControlState, now_ms: int, running: Failover, reason: str) -> list[Effect]:
    """Begin the failover anew with a newer token."""
    fresh = Failover(running.service, running.previous, reason, running.keeps_primary, now_ms)
    state.failover.running[running.service] = fresh
    return _propose(state, now_ms, fresh)


def _propose(state: ControlState, now_ms: int, running: Failover) -> list[Effect]:
    note = _note("warning", "failover_needed", running, now_ms)
    command = BeginFailover(running.service, state.me.member_id)
    return [note, *replication.propose_now(state, now_ms, command)]


def _end(state: ControlState, now_ms: int, running: Failover) -> list[Effect]:
    running.stage = Stage.ENDING
    state.failover.ended_ms[running.service] = now_ms
    note = _note("info", "failover_done", running, now_ms)
    command = EndFailover(running.service, running.token, running.target)
    return [note, *replication.propose_now(state, now_ms, command)]


def _resume(state: ControlState, now_ms: int) -> list[Effect]:
    """Let the replicas receive again whose failover is over."""
    effects: list[Effect] = []
    for upstream, service in list(state.failover.to_resume.items()):
        running = state.failover.running.get(service)
        if running is not None and running.stage not in (Stage.RESUMING, Stage.ENDING):
            continue
        entry = state.spread.directory.entries.get(upstream)
        if entry is None or entry.report.state is UpstreamState.GONE:
            del state.failover.to_resume[upstream]
            continue
        effects += questions.ask(state, now_ms, entry, RESUME, Question.RESUME)
    return effects


def _replicas(state: ControlState, service: str, primary: str) -> list[DirectoryEntry]:
    """Return the upstreams that may hold an acknowledged commit, but for the primary."""
    return [
        entry
        for entry in questions.upstreams_of(state, service)
        if entry.report.upstream != primary
    ]


def _is_ready(entry: DirectoryEntry) -> bool:
    return entry.report.state is UpstreamState.READY


def _note(level: str, name: str, running: Failover, now_ms: int) -> Note:
    received = {name: f"{item.term}.{item.offset}" for name, item in running.received.items()}
    text = (
        f"{running.service}: {running.reason}; stage {running.stage.value}, token {running.token}, "
        f"from {running.previous or 'unknown'} to {running.target or 'undecided'}, received "
        f"{received}, {now_ms - running.started_ms} ms after its start"
    )
    return Note(level, name, text)
