"""The state of a gateway; ``reduce`` alone changes it."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from ..directory import Directory
from ..messages import ControlPeer
from ..positions import Position
from ..routes import EMPTY, Configuration, Route
from ..statements import PreparedStatement, Statement, StatementKind, TransactionState
from ..watermarks import WatermarkHistory
from .effects import Send


class GatewaySettings(NamedTuple):
    """The names, addresses and times of a gateway."""

    address: str
    boot: str
    data_centre: str
    regions: dict[str, str]
    control_addresses: list[str]
    poll_ms: int = 250  # a fifth of the shortest staleness that contracts commonly allow
    control_timeout_ms: int = 700  # a lost message and the longest round trip between regions
    open_timeout_ms: int = 1_500  # a handshake, the longest round trip and one lost packet
    idle_connection_ms: int = 15_000  # one swing of the load, so that crests find connections open
    allowance_step_ms: int = 100  # between two connections above this gateway's share
    borrowed_idle_ms: int = 1_500  # the same above this gateway's share, which others may need
    writes_failing_ms: int = 1_500  # one statement timeout and half of the next
    unconfigured_ms: int = 1_500  # how long statements wait for the first configuration
    refused_pause_ms: int = 150  # how long an upstream at its connection limit is left alone
    queue_limit: int = 500  # statements that wait in one gateway; memory stays below a megabyte


def distance(settings: GatewaySettings, data_centre: str) -> int:
    """Return 0 for the gateway's own data centre, 1 for its region, 2 for another region."""
    if data_centre == settings.data_centre:
        return 0
    regions = settings.regions
    return 1 if regions.get(data_centre) == regions.get(settings.data_centre) else 2


@dataclass(slots=True)
class Request:
    """A session's statement on its way to an upstream.

    ``tried`` holds the upstreams that refused it without running it. ``sent_ms`` is zero until
    bytes of it may have reached an upstream.
    """

    session: int
    statement: Statement
    route: Route
    received_ms: int
    deadline_ms: int
    serial: int
    is_write: bool = False
    tried: set[str] = field(default_factory=set)
    attempts: int = 0
    sent_ms: int = 0
    upstream: str = ""
    wait_for: Position | None = None
    last_refusal: str = ""
    forwarded_to: str = ""

    @property
    def changes_data(self) -> bool:
        """Tell whether an upstream answers only once a replica has what it changes."""
        return self.is_write or self.statement.kind is StatementKind.COMMIT


@dataclass(slots=True)
class Session:
    """A client's session; ``connection`` is pinned while a transaction runs upstream.

    ``holder`` is the gateway that runs its transaction, where that is another one. ``origin`` names
    a session of another gateway that this one runs statements for: its address, boot and number;
    ``origin_number`` is that gateway's number of the statement.
    """

    number: int
    workspace: str
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)
    state: TransactionState = TransactionState.IDLE
    route: Route | None = None
    is_read_only: bool = False
    wrote: bool = False
    statements_run: int = 0
    position: Position | None = None
    current: Request | None = None
    connection: int | None = None
    waiting: deque[Statement] = field(default_factory=deque)
    active_ms: int = 0
    holder: str = ""
    origin: tuple[str, str, int] | None = None
    origin_number: int = 0


class Purpose(StrEnum):
    """What a statement on an upstream connection is for."""

    SETUP = "setup"
    BEGIN = "begin"
    ROLLBACK = "rollback"
    WORK = "work"


@dataclass(slots=True)
class Pending:
    """A statement that an upstream connection has not answered yet.

    ``request`` is None where nobody waits for the answer any more.
    """

    purpose: Purpose
    sent_ms: int
    request: Request | None = None


@dataclass(slots=True)
class Connection:
    """One connection to an upstream.

    ``values`` and ``prepared`` are what the upstream holds for it. ``in_transaction`` is set
    between a BEGIN and its end. On the primary, idle connections are kept inside a transaction, so
    that a read takes one round trip and can't run where the lead was lost. ``is_used`` tells that a
    session ran statements in the transaction, and ``is_dirty`` that values must be reset before the
    next session. ``next_request`` waits for the statements that prepare the connection for it.
    """

    number: int
    upstream: str
    opened_ms: int
    is_open: bool = False
    in_transaction: bool = False
    begun_version: int = 0
    is_used: bool = False
    session: int | None = None
    is_dirty: bool = False
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[PreparedStatement, str] = field(default_factory=dict)
    pending: deque[Pending] = field(default_factory=deque)
    next_request: Request | None = None
    idle_since_ms: int = 0
    heard_ms: int = 0


