"""Admission control: a home queues a forwarded request or refuses it as not run.

A queue is limited in three ways: by its length, by each customer's share of it (``surge_share`` of
the contract), and by the expected wait for the work ahead, which must fit the request's deadline.
"""

from ..contracts import Contract
from ..exceptions import OVERLOADED, UNKNOWN_CUSTOMER, Failure
from ..messages import ForwardedRequest
from ..positions import Position
from . import answers, classes, deduplication, dispatch, replicas, transactions
from .effects import Count, Effect
from .queueing import FairQueue
from .state import Home, ProxyState, lease_valid
from .work import Origin, Work

# Part of a deadline that the expected wait may use; the rest is a reserve for unexpected delays.
DEADLINE_SHARE = 0.8


def admit(state: ProxyState, now_ms: int, address: str, request: ForwardedRequest) -> list[Effect]:
    """Admit a request for a group that this proxy holds, or refuse it as not run."""
    origin = Origin(address, request.number, request.sent_at_ms)
    home = state.homes.get(request.group)
    contract = state.replicated_state.contracts.get(request.customer)
    is_held = home is not None and home.epoch == request.home_epoch and not home.releasing
    if home is None or not is_held or not lease_valid(state, now_ms):
        return [answers.not_home(state, now_ms, origin, request)]
    if contract is None:
        failure = Failure(UNKNOWN_CUSTOMER, f"customer {request.customer} has no contract here")
        return [answers.refuse(state, now_ms, home, origin, failure)]
    if origin in home.received_ms:
        return [Count("home.doubled_requests")]
    home.received_ms[origin] = now_ms
    work = _build_work(state, now_ms, origin, request, contract)
    if _must_wait(state, home, work):
        return [answers.not_home(state, now_ms, origin, request)]
    if request.operation == "issue_ids":
        return [deduplication.issue(state, now_ms, home, work)]
    if not replicas.session_survives(state, home, work):
        return [answers.refuse(state, now_ms, home, origin, replicas.SESSION_LOST_FAILURE)]
    if work.transaction:
        return transactions.admit(state, now_ms, home, work)
    return _admit_single(state, now_ms, home, work, contract)


def _admit_single(
    state: ProxyState, now_ms: int, home: Home, work: Work, contract: Contract
) -> list[Effect]:
    """Queue work outside transactions, unless its request id or an overload prevents it."""
    seen = deduplication.check(state, now_ms, home, work)
    if isinstance(seen, answers.RepeatedAnswer):
        return [answers.send(state, now_ms, home, work.origin, seen.answer)]
    if seen is not None:
        return [answers.refuse(state, now_ms, home, work.origin, seen)]
    queue = classes.queue_for(state, home, work)
    overload = _overload(state, now_ms, home, work, contract, queue)
    if overload is not None:
        deduplication.forget(home, work)
        return [answers.refuse(state, now_ms, home, work.origin, overload)]
    queue.push(work)
    return dispatch.dispatch(state, now_ms, home)


def _build_work(
    state: ProxyState,
    now_ms: int,
    origin: Origin,
    request: ForwardedRequest,
    contract: Contract,
) -> Work:
    key = classes.run_time_key(request.customer, request.statement)
    work_class = request.work_class or classes.learned_class(state, key)
    needs_primary = request.operation != "read" or contract.max_staleness_ms == 0
    return Work(
        origin,
        request.operation,
        request.customer,
        request.statement,
        work_class,
        request.request_id,
        request.transaction,
        Position(request.term, request.offset),
        contract.surge_share,
        now_ms,
        now_ms + request.deadline_ms,
        key,
        needs_primary=needs_primary,
        declared=bool(request.work_class),
    )


def _must_wait(state: ProxyState, home: Home, work: Work) -> bool:
    """Return whether work would delay the release of a group that moves to another proxy."""
    if state.draining_since_ms is None and not home.handing_over:
        return False
    return work.operation == "begin" or (work.work_class == "long" and not work.transaction)


def _overload(
    state: ProxyState,
    now_ms: int,
    home: Home,
    work: Work,
    contract: Contract,
    queue: FairQueue,
) -> Failure | None:
    settings = state.settings
    share = max(1, int(contract.surge_share * settings.queue_limit))
    wait_ms = _expected_wait_ms(state, home, work, queue)
    limit_ms = DEADLINE_SHARE * (work.deadline_ms - now_ms)
    if queue.count_for(work.customer) >= share:
        message = f"customer {work.customer} has used up its surge_share of the queue"
    elif queue.size >= settings.queue_limit:
        message = f"the queue of group {home.group} is full"
    elif work.work_class != "long" and wait_ms > limit_ms:
        message = f"the expected wait of {wait_ms} ms exceeds the deadline"
    else:
        return None
    return Failure(OVERLOADED, message, retry_after_ms=max(50, wait_ms))


def _expected_wait_ms(state: ProxyState, home: Home, work: Work, queue: FairQueue) -> int:
    """Return the expected time for the work ahead and the work itself, from past run times."""
    run_ms = classes.expected_run_ms(state, home, work)
    primary = state.replicated_state.groups[home.group].primary
    slots = 0
    for instance in home.instances.values():
        on_primary = instance.name == primary
        if on_primary == work.needs_primary and not instance.leaving:
            slots += instance.slots
    return int((queue.size / max(1, slots) + 1) * run_ms)
