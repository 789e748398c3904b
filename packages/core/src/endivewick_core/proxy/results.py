"""What becomes of work when its upstream answers, breaks or stays silent.

An answer of the primary counts only while the home is active: its lease is valid and the answer's
upstream and term are those of the configuration. Everything else that may have run is reported as
``outcome_unknown``; only reads are run again.
"""

from ..exceptions import (
    OUTCOME_UNKNOWN,
    READ_FAILED,
    TRANSACTION_LOST,
    UPSTREAM_ERROR,
    Failure,
)
from ..messages import ForwardedAnswer
from ..positions import Position, covers
from . import answers, classes, connections, dispatch, once, replicas, transactions
from .effects import CloseConnection, Count, Effect
from .events import UpstreamAnswer, UpstreamAnswered, UpstreamBroke, UpstreamOpened
from .state import (
    Connection,
    ConnectionState,
    Home,
    Instance,
    ProxyState,
    is_active,
)
from .work import Work

READ_ATTEMPTS = 3
STATUS_OK = 200
MEAN_RUN_GAIN = 0.05


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
        effects += _finish(state, event.now_ms, home, instance, connection, work, event.answer)
    effects += check_awaiting(state, event.now_ms, home)
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
        effects += _end_broken(state, now_ms, home, work)
    return effects


def check_silent(state: ProxyState, now_ms: int, home: Home) -> list[Effect]:
    """Answer work whose deadline passed, and close connections whose answer is overdue.

    Work that runs past its deadline keeps its connection and its slot for a while, since the
    upstream is still running it.
    """
    effects: list[Effect] = []
    classes.reclassify(state, now_ms, home)
    for instance in home.instances.values():
        for connection in list(instance.connections.values()):
            work = connection.work
            if work is not None and not work.answered and now_ms >= work.deadline_ms:
                work.answered = True
                effects += _end_overdue(state, now_ms, home, work)
            if _overdue(state, now_ms, connection):
                effects.append(Count("upstream.silent_connections"))
                effects += lose_connection(state, now_ms, home, instance, connection)
    for number in transactions.idle_connections(state, home, now_ms):
        found = connections.find(state, number)
        if found[0] is not None:
            effects += lose_connection(state, now_ms, *found)
    return effects


def check_awaiting(state: ProxyState, now_ms: int, home: Home) -> list[Effect]:
    """Acknowledge the writes that a replica holds by now, as their contract asks."""
    if not home.awaiting_replica:
        return []
    effects: list[Effect] = []
    kept: list[tuple[Work, ForwardedAnswer]] = []
    for work, answer in home.awaiting_replica:
        if now_ms >= work.deadline_ms or not _still_primary(state, now_ms, home, answer):
            effects += _unknown(state, now_ms, home, work)
        elif _replica_holds(state, home, Position(answer.term, answer.offset)):
            effects += _deliver(state, now_ms, home, work, answer)
        else:
            kept.append((work, answer))
    home.awaiting_replica = kept
    return effects


def _overdue(state: ProxyState, now_ms: int, connection: Connection) -> bool:
    """Tell whether a connection has been silent for too long."""
    settings = state.settings
    waited_ms = now_ms - connection.sent_ms
    work = connection.work
    if work is None and connection.state is ConnectionState.OPENING:
        return waited_ms >= settings.open_timeout_ms
    if work is None:
        return bool(connection.order) and waited_ms >= settings.ping_timeout_ms
    if work.transaction:
        return work.answered
    if work.answered:
        return now_ms - work.deadline_ms >= settings.short_attempt_ms
    is_short_read = work.operation == "read" and work.work_class != "long"
    return is_short_read and waited_ms >= settings.short_attempt_ms


def _end_overdue(state: ProxyState, now_ms: int, home: Home, work: Work) -> list[Effect]:
    """Answer work that is still running at its deadline."""
    if work.transaction and work.operation != "commit":
        return _transaction_lost(state, now_ms, home, work)
    if work.operation in ("read", "begin"):
        message = "no upstream answered within the deadline; it changes nothing, send it again"
        return _refuse(state, now_ms, home, work, Failure(READ_FAILED, message))
    return _unknown(state, now_ms, home, work)


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


