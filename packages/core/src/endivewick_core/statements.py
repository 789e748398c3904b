"""Statements: what clients send, what goes upstream, and what upstreams answer."""

from enum import StrEnum
from typing import NamedTuple

from .positions import Position


class StatementKind(StrEnum):
    """What a statement asks for."""

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
    UNREADABLE = "unreadable"


class Statement(NamedTuple):
    """A client's statement.

    ``text`` is forwarded as it is. ``name`` is that of a session value or a prepared statement, and
    ``argument`` the value, the shape or the arguments that follow it. ``is_write`` is set for a
    prepared write, and ``is_read_only`` for a transaction that only reads.
    """

    kind: StatementKind
    request_id: str
    text: str
    name: str = ""
    argument: str = ""
    is_write: bool = False
    is_read_only: bool = False


class PreparedStatement(NamedTuple):
    """What a prepared name runs."""

    shape: str
    is_write: bool


class UpstreamStatement(NamedTuple):
    """A statement for an upstream; it runs only where the log has reached ``wait_for``."""

    statement: Statement
    wait_for: Position | None = None


class Fault(StrEnum):
    """Why a statement failed, for clients and from upstreams.

    The first group promises that nothing of the attempt is kept; the second promises nothing.
    """

    BUSY = "busy"
    ABORTED = "aborted"
    LAGGING = "lagging"
    READ_ONLY = "read_only"
    MOVED = "moved"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    UNKNOWN_STATEMENT = "unknown_statement"
    UNKNOWN_WORKSPACE = "unknown_workspace"
    BAD_REQUEST = "bad_request"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TIMEOUT = "timeout"
    FAILED = "failed"


UPSTREAM_DID_NOT_RUN = frozenset(
    {Fault.BUSY, Fault.LAGGING, Fault.READ_ONLY, Fault.UNKNOWN_STATEMENT}
)


class Error(NamedTuple):
    """A failure with its text; ``retry_after_ms`` is when to come back, or 0."""

    fault: Fault
    text: str
    retry_after_ms: int = 0


class TransactionState(StrEnum):
    """Where a session or an upstream connection stands."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class UpstreamStatus(NamedTuple):
    """What an upstream says of its log; ``received`` may not be applied yet."""

    is_primary: bool
    received: Position


class UpstreamReply(NamedTuple):
    """An upstream's whole answer to one statement; ``proof`` is set only without an ``error``."""

    rows: tuple[str, ...]
    proof: str
    error: Error | None
    state: TransactionState
    position: Position | None
    status: UpstreamStatus | None = None


OWN_ID = "-"


def own(kind: StatementKind, name: str = "", argument: str = "", **flags: bool) -> Statement:
    """Return a statement that endivewick itself sends upstream."""
    return Statement(kind, OWN_ID, "", name, argument, **flags)


BEGIN = own(StatementKind.BEGIN)
BEGIN_READ_ONLY = own(StatementKind.BEGIN, is_read_only=True)
ROLLBACK = own(StatementKind.ROLLBACK)
RESET = own(StatementKind.RESET)
RESUME = own(StatementKind.RESUME)
