"""Routes and services: the operator's configuration in the form that gateways use."""

from enum import StrEnum
from typing import NamedTuple


class Freshness(StrEnum):
    """Which commits the reads of a route are guaranteed to see.

    ``PRIMARY`` reads see every acknowledged commit. ``BOUNDED`` reads see every commit that was
    acknowledged longer ago than the allowed staleness. ``SESSION`` reads see these and also the
    commits of their own session.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


class Route(NamedTuple):
    """How the statements of one workspace are served.

    ``timeout_ms`` is the timeout of one statement, ``objective_ms`` the latency objective of a
    whole operation, and ``staleness_ms`` the staleness that reads are allowed. Lower values of
    ``priority`` are served first.
    """

    workspace: str
    service: str
    freshness: Freshness
    timeout_ms: int
    objective_ms: int
    priority: int
    staleness_ms: int


class Service(NamedTuple):
    """A replicated database; ``connection_limit`` applies to each of its upstreams."""

    name: str
    connection_limit: int
    synchronous_replicas: int


class Configuration(NamedTuple):
    """A configuration; ``routes`` is keyed by workspace and ``services`` by name."""

    version: int
    routes: dict[str, Route]
    services: dict[str, Service]
    transaction_idle_ms: int


EMPTY = Configuration(0, {}, {}, 3_000)
