"""A replica leaves for good, another one receives nothing for a while, and the primary crashes."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import Client, System, run_case  # noqa: E402

PROMOTE_S = 1.0
WRITERS = 4
DEAF_S = 6.5  # how long a replica receives nothing
CRASH_S = 7.0  # how long the primary is down
LINGER_S = 3.0  # how long the leaving replica serves after its drain time


async def main(record: Path, has_trouble: bool) -> int:
    system = System(record, gateways=2, promote_s=PROMOTE_S)
    service = system.add_service("db0", 0, copies=3)
    loop = asyncio.get_running_loop()
    try:
        await system.start()
        await system.wait_until_ready()
        primary, leaving, remaining = service.instances.values()
        writers = [
            Client(system, service, system.gateways[number % 2], "primary-db0")
            for number in range(WRITERS)
        ]
        for client in writers:
            system.background.append(loop.create_task(client.write_forever(0.02)))
        await asyncio.sleep(2)
        leave = loop.create_task(leaving.leave(LINGER_S))
        while leaving.leaving_acknowledged_s is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(7.0)
        system.record.add(f"{remaining.name} receives nothing from now on")
        remaining.is_deaf = has_trouble
        deaf_until = loop.time() + DEAF_S
        await leave
        await asyncio.sleep(0.3)
        if has_trouble:
            system.record.add(f"{primary.name} crashes")
            primary.stop()
            loop.call_later(CRASH_S, lambda: loop.create_task(restart(primary)))
        await asyncio.sleep(max(0.0, deaf_until - loop.time()))
        remaining.is_deaf = False
        system.record.add(f"{remaining.name} receives again")
        await asyncio.sleep(CRASH_S + 5)
        outcomes = [client.outcomes for client in writers]
        text = f"{service.promotions} promotions, {len(service.lost)} acknowledged commits lost"
        system.record.add(f"result: {text}; outcomes {outcomes}")
        print(text)
        return 1 if service.lost else 0
    finally:
        system.end()


async def restart(instance) -> None:
    instance.record.add(f"{instance.name} is back, with its log")
    if instance.service.primary() not in (None, instance):
        instance.is_primary = False
    await instance.start()


if __name__ == "__main__":
    run_case(HERE, main)
