"""Completion of work: upstream responses and broken connections.

A response of the primary is accepted only while the home is active, that is while its lease is
valid and the response's upstream and term are those of the configuration. All other work that may
have run is reported as ``outcome_unknown``.
"""

from typing import Any, NamedTuple

from ..messages import ForwardedAnswer
from ..positions import Position, covers
from . import (
    acknowledgement,
    answers,
    classes,
    connections,
    deduplication,
    dispatch,
    outcomes,
    replicas,
    transactions,
)
from .effects import CloseConnection, Count, Effect
from .events import ConnectionBroke, ConnectionOpened, UpstreamAnswer, UpstreamAnswered
from .state import Connection, ConnectionState, Home, Instance, ProxyState
from .work import Work

STATUS_OK = 200
MEAN_RUN_SMOOTHING = 0.05


class Completion(NamedTuple):
    """A piece of work, the response of its upstream and the connection that it ran on."""

    home: Home
    instance: Instance
    connection: Connection
    work: Work
    answer: UpstreamAnswer


def handle_opened(state: ProxyState, event: ConnectionOpened) -> list[Effect]:
    """Ping a new connection, which is given work after it has answered."""
    home, instance, connection = connections.find(state, event.connection)
    if home is None or instance is None or connection is None:
        return [CloseConnection(event.connection)]
    connection.state = ConnectionState.CHECKING
    connection.opened_ms = event.now_ms
    return [connections.send_internal(event.now_ms, connection, "ping", {})]


def handle_answered(state: ProxyState, event: UpstreamAnswered) -> list[Effect]:
    """Handle an upstream's response to the request in flight on a connection."""
    home, instance, connection = connections.find(state, event.connection)
    if home is None or instance is None or connection is None:
        return [Count("upstream.late_answer")]
    _update_upstream(state, home, instance, connection, event)
    effects: list[Effect] = []
    work = connection.work
    if work is None:
        connection.suspect = False
        connections.make_idle(instance, connection)
    else:
        connection.work = None
        dispatch.release_slot(home, instance, work)
        _record_run_time(state, home, work, event.now_ms)
        completion = Completion(home, instance, connection, work, event.answer)
        effects += _finish(state, event.now_ms, completion)
    effects += acknowledgement.check_awaiting(state, event.now_ms, home)
    return effects + dispatch.dispatch(state, event.now_ms, home)


def handle_broke(state: ProxyState, event: ConnectionBroke) -> list[Effect]:
    """Handle a connection that failed or was closed by its upstream."""
    home, instance, connection = connections.find(state, event.connection)
    if home is None or instance is None or connection is None:
        return []
    if not connection.last_received_ms:
        instance.consecutive_refusals += 1
        instance.next_open_ms = event.now_ms + connections.OPEN_RETRY_MS
    return fail_connection(state, event.now_ms, home, instance, connection)


def fail_connection(
    state: ProxyState, now_ms: int, home: Home, instance: Instance, connection: Connection
) -> list[Effect]:
    """Close a connection, and retry or fail the work in flight on it."""
    connections.remove(state, instance, connection)
    connections.suspect_siblings(instance)
    effects: list[Effect] = [CloseConnection(connection.number)]
    work = connection.work
    if work is not None:
        connection.work = None
        dispatch.release_slot(home, instance, work)
    if connection.transaction:
        transactions.end(home, connection.transaction)
    if work is not None:
        effects += outcomes.handle_broken_connection(state, now_ms, home, work)
    return effects


def _update_upstream(
    state: ProxyState,
    home: Home,
    instance: Instance,
    connection: Connection,
    event: UpstreamAnswered,
) -> None:
    answer = event.answer
    instance.last_received_ms = event.now_ms
    instance.consecutive_refusals = 0
    connection.last_received_ms = event.now_ms
    if answer.role:
        instance.role = answer.role
    if not answer.term:
        return
    position = Position(answer.term, answer.offset)
    replicas.record_position(instance, position)
    group = state.replicated_state.groups[home.group]
    is_primary = instance.name == group.primary and answer.term == group.term
    if is_primary and answer.role == "primary":
        replicas.sample_primary(home, connection.sent_ms, position)


def _record_run_time(state: ProxyState, home: Home, work: Work, now_ms: int) -> None:
    run_ms = now_ms - work.sent_ms
    if work.operation in ("read", "write"):
        classes.record_run_time(state, work.run_time_key, run_ms)
    if work.work_class != "long":
        home.mean_run_ms += (run_ms - home.mean_run_ms) * MEAN_RUN_SMOOTHING


def _finish(state: ProxyState, now_ms: int, completion: Completion) -> list[Effect]:
    if completion.work.answered:
        return _finish_late(state, now_ms, completion)
    if completion.work.transaction:
        return _finish_in_transaction(state, now_ms, completion)
    if completion.work.operation == "begin":
        return _finish_begin(state, now_ms, completion)
    connections.make_idle(completion.instance, completion.connection)
    if completion.answer.status != STATUS_OK:
        return outcomes.report_upstream_error(
            state, now_ms, completion.home, completion.work, completion.answer
        )
    if completion.work.operation == "read":
        return _finish_read(state, now_ms, completion)
    return _finish_write(state, now_ms, completion)


