"""The commands for contracts: put, get, list and diff."""

import difflib
import json
from pathlib import Path
from typing import Any

import jsonc

from .changes import send_change, show_change
from .client import Target, request_leader
from .exceptions import USAGE, CommandFailed
from .render import print_json, print_table

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
        raise CommandFailed(USAGE, message, "give the path of a readable file") from error
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
    """Store a contract; with ``wait``, return once it is in force at every proxy."""
    contract = read_contract(path)
    if replaces_version is None:
        replaces_version = _version_in_force(target, customer)
    content = {"replaces_version": replaces_version, "contract": contract}
    answer = send_change(target, f"/v1/contracts/{customer}", content, change_id, wait)
    show_change(customer, answer, as_json)


def get(target: Target, customer: str, as_json: bool) -> None:
    """Show one contract."""
    answer = request_leader(target, "GET", f"/v1/contracts/{customer}")
    if as_json:
        print_json(answer)
        return
    print(f"// {customer}, version {answer['version']}")
    print(json.dumps(answer["contract"], indent=2))


def list_all(target: Target, as_json: bool) -> None:
    """List all contracts."""
    answer = request_leader(target, "GET", "/v1/contracts")
    if as_json:
        print_json(answer)
        return
    rows = [{**row, **row["contract"]} for row in answer["contracts"]]
    print_table(rows, CONTRACT_COLUMNS)


def diff(target: Target, customer: str, path: str, as_json: bool) -> None:
    """Show how a file differs from the contract in force."""
    answer = request_leader(target, "GET", f"/v1/contracts/{customer}")
    proposed = {"acknowledge": "primary", **read_contract(path)}
    if as_json:
        print_json({"in_force": answer["contract"], "file": proposed})
        return
    before = json.dumps(answer["contract"], indent=2, sort_keys=True).splitlines()
    after = json.dumps(proposed, indent=2, sort_keys=True).splitlines()
    label = f"{customer} version {answer['version']}"
    lines = list(difflib.unified_diff(before, after, label, path, lineterm=""))
    print("\n".join(lines) if lines else "no difference")


def _version_in_force(target: Target, customer: str) -> int:
    contracts = request_leader(target, "GET", "/v1/contracts")["contracts"]
    versions = [row["version"] for row in contracts if row["customer"] == customer]
    return versions[0] if versions else 0
