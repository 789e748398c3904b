"""The commands of the control log.

A command changes the replicated configuration once the log entry that holds it is committed.
``change_id`` makes an operator's change idempotent. ``replaces_version`` is the version that the
operator's change is based on; a change based on an outdated version is refused.
"""

from typing import NamedTuple

from .codec import build_codec
from .messages import Member
from .token_buckets import TokenLimit


class StartTerm(NamedTuple):
    """Mark the start of a leader's term in the log; the configuration doesn't change."""

    leader: str


class ChangeMembership(NamedTuple):
    """Set the voters and learners of the control quorum."""

    voters: list[Member]
    learners: list[Member]


class PutContract(NamedTuple):
    """Create or replace a customer's contract; ``replaces_version`` is 0 for the first one."""

    change_id: str
    customer: str
    replaces_version: int
    group: str
    max_staleness_ms: int
    connections: int
    surge_share: float
    acknowledge: str


class SetUpstream(NamedTuple):
    """Set the state that an operator wants an upstream in: ``started`` or ``stopped``."""

    change_id: str
    upstream: str
    replaces_version: int
    wanted: str


class RegisterUpstream(NamedTuple):
    """Record an upstream that announced itself, or the changes in a later announcement.

    ``state`` is ``running`` or ``leaving``. It is replicated so that a new home knows immediately
    which upstreams get no new work.
    """

    upstream: str
    group: str
    address: str
    data_centre: str
    slots: int
    connection_cap: int
    state: str


class AdoptPrimary(NamedTuple):
    """Record the first primary of a group, according to the upstream's own announcement."""

    group: str
    home_epoch: int
    upstream: str
    term: int


class Promote(NamedTuple):
    """Replace a group's primary.

    The new term starts at ``start_index``: positions of earlier terms above it are lost.
    """

    group: str
    home_epoch: int
    term: int
    upstream: str
    start_index: int


class AssignHomes(NamedTuple):
    """Make one proxy process the home of groups.

    ``groups`` pairs each group with its new home epoch.
    """

    proxy: str
    boot: str
    address: str
    groups: list[tuple[str, int]]


class ReleaseHome(NamedTuple):
    """End a proxy's time as home of a group; the home proposes it after its last response."""

    group: str
    home_epoch: int


class PutConfiguration(NamedTuple):
    """Put a configuration in force, unless one of this or a higher version is.

    ``document`` is the operator's document, compressed by ``documents.compress``, and ``services``
    names the services in it. ``limits`` are those of its tenants that have one.
    """

    version: int
    services: list[str]
    document: bytes
    limits: dict[str, TokenLimit] = {}


class BeginFailover(NamedTuple):
    """Start a change of primary; the index of this log entry becomes its fencing token."""

    service: str
    holder: str


class EndFailover(NamedTuple):
    """Record that the change of primary with this fencing token has ended.

    ``address`` is the primary's address.
    """

    service: str
    token: int
    primary: str
    address: str = ""


class AnsweredUpstream(NamedTuple):
    """An upstream that has answered control, as it reported itself when it was recorded.

    ``born_ms`` is when it started, in Unix milliseconds, 0 if it isn't known.
    """

    upstream: str
    address: str = ""
    born_ms: int = 0
    is_leaving: bool = False


class RecordAnswered(NamedTuple):
    """Record the upstreams of each of these services that have ever answered control.

    ``upstreams`` describes them; it is empty in entries that were written before it was stored.
    """

    services: dict[str, list[str]]
    upstreams: list[AnsweredUpstream] = []


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
        RecordAnswered,
    )
)
PROXY_COMMANDS = (RegisterUpstream, AdoptPrimary, Promote, ReleaseHome)
