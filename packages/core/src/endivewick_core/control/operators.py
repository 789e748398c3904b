"""Requests of operators to control.

Changes are answered once their log entry is committed. Reads are answered once a leadership round
has confirmed that this process is still leader.
"""

from typing import Any

from returns.result import Failure as Failed

from ..codec import encode
from ..commands import PutConfiguration, PutContract, SetUpstream
from ..contracts import contract_fields
from ..exceptions import (
    BOOTSTRAP_REFUSED,
    CHANGE_UNKNOWN,
    CONTRACT_INVALID,
    FAILURES_BY_NAME,
    MALFORMED_REQUEST,
    NO_QUORUM,
    NOT_LEADER,
    UNKNOWN_CUSTOMER,
    Failure,
    failure_body,
)
from ..replicated_state import ChangeResult, ReplicatedState
from . import directory, replication
from .effects import (
    AnswerConfiguration,
    AnswerOperator,
    Effect,
    LogEvent,
    RedirectOperator,
    SaveSnapshot,
    SaveVote,
)
from .events import (
    BootstrapRequest,
    GetConfiguration,
    GetContracts,
    GetStatus,
    GetUpstreams,
    PutConfigurationRequest,
    PutContractRequest,
    SetUpstreamRequest,
)
from .state import (
    ControlState,
    Membership,
    PendingChange,
    PendingRead,
    Role,
    encode_membership,
    quorum_size,
)

CHANGE_ID_MAX_LENGTH = 128
JOIN_REPLY_MAX_AGE_MS = 3_000


def handle_request(state: ControlState, now_ms: int, number: int, request: Any) -> list[Effect]:
    """Handle an operator's request; a process that isn't leader redirects or refuses most."""
    if isinstance(request, BootstrapRequest):
        return _bootstrap(state, now_ms, number)
    if isinstance(request, GetStatus) and state.role is not Role.LEADER:
        return [AnswerOperator(number, 200, status_body(state, now_ms))]
    if isinstance(request, PutConfigurationRequest):
        known = state.replicated_state.configuration.version
        if request.version <= known:
            return [AnswerOperator(number, 200, {"version": known})]
    if state.role is not Role.LEADER or state.leader_state is None:
        return [_redirect_or_refuse(state, now_ms, number)]
    if isinstance(request, PutConfigurationRequest):
        return _append_change(state, now_ms, number, PutConfiguration(*request))
    if isinstance(request, PutContractRequest | SetUpstreamRequest):
        return _propose_change(state, now_ms, number, request)
    pending = PendingRead(state.leader_state.round_number + 1, number, request)
    state.leader_state.pending_reads.append(pending)
    state.leader_state.round_requested = True
    return []


def answer_reads(state: ControlState, now_ms: int, confirmed: int) -> list[Effect]:
    """Answer the reads whose round has a quorum."""
    leader_state = state.leader_state
    if leader_state is None:
        return []
    ready = [read for read in leader_state.pending_reads if read.round_number <= confirmed]
    leader_state.pending_reads = [
        read for read in leader_state.pending_reads if read.round_number > confirmed
    ]
    return [_answer_read(state, now_ms, read) for read in ready]


def answer_change(
    state: ControlState, index: int, command: Any, result: ChangeResult
) -> list[Effect]:
    """Answer the change whose entry was committed at ``index``, if an operator waits for it."""
    assert state.leader_state is not None
    pending = state.leader_state.pending_changes.pop(index, None)
    if pending is None:
        return []
    if not result.failure:
        body: dict[str, object] = {"version": result.version, "revision": result.revision}
        return [AnswerOperator(pending.number, 200, body)]
    failure_type = FAILURES_BY_NAME[result.failure]
    details = _current_version(state.replicated_state, command)
    message = {
        "change_conflict": "another change replaced this version first; "
        "see the current version in details and send a new change against it",
        "change_id_reused": "this change id was used with other content; use a new change id",
        "unknown_upstream": "no upstream of this name is registered; check the name",
    }[result.failure]
    return [_refuse(pending.number, Failure(failure_type, message, details=details))]


