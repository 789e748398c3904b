"""What becomes of work when its upstream answers or its connection breaks.

An answer of the primary counts only while the home is active: its lease is valid and the answer's
upstream and term are those of the configuration. Everything else that may have run is reported as
``outcome_unknown``.
"""

from typing import Any, NamedTuple

from ..messages import ForwardedAnswer
from ..positions import Position, covers
from . import (
    acknowledgement,
    answers,
    classes,
    connections,
    dispatch,
    once,
    outcomes,
    replicas,
    transactions,
)
from .effects import CloseConnection, Count, Effect
from .events import UpstreamAnswer, UpstreamAnswered, UpstreamBroke, UpstreamOpened
from .state import Connection, ConnectionState, Home, Instance, ProxyState
from .work import Work

STATUS_OK = 200
MEAN_RUN_GAIN = 0.05


class Completion(NamedTuple):
    """Work whose upstream has answered, and where it ran."""

    home: Home
    instance: Instance
    connection: Connection
    work: Work
    answer: UpstreamAnswer


def handle_opened(state: ProxyState, event: UpstreamOpened) -> list[Effect]:
    """Ping a new connection; it takes work once the ping is answered."""
    home, instance, connection = connections.find(state, event.connection)
    if home is None or instance is None or connection is None:
        return [CloseConnection(event.connection)]
    connection.state = ConnectionState.CHECKING
    connection.opened_ms = event.now_ms
    return [connections.order(event.now_ms, connection, "ping", {})]


def handle_answered(state: ProxyState, event: UpstreamAnswered) -> list[Effect]:
    """Take an upstream's answer to the request in flight on its connection."""
    home, instance, connection = connections.find(state, event.connection)
    if home is None or instance is None or connection is None:
        return [Count("upstream.late_answer")]
    _note_upstream(state, home, instance, connection, event)
    effects: list[Effect] = []
    work = connection.work
    if work is None:
        connection.suspect = False
        connections.make_idle(instance, connection)
    else:
        connection.work = None
        dispatch.release(home, instance, work)
        _learn(state, home, work, event.now_ms)
        done = Completion(home, instance, connection, work, event.answer)
        effects += _finish(state, event.now_ms, done)
    effects += acknowledgement.check_awaiting(state, event.now_ms, home)
    return effects + dispatch.dispatch(state, event.now_ms, home)


def handle_broke(state: ProxyState, event: UpstreamBroke) -> list[Effect]:
    """End what was in flight on a broken connection."""
    home, instance, connection = connections.find(state, event.connection)
    if home is None or instance is None or connection is None:
        return []
    if not connection.heard_ms:
        instance.refused += 1
        instance.next_open_ms = event.now_ms + connections.OPEN_RETRY_MS
    return lose_connection(state, event.now_ms, home, instance, connection)


def lose_connection(
    state: ProxyState, now_ms: int, home: Home, instance: Instance, connection: Connection
) -> list[Effect]:
    """Close a connection and end or repeat what was in flight on it."""
    connections.drop(state, instance, connection)
    connections.suspect_siblings(instance)
    effects: list[Effect] = [CloseConnection(connection.number)]
    work = connection.work
    if work is not None:
        connection.work = None
        dispatch.release(home, instance, work)
    if connection.transaction:
        transactions.end(home, connection.transaction)
    if work is not None:
        effects += outcomes.end_broken(state, now_ms, home, work)
    return effects


def _note_upstream(
    state: ProxyState,
    home: Home,
    instance: Instance,
    connection: Connection,
    event: UpstreamAnswered,
) -> None:
    answer = event.answer
    instance.heard_ms = event.now_ms
    instance.refused = 0
    connection.heard_ms = event.now_ms
    if answer.role:
        instance.role = answer.role
    if not answer.term:
        return
    position = Position(answer.term, answer.offset)
    replicas.note_position(instance, position)
    group = state.machine.groups[home.group]
    is_primary = instance.name == group.primary and answer.term == group.term
    if is_primary and answer.role == "primary":
        replicas.sample_primary(home, connection.sent_ms, position)


def _learn(state: ProxyState, home: Home, work: Work, now_ms: int) -> None:
    run_ms = now_ms - work.sent_ms
    if work.operation in ("read", "write"):
        classes.learn(state, work.learn_key, run_ms)
    if work.work_class != "long":
        home.mean_run_ms += (run_ms - home.mean_run_ms) * MEAN_RUN_GAIN


def _finish(state: ProxyState, now_ms: int, done: Completion) -> list[Effect]:
    if done.work.answered:
        return _finish_late(state, now_ms, done)
    if done.work.transaction:
        return _finish_in_transaction(state, now_ms, done)
    if done.work.operation == "begin":
        return _finish_begin(state, now_ms, done)
    connections.make_idle(done.instance, done.connection)
    if done.answer.status != STATUS_OK:
        return outcomes.upstream_error(state, now_ms, done.home, done.work, done.answer)
    if done.work.operation == "read":
        return _finish_read(state, now_ms, done)
    return _finish_write(state, now_ms, done)


