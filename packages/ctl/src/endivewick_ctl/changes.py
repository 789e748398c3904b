"""Changes of the configuration: sent under a change id, and waited for until in force."""

import time
import uuid
from typing import Any

from .client import Target, ask_leader
from .exceptions import NOT_IN_FORCE, CommandFailed
from .render import print_json

IN_FORCE_LIMIT_S = 8.0
POLL_S = 0.1


def send_change(
    target: Target, path: str, content: dict[str, Any], change_id: str, wait: bool
) -> dict[str, Any]:
    """Send a change under ``change_id``, or a new one; return its answer with that id.

    With ``wait``, the answer has a line on each proxy's state under ``in_force``.
    """
    body = {**content, "change_id": change_id or uuid.uuid4().hex}
    answer = ask_leader(target, "PUT", path, body)
    answer["change_id"] = body["change_id"]
    if wait:
        answer["in_force"] = wait_in_force(target, answer["revision"])
    return answer


def show_change(subject: str, answer: dict[str, Any], as_json: bool) -> None:
    """Print the answer to a change of ``subject``."""
    if as_json:
        print_json(answer)
        return
    print(f"{subject}: version {answer['version']} accepted (change {answer['change_id']})")
    for line in answer.get("in_force", []):
        print(f"  {line}")


def wait_in_force(target: Target, revision: int) -> list[str]:
    """Wait until every proxy that may take work has ``revision``; return a line on each other."""
    end_s = time.monotonic() + IN_FORCE_LIMIT_S
    behind: list[str] = []
    while time.monotonic() < end_s:
        proxies = ask_leader(target, "GET", "/v1/status").get("proxies", [])
        alive = [row for row in proxies if row["alive"]]
        behind = [row["name"] for row in alive if row["revision"] < revision]
        if alive and not behind:
            gone = [row["name"] for row in proxies if not row["alive"]]
            lines = [f"in force at {len(alive)} proxies"]
            return lines + [f"{name} has no lease and takes no work" for name in gone]
        time.sleep(POLL_S)
    raise CommandFailed(
        NOT_IN_FORCE,
        f"accepted, but not yet in force at {', '.join(behind) or 'any proxy'}",
        "run endivewickctl status; a proxy that stays behind stops taking work by itself",
    )
