"""The interface between a control process and a platform that manages upstreams.

The platform reports upstreams and carries out failovers. The functions translate between its
messages and the events and effects of the control reducer.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from endivewick_core.control.effects import OrderFailover
from endivewick_core.control.events import Event, FailoverOutcome
from endivewick_core.exceptions import Failure
from returns.result import Result

from .http_server import Request, Response
from .statement_wire import StatementWire


class PlatformAdapter(NamedTuple):
    """The functions and addresses that a platform provides to a control process.

    ``parse`` takes a request, the current time in milliseconds and the number that effects use to
    refer to the request. ``order_failover`` never raises: an order that got no response has the
    outcome ``UNANSWERED``.
    """

    wire: StatementWire
    metrics_address: str
    parse: Callable[[Request, int, int], Result[Event, Failure]]
    encode_redirect: Callable[[str], Response]
    encode_acknowledgement: Callable[[str], Response]
    order_failover: Callable[[OrderFailover], Awaitable[FailoverOutcome]]
