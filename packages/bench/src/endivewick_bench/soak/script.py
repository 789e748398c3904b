"""What a client does in a session: reads, writes, transactions, values and prepared statements.

The script is a generator, so that one drives clients over sockets and in simulated time alike: it
yields statements without a request id, and gets what became of each.
"""

from collections.abc import Generator
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import NamedTuple

from endivewick_core.statements import Statement, StatementKind, TransactionState

K = StatementKind
TRANSACTION_LIMIT = 5  # statements between BEGIN and its end
WRITES = 0.5  # of the statements in a transaction that may write
MISTAKES = 0.05  # of the statements in a transaction: what must be refused
RESTS = 0.01  # of the statements in a transaction, before which a client rests for long


class Outcome(NamedTuple):
    """What became of a statement, and where the session stands."""

    succeeded: bool
    state: TransactionState


@dataclass(slots=True)
class Script:
    """A session's script and what its client knows of the session.

    ``transaction`` names the open transaction, begun at ``began_ms``; ``rests`` is set where the
    client is to wait for long before the next statement.
    """

    session: str
    random: Random
    serial: "count[int]"
    items: int
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, str] = field(default_factory=dict)
    transaction: str = ""
    began_ms: float = 0.0
    rests: bool = False


Steps = Generator[Statement, Outcome, None]


def run_script(script: Script) -> Steps:
    """Yield statements without end."""
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
    """Return what an upstream is to run: the shape in place of a prepared statement's name."""
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
    for _ in range(random.randint(0, TRANSACTION_LIMIT)):
        if outcome.state is not TransactionState.OPEN:
            break
        script.rests = random.random() < RESTS
        if random.random() < MISTAKES:
            outcome = yield Statement(K.EXECUTE, "", "", "never-prepared", "i1")
            continue
        is_write = random.random() < (MISTAKES if only_reads else WRITES)
        outcome = yield _write(script) if is_write else _read(script)
    # A client may also ask to commit what has failed.
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
