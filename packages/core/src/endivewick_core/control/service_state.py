"""What a control process holds of services and upstreams: soft state, lost with the process."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from ..directory import Directory
from ..messages import ControlPeer, PrimaryHealth
from ..positions import Position


class ProbeKind(StrEnum):
    """What a statement of a watched connection was sent for."""

    POSITION = "position"
    ROLLBACK = "rollback"
    PAUSE = "pause"
    RESUME = "resume"


class PendingProbe(NamedTuple):
    """A statement that has not been answered yet."""

    kind: ProbeKind
    sent_ms: int


@dataclass(slots=True)
class WatchedConnection:
    """A connection to an upstream, for questions only."""

    number: int
    upstream: str
    service: str
    opened_ms: int
    is_open: bool = False
    pending_probes: deque[PendingProbe] = field(default_factory=deque)
    probed_ms: int = 0


class PrimaryWatermark(NamedTuple):
    """The newest position of a service's primary, and when it was asked for."""

    upstream: str
    probed_ms: int
    position: Position


@dataclass(slots=True)
class WatchState:
    """The watched connections by number and by upstream, and what they told."""

    connections: dict[int, WatchedConnection] = field(default_factory=dict)
    by_upstream: dict[str, int] = field(default_factory=dict)
    reopen_at_ms: dict[str, int] = field(default_factory=dict)
    watermarks: dict[str, PrimaryWatermark] = field(default_factory=dict)
    terms: dict[str, int] = field(default_factory=dict)
    next_connection: int = 1


class Stage(StrEnum):
    """How far a failover has come."""

    PROPOSED = "proposed"
    PAUSING = "pausing"
    ORDERED = "ordered"
    PROMOTING = "promoting"
    RESUMING = "resuming"
    ENDING = "ending"


@dataclass(slots=True)
class Failover:
    """A failover that this leader carries out.

    ``keeps_primary`` is set where the present primary is named again if it answers after all.
    """

    service: str
    previous: str
    reason: str
    may_keep_primary: bool
    started_ms: int
    stage: Stage = Stage.PROPOSED
    token: int = 0
    target: str = ""
    ordered_ms: int = 0
    order_in_flight: bool = False
    received: dict[str, Position] = field(default_factory=dict)


@dataclass(slots=True)
class FailoverState:
    """The failovers under way, and the replicas that are still to be resumed."""

    running: dict[str, Failover] = field(default_factory=dict)
    to_resume: dict[str, str] = field(default_factory=dict)
    ended_ms: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class PendingReport:
    """A report whose acknowledgement waits until another control process has it."""

    number: int
    report_to: str
    since_ms: int


@dataclass(slots=True)
class Peer:
    """What another control process said in its last share."""

    peer: ControlPeer
    last_received_ms: int
    primaries: list[PrimaryHealth]
    gateways: int = 0
    contended: list[str] = field(default_factory=list)
    wanted: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class DirectoryState:
    """The directory and its spreading; ``boot`` names this run of the process to gateways."""

    boot: str = ""
    directory: Directory = field(default_factory=Directory)
    peers: dict[str, Peer] = field(default_factory=dict)
    pending_reports: dict[int, PendingReport] = field(default_factory=dict)
    next_serial: int = 1
    share_due_ms: int = 0
    failing_shared: frozenset[str] = frozenset()
    contended_shared: frozenset[str] = frozenset()
    gateway_contact_ms: dict[str, int] = field(default_factory=dict)
    gateway_centres: dict[str, str] = field(default_factory=dict)
    connection_refused_ms: dict[str, int] = field(default_factory=dict)
    writes_failing: dict[str, list[str]] = field(default_factory=dict)
    wanted: dict[str, dict[str, int]] = field(default_factory=dict)
