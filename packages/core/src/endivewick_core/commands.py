"""The commands of the control log.

A command changes the replicated configuration when its entry is committed. ``change_id`` makes an
operator's change idempotent; ``replaces_version`` is the version that the operator saw.
"""

from typing import NamedTuple

from .codec import build_codec
from .messages import Member


class StartTerm(NamedTuple):
    """Mark the start of a leader's term; changes nothing."""

    leader: str


class ChangeMembership(NamedTuple):
    """Set the voters and learners of the control quorum."""

    voters: list[Member]
    learners: list[Member]


class PutContract(NamedTuple):
    """Put a customer's contract, replacing ``replaces_version`` (0 for none)."""

    change_id: str
    customer: str
    replaces_version: int
    group: str
    max_staleness_ms: int
    connections: int
    surge_share: float
    acknowledge: str


class SetUpstream(NamedTuple):
    """Start or stop an upstream; ``wanted`` is ``started`` or ``stopped``."""

    change_id: str
    upstream: str
    replaces_version: int
    wanted: str


class RegisterUpstream(NamedTuple):
    """Record an upstream that announced itself, or what changed since.

    ``state`` is ``running`` or ``leaving``; it is replicated so that a new home knows at once which
    upstreams get no new work.
    """

    upstream: str
    group: str
    address: str
    data_centre: str
    slots: int
    connection_cap: int
    state: str


class AdoptPrimary(NamedTuple):
    """Record the first primary of a group, as it announced itself."""

    group: str
    home_epoch: int
    upstream: str
    term: int


class Promote(NamedTuple):
    """Replace a group's primary; the new term forks at ``start_index``."""

    group: str
    home_epoch: int
    term: int
    upstream: str
    start_index: int


class AssignHomes(NamedTuple):
    """Give groups to one proxy process, each from the home epoch named."""

    proxy: str
    boot: str
    address: str
    groups: list[tuple[str, int]]


class ReleaseHome(NamedTuple):
    """Give up a group; sent by its home after its last answer."""

    group: str
    home_epoch: int


class PutConfiguration(NamedTuple):
    """Put a whole configuration in force where its version is the highest yet.

    ``document`` is what the operator sent, compressed by ``documents.compress``, and ``services``
    names the services in it.
    """

    version: int
    services: list[str]
    document: bytes


class BeginFailover(NamedTuple):
    """Reserve the index of this entry as the fencing token of one change of primary."""

    service: str
    holder: str


class EndFailover(NamedTuple):
    """Record that the change of primary with this fencing token is over."""

    service: str
    token: int
    primary: str


COMMANDS = build_codec(
    (
        StartTerm,
        ChangeMembership,
        PutContract,
        SetUpstream,
        RegisterUpstream,
        AdoptPrimary,
        Promote,
        AssignHomes,
        ReleaseHome,
        PutConfiguration,
        BeginFailover,
        EndFailover,
    )
)
PROXY_COMMANDS = (RegisterUpstream, AdoptPrimary, Promote, ReleaseHome)
