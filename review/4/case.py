"""All control processes are killed and back within a second; a primary is shut down as planned."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import HEARTBEAT_S, Client, System, run_case  # noqa: E402

ROUNDS = 4
DOWN_S = 0.5
PROMOTE_S = 1.0
WRITERS = 8


async def main(record: Path, has_trouble: bool) -> int:
    system = System(record, gateways=2, promote_s=PROMOTE_S)
    services = [system.add_service(f"db{number}", number, copies=3) for number in range(ROUNDS)]
    try:
        await system.start()
        await system.wait_until_ready()
        for service in services:
            await one_round(system, service, has_trouble)
        lost = sum(len(service.lost) for service in services)
        promotions = sum(service.promotions for service in services)
        rounds = sum(1 for service in services if service.lost)
        text = f"{promotions} promotions, {lost} acknowledged commits lost, in {rounds} of {ROUNDS}"
        system.record.add(f"result: {text} rounds")
        print(text, "rounds")
        return 1 if lost else 0
    finally:
        system.end()


async def one_round(system: System, service, has_trouble: bool) -> None:
    """Restart control, then shut the primary of one service down; clients write meanwhile."""
    loop = asyncio.get_running_loop()
    writers = [
        Client(system, service, system.gateways[number % 2], f"primary-{service.name}")
        for number in range(WRITERS)
    ]
    tasks = [loop.create_task(client.write_forever(0.02)) for client in writers]
    await asyncio.sleep(3)
    primary, first, last = service.instances.values()
    if has_trouble:
        # The last replica's turn comes shortly before control is back, so that it reports next
        # after most of an interval; the others report in between.
        first.next_report_s = primary.next_report_s = last.next_report_s + 0.6
        kill_s = last.next_report_s + 0.35 - DOWN_S - system.boot_s
        while kill_s < time.monotonic() + 0.1:
            kill_s += HEARTBEAT_S
        await asyncio.sleep(kill_s - time.monotonic())
        await restart_control(system)
        back_s = time.monotonic()
        while min(primary.reported_s, first.reported_s) < back_s - 0.1:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        reported = "has reported" if last.reported_s > back_s - 0.1 else "has not reported yet"
        system.record.add(f"{last.name} {reported} since control is back")
    leave = loop.create_task(primary.leave(1.0))
    for _ in range(600):
        if service.promotions:
            break
        await asyncio.sleep(0.02)
    await asyncio.sleep(2)
    for task in tasks:
        task.cancel()
    for client in writers:
        client.close()
    await leave


async def restart_control(system: System) -> None:
    """Kill all control processes, start them again and wait until they listen."""
    controls = [item for name, item in system.programs.items() if name.startswith("control")]
    for program in controls:
        program.kill()
    await asyncio.sleep(DOWN_S)
    for program in controls:
        program.start()
    await system.wait_until_listening()


if __name__ == "__main__":
    run_case(HERE, main)
