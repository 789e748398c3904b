"""Reports of another writer, of a service that no configuration names; see claim.txt."""

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
    DB_PORT,
    FRONT_PORT,
    HELD,
    TROUBLE,
    ZONES,
    Unusable,
    configuration,
    http,
    run_case,
)

DOWN_S = 1.0
RECOVERY_S = 12.0  # recovery-s
END_S = 24.0  # the end of the day, after the machines are back
HEARTBEAT_S = 1.2
ROUTES = (("purchases", "primary"), ("lists", "own"), ("browse", "bounded"))
# About the site's mix: 15% purchases of which a third writes, 15% browse, 70% lists, some writes.
MIX = ["purchases PUT"] + ["purchases FETCH"] * 2 + ["browse FETCH"] * 3
MIX += ["lists PUT"] * 2 + ["lists FETCH"] * 12


async def report_as_another_writer(system, number, instance):
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
        status, _, _ = await http("PUT", f"{node.ip}:{CTL_PORT}", f"/instances/i-0ther00{number}", data)
        system.record(f"another writer: {data.decode()} -> {status} from {node.name}")
        await asyncio.sleep(HEARTBEAT_S)


async def one_request(service, address, kind):
    """Send one statement in a session of its own; return whether it was served."""
    host, verb = kind.split(" ")
    client = Client(service, address, host)
    try:
        if not (await client.open()).startswith("READY"):
            return False
        statement = "FETCH 1a4" if verb == "FETCH" else f"PUT 1a4 v{random.getrandbits(16)}"
        _, result, _ = await client.query(statement, timeout_s=4.0)
        return result.startswith("DONE") and result != "DONE -"
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False
    finally:
        client.close()


async def main(system):
    content = configuration([(host, kind, "gifts") for host, kind in ROUTES], [("gifts", 38)])
    await system.start()
    service = Service(system, "gifts", list(ZONES))
    await service.start()
    if await system.put(content, 3) is None:
        raise Unusable("the first configuration was not acknowledged")
    others = []
    await asyncio.sleep(6.0)
    addresses = [f"{item.ip}:{FRONT_PORT}" for item in system.gateways]
    before = [await one_request(service, random.choice(addresses), kind) for kind in MIX]
    system.record(f"before the final fault {sum(before)} of {len(before)} were served")
    if sum(before) * 4 < len(before):
        raise Unusable("too little was served before the final fault")
    await system.put(content, 5)
    system.record("final fault: all processes are killed")
    await asyncio.gather(*(item.kill() for item in system.processes))
    await asyncio.sleep(DOWN_S)
    for item in system.processes:
        await item.start()
    back = time.monotonic()
    if TROUBLE:
        for number, instance in enumerate(service.instances):
            others.append(asyncio.create_task(report_as_another_writer(system, number, instance)))
    served = []
    tasks = []

    async def send(kind):
        sent = time.monotonic() - back
        served.append((sent, await one_request(service, random.choice(addresses), kind)))

    while time.monotonic() - back < END_S:
        tasks.append(asyncio.create_task(send(random.choice(MIX))))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    for other in others:
        other.cancel()
    late = [result for sent, result in served if sent > RECOVERY_S]
    system.record(f"sent over {RECOVERY_S} s after the machines were back: {len(late)}, "
                  f"served {sum(late)}; promotions: {len(service.promotions)}")
    if ended := system.own_ends():
        system.record(f"ended by themselves: {ended}")
    return BROKEN if sum(late) * 4 < len(late) else HELD


run_case(main, FOLDER, controls=3, gateways=2)
