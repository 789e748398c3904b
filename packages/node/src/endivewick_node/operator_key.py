"""The key that operators send with each request, where the settings have one."""

import hmac

from endivewick_core.exceptions import UNAUTHORIZED, Failure

from .http_server import Request


def check_key(request: Request, operator_key: str) -> Failure | None:
    """Return why a request is refused, or None; without a key in the settings none is."""
    if not operator_key:
        return None
    given = request.headers.get("authorization", "")
    if hmac.compare_digest(given.encode(), f"Bearer {operator_key}".encode()):
        return None
    return Failure(UNAUTHORIZED, "send the operator key as 'authorization: Bearer KEY'")
