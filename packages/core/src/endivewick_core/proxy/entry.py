"""The entry of a caller's request: checks, the way to its group's home, and the answer.

A request is sent to one home at a time. It is sent again only where the home said that it was not
run, or where it only reads. A successful write is acknowledged only while the home's grant, as far
as this process can tell by its own clock, is valid.
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
from .events import Ask, CallerAsked, ForwardUnsent
from .state import Entry, EntryStage, ProxyState, configuration_fresh

LATE_ANSWER_MS = 500
REROUTE_MS = 50
REPEATABLE = ("read", "issue_ids", "begin")


def handle_caller(state: ProxyState, event: CallerAsked) -> list[Effect]:
    """Take a caller's request, or refuse it before anything runs."""
    now_ms, number, ask = event
    failure = _refusal(state, now_ms, ask)
    if failure is not None:
        return [AnswerCaller(number, failure, {}, ask.token)]
    contract = state.machine.contracts[ask.customer]
    token = decode_token(state.settings.session_key, ask.token)
    if isinstance(token, Failed):
        return [AnswerCaller(number, token.failure(), {}, "")]
    entry = Entry(number, ask, token.unwrap(), contract.group, now_ms, now_ms + ask.deadline_ms)
    state.entries[number] = entry
    return route(state, now_ms, entry)


def route(state: ProxyState, now_ms: int, entry: Entry) -> list[Effect]:
    """Send a request to its group's home, or let it wait for one."""
    group = state.machine.groups.get(entry.group)
    if group is None or not group.home:
        return _wait(state, now_ms, entry)
    entry.stage = EntryStage.SENT
    entry.home_epoch = group.home_epoch
    entry.home_address = group.home_address
    entry.sent_ms = now_ms
    entry.moved_ms = 0
    request = _forwarded(entry, now_ms, entry.token.positions.get(entry.group, ZERO))
    return [Forward(group.home_address, request)]


def handle_answer(state: ProxyState, now_ms: int, answer: ForwardedAnswer) -> list[Effect]:
    """Pass a home's answer on to the caller, once."""
    entry = state.entries.get(answer.number)
    if entry is None or entry.stage is not EntryStage.SENT:
        return [Count("entry.late_answer")]
    expected = (entry.group, entry.home_epoch, entry.sent_ms)
    if (answer.group, answer.home_epoch, answer.sent_at_ms) != expected:
        return [Count("entry.foreign_answer")]
    if answer.failure == "not_home":
        return _wait(state, now_ms, entry)
    if answer.failure:
        return [_fail_as(state, entry, answer)]
    if not answer.is_write or _may_acknowledge(state, now_ms, entry, answer):
        return [_succeed(state, entry, answer)]
    entry.stage = EntryStage.CONFIRMING
    entry.answer = answer
    question = GrantQuestion(entry.group, entry.home_epoch, answer.term, now_ms)
    return [Count("entry.grant_questions"), Send(entry.home_address, question)]


def handle_unsent(state: ProxyState, event: ForwardUnsent) -> list[Effect]:
    """Let a request wait again that could not be sent to its group's home."""
    entry = state.entries.get(event.number)
    if entry is None or entry.stage is not EntryStage.SENT:
        return []
    return _wait(state, event.now_ms, entry)


def handle_grant(state: ProxyState, now_ms: int, answer: GrantAnswer) -> list[Effect]:
    """End the writes that waited to learn whether they may still be acknowledged."""
    until_ms = answer.sent_at_ms + answer.grant_left_ms
    state.grants[answer.group] = (answer.home_epoch, answer.term, until_ms)
    effects: list[Effect] = []
    for entry in list(state.entries.values()):
        if entry.stage is not EntryStage.CONFIRMING or entry.answer is None:
            continue
        of_grant = (answer.group, answer.home_epoch, answer.term)
        if (entry.group, entry.home_epoch, entry.answer.term) != of_grant:
            continue
        if now_ms < until_ms:
            effects.append(_succeed(state, entry, entry.answer))
        else:
            effects.append(_outcome_unknown(state, entry))
    return effects


def check_entries(state: ProxyState, now_ms: int) -> list[Effect]:
    """End the requests whose deadline passed, and route again those whose home moved."""
    effects: list[Effect] = []
    for entry in list(state.entries.values()):
        if now_ms >= entry.deadline_ms:
            effects.append(_time_out(state, entry))
            continue
        if entry.stage is not EntryStage.WAITING and _home_moved(state, entry):
            effects += _handle_move(state, now_ms, entry)
    return effects


def route_waiting(state: ProxyState, now_ms: int) -> list[Effect]:
    """Route what waits for a home, where there is one now."""
    effects: list[Effect] = []
    for group, numbers in list(state.waiting.items()):
        record = state.machine.groups.get(group)
        if record is None or not record.home:
            continue
        del state.waiting[group]
        for number in numbers:
            entry = state.entries.get(number)
            if entry is None or entry.stage is not EntryStage.WAITING:
                continue
            if now_ms < entry.sent_ms + REROUTE_MS and entry.home_epoch == record.home_epoch:
                state.waiting.setdefault(group, []).append(number)
                continue
            effects += route(state, now_ms, entry)
    return effects


