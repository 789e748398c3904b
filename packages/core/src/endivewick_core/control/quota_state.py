"""The state of the quotas at a control process."""

from collections import deque
from dataclasses import dataclass, field

from ..quota_usage import Usage
from ..token_buckets import Bucket, Division, Part

NEVER_MS = 1_000_000  # longer ago than any interval of requests


@dataclass(slots=True)
class WaitingNeed:
    """Tokens that a gateway's operations wait for, received at ``received_ms``."""

    gateway: str
    boot: str
    sequence: int
    count: int
    received_ms: int


@dataclass(slots=True)
class HeldShare:
    """This process's share of a tenant's limit, which it may use until ``until_ms``.

    ``demand`` counts the tokens that gateways asked for, and fades. ``reported_ms`` is when the
    leader was last asked for the share, and ``asked_ms`` the same while it has not answered. Until
    ``exhausted_until_ms`` the leader is known to have no tokens; it has the next one at
    ``leader_token_ms``, and ``leader_soon`` more while an operation waits.
    """

    bucket: Bucket
    serial: int = 0
    part: Part = Part()
    until_ms: int = 0
    demand: float = 0.0
    demand_updated_ms: int = 0
    reported_ms: int = -NEVER_MS
    asked_ms: int | None = None
    exhausted_until_ms: int = 0
    leader_token_ms: int | None = None
    leader_soon: float = 0.0
    waiting: deque[WaitingNeed] = field(default_factory=deque)


@dataclass(slots=True)
class SilentGateway:
    """The tokens that a gateway was given, by tenant, and when it was last heard from.

    While it is silent, ``owed`` is its rate by tenant before.
    """

    contact_ms: int
    usage: dict[str, Usage] = field(default_factory=dict)
    owed: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class LeaderQuotas:
    """How this leader divides the limits, in one term.

    ``reported`` are the members that have reported every share that they hold. ``is_complete`` is
    set once every share that may be held is reserved. Until ``unknown_until_ms``, members that have
    not reported may hold what the others left.
    """

    term: int = 0
    is_complete: bool = False
    unknown_until_ms: int = 0
    reported: set[str] = field(default_factory=set)
    divisions: dict[str, Division] = field(default_factory=dict)
    grants_given: int = 0


@dataclass(slots=True)
class QuotaState:
    """The quotas at a control process.

    ``shares`` are held by tenant. Shares that no operation waits for are filled up at
    ``stock_due_ms``. ``short`` are the tenants that need tokens of the leader at once.
    ``sent_ms`` gives the time of each unanswered question by its sequence number, and
    ``full_sequence`` is the last question that reported every share. ``asked_term`` is the highest
    term whose leader was asked, ``reported_term`` the one whose leader knows every share held.

    ``gateways`` are those that were given tokens. ``reserved`` is what those that are silent may go
    on to use, in operations a second by tenant.
    """

    shares: dict[str, HeldShare] = field(default_factory=dict)
    short: set[str] = field(default_factory=set)
    sequence: int = 0
    sent_ms: dict[int, int] = field(default_factory=dict)
    full_sequence: int = 0
    asked_term: int = 0
    reported_term: int = 0
    renewal_due_ms: int = 0
    stock_due_ms: int = 0
    leader: LeaderQuotas = field(default_factory=LeaderQuotas)
    gateways: dict[str, SilentGateway] = field(default_factory=dict)
    reserved: dict[str, float] = field(default_factory=dict)
