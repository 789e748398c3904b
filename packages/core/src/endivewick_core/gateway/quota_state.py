"""The state of the quotas at a gateway."""

from collections import deque
from dataclasses import dataclass, field

from ..quota_usage import Usage
from ..token_buckets import Bucket


@dataclass(slots=True)
class TenantTokens:
    """The tokens of one tenant at a gateway, and the operations that wait for some.

    ``stock`` holds when each token expires, soonest first, and ``waiting`` the serials of requests.
    ``outstanding`` is how many tokens were asked for and not answered, by the question's sequence
    number. ``demand`` counts the operations, and fades. At ``refused_ms`` control last had no
    token; until ``refused_until_ms`` it is not asked, and clients are told ``retry_after_ms``.
    ``usage`` counts the tokens of control that were used, and ``reserve`` serves while no control
    process answers.
    """

    stock: deque[int] = field(default_factory=deque)
    waiting: deque[int] = field(default_factory=deque)
    outstanding: dict[int, int] = field(default_factory=dict)
    demand: float = 0.0
    demand_updated_ms: int = 0
    refused_ms: int = 0
    refused_until_ms: int = 0
    retry_after_ms: int = 0
    ask_due_ms: int = 0
    usage: Usage = field(default_factory=Usage)
    reserve: Bucket | None = None


@dataclass(slots=True)
class QuotaState:
    """The tokens by tenant.

    ``sent_ms`` is when each of the last questions was sent, ``asked_address`` the control process
    that was asked last.
    """

    tenants: dict[str, TenantTokens] = field(default_factory=dict)
    sequence: int = 0
    sent_ms: dict[int, int] = field(default_factory=dict)
    asked_address: str = ""
