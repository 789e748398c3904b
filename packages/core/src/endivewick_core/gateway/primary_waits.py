"""Services without a primary whose failover waits for commits, as control tells of them.

The wait may last half a minute. A statement that only the primary can serve is refused meanwhile,
and its client is told to return after as long again as the wait has lasted. Clients that were
refused together return spread out.
"""

from ..messages import PrimaryWaitNote
from ..statements import Error, Fault
from . import pool, primary_leases
from .effects import Effect, LogEvent
from .requests import commits_writes
from .state import GatewayState, PrimaryWait, Request, Session

MIN_RETURN_MS = 1_000  # before a refused client returns
RETURN_STEPS = 16  # in which refused clients return, within half of the time that they are told
TOLD_VALIDITY_MS = 1_000  # of what control told, where the next polls get no answer


def apply_notes(
    state: GatewayState, now_ms: int, requested_ms: int, notes: list[PrimaryWaitNote]
) -> list[Effect]:
    """Replace the known waits by those in an answer of control; log those that begin or end."""
    known = state.primary_waits
    state.primary_waits = {
        note.service: PrimaryWait(
            now_ms - note.waited_ms, now_ms + note.left_ms, requested_ms + TOLD_VALIDITY_MS
        )
        for note in notes
    }
    effects: list[Effect] = []
    for note in notes:
        if note.service not in known:
            outcome = "refuses statements that need the primary"
            effects.append(_log_event(note.service, note.waited_ms, outcome))
    for service, wait in known.items():
        if service not in state.primary_waits:
            effects.append(_log_event(service, now_ms - wait.since_ms, "ended"))
    return effects


def refusal(
    state: GatewayState, now_ms: int, session: Session, request: Request, primary: str
) -> Error | None:
    """Return why a request that needs the primary is refused now, None if it may wait for it."""
    wait = state.primary_waits.get(request.route.service)
    if wait is None or now_ms > wait.told_until_ms:
        return None
    if _may_serve(state, now_ms, session, request, primary):
        return None
    waited_ms = now_ms - wait.since_ms
    text = f"no upstream with every commit is there; control has waited {waited_ms} ms for one"
    return Error(Fault.BUSY, text, _retry_after_ms(now_ms, wait, request))


def _may_serve(
    state: GatewayState, now_ms: int, session: Session, request: Request, primary: str
) -> bool:
    """Return whether the former primary, which control can't reach, may serve a request here."""
    if commits_writes(session, request) and not primary_leases.covers_commit(
        state, request.route.service, primary, now_ms
    ):
        return False
    item = state.pools.get(primary)
    if item is None or not pool.accepts_work(state, item):
        return False
    if now_ms < item.read_only_backoff_until_ms:
        return False
    return any(connection.is_open for connection in item.connections.values())


def _retry_after_ms(now_ms: int, wait: PrimaryWait, request: Request) -> int:
    longest_ms = max(MIN_RETURN_MS, wait.until_ms - now_ms)
    return_ms = min(longest_ms, max(MIN_RETURN_MS, now_ms - wait.since_ms))
    step = request.serial % RETURN_STEPS
    return return_ms + return_ms * step // (2 * RETURN_STEPS)


def _log_event(service: str, waited_ms: int, outcome: str) -> LogEvent:
    inputs: dict[str, object] = {"service": service, "waited_ms": waited_ms}
    return LogEvent("warning", "primary_awaited", "", "", inputs, outcome)
