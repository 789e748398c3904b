"""The events and effects of connections to upstreams, shared by gateways and control."""

from typing import NamedTuple

from .statements import Error, UpstreamReply, UpstreamStatement


class OpenConnection(NamedTuple):
    """Open a connection to ``upstream``; another upstream at ``address`` refuses it.

    It belongs to ``tenant``, which is empty where there are no tenants.
    """

    connection: int
    address: str
    service: str
    upstream: str
    tenant: str = ""


class SendStatements(NamedTuple):
    """Send statements on a connection, in a single write."""

    connection: int
    statements: list[UpstreamStatement]


class CloseConnection(NamedTuple):
    """Close a connection; the upstream then rolls back the transaction open on it."""

    connection: int


class ConnectionOpened(NamedTuple):
    """An upstream accepted a connection."""

    now_ms: int
    connection: int


class ConnectionReplied(NamedTuple):
    """An upstream replied to the oldest unanswered statement of a connection."""

    now_ms: int
    connection: int
    reply: UpstreamReply


class ConnectionBroke(NamedTuple):
    """A connection failed or was refused; ``error`` says why."""

    now_ms: int
    connection: int
    error: Error