def fail_pending(state: ControlState) -> list[Effect]:
    """Fail the pending changes and reads of a leadership that has ended."""
    leader_state = state.leader_state
    if leader_state is None:
        return []
    effects: list[Effect] = []
    message = "leadership ended before the outcome was known; resend with the same change id"
    for change in leader_state.pending_changes.values():
        effects.append(_refuse(change.number, Failure(CHANGE_UNKNOWN, message)))
    for read in leader_state.pending_reads:
        message = "leadership ended before a quorum confirmed it; send the request again"
        effects.append(_refuse(read.number, Failure(NO_QUORUM, message)))
    leader_state.pending_changes = {}
    leader_state.pending_reads = []
    return effects


def status_body(state: ControlState, now_ms: int) -> dict[str, object]:
    """Return the body that ``endivewickctl status`` shows."""
    membership = state.membership
    body: dict[str, object] = {
        "name": state.me.name,
        "role": str(state.role),
        "term": state.term,
        "leader": state.leader.partition("#")[0],
        "commit_index": state.commit_index,
        "revision": state.replicated_state.revision,
        "voters": [member.name for member in membership.voters],
        "learners": [member.name for member in membership.learners],
        "groups": [group._asdict() for group in state.replicated_state.groups.values()],
    }
    if state.leader_state is None:
        return body
    body["members"] = [
        {"name": member_id.partition("#")[0], "match_index": progress.match_index}
        for member_id, progress in state.leader_state.progress.items()
    ]
    body["proxies"] = [
        {
            "name": lease.proxy,
            "http_address": lease.http_address,
            "data_centre": lease.data_centre,
            "revision": lease.revision,
            "behind": max(0, state.replicated_state.revision - lease.revision),
            "draining": lease.draining,
            "lease_age_ms": now_ms - lease.granted_ms,
            "alive": now_ms - lease.granted_ms <= state.settings.lease_ms,
        }
        for lease in state.leader_state.leases.values()
    ]
    return body


def _refuse(number: int, failure: Failure) -> AnswerOperator:
    return AnswerOperator(number, failure.type.status, failure_body(failure))


def _not_leader(state: ControlState) -> Failure:
    leader = state.leader.partition("#")[0]
    address = state.settings.operator_addresses.get(leader, "")
    details: dict[str, object] = {"leader": leader, "operator_address": address}
    message = f"{state.me.name} is not leader; send the request to {leader or 'another member'}"
    return Failure(NOT_LEADER, message, retry_after_ms=500, details=details)


def _redirect_or_refuse(state: ControlState, now_ms: int, number: int) -> Effect:
    """Redirect to a leader with recent contact; refuse the request if there is none."""
    address = directory.operator_address(state, now_ms, state.leader.partition("#")[0])
    recent_contact = now_ms - state.leader_last_contact_ms < 2 * state.settings.election_timeout_ms
    if address and recent_contact and state.leader != state.me.member_id:
        return RedirectOperator(number, address)
    return _refuse(number, _not_leader(state))


def _propose_change(
    state: ControlState, now_ms: int, number: int, request: PutContractRequest | SetUpstreamRequest
) -> list[Effect]:
    assert state.leader_state is not None
    if len(state.membership.voters) < len(state.settings.members) // 2 + 1:
        message = "too few control members have joined; start the others and send the change again"
        return [_refuse(number, Failure(NO_QUORUM, message))]
    command = _build_command(request)
    if isinstance(command, Failure):
        return [_refuse(number, command)]
    return _append_change(state, now_ms, number, command)


def _append_change(state: ControlState, now_ms: int, number: int, command: Any) -> list[Effect]:
    """Append an operator's change, which is answered once it is committed."""
    assert state.leader_state is not None
    effects = replication.propose(state, encode(command))
    state.leader_state.pending_changes[state.log.last_index] = PendingChange(number, state.term)
    return effects + replication.start_round(state, now_ms)


def _build_command(
    request: PutContractRequest | SetUpstreamRequest,
) -> PutContract | SetUpstream | Failure:
    if not 0 < len(request.change_id) <= CHANGE_ID_MAX_LENGTH:
        return Failure(
            MALFORMED_REQUEST,
            f"change_id: give 1 to {CHANGE_ID_MAX_LENGTH} characters, new per change",
        )
    if isinstance(request, SetUpstreamRequest):
        return SetUpstream(*request)
    # Importing pydantic takes a third of a control process's start-up time, and only operators of
    # contracts need it.
    from ..contract_checks import check_contract, is_name

    if not is_name(request.customer):
        message = "customer: use up to 63 lower-case letters, digits, dots and hyphens"
        return Failure(CONTRACT_INVALID, message)
    result = check_contract(request.text)
    if isinstance(result, Failed):
        return result.failure()
    text = result.unwrap()
    return PutContract(
        request.change_id,
        request.customer,
        request.replaces_version,
        text["group"],
        text["max_staleness_ms"],
        text["connections"],
        text["surge_share"],
        text.get("acknowledge", "primary"),
    )


