"""The messages between endivewick processes.

Each message is a NamedTuple whose fields are encoded in their order;
``docs/reference/messages.md`` documents them. Times in messages are durations, never clock
readings, since the clocks of two VMs may differ. The exception is ``sent_at_ms``: a reading of the
sender's own clock that the receiver returns unchanged and only the sender interprets.
"""

from typing import Any, NamedTuple

import msgspec

from .codec import build_codec
from .directory import UpstreamReport
from .positions import Position
from .routes import Route
from .statements import PreparedStatement, Statement
from .upstream_statistics import UpstreamCounts, UpstreamWeight


class Member(NamedTuple):
    """A member of the control quorum.

    ``member_id`` identifies the control process together with its disk: a process that lost its
    disk joins under a new id. ``name`` and ``address`` are those of its settings.
    """

    member_id: str
    name: str
    address: str


class LogEntry(NamedTuple):
    """An entry of the replicated control log; ``command`` is an encoded command."""

    term: int
    log_index: int
    command: bytes


# Between control processes.


class VoteRequest(NamedTuple):
    """Request a vote for ``candidate`` in ``term``.

    With ``pre_vote``, ask only whether the vote would be granted; the receiver then records
    nothing. ``last_index`` and ``last_term`` describe the end of the candidate's log.
    """

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool


class VoteReply(NamedTuple):
    """The response to a VoteRequest."""

    term: int
    voter: str
    granted: bool
    pre_vote: bool


class AppendRequest(NamedTuple):
    """Replicate log entries from the leader to a member, or confirm leadership without entries.

    ``previous_index`` and ``previous_term`` identify the entry before ``entries``. The member
    echoes ``round_number``, by which the leader learns that it was still leader when it sent the
    round.
    """

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: list[LogEntry]
    commit_index: int
    round_number: int


class AppendReply(NamedTuple):
    """The response to an AppendRequest or a SnapshotRequest.

    With ``success``, the member's log equals the leader's up to ``match_index`` and is synced to
    the member's disk up to there. Otherwise ``match_index`` is where the leader should try next.
    """

    term: int
    member: str
    success: bool
    match_index: int
    round_number: int


class SnapshotRequest(NamedTuple):
    """Replace a member's log up to ``last_index`` with the leader's snapshot.

    ``membership`` and ``machine`` are the encoded voters and learners and the encoded replicated
    state at ``last_index``.
    """

    term: int
    leader: str
    last_index: int
    last_term: int
    membership: bytes
    machine: bytes
    round_number: int


class JoinRequest(NamedTuple):
    """Request membership for ``member``, a control process that started with an empty disk."""

    member: Member


class JoinReply(NamedTuple):
    """The response to a JoinRequest; ``initialised`` is set if the sender belongs to a cluster."""

    member: Member
    initialised: bool


class HandoverRequest(NamedTuple):
    """Ask the leader to replace the voter ``member``, which is about to stop, by a learner.

    A learner that stops says so with it. ``boot`` identifies the process, which repeats the request
    until it is answered.
    """

    member: str
    boot: str


class HandoverReply(NamedTuple):
    """Allow the process ``boot`` to stop: it is no voter any more, or no learner can succeed it."""

    boot: str


class LeadershipEnded(NamedTuple):
    """Tell the voters that ``leader`` has ended its leadership of ``term``, to stop as planned."""

    term: int
    leader: str


# Between proxies and control.


class ProxyHeartbeat(NamedTuple):
    """Renew a proxy's lease, report its revision and submit commands.

    ``boot`` identifies one start of the proxy's process, ``revision`` is the last revision that the
    proxy has applied, and ``proposals`` are encoded commands for the control log.
    """

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
    """The response to a ProxyHeartbeat.

    The lease lasts ``lease_ms`` from the moment at which the proxy sent the heartbeat. ``entries``
    follow the revision of the heartbeat without a gap. If the log no longer reaches back to that
    revision, ``machine`` is the encoded replicated state at ``machine_index``, which replaces the
    proxy's. ``release`` names groups that the proxy should release, since it is home to more than
    its share.
    """

    sequence: int
    lease_ms: int
    commit_index: int
    entries: list[LogEntry]
    machine_index: int
    machine: bytes
    release: list[str]


