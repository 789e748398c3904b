"""Ingress: a caller's request from its arrival at this proxy to the response.

The ingress proxy checks a request and forwards it to the home of its group, to one home at a time.
It forwards a request again only if the home reported that it was not run, or if it changes no data.
A successful write is acknowledged only while the home's grant is valid by this process's own clock.
"""

from returns.result import Failure as Failed

from ..exceptions import (
    CONFIGURATION_STALE,
    DRAINING,
    FAILURES_BY_NAME,
    NO_HOME,
    OUTCOME_UNKNOWN,
    OVERLOADED,
    READ_FAILED,
    UNKNOWN_CUSTOMER,
    Failure,
)
from ..messages import (
    ForwardedAnswer,
    ForwardedRequest,
    GrantAnswer,
    GrantQuestion,
)
from ..positions import ZERO, Position
from ..tokens import advance, decode_token, encode_token
from .effects import AnswerCaller, Count, Effect, Forward, Send
from .events import CallerRequest, CallerRequestReceived, ForwardUnsent
from .state import IngressRequest, IngressStage, ProxyState, configuration_fresh

LATE_RESPONSE_MS = 500
REROUTE_INTERVAL_MS = 50
REPEATABLE = ("read", "issue_ids", "begin")


def handle_caller(state: ProxyState, event: CallerRequestReceived) -> list[Effect]:
    """Accept a caller's request, or refuse it before anything runs."""
    now_ms, number, caller_request = event
    failure = _refusal(state, now_ms, caller_request)
    if failure is not None:
        return [AnswerCaller(number, failure, {}, caller_request.token)]
    contract = state.replicated_state.contracts[caller_request.customer]
    token = decode_token(state.settings.session_key, caller_request.token)
    if isinstance(token, Failed):
        return [AnswerCaller(number, token.failure(), {}, "")]
    request = IngressRequest(
        number,
        caller_request,
        token.unwrap(),
        contract.group,
        now_ms,
        now_ms + caller_request.deadline_ms,
    )
    state.requests[number] = request
    return route(state, now_ms, request)


def route(state: ProxyState, now_ms: int, request: IngressRequest) -> list[Effect]:
    """Forward a request to its group's home, or queue it until the group has one."""
    group = state.replicated_state.groups.get(request.group)
    if group is None or not group.home:
        return _wait(state, now_ms, request)
    request.stage = IngressStage.SENT
    request.home_epoch = group.home_epoch
    request.home_address = group.home_address
    request.sent_ms = now_ms
    request.home_changed_ms = 0
    forwarded = _forwarded(request, now_ms, request.token.positions.get(request.group, ZERO))
    return [Forward(group.home_address, forwarded)]


def handle_answer(state: ProxyState, now_ms: int, answer: ForwardedAnswer) -> list[Effect]:
    """Return a home's response to the caller; late and unrelated responses are dropped."""
    request = state.requests.get(answer.number)
    if request is None or request.stage is not IngressStage.SENT:
        return [Count("entry.late_answer")]
    expected = (request.group, request.home_epoch, request.sent_ms)
    if (answer.group, answer.home_epoch, answer.sent_at_ms) != expected:
        return [Count("entry.foreign_answer")]
    if answer.failure == "not_home":
        return _wait(state, now_ms, request)
    if answer.failure:
        return [_fail_as(state, request, answer)]
    if not answer.is_write or _may_acknowledge(state, now_ms, request, answer):
        return [_succeed(state, request, answer)]
    request.stage = IngressStage.CONFIRMING
    request.answer = answer
    grant_request = GrantQuestion(request.group, request.home_epoch, answer.term, now_ms)
    return [Count("entry.grant_questions"), Send(request.home_address, grant_request)]


def handle_unsent(state: ProxyState, event: ForwardUnsent) -> list[Effect]:
    """Queue a request again that could not be sent to its group's home."""
    request = state.requests.get(event.number)
    if request is None or request.stage is not IngressStage.SENT:
        return []
    return _wait(state, event.now_ms, request)


def handle_grant(state: ProxyState, now_ms: int, answer: GrantAnswer) -> list[Effect]:
    """Complete the writes that waited for confirmation of the home's grant."""
    until_ms = answer.sent_at_ms + answer.grant_left_ms
    state.grants[answer.group] = (answer.home_epoch, answer.term, until_ms)
    effects: list[Effect] = []
    for request in list(state.requests.values()):
        if request.stage is not IngressStage.CONFIRMING or request.answer is None:
            continue
        of_grant = (answer.group, answer.home_epoch, answer.term)
        if (request.group, request.home_epoch, request.answer.term) != of_grant:
            continue
        if now_ms < until_ms:
            effects.append(_succeed(state, request, request.answer))
        else:
            effects.append(_outcome_unknown(state, request))
    return effects


def check_requests(state: ProxyState, now_ms: int) -> list[Effect]:
    """Time out requests past their deadline, and handle those whose group's home changed."""
    effects: list[Effect] = []
    for request in list(state.requests.values()):
        if now_ms >= request.deadline_ms:
            effects.append(_time_out(state, request))
            continue
        if request.stage is not IngressStage.WAITING and _home_changed(state, request):
            effects += _handle_home_change(state, now_ms, request)
    return effects


def route_waiting(state: ProxyState, now_ms: int) -> list[Effect]:
    """Route the queued requests of each group that has a home again."""
    effects: list[Effect] = []
    for group, numbers in list(state.waiting.items()):
        record = state.replicated_state.groups.get(group)
        if record is None or not record.home:
            continue
        del state.waiting[group]
        for number in numbers:
            request = state.requests.get(number)
            if request is None or request.stage is not IngressStage.WAITING:
                continue
            if (
                now_ms < request.sent_ms + REROUTE_INTERVAL_MS
                and request.home_epoch == record.home_epoch
            ):
                state.waiting.setdefault(group, []).append(number)
                continue
            effects += route(state, now_ms, request)
    return effects


