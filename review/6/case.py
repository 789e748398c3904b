"""A report of a service that no configuration names hides a replica, then the primary is lost; see claim.txt."""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand2"))

from database import Client, Service  # noqa: E402
from harness import (  # noqa: E402
    BROKEN,
    CTL_PORT,
    FRONT_PORT,
    HELD,
    TROUBLE,
    ZONES,
    Unusable,
    configuration,
    http,
    run_case,
)

HEARTBEAT_S = 1.2
DEAF_S = 6.5  # for_s of replica_lag, how deaf
WRITING_S = 2.0
WRITE_EVERY_S = 0.1
PROMOTION_LIMIT_S = 50.0


async def report_as_another_writer(system, instance):
    """Report a service that isn't named here, at the address of an instance."""
    body = {
        "service": "gifts-2019", "addr": instance.address, "zone": instance.zone, "version": "v0",
        "slots": 3, "state": "ready", "warmup-left-ms": 0, "db-role": "replica", "seq": 0,
        "born": int(time.time() * 1000),
    }
    while True:
        body["seq"] += 1
        node = random.choice(system.controls)
        data = json.dumps(body).encode()
        status, _, _ = await http("PUT", f"{node.ip}:{CTL_PORT}", "/instances/i-0ther000", data)
        system.record(f"another writer: {data.decode()} -> {status} from {node.name}")
        await asyncio.sleep(HEARTBEAT_S)


async def main(system):
    content = configuration([("purchases", "primary", "gifts")], [("gifts", 38)])
    await system.start()
    service = Service(system, "gifts", list(ZONES))
    await service.start()
    if await system.put(content, 3) is None:
        raise Unusable("the configuration was not acknowledged")
    await asyncio.sleep(4.0)
    primary, second, third = service.instances
    if TROUBLE:
        other = asyncio.create_task(report_as_another_writer(system, second))
    await asyncio.sleep(4.0)
    client = Client(service, f"{system.gateways[0].ip}:{FRONT_PORT}", "purchases")
    await client.open()
    if not (await client.put("1a4", "calm")).startswith("DONE"):
        raise Unusable("a write was not acknowledged in calm")
    await asyncio.sleep(1.0)
    third.deaf = True
    system.record(f"instance {third.name} receives nothing for {DEAF_S} s")
    asyncio.get_running_loop().call_later(DEAF_S, setattr, third, "deaf", False)
    acknowledged = 0
    end = time.monotonic() + WRITING_S
    while time.monotonic() < end:
        acknowledged += (await client.put("1a4", f"w{acknowledged}")).startswith("DONE")
        await asyncio.sleep(WRITE_EVERY_S)
    await asyncio.sleep(1.0)
    system.record(f"{acknowledged} writes were acknowledged meanwhile; {second.name} has "
                  f"{len(second.log)} commits, {third.name} {len(third.log)}")
    primary.crash()
    system.record(f"instance {primary.name}, the primary, is lost for good")
    crashed = time.monotonic()
    while not service.promotions and time.monotonic() - crashed < PROMOTION_LIMIT_S:
        await asyncio.sleep(0.2)
    if TROUBLE:
        other.cancel()
    if not acknowledged or not service.promotions:
        raise Unusable(f"{acknowledged} writes, {len(service.promotions)} promotions")
    system.record(f"promoted after {service.promotions[0][0] - crashed:.1f} s; "
                  f"{len(service.lost())} acknowledged commits lost")
    return BROKEN if service.lost() else HELD


run_case(main, FOLDER, controls=3, gateways=2)
