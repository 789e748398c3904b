"""The effects that a proxy's reducer returns, to be carried out in their order."""

from typing import Any, NamedTuple

from ..exceptions import Failure
from ..messages import ForwardedAnswer, ForwardedRequest


class AnswerCaller(NamedTuple):
    """Answer a caller; ``failure`` is None where the request succeeded."""

    number: int
    failure: Failure | None
    body: dict[str, object]
    token: str


class Send(NamedTuple):
    """Send a message to the endivewick process at ``address``."""

    address: str
    message: Any


class Forward(NamedTuple):
    """Add a request to the batch for the proxy at ``address``."""

    address: str
    request: ForwardedRequest


class ForwardAnswer(NamedTuple):
    """Add an answer to the batch for the proxy at ``address``."""

    address: str
    answer: ForwardedAnswer


class OpenConnection(NamedTuple):
    """Open a connection to the upstream at ``address`` (``ip:port``)."""

    connection: int
    address: str


class SendUpstream(NamedTuple):
    """Send one request on an open connection that has nothing in flight."""

    connection: int
    path: str
    body: dict[str, object]


class CloseConnection(NamedTuple):
    """Close a connection; no further event is reported for it."""

    connection: int


class Served(NamedTuple):
    """Record the run and queue times of a piece of work that a home finished."""

    customer: str
    work_class: str
    operation: str
    outcome: str
    upstream_role: str
    queue_ms: int
    run_ms: int


class Count(NamedTuple):
    """Increment a counter metric."""

    name: str
    amount: int = 1


class LogEvent(NamedTuple):
    """Write a log line and increment the counter of ``name``."""

    level: str
    name: str
    text: str


Effect = (
    AnswerCaller
    | Send
    | Forward
    | ForwardAnswer
    | OpenConnection
    | SendUpstream
    | CloseConnection
    | Served
    | Count
    | LogEvent
)
