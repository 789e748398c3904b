"""All processes are killed while a replica is behind; a commit that was acknowledged is lost.

One replica receives nothing for a while, all processes are killed, and the primary and the other
replica are down for 7 s from the start of the processes on. They come back with their logs. The rule
is broken if an instance is promoted whose log lacks an acknowledged commit.
"""

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "stand3"))
import standins as st  # noqa: E402

GATEWAYS = 3
WRITE_S = 0.1
DEAF_S = 6.5
KILLED_AFTER_S = 5.0  # since the replica receives nothing
DOWN_S = 0.8
CRASHED_S = 7.0
AFTER_S = 12.0


async def write(system, stop: asyncio.Event, acknowledged: dict) -> None:
    """Write all the time, each time in a session of its own."""
    for serial in itertools.count():
        if stop.is_set():
            return
        request_id = f"w{serial}"
        consumer = st.Consumer(system.record, system.frontends[serial % GATEWAYS], "entry")
        if await consumer.open():
            if await consumer.query(request_id, f"PUT i{serial} d{serial}") == "ok":
                acknowledged[request_id] = st.now()
        consumer.close()
        await asyncio.sleep(WRITE_S)


async def main(system, has_trouble: bool) -> int:
    stop, acknowledged = asyncio.Event(), {}
    primary, replica, behind = system.service.instances
    await asyncio.sleep(3.0)
    task = asyncio.create_task(write(system, stop, acknowledged))
    await asyncio.sleep(5.0)
    if has_trouble:
        behind.is_deaf = True
        system.record(behind.name, "receives nothing from here on")
        await asyncio.sleep(KILLED_AFTER_S)
        system.record("all processes are killed")
        for process in system.processes.values():
            process.kill()
        await asyncio.sleep(DOWN_S)
        primary.crash()
        replica.crash()
        for process in system.processes.values():
            process.start()
        await asyncio.sleep(DEAF_S - KILLED_AFTER_S - DOWN_S)
        behind.is_deaf = False
        system.record(behind.name, "can receive again")
        await asyncio.sleep(CRASHED_S - (DEAF_S - KILLED_AFTER_S - DOWN_S))
        await primary.start()
        await replica.start()
    await asyncio.sleep(AFTER_S)
    stop.set()
    await task
    for instance in system.service.instances:
        system.record(instance.name, instance.role, instance.position)
    lost = []
    for at, name, log in system.service.promotions:
        lost += [item for item, when in acknowledged.items() if when < at and item not in log]
    system.record("acknowledged", len(acknowledged), "promotions", len(system.service.promotions))
    system.record("lost", len(lost), lost, "rule broken" if lost else "rule held")
    if not acknowledged:
        return 2
    return 1 if lost else 0


st.run(main, Path(__file__).resolve().parent, GATEWAYS)
