"""The HTTP API of a proxy: from requests to events, and from effects to answers.

docs/reference/http-api.md documents every path, field and failure.
"""

from collections.abc import Callable
from typing import Any, Literal, NamedTuple, NotRequired

import msgspec
from endivewick_core.contracts import is_name
from endivewick_core.exceptions import (
    MALFORMED_REQUEST,
    METHOD_NOT_ALLOWED,
    UNKNOWN_PATH,
    Failure,
    failure_body,
)
from endivewick_core.messages import Announcement
from endivewick_core.proxy.events import CallerRequest
from typing_extensions import TypedDict

from .addresses import is_address
from .http_server import Answer, Request, session_token

DEFAULT_DEADLINE_MS = 5_000
DEADLINE_LIMIT_MS = 600_000
REQUEST_ID_COUNT_LIMIT = 1_000


class StatementBody(TypedDict):
    """The body of ``POST /v1/statements``."""

    customer: str
    kind: Literal["read", "write"]
    statement: Any
    deadline_ms: NotRequired[int]
    request_id: NotRequired[str]
    transaction: NotRequired[str]
    # "class" is a keyword, so this one field is read from the checked object by its name.


class TransactionBody(TypedDict):
    """The body of ``POST /v1/transactions``."""

    customer: str
    deadline_ms: NotRequired[int]


class EndBody(TypedDict):
    """The body of ``POST /v1/transactions/end``."""

    customer: str
    transaction: str
    outcome: Literal["commit", "rollback"]
    deadline_ms: NotRequired[int]


class RequestIdsBody(TypedDict):
    """The body of ``POST /v1/request-ids``."""

    customer: str
    count: NotRequired[int]
    deadline_ms: NotRequired[int]


class AnnouncementBody(TypedDict):
    """The body of ``POST /v1/upstreams``."""

    upstream: str
    group: str
    address: str
    data_centre: str
    state: Literal["running", "leaving"]
    role: Literal["primary", "replica"]
    term: int
    position: int
    slots: int
    connections: int


class Parsed(NamedTuple):
    """A request that was understood: a ``CallerRequest`` for the reducer, or an announcement."""

    ask: CallerRequest | None
    announcement: Announcement | None


_decode_any = msgspec.json.Decoder().decode
WORK_CLASSES = ("", "short", "long")


def failure_answer(failure: Failure, token: str = "") -> Answer:
    """Return the answer that reports a failure."""
    return Answer(failure.type.status, failure_body(failure), token)


def parse_request(request: Request) -> Parsed | Failure:
    """Return what a request asks for, or why it can't be understood."""
    route = _ROUTES.get(request.path)
    if route is None:
        paths = ", ".join(sorted(_ROUTES))
        return Failure(UNKNOWN_PATH, f"no such path; use one of {paths}")
    if request.method != "POST":
        return Failure(METHOD_NOT_ALLOWED, f"{request.path} takes POST")
    try:
        body = _decode_any(request.body)
    except msgspec.MsgspecError as error:
        return Failure(MALFORMED_REQUEST, f"the body is not JSON: {error}")
    if not isinstance(body, dict):
        return Failure(MALFORMED_REQUEST, "the body must be a JSON object")
    return route(request, body)


def _convert(body: dict[str, Any], kind: Any, extra: tuple[str, ...] = ()) -> Any:
    """Return the body as ``kind``, or a Failure that names the first wrong field."""
    unknown = body.keys() - _FIELDS[kind] - set(extra)
    if unknown:
        names = ", ".join(sorted(unknown))
        return Failure(MALFORMED_REQUEST, f"unknown fields: {names}; remove them")
    try:
        converted = msgspec.convert(body, kind)
    except msgspec.MsgspecError as error:
        return Failure(MALFORMED_REQUEST, f"the body has a wrong field: {error}")
    deadline_ms = converted.get("deadline_ms", DEFAULT_DEADLINE_MS)
    if not 0 < deadline_ms <= DEADLINE_LIMIT_MS:
        message = f"deadline_ms: give 1 to {DEADLINE_LIMIT_MS} milliseconds"
        return Failure(MALFORMED_REQUEST, message)
    return converted


