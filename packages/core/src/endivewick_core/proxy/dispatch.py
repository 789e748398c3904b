"""Dispatch of queued work to the free slots of a group's upstreams.

On the primary, statements of open transactions go first, then writes, then reads that only the
primary may serve. After ``MAX_CONSECUTIVE_WRITES`` writes one such read goes ahead, so that writes
can't starve reads. Long work takes at most a share of an upstream's slots, and statements whose run
time is not known yet never take the last slot.
"""

from collections.abc import Callable

from ..exceptions import DEADLINE_EXCEEDED, Failure
from . import answers, classes, connections, deduplication, replicas, transactions
from .effects import Effect, SendUpstream
from .queueing import FairQueue
from .state import (
    Connection,
    ConnectionState,
    Home,
    Instance,
    Phase,
    ProxyState,
    is_active,
    lease_valid,
)
from .work import Work

MAX_CONSECUTIVE_WRITES = 4


def dispatch(state: ProxyState, now_ms: int, home: Home) -> list[Effect]:
    """Start as much queued work as the free slots and connections allow."""
    if not home.queued or not lease_valid(state, now_ms):
        return []
    effects: list[Effect] = []
    primary = state.replicated_state.groups[home.group].primary
    for instance in sorted(home.instances.values(), key=_running):
        while instance.running < instance.slots and home.queued:
            started = _start_next(state, now_ms, home, instance, instance.name == primary)
            if started is None:
                break
            effects += started
    return effects


def expire_queues(state: ProxyState, now_ms: int, home: Home) -> list[Effect]:
    """Refuse queued work whose deadline has passed; none of it has run."""
    effects: list[Effect] = []
    for queue in home.queues:
        if not queue.size:
            continue
        for work in queue.remove_if(lambda item: now_ms >= item.deadline_ms):
            effects += _expire(state, now_ms, home, work)
    return effects


def release_slot(home: Home, instance: Instance, work: Work) -> None:
    """Release the slot and the customer's connection that a piece of work held."""
    instance.running -= 1
    if work.holds_long:
        work.holds_long = False
        instance.running_long -= 1
    if not work.transaction:
        transactions.release_connection(home, work.customer)


def _running(instance: Instance) -> int:
    return instance.running


def _start_next(
    state: ProxyState, now_ms: int, home: Home, instance: Instance, is_primary: bool
) -> list[Effect] | None:
    if is_primary:
        if not is_active(state, home, now_ms):
            return None
        return _start_on_primary(state, now_ms, home, instance)
    if instance.leaving:
        return None

    def fits(work: Work) -> bool:
        return _within_contract(state, home, work) and replicas.may_serve(
            state, home, instance, work, now_ms
        )

    def fits_unclassified(work: Work) -> bool:
        return work.operation == "read" and fits(work)

    started = _start_from(state, home.reads, now_ms, home, instance, fits)
    if started is None and _unclassified_may_start(instance):
        started = _start_from(state, home.unclassified, now_ms, home, instance, fits_unclassified)
    if started is None and _long_may_start(state, instance):
        started = _start_from(state, home.long, now_ms, home, instance, fits)
    return started


def _start_on_primary(
    state: ProxyState, now_ms: int, home: Home, instance: Instance
) -> list[Effect] | None:
    work = home.transactional.pop(lambda item: _pinned_here(home, instance, item))
    if work is not None:
        return _send_pinned(now_ms, home, instance, work)
    if home.phase is not Phase.ACTIVE or instance.leaving:
        return None

    def fits_write(work: Work) -> bool:
        return _within_contract(state, home, work)

    def fits_any(work: Work) -> bool:
        if not _within_contract(state, home, work):
            return False
        return work.operation != "read" or not replicas.any_replica_may_serve(
            state, home, work, now_ms
        )

    if home.consecutive_writes >= MAX_CONSECUTIVE_WRITES:
        home.consecutive_writes = 0
        started = _start_from(state, home.reads, now_ms, home, instance, fits_any)
        if started is not None:
            return started
    started = _start_from(state, home.writes, now_ms, home, instance, fits_write)
    if started is not None:
        home.consecutive_writes += 1
        return started
    started = _start_from(state, home.reads, now_ms, home, instance, fits_any)
    if started is None and _unclassified_may_start(instance):
        started = _start_from(state, home.unclassified, now_ms, home, instance, fits_any)
    if started is None and _long_may_start(state, instance):
        started = _start_from(state, home.long, now_ms, home, instance, fits_any)
    return started


def _long_may_start(state: ProxyState, instance: Instance) -> bool:
    return instance.running_long < max(1, int(instance.slots * state.settings.long_share))


def _unclassified_may_start(instance: Instance) -> bool:
    """Return whether a statement of unknown run time may take a slot; it never gets the last."""
    return instance.running_long < max(1, instance.slots - 1)


def _within_contract(state: ProxyState, home: Home, work: Work) -> bool:
    contract = state.replicated_state.contracts.get(work.customer)
    return (
        contract is not None and home.connections_held.get(work.customer, 0) < contract.connections
    )


def _pinned_here(home: Home, instance: Instance, work: Work) -> bool:
    transaction = home.transactions.get(work.transaction)
    return transaction is not None and transaction.upstream == instance.name


def _start_from(
    state: ProxyState,
    queue: FairQueue,
    now_ms: int,
    home: Home,
    instance: Instance,
    fits: Callable[[Work], bool],
) -> list[Effect] | None:
    if not queue.size:
        return None
    connection = connections.take_idle(instance)
    if connection is None:
        return None
    work = queue.pop(fits)
    if work is None:
        connections.make_idle(instance, connection)
        return None
    known = work.declared or classes.is_known(state, work.run_time_key)
    if known and now_ms + classes.expected_run_ms(state, home, work) > work.deadline_ms:
        connections.make_idle(instance, connection)
        return _expire(state, now_ms, home, work)
    home.connections_held[work.customer] = home.connections_held.get(work.customer, 0) + 1
    return [_send(now_ms, instance, connection, work, known)]


def _send_pinned(now_ms: int, home: Home, instance: Instance, work: Work) -> list[Effect] | None:
    transaction = home.transactions[work.transaction]
    connection = instance.connections[transaction.connection]
    return [_send(now_ms, instance, connection, work, known=True)]


def _send(
    now_ms: int, instance: Instance, connection: Connection, work: Work, known: bool
) -> SendUpstream:
    instance.running += 1
    work.holds_long = work.work_class == "long" or not known
    if work.holds_long:
        instance.running_long += 1
    connection.state = ConnectionState.BUSY
    connection.work = work
    connection.sent_ms = now_ms
    work.sent_ms = now_ms
    work.attempts += 1
    body: dict[str, object] = {"customer": work.customer}
    if work.operation not in ("read", "write"):
        return SendUpstream(connection.number, f"/{work.operation}", body)
    body["kind"] = work.operation
    body["statement"] = work.statement
    body["in_transaction"] = bool(work.transaction)
    return SendUpstream(connection.number, "/statement", body)


def _expire(state: ProxyState, now_ms: int, home: Home, work: Work) -> list[Effect]:
    if work.transaction:
        transactions.set_idle(home, work.transaction, now_ms)
    deduplication.forget(home, work)
    message = "no upstream had capacity before the deadline; send it again later"
    failure = Failure(DEADLINE_EXCEEDED, message, retry_after_ms=100)
    return [
        answers.refuse(state, now_ms, home, work.origin, failure),
        answers.served(work, now_ms, DEADLINE_EXCEEDED.name, ""),
    ]
