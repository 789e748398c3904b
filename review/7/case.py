"""The core machines are replaced one after the other, as planned work; see claim.txt."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand2"))

from database import Client, Service  # noqa: E402
from harness import (  # noqa: E402
    BROKEN,
    FRONT_PORT,
    HELD,
    TROUBLE,
    ZONES,
    Unusable,
    configuration,
    run_case,
)

CATCH_UP_S = 4.0  # catch-up-s of the small sites
STEP_S = CATCH_UP_S + 0.05  # between the start of a successor and the stop of the machine it replaces
READ_BACK_S = 30.0  # over twice recovery-s


async def read_everywhere(system, nodes):
    """Return the answers of all nodes to a read of the configuration."""
    answers = []
    for node in nodes:
        status, version, where = await system.get(node)
        system.record(f"operator: read at {node.name}: {status} version {version} from {where}")
        answers.append((status, version))
    return answers


async def main(system):
    content = configuration([("purchases", "primary", "gifts")], [("gifts", 38)])
    await system.start()
    service = Service(system, "gifts", list(ZONES))
    await service.start()
    if await system.put(content, 3) is None:
        raise Unusable("the first configuration was not acknowledged")
    await asyncio.sleep(6.0)  # contact-ms, so that the core is stable
    if await system.put(content, 5) is None:
        raise Unusable("the second configuration was not acknowledged")
    await asyncio.sleep(1.0)
    client = Client(service, f"{system.gateways[0].ip}:{FRONT_PORT}", "purchases")
    await client.open()
    if not (await client.put("1a4", "before")).startswith("DONE"):
        raise Unusable("a write was not acknowledged in calm")
    running = list(system.controls)
    if TROUBLE:
        for old in running[:2]:
            new = system.add_control(old.zone)
            await new.start()
            system.record(f"{new.name} starts with an empty disk at a new address, in {new.zone}")
            running.append(new)
            await asyncio.sleep(STEP_S)
            old.expects_end = True
            old.child.send_signal(signal.SIGTERM)
            code = await asyncio.wait_for(old.child.wait(), 6.0)  # grace-s
            running.remove(old)
            system.record(f"{old.name} got SIGTERM, ended with {code} and is gone for good")
    else:
        await asyncio.sleep(2 * STEP_S)
    began = time.monotonic()
    late = []
    while time.monotonic() - began < READ_BACK_S:
        answers = await read_everywhere(system, running)
        if time.monotonic() - began > 12.0 or not TROUBLE:  # recovery-s
            late += answers
        await asyncio.sleep(2.0)
    if ended := system.own_ends():
        system.record(f"ended by themselves: {ended}")
    if any(status == 200 and version != 5 for status, version in late):
        return BROKEN
    acknowledged = await system.put(content, 7, attempts_s=6.0, nodes=running)
    system.record(f"a new version is acknowledged by {acknowledged}")
    client = Client(service, f"{system.gateways[0].ip}:{FRONT_PORT}", "purchases")
    await client.open()
    for number in range(3):
        system.record(f"a client's write: {await client.put('1a4', f'after-{number}')}")
        await asyncio.sleep(1.0)
    return HELD if any(status == 200 for status, _ in late) else BROKEN


run_case(main, FOLDER, controls=3, gateways=1)
