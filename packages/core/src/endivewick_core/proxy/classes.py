"""Work classes: short and long, declared by the caller or learnt from run times."""

from typing import Any

import xxhash

from .state import ProxyState

RUN_TIMES_KEPT = 10_000
RUN_TIME_GAIN = 0.2


def learn_key(customer: str, statement: Any) -> int:
    """Return the key under which run times are learnt: the customer and the statement's name."""
    name = statement.get("name") if isinstance(statement, dict) else statement
    return xxhash.xxh3_64_intdigest(f"{customer}\0{name}".encode())


def learnt_class(state: ProxyState, key: int) -> str:
    """Return the class of a statement whose caller declared none."""
    run_ms = state.run_times_ms.get(key, 0.0)
    return "long" if run_ms > state.settings.long_run_ms else "short"


def learn(state: ProxyState, key: int, run_ms: int) -> None:
    """Learn a statement's run time, as a mean that forgets."""
    known_ms = state.run_times_ms.pop(key, float(run_ms))
    state.run_times_ms[key] = known_ms + (run_ms - known_ms) * RUN_TIME_GAIN
    if len(state.run_times_ms) > RUN_TIMES_KEPT:
        del state.run_times_ms[next(iter(state.run_times_ms))]
