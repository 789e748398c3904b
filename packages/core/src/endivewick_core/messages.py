"""The messages between endivewick processes.

Each is a NamedTuple whose fields travel in order; ``docs/reference/messages.md`` lists them for
readers. Times in messages are durations, never clock readings, since no two VMs share a clock. A
field that only its sender reads back (``sent_at_ms``) is on the sender's own clock.
"""

from typing import Any, NamedTuple

import msgspec

from .codec import build_codec
from .directory import UpstreamReport
from .positions import Position
from .routes import Route
from .statements import PreparedStatement, Statement


class Member(NamedTuple):
    """One identity of a control process; a lost disk ends the identity."""

    member_id: str
    name: str
    address: str


class LogEntry(NamedTuple):
    """One entry of the control log; ``command`` is an encoded command."""

    term: int
    log_index: int
    command: bytes


# Between control processes.


class VoteRequest(NamedTuple):
    """Ask for a vote, or with ``pre_vote`` whether a vote would be given."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool


class VoteReply(NamedTuple):
    """Answer a VoteRequest."""

    term: int
    voter: str
    granted: bool
    pre_vote: bool


class AppendRequest(NamedTuple):
    """Carry log entries, the commit index and a leadership round."""

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: list[LogEntry]
    commit_index: int
    round_number: int


class AppendReply(NamedTuple):
    """Answer an AppendRequest; ``match_index`` is synced on the member's disk."""

    term: int
    member: str
    success: bool
    match_index: int
    round_number: int


class SnapshotRequest(NamedTuple):
    """Replace a member's log by the leader's snapshot."""

    term: int
    leader: str
    last_index: int
    last_term: int
    membership: bytes
    machine: bytes
    round_number: int


class JoinRequest(NamedTuple):
    """Ask, from a control process with an empty disk, to become a member."""

    member: Member


class JoinReply(NamedTuple):
    """Answer a JoinRequest: whether the receiver belongs to a cluster."""

    member: Member
    initialised: bool


# Between proxies and control.


class ProxyHeartbeat(NamedTuple):
    """Renew a proxy's lease, confirm its revision and hand in proposals."""

    proxy: str
    boot: str
    address: str
    http_address: str
    data_centre: str
    sequence: int
    revision: int
    draining: bool
    proposals: list[bytes]


class HeartbeatReply(NamedTuple):
    """Renew the lease for ``lease_ms`` from the moment its heartbeat was sent.

    ``entries`` follow the revision of the heartbeat without a gap; ``machine`` replaces the whole
    configuration at ``machine_index`` where entries no longer reach back. ``release`` names groups
    that the proxy should hand over, since it holds more than its share.
    """

    sequence: int
    lease_ms: int
    commit_index: int
    entries: list[LogEntry]
    machine_index: int
    machine: bytes
    release: list[str]


class LeaderHint(NamedTuple):
    """Tell a proxy that the receiver can't answer as leader, and who may."""

    sequence: int
    leader_address: str


# Between proxies.


class Announcement(NamedTuple):
    """The state that an upstream announced, passed on to its group's home."""

    upstream: str
    group: str
    address: str
    data_centre: str
    state: str
    role: str
    term: int
    offset: int
    slots: int
    connection_cap: int


class ForwardedRequest(NamedTuple):
    """A request on its way from its entry proxy to the group's home.

    ``sent_at_ms`` is on the entry's clock and only echoed; ``deadline_ms`` is what is left.
    """

    number: int
    operation: str
    customer: str
    group: str
    home_epoch: int
    statement: Any
    work_class: str
    request_id: str
    transaction: str
    term: int
    offset: int
    deadline_ms: int
    sent_at_ms: int


class ForwardedAnswer(NamedTuple):
    """The home's answer to a ForwardedRequest.

    ``grant_left_ms`` is how long the home lets the entry acknowledge the answer: until
    ``sent_at_ms + grant_left_ms`` on the entry's own clock.
    """

    number: int
    group: str
    home_epoch: int
    failure: str
    message: str
    retry_after_ms: int
    value: Any
    upstream: str
    role: str
    term: int
    offset: int
    sent_at_ms: int
    grant_left_ms: int
    is_write: bool


class ForwardBatch(NamedTuple):
    """Requests and answers that one loop turn produced for one proxy."""

    requests: list[ForwardedRequest]
    answers: list[ForwardedAnswer]


class GrantQuestion(NamedTuple):
    """Ask a home whether writes of a term of its group may still be acknowledged."""

    group: str
    home_epoch: int
    term: int
    sent_at_ms: int


class GrantAnswer(NamedTuple):
    """Answer a GrantQuestion; ``grant_left_ms`` is zero where the grant was revoked."""

    group: str
    home_epoch: int
    term: int
    sent_at_ms: int
    grant_left_ms: int