def _finish_late(state: ProxyState, now_ms: int, done: Completion) -> list[Effect]:
    """Take an answer whose caller has one already; a resend of its request id gets this one."""
    if done.work.transaction or done.work.operation == "begin":
        return lose_connection(state, now_ms, done.home, done.instance, done.connection)
    connections.make_idle(done.instance, done.connection)
    ran = done.work.operation == "write" and done.answer.status == STATUS_OK
    if ran and _from_primary(state, now_ms, done):
        once.record(done.home, done.work, _reply(state, now_ms, done, done.answer.value))
    return [Count("upstream.late_answer")]


def _finish_read(state: ProxyState, now_ms: int, done: Completion) -> list[Effect]:
    home, work, answer = done.home, done.work, done.answer
    position = Position(answer.term, answer.offset)
    group = state.machine.groups[home.group]
    if not replicas.session_holds(state, home, work):
        return outcomes.refuse(state, now_ms, home, work, replicas.LOST)
    reply = _reply(state, now_ms, done, answer.value)
    if done.instance.name == group.primary:
        if not _from_primary(state, now_ms, done):
            return outcomes.repeat_read(state, now_ms, home, work)
        if not covers(position, work.wanted):
            return outcomes.refuse(state, now_ms, home, work, replicas.LOST)
        return outcomes.deliver(state, now_ms, home, work, reply)
    if answer.term == group.term and replicas.is_valid(state, home, position, work, work.sent_ms):
        return outcomes.deliver(state, now_ms, home, work, reply)
    work.needs_primary = True
    repeated = outcomes.repeat_read(state, now_ms, home, work)
    return [Count("reads.repeated_on_primary"), *repeated]


def _finish_write(state: ProxyState, now_ms: int, done: Completion) -> list[Effect]:
    home, work = done.home, done.work
    if not _from_primary(state, now_ms, done):
        return outcomes.unknown(state, now_ms, home, work)
    reply = _reply(state, now_ms, done, done.answer.value)
    contract = state.machine.contracts[work.customer]
    position = Position(done.answer.term, done.answer.offset)
    waits = contract.acknowledge == "replica"
    if waits and not acknowledgement.replica_holds(state, home, position):
        home.awaiting_replica.append((work, reply))
        return connections.ping_others(now_ms, home, done.instance.name)
    return outcomes.deliver(state, now_ms, home, work, reply)


def _finish_begin(state: ProxyState, now_ms: int, done: Completion) -> list[Effect]:
    home, work = done.home, done.work
    if done.answer.status != STATUS_OK:
        connections.make_idle(done.instance, done.connection)
        return outcomes.upstream_error(state, now_ms, home, work, done.answer)
    if not _from_primary(state, now_ms, done):
        effects = lose_connection(state, now_ms, home, done.instance, done.connection)
        return effects + outcomes.unknown(state, now_ms, home, work)
    identity = transactions.begin(home, work, done.connection, now_ms)
    reply = _reply(state, now_ms, done, {"transaction": identity})
    return outcomes.deliver(state, now_ms, home, work, reply)


def _finish_in_transaction(state: ProxyState, now_ms: int, done: Completion) -> list[Effect]:
    home, work = done.home, done.work
    if not _from_primary(state, now_ms, done):
        effects = lose_connection(state, now_ms, home, done.instance, done.connection)
        if work.operation == "commit":
            return effects + outcomes.unknown(state, now_ms, home, work)
        return effects + outcomes.transaction_lost(state, now_ms, home, work)
    if work.operation in ("commit", "rollback"):
        return _end_transaction(state, now_ms, done)
    done.connection.state = ConnectionState.PINNED
    transactions.set_idle(home, work.transaction, now_ms)
    if done.answer.status != STATUS_OK:
        return outcomes.upstream_error(state, now_ms, home, work, done.answer)
    reply = _reply(state, now_ms, done, done.answer.value)
    return outcomes.deliver(state, now_ms, home, work, reply)


def _end_transaction(state: ProxyState, now_ms: int, done: Completion) -> list[Effect]:
    """Return the connection after a confirmed end, and close it after any other."""
    home, work = done.home, done.work
    if done.answer.status != STATUS_OK:
        effects = lose_connection(state, now_ms, home, done.instance, done.connection)
        return effects + outcomes.upstream_error(state, now_ms, home, work, done.answer)
    transactions.end(home, work.transaction)
    connections.make_idle(done.instance, done.connection)
    if work.operation == "commit":
        return _finish_write(state, now_ms, done)
    reply = _reply(state, now_ms, done, done.answer.value)
    return outcomes.deliver(state, now_ms, home, work, reply)


def _reply(state: ProxyState, now_ms: int, done: Completion, value: Any) -> ForwardedAnswer:
    return answers.success(
        state, now_ms, done.home, done.work, done.instance.name, done.answer, value
    )


def _from_primary(state: ProxyState, now_ms: int, done: Completion) -> bool:
    return acknowledgement.from_primary(state, now_ms, done.home, done.instance, done.answer)
