"""Outcomes of a piece of work: a response, a failure or another attempt.

Only reads and begins are attempted again, since they change no data.
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
    """Fail or retry work whose connection broke."""
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
    """Queue a read again, within its deadline and ``READ_ATTEMPTS``.

    An undeclared read whose attempt took ``long_run_ms`` may be long work, so it is queued as such.
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
    """Answer work with an upstream's response, and record it for repeated requests."""
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
    """Answer work with a failure, and record it for repeated requests."""
    answer = answers.refuse(state, now_ms, home, work.origin, failure, value)
    deduplication.record(home, work, answer.answer)
    return [answer, answers.served(work, now_ms, failure.type.name, "")]


def report_unknown(state: ProxyState, now_ms: int, home: Home, work: Work) -> list[Effect]:
    """Report that the outcome is unknown, since the work may have run."""
    message = "the request may have run; read the data before you send it under a new request id"
    return refuse(state, now_ms, home, work, Failure(OUTCOME_UNKNOWN, message))


def report_transaction_lost(state: ProxyState, now_ms: int, home: Home, work: Work) -> list[Effect]:
    """Report that the transaction of a statement was rolled back with its connection."""
    message = "the transaction's connection was lost, so it was rolled back; begin it again"
    return refuse(state, now_ms, home, work, Failure(TRANSACTION_LOST, message))


def report_upstream_error(
    state: ProxyState, now_ms: int, home: Home, work: Work, answer: UpstreamAnswer
) -> list[Effect]:
    """Report that the upstream refused the work."""
    message = "the upstream refused the statement; see details"
    return refuse(state, now_ms, home, work, Failure(UPSTREAM_ERROR, message), answer.value)