def _refusal(state: ProxyState, now_ms: int, caller_request: CallerRequest) -> Failure | None:
    settings = state.settings
    draining_ms = state.draining_since_ms
    if draining_ms is not None and now_ms - draining_ms > settings.balancer_grace_ms:
        message = f"{settings.name} is stopping; send the request to another proxy"
        return Failure(DRAINING, message, retry_after_ms=1)
    if not configuration_fresh(state, now_ms):
        message = f"{settings.name} can't confirm its configuration; send it to another proxy"
        return Failure(CONFIGURATION_STALE, message, retry_after_ms=settings.heartbeat_ms)
    if caller_request.customer not in state.replicated_state.contracts:
        message = (
            f"customer {caller_request.customer} has no contract; an operator must put one first"
        )
        return Failure(UNKNOWN_CUSTOMER, message)
    return None


def _forwarded(
    request: IngressRequest, now_ms: int, session_position: Position
) -> ForwardedRequest:
    caller_request = request.caller_request
    return ForwardedRequest(
        request.number,
        caller_request.operation,
        caller_request.customer,
        request.group,
        request.home_epoch,
        (
            caller_request.statement
            if caller_request.operation != "issue_ids"
            else caller_request.id_count
        ),
        caller_request.work_class,
        caller_request.request_id,
        caller_request.transaction,
        session_position.term,
        session_position.offset,
        request.deadline_ms - now_ms,
        now_ms,
    )


def _wait(state: ProxyState, now_ms: int, request: IngressRequest) -> list[Effect]:
    """Queue a request until its group has a home; refuse it when the queue is full."""
    request.stage = IngressStage.WAITING
    waiting = state.waiting.setdefault(request.group, [])
    if len(waiting) >= state.settings.waiting_limit:
        message = f"group {request.group} has no home and its waiting requests are at the limit"
        return [_fail(state, request, Failure(OVERLOADED, message, retry_after_ms=1_000))]
    waiting.append(request.number)
    return []


def _may_acknowledge(
    state: ProxyState, now_ms: int, request: IngressRequest, answer: ForwardedAnswer
) -> bool:
    """Return whether the home's grant covers the write now, by this process's own clock."""
    until_ms = answer.sent_at_ms + answer.grant_left_ms
    known_epoch, known_term, known_ms = state.grants.get(request.group, (0, 0, 0))
    if (known_epoch, known_term) == (request.home_epoch, answer.term):
        until_ms = max(until_ms, known_ms)
    state.grants[request.group] = (request.home_epoch, answer.term, until_ms)
    return now_ms < until_ms


def _home_changed(state: ProxyState, request: IngressRequest) -> bool:
    group = state.replicated_state.groups.get(request.group)
    return group is not None and (group.home_epoch != request.home_epoch or not group.home)


def _handle_home_change(state: ProxyState, now_ms: int, request: IngressRequest) -> list[Effect]:
    """Wait a short time for the old home's response, then reroute what may run twice."""
    if not request.home_changed_ms:
        request.home_changed_ms = now_ms
    if now_ms - request.home_changed_ms < LATE_RESPONSE_MS:
        return []
    if request.caller_request.operation in REPEATABLE and not request.caller_request.transaction:
        return route(state, now_ms, request)
    return [_outcome_unknown(state, request)]


def _time_out(state: ProxyState, request: IngressRequest) -> AnswerCaller:
    if request.stage is IngressStage.WAITING:
        message = f"group {request.group} had no home within the deadline; send it again"
        return _fail(state, request, Failure(NO_HOME, message, retry_after_ms=1_000))
    if request.caller_request.operation in REPEATABLE:
        message = "no response within the deadline; the request changes no data, send it again"
        return _fail(state, request, Failure(READ_FAILED, message))
    return _outcome_unknown(state, request)


def _outcome_unknown(state: ProxyState, request: IngressRequest) -> AnswerCaller:
    message = "the request may have run; read the data before you send it under a new request id"
    return _fail(state, request, Failure(OUTCOME_UNKNOWN, message))


def _fail_as(state: ProxyState, request: IngressRequest, answer: ForwardedAnswer) -> AnswerCaller:
    failure_type = FAILURES_BY_NAME.get(answer.failure, OUTCOME_UNKNOWN)
    details = {"upstream_error": answer.value} if answer.value is not None else None
    failure = Failure(failure_type, answer.message, answer.retry_after_ms, details)
    return _fail(state, request, failure)


def _fail(state: ProxyState, request: IngressRequest, failure: Failure) -> AnswerCaller:
    del state.requests[request.number]
    return AnswerCaller(request.number, failure, {}, request.caller_request.token)


def _succeed(state: ProxyState, request: IngressRequest, answer: ForwardedAnswer) -> AnswerCaller:
    del state.requests[request.number]
    body: dict[str, object] = {"value": answer.value}
    token = request.token
    if answer.upstream:
        body["upstream"] = answer.upstream
        body["role"] = answer.role
        body["term"] = answer.term
        body["position"] = answer.offset
        token = advance(token, answer.group, Position(answer.term, answer.offset))
    text = request.caller_request.token
    if token is not request.token or not text:
        text = encode_token(state.settings.session_key, token)
    return AnswerCaller(request.number, None, body, text)