def _finish(
    state: ProxyState,
    now_ms: int,
    home: Home,
    instance: Instance,
    connection: Connection,
    work: Work,
    answer: UpstreamAnswer,
) -> list[Effect]:
    if work.answered:
        return _finish_late(state, now_ms, home, instance, connection, work, answer)
    if work.transaction:
        return _finish_in_transaction(state, now_ms, home, instance, connection, work, answer)
    if work.operation == "begin":
        return _finish_begin(state, now_ms, home, instance, connection, work, answer)
    connections.make_idle(instance, connection)
    if answer.status != STATUS_OK:
        return _upstream_error(state, now_ms, home, work, answer)
    if work.operation == "read":
        return _finish_read(state, now_ms, home, instance, work, answer)
    return _finish_write(state, now_ms, home, instance, work, answer)


def _finish_late(
    state: ProxyState,
    now_ms: int,
    home: Home,
    instance: Instance,
    connection: Connection,
    work: Work,
    answer: UpstreamAnswer,
) -> list[Effect]:
    """Take an answer whose caller has one already; a resend of its request id gets this one."""
    if work.transaction or work.operation == "begin":
        return lose_connection(state, now_ms, home, instance, connection)
    connections.make_idle(instance, connection)
    ran = work.operation == "write" and answer.status == STATUS_OK
    if ran and _from_primary(state, now_ms, home, instance, answer):
        reply = answers.success(state, now_ms, home, work, instance.name, answer, answer.value)
        once.record(home, work, reply)
    return [Count("upstream.late_answer")]


def _finish_read(
    state: ProxyState,
    now_ms: int,
    home: Home,
    instance: Instance,
    work: Work,
    answer: UpstreamAnswer,
) -> list[Effect]:
    position = Position(answer.term, answer.offset)
    group = state.machine.groups[home.group]
    if not replicas.session_holds(state, home, work):
        return _refuse(state, now_ms, home, work, replicas.LOST)
    reply = answers.success(state, now_ms, home, work, instance.name, answer, answer.value)
    if instance.name == group.primary:
        if not _from_primary(state, now_ms, home, instance, answer):
            return _repeat_read(state, now_ms, home, work)
        if not covers(position, work.wanted):
            return _refuse(state, now_ms, home, work, replicas.LOST)
        return _deliver(state, now_ms, home, work, reply)
    if answer.term == group.term and replicas.is_valid(state, home, position, work, work.sent_ms):
        return _deliver(state, now_ms, home, work, reply)
    work.needs_primary = True
    return [Count("reads.repeated_on_primary"), *_repeat_read(state, now_ms, home, work)]


def _finish_write(
    state: ProxyState,
    now_ms: int,
    home: Home,
    instance: Instance,
    work: Work,
    answer: UpstreamAnswer,
) -> list[Effect]:
    if not _from_primary(state, now_ms, home, instance, answer):
        return _unknown(state, now_ms, home, work)
    reply = answers.success(state, now_ms, home, work, instance.name, answer, answer.value)
    contract = state.machine.contracts[work.customer]
    position = Position(answer.term, answer.offset)
    if contract.acknowledge == "replica" and not _replica_holds(state, home, position):
        home.awaiting_replica.append((work, reply))
        return []
    return _deliver(state, now_ms, home, work, reply)


def _finish_begin(
    state: ProxyState,
    now_ms: int,
    home: Home,
    instance: Instance,
    connection: Connection,
    work: Work,
    answer: UpstreamAnswer,
) -> list[Effect]:
    if answer.status != STATUS_OK:
        connections.make_idle(instance, connection)
        return _upstream_error(state, now_ms, home, work, answer)
    if not _from_primary(state, now_ms, home, instance, answer):
        return lose_connection(state, now_ms, home, instance, connection) + _unknown(
            state, now_ms, home, work
        )
    identity = transactions.begin(home, work, connection, now_ms)
    value = {"transaction": identity}
    reply = answers.success(state, now_ms, home, work, instance.name, answer, value)
    return _deliver(state, now_ms, home, work, reply)


