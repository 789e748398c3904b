"""Runs statements at an upstream of the model, without I/O or waiting.

A commit is appended to the log at once. Its answer must wait until a replica has received it; see
``is_commit_replicated``.
"""

from dataclasses import dataclass, field
from itertools import count
from typing import NamedTuple

from endivewick_core.positions import Position
from endivewick_core.statements import (
    Error,
    Fault,
    Statement,
    StatementKind,
    TransactionState,
    UpstreamStatement,
)

from . import database as db
from .checks import Recorder
from .history import Committed, Ran

K = StatementKind
WORK_KINDS = frozenset({K.READ, K.WRITE, K.EXECUTE, K.COMMIT})


@dataclass(slots=True)
class Transaction:
    """An open transaction of a connection; ``term`` is the member's term at BEGIN."""

    number: int
    term: int
    is_read_only: bool
    has_failed: bool = False
    writes: list[tuple[str, str]] = field(default_factory=list)
    request_ids: list[str] = field(default_factory=list)


@dataclass(slots=True)
class CallerConnection:
    """A connection of a gateway or of control; a silent one gets no more answers."""

    number: int
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, tuple[str, bool]] = field(default_factory=dict)
    transaction: Transaction | None = None
    greeted: bool = False
    is_silent: bool = False

    @property
    def state(self) -> TransactionState:
        """Return the state of the connection's transaction."""
        if self.transaction is None:
            return TransactionState.IDLE
        return TransactionState.FAILED if self.transaction.has_failed else TransactionState.OPEN


class Commit(NamedTuple):
    """A commit in the log of a leader, which may not be replicated yet."""

    term: int
    number: int
    entry: db.Entry


class Result(NamedTuple):
    """The result of a statement; it is answered once ``commit``, if any, is replicated."""

    rows: tuple[str, ...] = ()
    proof: str = ""
    error: Error | None = None
    commit: Commit | None = None


class Execution(NamedTuple):
    """The context in which statements run: database, recorder of the history, number sequence."""

    database: db.Database
    recorder: Recorder
    numbers: "count[int]"


def run_without_slot(
    execution: Execution,
    member: db.Member,
    connection: CallerConnection,
    message: UpstreamStatement,
) -> Result | None:
    """Run a statement that occupies no slot; return None for any other."""
    statement = message.statement
    kind = statement.kind
    if kind is K.RESET:
        connection.values.clear()
        connection.prepared.clear()
    elif kind is K.SET:
        connection.values[statement.name] = statement.argument
    elif kind is K.PREPARE:
        connection.prepared[statement.name] = (statement.argument, statement.is_write)
    elif kind is K.DEALLOCATE:
        connection.prepared.pop(statement.name, None)
    elif kind is K.ROLLBACK:
        connection.transaction = None
    elif kind in (K.PAUSE, K.RESUME, K.STEP_DOWN):
        term = int(statement.argument or 0)
        if kind is K.STEP_DOWN:
            db.step_down(member, term)
        elif kind is K.PAUSE:
            db.pause(execution.database, member, term)
        else:
            member.paused_term = 0
        role = "primary" if member.is_leader else "replica"
        received = f"{member.received.term}.{member.received.offset}"
        return Result((f"{role} {member.term} {received} {member.paused_term} 0 0 0",))
    elif kind is K.BEGIN:
        if message.wait_for is not None and not _has_applied(member, message.wait_for):
            return Result(error=Error(Fault.LAGGING, ""))
        if not statement.is_read_only and not member.is_leader:
            return Result(error=Error(Fault.READ_ONLY, ""))
        number = next(execution.numbers)
        connection.transaction = Transaction(number, member.term, statement.is_read_only)
    else:
        return None
    return Result()


def fault_before_work(connection: CallerConnection, statement: Statement) -> Fault | None:
    """Return why a statement that needs a slot is refused before it gets one, or None."""
    if statement.kind not in WORK_KINDS:
        return Fault.BAD_REQUEST
    if statement.kind is K.EXECUTE and statement.name not in connection.prepared:
        return Fault.UNKNOWN_STATEMENT
    return None


