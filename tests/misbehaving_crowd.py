"""Real processes on loopback with low limits, and crowds of clients that do not behave.

Nothing here measures a time: the limits in seconds only end a run that hangs or a crowd that the
process no longer reads from.
"""

import os
import select
import socket
import time
from contextlib import asynccontextmanager, suppress
from itertools import count
from pathlib import Path
from random import Random

import trio
from endivewick_bench import cluster as cl
from endivewick_bench import demo
from endivewick_bench.soak.checks import Recorder
from endivewick_bench.soak.system import plan_system, put_configuration, run_system
from endivewick_node.addresses import split_address
from endivewick_platform.standin_codec import SOAK_WIRE

HANG_S = 60.0
# A crowd stops to send once the process has taken nothing from any of its connections for so long.
STALL_S = 1.5
RETRY_S = 0.05
CHUNK_BYTES = 262_144
RECEIVE_BUFFER_BYTES = 4_096
SERVICE = "service0"
WORKSPACE = "session0"


def settings_with(memory_mb, max_fds):
    """Return the soak's codec with other limits in the settings files that it writes."""

    def encode(plan):
        lines = SOAK_WIRE.encode_settings(plan).splitlines()
        values = {'"max-fds"': max_fds, '"memory-mb"': memory_mb}
        names = [line.partition(" = ")[0] for line in lines]
        assert set(values) <= set(names), "the settings file has other limits"
        changed = [
            f"{name} = {values[name]}" if name in values else line
            for name, line in zip(names, lines, strict=True)
        ]
        return "\n".join(changed) + "\n"

    return SOAK_WIRE._replace(encode_settings=encode)


# The failover orders' listening socket of one run stays open, so each run has its own network.
_runs = count(20)


@asynccontextmanager
async def running_platform(folder, memory_mb, max_fds):
    """Run three control processes, a gateway and one service's upstreams; yield the system."""
    wire = settings_with(memory_mb, max_fds)
    net = cl.default_net(next(_runs))
    system = plan_system(wire, folder, net, Random(1), Recorder([SERVICE]), 1, 1, True)
    try:
        async with trio.open_nursery() as nursery:
            await run_system(system, nursery)
            with trio.fail_after(HANG_S):
                await put_configuration(system, system.configuration)
                await serve_one_statement(system)
            for node in system.controls.values():
                await get_until_served(node.plan.operator_address, "/config")
            yield system
            nursery.cancel_scope.cancel()
    finally:
        for node in system.nodes().values():
            node.process.kill()


@asynccontextmanager
async def running_proxy():
    """Run a proxy with its control processes and upstreams; yield the cluster."""
    site = cl.SMALL._replace(proxies=1)
    async with cl.running(site, net=cl.default_net(next(_runs))) as cluster:
        await cl.put_contract(cluster, demo.CUSTOMER, demo.CONTRACT, "crowd-1")
        await cl.wait_serving(cluster, demo.CUSTOMER)
        yield cluster


async def serve_one_statement(system):
    """Send one statement to the gateway, again and again until it is answered with a result."""
    address = system.gateways["gateway-1"].plan.session_address
    startup = f"STARTUP {WORKSPACE} key\r\n".encode()
    statement = b"QUERY request1 PUT key1 value1\r\n"
    with trio.fail_after(HANG_S):
        while b"DONE" not in await exchange(address, startup + statement, b"\r\nREADY I "):
            await trio.sleep(RETRY_S)


async def exchange(address, data, end):
    """Send bytes on a new connection; return what came back until ``end`` or the connection's."""
    received = b""
    with trio.move_on_after(cl.CALL_TIMEOUT_S):
        try:
            async with await trio.open_tcp_stream(*split_address(address)) as stream:
                await stream.send_all(data)
                while end not in received:
                    more = await stream.receive_some()
                    if not more:
                        break
                    received += more
        except (OSError, trio.BrokenResourceError):
            pass
    return received


async def get_until_served(address, path):
    """Request a path until it is served; control processes that follow redirect to the leader."""
    request = f"GET {path} HTTP/1.1\r\nhost: x\r\n\r\n".encode()
    answer = b""
    with trio.fail_after(HANG_S):
        while not answer.startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 307 ")):
            answer = await exchange(address, request, b"\r\n\r\n")
            await trio.sleep(RETRY_S)


