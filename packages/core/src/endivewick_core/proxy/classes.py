"""Work classes: short and long, declared by the caller or learned from run times."""

from typing import Any

import xxhash

from .queueing import FairQueue
from .state import Home, ProxyState
from .work import Work

MAX_RUN_TIMES = 10_000
RUN_TIME_SMOOTHING = 0.2


def run_time_key(customer: str, statement: Any) -> int:
    """Return the key of the recorded run time: a hash of customer and statement name."""
    name = statement.get("name") if isinstance(statement, dict) else statement
    return xxhash.xxh3_64_intdigest(f"{customer}\0{name}".encode())


def is_known(state: ProxyState, key: int) -> bool:
    """Return whether a run time has been recorded for this key."""
    return key in state.run_times_ms


def learned_class(state: ProxyState, key: int) -> str:
    """Return the class of a statement whose caller declared none."""
    run_ms = state.run_times_ms.get(key, 0.0)
    return "long" if run_ms > state.settings.long_run_ms else "short"


def record_run_time(state: ProxyState, key: int, run_ms: int) -> None:
    """Record a statement's run time, as an exponential moving average."""
    known_ms = state.run_times_ms.pop(key, float(run_ms))
    state.run_times_ms[key] = known_ms + (run_ms - known_ms) * RUN_TIME_SMOOTHING
    if len(state.run_times_ms) > MAX_RUN_TIMES:
        del state.run_times_ms[next(iter(state.run_times_ms))]


def expected_run_ms(state: ProxyState, home: Home, work: Work) -> float:
    """Return a statement's recorded run time, or the mean run time of the group's short work."""
    return state.run_times_ms.get(work.run_time_key, home.mean_run_ms)


def queue_for(state: ProxyState, home: Home, work: Work) -> FairQueue:
    """Return the queue for a piece of work.

    Statements whose run time is not known have a queue of their own, so that they don't delay the
    work that their customer sends after them.
    """
    if work.work_class == "long":
        return home.long
    if not work.declared and not is_known(state, work.run_time_key):
        return home.unclassified
    if work.needs_primary:
        return home.writes
    return home.reads


def reclassify(state: ProxyState, now_ms: int, home: Home) -> None:
    """Treat work that has run longer than ``long_run_ms`` as long.

    Queued work with the same key is moved to the queue of long work.
    """
    limit_ms = state.settings.long_run_ms
    found: set[int] = set()
    for instance in home.instances.values():
        for connection in instance.connections.values():
            work = connection.work
            if work is None or work.declared or work.work_class == "long":
                continue
            if now_ms - work.sent_ms <= limit_ms or work.operation not in ("read", "write"):
                continue
            work.work_class = "long"
            state.run_times_ms[work.run_time_key] = float(now_ms - work.sent_ms)
            found.add(work.run_time_key)
            if not work.holds_long:
                work.holds_long = True
                instance.running_long += 1
    if not found:
        return
    for queue in (home.reads, home.writes, home.unclassified):
        for work in queue.remove_if(lambda item: item.run_time_key in found and not item.declared):
            work.work_class = "long"
            home.long.push(work)
