"""Requests to control processes and proxies.

Requests go to the leader of control. Other control processes respond with the leader's address, and
those that do not respond are skipped. A change may be sent more than once, since its change id
makes it idempotent.
"""

import http.client
import json
import ssl
import time
from typing import Any, NamedTuple

from .exceptions import CONFLICT, CONFLICT_ERRORS, REFUSED, UNREACHABLE, CommandFailed

CALL_TIMEOUT_S = 3.0
RETRY_INTERVAL_S = 0.2
RETRY_LIMIT_S = 15.0
RETRIED_ERRORS = ("not_leader", "no_quorum", "change_outcome_unknown")


class Target(NamedTuple):
    """The addresses of the control processes and the credentials for them."""

    addresses: list[str]
    operator_key: str
    ca_file: str


class Reply(NamedTuple):
    """The HTTP status and the JSON body of a response."""

    status: int
    body: dict[str, Any]


def request_leader(target: Target, method: str, path: str, body: object = None) -> dict[str, Any]:
    """Return the leader's response; raise CommandFailed if it refuses or none responds."""
    addresses = list(target.addresses)
    deadline_s = time.monotonic() + RETRY_LIMIT_S
    last_reply: Reply | None = None
    while time.monotonic() < deadline_s:
        for address in list(addresses):
            reply = send_request(target, address, method, path, body)
            if reply is None:
                continue
            last_reply = reply
            if reply.body.get("error") not in RETRIED_ERRORS:
                return _body_or_raise(reply)
            _move_to_front(addresses, _leader_address(reply))
        _pause(RETRY_INTERVAL_S)
    if last_reply is not None:
        _body_or_raise(last_reply)
    raise CommandFailed(
        UNREACHABLE,
        f"no response from the control processes at {', '.join(target.addresses)}",
        "check --control and that a majority of control processes runs, then repeat the command",
    )


def send_request(
    target: Target, address: str, method: str, path: str, body: object = None
) -> Reply | None:
    """Send a request to one process; return None if there is no valid response."""
    headers = {"content-type": "application/json"}
    if target.operator_key:
        headers["authorization"] = f"Bearer {target.operator_key}"
    payload = None if body is None else json.dumps(body)
    connection = _connection(target, address)
    try:
        connection.request(method, path, payload, headers)
        answer = connection.getresponse()
        return Reply(answer.status, json.loads(answer.read()))
    except (OSError, http.client.HTTPException, ValueError):
        return None
    finally:
        connection.close()


def _connection(target: Target, address: str) -> http.client.HTTPConnection:
    if not target.ca_file:
        return http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    context = ssl.create_default_context(cafile=target.ca_file)
    return http.client.HTTPSConnection(address, timeout=CALL_TIMEOUT_S, context=context)


def _body_or_raise(reply: Reply) -> dict[str, Any]:
    if reply.status == 200:
        return reply.body
    error = str(reply.body.get("error", reply.status))
    details = reply.body.get("details")
    message = f"{error}: {reply.body.get('message', '')}"
    if error in CONFLICT_ERRORS:
        advice = (
            f"in force now: {json.dumps(details)}"
            if details
            else "read the current version and repeat the command"
        )
        raise CommandFailed(CONFLICT, message, advice)
    if error in RETRIED_ERRORS:
        raise CommandFailed(UNREACHABLE, message, "repeat the command with the same --change_id")
    advice = _details_text(details) or "correct the input and repeat the command"
    raise CommandFailed(REFUSED, message, advice)


def _details_text(details: Any) -> str:
    if isinstance(details, dict) and isinstance(details.get("faults"), list):
        return "\n".join(str(fault) for fault in details["faults"])
    return json.dumps(details) if details else ""


def _leader_address(reply: Reply) -> str:
    details = reply.body.get("details")
    return str(details.get("operator_address", "")) if isinstance(details, dict) else ""


def _move_to_front(addresses: list[str], address: str) -> None:
    if not address:
        return
    if address in addresses:
        addresses.remove(address)
    addresses.insert(0, address)


def _pause(seconds: float) -> None:
    time.sleep(seconds)
