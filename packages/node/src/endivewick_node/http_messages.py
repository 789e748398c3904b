"""Requests and responses of the HTTP server."""

from typing import NamedTuple

import msgspec
from endivewick_core.exceptions import Failure, failure_body

TOKEN_HEADER = "endivewick-token"
TOKEN_COOKIE = "endivewick_token"

REASON_PHRASES = {
    200: "OK",
    307: "Temporary Redirect",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Request(NamedTuple):
    """A complete request; ``headers`` has lower-case names."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """A response: a status, a body and an optional session token.

    A body of ``bytes`` is sent unchanged, any other value as JSON. ``headers`` are sent in addition
    to those of the server.
    """

    status: int
    body: object
    token: str = ""
    headers: tuple[tuple[str, str], ...] = ()


def failure_response(failure: Failure, token: str = "") -> Response:
    """Return the response that reports a failure."""
    return Response(failure.type.status, failure_body(failure), token)


def encode_response(response: Response, is_last: bool) -> bytes:
    """Return the bytes of a response; ``is_last`` announces that the connection will be closed."""
    body = response.body if isinstance(response.body, bytes) else msgspec.json.encode(response.body)
    reason = REASON_PHRASES.get(response.status, "Error")
    head = f"HTTP/1.1 {response.status} {reason}\r\ncontent-type: application/json\r\n"
    if response.token:
        head += f"{TOKEN_HEADER}: {response.token}\r\n"
        head += f"set-cookie: {TOKEN_COOKIE}={response.token}; HttpOnly; SameSite=Lax\r\n"
    for name, value in response.headers:
        head += f"{name}: {value}\r\n"
    if is_last:
        head += "connection: close\r\n"
    return f"{head}content-length: {len(body)}\r\n\r\n".encode("latin-1") + body


def session_token(request: Request) -> str:
    """Return the session token of a request from its header, or else from its cookie."""
    token = request.headers.get(TOKEN_HEADER)
    if token is not None:
        return token
    for part in request.headers.get("cookie", "").split(";"):
        name, _, value = part.strip().partition("=")
        if name == TOKEN_COOKIE:
            return value
    return ""
