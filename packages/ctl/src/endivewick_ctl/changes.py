"""Sends changes under a change id and waits until they are in force."""

import time
import uuid
from typing import Any

from .client import Target, request_leader
from .exceptions import NOT_IN_FORCE, CommandFailed
from .render import print_json

IN_FORCE_TIMEOUT_S = 8.0
POLL_INTERVAL_S = 0.1


def send_change(
    target: Target, path: str, content: dict[str, Any], change_id: str, wait: bool
) -> dict[str, Any]:
    """Send a change; return the response, with the change id added.

    An empty ``change_id`` is replaced by a new one. With ``wait``, the function returns once the
    change is in force, and ``in_force`` of the response lists lines on the state of the proxies.
    """
    body = {**content, "change_id": change_id or uuid.uuid4().hex}
    answer = request_leader(target, "PUT", path, body)
    answer["change_id"] = body["change_id"]
    if wait:
        answer["in_force"] = wait_in_force(target, answer["revision"])
    return answer


def show_change(subject: str, answer: dict[str, Any], as_json: bool) -> None:
    """Print the response to a change of ``subject``."""
    if as_json:
        print_json(answer)
        return
    print(f"{subject}: version {answer['version']} accepted (change {answer['change_id']})")
    for line in answer.get("in_force", []):
        print(f"  {line}")


def wait_in_force(target: Target, revision: int) -> list[str]:
    """Wait until every proxy with a lease has ``revision``; raise CommandFailed on a time-out.

    Proxies without a lease accept no work. Return a line with the number of proxies at which the
    revision is in force, and a line for each proxy without a lease.
    """
    deadline_s = time.monotonic() + IN_FORCE_TIMEOUT_S
    behind: list[str] = []
    while time.monotonic() < deadline_s:
        proxies = request_leader(target, "GET", "/v1/status").get("proxies", [])
        alive = [row for row in proxies if row["alive"]]
        behind = [row["name"] for row in alive if row["revision"] < revision]
        if alive and not behind:
            without_lease = [row["name"] for row in proxies if not row["alive"]]
            lines = [f"in force at {len(alive)} proxies"]
            return lines + [f"{name} has no lease and accepts no work" for name in without_lease]
        time.sleep(POLL_INTERVAL_S)
    raise CommandFailed(
        NOT_IN_FORCE,
        f"accepted, but not yet in force at {', '.join(behind) or 'any proxy'}",
        "run endivewickctl status; a proxy that stays behind stops accepting work by itself",
    )
