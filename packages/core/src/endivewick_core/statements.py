"""Statements of clients, statements sent to upstreams, and the replies of upstreams."""

from enum import StrEnum
from typing import NamedTuple

from .positions import Position


class StatementKind(StrEnum):
    """The kind of a statement."""

    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"
    RESET = "reset"
    PAUSE = "pause"
    RESUME = "resume"
    STEP_DOWN = "stepdown"
    UNREADABLE = "unreadable"


class Statement(NamedTuple):
    """A client's statement.

    ``text`` is forwarded unchanged. ``name`` is the name of a session value or of a prepared
    statement, and ``argument`` the value, the prepared statement's shape or its arguments.
    ``is_write`` is set for a prepared write, and ``is_read_only`` for a read-only transaction.
    """

    kind: StatementKind
    request_id: str
    text: str
    name: str = ""
    argument: str = ""
    is_write: bool = False
    is_read_only: bool = False


class PreparedStatement(NamedTuple):
    """A prepared statement: its shape and whether it writes."""

    shape: str
    is_write: bool


class UpstreamStatement(NamedTuple):
    """A statement for an upstream, which runs it only if its log has reached ``wait_for``."""

    statement: Statement
    wait_for: Position | None = None


class Fault(StrEnum):
    """Why a statement failed, as reported to clients and by upstreams.

    The first group, up to ``BAD_REQUEST``, guarantees that the attempt has no lasting effect. The
    second group gives no such guarantee.
    """

    BUSY = "busy"
    ABORTED = "aborted"
    LAGGING = "lagging"
    READ_ONLY = "read_only"
    MOVED = "moved"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    UNKNOWN_STATEMENT = "unknown_statement"
    UNKNOWN_WORKSPACE = "unknown_workspace"
    UNAUTHENTICATED = "unauthenticated"
    BAD_REQUEST = "bad_request"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TIMEOUT = "timeout"
    FAILED = "failed"


UPSTREAM_DID_NOT_RUN = frozenset(
    {Fault.BUSY, Fault.LAGGING, Fault.READ_ONLY, Fault.UNKNOWN_STATEMENT}
)


class Error(NamedTuple):
    """A failure with its text; ``retry_after_ms`` is how long to wait before a retry, or 0."""

    fault: Fault
    text: str
    retry_after_ms: int = 0


class TransactionState(StrEnum):
    """The transaction state of a session or an upstream connection."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class UpstreamStatus(NamedTuple):
    """An upstream's role, its term and the end of the log it has received.

    The end of the log may not be applied yet, and its term is that of its last entry. A replica
    receives nothing while ``paused_term`` is above its ``term``.
    """

    is_primary: bool
    received: Position
    term: int
    paused_term: int


class UpstreamReply(NamedTuple):
    """An upstream's complete reply to one statement.

    ``proof`` is set only if there is no ``error``.
    """

    rows: tuple[str, ...]
    proof: str
    error: Error | None
    state: TransactionState
    position: Position | None
    status: UpstreamStatus | None = None


INTERNAL_REQUEST_ID = "-"


def internal_statement(
    kind: StatementKind, name: str = "", argument: str = "", **flags: bool
) -> Statement:
    """Return a statement that endivewick itself, rather than a client, sends to an upstream."""
    return Statement(kind, INTERNAL_REQUEST_ID, "", name, argument, **flags)


BEGIN = internal_statement(StatementKind.BEGIN)
BEGIN_READ_ONLY = internal_statement(StatementKind.BEGIN, is_read_only=True)
ROLLBACK = internal_statement(StatementKind.ROLLBACK)
RESET = internal_statement(StatementKind.RESET)
RESUME = internal_statement(StatementKind.RESUME)
