"""What a control process needs where a platform announces upstreams and changes primaries.

The functions translate; a platform's adapter provides them.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from endivewick_core.control.effects import OrderFailover
from endivewick_core.control.events import Event, FailoverOutcome
from endivewick_core.exceptions import Failure
from returns.result import Result

from .http_server import Answer, Request
from .statement_wire import StatementWire


class ServiceEdge(NamedTuple):
    """The platform's side of a control process.

    ``parse`` takes a request, the time and the number that names it in answers. ``order_failover``
    never raises: an order without an answer has the outcome ``UNANSWERED``.
    """

    wire: StatementWire
    metrics_address: str
    parse: Callable[[Request, int, int], Result[Event, Failure]]
    encode_redirect: Callable[[str], Answer]
    encode_acknowledgement: Callable[[str], Answer]
    order_failover: Callable[[OrderFailover], Awaitable[FailoverOutcome]]
