"""The state of a gateway.

Only ``reducer.reduce`` and the functions that it calls change it.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from ..directory import Directory
from ..messages import ConnectionDemand, ControlPeer
from ..positions import Position
from ..primary_leases import PrimaryLeases
from ..routes import EMPTY, Configuration, Route
from ..statements import (
    PreparedStatement,
    Statement,
    StatementKind,
    TransactionState,
    UpstreamReply,
)
from ..upstream_statistics import UpstreamHealth
from ..watermarks import WatermarkHistory
from .effects import Send
from .quota_state import QuotaState


class GatewaySettings(NamedTuple):
    """A gateway's names, addresses, time limits and queue size."""

    address: str
    boot: str
    data_centre: str
    regions: dict[str, str]
    control_addresses: list[str]
    # A fifth of the shortest staleness that contracts commonly allow.
    poll_interval_ms: int = 250
    # Covers one lost message and the longest round trip between regions.
    control_timeout_ms: int = 700
    # Covers a handshake, the longest round trip and one lost packet.
    open_timeout_ms: int = 1_500
    # One period of the load's variation, so that connections are still open at the next peak load.
    idle_connection_timeout_ms: int = 15_000
    # The time between two connections opened above this gateway's share.
    allowance_interval_ms: int = 100
    # Idle connections above this gateway's share close sooner, since other gateways may need them.
    excess_idle_timeout_ms: int = 1_500
    # One statement timeout and half of the next.
    writes_failing_after_ms: int = 1_500
    # How long statements wait for the first configuration.
    configuration_wait_ms: int = 1_500
    # How long no connection is opened to an upstream that is at its connection limit.
    connection_limit_backoff_ms: int = 150
    # Queued statements of one gateway; keeps the queue's memory below a megabyte.
    queue_limit: int = 500
    # Whether a commit is acknowledged only under a lease on its primary.
    commits_need_leases: bool = False
    # Whether the platform leaves former primaries running, so that a lease proves which one leads.
    needs_primary_leases: bool = False
    # Whether connections are opened, and waiting requests refused, as all gateways together allow.
    coordinates_connections: bool = False
    # With fewer connections for each gateway, connection holders run statements for the others; a
    # gateway with less than one connection can't serve by itself.
    min_connection_share: int = 1
    # Whether outcomes are reported to control, and reads distributed by the weights of upstreams.
    uses_upstream_weights: bool = False


def distance(settings: GatewaySettings, data_centre: str) -> int:
    """Return 0 for the gateway's own data centre, 1 for its region, 2 for another region."""
    if data_centre == settings.data_centre:
        return 0
    regions = settings.regions
    return 1 if regions.get(data_centre) == regions.get(settings.data_centre) else 2


