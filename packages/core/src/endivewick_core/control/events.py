"""The events that a control process reacts to.

``now_ms`` is the process's monotonic clock; ``random`` is a draw from [0, 1).
"""

from typing import Any, NamedTuple


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


Event = Tick | MessageReceived | OperatorRequested