@dataclass(slots=True)
class UpstreamPool:
    """A gateway's connections to one upstream, and how it has answered.

    ``allowance`` is how many connections it may open, last raised at ``grown_ms``; ``full_ms`` is
    when the upstream last refused one for its limit. ``busy_count`` is how often in a row it
    refused a statement for lack of room.
    """

    upstream: str
    service: str
    connections: dict[int, Connection] = field(default_factory=dict)
    idle: list[int] = field(default_factory=list)
    running: int = 0
    latency_ms: float = 0.0
    failure_rate: float = 0.0
    closed_until_ms: int = 0
    lagging_until_ms: int = 0
    busy_until_ms: int = 0
    busy_count: int = 0
    refused_until_ms: int = 0
    failures: int = 0
    allowance: int = 0
    grown_ms: int = 0
    full_ms: int | None = None


@dataclass(slots=True)
class ControlLink:
    """The polling of control: whom this gateway asks, and what it has heard.

    ``holders_heard_ms`` is when each holder answered last, and ``undelivered_ms`` since when it
    can't be sent to.

    ``contended`` gives, for each upstream that refused a gateway lately, how many connections all
    gateways want together.
    """

    address: str = ""
    peers: list[ControlPeer] = field(default_factory=list)
    next_seed: int = 0
    sequence: int = 0
    asked_ms: int = 0
    asked_at_ms: dict[int, int] = field(default_factory=dict)
    heard_ms: int | None = None
    due_ms: int = 0
    avoid_until_ms: dict[str, int] = field(default_factory=dict)
    boot: str = ""
    revision: int = 0
    gateways: int = 1
    contended: dict[str, int] = field(default_factory=dict)
    neighbours: tuple[str, ...] = ()
    ranked: dict[str, list[str]] = field(default_factory=dict)
    holders_heard_ms: dict[str, int] = field(default_factory=dict)
    undelivered_ms: dict[str, int] = field(default_factory=dict)


class Queued(NamedTuple):
    """A request that waits; the lowest priority number goes first, then the oldest."""

    priority: int
    serial: int
    request: Request


@dataclass(slots=True)
class ServiceQueue:
    """The requests of one service that wait for a connection, by who may serve them; heaps."""

    primary: list[Queued] = field(default_factory=list)
    reads: list[Queued] = field(default_factory=list)


@dataclass(slots=True)
class GatewayState:
    """The whole state of a gateway.

    ``retry_budget`` is how many late reads may be sent once more now.

    ``unsent`` is what could not be sent to other gateways yet.
    ``remote`` are the sessions of other gateways that this one runs statements for, and
    ``begun_floor`` the newest configuration that is known to be in force at any of them.
    By service, ``led_ms`` is when the primary is last known to have led, ``write_waiting_ms`` when
    the first write was sent of which the primary has not answered any since, and
    ``unreachable_ms`` since when it can't be reached.
    """

    settings: GatewaySettings
    configuration: Configuration = EMPTY
    directory: Directory = field(default_factory=Directory)
    control: ControlLink = field(default_factory=ControlLink)
    watermarks: dict[str, WatermarkHistory] = field(default_factory=dict)
    primaries: dict[str, str] = field(default_factory=dict)
    led_ms: dict[str, int] = field(default_factory=dict)
    write_waiting_ms: dict[str, int] = field(default_factory=dict)
    unreachable_ms: dict[str, int] = field(default_factory=dict)
    pools: dict[str, UpstreamPool] = field(default_factory=dict)
    connections: dict[int, Connection] = field(default_factory=dict)
    sessions: dict[int, Session] = field(default_factory=dict)
    requests: dict[int, Request] = field(default_factory=dict)
    queues: dict[str, ServiceQueue] = field(default_factory=dict)
    remote: dict[tuple[str, str, int], int] = field(default_factory=dict)
    next_remote: int = 0
    unsent: list[Send] = field(default_factory=list)
    begun_floor: int = 0
    requested_version: int = 0
    next_connection: int = 1
    next_serial: int = 1
    queued: int = 0
    retry_budget: float = 10.0
    sweep_due_ms: int = 0
    draining_since_ms: int | None = None
    drain_grace_ms: int = 0
