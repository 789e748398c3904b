"""Starts the project's programs on loopback addresses, with small stand-ins around them.

Standard library only. A case builds a ``System``, disturbs it from outside, and judges only what the
operator, the clients, the instances and the platform saw. ``record.txt`` holds what they saw.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
MESSAGE_PORT, LAST_MESSAGE_PORT = 7440, 7455
CTL_PORT, FRONT_PORT, READY_PORT, PLATFORM_PORT, DB_PORT = 8782, 8784, 8785, 8783, 8080
ZONES = {"erie-a": "erie", "huron-a": "huron", "superior-a": "superior"}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, UNUSABLE = 0, 1, 2


class Unusable(Exception):
    """The case could not be run to its end."""


class Record:
    """The record of a run; each line has the seconds since its start."""

    def __init__(self, path):
        self.file = path.open("w")
        self.start = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)


def pick_net():
    """Return the first three bytes of a loopback network in which the ports are free."""
    for _ in range(50):
        net = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        try:
            for port in (CTL_PORT, FRONT_PORT, PLATFORM_PORT, MESSAGE_PORT, DB_PORT, 9464):
                with socket.socket() as probe:
                    probe.bind((f"{net}.1", port))
        except OSError:
            continue
        return net
    raise Unusable("no loopback network with free ports")


class Relay:
    """Passes the bytes of connections on to ``target``; while it is cut, it holds them silently."""

    def __init__(self, host, target):
        self.host, self.target = host, target
        self.port = 0
        self.passes = asyncio.Event()
        self.passes.set()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return f"{self.host}:{self.port}"

    async def _serve(self, reader, writer):
        await self.passes.wait()
        host, _, port = self.target.rpartition(":")
        try:
            there_reader, there_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        self.writers |= {writer, there_writer}
        await asyncio.gather(
            self._pump(reader, there_writer), self._pump(there_reader, writer)
        )
        self.writers -= {writer, there_writer}

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.passes.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    def cut(self):
        self.passes.clear()

    def heal(self):
        self.passes.set()


class Process:
    """One program of the deploy file."""

    def __init__(self, system, name, role, ip, zone, routes=None):
        self.system, self.name, self.role, self.ip, self.zone = system, name, role, ip, zone
        self.routes = routes or {}
        self.folder = system.folder / name
        self.folder.mkdir()
        self.data = self.folder / "data"
        if role == "control":
            self.data.mkdir()
        self.child = None
        self.expects_end = False

    async def start(self, bootstrap=False):
        settings = self.folder / "boot.toml"
        settings.write_text(self.system.settings(self, bootstrap))
        program = {"control": "control", "gateway": "gateway"}[self.role]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "ENDIVEWICK_SETTINGS": str(settings),
        }
        log = (self.folder / "log").open("ab")
        self.expects_end = False
        self.child = await asyncio.create_subprocess_exec(
            "python3", "platform/start.py", program, cwd=ROOT, env=environment,
            stdout=log, stderr=log,
        )
        log.close()

    async def kill(self):
        self.expects_end = True
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(signal.SIGKILL)
            await self.child.wait()

    async def wipe(self):
        """Lose the disk: the next start finds an empty data folder."""
        self.data = self.folder / f"{self.data.name}-new"
        self.data.mkdir()

    def freeze(self):
        self.child.send_signal(signal.SIGSTOP)

    def thaw(self):
        self.child.send_signal(signal.SIGCONT)

    def log_lines(self, *words):
        text = (self.folder / "log").read_text(errors="replace")
        return [line for line in text.splitlines() if any(word in line for word in words)]


class System:
    """The processes of a small deployment, the platform and the operator."""

    def __init__(self, case_folder, controls=3, gateways=0, relayed=False, lost_disks=1):
        self.record = Record(Path(case_folder) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="endivewick-case-"))
        self.net = pick_net()
        self.relayed = relayed
        self.relays = {}
        zones = list(ZONES)
        control_zones = [zones[n % 3] for n in range(controls)]
        self.controls = [
            Process(self, f"core-{n}", "control", f"{self.net}.{10 + n}", control_zones[n])
            for n in range(controls)
        ]
        self.gateways = [
            Process(self, f"edge-{n}", "gateway", f"{self.net}.{40 + n}", zones[n % 3])
            for n in range(gateways)
        ]
        self.lost_disks = lost_disks
        self.version = 0
        self.orders = []
        self.on_order = None
        self.servers = []

    @property
    def processes(self):
        return [*self.controls, *self.gateways]

    def settings(self, process, bootstrap):
        seeds = ", ".join(f'"{item.ip}:{CTL_PORT}"' for item in self.controls[:3])
        lines = [
            f'node = "{process.name}"',
            f'role = "{process.role}"',
            f'ip = "{process.ip}"',
            f'zone = "{process.zone}"',
            f'region = "{ZONES[process.zone]}"',
            f"internal-ports = [{MESSAGE_PORT},{LAST_MESSAGE_PORT}]",
            f"seeds = [{seeds}]",
            f"bootstrap = {str(bootstrap).lower()}",
            "in-tolerance = " + str(process.role == "control").lower(),
            'discovery = "registry"',
            'entry = "vip"',
            "heartbeat-ms = 1200",
            'policies = ["base","drain","config","cost","recover","sql"]',
            'config_mode = "highest"',
        ]
        if process.role == "control":
            lines.append(f'data-dir = "{process.data}"')
        lines += ["[zones]", *(f'{zone} = "{region}"' for zone, region in ZONES.items()), "[listen]"]
        if process.role == "control":
            lines.append(f'ctl = "{process.ip}:{CTL_PORT}"')
        else:
            lines.append(f'frontend = "{process.ip}:{FRONT_PORT}"')
            lines.append(f'readiness = "{process.ip}:{READY_PORT}"')
        lines += [
            "[limits]", "cpu-quota = 0.537", "cores = 2", "memory-mb = 300", "max-fds = 4300",
            "bandwidth-mbps = 1000.0", "disk-mb = 128",
            "[fault-tolerance]", f"nodes = {self.lost_disks}", "zones = 0", "regions = 0",
            "[parameters]", "seed-lag-s = 3", "reuse-after-s = 2", "contact-ms = 5000",
            "ack-ms = 6000", "catch-up-s = 4", "drain-ms = 7000", "grace-s = 6",
            "loss-slack-ms = 200", "config-apply-ms = 3000", "downgrade-ms = 250",
            "skew-max-ms = 15000", "recovery-s = 12", "fencing = true", "thaw-ms = 300",
            "[provider]", f'addr = "{self.net}.200:{PLATFORM_PORT}"', "rate-per-s = 50.0",
            'duties = ["failover"]', "duty-per-s = 50.0",
        ]
        routes = {
            f"{there}:{MESSAGE_PORT}": relay.address
            for (here, there), relay in self.relays.items()
            if here == process.ip
        }
        if routes:
            lines.append("[endivewick-routes]")
            lines += [f'"{address}" = "{relay}"' for address, relay in routes.items()]
        return "\n".join(lines) + "\n"

    async def start(self):
        if self.relayed:
            for here in self.controls:
                for there in self.controls:
                    if here is there:
                        continue
                    relay = Relay(f"{self.net}.220", f"{there.ip}:{MESSAGE_PORT}")
                    relay.address = await relay.start()
                    self.relays[here.ip, there.ip] = relay
        server = await asyncio.start_server(self._platform, f"{self.net}.200", PLATFORM_PORT)
        self.servers.append(server)
        for process in self.processes:
            await process.start(bootstrap=True)

    def add_control(self, zone):
        """Add a core machine at a new address, with an empty disk."""
        number = len(self.controls)
        process = Process(self, f"core-{number}", "control", f"{self.net}.{10 + number}", zone)
        self.controls.append(process)
        return process

    def split(self, one, other):
        """Cut the control processes of two groups off from each other, silently."""
        for here in one:
            for there in other:
                self.relays[here.ip, there.ip].cut()
                self.relays[there.ip, here.ip].cut()

    def heal(self):
        for relay in self.relays.values():
            relay.heal()

    def own_ends(self):
        return [
            item.name
            for item in self.processes
            if item.child is not None and item.child.returncode is not None and not item.expects_end
        ]

    async def close(self, keep=False):
        for process in self.processes:
            await process.kill()
        if not keep and not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept", self.folder)

    # The platform: accepts failover orders, and checks their fencing tokens.

    async def _platform(self, reader, writer):
        while (request := await read_http(reader)) is not None:
            method, path, headers, body = request
            status = 404
            if method == "POST" and path == "/failover" and self.on_order is not None:
                order = json.loads(body)
                token = int(headers["x-endivewick-fence-token"])
                holder = headers["x-endivewick-lease-holder"]
                status = await self.on_order(order["service"], order["id"], token, holder)
                if status is None:
                    break
            writer.write(http_response(status, b"{}"))
            await writer.drain()
        writer.close()

    # The operator.

    async def put(self, content, version, attempts_s=20.0, nodes=None):
        """Send a configuration until it is acknowledged; return the node that did, or None."""
        body = json.dumps({"version": version, **content}).encode()
        nodes = nodes or self.controls
        end = time.monotonic() + attempts_s
        turn = 0
        while time.monotonic() < end:
            node = nodes[turn % len(nodes)]
            turn += 1
            status, _, where = await http("PUT", f"{node.ip}:{CTL_PORT}", "/config", body)
            if status == 200:
                self.version = max(self.version, version)
                self.record(f"operator: version {version} acknowledged by {where}")
                return where
            if status in (400, 409, 412, 413, 422):
                self.record(f"operator: version {version} refused with {status} by {where}")
                return None
            await asyncio.sleep(0.1)
        return None

    async def get(self, node):
        """Return the status and the version that a node answers to a read."""
        status, body, where = await http("GET", f"{node.ip}:{CTL_PORT}", "/config")
        version = json.loads(body).get("version") if status == 200 else None
        return status, version, where

    async def leader(self):
        """Return the process that answers reads itself."""
        for _ in range(100):
            for node in self.controls:
                status, _, where = await http("GET", f"{node.ip}:{CTL_PORT}", "/config")
                if status == 200:
                    return next(item for item in self.controls if where.startswith(item.ip + ":"))
            await asyncio.sleep(0.1)
        raise Unusable("no control process answers")


async def read_http(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines if ": " in line)
        headers = {name.lower(): value for name, value in headers.items()}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, path, *_ = first.split(" ")
    return method, path, headers, body


def http_response(status, body, headers=()):
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return (
        f"HTTP/1.1 {status} -\r\ncontent-type: application/json\r\n{lines}"
        f"content-length: {len(body)}\r\n\r\n"
    ).encode() + body


async def http(method, address, path, body=b"", timeout_s=1.0, redirects=2):
    """Return the status, the body and the address that answered; status 0 without an answer."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
                answer = await read_http(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0, b"", address
    if answer is None:
        return 0, b"", address
    status, headers, answer_body = int(answer[1]), answer[2], answer[3]
    if status == 307 and redirects:
        there = headers["location"].removeprefix("http://").partition("/")[0]
        return await http(method, there, path, body, timeout_s, redirects - 1)
    return status, answer_body, address


def configuration(routes, services, tx_idle_ms=3000):
    """Return the content of a configuration; ``routes`` are (host, kind, service)."""
    return {
        "routes": [
            {
                "name": f"r-{host}", "host": host, "prefix": "/", "kind": kind,
                "timeout-ms": 800 if kind != "bounded" else 2000, "slo-ms": 800, "priority": 1,
                "service": service, "attempts": 2, "max-staleness-ms": 1500,
            }
            for host, kind, service in routes
        ],
        "services": [
            {
                "name": name, "health-path": "/healthz", "max-conns": max_conns, "proto": "h1",
                "tls": False, "sync-replicas": 1,
            }
            for name, max_conns in services
        ],
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000, "tx-idle-ms": tx_idle_ms,
        },
    }


def run_case(main, folder, limit_s=115.0, **options):
    """Run a case and exit with its result; every process that it started is ended."""

    async def run():
        system = System(folder, **options)
        try:
            async with asyncio.timeout(limit_s):
                result = await main(system)
        except (Unusable, TimeoutError) as error:
            system.record(f"the case could not run: {error!r}")
            result = UNUSABLE
        finally:
            await system.close()
        system.record({HELD: "held", BROKEN: "BROKEN", UNUSABLE: "unusable"}[result])
        return result

    sys.exit(asyncio.run(run()))
