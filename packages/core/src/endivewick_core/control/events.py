"""The events that a control process reacts to.

``now_ms`` is the process's monotonic clock; ``random`` is a draw from [0, 1).
"""

from enum import StrEnum
from typing import Any, NamedTuple

from ..directory import UpstreamReport
from ..upstream_links import ConnectionBroke, ConnectionOpened, ConnectionReplied


class Tick(NamedTuple):
    """Time passed."""

    now_ms: int
    random: float


class MessageReceived(NamedTuple):
    """A message of another endivewick process arrived."""

    now_ms: int
    message: Any


class OperatorRequested(NamedTuple):
    """An operator's request arrived; ``number`` names it in the answer."""

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
    """Read who leads, the quorum, the groups and the proxies."""


class BootstrapRequest(NamedTuple):
    """Start a new cluster at this member."""


class PutConfigurationRequest(NamedTuple):
    """Put a whole configuration in force; ``document`` is compressed and was checked."""

    version: int
    services: list[str]
    document: bytes


class GetConfiguration(NamedTuple):
    """Read the newest configuration, confirmed by a quorum."""


class ReportReceived(NamedTuple):
    """An upstream reported itself; ``number`` names the request in the answer."""

    now_ms: int
    number: int
    report: UpstreamReport


class UpstreamRemoved(NamedTuple):
    """An upstream said goodbye."""

    now_ms: int
    number: int
    upstream: str


class FailoverOutcome(StrEnum):
    """What the platform said to an order to change a primary.

    ``ACCEPTED`` says that it will be done. ``REFUSED`` says that it won't, and ``UNANSWERED`` that
    it may be done, even much later.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class FailoverAnswered(NamedTuple):
    """The platform answered the order with this fencing token, or did not."""

    now_ms: int
    service: str
    token: int
    outcome: FailoverOutcome


Event = (
    Tick
    | MessageReceived
    | OperatorRequested
    | ReportReceived
    | UpstreamRemoved
    | FailoverAnswered
    | ConnectionOpened
    | ConnectionReplied
    | ConnectionBroke
)