def _finish_in_transaction(
    state: ProxyState,
    now_ms: int,
    home: Home,
    instance: Instance,
    connection: Connection,
    work: Work,
    answer: UpstreamAnswer,
) -> list[Effect]:
    if not _from_primary(state, now_ms, home, instance, answer):
        effects = lose_connection(state, now_ms, home, instance, connection)
        if work.operation == "commit":
            return effects + _unknown(state, now_ms, home, work)
        return effects + _transaction_lost(state, now_ms, home, work)
    ends = work.operation in ("commit", "rollback")
    if ends and answer.status == STATUS_OK:
        transactions.end(home, work.transaction)
        connections.make_idle(instance, connection)
    elif ends:
        effects = lose_connection(state, now_ms, home, instance, connection)
        return effects + _upstream_error(state, now_ms, home, work, answer)
    else:
        connection.state = ConnectionState.PINNED
        transactions.set_idle(home, work.transaction, now_ms)
    if answer.status != STATUS_OK:
        return _upstream_error(state, now_ms, home, work, answer)
    if work.operation == "commit":
        return _finish_write(state, now_ms, home, instance, work, answer)
    reply = answers.success(state, now_ms, home, work, instance.name, answer, answer.value)
    return _deliver(state, now_ms, home, work, reply)


def _end_broken(state: ProxyState, now_ms: int, home: Home, work: Work) -> list[Effect]:
    if work.answered:
        return []
    if work.transaction:
        if work.operation == "commit":
            return _unknown(state, now_ms, home, work)
        return _transaction_lost(state, now_ms, home, work)
    if work.operation == "begin" and now_ms < work.deadline_ms:
        classes.queue_for(state, home, work).push_front(work)
        return []
    if work.operation == "read":
        return _repeat_read(state, now_ms, home, work)
    return _unknown(state, now_ms, home, work)


def _repeat_read(state: ProxyState, now_ms: int, home: Home, work: Work) -> list[Effect]:
    """Run a read again within its deadline and its number of attempts.

    A short attempt that took too long may be long work, so it runs again as such.
    """
    if not work.declared and now_ms - work.sent_ms >= state.settings.long_run_ms:
        classes.learn(state, work.learn_key, now_ms - work.sent_ms)
        work.work_class = "long"
    if work.attempts < READ_ATTEMPTS and now_ms < work.deadline_ms:
        classes.queue_for(state, home, work).push_front(work)
        return [Count("reads.retries")]
    message = "no upstream answered the read; send it again"
    return _refuse(state, now_ms, home, work, Failure(READ_FAILED, message))


def _from_primary(
    state: ProxyState, now_ms: int, home: Home, instance: Instance, answer: UpstreamAnswer
) -> bool:
    """Tell whether an answer comes from the primary in force, under a valid lease."""
    group = state.machine.groups[home.group]
    in_force = (instance.name, answer.term) == (group.primary, group.term)
    return in_force and answer.role == "primary" and is_active(state, home, now_ms)


def _still_primary(state: ProxyState, now_ms: int, home: Home, answer: ForwardedAnswer) -> bool:
    group = state.machine.groups[home.group]
    in_force = (answer.upstream, answer.term) == (group.primary, group.term)
    return in_force and is_active(state, home, now_ms)


def _replica_holds(state: ProxyState, home: Home, position: Position) -> bool:
    primary = state.machine.groups[home.group].primary
    for instance in home.instances.values():
        if instance.name != primary and covers(instance.position, position):
            return True
    return False


def _deliver(
    state: ProxyState, now_ms: int, home: Home, work: Work, reply: ForwardedAnswer
) -> list[Effect]:
    once.record(home, work, reply)
    return [
        answers.send(state, now_ms, home, work.origin, reply),
        answers.served(work, now_ms, "ok", reply.role),
    ]


def _refuse(
    state: ProxyState,
    now_ms: int,
    home: Home,
    work: Work,
    failure: Failure,
    value: object = None,
) -> list[Effect]:
    answer = answers.refuse(state, now_ms, home, work.origin, failure, value)
    once.record(home, work, answer.answer)
    return [answer, answers.served(work, now_ms, failure.type.name, "")]


def _unknown(state: ProxyState, now_ms: int, home: Home, work: Work) -> list[Effect]:
    message = "the request may have run; read the data before you send it under a new request id"
    return _refuse(state, now_ms, home, work, Failure(OUTCOME_UNKNOWN, message))


def _transaction_lost(state: ProxyState, now_ms: int, home: Home, work: Work) -> list[Effect]:
    message = "the transaction's connection was lost, so it was rolled back; begin it again"
    return _refuse(state, now_ms, home, work, Failure(TRANSACTION_LOST, message))


def _upstream_error(
    state: ProxyState, now_ms: int, home: Home, work: Work, answer: UpstreamAnswer
) -> list[Effect]:
    message = "the upstream refused the statement; see details"
    return _refuse(state, now_ms, home, work, Failure(UPSTREAM_ERROR, message), answer.value)