def _finish_late(state: ProxyState, now_ms: int, completion: Completion) -> list[Effect]:
    """Handle a response that came after the caller was answered at the deadline.

    The response is recorded, so that the request gets it when it is sent again with the same id.
    """
    if completion.work.transaction or completion.work.operation == "begin":
        return fail_connection(
            state, now_ms, completion.home, completion.instance, completion.connection
        )
    connections.make_idle(completion.instance, completion.connection)
    ran = completion.work.operation == "write" and completion.answer.status == STATUS_OK
    if ran and _from_primary(state, now_ms, completion):
        deduplication.record(
            completion.home,
            completion.work,
            _reply(state, now_ms, completion, completion.answer.value),
        )
    return [Count("upstream.late_answer")]


def _finish_read(state: ProxyState, now_ms: int, completion: Completion) -> list[Effect]:
    home, work, answer = completion.home, completion.work, completion.answer
    position = Position(answer.term, answer.offset)
    group = state.replicated_state.groups[home.group]
    if not replicas.session_survives(state, home, work):
        return outcomes.refuse(state, now_ms, home, work, replicas.SESSION_LOST_FAILURE)
    reply = _reply(state, now_ms, completion, answer.value)
    if completion.instance.name == group.primary:
        if not _from_primary(state, now_ms, completion):
            return outcomes.retry_read(state, now_ms, home, work)
        if not covers(position, work.session_position):
            return outcomes.refuse(state, now_ms, home, work, replicas.SESSION_LOST_FAILURE)
        return outcomes.deliver(state, now_ms, home, work, reply)
    if answer.term == group.term and replicas.is_valid(state, home, position, work, work.sent_ms):
        return outcomes.deliver(state, now_ms, home, work, reply)
    work.needs_primary = True
    repeated = outcomes.retry_read(state, now_ms, home, work)
    return [Count("reads.repeated_on_primary"), *repeated]


def _finish_write(state: ProxyState, now_ms: int, completion: Completion) -> list[Effect]:
    home, work = completion.home, completion.work
    if not _from_primary(state, now_ms, completion):
        return outcomes.report_unknown(state, now_ms, home, work)
    reply = _reply(state, now_ms, completion, completion.answer.value)
    contract = state.replicated_state.contracts[work.customer]
    position = Position(completion.answer.term, completion.answer.offset)
    if contract.acknowledge != "replica":
        return outcomes.deliver(state, now_ms, home, work, reply)
    if acknowledgement.replica_holds(state, home, position):
        return acknowledgement.deliver_replicated(state, now_ms, home, work, reply)
    home.awaiting_replica.append((work, reply))
    return connections.ping_others(now_ms, home, completion.instance.name)


def _finish_begin(state: ProxyState, now_ms: int, completion: Completion) -> list[Effect]:
    home, work = completion.home, completion.work
    if completion.answer.status != STATUS_OK:
        connections.make_idle(completion.instance, completion.connection)
        return outcomes.report_upstream_error(state, now_ms, home, work, completion.answer)
    if not _from_primary(state, now_ms, completion):
        effects = fail_connection(state, now_ms, home, completion.instance, completion.connection)
        return effects + outcomes.report_unknown(state, now_ms, home, work)
    identity = transactions.begin(home, work, completion.connection, now_ms)
    reply = _reply(state, now_ms, completion, {"transaction": identity})
    return outcomes.deliver(state, now_ms, home, work, reply)


def _finish_in_transaction(state: ProxyState, now_ms: int, completion: Completion) -> list[Effect]:
    home, work = completion.home, completion.work
    if not _from_primary(state, now_ms, completion):
        effects = fail_connection(state, now_ms, home, completion.instance, completion.connection)
        if work.operation == "commit":
            return effects + outcomes.report_unknown(state, now_ms, home, work)
        return effects + outcomes.report_transaction_lost(state, now_ms, home, work)
    if work.operation in ("commit", "rollback"):
        return _end_transaction(state, now_ms, completion)
    completion.connection.state = ConnectionState.PINNED
    transactions.set_idle(home, work.transaction, now_ms)
    if completion.answer.status != STATUS_OK:
        return outcomes.report_upstream_error(state, now_ms, home, work, completion.answer)
    reply = _reply(state, now_ms, completion, completion.answer.value)
    return outcomes.deliver(state, now_ms, home, work, reply)


def _end_transaction(state: ProxyState, now_ms: int, completion: Completion) -> list[Effect]:
    """Return the connection to the pool if the upstream confirmed the end; else close it."""
    home, work = completion.home, completion.work
    if completion.answer.status != STATUS_OK:
        effects = fail_connection(state, now_ms, home, completion.instance, completion.connection)
        return effects + outcomes.report_upstream_error(
            state, now_ms, home, work, completion.answer
        )
    transactions.end(home, work.transaction)
    connections.make_idle(completion.instance, completion.connection)
    if work.operation == "commit":
        return _finish_write(state, now_ms, completion)
    reply = _reply(state, now_ms, completion, completion.answer.value)
    return outcomes.deliver(state, now_ms, home, work, reply)


def _reply(state: ProxyState, now_ms: int, completion: Completion, value: Any) -> ForwardedAnswer:
    return answers.success(
        state,
        now_ms,
        completion.home,
        completion.work,
        completion.instance.name,
        completion.answer,
        value,
    )


def _from_primary(state: ProxyState, now_ms: int, completion: Completion) -> bool:
    return acknowledgement.from_primary(
        state, now_ms, completion.home, completion.instance, completion.answer
    )
