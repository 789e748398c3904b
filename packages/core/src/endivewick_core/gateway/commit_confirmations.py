"""Acknowledgement of commits, and commits whose success was received without a lease.

The upstream may have been replaced before such a commit, which is then lost. The client is answered
once a later lease shows which upstream was the primary at the time, or at the statement's timeout.
"""

from ..positions import Position
from ..primary_leases import confirms, known_leadership
from ..statements import Error, Fault, UpstreamReply
from . import answers
from .effects import Effect, LogEvent
from .primary_leases import covers_commit
from .requests import apply_success, commits_writes
from .state import GatewayState, Request, Session, UnconfirmedCommit


def await_confirmation(
    state: GatewayState, now_ms: int, upstream: str, request: Request, reply: UpstreamReply
) -> list[Effect]:
    """Keep a commit's success until a lease shows whether its upstream was the primary."""
    lease = state.primary_leases.get(request.route.service)
    leadership = known_leadership(lease, upstream)
    state.unconfirmed_commits.append(
        UnconfirmedCommit(now_ms, upstream, request, reply, leadership)
    )
    inputs: dict[str, object] = {
        "upstream": upstream,
        "service": request.route.service,
        "lease_on": lease.upstream if lease is not None else "",
        "lease_ended_ms_ago": now_ms - lease.valid_until_ms if lease is not None else None,
    }
    log_event = LogEvent(
        "warning",
        "commit_unconfirmed",
        request.statement.request_id,
        request.route.workspace,
        inputs,
        "waits for a lease on the primary",
    )
    return [log_event]


def acknowledge(
    state: GatewayState, now_ms: int, request: Request, reply: UpstreamReply
) -> list[Effect]:
    """Answer a statement that succeeded; remember the position of a commit of writes."""
    session = state.sessions[request.session]
    remember_position(state, session, request, reply.position)
    apply_success(session, request, reply.position)
    return answers.succeed(state, now_ms, request, reply)


def remember_position(
    state: GatewayState, session: Session, request: Request, position: Position | None
) -> None:
    """Remember where a commit of writes is acknowledged, which control is told with each poll."""
    if position is None or not commits_writes(session, request):
        return
    service = request.route.service
    state.acknowledged[service] = max(state.acknowledged.get(service, position), position)


def is_waiting(state: GatewayState, request: Request) -> bool:
    """Return whether a request's commit waits for its confirmation."""
    return any(commit.request is request for commit in state.unconfirmed_commits)


def resolve(state: GatewayState, now_ms: int) -> list[Effect]:
    """Answer the commits whose upstream is now known to have been the primary, or another one."""
    waiting, state.unconfirmed_commits = state.unconfirmed_commits, []
    effects: list[Effect] = []
    for commit in waiting:
        request = commit.request
        service = request.route.service
        if request.serial not in state.requests:
            continue
        lease = state.primary_leases.get(service)
        if covers_commit(state, service, commit.upstream, commit.received_ms):
            waited_ms = now_ms - commit.received_ms
            if lease is None or confirms(lease, commit.leadership, waited_ms):
                effects += acknowledge(state, now_ms, request, commit.reply)
                continue
        elif lease is None or lease.upstream == commit.upstream:
            state.unconfirmed_commits.append(commit)
            continue
        text = f"{commit.upstream} was replaced as primary at about the time of the commit"
        effects += answers.fail(state, now_ms, request, Error(Fault.OUTCOME_UNKNOWN, text))
    return effects