class LeaderHint(NamedTuple):
    """The response of a control process that isn't leader to a ProxyHeartbeat.

    ``leader_address`` is the leader's address as far as the sender knows it, otherwise empty.
    """

    sequence: int
    leader_address: str


# Between proxies.


class Announcement(NamedTuple):
    """An upstream's announcement of itself, relayed to the home of its group.

    ``term`` and ``offset`` are the upstream's log position.
    """

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
    """A caller's request, forwarded by the proxy that received it to the group's home.

    The forwarding proxy is the ingress. ``number`` identifies the request there. ``term`` and
    ``offset`` are the position that the caller's session has seen. ``deadline_ms`` is the time left
    until the request's deadline. ``sent_at_ms`` is read from the ingress's clock; the home only
    echoes it.
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
    """The home's response to a ForwardedRequest.

    ``failure`` is the name of a failure type, empty if the request succeeded. ``term`` and
    ``offset`` are the position after the request. The ingress may acknowledge a write to the caller
    until ``sent_at_ms + grant_left_ms`` on its own clock.
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
    """The requests and answers for one proxy from one iteration of the sender's loop."""

    requests: list[ForwardedRequest]
    answers: list[ForwardedAnswer]


class GrantQuestion(NamedTuple):
    """Ask a group's home whether writes of ``term`` may still be acknowledged to callers.

    ``sent_at_ms`` is read from the sender's clock; the home only echoes it.
    """

    group: str
    home_epoch: int
    term: int
    sent_at_ms: int


class GrantAnswer(NamedTuple):
    """The response to a GrantQuestion.

    Writes of ``term`` may be acknowledged until ``sent_at_ms + grant_left_ms`` on the receiver's
    clock; ``grant_left_ms`` is 0 if the grant was revoked.
    """

    group: str
    home_epoch: int
    term: int
    sent_at_ms: int
    grant_left_ms: int


# Between gateways and control, and between the directories of control processes.


class ControlPeer(NamedTuple):
    """A control process as other processes reach it.

    ``address`` is for messages between processes, ``operator_address`` for operators' HTTP
    requests.
    """

    address: str
    operator_address: str
    data_centre: str


class HeardReport(NamedTuple):
    """An upstream's report, and the time since a control process last received one from it."""

    report: UpstreamReport
    age_ms: int


class WatermarkNote(NamedTuple):
    """A watermark of a service: a log position that bounds how stale a read can be.

    Every commit that was acknowledged more than ``age_ms`` ago is at or below the position
    ``term`` and ``offset``. The sender asked ``upstream``, then the primary, for it ``age_ms`` ago.
    """

    service: str
    upstream: str
    term: int
    offset: int
    age_ms: int


class PrimaryHealth(NamedTuple):
    """The health of a service's primary as one control process observes it.

    ``failing_ms`` is how long the primary has left the process's probes unanswered, 0 while it
    answers. ``gateways_failing`` counts the gateways in contact with the process whose writes to
    the service get no response.
    """

    service: str
    upstream: str
    failing_ms: int
    gateways_failing: int


class ConnectionDemand(NamedTuple):
    """How many connections to an upstream are claimed, and how many more are wanted.

    It is one gateway's, or the sum over many. A gateway claims its share and what it has above it.
    ``unmet`` is what it wants above that.
    """

    claimed: int
    unmet: int