def _current_version(replicated_state: ReplicatedState, command: Any) -> dict[str, object]:
    if isinstance(command, PutContract):
        known = replicated_state.contracts.get(command.customer)
        return _contract_body(replicated_state, command.customer) if known else {}
    if isinstance(command, SetUpstream) and command.upstream in replicated_state.upstreams:
        return dict(replicated_state.upstreams[command.upstream]._asdict())
    return {}


def _contract_body(replicated_state: ReplicatedState, customer: str) -> dict[str, object]:
    contract = replicated_state.contracts[customer]
    return {
        "customer": customer,
        "version": contract.version,
        "contract": contract_fields(contract),
    }


def _answer_read(state: ControlState, now_ms: int, read: PendingRead) -> Effect:
    request = read.request
    replicated_state = state.replicated_state
    if isinstance(request, GetConfiguration):
        if replicated_state.configuration.version:
            return AnswerConfiguration(read.number, replicated_state.configuration.document)
        message = "no configuration exists yet; put one first"
        return _refuse(read.number, Failure(NO_QUORUM, message))
    if isinstance(request, GetStatus):
        return AnswerOperator(read.number, 200, status_body(state, now_ms))
    if isinstance(request, GetUpstreams):
        upstreams: list[object] = [item._asdict() for item in replicated_state.upstreams.values()]
        return AnswerOperator(
            read.number, 200, {"upstreams": upstreams, "revision": replicated_state.revision}
        )
    assert isinstance(request, GetContracts)
    if not request.customer:
        bodies: list[object] = [
            _contract_body(replicated_state, name) for name in sorted(replicated_state.contracts)
        ]
        return AnswerOperator(
            read.number, 200, {"contracts": bodies, "revision": replicated_state.revision}
        )
    if request.customer not in replicated_state.contracts:
        message = f"no contract for customer {request.customer}; put one first"
        return _refuse(read.number, Failure(UNKNOWN_CUSTOMER, message))
    body = _contract_body(replicated_state, request.customer)
    return AnswerOperator(read.number, 200, {**body, "revision": replicated_state.revision})


def _bootstrap(state: ControlState, now_ms: int, number: int) -> list[Effect]:
    reason = _bootstrap_refusal(state, now_ms)
    if reason:
        return [_refuse(number, Failure(BOOTSTRAP_REFUSED, reason))]
    membership = Membership([state.me], [])
    state.snapshot_membership = membership
    state.role = Role.FOLLOWER
    state.term = 1
    state.election_due_ms = now_ms
    empty = ReplicatedState()
    state.replicated_state = empty
    return [
        SaveVote(1, ""),
        SaveSnapshot(0, 0, encode_membership(membership), replication.encode_full(empty)),
        LogEvent("info", "bootstrapped", "started a new cluster"),
        AnswerOperator(number, 200, {"bootstrapped": state.me.name, "quorum": quorum_size(state)}),
    ]


def _bootstrap_refusal(state: ControlState, now_ms: int) -> str:
    """Return the reason why this member must not start a cluster, or an empty text."""
    if state.role is not Role.EMPTY:
        return "this member already belongs to a cluster; no bootstrap is needed"
    first = min(state.settings.members)
    if state.me.name != first:
        return f"only {first} may bootstrap, so that no second cluster starts; send it there"
    for name in state.settings.members:
        if name == state.me.name:
            continue
        received_ms, initialised = state.join_replies.get(name, (-JOIN_REPLY_MAX_AGE_MS, False))
        if initialised:
            return f"{name} already belongs to a cluster; this member joins it automatically"
        if now_ms - received_ms >= JOIN_REPLY_MAX_AGE_MS:
            return f"{name} did not respond; start every control member, then send it again"
    return ""
