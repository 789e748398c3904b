"""The contract commands: put, get, list and diff."""

import difflib
import json
import time
import uuid
from pathlib import Path
from typing import Any

import jsonc

from .client import Target, ask_leader
from .exceptions import NOT_IN_FORCE, USAGE, CommandFailed
from .render import print_json, print_table

IN_FORCE_LIMIT_S = 8.0
POLL_S = 0.1
CONTRACT_COLUMNS = (
    "customer",
    "version",
    "group",
    "max_staleness_ms",
    "connections",
    "surge_share",
    "acknowledge",
)


def read_contract(path: str) -> Any:
    """Return the contract in a file of JSON with comments."""
    try:
        return jsonc.loads(Path(path).read_text())
    except OSError as error:
        message = f"{path} can't be read: {error.strerror}"
        raise CommandFailed(USAGE, message, "name a file that exists") from error
    except ValueError as error:
        message = f"{path} is not JSON with comments: {error}"
        raise CommandFailed(USAGE, message, "correct the file") from error


def put(
    target: Target,
    customer: str,
    path: str,
    change_id: str,
    replaces_version: int | None,
    wait: bool,
    as_json: bool,
) -> None:
    """Put a contract; with ``wait``, return once it is in force at every proxy."""
    contract = read_contract(path)
    if replaces_version is None:
        replaces_version = _version_in_force(target, customer)
    body = {
        "change_id": change_id or uuid.uuid4().hex,
        "replaces_version": replaces_version,
        "contract": contract,
    }
    answer = ask_leader(target, "PUT", f"/v1/contracts/{customer}", body)
    if wait:
        answer["in_force"] = wait_in_force(target, answer["revision"])
    if as_json:
        print_json({**answer, "change_id": body["change_id"]})
        return
    print(f"{customer}: version {answer['version']} accepted (change {body['change_id']})")
    for line in answer.get("in_force", []):
        print(f"  {line}")


def get(target: Target, customer: str, as_json: bool) -> None:
    """Show one contract."""
    answer = ask_leader(target, "GET", f"/v1/contracts/{customer}")
    if as_json:
        print_json(answer)
        return
    print(f"// {customer}, version {answer['version']}")
    print(json.dumps(answer["contract"], indent=2))


def list_all(target: Target, as_json: bool) -> None:
    """List all contracts."""
    answer = ask_leader(target, "GET", "/v1/contracts")
    if as_json:
        print_json(answer)
        return
    rows = [{**row, **row["contract"]} for row in answer["contracts"]]
    print_table(rows, CONTRACT_COLUMNS)


def diff(target: Target, customer: str, path: str, as_json: bool) -> None:
    """Show how a file differs from the contract in force."""
    answer = ask_leader(target, "GET", f"/v1/contracts/{customer}")
    wanted = {"acknowledge": "primary", **read_contract(path)}
    if as_json:
        print_json({"in_force": answer["contract"], "file": wanted})
        return
    before = json.dumps(answer["contract"], indent=2, sort_keys=True).splitlines()
    after = json.dumps(wanted, indent=2, sort_keys=True).splitlines()
    label = f"{customer} version {answer['version']}"
    lines = list(difflib.unified_diff(before, after, label, path, lineterm=""))
    print("\n".join(lines) if lines else "no difference")


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


def _version_in_force(target: Target, customer: str) -> int:
    contracts = ask_leader(target, "GET", "/v1/contracts")["contracts"]
    versions = [row["version"] for row in contracts if row["customer"] == customer]
    return versions[0] if versions else 0