class DirectoryQuestion(NamedTuple):
    """A gateway's request to a control process for everything that changed since ``revision``.

    ``revision`` counts the changes to the directory of upstreams of the control process whose start
    is ``control_boot``. ``configuration_version`` is the configuration that the gateway has.
    ``refused_by`` names the upstreams that recently refused the gateway a connection because their
    limit was reached, and ``writes_failing`` the services whose writes have had no response for
    some time. ``wanted`` is the number of connections that the gateway wants, by upstream.
    ``acknowledged`` is the highest position at which the gateway has acknowledged a commit, by
    service. ``demand`` is the gateway's demand for connections by upstream; it is empty where
    openings are not coordinated. ``upstream_counts`` are the outcomes of statements since the last
    poll, by upstream; those without a change are left out.
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
    acknowledged: dict[str, Position] = {}
    demand: dict[str, ConnectionDemand] = {}
    upstream_counts: dict[str, UpstreamCounts] = {}


class DirectoryAnswer(NamedTuple):
    """The response to a DirectoryQuestion.

    ``reports`` are those that changed after the gateway's revision, or all of them if
    ``control_boot`` is new to the gateway. ``controls`` lists the control processes. ``document``
    is the compressed configuration, empty if the gateway has it already. ``leader_age_ms`` is the
    time since the sender last knew that its configuration was up to date, which is its last contact
    with the control leader; it is 0 from the leader. ``gateways`` is the number of gateways that
    share the connections of each upstream. ``contended`` maps each upstream that recently refused
    connections to a gateway to the number of connections that all gateways want from it.
    ``neighbours`` lists the gateways in the receiver's data centre. ``demand`` is the demand of all
    gateways for connections to the upstreams that some gateway wants more of; it is None while the
    number of gateways isn't known yet, and where openings are not coordinated.
    ``upstream_weights`` holds the upstreams that should get less than their usual share of reads,
    or have few free slots.
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
    demand: dict[str, ConnectionDemand] | None = None
    upstream_weights: dict[str, UpstreamWeight] = {}


class PrimaryLeaseNote(NamedTuple):
    """A lease on a service's primary, which ends ``left_ms`` after the message was sent.

    ``leadership`` identifies the time for which the upstream leads, until another one does.
    """

    service: str
    upstream: str
    left_ms: int
    leadership: int = 0


class PrimaryLeaseQuestion(NamedTuple):
    """A control process's request to its leader for the leases on primaries."""

    sender: str
    sequence: int


class PrimaryWaitNote(NamedTuple):
    """A service without a primary whose failover waits for an upstream with every commit.

    It has waited for ``waited_ms``, and after ``left_ms`` more it promotes an upstream without.
    """

    service: str
    waited_ms: int
    left_ms: int


class PrimaryLeaseAnswer(NamedTuple):
    """The leases on primaries, in response to the request with this ``sequence``.

    The request is a PrimaryLeaseQuestion, or the DirectoryQuestion of a gateway. ``waits`` are the
    failovers that wait for commits.
    """

    sequence: int
    leases: list[PrimaryLeaseNote]
    waits: list[PrimaryWaitNote] = []


class DirectoryShare(NamedTuple):
    """What one control process knows about upstreams and gateways, sent to another.

    The receiver confirms ``serial``, unless it is 0. ``gateways`` counts the gateways that request
    the directory from the sender, ``contended`` names the upstreams that recently refused
    connections to them, and ``wanted`` is the number of connections that they want together, by
    upstream. ``acknowledged`` is the highest position at which any gateway is known to have
    acknowledged a commit, by service. ``demand`` is the demand for connections of those gateways
    together, by upstream. ``upstream_counts`` are the aged outcomes of statements of the sender's
    gateways, by upstream, as of the moment of sending.
    """

    sender: ControlPeer
    serial: int
    reports: list[HeardReport]
    primaries: list[PrimaryHealth]
    gateways: int
    contended: list[str]
    wanted: dict[str, int]
    acknowledged: dict[str, Position] = {}
    demand: dict[str, ConnectionDemand] = {}
    upstream_counts: dict[str, UpstreamCounts] = {}


# Between gateways.


class ForwardedStatement(NamedTuple):
    """A session's statement, forwarded to the gateway that holds connections for its service.

    ``origin`` is the session's gateway and ``boot`` the start of its process; ``number`` identifies
    the statement there. ``state`` is the session's transaction state, and ``is_started`` is set if
    statements of the transaction have already run. ``values`` are the session values to set on the
    upstream connection, ``prepared`` is the prepared statement to execute, and ``position`` is the
    log position that the session has seen. ``left_ms`` is the time left of the statement's timeout.
    ``tenant`` is the tenant that the session runs as, empty where there are no tenants.
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
    tenant: str = ""


class ForwardedReply(NamedTuple):
    """The response to a ForwardedStatement; ``fault`` is empty if the statement succeeded.

    ``boot`` is that of the session's gateway, echoed because its statement numbers start again with
    each start of its process.
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
    """Roll back the transaction that a session has open at the receiver."""

    origin: str
    boot: str
    session: int


