"""Routes and services: the operator's configuration as gateways use it."""

from enum import StrEnum
from typing import NamedTuple


class Freshness(StrEnum):
    """How fresh the reads of a route are.

    ``PRIMARY`` reads see every acknowledged commit, ``BOUNDED`` reads those older than the allowed
    staleness, and ``SESSION`` reads besides those of their own session.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


class Route(NamedTuple):
    """How the statements of one workspace are served.

    ``timeout_ms`` limits one statement, ``objective_ms`` is the latency objective of a whole
    operation, and ``priority`` 0 goes first.
    """

    workspace: str
    service: str
    freshness: Freshness
    timeout_ms: int
    objective_ms: int
    priority: int
    staleness_ms: int


class Service(NamedTuple):
    """A replicated database, with the connections that one of its upstreams takes."""

    name: str
    connection_limit: int
    synchronous_replicas: int


class Configuration(NamedTuple):
    """A whole configuration; ``routes`` are keyed by workspace and ``services`` by name."""

    version: int
    routes: dict[str, Route]
    services: dict[str, Service]
    transaction_idle_ms: int


EMPTY = Configuration(0, {}, {}, 3_000)