class Watched:
    """A process, and the limits that it has to keep."""

    def __init__(self, process, memory_mb, max_fds):
        self.process = process
        self.pid = process.popen.pid
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self.most_descriptors = 0

    def is_alive(self):
        """Return whether the process runs, and is the one that was started first."""
        return self.process.popen.pid == self.pid and self.process.popen.poll() is None

    def count_descriptors(self):
        """Record how many descriptors are open now."""
        if not self.is_alive():
            return
        count = len(os.listdir(f"/proc/{self.pid}/fd"))
        self.most_descriptors = max(self.most_descriptors, count)

    def resident_megabytes(self):
        """Return the resident memory in whole megabytes, or 0 once the process has ended."""
        return int(self._read_status("VmRSS")) if self.is_alive() else 0

    def peak_memory_mb(self):
        """Return the highest resident memory that the process ever had."""
        return self._read_status("VmHWM")

    def _read_status(self, name):
        """Return a size of the process in megabytes; a process that is ending has none."""
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith(f"{name}:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def broken_limits(self):
        """Return what the process broke, as text; an empty list if it broke nothing."""
        self.count_descriptors()
        if not self.is_alive():
            return [f"ended with code {self.process.popen.poll()}"]
        broken = []
        peak_mb = self.peak_memory_mb()
        print(f"{self.process.name}: {peak_mb:.0f} MB, {self.most_descriptors} descriptors")
        if peak_mb > self.memory_mb:
            broken.append(f"{peak_mb:.0f} MB resident, limit {self.memory_mb}")
        if self.most_descriptors > self.max_fds:
            broken.append(f"{self.most_descriptors} descriptors, limit {self.max_fds}")
        return broken


def unread_bytes(ports):
    """Return the bytes that the processes have not read from connections of these ports yet."""
    unread = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[2].partition(":")[2], 16) in ports:
            unread += int(fields[4].partition(":")[2], 16)
        if int(fields[1].partition(":")[2], 16) in ports:
            unread += int(fields[4].partition(":")[0], 16)
    return unread


class Member:
    """One connection of a crowd; ``pieces`` are sent one after the other."""

    def __init__(self, address, pieces):
        self.stream = socket.socket()
        # Answers that nobody reads stay in the process, not in the kernel's buffer of this end.
        self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.stream.connect(split_address(address))
        self.stream.setblocking(False)
        self.port = self.stream.getsockname()[1]
        self.pieces = iter(pieces)
        self.unsent = memoryview(b"")

    def send(self):
        """Send what the kernel takes; return False once there is nothing more to send."""
        while True:
            while not self.unsent:
                piece = next(self.pieces, None)
                if piece is None:
                    return False
                self.unsent = memoryview(piece)
            try:
                sent = self.stream.send(self.unsent[:CHUNK_BYTES])
            except BlockingIOError:
                return True
            except OSError:
                return False
            self.unsent = self.unsent[sent:]


class Crowd:
    """Connections that send and never read; they stay open until the crowd is closed."""

    def __init__(self):
        self.members = []

    def join(self, address, count, pieces):
        """Open connections; the kernel's refusal of one ends the joining."""
        for _ in range(count):
            try:
                self.members.append(Member(address, pieces))
            except OSError:
                return

    def send(self, watched):
        """Send until everything is sent, or the process reads from no connection any more."""
        poller = select.poll()
        sending = {item.stream.fileno(): item for item in self.members}
        for descriptor in sending:
            poller.register(descriptor, select.POLLOUT)
        last_s = time.monotonic()
        while sending and time.monotonic() - last_s < STALL_S:
            for descriptor, _ in poller.poll(100):
                last_s = time.monotonic()
                if not sending[descriptor].send():
                    poller.unregister(descriptor)
                    del sending[descriptor]
            watched.count_descriptors()
        self._wait_until_read(watched)

    def _wait_until_read(self, watched):
        """Wait until the process has read everything, or reads and stores nothing more."""
        ports = {item.port for item in self.members}
        known, last_s = None, time.monotonic()
        while time.monotonic() - last_s < STALL_S:
            before, known = known, (unread_bytes(ports), watched.resident_megabytes())
            if known != before:
                last_s = time.monotonic()
            watched.count_descriptors()
            time.sleep(RETRY_S)

    def half_close(self):
        """End the sending direction of every connection that is still open."""
        for item in self.members:
            with suppress(OSError):
                item.stream.shutdown(socket.SHUT_WR)

    def close(self):
        """Close every connection."""
        for item in self.members:
            item.stream.close()


async def run_crowd(watched, *parts):
    """Let a crowd connect and send; return what the process broke while the crowd is there.

    Each part is an address, a number of connections and the pieces that each of them sends.
    """
    crowd = Crowd()

    def send():
        for part in parts:
            crowd.join(*part)
        crowd.send(watched)

    try:
        await trio.to_thread.run_sync(send)
        return watched.broken_limits()
    finally:
        crowd.close()
