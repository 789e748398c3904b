"""Authentication of operators by the key in the settings, if there is one."""

import hmac

from endivewick_core.exceptions import UNAUTHORIZED, Failure

from .http_server import Request


def check_key(request: Request, operator_key: str) -> Failure | None:
    """Return a failure if the request lacks the operator key, else None.

    Without a key in the settings every request is accepted.
    """
    if not operator_key:
        return None
    received = request.headers.get("authorization", "")
    if hmac.compare_digest(received.encode(), f"Bearer {operator_key}".encode()):
        return None
    return Failure(
        UNAUTHORIZED, "operator key missing or wrong; send it as 'authorization: Bearer KEY'"
    )