@dataclass(slots=True)
class Request:
    """A session's statement that needs an upstream and has not been answered yet.

    ``tried`` holds the upstreams that are not chosen again for this request: they refused it as
    lagging, failed it as a single read, or lost its connection. ``sent_ms`` is zero until bytes of
    it may have reached an upstream. ``tenant`` is that of its session, and ``turn`` its turn in the
    queue once it was queued. ``token_until_ms`` is when the token of its tenant's limit expires,
    zero without one.
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
    tenant: str = ""
    token_until_ms: int = 0
    turn: int | None = None

    @property
    def changes_data(self) -> bool:
        """Tell whether the upstream answers only after a replica has received the change."""
        return self.is_write or self.statement.kind is StatementKind.COMMIT


@dataclass(slots=True)
class Session:
    """A client's session, or the session of another gateway that this one runs statements for.

    ``connection`` is pinned while a transaction runs upstream. ``holder`` is the gateway that runs
    the session's transaction, where that is another one. ``origin`` is set for a session of another
    gateway: that gateway's address and boot, and its number for the session.
    ``origin_request_serial`` is that gateway's number for the current statement, and
    ``configuration_version`` the newest configuration that it had. ``stored_bytes`` is the size of
    the names and texts in ``values`` and ``prepared``. ``is_new`` is set until its first
    operation.

    ``key`` is what the client presented, and ``tenant`` the tenant that the session runs as.
    """

    number: int
    workspace: str
    key: str = field(default="", repr=False)
    tenant: str = ""
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)
    state: TransactionState = TransactionState.IDLE
    route: Route | None = None
    is_read_only: bool = False
    has_written: bool = False
    statements_run: int = 0
    position: Position | None = None
    current: Request | None = None
    connection: int | None = None
    waiting: deque[Statement] = field(default_factory=deque)
    stored_bytes: int = 0
    last_active_ms: int = 0
    is_new: bool = True
    holder: str = ""
    origin: tuple[str, str, int] | None = None
    origin_request_serial: int = 0
    configuration_version: int = 0


class Purpose(StrEnum):
    """What a statement on an upstream connection is for."""

    SETUP = "setup"
    BEGIN = "begin"
    ROLLBACK = "rollback"
    WORK = "work"


@dataclass(slots=True)
class PendingStatement:
    """A statement that an upstream connection has not answered yet.

    ``request`` is None where no session waits for the answer.
    """

    purpose: Purpose
    sent_ms: int
    request: Request | None = None


@dataclass(slots=True)
class Connection:
    """One connection to an upstream; it serves only its ``tenant``, empty without tenants.

    ``values`` and ``prepared`` are what the upstream stores for it. ``in_transaction`` is set
    between a BEGIN and the end of its transaction, and ``transaction_version`` is the configuration
    version at that BEGIN. On the primary, idle connections are kept inside a transaction, so that a
    read takes one round trip and can't run on an upstream that is no longer the primary.
    ``is_used`` is set once a session ran statements in the transaction, ``is_unused`` until the
    connection ran its first statement, and ``is_dirty`` once
    values must be reset before the next session. ``next_request`` waits for the answers to the
    statements that prepare the connection for it. ``taken_ms`` is since when a session occupies it.
    """

    number: int
    upstream: str
    opened_ms: int
    tenant: str = ""
    is_open: bool = False
    in_transaction: bool = False
    transaction_version: int = 0
    is_used: bool = False
    session: int | None = None
    is_dirty: bool = False
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[PreparedStatement, str] = field(default_factory=dict)
    pending: deque[PendingStatement] = field(default_factory=deque)
    next_request: Request | None = None
    idle_since_ms: int = 0
    taken_ms: int | None = None
    last_used_ms: int = 0
    is_unused: bool = True
    last_received_ms: int = 0


@dataclass(slots=True)
class OpeningState:
    """What ``connection_admission`` knows about one upstream.

    ``extra`` is how many connections above its share this gateway may have, as drawn at
    ``drawn_ms`` for the ``draws``-th time. ``reported_unmet`` is how many it wanted above what it
    claimed, at its last poll. ``refusals`` counts the consecutive openings that were refused for
    the connection limit. ``known_since_ms`` is since when the pool could be opened to.
    ``newest_answered_ms`` is when the newest answered statement was sent. ``hold_ms`` is the mean
    of the ``holds`` times for which a request occupied a connection.
    """

    extra: int = 0
    drawn_ms: int = 0
    draws: int = 0
    reported_unmet: int = 0
    refusals: int = 0
    known_since_ms: int | None = None
    newest_answered_ms: int = 0
    holds: int = 0
    hold_ms: float = 0.0


@dataclass(slots=True)
class UpstreamPool:
    """A gateway's connections to one upstream, and the upstream's recent latency and failures.

    ``allowance`` is how many connections the gateway may open, last raised at
    ``allowance_raised_ms``. ``limit_reached_ms`` is when the upstream last refused a connection
    for its connection limit. ``consecutive_busy_count`` counts the consecutive statements that it
    refused for lack of capacity.
    """

    upstream: str
    service: str
    connections: dict[int, Connection] = field(default_factory=dict)
    idle: list[int] = field(default_factory=list)
    running: int = 0
    latency_ms: float = 0.0
    failure_rate: float = 0.0
    connect_backoff_until_ms: int = 0
    lagging_backoff_until_ms: int = 0
    busy_backoff_until_ms: int = 0
    consecutive_busy_count: int = 0
    read_only_backoff_until_ms: int = 0
    connect_failures: int = 0
    allowance: int = 0
    allowance_raised_ms: int = 0
    limit_reached_ms: int | None = None
    opening: OpeningState = field(default_factory=OpeningState)
    health: UpstreamHealth = field(default_factory=UpstreamHealth)


class TenantHolders(NamedTuple):
    """The holders of a service's tenants, for a configuration and the holders of the service."""

    version: int
    addresses: tuple[str, ...]
    by_tenant: dict[str, str]


