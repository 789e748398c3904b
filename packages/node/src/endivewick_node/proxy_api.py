"""The HTTP API of a proxy: parses requests for the proxy reducer and encodes failures.

docs/reference/http-api.md documents every path, field and failure.
"""

from collections.abc import Callable
from typing import Any, Literal, NamedTuple, NotRequired

import msgspec
from endivewick_core.contract_checks import is_name
from endivewick_core.exceptions import (
    MALFORMED_REQUEST,
    METHOD_NOT_ALLOWED,
    UNKNOWN_PATH,
    Failure,
)
from endivewick_core.messages import Announcement
from endivewick_core.proxy.events import CallerRequest
from typing_extensions import TypedDict

from .addresses import is_address
from .http_server import Request, session_token

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
    # The optional field "class" is a Python keyword, so _parse_statement reads it from the body.


class BeginTransactionBody(TypedDict):
    """The body of ``POST /v1/transactions``."""

    customer: str
    deadline_ms: NotRequired[int]


class EndTransactionBody(TypedDict):
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


class ParsedRequest(NamedTuple):
    """A valid request: a ``CallerRequest`` for the reducer or an upstream's announcement."""

    caller_request: CallerRequest | None
    announcement: Announcement | None


_decode_json = msgspec.json.Decoder().decode
WORK_CLASSES = ("", "short", "long")


def parse_request(request: Request) -> ParsedRequest | Failure:
    """Return the parsed request, or the failure to report if it is invalid."""
    route = _ROUTES.get(request.path)
    if route is None:
        paths = ", ".join(sorted(_ROUTES))
        return Failure(UNKNOWN_PATH, f"no such path; use one of {paths}")
    if request.method != "POST":
        return Failure(METHOD_NOT_ALLOWED, f"{request.path} accepts only POST")
    try:
        body = _decode_json(request.body)
    except msgspec.MsgspecError as error:
        return Failure(MALFORMED_REQUEST, f"the body is not JSON: {error}")
    if not isinstance(body, dict):
        return Failure(MALFORMED_REQUEST, "the body must be a JSON object")
    return route(request, body)


def _parse_body(body: dict[str, Any], body_type: Any, extra: tuple[str, ...] = ()) -> Any:
    """Return the body converted to ``body_type``, or a Failure that names an invalid field.

    ``extra`` lists fields that are allowed in addition to those of ``body_type``.
    """
    unknown = body.keys() - _FIELDS[body_type] - set(extra)
    if unknown:
        names = ", ".join(sorted(unknown))
        return Failure(MALFORMED_REQUEST, f"unknown fields: {names}; remove them")
    try:
        converted = msgspec.convert(body, body_type)
    except msgspec.MsgspecError as error:
        return Failure(MALFORMED_REQUEST, f"invalid field in the body: {error}")
    deadline_ms = converted.get("deadline_ms", DEFAULT_DEADLINE_MS)
    if not 0 < deadline_ms <= DEADLINE_LIMIT_MS:
        message = f"deadline_ms: must be 1 to {DEADLINE_LIMIT_MS} milliseconds"
        return Failure(MALFORMED_REQUEST, message)
    return converted


def _parse_statement(request: Request, body: dict[str, Any]) -> ParsedRequest | Failure:
    fields = _parse_body(body, StatementBody, ("class",))
    if isinstance(fields, Failure):
        return fields
    work_class = body.get("class", "")
    if work_class not in WORK_CLASSES:
        return Failure(MALFORMED_REQUEST, "class: must be short or long, or absent")
    request_id = fields.get("request_id", "")
    transaction = fields.get("transaction", "")
    if request_id and (transaction or fields["kind"] == "read"):
        message = "request_id: allowed only on writes outside transactions; remove it"
        return Failure(MALFORMED_REQUEST, message)
    caller_request = CallerRequest(
        fields["kind"],
        fields["customer"],
        fields["statement"],
        work_class,
        request_id,
        transaction,
        fields.get("deadline_ms", DEFAULT_DEADLINE_MS),
        session_token(request),
    )
    return ParsedRequest(caller_request, None)


def _parse_begin(request: Request, body: dict[str, Any]) -> ParsedRequest | Failure:
    fields = _parse_body(body, BeginTransactionBody)
    if isinstance(fields, Failure):
        return fields
    return ParsedRequest(_request_without_statement("begin", request, fields), None)


def _parse_end(request: Request, body: dict[str, Any]) -> ParsedRequest | Failure:
    fields = _parse_body(body, EndTransactionBody)
    if isinstance(fields, Failure):
        return fields
    caller_request = _request_without_statement(fields["outcome"], request, fields)
    return ParsedRequest(caller_request._replace(transaction=fields["transaction"]), None)


def _parse_request_ids(request: Request, body: dict[str, Any]) -> ParsedRequest | Failure:
    fields = _parse_body(body, RequestIdsBody)
    if isinstance(fields, Failure):
        return fields
    count = fields.get("count", 1)
    if not 0 < count <= REQUEST_ID_COUNT_LIMIT:
        return Failure(MALFORMED_REQUEST, f"count: must be 1 to {REQUEST_ID_COUNT_LIMIT}")
    caller_request = _request_without_statement("issue_ids", request, fields)
    return ParsedRequest(caller_request._replace(id_count=count), None)


def _request_without_statement(operation: str, request: Request, fields: Any) -> CallerRequest:
    deadline_ms = fields.get("deadline_ms", DEFAULT_DEADLINE_MS)
    token = session_token(request)
    return CallerRequest(operation, fields["customer"], None, "short", "", "", deadline_ms, token)


def _parse_announcement(request: Request, body: dict[str, Any]) -> ParsedRequest | Failure:
    fields = _parse_body(body, AnnouncementBody)
    if isinstance(fields, Failure):
        return fields
    if not is_name(fields["upstream"]) or not is_name(fields["group"]):
        message = "upstream, group: use up to 63 lower-case letters, digits, dots and hyphens"
        return Failure(MALFORMED_REQUEST, message)
    if not is_address(fields["address"]):
        message = "address: must be an IPv4 address and a port, such as 10.0.0.1:5432"
        return Failure(MALFORMED_REQUEST, message)
    if fields["slots"] < 1 or fields["connections"] < 2:
        return Failure(MALFORMED_REQUEST, "slots must be at least 1, connections at least 2")
    announcement = Announcement(
        fields["upstream"],
        fields["group"],
        fields["address"],
        fields["data_centre"],
        fields["state"],
        fields["role"],
        fields["term"],
        fields["position"],
        fields["slots"],
        fields["connections"],
    )
    return ParsedRequest(None, announcement)


_FIELDS: dict[Any, frozenset[str]] = {
    body_type: frozenset(body_type.__annotations__)
    for body_type in (
        StatementBody,
        BeginTransactionBody,
        EndTransactionBody,
        RequestIdsBody,
        AnnouncementBody,
    )
}
_ROUTES: dict[str, Callable[[Request, dict[str, Any]], ParsedRequest | Failure]] = {
    "/v1/statements": _parse_statement,
    "/v1/transactions": _parse_begin,
    "/v1/transactions/end": _parse_end,
    "/v1/request-ids": _parse_request_ids,
    "/v1/upstreams": _parse_announcement,
}
