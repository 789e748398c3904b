"""The share of reads that replicas serve beside a lagging one, and the checks that go with it."""

from itertools import count
from random import Random
from typing import Any

import trio

from . import cluster as cl
from .checkers import Record, check_session, check_staleness, read_history
from .cluster import Site
from .sessions import Recorder, Session

SESSIONS = 12
WRITE_SHARE = 0.1
LAG_MS = 5_000
STALENESS_MS = 2_000
SHARED_KEY = "stock"
THINK_S = 0.02


async def measure_replica_reads(site: Site, seconds: float, seed: int) -> dict[str, Any]:
    """Measure with the contract's staleness, and the baseline that reads from primaries only."""
    return {
        "with_replicas": await _measure(site, seconds, seed, STALENESS_MS),
        "baseline_primary_only": await _measure(site, seconds, seed, 0),
    }


async def _measure(site: Site, seconds: float, seed: int, staleness_ms: int) -> dict[str, Any]:
    group = site.groups[0]
    contract = {
        "group": group,
        "max_staleness_ms": staleness_ms,
        "connections": 40,
        "surge_share": 1.0,
    }
    async with cl.running(site) as cluster:
        await cl.put_contract(cluster, "guests", contract, "replica-reads")
        await cl.wait_serving(cluster, "guests")
        lagging = f"{group}-{site.instances}"
        await cl.set_fault(cluster, lagging, lag_ms=LAG_MS)
        recorder = Recorder()
        sessions = [
            Session(
                f"s{number}",
                "guests",
                group,
                cluster.proxy_addresses,
                recorder,
                Random(seed * 1_000 + number),
            )
            for number in range(SESSIONS)
        ]
        async with trio.open_nursery() as nursery:
            shared = count(1)
            for session in sessions:
                nursery.start_soon(_browse, session, seconds, shared)
        upstream_records = read_history(cluster.history_paths())
    history = sorted(recorder.records + upstream_records, key=lambda item: item.at_ms)
    return _summary(history, staleness_ms)


async def _browse(session: Session, seconds: float, shared: Any) -> None:
    """Read mostly; now and then write a key of one's own or the shared one."""
    end_s = trio.current_time() + seconds
    writer = session.name == "s0"
    while trio.current_time() < end_s:
        if session.random.random() >= WRITE_SHARE:
            key = SHARED_KEY if session.random.random() < 0.5 else None
            await session.send("read", key=key)
        elif writer:
            await session.send("write", key=SHARED_KEY, value=next(shared))
        else:
            await session.send("write", value=next(session.values))
        await trio.sleep(THINK_S)


def _summary(history: list[Record], staleness_ms: int) -> dict[str, Any]:
    reads = [
        item
        for item in history
        if item.kind == "answer" and item.operation == "read" and item.outcome == "ok"
    ]
    by_replica = sum(item.role == "replica" for item in reads)
    aged = [
        item._replace(age_limit_ms=staleness_ms) if item.key == SHARED_KEY else item
        for item in history
    ]
    own = [item for item in history if item.key != SHARED_KEY]
    return {
        "reads": len(reads),
        "served_by_replicas": by_replica,
        "share": round(by_replica / max(1, len(reads)), 3),
        "failed": sum(i.kind == "answer" and i.outcome != "ok" for i in history),
        "session_violations": len(check_session(own)),
        "age_violations": len(check_staleness(aged)) if staleness_ms else 0,
    }
