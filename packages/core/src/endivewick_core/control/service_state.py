"""The soft state of services and upstreams at a control process: it is lost with the process.

It covers the probes, the failovers and the directory of upstreams.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from ..commands import AnsweredUpstream
from ..directory import Directory
from ..messages import ConnectionDemand, ControlPeer, PrimaryHealth, PrimaryWaitNote
from ..positions import ZERO, Position
from ..primary_leases import PrimaryLeases
from ..upstream_statistics import Tally, UpstreamCounts


class ProbeKind(StrEnum):
    """The purpose of a statement that was sent to an upstream."""

    POSITION = "position"
    ROLLBACK = "rollback"
    PAUSE = "pause"
    RESUME = "resume"
    STEP_DOWN = "step_down"


class PendingProbe(NamedTuple):
    """A statement without a response yet."""

    kind: ProbeKind
    sent_ms: int


@dataclass(slots=True)
class WatchedConnection:
    """A connection to an upstream that is used only for probes.

    ``probed_ms`` is when its position was last probed.
    """

    number: int
    upstream: str
    service: str
    opened_ms: int
    is_open: bool = False
    pending_probes: deque[PendingProbe] = field(default_factory=deque)
    probed_ms: int = 0


class PrimaryWatermark(NamedTuple):
    """The latest confirmed position of a service's primary, and when the probe for it was sent.

    The position covers every commit that was acknowledged before ``probed_ms``. ``gateways`` is how
    many gateways polled control when it arrived.
    """

    upstream: str
    probed_ms: int
    position: Position
    gateways: int = 0


class Departure(NamedTuple):
    """A departed upstream, of which this process learned at ``learned_ms``.

    ``revision`` is that of its directory entry. ``bound`` is a position of the primary that was
    probed later, which the departed upstream's log didn't exceed; None until there is one.
    """

    revision: int
    learned_ms: int
    bound: Position | None = None


@dataclass(slots=True)
class WatchState:
    """The watched connections, and the results of the probes.

    ``by_upstream`` holds connection numbers, ``reopen_at_ms`` the time before which no connection
    to an upstream is opened, ``watermarks`` and ``terms`` the latest results by service.
    ``departures`` holds the departed upstreams of each service while the directory does, and
    ``answered`` the upstreams that have accepted a connection of this process.
    """

    connections: dict[int, WatchedConnection] = field(default_factory=dict)
    by_upstream: dict[str, int] = field(default_factory=dict)
    reopen_at_ms: dict[str, int] = field(default_factory=dict)
    watermarks: dict[str, PrimaryWatermark] = field(default_factory=dict)
    terms: dict[str, int] = field(default_factory=dict)
    departures: dict[str, dict[str, Departure]] = field(default_factory=dict)
    next_connection: int = 1
    answered: set[str] = field(default_factory=set)


class Stage(StrEnum):
    """The stage of a failover."""

    PROPOSED = "proposed"
    PAUSING = "pausing"
    ORDERED = "ordered"
    PROMOTING = "promoting"
    RESUMING = "resuming"
    ENDING = "ending"


class PausedReplica(NamedTuple):
    """A replica that confirmed its pause, and the end of its log when it did.

    A restart ends the pause, so ``born_ms`` identifies the start that confirmed it; it is None once
    the connection has ended, since the replica may have restarted. ``confirmed_ms`` is when its
    confirmation arrived.
    """

    born_ms: int | None
    received: Position
    confirmed_ms: int = 0


@dataclass(slots=True)
class Failover:
    """A failover that this leader carries out.

    ``may_keep_primary`` is set where the current primary is kept if it responds before the order.
    ``keeps_primary`` is set where the target is the current primary. ``paused`` holds the replicas
    that confirmed their pause. ``stepped_down_born_ms`` identifies the start of the previous
    primary that confirmed that it has become a replica, at ``stepped_down_ms`` with its log ending
    at ``primary_end``; None if none did. ``is_takeover`` is set where an earlier leader began to
    replace the primary, and ``has_earlier_orders`` where an earlier attempt, of this or another
    leader, may have ordered an upstream. ``received`` is the highest position that any replica is
    known to have received, also one that has departed since. ``accepted_ms`` is when the platform
    accepted the order, ``pausing_since_ms`` since when replicas are paused, and
    ``incomplete_since_ms`` since when no replica is known to have every commit that may have been
    acknowledged. ``target_born_ms`` identifies the start of the target whose log was chosen.
    ``step_down_sent_ms`` is when the previous primary was last told to step down, and
    ``order_due_ms`` the time before which nothing is ordered. ``is_gap_logged`` is set once it was
    logged that no replica which answered has every commit. ``leading`` maps each upstream that
    still leads, as one that isn't fenced may, to its start; it steps down before it is paused.
    ``slow_targets`` are those whose promotion took too long. ``unreported`` are upstreams on record
    that have not reported, which are waited for until ``unreported_until_ms``, None if they aren't;
    ``is_wait_logged`` is set while this wait stands in the log.
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
    keeps_primary: bool = False
    stepped_down_born_ms: int | None = None
    is_takeover: bool = False
    has_earlier_orders: bool = False
    primary_end: Position | None = None
    stepped_down_ms: int | None = None
    received: Position = ZERO
    accepted_ms: int | None = None
    incomplete_since_ms: int | None = None
    pausing_since_ms: int | None = None
    target_born_ms: int = 0
    step_down_sent_ms: int | None = None
    order_due_ms: int = 0
    is_gap_logged: bool = False
    paused: dict[str, PausedReplica] = field(default_factory=dict)
    leading: dict[str, int] = field(default_factory=dict)
    slow_targets: frozenset[str] = frozenset()
    unreported: list[AnsweredUpstream] = field(default_factory=list)
    unreported_until_ms: int | None = None
    is_wait_logged: bool = False


