"""Connections to upstreams: the events and effects that gateways and control share."""

from typing import NamedTuple

from .statements import Error, UpstreamReply, UpstreamStatement


class OpenConnection(NamedTuple):
    """Open a connection to an upstream, which refuses it if it isn't ``upstream``."""

    connection: int
    address: str
    service: str
    upstream: str


class SendStatements(NamedTuple):
    """Send statements on a connection in one write."""

    connection: int
    statements: list[UpstreamStatement]


class CloseConnection(NamedTuple):
    """Close an upstream connection; the upstream rolls back what was open on it."""

    connection: int


class ConnectionOpened(NamedTuple):
    """An upstream accepted a connection."""

    now_ms: int
    connection: int


class ConnectionReplied(NamedTuple):
    """An upstream answered the oldest unanswered statement of a connection."""

    now_ms: int
    connection: int
    reply: UpstreamReply


class ConnectionBroke(NamedTuple):
    """A connection failed, or was refused with ``error``."""

    now_ms: int
    connection: int
    error: Error