def run_work(
    execution: Execution,
    now_ms: float,
    member: db.Member,
    connection: CallerConnection,
    message: UpstreamStatement,
) -> Result:
    """Run a read, a write or a commit."""
    statement, transaction = message.statement, connection.transaction
    is_write, key, value, text = _parse_work(connection, statement)
    fault = _fault_of_work(member, transaction, message, is_write)
    if fault is not None:
        return fail(connection, fault)
    rows: tuple[str, ...] = ()
    if statement.kind is not K.COMMIT and not is_write:
        pending = dict(transaction.writes) if transaction is not None else {}
        rows = (pending.get(key) or member.data.get(key, "none"),)
    proof = f"{member.name}.{next(execution.numbers)}"
    execution.recorder.add(
        Ran(
            now_ms,
            statement.request_id,
            execution.database.service,
            member.name,
            "read" if rows else "write",
            text,
            connection.number,
            transaction.number if transaction is not None else 0,
            tuple(sorted(connection.values.items())),
            member.applied,
            rows,
            proof,
        )
    )
    commit = None
    if statement.kind is K.COMMIT:
        connection.transaction = None
        if transaction is not None and transaction.writes:
            request_ids = (*transaction.request_ids, statement.request_id)
            writes = tuple(transaction.writes)
            commit = _commit(execution, now_ms, member, request_ids, writes)
    elif is_write and transaction is not None:
        transaction.writes.append((key, value))
        transaction.request_ids.append(statement.request_id)
    elif is_write:
        request_ids = (statement.request_id,)
        commit = _commit(execution, now_ms, member, request_ids, ((key, value),))
    return Result(rows, proof, None, commit)


def is_commit_replicated(execution: Execution, member: db.Member, commit: Commit) -> bool | None:
    """Return whether a replica has a commit, or None if the member lost it or its leadership.

    With None the statement gets no answer.
    """
    if not member.is_leader or member.term != commit.term:
        return None
    if member.log[commit.number - 1] is not commit.entry:
        return None
    return db.is_replicated(execution.database, member, commit.number)


def fail(connection: CallerConnection, fault: Fault) -> Result:
    """Return a failed result and mark an open transaction as failed."""
    if connection.transaction is not None:
        connection.transaction.has_failed = True
    return Result(error=Error(fault, ""))


def _fault_of_work(
    member: db.Member,
    transaction: Transaction | None,
    message: UpstreamStatement,
    is_write: bool,
) -> Fault | None:
    if transaction is not None and transaction.has_failed:
        return Fault.BAD_REQUEST
    if transaction is not None and not transaction.is_read_only:
        is_still_leader = member.is_leader and member.term == transaction.term
        if not is_still_leader and not (
            message.statement.kind is K.COMMIT and not transaction.writes
        ):
            return Fault.READ_ONLY
    if message.wait_for is not None and not _has_applied(member, message.wait_for):
        return Fault.LAGGING
    if is_write and (not member.is_leader or (transaction and transaction.is_read_only)):
        return Fault.READ_ONLY
    return None


def _commit(
    execution: Execution,
    now_ms: float,
    member: db.Member,
    request_ids: tuple[str, ...],
    writes: tuple[tuple[str, str], ...],
) -> Commit:
    number = db.append(member, request_ids, writes)
    service = execution.database.service
    execution.recorder.add(Committed(now_ms, service, member.name, number, request_ids))
    return Commit(member.term, number, member.log[number - 1])


def _has_applied(member: db.Member, position: Position) -> bool:
    """Return whether reads at a member see the log up to a position."""
    return member.term >= position.term and member.applied >= position.offset


def _parse_work(connection: CallerConnection, statement: Statement) -> tuple[bool, str, str, str]:
    """Return whether a statement writes, its key, its value, and its text as clients record it."""
    if statement.kind is K.COMMIT:
        return False, "", "", statement.text
    if statement.kind is K.EXECUTE:
        shape, is_write = connection.prepared[statement.name]
        key, _, value = statement.argument.partition(" ")
        return is_write, key, value, f"{shape} {statement.argument}"
    _, key, *rest = statement.text.split(" ", 2)
    return statement.kind is K.WRITE, key, rest[0] if rest else "", statement.text