@dataclass(slots=True)
class FailoverState:
    """The running failovers by service, and the replicas that are still to be resumed.

    ``to_resume`` maps each replica to its service; ``ended_ms`` is when a service's last failover
    ended, and ``kept_ms`` when one last ended with the former primary. ``receiving`` maps each
    replica that this leader knows not to be paused to its start.
    """

    running: dict[str, Failover] = field(default_factory=dict)
    to_resume: dict[str, str] = field(default_factory=dict)
    ended_ms: dict[str, int] = field(default_factory=dict)
    kept_ms: dict[str, int] = field(default_factory=dict)
    receiving: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class LeaseState:
    """The leases on primaries that this process granted as leader, or obtained from its leader.

    ``requested_ms`` gives the time of each unanswered request by its sequence number. ``waits`` are
    the failovers that wait for commits, as the leader told at ``waits_told_ms``.
    """

    leases: PrimaryLeases = field(default_factory=dict)
    waits: list[PrimaryWaitNote] = field(default_factory=list)
    waits_told_ms: int = 0
    sequence: int = 0
    requested_ms: dict[int, int] = field(default_factory=dict)
    request_due_ms: int = 0


@dataclass(slots=True)
class PendingReport:
    """A report whose acknowledgement waits until another control process has received it."""

    number: int
    report_to: str
    since_ms: int


@dataclass(slots=True)
class Peer:
    """The content of another control process's last share."""

    peer: ControlPeer
    last_received_ms: int
    primaries: list[PrimaryHealth]
    gateways: int = 0
    contended: list[str] = field(default_factory=list)
    wanted: dict[str, int] = field(default_factory=dict)
    demand: dict[str, ConnectionDemand] = field(default_factory=dict)
    upstream_counts: dict[str, UpstreamCounts] = field(default_factory=dict)


@dataclass(slots=True)
class GatheredWeight:
    """An upstream's weight, from 0 to 1, and the share of its slots in use.

    ``raised_ms`` is when the weight last changed, ``as_of_ms`` when the newest figure for it came,
    and ``logged_weight`` the weight in the last log line.
    """

    weight: float = 1.0
    load: float = 0.0
    raised_ms: int = 0
    as_of_ms: int = 0
    logged_weight: float = 1.0


@dataclass(slots=True)
class GatheredWeights:
    """What the gateways of this process reported of upstreams, and the weights of upstreams.

    ``tallies`` are the sums by upstream. ``running`` holds, by upstream and gateway, the number of
    statements in progress and when it was reported. ``reduced_shared`` are the upstreams whose
    failures were shared, the last time out of turn at ``shared_early_ms``.
    """

    tallies: dict[str, Tally] = field(default_factory=dict)
    running: dict[str, dict[str, tuple[int, int]]] = field(default_factory=dict)
    weights: dict[str, GatheredWeight] = field(default_factory=dict)
    reduced_shared: frozenset[str] = frozenset()
    shared_early_ms: int = 0
    update_due_ms: int = 0


class AcknowledgedSource(NamedTuple):
    """Which gateway or control process first told of a position, and when."""

    address: str
    is_gateway: bool
    received_ms: int


@dataclass(slots=True)
class DirectoryState:
    """The directory of upstreams, and what is shared with other control processes and gateways.

    ``boot`` identifies this run of the process to gateways. ``pending_reports`` is keyed by the
    serial of the share that carries the report. ``failing_shared``, ``contended_shared`` and
    ``acknowledged_shared`` are contents of the last share; the last one is that of services whose
    primary is failing or being replaced. ``connection_refused_ms`` is when an upstream last refused
    a connection to a gateway. ``gateway_contact_ms``, ``gateway_centres``, ``writes_failing`` and
    ``wanted`` hold what each gateway reported in its last poll, and when. ``acknowledged`` is the
    highest position at which any gateway is known to have acknowledged a commit, by service, and
    ``acknowledged_from`` is where it came from, for the log only.
    ``own_acknowledged`` is that of the gateways that poll this process; ``acknowledged_due_ms`` is
    the time before which it is not shared again. ``weights`` are the weights of upstreams.
    ``demand`` is each gateway's demand for
    connections, recorded since ``demand_since_ms``; ``gateway_counts`` are the changes of the
    number of gateways, with their times. ``gateways_shared`` is how many gateways the other control
    processes were told of, which is not repeated before ``gateways_due_ms``.
    """

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
    acknowledged: dict[str, Position] = field(default_factory=dict)
    acknowledged_from: dict[str, AcknowledgedSource] = field(default_factory=dict)
    own_acknowledged: dict[str, Position] = field(default_factory=dict)
    acknowledged_shared: dict[str, Position] = field(default_factory=dict)
    acknowledged_due_ms: int = 0
    demand: dict[str, dict[str, ConnectionDemand]] = field(default_factory=dict)
    demand_since_ms: int | None = None
    gateway_counts: deque[tuple[int, int]] = field(default_factory=deque)
    gateways_shared: int = 0
    gateways_due_ms: int = 0
    weights: GatheredWeights = field(default_factory=GatheredWeights)
