"""The events that a soak records: of clients, upstreams, the platform and operators.

A kept run writes them to ``history.jsonl`` under their class and field names.
"""

from typing import NamedTuple

from endivewick_core.routes import Freshness


class Invoked(NamedTuple):
    """A client sent a statement; ``transaction`` is empty outside one.

    ``began_ms`` is when the statement, or the first of its transaction, was sent. ``text`` is what
    an upstream should run; a prepared statement's shape replaces its name.
    """

    at_ms: float
    request_id: str
    session: str
    gateway: str
    workspace: str
    service: str
    freshness: Freshness
    staleness_ms: int
    transaction: str
    began_ms: float
    kind: str
    text: str
    values: tuple[tuple[str, str], ...]


class Answered(NamedTuple):
    """A client received an answer or lost its connection.

    ``outcome`` is ``ok`` for an upstream's answer, ``own`` for the gateway's, ``cut`` where the
    connection ended or no answer came in time, or else the name of a fault.

    ``promises_nothing_kept`` is set where the answer says that no effect of the attempt is kept.
    """

    at_ms: float
    request_id: str
    outcome: str
    promises_nothing_kept: bool
    rows: tuple[str, ...]
    proof: str


class Ran(NamedTuple):
    """An upstream ran a read, a write or a commit.

    ``applied`` is the number of log entries that a read saw. ``connection`` and ``transaction`` are
    numbers given by the upstream; ``transaction`` is 0 outside one.
    """

    at_ms: float
    request_id: str
    service: str
    upstream: str
    kind: str
    text: str
    connection: int
    transaction: int
    values: tuple[tuple[str, str], ...]
    applied: int
    rows: tuple[str, ...]
    proof: str


class Committed(NamedTuple):
    """An upstream appended a commit to its log as entry ``number``."""

    at_ms: float
    service: str
    upstream: str
    number: int
    request_ids: tuple[str, ...]


class Promoted(NamedTuple):
    """An upstream became primary of a new term; ``log`` holds the request ids in its log."""

    at_ms: float
    service: str
    upstream: str
    term: int
    log: frozenset[str]


class Ordered(NamedTuple):
    """The platform accepted a failover order: to make ``upstream`` the primary."""

    at_ms: float
    service: str
    upstream: str
    holder: str
    token: int


class Joined(NamedTuple):
    """A new upstream started; it may have the name of one that left."""

    at_ms: float
    service: str
    upstream: str


class Leaving(NamedTuple):
    """A control process acknowledged the planned removal of an upstream."""

    at_ms: float
    service: str
    upstream: str


class ConfigurationAcknowledged(NamedTuple):
    """An operator's configuration was acknowledged."""

    at_ms: float
    version: int
    is_valid: bool
    workspaces: frozenset[str]


class ConfigurationRead(NamedTuple):
    """A control process answered an operator's request for the newest configuration."""

    at_ms: float
    asked_ms: float
    version: int


class Disturbed(NamedTuple):
    """A fault began or ended, or the soak itself was delayed."""

    at_ms: float
    what: str


class StopPlanned(NamedTuple):
    """A gateway was sent the signal for a planned stop."""

    at_ms: float
    gateway: str


class EndedByItself(NamedTuple):
    """A process ended though the soak had not stopped it."""

    at_ms: float
    process: str
    code: int


Event = (
    Invoked
    | Answered
    | Ran
    | Committed
    | Promoted
    | Ordered
    | Joined
    | Leaving
    | ConfigurationAcknowledged
    | ConfigurationRead
    | Disturbed
    | StopPlanned
    | EndedByItself
)
