"""The times of a gateway's planned stop.

At first everything goes on, until the balancer has noticed that this gateway isn't ready. Then
sessions are closed between operations. From half of the grace time on no transaction begins, and
open ones are closed where their clients pause. In its last sixth new work is refused as not run,
since it might not be answered in time. Shortly before the end every request that is still without
an answer gets one.
"""

from ..statements import Error, Fault, TransactionState
from .effects import AnswerStatement, Effect, FinishSession
from .state import GatewayState, Session

BALANCER_GRACE_MS = 2_500  # two failed health checks of the balancer, 1 s apart, and its delay
REFUSING_PARTS = 6  # new work is refused in the last one of so many parts of the grace time
ANSWERING_MS = 200  # for a tick, and for the last answers to be written
ENDING_MS = 100  # between the last moment at which the process ends and the platform's SIGKILL
FIRST_STATEMENT_MS = 300  # how long a new session is kept open for its first statement
TRANSACTION_PAUSE_MS = 250  # after such a pause an open transaction is closed
RETRY_AFTER_MS = 300  # sent with refusals; a new connection leads to another gateway


def refuses_work(state: GatewayState, now_ms: int) -> bool:
    """Tell whether new sessions and statements are refused, since the process ends soon."""
    if state.draining_since_ms is None:
        return False
    return now_ms >= _grace_ends_ms(state) - state.drain_grace_ms // REFUSING_PARTS


def refuses_transactions(state: GatewayState, now_ms: int) -> bool:
    """Tell whether new transactions are refused, since they might not come to their end."""
    since_ms = state.draining_since_ms
    return since_ms is not None and now_ms - since_ms >= state.drain_grace_ms // 2


def refusal(rolls_back: bool) -> Error:
    """Return the error of new work; ``rolls_back`` is whether it ends a transaction."""
    if rolls_back:
        return Error(Fault.ABORTED, "this gateway stops; the transaction was rolled back")
    return Error(Fault.BUSY, "this gateway stops; connect again", RETRY_AFTER_MS)


def answers_until_ms(state: GatewayState) -> int | None:
    """Return until when requests may run in a planned stop, or None if there is none."""
    if state.draining_since_ms is None:
        return None
    return _grace_ends_ms(state) - min(ANSWERING_MS, state.drain_grace_ms // REFUSING_PARTS)


def finish_idle(state: GatewayState, now_ms: int) -> list[Effect]:
    """Finish the sessions that a planned stop may close now."""
    return [
        FinishSession(session.number)
        for session in state.sessions.values()
        if may_close(state, now_ms, session)
    ]


def finish_answered(state: GatewayState, now_ms: int, effects: list[Effect]) -> list[Effect]:
    """Finish the sessions that ``effects`` answer, before their clients send the next statement."""
    if state.draining_since_ms is None:
        return []
    answered = {item.session: None for item in effects if isinstance(item, AnswerStatement)}
    sessions = [state.sessions[number] for number in answered if number in state.sessions]
    return [FinishSession(item.number) for item in sessions if may_close(state, now_ms, item)]


def may_close(state: GatewayState, now_ms: int, session: Session) -> bool:
    """Tell whether a planned stop may close a session now; nothing of it may be unanswered."""
    since_ms = state.draining_since_ms
    if since_ms is None or now_ms - since_ms < BALANCER_GRACE_MS:
        return False
    if session.current is not None or session.waiting or session.origin is not None:
        return False
    is_awaited = session.is_new and now_ms - session.last_active_ms < FIRST_STATEMENT_MS
    if is_awaited and not refuses_work(state, now_ms):
        return False
    if session.state is TransactionState.IDLE:
        return True
    pauses = now_ms - session.last_active_ms >= TRANSACTION_PAUSE_MS
    return pauses and refuses_transactions(state, now_ms)


def ends_ms(state: GatewayState) -> int:
    """Return when a planned stop that has started ends the process, whatever is left."""
    return _grace_ends_ms(state) - min(ENDING_MS, state.drain_grace_ms // REFUSING_PARTS)


def _grace_ends_ms(state: GatewayState) -> int:
    assert state.draining_since_ms is not None
    return state.draining_since_ms + state.drain_grace_ms


def is_drained(state: GatewayState, now_ms: int) -> bool:
    """Tell whether a planned stop may end the process.

    At the end of the grace time it doesn't wait for sessions whose clients send only a part of a
    statement or don't read their answers, nor for gateways that can't be reached.
    """
    since_ms = state.draining_since_ms
    if since_ms is None or now_ms - since_ms < BALANCER_GRACE_MS or state.requests:
        return False
    if now_ms >= ends_ms(state):
        return True
    return not state.sessions and not state.unsent_messages
