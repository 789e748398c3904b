"""Ways to spread one configuration change: direct, a fixed-fanout tree, the VCube tree.

The encoder is the real one. The VCube tree is the one of Rodrigues, Duarte Jr. and Arantes,
"Distributed and Autonomic Minimum Spanning Trees": a node sends to the first fault-free node of
each of its log2(n) clusters, and a receiver forwards to the clusters below. That paper assumes a
perfect failure detector; here failed members are not known, so what lies behind one is not reached.
"""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from endivewick_core.codec import encode
from endivewick_core.commands import PutContract
from endivewick_core.messages import HeartbeatReply, LogEntry

SIZES = (6, 512, 3_800)
FANOUT = 8
FAILED_SHARE = 0.03


class Spread(NamedTuple):
    """What one change costs; ``missed`` counts live nodes that one pass does not reach."""

    messages: int
    root_messages: int
    busiest_messages: int
    depth: int
    missed: int


Children = Callable[[int, int, int], list[tuple[int, int]]]


def change_bytes() -> int:
    """Return the size of a reply that carries one contract change."""
    command = PutContract("3f" * 16, "customer-12345", 7, "group-12345", 2_000, 20, 0.25, "primary")
    entry = LogEntry(12, 1_234_567, encode(command))
    return len(encode(HeartbeatReply(1_234_567, 2_000, 1_234_567, [entry], 0, b"", [])))


def direct(node: int, level: int, size: int) -> list[tuple[int, int]]:
    """Return the children of a node where the root sends to everyone."""
    return [(child, 0) for child in range(1, size)] if node == 0 else []


def fixed_fanout(node: int, level: int, size: int) -> list[tuple[int, int]]:
    """Return the children of a node in a tree of ``FANOUT``."""
    first = node * FANOUT + 1
    return [(child, 0) for child in range(first, min(first + FANOUT, size))]


def vcube(node: int, level: int, size: int) -> list[tuple[int, int]]:
    """Return the first existing node of each cluster up to ``level``, with the level below."""
    children: list[tuple[int, int]] = []
    for cluster in range(level, 0, -1):
        child = _first_of_cluster(node, cluster, size)
        if child is not None:
            children.append((child, cluster - 1))
    return children


def _first_of_cluster(node: int, cluster: int, size: int) -> int | None:
    """Return the first member of ``c(node, cluster)`` that exists."""
    base = node ^ (1 << (cluster - 1))
    if base < size:
        return base
    for lower in range(1, cluster):
        found = _first_of_cluster(base, lower, size)
        if found is not None:
            return found
    return None


def spread(children: Children, size: int, failed: set[int]) -> Spread:
    """Send one change from node 0; failed nodes take a message and forward nothing."""
    top_level = max(1, (size - 1).bit_length())
    waiting = deque([(0, top_level, 0)])
    reached = {0}
    sent: dict[int, int] = {}
    depth = 0
    while waiting:
        node, level, at_depth = waiting.popleft()
        depth = max(depth, at_depth)
        if node in failed:
            continue
        for child, below in children(node, level, size):
            sent[node] = sent.get(node, 0) + 1
            if child in reached:
                continue
            reached.add(child)
            waiting.append((child, below, at_depth + 1))
    alive_reached = len(reached - failed)
    missed = size - len(failed) - alive_reached
    return Spread(sum(sent.values()), sent.get(0, 0), max(sent.values()), depth, missed)


def compare(seed: int) -> dict[str, Any]:
    """Return the comparison at every size, without and with failed members."""
    result: dict[str, Any] = {"change_bytes": change_bytes(), "failed_share": FAILED_SHARE}
    ways: dict[str, Children] = {"direct": direct, "tree_of_8": fixed_fanout, "vcube": vcube}
    for size in SIZES:
        count = max(1, round(size * FAILED_SHARE))
        failed = set(Random(seed).sample(range(1, size), count))
        for name, children in ways.items():
            whole = spread(children, size, set())
            hurt = spread(children, size, failed)
            row = whole._asdict() | {"missed_with_failed": hurt.missed, "failed": count}
            row["root_bytes"] = whole.root_messages * result["change_bytes"]
            result.setdefault(name, {})[str(size)] = row
    return result
