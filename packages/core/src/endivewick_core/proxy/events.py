"""The events that a proxy's reducer handles.

``now_ms`` is the process's monotonic clock. ``connection`` identifies an upstream connection, and
``number`` a caller's request; the process itself assigns both and never reuses one.
"""

from typing import Any, NamedTuple

from ..messages import Announcement


class Tick(NamedTuple):
    """Time passed."""

    now_ms: int


class CallerRequest(NamedTuple):
    """A caller's request whose syntax has been checked.

    ``operation`` is ``read``, ``write``, ``begin``, ``commit``, ``rollback`` or ``issue_ids``.
    ``work_class`` is ``short`` or ``long``, or empty to have it learned from run times.
    """

    operation: str
    customer: str
    statement: Any
    work_class: str
    request_id: str
    transaction: str
    deadline_ms: int
    token: str
    id_count: int = 0


class CallerRequestReceived(NamedTuple):
    """A caller's request arrived."""

    now_ms: int
    number: int
    caller_request: CallerRequest


class MessageReceived(NamedTuple):
    """A message from the process at ``sender`` arrived."""

    now_ms: int
    sender: str
    message: Any


class UpstreamAnnounced(NamedTuple):
    """An upstream announced itself to this proxy."""

    now_ms: int
    announcement: Announcement


class ConnectionOpened(NamedTuple):
    """A connection to an upstream was opened."""

    now_ms: int
    connection: int


class UpstreamAnswer(NamedTuple):
    """A complete response of an upstream; ``status`` is the HTTP status."""

    status: int
    term: int
    offset: int
    role: str
    value: Any


class UpstreamAnswered(NamedTuple):
    """An upstream answered the request that was in flight on the connection."""

    now_ms: int
    connection: int
    answer: UpstreamAnswer


class ConnectionBroke(NamedTuple):
    """A connection failed or was closed by the upstream."""

    now_ms: int
    connection: int
    reason: str


class ForwardUnsent(NamedTuple):
    """A forwarded request could not be sent; no part of it left this process."""

    now_ms: int
    number: int


class DrainRequested(NamedTuple):
    """A graceful shutdown was requested."""

    now_ms: int


Event = (
    Tick
    | CallerRequestReceived
    | MessageReceived
    | UpstreamAnnounced
    | ConnectionOpened
    | UpstreamAnswered
    | ConnectionBroke
    | ForwardUnsent
    | DrainRequested
)
