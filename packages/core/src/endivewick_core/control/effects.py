"""The effects of a control process, which the reducer returns and the node executes.

The node executes them in order, and makes ``SaveVote``, ``AppendEntries``, ``TruncateLog`` and
``SaveSnapshot`` durable before it executes any effect that follows them.
"""

from typing import Any, NamedTuple

from ..messages import LogEntry
from ..upstream_links import CloseConnection, OpenConnection, SendStatements


class SaveVote(NamedTuple):
    """Make the term and the vote durable."""

    term: int
    voted_for: str


class AppendEntries(NamedTuple):
    """Append entries to the durable log."""

    entries: list[LogEntry]


class TruncateLog(NamedTuple):
    """Remove the durable entries from ``from_index`` on."""

    from_index: int


class SaveSnapshot(NamedTuple):
    """Replace the durable entries up to ``last_index`` by a snapshot."""

    last_index: int
    last_term: int
    membership: bytes
    machine: bytes


class Send(NamedTuple):
    """Send a message to the process at ``address``."""

    address: str
    message: Any


class StopProcess(NamedTuple):
    """End the process: its planned stop needs nothing more."""


class AnswerOperator(NamedTuple):
    """Answer an operator's request."""

    number: int
    status: int
    body: dict[str, object]


class LogEvent(NamedTuple):
    """Write a log line and count ``name``; ``text`` describes the event.

    ``inputs`` holds what decided it: identities, positions, and the ages of what was known.
    """

    level: str
    name: str
    text: str
    inputs: dict[str, object] | None = None


class AnswerConfiguration(NamedTuple):
    """Answer an operator's read of the configuration with its compressed document."""

    number: int
    document: bytes


class RedirectOperator(NamedTuple):
    """Redirect an operator to the leader's operator address."""

    number: int
    operator_address: str


class AcknowledgeReport(NamedTuple):
    """Acknowledge an upstream's report; later reports should go to ``report_to``."""

    number: int
    report_to: str


class RefuseReport(NamedTuple):
    """Refuse an upstream's report that no other process confirmed, so that it reports elsewhere."""

    number: int


class OrderFailover(NamedTuple):
    """Order the platform to make ``upstream`` the primary of ``service``.

    The platform refuses a ``token`` lower than one that it has seen for the service.
    """

    service: str
    upstream: str
    holder: str
    token: int


Effect = (
    SaveVote
    | AppendEntries
    | TruncateLog
    | SaveSnapshot
    | Send
    | StopProcess
    | AnswerOperator
    | LogEvent
    | AnswerConfiguration
    | RedirectOperator
    | AcknowledgeReport
    | RefuseReport
    | OrderFailover
    | OpenConnection
    | SendStatements
    | CloseConnection
)
