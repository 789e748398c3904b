"""The state of a proxy: its settings, the homes it holds and the requests it has received.

Only ``reduce`` changes this state. All times are in milliseconds on the process's monotonic clock.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from ..messages import ForwardedAnswer
from ..positions import ZERO, Position
from ..replicated_state import ReplicatedState
from ..tokens import SessionToken
from .events import CallerRequest
from .queueing import FairQueue
from .work import Origin, Work


class ProxySettings(NamedTuple):
    """The settings of a proxy: identity, addresses, keys, limits and time-outs."""

    name: str
    boot: str
    address: str
    http_address: str
    data_centre: str
    control_addresses: list[str]
    session_key: bytes
    heartbeat_ms: int = 250
    grant_ms: int = 200
    control_timeout_ms: int = 500
    configuration_limit_ms: int = 4_000
    balancer_grace_ms: int = 1_000
    ping_ms: int = 100
    ping_timeout_ms: int = 400
    unreachable_ms: int = 1_000
    open_timeout_ms: int = 1_000
    idle_check_ms: int = 5_000
    connection_age_ms: int = 600_000
    short_attempt_ms: int = 1_000
    long_run_ms: int = 250
    long_share: float = 0.34
    queue_limit: int = 512
    waiting_limit: int = 1_000
    transaction_idle_ms: int = 10_000
    switchover_limit_ms: int = 5_000


class ConnectionState(StrEnum):
    """The state of a connection to an upstream."""

    OPENING = "opening"
    CHECKING = "checking"
    IDLE = "idle"
    BUSY = "busy"
    PINNED = "pinned"


@dataclass(slots=True)
class Connection:
    """One connection to an upstream.

    ``work`` is the work in flight on the connection. ``internal_request`` is set instead while a
    request of the proxy itself is in flight: ``ping``, ``promote``, ``follow`` or ``rollback``. A
    suspect connection is given no work until it has answered a ping.
    """

    number: int
    upstream: str
    state: ConnectionState
    opened_ms: int
    sent_ms: int = 0
    last_received_ms: int = 0
    work: Work | None = None
    internal_request: str = ""
    transaction: str = ""
    suspect: bool = False


@dataclass(slots=True)
class Instance:
    """An upstream of a home's group: its connections and its last reported role and position."""

    name: str
    address: str
    slots: int
    connection_cap: int
    connections: dict[int, Connection] = field(default_factory=dict)
    idle: list[int] = field(default_factory=list)
    running: int = 0
    running_long: int = 0
    position: Position = Position(0, 0)
    role: str = ""
    last_received_ms: int = 0
    known_ms: int = 0
    consecutive_refusals: int = 0
    next_open_ms: int = 0
    last_ping_ms: int = 0
    last_internal_request_ms: int = 0
    announced_leaving: bool = False
    registered_leaving: bool = False
    stopped: bool = False

    @property
    def leaving(self) -> bool:
        """Whether the upstream must get no new work."""
        return self.announced_leaving or self.registered_leaving or self.stopped


class Transaction(NamedTuple):
    """An open transaction and the connection reserved for it."""

    identity: str
    customer: str
    connection: int
    upstream: str
    last_used_ms: int
    busy: bool


class DeduplicationRecord(NamedTuple):
    """The recorded result of a request id; ``answer`` is None while the request runs."""

    digest: bytes
    expires_ms: int
    answer: ForwardedAnswer | None


class PrimarySample(NamedTuple):
    """An upper bound of the primary's position at ``at_ms``."""

    at_ms: int
    position: Position


class Phase(StrEnum):
    """The phase of a home with regard to its group's primary.

    - WAITING: no primary of the configuration has been confirmed yet.
    - PROMOTING: the home asks the primary of the configuration to take the role.
    - ACTIVE: the primary serves.
    - DRAINING_PRIMARY: the primary is leaving; only its open transactions go on.
    - REPLACING: the grant is revoked, and the home proposes another primary.
    """

    WAITING = "waiting"
    PROMOTING = "promoting"
    ACTIVE = "active"
    DRAINING_PRIMARY = "draining_primary"
    REPLACING = "replacing"