def _refusal(state: ProxyState, now_ms: int, ask: Ask) -> Failure | None:
    settings = state.settings
    draining_ms = state.draining_since_ms
    if draining_ms is not None and now_ms - draining_ms > settings.balancer_grace_ms:
        message = f"{settings.name} is stopping; send the request to another proxy"
        return Failure(DRAINING, message, retry_after_ms=1)
    if not configuration_fresh(state, now_ms):
        message = f"{settings.name} can't confirm its configuration; send it to another proxy"
        return Failure(CONFIGURATION_STALE, message, retry_after_ms=settings.heartbeat_ms)
    if ask.customer not in state.machine.contracts:
        message = f"customer {ask.customer} has no contract; an operator must put one first"
        return Failure(UNKNOWN_CUSTOMER, message)
    return None


def _forwarded(entry: Entry, now_ms: int, wanted: Position) -> ForwardedRequest:
    ask = entry.ask
    return ForwardedRequest(
        entry.number,
        ask.operation,
        ask.customer,
        entry.group,
        entry.home_epoch,
        ask.statement if ask.operation != "issue_ids" else ask.id_count,
        ask.work_class,
        ask.request_id,
        ask.transaction,
        wanted.term,
        wanted.offset,
        entry.deadline_ms - now_ms,
        now_ms,
    )


def _wait(state: ProxyState, now_ms: int, entry: Entry) -> list[Effect]:
    """Let a request wait, in a bounded buffer, until its group has a home."""
    entry.stage = EntryStage.WAITING
    waiting = state.waiting.setdefault(entry.group, [])
    if len(waiting) >= state.settings.waiting_limit:
        message = f"group {entry.group} has no home and its waiting requests are at the limit"
        return [_fail(state, entry, Failure(OVERLOADED, message, retry_after_ms=1_000))]
    waiting.append(entry.number)
    return []


def _may_acknowledge(state: ProxyState, now_ms: int, entry: Entry, answer: ForwardedAnswer) -> bool:
    """Tell whether the home lets this entry acknowledge the write now, by its own clock."""
    until_ms = answer.sent_at_ms + answer.grant_left_ms
    known_epoch, known_term, known_ms = state.grants.get(entry.group, (0, 0, 0))
    if (known_epoch, known_term) == (entry.home_epoch, answer.term):
        until_ms = max(until_ms, known_ms)
    state.grants[entry.group] = (entry.home_epoch, answer.term, until_ms)
    return now_ms < until_ms


def _home_moved(state: ProxyState, entry: Entry) -> bool:
    group = state.machine.groups.get(entry.group)
    return group is not None and (group.home_epoch != entry.home_epoch or not group.home)


def _handle_move(state: ProxyState, now_ms: int, entry: Entry) -> list[Effect]:
    """Give the old home's answers a moment, then route again what may be repeated."""
    if not entry.moved_ms:
        entry.moved_ms = now_ms
    if now_ms - entry.moved_ms < LATE_ANSWER_MS:
        return []
    if entry.ask.operation in REPEATABLE and not entry.ask.transaction:
        return route(state, now_ms, entry)
    return [_outcome_unknown(state, entry)]


def _time_out(state: ProxyState, entry: Entry) -> AnswerCaller:
    if entry.stage is EntryStage.WAITING:
        message = f"group {entry.group} had no home within the deadline; send it again"
        return _fail(state, entry, Failure(NO_HOME, message, retry_after_ms=1_000))
    if entry.ask.operation in REPEATABLE:
        message = "no answer came within the deadline; the request changes nothing, send it again"
        return _fail(state, entry, Failure(READ_FAILED, message))
    return _outcome_unknown(state, entry)


def _outcome_unknown(state: ProxyState, entry: Entry) -> AnswerCaller:
    message = "the request may have run; read the data before you send it under a new request id"
    return _fail(state, entry, Failure(OUTCOME_UNKNOWN, message))


def _fail_as(state: ProxyState, entry: Entry, answer: ForwardedAnswer) -> AnswerCaller:
    failure_type = FAILURES_BY_NAME.get(answer.failure, OUTCOME_UNKNOWN)
    details = {"upstream_error": answer.value} if answer.value is not None else None
    failure = Failure(failure_type, answer.message, answer.retry_after_ms, details)
    return _fail(state, entry, failure)


def _fail(state: ProxyState, entry: Entry, failure: Failure) -> AnswerCaller:
    del state.entries[entry.number]
    return AnswerCaller(entry.number, failure, {}, entry.ask.token)


def _succeed(state: ProxyState, entry: Entry, answer: ForwardedAnswer) -> AnswerCaller:
    del state.entries[entry.number]
    body: dict[str, object] = {"value": answer.value}
    token = entry.token
    if answer.upstream:
        body["upstream"] = answer.upstream
        body["role"] = answer.role
        body["term"] = answer.term
        body["position"] = answer.offset
        token = advance(token, answer.group, Position(answer.term, answer.offset))
    text = entry.ask.token
    if token is not entry.token or not text:
        text = encode_token(state.settings.session_key, token)
    return AnswerCaller(entry.number, None, body, text)
