"""The effects that a gateway's reducer returns; they are carried out in the returned order."""

from typing import Any, NamedTuple

from ..positions import Position
from ..statements import Error, TransactionState
from ..upstream_links import CloseConnection, OpenConnection, SendStatements


class AcceptSession(NamedTuple):
    """Confirm to a client that its session is open."""

    session: int


class RefuseSession(NamedTuple):
    """Refuse a session with an error and close its connection."""

    session: int
    error: Error


class AnswerStatement(NamedTuple):
    """Answer the current statement of a session.

    ``proof`` is the upstream's; it is empty in answers that the gateway gives itself.
    """

    session: int
    rows: tuple[str, ...]
    proof: str
    error: Error | None
    state: TransactionState
    position: Position | None


class CloseSession(NamedTuple):
    """Close a session's connection after everything written to it was sent."""

    session: int


class FinishSession(NamedTuple):
    """Read what a session has sent so far; report it as idle if that is nothing."""

    session: int


class Send(NamedTuple):
    """Send a message to the control process or gateway at ``address``."""

    address: str
    message: Any


class Connect(NamedTuple):
    """Connect to the process at ``address`` before the first message."""

    address: str


class ApplyDocument(NamedTuple):
    """Decode a configuration document and return it as a ``ConfigurationReceived`` event."""

    version: int
    document: bytes


class LogEvent(NamedTuple):
    """Log an event: what was decided, for which request, from which inputs."""

    level: str
    event: str
    request_id: str
    workspace: str
    inputs: dict[str, object]
    outcome: str


class StatementServed(NamedTuple):
    """Record an answered statement in counters and histograms."""

    workspace: str
    kind: str
    outcome: str
    took_ms: int


Effect = (
    AcceptSession
    | RefuseSession
    | AnswerStatement
    | CloseSession
    | FinishSession
    | OpenConnection
    | SendStatements
    | CloseConnection
    | Send
    | Connect
    | ApplyDocument
    | LogEvent
    | StatementServed
)
