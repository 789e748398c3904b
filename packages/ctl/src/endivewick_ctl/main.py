"""The command endivewickctl.

Usage: endivewickctl [flags] COMMAND

  contract put CUSTOMER FILE     put a contract (--change_id, --replaces, --wait)
  contract get CUSTOMER          show a contract
  contract list                  list all contracts
  contract diff CUSTOMER FILE    compare a file with the contract in force
  upstream start|stop NAME       start or stop new work at an upstream (--change_id, --wait)
  upstream list                  list the upstreams
  status                         show the leader, the members and the proxies
  histogram [CUSTOMER]           show run and queue times per customer and class
  drain PROXY                    start the planned stop of a proxy
  bootstrap                      start a new cluster
  explain REQUEST-ID [FILE ...]  show the log lines that explain a request's outcome, from files
                                 or standard input

Exit codes: 0 success, 1 refused, 2 usage error, 3 conflict with another change, 4 no response or
outcome unknown, 5 accepted but not yet in force everywhere.
"""

import os
import sys
from pathlib import Path

from absl import app, flags

from . import contracts, explain, reports, upstreams
from .client import Target
from .exceptions import USAGE, CommandFailed

CONTROL_VARIABLE = "ENDIVEWICK_CONTROL"

_CONTROL = flags.DEFINE_list(
    "control", None, f"Operator addresses of the control processes; or set {CONTROL_VARIABLE}."
)
_KEY_FILE = flags.DEFINE_string("key_file", None, "The path of a file with the operator key.")
_CA_FILE = flags.DEFINE_string("ca_file", "", "Use TLS, and trust this PEM file.")
_JSON = flags.DEFINE_bool("json", False, "Print JSON instead of tables.")
_CHANGE_ID = flags.DEFINE_string(
    "change_id", "", "The change id; use the same id to resend a change."
)
_REPLACES = flags.DEFINE_integer(
    "replaces", None, "The version that the contract replaces; default: the one in force."
)
_WAIT = flags.DEFINE_bool("wait", False, "Return once the change is in force at every proxy.")


def run() -> None:
    """Run the command; the entry point of the package."""
    app.run(_main, flags_parser=_parse_flags)


def _parse_flags(arguments: list[str]) -> list[str]:
    try:
        return flags.FLAGS(arguments)
    except flags.Error as error:
        print(f"{error}\n\n{__doc__}", file=sys.stderr)
        sys.exit(USAGE)


def _main(arguments: list[str]) -> None:
    try:
        _run_command(arguments[1:])
    except CommandFailed as failure:
        print(f"{failure.message}\n{failure.advice}", file=sys.stderr)
        sys.exit(failure.exit_code)


def _run_command(command: list[str]) -> None:
    as_json = _JSON.value
    match command:
        case ["contract", "put", customer, path]:
            replaces, wait = _REPLACES.value, _WAIT.value
            contracts.put(_target(), customer, path, _CHANGE_ID.value, replaces, wait, as_json)
        case ["contract", "get", customer]:
            contracts.get(_target(), customer, as_json)
        case ["contract", "list"]:
            contracts.list_all(_target(), as_json)
        case ["contract", "diff", customer, path]:
            contracts.diff(_target(), customer, path, as_json)
        case ["upstream", ("start" | "stop") as action, name]:
            wanted = "started" if action == "start" else "stopped"
            upstreams.set_wanted(_target(), name, wanted, _CHANGE_ID.value, _WAIT.value, as_json)
        case ["upstream", "list"]:
            upstreams.list_all(_target(), as_json)
        case ["status"]:
            reports.status(_target(), as_json)
        case ["histogram"]:
            reports.histogram(_target(), "", as_json)
        case ["histogram", customer]:
            reports.histogram(_target(), customer, as_json)
        case ["drain", proxy]:
            reports.drain(_target(), proxy, as_json)
        case ["explain", request_id, *paths]:
            explain.explain(request_id, paths, as_json)
        case ["bootstrap"]:
            reports.bootstrap(_target(), as_json)
        case _:
            raise CommandFailed(USAGE, f"unknown command: {' '.join(command) or '(none)'}", __doc__)


def _target() -> Target:
    addresses = _CONTROL.value or os.environ.get(CONTROL_VARIABLE, "").split(",")
    addresses = [address for address in addresses if address]
    if not addresses:
        advice = f"use --control=IP:PORT,... or set {CONTROL_VARIABLE}"
        raise CommandFailed(USAGE, "no control process address is given", advice)
    return Target(addresses, _operator_key(), _CA_FILE.value)


def _operator_key() -> str:
    path = _KEY_FILE.value
    if path is None:
        return ""
    try:
        return Path(path).read_text().strip()
    except OSError as error:
        message = f"--key_file {path} can't be read: {error.strerror}"
        raise CommandFailed(USAGE, message, "give the path of a readable file") from error
