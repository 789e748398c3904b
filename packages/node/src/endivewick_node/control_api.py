"""The HTTP API of a control process for operators: parses their requests for the reducer.

docs/reference/http-api.md documents every path, field and failure.
"""

from typing import Any, Literal

import msgspec
from endivewick_core.control.events import (
    BootstrapRequest,
    GetContracts,
    GetStatus,
    GetUpstreams,
    PutContractRequest,
    SetUpstreamRequest,
)
from endivewick_core.exceptions import (
    MALFORMED_REQUEST,
    UNKNOWN_PATH,
    Failure,
)
from typing_extensions import TypedDict

from .http_server import Request
from .operator_key import check_key


class ContractBody(TypedDict):
    """The body of ``PUT /v1/contracts/CUSTOMER``."""

    change_id: str
    replaces_version: int
    contract: Any


class UpstreamBody(TypedDict):
    """The body of ``PUT /v1/upstreams/NAME``."""

    change_id: str
    replaces_version: int
    wanted: Literal["started", "stopped"]


_FIELDS: dict[Any, frozenset[str]] = {
    body_type: frozenset(body_type.__annotations__) for body_type in (ContractBody, UpstreamBody)
}


def parse_operator_request(request: Request, operator_key: str) -> Any:
    """Return an operator's request as the reducer takes it, or a Failure if it is refused."""
    refusal = check_key(request, operator_key)
    if refusal is not None:
        return refusal
    parts = request.path.strip("/").split("/")
    match (request.method, *parts):
        case ("GET", "v1", "status"):
            return GetStatus()
        case ("GET", "v1", "contracts"):
            return GetContracts("")
        case ("GET", "v1", "contracts", customer):
            return GetContracts(customer)
        case ("GET", "v1", "upstreams"):
            return GetUpstreams()
        case ("POST", "v1", "bootstrap"):
            return BootstrapRequest()
        case ("PUT", "v1", "contracts", customer):
            return _put_contract(request, customer)
        case ("PUT", "v1", "upstreams", upstream):
            return _set_upstream(request, upstream)
    message = f"no such operation on a control process: {request.method} {request.path}"
    return Failure(UNKNOWN_PATH, message)


def _parse_body(request: Request, body_type: Any) -> Any:
    try:
        raw = msgspec.json.decode(request.body)
        fields = msgspec.convert(raw, body_type)
    except msgspec.MsgspecError as error:
        return Failure(MALFORMED_REQUEST, f"invalid body: {error}")
    unknown = raw.keys() - _FIELDS[body_type]
    if unknown:
        return Failure(MALFORMED_REQUEST, f"unknown fields: {', '.join(sorted(unknown))}")
    return fields


def _put_contract(request: Request, customer: str) -> Any:
    body = _parse_body(request, ContractBody)
    if isinstance(body, Failure):
        return body
    return PutContractRequest(
        body["change_id"], customer, body["replaces_version"], body["contract"]
    )


def _set_upstream(request: Request, upstream: str) -> Any:
    body = _parse_body(request, UpstreamBody)
    if isinstance(body, Failure):
        return body
    return SetUpstreamRequest(body["change_id"], upstream, body["replaces_version"], body["wanted"])
