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
    ``priority`` are served first. A client needs no known key on a route that ``is_public``.
    """

    workspace: str
    service: str
    freshness: Freshness
    timeout_ms: int
    objective_ms: int
    priority: int
    staleness_ms: int
    is_public: bool = False


class Tenant(NamedTuple):
    """A customer whose clients identify themselves by a key.

    ``rate_per_s`` and ``burst`` limit its operations over all gateways; a ``rate_per_s`` of None
    sets no limit. Lower values of ``priority`` are served first among requests of one priority.
    """

    name: str
    priority: int
    rate_per_s: float | None
    burst: float


class Service(NamedTuple):
    """A replicated database; ``connection_limit`` applies to each of its upstreams."""

    name: str
    connection_limit: int
    synchronous_replicas: int


class Configuration(NamedTuple):
    """A configuration; ``routes`` is keyed by workspace, ``services`` and ``tenants`` by name.

    ``tenants`` is None where clients are not authenticated. ``tenant_names`` maps keys to tenants.
    """

    version: int
    routes: dict[str, Route]
    services: dict[str, Service]
    transaction_idle_ms: int
    tenants: dict[str, Tenant] | None = None
    tenant_names: dict[str, str] = {}


EMPTY = Configuration(0, {}, {}, 3_000)
