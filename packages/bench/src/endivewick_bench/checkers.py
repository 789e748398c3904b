"""Checks recorded histories against the guarantees that the system gives.

A history is a list of ``Record``, ordered by one clock. The reducers' tests, the callers and the
stand-in upstreams all write it in this form. Each checker covers one guarantee and returns the
violations that it found; which statements ran is taken from the upstreams' own records.
"""

import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

LEAVING_LIMIT_MS = 3_000
IN_FORCE_LIMIT_MS = 8_000
HOME_TAKEOVER_MS = 3_000


def clock_ms() -> float:
    """Return the time of the boot clock, which all processes of one computer share."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


class Record(NamedTuple):
    """One line of a history.

    ``kind`` is ``invoke``, ``answer``, ``upstream_began``, ``upstream_ran``,
    ``upstream_committed``, ``upstream_leaving``, ``upstream_returned``, ``promoted``,
    ``configuration_accepted``, ``configuration_in_force``, ``process_started``,
    ``drain_started``, ``process_stopped``, ``fault_began`` or ``messages_lost``. ``tag`` identifies
    one attempt of a request, ``request_id`` the request across its attempts. ``outcome`` is ``ok``,
    ``cut`` for a connection that closed without a response, or a failure type; ``ran`` is the
    response's field of that name.
    """

    at_ms: float
    source: str
    kind: str
    tag: str = ""
    request_id: str = ""
    session: str = ""
    customer: str = ""
    group: str = ""
    operation: str = ""
    transaction: str = ""
    key: str = ""
    value: Any = None
    outcome: str = ""
    ran: str = ""
    upstream: str = ""
    role: str = ""
    term: int = 0
    position: int = 0
    revision: int = 0
    age_limit_ms: int = 0


class Violation(NamedTuple):
    """A broken guarantee, with the record that shows it."""

    promise: str
    text: str
    record: Record


class Attempt(NamedTuple):
    """An attempt to send a request and its response, if there was one."""

    invoke: Record
    response: Record | None


def read_history(paths: Iterable[Path]) -> list[Record]:
    """Return the records of several files, sorted by time."""
    decoder = msgspec.json.Decoder()
    records: list[Record] = []
    for path in paths:
        for line in path.read_bytes().splitlines():
            fields = decoder.decode(line)
            known = {name: value for name, value in fields.items() if name in Record._fields}
            records.append(Record(**known))
    return sorted(records, key=lambda record: record.at_ms)


def pair_attempts(history: list[Record]) -> list[Attempt]:
    """Pair each invocation with its response."""
    responses = {record.tag: record for record in history if record.kind == "answer"}
    return [
        Attempt(record, responses.get(record.tag)) for record in history if record.kind == "invoke"
    ]


def check_session(history: list[Record]) -> list[Violation]:
    """Check that a session reads nothing older than what it wrote or read before.

    Each session writes increasing values to keys that no other session uses. A read must not return
    a write that ran before one that the session has seen. A write of unknown outcome may run late;
    its order is that in which it ran.
    """
    violations: list[Violation] = []
    order = _write_order(history)
    seen: dict[tuple[str, str], list[tuple[float, Any]]] = {}
    for attempt in sorted(pair_attempts(history), key=_response_time):
        invoke, response = attempt
        if (
            response is None
            or response.outcome != "ok"
            or invoke.operation not in ("read", "write")
        ):
            continue
        if invoke.transaction:
            continue
        session_writes = seen.setdefault((invoke.session, invoke.key), [])
        value = response.value or 0
        write_number = order.get((invoke.key, value), value)
        before = [item for at_ms, item in session_writes if at_ms <= invoke.at_ms]
        if invoke.operation == "read" and before and write_number < max(before):
            text = f"read {value}, which is older than a value that the session has already seen"
            violations.append(Violation("read_your_writes", text, response))
        session_writes.append((response.at_ms, write_number))
    return violations


def _write_order(history: list[Record]) -> dict[tuple[str, Any], int]:
    """Map each key and value to the number of its write in the order of execution, from 1."""
    written = {
        record.tag: (record.key, record.value)
        for record in history
        if record.kind == "invoke" and record.operation == "write"
    }
    order: dict[tuple[str, Any], int] = {}
    for record in history:
        if record.kind == "upstream_ran" and record.tag in written:
            order[written[record.tag]] = len(order) + 1
    return order


def check_replaced_primary(history: list[Record]) -> list[Violation]:
    """Check that no primary acknowledges a write after a newer primary was promoted."""
    violations: list[Violation] = []
    promoted: dict[str, int] = {}
    for record in history:
        if record.kind == "promoted":
            promoted[record.group] = max(promoted.get(record.group, 0), record.term)
        is_write = record.operation in ("write", "commit") and record.outcome == "ok"
        if record.kind != "answer" or not is_write:
            continue
        if record.term < promoted.get(record.group, 0):
            text = f"term {record.term} acknowledged after {promoted[record.group]} was promoted"
            violations.append(Violation("replaced_primary", text, record))
    return violations


def check_transactions(history: list[Record]) -> list[Violation]:
    """Check that a commit holds the statements of one transaction, and all acknowledged ones."""
    violations: list[Violation] = []
    expected: dict[str, set[str]] = {}
    for attempt in pair_attempts(history):
        invoke, response = attempt
        in_transaction = invoke.operation == "write" and invoke.transaction
        if in_transaction and response is not None and response.outcome == "ok":
            expected.setdefault(invoke.transaction, set()).add(invoke.tag)
    for record in history:
        if record.kind != "upstream_committed":
            continue
        tags = set(record.value)
        transactions = {tag.partition("/")[0] for tag in tags}
        if len(transactions) > 1:
            text = f"commit mixes statements of transactions {sorted(transactions)}"
            violations.append(Violation("transactions", text, record))
            continue
        transaction = next(iter(transactions), "")
        missing = expected.get(transaction, set()) - tags
        if missing:
            text = f"commit lacks acknowledged statements {sorted(missing)}"
            violations.append(Violation("transactions", text, record))
    return violations


def check_responses(history: list[Record]) -> list[Violation]:
    """Check that a request gets at most one response, and one for the key that it requested."""
    violations: list[Violation] = []
    invoked: dict[str, Record] = {}
    responded: set[str] = set()
    for record in history:
        if record.kind == "invoke":
            invoked[record.tag] = record
        if record.kind != "answer":
            continue
        if record.tag in responded or record.tag not in invoked:
            text = "response without an outstanding request"
            violations.append(Violation("whole_answers", text, record))
        responded.add(record.tag)
        request = invoked.get(record.tag)
        echoed = record.key
        if request is not None and record.outcome == "ok" and echoed and echoed != request.key:
            text = f"requested key {request.key}, got {echoed}"
            violations.append(Violation("whole_answers", text, record))
    return violations


def check_not_run(history: list[Record]) -> list[Violation]:
    """Check that no statement ran that was refused with ``not_run``.

    A request with a request id counts as refused only if all its attempts were refused.
    """
    attempts = pair_attempts(history)
    possibly_run = {
        invoke.request_id
        for invoke, response in attempts
        if invoke.request_id and (response is None or response.ran != "not_run")
    }
    resent = {invoke.tag for invoke, _ in attempts if invoke.request_id in possibly_run}
    refused = {
        record.tag: record
        for record in history
        if record.kind == "answer" and record.ran == "not_run" and record.tag not in resent
    }
    return [
        Violation(
            "not_run",
            f"{record.tag} was refused as not run but ran on {record.upstream}",
            refused[record.tag],
        )
        for record in history
        if record.kind == "upstream_ran" and record.tag in refused
    ]


def check_at_most_once(history: list[Record]) -> list[Violation]:
    """Check that a request with a request id runs at most once across attempts and upstreams."""
    request_of = {
        record.tag: record.request_id
        for record in history
        if record.kind == "invoke" and record.request_id
    }
    violations: list[Violation] = []
    ran: dict[str, int] = {}
    for record in history:
        request_id = request_of.get(record.tag)
        if record.kind != "upstream_ran" or request_id is None:
            continue
        ran[request_id] = ran.get(request_id, 0) + 1
        if ran[request_id] > 1:
            violations.append(Violation("at_most_once", f"{request_id} ran more than once", record))
    return violations


def check_leaving(history: list[Record]) -> list[Violation]:
    """Check that a leaving upstream starts no statement more than a few seconds later."""
    violations: list[Violation] = []
    leaving: dict[str, float] = {}
    for record in history:
        if record.kind == "upstream_leaving":
            leaving.setdefault(record.upstream, record.at_ms)
        if record.kind == "upstream_returned":
            leaving.pop(record.upstream, None)
        if record.kind != "upstream_began" or record.upstream not in leaving:
            continue
        late_ms = record.at_ms - leaving[record.upstream]
        if late_ms > LEAVING_LIMIT_MS:
            text = f"started a statement {late_ms:.0f} ms after it announced that it is leaving"
            violations.append(Violation("leaving", text, record))
    return violations


def check_graceful_stop(history: list[Record]) -> list[Violation]:
    """Check that draining a proxy fails no request that it received or whose home it is.

    Requests that another fault may have failed are excluded: those in flight while a process was
    killed or before its homes had moved to another proxy, those without a response when messages
    were lost, those sent to a proxy after it stopped, and, at other proxies, those that ended
    after any ``fault_began``.
    """
    drains: dict[str, float] = {}
    ended: dict[str, float] = {}
    killed: list[float] = []
    messages_lost_ms = fault_ms = float("inf")
    for record in history:
        if record.kind == "drain_started":
            drains.setdefault(record.source, record.at_ms)
        elif record.kind == "process_stopped":
            killed.append(record.at_ms)
            ended.setdefault(record.source, record.at_ms)
        elif record.kind == "messages_lost":
            messages_lost_ms = min(messages_lost_ms, record.at_ms)
        elif record.kind == "fault_began":
            fault_ms = min(fault_ms, record.at_ms)
    violations: list[Violation] = []
    first_ms = min(drains.values(), default=float("inf"))
    for invoke, response in pair_attempts(history):
        end_ms = response.at_ms if response else float("inf")
        if response is not None and response.outcome not in ("cut", "outcome_unknown"):
            continue
        if end_ms < drains.get(invoke.source, first_ms) or end_ms >= messages_lost_ms:
            continue
        if invoke.source not in drains and end_ms >= fault_ms:
            continue
        if invoke.at_ms >= ended.get(invoke.source, float("inf")):
            continue
        if any(invoke.at_ms - HOME_TAKEOVER_MS <= at_ms <= end_ms for at_ms in killed):
            continue
        text = f"{invoke.tag} failed during the planned stop of {', '.join(drains)}"
        violations.append(Violation("graceful_stop", text, response or invoke))
    return violations


def check_configuration(history: list[Record]) -> list[Violation]:
    """Check that proxies apply accepted changes within seconds and never go back to older ones."""
    violations: list[Violation] = []
    accepted: list[Record] = []
    in_force: dict[str, int] = {}
    for record in history:
        if record.kind == "configuration_accepted":
            accepted.append(record)
        elif record.kind in ("process_started", "process_stopped"):
            in_force.pop(record.source, None)
        elif record.kind == "configuration_in_force":
            if record.revision < in_force.get(record.source, 0):
                text = f"revision fell from {in_force.get(record.source, 0)} to {record.revision}"
                violations.append(Violation("configuration", text, record))
            in_force[record.source] = record.revision
        elif record.kind == "answer" and record.outcome == "ok" and record.revision:
            limit_ms = record.at_ms - IN_FORCE_LIMIT_MS
            due = [item.revision for item in accepted if item.at_ms <= limit_ms]
            if due and record.revision < max(due):
                text = f"served at revision {record.revision} after revision {max(due)} was due"
                violations.append(Violation("configuration", text, record))
    return violations


def check_staleness(history: list[Record]) -> list[Violation]:
    """Check that a read of a shared key is not staler than its contract allows.

    The read must see each write that was acknowledged longer than the limit before it began, unless
    the write was lost at a fork. The values of a key increase.
    """
    violations: list[Violation] = []
    written: dict[str, list[tuple[float, Any]]] = {}
    for attempt in sorted(pair_attempts(history), key=_response_time):
        invoke, response = attempt
        if response is None or response.outcome != "ok" or not invoke.age_limit_ms:
            continue
        if invoke.operation == "write":
            written.setdefault(invoke.key, []).append((response.at_ms, response.value))
            continue
        limit_ms = invoke.at_ms - invoke.age_limit_ms
        due = [value for at_ms, value in written.get(invoke.key, []) if at_ms <= limit_ms]
        if due and (response.value or 0) < max(due):
            text = f"read {response.value}, but {max(due)} is over {invoke.age_limit_ms} ms old"
            violations.append(Violation("age", text, response))
    return violations


Checker = Callable[[list[Record]], list[Violation]]
CHECKERS: dict[str, Checker] = {
    "read_your_writes": check_session,
    "replaced_primary": check_replaced_primary,
    "transactions": check_transactions,
    "whole_answers": check_responses,
    "not_run": check_not_run,
    "at_most_once": check_at_most_once,
    "leaving": check_leaving,
    "graceful_stop": check_graceful_stop,
    "configuration": check_configuration,
}


def check_all(history: list[Record]) -> list[Violation]:
    """Run all checkers and return the violations found."""
    violations: list[Violation] = []
    for checker in CHECKERS.values():
        violations += checker(history)
    return violations


def _response_time(attempt: Attempt) -> float:
    return attempt.response.at_ms if attempt.response else float("inf")
