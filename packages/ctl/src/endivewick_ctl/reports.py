"""The commands that show the running system, drain a proxy or bootstrap a cluster."""

from typing import Any

from .client import Target, request_leader, send_request
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
    """Show the leader, the state of every member and the proxies that are behind."""
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
    """Show the histograms per customer and class of every proxy that responds."""
    rows: list[dict[str, Any]] = []
    unanswered: list[str] = []
    for proxy in _leader_status(target)["proxies"]:
        reply = send_request(target, proxy["http_address"], "GET", "/v1/histograms")
        if reply is None or reply.status != 200:
            unanswered.append(proxy["name"])
            continue
        rows += [{"proxy": proxy["name"], **row} for row in reply.body["histograms"]]
    if customer:
        rows = [row for row in rows if row["customer"] == customer]
    if as_json:
        print_json({"histograms": rows, "silent": unanswered})
        return
    print_table(rows, HISTOGRAM_COLUMNS)
    for name in unanswered:
        print(f"no response from {name}")


def drain(target: Target, name: str, as_json: bool) -> None:
    """Start the planned stop of a proxy."""
    proxies = _leader_status(target)["proxies"]
    matching = [row for row in proxies if row["name"] == name and row["alive"]]
    if not matching:
        names = ", ".join(row["name"] for row in proxies if row["alive"]) or "none"
        raise CommandFailed(REFUSED, f"no proxy {name} is alive", f"alive proxies: {names}")
    reply = send_request(target, matching[0]["http_address"], "POST", "/v1/drain")
    if reply is None or reply.status != 200:
        message = f"no valid response from {name} at {matching[0]['http_address']}"
        raise CommandFailed(UNREACHABLE, message, "check its address, then repeat the command")
    if as_json:
        print_json(reply.body)
        return
    print(f"{name} completes running requests, hands over its homes and then exits")


def bootstrap(target: Target, as_json: bool) -> None:
    """Start a new cluster at the first control process."""
    for address in target.addresses:
        reply = send_request(target, address, "POST", "/v1/bootstrap")
        if reply is not None and reply.status == 200:
            if as_json:
                print_json(reply.body)
            else:
                print(
                    f"{reply.body['bootstrapped']} started the cluster; the other members join it"
                )
            return
        if reply is not None and "only" not in str(reply.body.get("message")):
            message = f"{address}: {reply.body.get('message')}"
            raise CommandFailed(REFUSED, message, "run endivewickctl status to see the cluster")
    message = "no control process accepted the request"
    raise CommandFailed(
        UNREACHABLE, message, "start every control process, then repeat the command"
    )


def _leader_status(target: Target) -> dict[str, Any]:
    """Return the leader's status; if a follower responds, ask each control process."""
    body = request_leader(target, "GET", "/v1/status")
    if body.get("role") == "leader":
        return body
    for address in target.addresses:
        reply = send_request(target, address, "GET", "/v1/status")
        if reply is not None and reply.body.get("role") == "leader":
            return reply.body
    raise CommandFailed(
        UNREACHABLE,
        f"no control process is the leader; {body.get('name')} is {body.get('role')}",
        "check that a majority of the control processes is running and connected",
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
