"""A fake upstream for the driver: a stand-in's database without its process."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from endivewick_bench.standins.database import Database
from endivewick_core.proxy.effects import SendUpstream

GROUP = "main"


@dataclass
class Upstream:
    """One upstream and what tests did to it; ``transactions`` are open, by connection."""

    name: str
    database: Database
    alive: bool = True
    frozen: bool = False
    lag_ms: int = 0
    leaving: bool = False
    transactions: dict[Any, list[dict[str, Any]]] = field(default_factory=dict)
    pending: list[Callable[[], None]] = field(default_factory=list)


def execute(
    upstream: Upstream,
    key: Any,
    effect: SendUpstream,
    apply: Callable[[Upstream, dict[str, Any]], None],
    record: Callable[..., None],
) -> tuple[int, Any]:
    """Run one request; return its status and value."""
    database, body = upstream.database, effect.body
    if effect.path == "/promote":
        if body["term"] >= database.term:
            database.term, database.role, database.primary = body["term"], "primary", ""
            record(
                "promoted",
                upstream.name,
                group=GROUP,
                term=database.term,
                upstream=upstream.name,
            )
        return 200, None
    if effect.path == "/follow":
        if body["term"] > database.term or database.role == "primary":
            database.truncate(body["start_index"])
        database.role, database.primary = "replica", body["primary"]
        return 200, None
    if effect.path == "/statement" and body["statement"]["op"] == "get":
        wanted = body["statement"]["key"]
        return 200, {"key": wanted, "value": database.data.get(wanted, 0)}
    if effect.path == "/ping":
        return 200, None
    if database.role != "primary":
        return 409, "read_only"
    if effect.path == "/begin":
        upstream.transactions.setdefault(key, [])
    elif effect.path == "/rollback":
        upstream.transactions.pop(key, None)
    elif effect.path == "/commit":
        statements = upstream.transactions.pop(key, [])
        for statement in statements:
            apply(upstream, statement)
        tags = [statement["tag"] for statement in statements]
        record("upstream_committed", upstream.name, upstream=upstream.name, value=tags)
    elif body["in_transaction"] and key not in upstream.transactions:
        return 409, "no transaction is open on this connection"
    elif body["in_transaction"]:
        upstream.transactions[key].append(body["statement"])
    else:
        apply(upstream, body["statement"])
        return 200, {"key": body["statement"]["key"], "value": body["statement"]["value"]}
    return 200, None


def replicate(upstreams: dict[str, Upstream], cuts: set[tuple[str, str]]) -> None:
    """Copy each primary's log to the replicas that reach it and don't lag."""
    for upstream in upstreams.values():
        source = upstreams.get(upstream.database.primary)
        if source is None or not upstream.alive or upstream.frozen or upstream.lag_ms:
            continue
        reachable = source.alive and not source.frozen
        if not reachable or (source.name, upstream.name) in cuts:
            continue
        mine, theirs = upstream.database, source.database
        if theirs.role != "primary" or theirs.log[: len(mine.log)] != mine.log:
            continue
        for item in theirs.log[len(mine.log) :]:
            mine.log.append(item)
            mine.data[item.key] = item.value
        mine.term = max(mine.term, theirs.term)