@dataclass(slots=True)
class Home:
    """The state that a group's home keeps from its assignment to its release.

    ``connections_held`` counts the upstream connections in use by customer. ``received_ms`` holds
    the time of arrival of recent forwarded requests, to detect duplicated messages. ``serial``
    numbers the request ids and transactions of this home epoch. ``replicated_position`` is the
    highest one of a write that was acknowledged since a replica had it.
    """

    group: str
    epoch: int
    held_since_ms: int
    phase: Phase = Phase.WAITING
    phase_since_ms: int = 0
    current_primary: tuple[str, int] = ("", 0)
    instances: dict[str, Instance] = field(default_factory=dict)
    transactional: FairQueue = field(default_factory=FairQueue)
    writes: FairQueue = field(default_factory=FairQueue)
    reads: FairQueue = field(default_factory=FairQueue)
    unclassified: FairQueue = field(default_factory=FairQueue)
    long: FairQueue = field(default_factory=FairQueue)
    connections_held: dict[str, int] = field(default_factory=dict)
    replicated_position: Position = ZERO
    transactions: dict[str, Transaction] = field(default_factory=dict)
    deduplication: dict[str, DeduplicationRecord] = field(default_factory=dict)
    received_ms: dict[Origin, int] = field(default_factory=dict)
    samples: deque[PrimarySample] = field(default_factory=deque)
    awaiting_replica: list[tuple[Work, ForwardedAnswer]] = field(default_factory=list)
    mean_run_ms: float = 5.0
    consecutive_writes: int = 0
    handing_over: bool = False
    releasing: bool = False
    granted_until_ms: int = 0
    serial: int = 0
    sweep_due_ms: int = 0

    @property
    def queues(self) -> tuple[FairQueue, ...]:
        """All queues of work."""
        return (self.transactional, self.writes, self.reads, self.unclassified, self.long)

    @property
    def queued(self) -> int:
        """The number of queued pieces of work."""
        reads = self.reads.size + self.unclassified.size + self.long.size
        return self.transactional.size + self.writes.size + reads


class IngressStage(StrEnum):
    """The progress of a caller's request at the proxy that received it."""

    WAITING = "waiting"
    SENT = "sent"
    CONFIRMING = "confirming"


@dataclass(slots=True)
class IngressRequest:
    """A caller's request, as the proxy that received it (the ingress proxy) tracks it."""

    number: int
    caller_request: CallerRequest
    token: SessionToken
    group: str
    arrived_ms: int
    deadline_ms: int
    stage: IngressStage = IngressStage.WAITING
    home_epoch: int = 0
    home_address: str = ""
    sent_ms: int = 0
    home_changed_ms: int = 0
    answer: ForwardedAnswer | None = None


@dataclass(slots=True)
class ProxyState:
    """The whole state of a proxy; only ``reduce`` changes it.

    ``grants`` maps a group to the home epoch and term of its grant, and the time until which the
    home lets this ingress proxy acknowledge writes.

    ``confirmed_ms`` is the time at which the heartbeat was sent whose reply last confirmed the
    configuration, and ``lease_until_ms`` the end of the lease. Both are on this process's clock.
    """

    settings: ProxySettings
    replicated_state: ReplicatedState = field(default_factory=ReplicatedState)
    confirmed_ms: int | None = None
    lease_until_ms: int = 0
    sequence: int = 0
    heartbeat_sent_ms: dict[int, int] = field(default_factory=dict)
    heartbeat_due_ms: int = 0
    control_last_contact_ms: int = 0
    control_index: int = 0
    control_address: str = ""
    proposals: dict[bytes, int] = field(default_factory=dict)
    requests: dict[int, IngressRequest] = field(default_factory=dict)
    waiting: dict[str, list[int]] = field(default_factory=dict)
    grants: dict[str, tuple[int, int, int]] = field(default_factory=dict)
    homes: dict[str, Home] = field(default_factory=dict)
    connections: dict[int, tuple[str, str]] = field(default_factory=dict)
    next_connection: int = 1
    run_times_ms: dict[int, float] = field(default_factory=dict)
    draining_since_ms: int | None = None


def lease_valid(state: ProxyState, now_ms: int) -> bool:
    """Return whether this proxy's lease is valid at ``now_ms``."""
    return now_ms < state.lease_until_ms


def configuration_fresh(state: ProxyState, now_ms: int) -> bool:
    """Return whether control confirmed the configuration within ``configuration_limit_ms``."""
    if state.confirmed_ms is None:
        return False
    return now_ms - state.confirmed_ms <= state.settings.configuration_limit_ms


def is_active(state: ProxyState, home: Home, now_ms: int) -> bool:
    """Return whether the home may send work to its primary and acknowledge it."""
    return home.phase in (Phase.ACTIVE, Phase.DRAINING_PRIMARY) and lease_valid(state, now_ms)