@dataclass(slots=True)
class ControlLink:
    """The polling of control, and what this gateway knows of control and of other gateways.

    ``address`` is the control process that is polled, since ``address_chosen_ms``.
    ``poll_sent_ms`` gives the time of each unanswered poll by its sequence number.
    ``holder_last_received_ms`` is when each connection holder last answered, and
    ``undelivered_since_ms`` since when messages to it can't be sent.

    ``undelivered_polls`` counts the consecutive polls that could not be sent.
    ``leader_contact_ms`` is when the polled control processes last had contact with their leader.

    ``contended`` gives, for each upstream that refused a gateway lately, how many connections all
    gateways want together. ``demand`` is the demand of all gateways for connections, received at
    ``demand_received_ms``; None until control knows it. ``first_answer_ms`` is when control first
    answered, and ``counted_gateways`` the number of gateways that came with ``demand``.
    """

    address: str = ""
    peers: list[ControlPeer] = field(default_factory=list)
    next_seed: int = 0
    sequence: int = 0
    address_chosen_ms: int = 0
    poll_sent_ms: dict[int, int] = field(default_factory=dict)
    last_received_ms: int | None = None
    leader_contact_ms: int | None = None
    undelivered_polls: int = 0
    next_poll_ms: int = 0
    backoff_until_ms: dict[str, int] = field(default_factory=dict)
    boot: str = ""
    revision: int = 0
    gateways: int = 1
    demand: dict[str, ConnectionDemand] | None = None
    demand_received_ms: int = 0
    first_answer_ms: int | None = None
    counted_gateways: int = 0
    contended: dict[str, int] = field(default_factory=dict)
    neighbours: tuple[str, ...] = ()
    ranked_holders: dict[str, list[str]] = field(default_factory=dict)
    tenant_holders: dict[str, TenantHolders] = field(default_factory=dict)
    holder_last_received_ms: dict[str, int] = field(default_factory=dict)
    undelivered_since_ms: dict[str, int] = field(default_factory=dict)


class PrimaryWait(NamedTuple):
    """A failover that waits for commits, since ``since_ms`` and until ``until_ms`` at most.

    Control told of it so lately that it holds until ``told_until_ms``.
    """

    since_ms: int
    until_ms: int
    told_until_ms: int


class UnconfirmedCommit(NamedTuple):
    """An upstream's success that is not known to be of the primary, received at ``received_ms``.

    ``leadership`` is that of the last lease on the upstream, None if the last one was on another.
    """

    received_ms: int
    upstream: str
    request: Request
    reply: UpstreamReply
    leadership: int | None


@dataclass(slots=True)
class Turns:
    """The turns of tenants among the queued requests of one priority; see ``fair_queue``.

    ``served`` is the latest turn that was served, ``last`` the latest one that each tenant took,
    and ``waiting`` the number of its queued requests.
    """

    served: int = 0
    last: dict[str, int] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)


class QueuedRequest(NamedTuple):
    """A queued request; the order is that of the fields, the lowest value first.

    ``tenant`` is that of the request when it was queued. ``turns`` is None without tenants.
    """

    priority: int
    tenant_priority: int
    turn: int
    serial: int
    request: Request
    tenant: str
    turns: Turns | None


