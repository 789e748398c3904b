"""The reducer of a control process: ``reduce`` passes every event to the module that handles it."""

from typing import Any

from ..messages import (
    AppendReply,
    AppendRequest,
    DirectoryQuestion,
    DirectoryShare,
    DirectoryShareReceived,
    HandoverReply,
    HandoverRequest,
    JoinReply,
    JoinRequest,
    LeadershipEnded,
    PrimaryLeaseAnswer,
    PrimaryLeaseQuestion,
    ProxyHeartbeat,
    QuotaQuestion,
    QuotaShareAnswer,
    QuotaShareQuestion,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from ..upstream_links import ConnectionBroke, ConnectionOpened, ConnectionReplied
from . import (
    answered_upstreams,
    directory,
    election,
    failover,
    leases,
    membership,
    operators,
    placement,
    planned_stop,
    primary_leases,
    quotas,
    replication,
    upstream_weights,
    voter_changes,
    watch,
)
from .effects import Effect, LogEvent
from .events import (
    Event,
    FailoverAnswered,
    MessageReceived,
    OperatorRequested,
    ReportReceived,
    StopRequested,
    Tick,
    UpstreamRemoved,
)
from .state import ControlState, Role

_HANDLERS: dict[type, Any] = {
    VoteRequest: election.handle_vote_request,
    VoteReply: election.handle_vote_reply,
    AppendRequest: replication.handle_append_request,
    AppendReply: replication.handle_append_reply,
    SnapshotRequest: replication.handle_snapshot,
    JoinRequest: membership.handle_join_request,
    JoinReply: membership.handle_join_reply,
    HandoverRequest: planned_stop.handle_handover_request,
    HandoverReply: planned_stop.handle_handover_reply,
    LeadershipEnded: planned_stop.handle_leadership_ended,
    ProxyHeartbeat: leases.handle_heartbeat,
    DirectoryQuestion: directory.handle_directory_request,
    DirectoryShare: directory.handle_share,
    DirectoryShareReceived: directory.handle_share_received,
    PrimaryLeaseQuestion: primary_leases.handle_question,
    PrimaryLeaseAnswer: primary_leases.handle_answer,
    QuotaQuestion: quotas.handle_question,
    QuotaShareQuestion: quotas.handle_share_question,
    QuotaShareAnswer: quotas.handle_share_answer,
}

_EVENT_HANDLERS: dict[type, Any] = {
    ReportReceived: directory.handle_report,
    UpstreamRemoved: directory.handle_upstream_removed,
    FailoverAnswered: failover.handle_order_answered,
    ConnectionOpened: watch.handle_connection_opened,
    ConnectionReplied: watch.handle_connection_replied,
    ConnectionBroke: watch.handle_connection_broke,
    StopRequested: planned_stop.handle_stop_requested,
}


def reduce(state: ControlState, event: Event) -> list[Effect]:
    """Apply one event to ``state`` and return the effects in their order of execution."""
    if isinstance(event, MessageReceived):
        return _receive(state, event)
    if isinstance(event, OperatorRequested):
        return operators.handle_request(state, event.now_ms, event.number, event.request)
    if isinstance(event, Tick):
        effects = _tick(state, event) + _tick_services(state, event.now_ms)
        return effects + planned_stop.check_stop(state, event.now_ms)
    handled: list[Effect] = _EVENT_HANDLERS[type(event)](state, event)
    return handled


def _tick_services(state: ControlState, now_ms: int) -> list[Effect]:
    """Share the directory, monitor the primaries and replace those that fail."""
    if not state.settings.voter_target:
        return []
    effects = upstream_weights.update(state, now_ms)
    effects += directory.check_sharing(state, now_ms)
    effects += watch.check_primaries(state, now_ms)
    effects += primary_leases.check_leases(state, now_ms)
    effects += quotas.check_quotas(state, now_ms)
    effects += answered_upstreams.check_record(state, now_ms)
    return effects + failover.check_failovers(state, now_ms)


def _receive(state: ControlState, event: MessageReceived) -> list[Effect]:
    handler = _HANDLERS.get(type(event.message))
    if handler is None:
        text = f"received a {type(event.message).__name__}, which control does not handle"
        return [LogEvent("warning", "message_unexpected", text)]
    effects: list[Effect] = handler(state, event.now_ms, event.message)
    return effects + _answer_confirmed(state, event.now_ms)


def _tick(state: ControlState, event: Tick) -> list[Effect]:
    effects = membership.check_join(state, event.now_ms)
    if state.leader_state is None:
        effects += election.check_election(state, event.now_ms, event.random)
    if state.role is not Role.LEADER or state.leader_state is None:
        return effects
    if not replication.has_quorum_contact(state, event.now_ms):
        election.schedule_election(state, event.now_ms, event.random)
        return effects + election.become_follower(state, state.term, "")
    effects += voter_changes.check_voters(state, event.now_ms)
    effects += placement.check_homes(state, event.now_ms)
    due = event.now_ms - state.leader_state.round_started_ms >= state.settings.heartbeat_ms
    if due or state.leader_state.round_requested:
        effects += replication.start_round(state, event.now_ms)
    return effects + _answer_confirmed(state, event.now_ms)


def _answer_confirmed(state: ControlState, now_ms: int) -> list[Effect]:
    leader_state = state.leader_state
    if leader_state is None or state.commit_index < leader_state.start_index:
        return []
    confirmed = replication.confirmed_round(state)
    if confirmed <= leader_state.answered_round:
        return []
    leader_state.answered_round = confirmed
    effects = leases.answer_heartbeats(state, now_ms, confirmed)
    return effects + operators.answer_reads(state, now_ms, confirmed)
