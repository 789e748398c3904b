"""The ends of a piece of work: its answer, its failure, or another attempt.

Only reads and begins, which change nothing, are run again.
"""

from ..exceptions import (
    OUTCOME_UNKNOWN,
    READ_FAILED,
    TRANSACTION_LOST,
    UPSTREAM_ERROR,
    Failure,
)
from ..messages import ForwardedAnswer
from . import answers, classes, deduplication
from .effects import Count, Effect
from .events import UpstreamAnswer
from .state import Home, ProxyState
from .work import Work

READ_ATTEMPTS = 3


def handle_broken_connection(
    state: ProxyState, now_ms: int, home: Home, work: Work
) -> list[Effect]:
    """Answer or repeat work whose connection broke."""
    if work.answered:
        return []
    if work.transaction:
        if work.operation == "commit":
            return report_unknown(state, now_ms, home, work)
        return report_transaction_lost(state, now_ms, home, work)
    if work.operation == "begin" and now_ms < work.deadline_ms:
        classes.queue_for(state, home, work).push_front(work)
        return []
    if work.operation == "read":
        return retry_read(state, now_ms, home, work)
    return report_unknown(state, now_ms, home, work)


def retry_read(state: ProxyState, now_ms: int, home: Home, work: Work) -> list[Effect]:
    """Run a read again within its deadline and its number of attempts.

    A short attempt that took too long may be long work, so it runs again as such.
    """
    if not work.declared and now_ms - work.sent_ms >= state.settings.long_run_ms:
        classes.record_run_time(state, work.run_time_key, now_ms - work.sent_ms)
        work.work_class = "long"
    if work.attempts < READ_ATTEMPTS and now_ms < work.deadline_ms:
        classes.queue_for(state, home, work).push_front(work)
        return [Count("reads.retries")]
    message = "no upstream answered the read; send it again"
    return refuse(state, now_ms, home, work, Failure(READ_FAILED, message))


def deliver(
    state: ProxyState, now_ms: int, home: Home, work: Work, reply: ForwardedAnswer
) -> list[Effect]:
    """Answer work with what an upstream returned, and keep it for resends."""
    deduplication.record(home, work, reply)
    return [
        answers.send(state, now_ms, home, work.origin, reply),
        answers.served(work, now_ms, "ok", reply.role),
    ]


def refuse(
    state: ProxyState,
    now_ms: int,
    home: Home,
    work: Work,
    failure: Failure,
    value: object = None,
) -> list[Effect]:
    """Answer work with a failure, and keep it for resends."""
    answer = answers.refuse(state, now_ms, home, work.origin, failure, value)
    deduplication.record(home, work, answer.answer)
    return [answer, answers.served(work, now_ms, failure.type.name, "")]


def report_unknown(state: ProxyState, now_ms: int, home: Home, work: Work) -> list[Effect]:
    """Answer work that may have run."""
    message = "the request may have run; read the data before you send it under a new request id"
    return refuse(state, now_ms, home, work, Failure(OUTCOME_UNKNOWN, message))


def report_transaction_lost(state: ProxyState, now_ms: int, home: Home, work: Work) -> list[Effect]:
    """Answer a statement whose transaction was rolled back."""
    message = "the transaction's connection was lost, so it was rolled back; begin it again"
    return refuse(state, now_ms, home, work, Failure(TRANSACTION_LOST, message))


def report_upstream_error(
    state: ProxyState, now_ms: int, home: Home, work: Work, answer: UpstreamAnswer
) -> list[Effect]:
    """Answer work that its upstream refused."""
    message = "the upstream refused the statement; see details"
    return refuse(state, now_ms, home, work, Failure(UPSTREAM_ERROR, message), answer.value)
