"""The statements of a client: reads, writes, transactions, session values, prepared statements.

A generator yields them without a request id and receives the outcome of each, so the same code
drives clients over sockets and in simulated time.
"""

from collections.abc import Generator
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import NamedTuple

from endivewick_core.statements import Statement, StatementKind, TransactionState

K = StatementKind
MAX_TRANSACTION_STATEMENTS = 5  # statements between BEGIN and its end
WRITE_SHARE = 0.5  # of the statements in a transaction that may write
INVALID_SHARE = 0.05  # of the statements in a transaction: invalid ones, which must be refused
IDLE_SHARE = 0.01  # of the statements in a transaction: those before which the client idles


class Outcome(NamedTuple):
    """The outcome of a statement, and the transaction state after it."""

    succeeded: bool
    state: TransactionState


@dataclass(slots=True)
class Script:
    """The state of a session as its client knows it, and the sources of its statements.

    ``transaction`` names the open transaction, begun at ``began_ms``. ``idles_next`` is set where
    the client should idle before the next statement for longer than transactions may.
    """

    session: str
    random: Random
    serial: "count[int]"
    items: int
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, str] = field(default_factory=dict)
    transaction: str = ""
    began_ms: float = 0.0
    idles_next: bool = False


Steps = Generator[Statement, Outcome, None]


def run_script(script: Script) -> Steps:
    """Yield statements endlessly."""
    random = script.random
    while True:
        script.transaction = ""
        choice = random.random()
        if choice < 0.05:
            yield from _set_value(script)
        elif choice < 0.10:
            yield from _prepare(script)
        elif choice < 0.35:
            yield from _transaction(script)
        elif choice < 0.60:
            yield _write(script)
        else:
            yield _read(script)


def text_of(script: Script, statement: Statement) -> str:
    """Return the text to run, with the shape of a prepared statement in place of its name."""
    if statement.kind is not K.EXECUTE:
        return statement.text
    return f"{script.prepared.get(statement.name, 'unknown')} {statement.argument}"


def _transaction(script: Script) -> Steps:
    random = script.random
    script.transaction = f"{script.session}.t{next(script.serial)}"
    script.began_ms = 0.0
    only_reads = random.random() < 0.3
    begin = Statement(K.BEGIN, "", "BEGIN FETCH" if only_reads else "BEGIN")
    outcome = yield begin._replace(is_read_only=only_reads)
    for _ in range(random.randint(0, MAX_TRANSACTION_STATEMENTS)):
        if outcome.state is not TransactionState.OPEN:
            break
        script.idles_next = random.random() < IDLE_SHARE
        if random.random() < INVALID_SHARE:
            outcome = yield Statement(K.EXECUTE, "", "", "never-prepared", "i1")
            continue
        is_write = random.random() < (INVALID_SHARE if only_reads else WRITE_SHARE)
        outcome = yield _write(script) if is_write else _read(script)
    # Clients also send COMMIT for some failed transactions.
    rolls_back = random.random() < (0.2 if outcome.state is TransactionState.OPEN else 0.5)
    end = K.ROLLBACK if rolls_back else K.COMMIT
    yield Statement(end, "", end.value.upper())


def _set_value(script: Script) -> Steps:
    name, value = f"v{script.random.randint(1, 3)}", str(next(script.serial))
    outcome = yield Statement(K.SET, "", f"SET {name} {value}", name, value)
    if outcome.succeeded:
        script.values[name] = value


def _prepare(script: Script) -> Steps:
    name, shape = f"p{script.random.randint(1, 3)}", f"q{script.random.randint(1, 4)}"
    outcome = yield Statement(K.PREPARE, "", f"PREPARE {name} FETCH {shape}", name, shape)
    if outcome.succeeded:
        script.prepared[name] = shape


def _write(script: Script) -> Statement:
    item = script.random.randint(1, script.items)
    return Statement(K.WRITE, "", f"PUT i{item} {script.session}-{next(script.serial)}")


def _read(script: Script) -> Statement:
    item = f"i{script.random.randint(1, script.items)}"
    if script.prepared and script.random.random() < 0.3:
        name = script.random.choice(sorted(script.prepared))
        return Statement(K.EXECUTE, "", "", name, item)
    return Statement(K.READ, "", f"FETCH {item}")
