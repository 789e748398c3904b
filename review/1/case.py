"""A primary is replaced as planned while one control machine is frozen."""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import CENTRES, HEARTBEAT_S, Client, Instance, System, run_case  # noqa: E402

PROMOTE_S = 1.0
WRITERS = 8
ROUNDS = 3
# The process is frozen for 3.7 s: before the new instance starts, until the old one drains, after.
FROZEN_BEFORE_S, START_TO_DRAIN_S, FROZEN_AFTER_S = 1.5, 0.7, 1.5


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
    """Freeze one control process, and replace the primary of one service meanwhile."""
    loop = asyncio.get_running_loop()
    writers = [
        Client(system, service, system.gateways[index % 2], f"primary-{service.name}")
        for index in range(WRITERS)
    ]
    tasks = [loop.create_task(client.write_forever(0.02)) for client in writers]
    await asyncio.sleep(3)
    primary = service.primary()
    frozen = system.programs[f"control-{1 + number}"]
    if has_trouble:
        system.record.add(f"{frozen.name} is frozen")
        frozen.popen.send_signal(signal.SIGSTOP)
    await asyncio.sleep(FROZEN_BEFORE_S)
    # The new instance starts first. The node that it calls first doesn't answer within the second
    # after which it calls the next one.
    new = Instance(
        service, f"i-{service.name}-new", f"{system.net}.{155 + 10 * number}", list(CENTRES)[0]
    )
    service.instances[new.name] = new
    new.next_report_s = time.monotonic() + HEARTBEAT_S
    system.record.add(f"{new.name} starts, to replace {primary.name}")
    await new.start(first_node=system.controls[number])
    await asyncio.sleep(START_TO_DRAIN_S)
    leave = loop.create_task(primary.leave(1.0))
    await asyncio.sleep(FROZEN_AFTER_S)
    if has_trouble:
        frozen.popen.send_signal(signal.SIGCONT)
        system.record.add(f"{frozen.name} runs again")
    await asyncio.sleep(2)
    for task in tasks:
        task.cancel()
    for client in writers:
        client.close()
    await leave


if __name__ == "__main__":
    run_case(HERE, main)
