"""What a soak records: what clients sent and got, and what upstreams and the platform saw."""

from typing import NamedTuple

from endivewick_core.routes import Freshness


class Invoked(NamedTuple):
    """A client sent a statement; ``transaction`` is empty outside one.

    ``began_ms`` is when the statement, or the first of its transaction, was sent. ``text`` is what
    an upstream is to run, with the shape of a prepared statement in place of its name.
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
    """A client got an answer; ``outcome`` is ``ok``, ``cut`` or a fault's name.

    ``promises_nothing_kept`` is set where the answer says that nothing of the attempt is kept.
    """

    at_ms: float
    request_id: str
    outcome: str
    promises_nothing_kept: bool
    rows: tuple[str, ...]
    proof: str


class Ran(NamedTuple):
    """An upstream ran a read, a write or a commit.

    ``applied`` is how much of the log the read saw. ``connection`` and ``transaction`` are the
    upstream's own numbers, the latter 0 outside one.
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
    """An upstream leads a new term; ``log`` holds the requests that its log has."""

    at_ms: float
    service: str
    upstream: str
    term: int
    log: frozenset[str]


class Ordered(NamedTuple):
    """The platform accepted an order to change a primary."""

    at_ms: float
    service: str
    upstream: str
    holder: str
    token: int


class Leaving(NamedTuple):
    """A control process acknowledged that an upstream leaves."""

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
    """A control process answered an operator's question for the newest configuration."""

    at_ms: float
    asked_ms: float
    version: int


class Disturbed(NamedTuple):
    """A fault began or ended, or a process was stopped or started."""

    at_ms: float
    what: str


class StopPlanned(NamedTuple):
    """A gateway was told to stop."""

    at_ms: float
    gateway: str


class EndedByItself(NamedTuple):
    """A process ended though nothing had told it to."""

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
    | Leaving
    | ConfigurationAcknowledged
    | ConfigurationRead
    | Disturbed
    | StopPlanned
    | EndedByItself
)