# Between gateways and control, and between the directories of control processes.


class ControlPeer(NamedTuple):
    """A control process: its address for messages, its operators' address and where it stands."""

    address: str
    operator_address: str
    data_centre: str


class HeardReport(NamedTuple):
    """An upstream's report, and how long ago it was heard."""

    report: UpstreamReport
    age_ms: int


class WatermarkNote(NamedTuple):
    """A watermark of a service's database, and how long ago its primary was asked."""

    service: str
    upstream: str
    term: int
    offset: int
    age_ms: int


class PrimaryHealth(NamedTuple):
    """How the sender of a share finds a service's primary.

    ``failing_ms`` is how long its questions have gone without an answer, 0 while they have one.
    ``gateways_failing`` counts the sender's gateways whose writes go without an answer.
    """

    service: str
    upstream: str
    failing_ms: int
    gateways_failing: int


class DirectoryQuestion(NamedTuple):
    """Ask a control process for what changed since the revision named.

    ``refused_by`` names the upstreams that had no connection left for the asker, and
    ``writes_failing`` the services none of whose writes has been answered for a while. ``wanted``
    is how many connections the asker wants, by upstream.
    """

    gateway: str
    data_centre: str
    sequence: int
    configuration_version: int
    control_boot: str
    revision: int
    refused_by: list[str]
    writes_failing: list[str]
    wanted: dict[str, int]
    is_draining: bool


class DirectoryAnswer(NamedTuple):
    """Answer a DirectoryQuestion.

    ``reports`` are those after the asker's revision, or all of them where ``control_boot`` is new
    to the asker. ``document`` is the configuration, or empty where the asker has it.
    ``leader_age_ms`` tells how long ago the sender last knew itself up to date, and ``gateways``
    how many share the connections of each upstream. ``contended`` names the upstreams that have
    refused connections to some gateway lately, with how many all gateways want, and ``neighbours``
    the gateways of the asker's data centre.
    """

    sequence: int
    control_boot: str
    revision: int
    reports: list[HeardReport]
    controls: list[ControlPeer]
    configuration_version: int
    document: bytes
    watermarks: list[WatermarkNote]
    leader_age_ms: int
    gateways: int
    contended: dict[str, int]
    neighbours: list[str]


class DirectoryShare(NamedTuple):
    """Pass reports on to another control process.

    ``serial`` is echoed, 0 asks for no echo. ``gateways`` counts those that ask the sender, and
    ``contended`` names the upstreams that refused connections to them lately. ``wanted`` is how
    many connections they want together, by upstream.
    """

    sender: ControlPeer
    serial: int
    reports: list[HeardReport]
    primaries: list[PrimaryHealth]
    gateways: int
    contended: list[str]
    wanted: dict[str, int]


# Between gateways.


class ForwardedStatement(NamedTuple):
    """A session's statement on its way to the gateway that holds connections for its service.

    ``state`` is the session's, and ``is_started`` tells that statements of its transaction have run
    already. ``prepared`` is the prepared statement that runs, and ``left_ms`` what is left of the
    statement's timeout.
    """

    origin: str
    boot: str
    session: int
    number: int
    statement: Statement
    route: Route
    state: str
    is_read_only: bool
    is_started: bool
    values: dict[str, str]
    prepared: PreparedStatement | None
    position: Position | None
    configuration_version: int
    left_ms: int


class ForwardedReply(NamedTuple):
    """The answer to a ForwardedStatement; ``fault`` is empty where it succeeded.

    ``boot`` is the asker's, whose numbers start again with each start of its process.
    """

    holder: str
    boot: str
    number: int
    rows: list[str]
    proof: str
    fault: str
    text: str
    retry_after_ms: int
    position: Position | None


class ForwardedEnd(NamedTuple):
    """Roll back what a session has open at the receiver."""

    origin: str
    boot: str
    session: int


class DirectoryShareReceived(NamedTuple):
    """Confirm a DirectoryShare."""

    sender: str
    serial: int


CODEC = build_codec(
    (
        VoteRequest,
        VoteReply,
        AppendRequest,
        AppendReply,
        SnapshotRequest,
        JoinRequest,
        JoinReply,
        ProxyHeartbeat,
        HeartbeatReply,
        LeaderHint,
        Announcement,
        ForwardBatch,
        GrantQuestion,
        GrantAnswer,
        DirectoryQuestion,
        DirectoryAnswer,
        DirectoryShare,
        DirectoryShareReceived,
        ForwardedStatement,
        ForwardedReply,
        ForwardedEnd,
    )
)


def pack(value: object) -> bytes:
    """Return the msgpack form of a value that a message carries opaquely."""
    return msgspec.msgpack.encode(value)
