"""Requests to control processes and proxies.

A request goes to the control process that leads: one that does not lead names the leader, and one
that does not answer is passed over. A change may be sent more than once, since its change id makes
it idempotent.
"""

import http.client
import json
import ssl
import time
from typing import Any, NamedTuple

from .exceptions import CONFLICT, CONFLICTS, REFUSED, UNREACHABLE, CommandFailed

CALL_TIMEOUT_S = 3.0
RETRY_INTERVAL_S = 0.2
RETRY_LIMIT_S = 15.0
RETRIED = ("not_leader", "no_quorum", "change_outcome_unknown")


class Target(NamedTuple):
    """Where the control processes are, and how to reach them."""

    addresses: list[str]
    operator_key: str
    ca_file: str


class Reply(NamedTuple):
    """An answer: its status and its JSON body."""

    status: int
    body: dict[str, Any]


def ask_leader(target: Target, method: str, path: str, body: object = None) -> dict[str, Any]:
    """Return the leader's answer; raise CommandFailed where it refuses or none answers."""
    addresses = list(target.addresses)
    end_s = time.monotonic() + RETRY_LIMIT_S
    last: Reply | None = None
    while time.monotonic() < end_s:
        for address in list(addresses):
            reply = ask(target, address, method, path, body)
            if reply is None:
                continue
            last = reply
            if reply.body.get("error") not in RETRIED:
                return _accept(reply)
            _move_to_front(addresses, _named_leader(reply))
        _pause(RETRY_INTERVAL_S)
    if last is not None:
        _accept(last)
    raise CommandFailed(
        UNREACHABLE,
        f"no control process answered at {', '.join(target.addresses)}",
        "check --control and that a majority of the control processes runs, then repeat it",
    )


def ask(target: Target, address: str, method: str, path: str, body: object = None) -> Reply | None:
    """Send one request to one process; return None where it gives no answer."""
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


def _accept(reply: Reply) -> dict[str, Any]:
    if reply.status == 200:
        return reply.body
    error = str(reply.body.get("error", reply.status))
    details = reply.body.get("details")
    message = f"{error}: {reply.body.get('message', '')}"
    if error in CONFLICTS:
        advice = f"in force now: {json.dumps(details)}" if details else "read it and try again"
        raise CommandFailed(CONFLICT, message, advice)
    if error in RETRIED:
        raise CommandFailed(UNREACHABLE, message, "repeat it with the same --change_id")
    advice = _details_text(details) or "correct it and repeat the command"
    raise CommandFailed(REFUSED, message, advice)


def _details_text(details: Any) -> str:
    if isinstance(details, dict) and isinstance(details.get("faults"), list):
        return "\n".join(str(fault) for fault in details["faults"])
    return json.dumps(details) if details else ""


def _named_leader(reply: Reply) -> str:
    details = reply.body.get("details")
    return str(details.get("operator_address", "")) if isinstance(details, dict) else ""


def _move_to_front(addresses: list[str], address: str) -> None:
    if not address:
        return
    if address in addresses:
        addresses.remove(address)
    addresses.insert(0, address)


def _pause(seconds: float) -> None:
    """Wait between attempts."""
    time.sleep(seconds)
