"""The effects of a gateway, in the order to carry out."""

from typing import Any, NamedTuple

from ..positions import Position
from ..statements import Error, TransactionState
from ..upstream_links import CloseConnection, OpenConnection, SendStatements


class AcceptSession(NamedTuple):
    """Tell a client that its session is open."""

    session: int


class RefuseSession(NamedTuple):
    """Refuse a session and close its connection."""

    session: int
    error: Error


class AnswerStatement(NamedTuple):
    """Answer the statement that a session waits for; ``proof`` is empty for our own answers."""

    session: int
    rows: tuple[str, ...]
    proof: str
    error: Error | None
    state: TransactionState
    position: Position | None


class CloseSession(NamedTuple):
    """Close a session's connection once everything written has left."""

    session: int


class Send(NamedTuple):
    """Send a message to the control process at ``address``."""

    address: str
    message: Any


class Connect(NamedTuple):
    """Connect to the process at ``address`` ahead of the first message."""

    address: str


class ApplyDocument(NamedTuple):
    """Decode a configuration document and hand it back as ``ConfigurationReceived``."""

    version: int
    document: bytes


class Decision(NamedTuple):
    """A decision to log: what was decided, for which request, from which inputs."""

    level: str
    event: str
    request_id: str
    workspace: str
    inputs: dict[str, object]
    outcome: str


class Served(NamedTuple):
    """The end of a statement, for counters and histograms."""

    workspace: str
    kind: str
    outcome: str
    took_ms: int


Effect = (
    AcceptSession
    | RefuseSession
    | AnswerStatement
    | CloseSession
    | OpenConnection
    | SendStatements
    | CloseConnection
    | Send
    | Connect
    | ApplyDocument
    | Decision
    | Served
)
