"""Crowds of sessions that stop in the middle of a legal message; see claim.txt.

The platform's part is played here: it ends a process whose memory is above memory-mb, and starts it
again a moment later.
"""

import asyncio
import signal
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand2"))

from harness import (  # noqa: E402
    BROKEN,
    FRONT_PORT,
    HELD,
    READY_PORT,
    TROUBLE,
    Unusable,
    configuration,
    http,
    run_case,
)

MEMORY_MB = 300  # memory-mb of the small sites
CROWD = 1000  # sessions, of the 4,300 descriptors that a machine has
MESSAGE = b"QUERY 5c0e7a21d94b36f8 PUT 1a4 " + b"x" * 900_000  # of at most 1 MiB; its end is missing
ROUNDS = 4
REST_S = 3.0  # after each crowd
WATCH_S = 0.02
RESTART_S = 0.3


def memory_mb(process):
    for line in Path(f"/proc/{process.child.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def watch(system, process, ends):
    """Do what the platform does with a process that uses too much memory, or ends."""
    while True:
        await asyncio.sleep(WATCH_S)
        if process.child.returncode is None:
            used = memory_mb(process)
            if used <= MEMORY_MB:
                continue
            process.child.send_signal(signal.SIGKILL)
            await process.child.wait()
            system.record(f"platform: {process.name} used {used:.0f} MB of {MEMORY_MB}: killed")
        else:
            system.record(f"platform: {process.name} ended with {process.child.returncode}")
        ends[process.name] += 1
        await asyncio.sleep(RESTART_S)
        await process.start()


async def misbehave(address):
    """Open a session, send most of one message, and stop."""
    loop = asyncio.get_running_loop()
    stream = socket.socket()
    stream.setblocking(False)
    try:
        await asyncio.wait_for(loop.sock_connect(stream, (address, FRONT_PORT)), 4.0)
        await asyncio.wait_for(loop.sock_sendall(stream, b"STARTUP purchases u1\r\n" + MESSAGE), 4.0)
        await asyncio.sleep(1.0)
    except (OSError, TimeoutError):
        pass
    stream.close()


async def wait_ready(process):
    for _ in range(100):
        status, _, _ = await http("GET", f"{process.ip}:{READY_PORT}", "/readyz")
        answer = await ordinary(process.ip)
        if answer.startswith("READY"):
            return status
        await asyncio.sleep(0.1)
    raise Unusable(f"{process.name} opens no session")


async def ordinary(address):
    """Return the answer to the startup message of an ordinary session."""
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(address, FRONT_PORT)
            writer.write(b"STARTUP purchases u2\r\n")
            answer = await reader.readline()
            writer.close()
            return answer.decode().strip()
    except (OSError, TimeoutError) as error:
        return repr(error)


async def main(system):
    content = configuration([("purchases", "primary", "gifts")], [("gifts", 38)])
    await system.start()
    if await system.put(content, 3) is None:
        raise Unusable("the configuration was not acknowledged")
    ends = {process.name: 0 for process in system.processes}
    watches = [asyncio.create_task(watch(system, item, ends)) for item in system.processes]
    for gateway in system.gateways:
        await wait_ready(gateway)
    for number in range(ROUNDS):
        for gateway in system.gateways:
            system.record(f"{gateway.name} uses {memory_mb(gateway):.0f} MB")
            if TROUBLE:
                system.record(f"crowd {number + 1}: {CROWD} sessions at {gateway.name} stop half-way")
                await asyncio.gather(*[misbehave(gateway.ip) for _ in range(CROWD)])
            await asyncio.sleep(REST_S)
            system.record(f"an ordinary session at {gateway.name}: {await ordinary(gateway.ip)}")
    for task in watches:
        task.cancel()
    system.record(f"processes ended: {ends}")
    return BROKEN if sum(1 for count in ends.values() if count >= 3) >= 2 else HELD


run_case(main, FOLDER, controls=3, gateways=2)