def _parse_statement(request: Request, body: dict[str, Any]) -> Parsed | Failure:
    checked = _convert(body, StatementBody, ("class",))
    if isinstance(checked, Failure):
        return checked
    work_class = body.get("class", "")
    if work_class not in WORK_CLASSES:
        return Failure(MALFORMED_REQUEST, "class: give short or long, or leave it out")
    request_id = checked.get("request_id", "")
    transaction = checked.get("transaction", "")
    if request_id and (transaction or checked["kind"] == "read"):
        message = "request_id: only a write outside transactions takes one; remove it"
        return Failure(MALFORMED_REQUEST, message)
    ask = CallerRequest(
        checked["kind"],
        checked["customer"],
        checked["statement"],
        work_class,
        request_id,
        transaction,
        checked.get("deadline_ms", DEFAULT_DEADLINE_MS),
        session_token(request),
    )
    return Parsed(ask, None)


def _parse_begin(request: Request, body: dict[str, Any]) -> Parsed | Failure:
    checked = _convert(body, TransactionBody)
    if isinstance(checked, Failure):
        return checked
    return Parsed(_plain_ask("begin", request, checked), None)


def _parse_end(request: Request, body: dict[str, Any]) -> Parsed | Failure:
    checked = _convert(body, EndBody)
    if isinstance(checked, Failure):
        return checked
    ask = _plain_ask(checked["outcome"], request, checked)
    return Parsed(ask._replace(transaction=checked["transaction"]), None)


def _parse_request_ids(request: Request, body: dict[str, Any]) -> Parsed | Failure:
    checked = _convert(body, RequestIdsBody)
    if isinstance(checked, Failure):
        return checked
    count = checked.get("count", 1)
    if not 0 < count <= REQUEST_ID_COUNT_LIMIT:
        return Failure(MALFORMED_REQUEST, f"count: give 1 to {REQUEST_ID_COUNT_LIMIT}")
    ask = _plain_ask("issue_ids", request, checked)
    return Parsed(ask._replace(id_count=count), None)


def _plain_ask(operation: str, request: Request, checked: Any) -> CallerRequest:
    deadline_ms = checked.get("deadline_ms", DEFAULT_DEADLINE_MS)
    token = session_token(request)
    return CallerRequest(operation, checked["customer"], None, "short", "", "", deadline_ms, token)


def _parse_announcement(request: Request, body: dict[str, Any]) -> Parsed | Failure:
    checked = _convert(body, AnnouncementBody)
    if isinstance(checked, Failure):
        return checked
    if not is_name(checked["upstream"]) or not is_name(checked["group"]):
        message = "upstream, group: use up to 63 lower-case letters, digits, dots and hyphens"
        return Failure(MALFORMED_REQUEST, message)
    if not is_address(checked["address"]):
        message = "address: give four octets and a port, such as 10.0.0.1:5432"
        return Failure(MALFORMED_REQUEST, message)
    if checked["slots"] < 1 or checked["connections"] < 2:
        return Failure(MALFORMED_REQUEST, "slots, connections: give at least 1 and 2")
    announcement = Announcement(
        checked["upstream"],
        checked["group"],
        checked["address"],
        checked["data_centre"],
        checked["state"],
        checked["role"],
        checked["term"],
        checked["position"],
        checked["slots"],
        checked["connections"],
    )
    return Parsed(None, announcement)


_FIELDS: dict[Any, frozenset[str]] = {
    kind: frozenset(kind.__annotations__)
    for kind in (StatementBody, TransactionBody, EndBody, RequestIdsBody, AnnouncementBody)
}
_ROUTES: dict[str, Callable[[Request, dict[str, Any]], Parsed | Failure]] = {
    "/v1/statements": _parse_statement,
    "/v1/transactions": _parse_begin,
    "/v1/transactions/end": _parse_end,
    "/v1/request-ids": _parse_request_ids,
    "/v1/upstreams": _parse_announcement,
}
