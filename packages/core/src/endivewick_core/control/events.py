"""The events that the reducer of a control process handles.

``now_ms`` is the process's monotonic clock; ``random`` is a random number from [0, 1).
"""

from enum import StrEnum
from typing import Any, NamedTuple

from ..directory import UpstreamReport
from ..token_buckets import TokenLimit
from ..upstream_links import ConnectionBroke, ConnectionOpened, ConnectionReplied


class Tick(NamedTuple):
    """Time passed."""

    now_ms: int
    random: float


class StopRequested(NamedTuple):
    """The process is to stop, at ``deadline_ms`` at the latest."""

    now_ms: int
    deadline_ms: int


class MessageReceived(NamedTuple):
    """A message of another endivewick process arrived."""

    now_ms: int
    message: Any


class OperatorRequested(NamedTuple):
    """An operator's request arrived; ``number`` identifies it in the answer."""

    now_ms: int
    number: int
    request: Any


class PutContractRequest(NamedTuple):
    """Put a contract; ``text`` is the unchecked JSON value."""

    change_id: str
    customer: str
    replaces_version: int
    text: Any


class SetUpstreamRequest(NamedTuple):
    """Start or stop an upstream."""

    change_id: str
    upstream: str
    replaces_version: int
    wanted: str


class GetContracts(NamedTuple):
    """Read one customer's contract, or all of them where ``customer`` is empty."""

    customer: str


class GetUpstreams(NamedTuple):
    """Read the registered upstreams."""


class GetStatus(NamedTuple):
    """Read the leader, the quorum, the groups and the proxies."""


class BootstrapRequest(NamedTuple):
    """Start a new cluster at this member."""


class PutConfigurationRequest(NamedTuple):
    """Replace the whole configuration; ``document`` is compressed and already validated."""

    version: int
    services: list[str]
    document: bytes
    limits: dict[str, TokenLimit] = {}


class GetConfiguration(NamedTuple):
    """Read the newest configuration, confirmed by a quorum."""


class ReportReceived(NamedTuple):
    """An upstream reported itself; ``number`` identifies the request in the answer."""

    now_ms: int
    number: int
    report: UpstreamReport


class UpstreamRemoved(NamedTuple):
    """An upstream announced its departure; ``number`` identifies the request in the answer."""

    now_ms: int
    number: int
    upstream: str


class FailoverOutcome(StrEnum):
    """The platform's response to an order to change a primary.

    An ``ACCEPTED`` order will be executed, a ``REFUSED`` one won't. An ``UNANSWERED`` one may be
    executed, even much later.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class FailoverAnswered(NamedTuple):
    """The platform responded to the order with this fencing token, or failed to respond."""

    now_ms: int
    service: str
    token: int
    outcome: FailoverOutcome


Event = (
    Tick
    | StopRequested
    | MessageReceived
    | OperatorRequested
    | ReportReceived
    | UpstreamRemoved
    | FailoverAnswered
    | ConnectionOpened
    | ConnectionReplied
    | ConnectionBroke
)