@dataclass(slots=True)
class ServiceQueue:
    """The requests of one service that wait for a connection.

    ``primary`` is the heap of those that only the primary may serve, ``reads`` that of the others.
    ``turns`` are those of the requests of one of the heaps with the same priorities.
    """

    primary: list[QueuedRequest] = field(default_factory=list)
    reads: list[QueuedRequest] = field(default_factory=list)
    turns: dict[tuple[bool, int, int], Turns] = field(default_factory=dict)


@dataclass(slots=True)
class FollowUp:
    """Work that an event leaves for the reducer, which does it after the event's handler.

    ``requests`` are queued, the queues of ``services`` are dispatched, and ``sessions`` run their
    waiting statements. The requests in ``tokenless`` need another token of their tenant's limit.
    """

    requests: list[Request] = field(default_factory=list)
    services: list[str] = field(default_factory=list)
    sessions: list[Session] = field(default_factory=list)
    tokenless: list[Request] = field(default_factory=list)


@dataclass(slots=True)
class GatewayState:
    """The whole state of a gateway.

    ``retry_budget`` is how many overdue reads may be sent again now. ``silence_checked_ms`` is when
    upstreams that answer nothing were last looked for.

    ``unsent_messages`` are the messages to other gateways that could not be sent yet.
    ``remote_sessions`` maps the sessions of other gateways that this one runs statements for to
    their numbers here; ``min_transaction_version`` is the newest configuration version that one of
    those gateways is known to have. ``last_document_version`` is the newest configuration that was
    received, which may still be being decoded.

    By service, ``primary_confirmed_ms`` is when the upstream in ``primaries`` was last known to be
    the primary, ``unanswered_write_since_ms`` is when the first write was sent after the last one
    that the primary answered, and ``unreachable_since_ms`` is since when the primary can't be
    connected to. ``primary_leases`` are empty where none are needed.
    ``unconfirmed_commits`` are answered once a lease covers the time of their success.
    ``acknowledged`` is the highest position at which a commit was acknowledged, by service.
    ``primary_waits`` are the services whose failover waits for commits.
    """

    settings: GatewaySettings
    configuration: Configuration = EMPTY
    directory: Directory = field(default_factory=Directory)
    control: ControlLink = field(default_factory=ControlLink)
    watermarks: dict[str, WatermarkHistory] = field(default_factory=dict)
    primaries: dict[str, str] = field(default_factory=dict)
    primary_confirmed_ms: dict[str, int] = field(default_factory=dict)
    primary_leases: PrimaryLeases = field(default_factory=dict)
    unconfirmed_commits: list[UnconfirmedCommit] = field(default_factory=list)
    acknowledged: dict[str, Position] = field(default_factory=dict)
    primary_waits: dict[str, PrimaryWait] = field(default_factory=dict)
    unanswered_write_since_ms: dict[str, int] = field(default_factory=dict)
    unreachable_since_ms: dict[str, int] = field(default_factory=dict)
    pools: dict[str, UpstreamPool] = field(default_factory=dict)
    connections: dict[int, Connection] = field(default_factory=dict)
    sessions: dict[int, Session] = field(default_factory=dict)
    requests: dict[int, Request] = field(default_factory=dict)
    queues: dict[str, ServiceQueue] = field(default_factory=dict)
    remote_sessions: dict[tuple[str, str, int], int] = field(default_factory=dict)
    next_remote_session: int = 0
    unsent_messages: list[Send] = field(default_factory=list)
    min_transaction_version: int = 0
    last_document_version: int = 0
    next_connection: int = 1
    next_serial: int = 1
    queued: int = 0
    retry_budget: float = 10.0
    next_sweep_ms: int = 0
    next_shedding_ms: int = 0
    silence_checked_ms: int = 0
    draining_since_ms: int | None = None
    drain_grace_ms: int = 0
    follow_up: FollowUp = field(default_factory=FollowUp)
    quotas: QuotaState = field(default_factory=QuotaState)
