"""Deadlines of running work, and time-outs of connections."""

from ..exceptions import READ_FAILED, Failure
from . import classes, connections, outcomes, results, transactions
from .effects import Count, Effect
from .state import Connection, ConnectionState, Home, ProxyState
from .work import Work


def check_overdue(state: ProxyState, now_ms: int, home: Home) -> list[Effect]:
    """Answer work past its deadline, and close connections whose response is overdue.

    Work that runs past its deadline keeps its connection and its slot for a limited time, since the
    upstream is still running it.
    """
    effects: list[Effect] = []
    classes.reclassify(state, now_ms, home)
    for instance in home.instances.values():
        for connection in list(instance.connections.values()):
            work = connection.work
            if work is not None and not work.answered and now_ms >= work.deadline_ms:
                work.answered = True
                effects += _answer_overdue(state, now_ms, home, work)
            if _is_silent(state, now_ms, connection):
                effects.append(Count("upstream.silent_connections"))
                effects += results.fail_connection(state, now_ms, home, instance, connection)
    for number in transactions.idle_connections(state, home, now_ms):
        found = connections.find(state, number)
        if found[0] is not None:
            effects += results.fail_connection(state, now_ms, *found)
    return effects


def _is_silent(state: ProxyState, now_ms: int, connection: Connection) -> bool:
    """Return whether the response on a connection is overdue, so that it must be closed."""
    settings = state.settings
    waited_ms = now_ms - connection.sent_ms
    work = connection.work
    if work is None and connection.state is ConnectionState.OPENING:
        return waited_ms >= settings.open_timeout_ms
    if work is None:
        return bool(connection.internal_request) and waited_ms >= settings.ping_timeout_ms
    if work.transaction:
        return work.answered
    if work.answered:
        return now_ms - work.deadline_ms >= settings.short_attempt_ms
    is_short_read = work.operation == "read" and work.work_class != "long"
    return is_short_read and waited_ms >= settings.short_attempt_ms


def _answer_overdue(state: ProxyState, now_ms: int, home: Home, work: Work) -> list[Effect]:
    """Answer work that is still running at its deadline."""
    if work.transaction and work.operation != "commit":
        return outcomes.report_transaction_lost(state, now_ms, home, work)
    if work.operation in ("read", "begin"):
        message = "no upstream answered within the deadline; it changes no data, send it again"
        return outcomes.refuse(state, now_ms, home, work, Failure(READ_FAILED, message))
    return outcomes.report_unknown(state, now_ms, home, work)
