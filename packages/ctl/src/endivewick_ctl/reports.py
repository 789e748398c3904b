"""The commands that look at the running system, drain a proxy or start a cluster."""

from typing import Any

from .client import Target, ask, ask_leader
from .exceptions import REFUSED, UNREACHABLE, CommandFailed
from .render import print_json, print_table

MEMBER_COLUMNS = ("name", "role", "match_index", "behind")
PROXY_COLUMNS = (
    "name",
    "http_address",
    "data_centre",
    "alive",
    "revision",
    "behind",
    "draining",
)
GROUP_COLUMNS = ("name", "term", "primary", "home", "home_epoch")
HISTOGRAM_COLUMNS = (
    "proxy",
    "customer",
    "work_class",
    "operation",
    "stage",
    "count",
    "p50_ms",
    "p90_ms",
    "p99_ms",
    "p99.9_ms",
    "max_ms",
)


def status(target: Target, as_json: bool) -> None:
    """Show who leads, who lags and which proxies are behind."""
    body = _leader_status(target)
    if as_json:
        print_json(body)
        return
    print(f"leader {body['leader']}, term {body['term']}, revision {body['revision']}\n")
    print_table(_member_rows(body), MEMBER_COLUMNS)
    print()
    print_table(body["proxies"], PROXY_COLUMNS)
    print()
    print_table(body["groups"], GROUP_COLUMNS)


def histogram(target: Target, customer: str, as_json: bool) -> None:
    """Show the histograms per customer and class of every proxy that answers."""
    rows: list[dict[str, Any]] = []
    silent: list[str] = []
    for proxy in _leader_status(target)["proxies"]:
        reply = ask(target, proxy["http_address"], "GET", "/v1/histograms")
        if reply is None or reply.status != 200:
            silent.append(proxy["name"])
            continue
        rows += [{"proxy": proxy["name"], **row} for row in reply.body["histograms"]]
    if customer:
        rows = [row for row in rows if row["customer"] == customer]
    if as_json:
        print_json({"histograms": rows, "silent": silent})
        return
    print_table(rows, HISTOGRAM_COLUMNS)
    for name in silent:
        print(f"{name} did not answer")


def drain(target: Target, name: str, as_json: bool) -> None:
    """Begin the planned stop of a proxy."""
    proxies = _leader_status(target)["proxies"]
    found = [row for row in proxies if row["name"] == name and row["alive"]]
    if not found:
        names = ", ".join(row["name"] for row in proxies if row["alive"]) or "none"
        raise CommandFailed(REFUSED, f"no proxy {name} is alive", f"alive proxies: {names}")
    reply = ask(target, found[0]["http_address"], "POST", "/v1/drain")
    if reply is None or reply.status != 200:
        message = f"{name} gave no answer at {found[0]['http_address']}"
        raise CommandFailed(UNREACHABLE, message, "check its address, then repeat it")
    if as_json:
        print_json(reply.body)
        return
    print(f"{name} finishes what runs, hands its homes over and then ends")


def bootstrap(target: Target, as_json: bool) -> None:
    """Start a new cluster at the first control process."""
    for address in target.addresses:
        reply = ask(target, address, "POST", "/v1/bootstrap")
        if reply is not None and reply.status == 200:
            if as_json:
                print_json(reply.body)
            else:
                print(f"{reply.body['bootstrapped']} started the cluster; the others join it")
            return
        if reply is not None and "only" not in str(reply.body.get("message")):
            message = f"{address}: {reply.body.get('message')}"
            raise CommandFailed(REFUSED, message, "run endivewickctl status to see the cluster")
    message = "no control process took the request"
    raise CommandFailed(UNREACHABLE, message, "start every control process, then repeat it")


def _leader_status(target: Target) -> dict[str, Any]:
    """Return the leader's status; a follower's names the leader."""
    body = ask_leader(target, "GET", "/v1/status")
    if body.get("role") == "leader":
        return body
    for address in target.addresses:
        reply = ask(target, address, "GET", "/v1/status")
        if reply is not None and reply.body.get("role") == "leader":
            return reply.body
    raise CommandFailed(
        UNREACHABLE,
        f"no control process leads; {body.get('name')} is {body.get('role')}",
        "check that a majority of the control processes runs and reaches each other",
    )


def _member_rows(body: dict[str, Any]) -> list[dict[str, Any]]:
    matches = {row["name"]: row["match_index"] for row in body["members"]}
    rows = []
    for role in ("voters", "learners"):
        for name in body[role]:
            match_index = matches.get(name, body["commit_index"])
            rows.append(
                {
                    "name": name,
                    "role": "leader" if name == body["leader"] else role.rstrip("s"),
                    "match_index": match_index,
                    "behind": max(0, body["commit_index"] - match_index),
                }
            )
    return rows
