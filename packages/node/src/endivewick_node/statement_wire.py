"""The statement wire: what a codec for clients and upstreams provides.

The node knows statements, not their bytes. A ``StatementWire`` is a set of functions that some
codec provides; ``read_client`` and ``read_upstream`` return readers that keep a partial message.
"""

from collections.abc import Callable
from typing import NamedTuple

from endivewick_core.gateway.effects import AnswerStatement
from endivewick_core.statements import Error, Statement, UpstreamReply, UpstreamStatement


class Startup(NamedTuple):
    """A client names the workspace of its session."""

    workspace: str


class Quit(NamedTuple):
    """A client ends its session."""


class Accepted(NamedTuple):
    """An upstream accepted a connection."""


class Refused(NamedTuple):
    """An upstream refused a connection."""

    error: Error


class WireFault(NamedTuple):
    """Bytes that can't be read; the connection has to end."""

    text: str


ClientMessage = Startup | Statement | Quit | WireFault
UpstreamMessage = Accepted | Refused | UpstreamReply | WireFault
ClientReader = Callable[[bytes], list[ClientMessage]]
UpstreamReader = Callable[[bytes], list[UpstreamMessage]]


class StatementWire(NamedTuple):
    """A codec for both sides."""

    read_client: Callable[[], ClientReader]
    read_upstream: Callable[[], UpstreamReader]
    encode_accepted: Callable[[], bytes]
    encode_refused: Callable[[Error], bytes]
    encode_answer: Callable[[AnswerStatement], bytes]
    encode_startup: Callable[[str, str], bytes]
    encode_statement: Callable[[UpstreamStatement], bytes]