class TokenNeed(NamedTuple):
    """Tokens that a gateway needs for a tenant.

    ``waiting`` operations wait for one, and ``expected`` are expected to start soon.
    """

    waiting: int
    expected: int


class QuotaQuestion(NamedTuple):
    """A gateway's request to a control process for tokens, by tenant.

    ``boot`` identifies the start of the gateway's process, ``sequence`` the question there.
    """

    gateway: str
    boot: str
    sequence: int
    configuration_version: int
    needs: dict[str, TokenNeed]


class TokenAnswer(NamedTuple):
    """The tokens for a tenant in response to a QuotaQuestion.

    Of the operations that wait, ``refused`` won't get a token, because the tenant is at its limit;
    tokens for more of them are expected after ``retry_after_ms``. Another answer follows for those
    that are ``pending``.
    """

    tokens: int
    pending: int = 0
    refused: int = 0
    retry_after_ms: int = 0


class QuotaAnswer(NamedTuple):
    """Tokens by tenant; a QuotaQuestion may be answered in parts, by several of these."""

    boot: str
    sequence: int
    answers: dict[str, TokenAnswer]


class ShareReport(NamedTuple):
    """The share of a tenant's limit that a control process holds, and what it needs.

    ``serial``, ``rate_ppm`` and ``burst_ppm`` are those of the last QuotaShare that it adopted.
    ``demand_per_s`` is what its gateways lately asked for, ``level`` the tokens that it has, and
    ``needed`` how many more its gateways wait for. ``reserved_per_s`` is the rate at which gateways
    that it doesn't hear from may go on, beside its share.
    """

    serial: int
    rate_ppm: int
    burst_ppm: int
    demand_per_s: float
    level: float
    needed: int
    reserved_per_s: float = 0.0


class QuotaShareQuestion(NamedTuple):
    """A control process's request to its leader for shares of tenants' limits.

    ``boot`` identifies the start of the sender's process. With ``is_full``, the reports contain
    every share that it holds.
    """

    sender: str
    member_id: str
    boot: str
    term: int
    sequence: int
    is_full: bool
    reports: dict[str, ShareReport]


class QuotaShare(NamedTuple):
    """A share of a tenant's limit, in millionths of its rate and burst, and ``tokens`` with it.

    A share with a higher ``serial`` replaces it. If the leader gave fewer tokens than needed, it
    has more after ``retry_after_ms``, negative if it can't tell, and the process can expect
    ``soon`` more of it while an operation waits.
    """

    serial: int
    rate_ppm: int
    burst_ppm: int
    tokens: float
    retry_after_ms: int = 0
    soon: float = 0.0


class QuotaShareAnswer(NamedTuple):
    """The response to a QuotaShareQuestion; shares are leases from when the question was sent."""

    boot: str
    term: int
    sequence: int
    shares: dict[str, QuotaShare]


class DirectoryShareReceived(NamedTuple):
    """Confirm receipt of the DirectoryShare with this ``serial``."""

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
        HandoverRequest,
        HandoverReply,
        LeadershipEnded,
        ProxyHeartbeat,
        HeartbeatReply,
        LeaderHint,
        Announcement,
        ForwardBatch,
        GrantQuestion,
        GrantAnswer,
        DirectoryQuestion,
        DirectoryAnswer,
        PrimaryLeaseQuestion,
        PrimaryLeaseAnswer,
        DirectoryShare,
        DirectoryShareReceived,
        QuotaQuestion,
        QuotaAnswer,
        QuotaShareQuestion,
        QuotaShareAnswer,
        ForwardedStatement,
        ForwardedReply,
        ForwardedEnd,
    )
)


def pack(value: object) -> bytes:
    """Encode a value that a message carries as opaque bytes."""
    return msgspec.msgpack.encode(value)
