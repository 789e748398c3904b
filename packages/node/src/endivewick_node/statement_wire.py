"""The interface of a codec for the statement wire, the protocol of clients and upstreams.

This package handles decoded statements only. A ``StatementWire`` holds the functions of a codec;
``read_client`` and ``read_upstream`` return readers that buffer incomplete messages.
"""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from endivewick_core.gateway.effects import AnswerStatement
from endivewick_core.statements import Error, Statement, UpstreamReply, UpstreamStatement


class Startup(NamedTuple):
    """A client opens its session in a workspace; its ``key`` identifies its tenant."""

    workspace: str
    key: str = ""

    def __repr__(self) -> str:
        """Return a text without the key, which must not appear in logs."""
        return f"Startup({self.workspace!r})"


class Quit(NamedTuple):
    """A client ends its session."""


class Accepted(NamedTuple):
    """An upstream accepted a connection."""


class Refused(NamedTuple):
    """An upstream refused a connection."""

    error: Error


class WireFault(NamedTuple):
    """Received bytes that can't be decoded; the connection has to be closed."""

    text: str


ClientMessage = Startup | Statement | Quit | WireFault
UpstreamMessage = Accepted | Refused | UpstreamReply | WireFault


class ClientReader(Protocol):
    """Parses the bytes received from one client, and keeps what it has not returned yet."""

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes that are kept."""

    def __call__(self, data: bytes, limit: int = ...) -> list[ClientMessage]:
        """Return the next messages, ``limit`` at most; later calls return the others."""


UpstreamReader = Callable[[bytes], list[UpstreamMessage]]


class StatementWire(NamedTuple):
    """The functions of a codec, for connections to clients and to upstreams.

    ``encode_startup`` takes the service, the upstream and the tenant, empty without tenants.
    """

    read_client: Callable[[], ClientReader]
    read_upstream: Callable[[], UpstreamReader]
    encode_accepted: Callable[[], bytes]
    encode_refused: Callable[[Error], bytes]
    encode_answer: Callable[[AnswerStatement], bytes]
    encode_startup: Callable[[str, str, str], bytes]
    encode_statement: Callable[[UpstreamStatement], bytes]
