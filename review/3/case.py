"""The primary is cut off from control; a new replica starts while another one is promoted."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import CENTRES, Client, Instance, System, run_case  # noqa: E402

PROMOTE_S = 1.0
WRITERS = 4
CUT_S = 5.0
ROUNDS = 3


async def main(record: Path, has_trouble: bool) -> int:
    system = System(record, gateways=2, promote_s=PROMOTE_S)
    services = [system.add_service(f"db{number}", number, copies=3) for number in range(ROUNDS)]
    try:
        await system.start()
        await system.wait_until_ready()
        for number, service in enumerate(services):
            await one_round(system, service, number, has_trouble)
        lost = sum(len(service.lost) for service in services)
        rounds = sum(1 for service in services if service.lost)
        promotions = sum(service.promotions for service in services)
        text = f"{promotions} promotions, {lost} acknowledged commits lost, in {rounds} of {ROUNDS}"
        system.record.add(f"result: {text} rounds")
        print(text, "rounds")
        return 1 if lost else 0
    finally:
        system.end()


async def one_round(system: System, service, number: int, has_trouble: bool) -> None:
    """Replace a replica as planned while the primary is cut off from control."""
    loop = asyncio.get_running_loop()
    writers = [
        Client(system, service, system.gateways[index % 2], f"primary-{service.name}")
        for index in range(WRITERS)
    ]
    tasks = [loop.create_task(client.write_forever(0.02)) for client in writers]
    await asyncio.sleep(3)
    primary, replica, _ = service.instances.values()
    platform = system.platform
    if has_trouble:
        system.record.add(f"{primary.name} is cut off from control")
        primary.is_cut_from_control = True
    orders = platform.orders
    for _ in range(200):
        if platform.orders > orders:
            break
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.4)
    # The planned replacement: the new instance starts first, the old one drains afterwards.
    new = Instance(
        service, f"i-{service.name}-new", f"{system.net}.{155 + 10 * number}", list(CENTRES)[1]
    )
    service.instances[new.name] = new
    system.record.add(f"{new.name} starts, to replace {replica.name}")
    new.next_report_s = time.monotonic()
    await new.start()
    leave = loop.create_task(leave_later(replica))
    await asyncio.sleep(CUT_S - 1.5)
    system.record.add(f"{primary.name} is connected again")
    primary.is_cut_from_control = False
    await asyncio.sleep(2)
    for task in tasks:
        task.cancel()
    for client in writers:
        client.close()
    await leave


async def leave_later(replica) -> None:
    await asyncio.sleep(1.0)
    await replica.leave(1.0)


if __name__ == "__main__":
    run_case(HERE, main)
