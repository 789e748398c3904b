"""The core is split in two halves for 6.5 s; meanwhile two machines lose their disks; see claim.txt."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand2"))

from harness import BROKEN, HELD, TROUBLE, Unusable, configuration, run_case  # noqa: E402

SPLIT_S = 6.5  # the longest core_cut of the site files in force lasts 6.54 s
WIPED_AT_S = 5.8  # after the beginning of the split
RESTART_S = 0.5
READ_BACK_S = 40.0  # over twice recovery-s
SEEDS = 3


async def voters(system):
    """Return the processes that confirm the leader's reads; the learner is the one that doesn't.

    The first three are voters from the start, and the first two of the others that join become
    voters; the last one to join stays a learner. Their logs tell which one it is.
    """
    lines = [line for item in system.controls for line in item.log_lines('"voter_added"')]
    added = [item for item in system.controls[SEEDS:] if any(f"{item.ip}:" in line for line in lines)]
    return system.controls[:SEEDS] + added


async def main(system):
    content = configuration([("purchases", "primary", "gifts")], [("gifts", 38)])
    await system.start()
    if await system.put(content, 3) is None:
        raise Unusable("the first configuration was not acknowledged")
    await asyncio.sleep(8.0)
    if await system.put(content, 5) is None:
        raise Unusable("the second configuration was not acknowledged")
    await asyncio.sleep(1.0)
    leader = await system.leader()
    known = await voters(system)
    if len(known) != 5:
        raise Unusable(f"{len(known)} voters")
    one = [leader, *[item for item in known if item is not leader][:2]]
    other = [item for item in system.controls if item not in one]
    system.record(f"leader {leader.name}; halves {[i.name for i in one]} {[i.name for i in other]}")
    if TROUBLE:
        system.split(one, other)
        system.record("the halves are cut off from each other")
        began = time.monotonic()
        await asyncio.sleep(WIPED_AT_S)
        lost = one[:2]
        for node in lost:
            await node.kill()
            await node.wipe()
            system.record(f"{node.name} was killed and lost its disk")
        await asyncio.sleep(RESTART_S)
        for node in lost:
            await node.start()
        await asyncio.sleep(max(0.0, began + SPLIT_S - time.monotonic()))
        system.heal()
        system.record("all six run and reach each other; two disks were lost")
    else:
        await asyncio.sleep(SPLIT_S)
    healed = time.monotonic()
    late = []
    while time.monotonic() - healed < READ_BACK_S:
        for node in system.controls:
            status, version, where = await system.get(node)
            system.record(f"operator: read at {node.name}: {status} version {version} from {where}")
            if time.monotonic() - healed > 15.0 or not TROUBLE:  # recovery-s of the grown sites
                late.append((status, version))
        await asyncio.sleep(2.0)
    if ended := system.own_ends():
        system.record(f"ended by themselves: {ended}")
    if any(status == 200 and version != 5 for status, version in late):
        return BROKEN
    acknowledged = await system.put(content, 7, attempts_s=6.0)
    system.record(f"a new version is acknowledged by {acknowledged}")
    return HELD if any(status == 200 for status, _ in late) else BROKEN


run_case(main, FOLDER, controls=6, relayed=True, lost_disks=2)
