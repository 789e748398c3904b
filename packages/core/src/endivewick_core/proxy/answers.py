"""Responses of a home to ingress proxies, and the grants to acknowledge writes sent with them."""

from typing import Any, NamedTuple

from ..exceptions import NOT_HOME, Failure
from ..messages import ForwardedAnswer, ForwardedRequest
from .effects import ForwardAnswer, Served
from .events import UpstreamAnswer
from .state import Home, ProxyState, is_active
from .work import Origin, Work

WRITES = ("write", "commit", "begin")


class RepeatedAnswer(NamedTuple):
    """The recorded answer to a request id that was sent again."""

    answer: ForwardedAnswer


def not_home(
    state: ProxyState, now_ms: int, origin: Origin, request: ForwardedRequest
) -> ForwardAnswer:
    """Report to the ingress proxy that this proxy does not hold the group; nothing ran."""
    failure = Failure(NOT_HOME, f"{state.settings.name} does not hold group {request.group}")
    return _failed(state, now_ms, request.group, request.home_epoch, origin, failure, None)


def refuse(
    state: ProxyState,
    now_ms: int,
    home: Home,
    origin: Origin,
    failure: Failure,
    value: Any = None,
) -> ForwardAnswer:
    """Answer with a failure."""
    return _failed(state, now_ms, home.group, home.epoch, origin, failure, value)


def success(
    state: ProxyState,
    now_ms: int,
    home: Home,
    work: Work,
    upstream: str,
    answer: UpstreamAnswer,
    value: Any,
) -> ForwardedAnswer:
    """Return the answer to work that an upstream ran."""
    return ForwardedAnswer(
        work.origin.number,
        home.group,
        home.epoch,
        "",
        "",
        0,
        value,
        upstream,
        answer.role,
        answer.term,
        answer.offset,
        work.origin.sent_at_ms,
        0,
        work.operation in WRITES,
    )


def send(
    state: ProxyState, now_ms: int, home: Home, origin: Origin, answer: ForwardedAnswer
) -> ForwardAnswer:
    """Send an answer to its origin; a write's answer carries the remaining time of the grant."""
    stamped = answer._replace(number=origin.number, sent_at_ms=origin.sent_at_ms)
    if answer.is_write:
        remaining_ms = extend_grant(state, now_ms, home, answer.term)
        stamped = stamped._replace(grant_left_ms=remaining_ms)
    return ForwardAnswer(origin.address, stamped)


def extend_grant(state: ProxyState, now_ms: int, home: Home, term: int) -> int:
    """Grant the acknowledgement of writes of ``term``; return the duration in ms, or 0.

    The latest end of all grants is recorded: the home replaces the primary only after that time.
    """
    in_term = state.replicated_state.groups[home.group].term == term
    if not in_term or not is_active(state, home, now_ms):
        return 0
    remaining_ms = min(state.settings.grant_ms, state.lease_until_ms - now_ms)
    home.granted_until_ms = max(home.granted_until_ms, now_ms + remaining_ms)
    return remaining_ms


def value_answer(
    state: ProxyState, now_ms: int, home: Home, work: Work, value: Any
) -> ForwardAnswer:
    """Answer with a value that the home itself produced, without an upstream."""
    answer = ForwardedAnswer(
        work.origin.number,
        home.group,
        home.epoch,
        "",
        "",
        0,
        value,
        "",
        "",
        0,
        0,
        work.origin.sent_at_ms,
        0,
        False,
    )
    return ForwardAnswer(work.origin.address, answer)


def served(work: Work, now_ms: int, outcome: str, role: str) -> Served:
    """Return the record of finished work, for the histograms."""
    sent_ms = work.sent_ms or now_ms
    return Served(
        work.customer,
        work.work_class,
        work.operation,
        outcome,
        role,
        sent_ms - work.arrived_ms,
        now_ms - sent_ms,
    )


def _failed(
    state: ProxyState,
    now_ms: int,
    group: str,
    home_epoch: int,
    origin: Origin,
    failure: Failure,
    value: Any,
) -> ForwardAnswer:
    answer = ForwardedAnswer(
        origin.number,
        group,
        home_epoch,
        failure.type.name,
        failure.message,
        failure.retry_after_ms,
        value,
        "",
        "",
        0,
        0,
        origin.sent_at_ms,
        0,
        False,
    )
    return ForwardAnswer(origin.address, answer)
