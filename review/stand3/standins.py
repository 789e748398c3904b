"""Stand-ins of the platform, its operator, its instances and its consumers, and a small system.

Only the standard library is used. Every address is a loopback address of a network of the run's own.
The system's processes are started with the commands of deploy/system.toml.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
ZONES = {"alex-a": "alex", "damietta-a": "damietta", "suez-a": "suez"}
SERVICE = "insp-records"
MAX_CONNS = 21
SLOTS = 3
WORK_S = 0.004
REPORT_S = 1.2
PROMOTE_S = 0.5
LINE_LIMIT = 1024 * 1024 + 2
MEMORY_MB = 300
START = time.monotonic()


def now() -> float:
    """Return the seconds since the start of the run."""
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run, one line each."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="latin-1")

    def __call__(self, *words: object) -> None:
        self._file.write(f"{now():8.3f} " + " ".join(str(word) for word in words) + "\n")
        self._file.flush()


class Instance:
    """One instance: its log, its connections and its status reports."""

    def __init__(self, service: "Service", name: str, ip: str, zone: str, leads: bool) -> None:
        self.service, self.name, self.address, self.zone = service, name, f"{ip}:9000", zone
        self.leads, self.term, self.log = leads, 1, []
        self.paused_term = 0
        self.is_deaf = False
        self.is_up = False
        self.state, self.acknowledged_at = "ready", 0.0
        self.born_ms = self.seq = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.slots = asyncio.Semaphore(SLOTS)
        self.tasks: list[asyncio.Task] = []

    @property
    def position(self) -> str:
        """Return the end of the log, as TERM.NUMBER."""
        return f"{self.log[-1][0] if self.log else 1}.{len(self.log)}"

    async def start(self) -> None:
        """Start, or start again with the log."""
        self.born_ms, self.seq, self.paused_term = int(time.time() * 1000), 0, 0
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self._serve, host, int(port), limit=LINE_LIMIT)
        self.is_up = True
        self.tasks = [asyncio.create_task(self._report())]
        self.service.record("instance", self.name, "starts", self.role, self.position)

    def crash(self) -> None:
        """End without a word; the log stays."""
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.service.record("instance", self.name, "crashes", self.role, self.position)

    @property
    def role(self) -> str:
        return "primary" if self.leads else "replica"

    async def _report(self) -> None:
        target = ""
        while True:
            leads, state = self.leads, self.state
            for address in [target, *random.sample(self.service.controls, 3)]:
                if not address:
                    continue
                self.seq += 1
                body = {
                    "service": self.service.name, "addr": self.address, "zone": self.zone,
                    "version": "v1", "slots": SLOTS, "state": self.state, "warmup-left-ms": 0,
                    "db-role": self.role, "seq": self.seq, "born": self.born_ms,
                }
                path = f"/instances/{self.name}"
                status, reply, _ = await request(address, "PUT", path, body)
                if status == 200:
                    if state == "draining" and not self.acknowledged_at:
                        self.acknowledged_at = now()
                        self.service.record("draining of", self.name, "acknowledged by", address)
                    target = json.loads(reply or b"{}").get("heartbeat-addr", address)
                    break
                target = ""
            end = now() + REPORT_S
            while now() < end and (leads, state) == (self.leads, self.state):
                await asyncio.sleep(0.02)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        session = Session(self)
        try:
            while line := await reader.readuntil(b"\r\n"):
                text = line[:-2].decode("latin-1")
                if text == "QUIT":
                    return
                for answer in await session.handle(text):
                    writer.write(answer.encode("latin-1") + b"\r\n")
                    await writer.drain()
                if session.is_refused:
                    return
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
            return
        except asyncio.CancelledError:
            return  # the run ends
        finally:
            self.writers.discard(writer)
            writer.close()


class Session:
    """One connection to an instance."""

    def __init__(self, instance: Instance) -> None:
        self.instance, self.state, self.term = instance, "I", 0
        self.is_open = self.is_refused = self.reads_only = False
        self.writes: list[tuple[str, str, str]] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}

    async def handle(self, line: str) -> list[str]:
        """Return the lines that answer one line."""
        instance = self.instance
        word, _, rest = line.partition(" ")
        if word == "STARTUP":
            service, _, others = rest.partition(" ")
            expected = others.partition(" ")[2]
            if service != instance.service.name or expected not in ("", instance.name):
                self.is_refused = True
                return ["ERR MOVED " + instance.name]
            if len(instance.writers) > MAX_CONNS:
                self.is_refused = True
                return ["ERR TOOMANY " + instance.name]
            await asyncio.sleep(0.005)
            self.is_open = True
            return [f"READY I {instance.position}"]
        if word != "QUERY" or not self.is_open:
            self.is_refused = True
            return []
        request_id, _, text = rest.partition(" ")
        rows, proof, error = await self._run(request_id, text)
        if error and self.state == "T":
            self.state = "E"
        answer = [f"ROW {row}" for row in rows]
        answer.append(f"ERR {error} {instance.name}" if error else f"DONE {proof}")
        return [*answer, f"READY {self.state} {instance.position}"]

    async def _run(self, request_id: str, text: str) -> tuple[list[str], str, str]:
        instance, service = self.instance, self.instance.service
        if text.startswith("WAITLSN "):
            _, position, text = text.split(" ", 2)
            term, number = map(int, position.split("."))
            if len(instance.log) < number or instance.term < term:
                return [], "", "LAGGING"
        verb, _, rest = text.partition(" ")
        if verb in ("PAUSE", "RESUME", "STEPDOWN", "STATUS"):
            if verb == "PAUSE" and int(rest) > service.term:
                instance.paused_term = int(rest)
            if verb == "RESUME":
                instance.paused_term = 0
            if verb == "STEPDOWN" and instance.term < int(rest):
                instance.leads = False
            row = f"{instance.role} {instance.term} {instance.position} {instance.paused_term} 0 0 0"
            return [row], "-", ""
        if verb == "RESET":
            self.values, self.prepared = {}, {}
            return [], "-", ""
        if verb == "SET":
            name, _, self.values[name] = rest.partition(" ")
            return [], "-", ""
        if verb == "PREPARE":
            name, operation, shape = rest.split(" ", 2)
            self.prepared[name] = (operation, shape)
            return [], "-", ""
        if verb == "DEALLOC":
            self.prepared.pop(rest, None)
            return [], "-", ""
        if verb == "BEGIN":
            if rest != "FETCH" and not instance.leads:
                return [], "", "READONLY"
            self.state, self.term, self.writes = "T", instance.term, []
            self.reads_only = rest == "FETCH"
            return [], "-", ""
        if verb == "ROLLBACK":
            self.state, self.writes = "I", []
            return [], "-", ""
        if self.state == "E":
            return [], "", "BADREQ"
        has_lost_lead = self.state == "T" and not self.reads_only and (
            not instance.leads or self.term != instance.term
        )
        if has_lost_lead and (verb != "COMMIT" or self.writes):
            return [], "", "READONLY"
        shown = text
        if verb == "EXEC":
            name, _, arguments = rest.partition(" ")
            if name not in self.prepared:
                return [], "", "NOSTMT"
            verb, shape = self.prepared[name]
            rest, shown = arguments, f"{verb} by a shape of {len(shape)} bytes: {arguments}"
        if verb == "PUT" and (not instance.leads or self.reads_only):
            return [], "", "READONLY"
        async with instance.slots:
            await asyncio.sleep(WORK_S)
        proof = f"p.{next(service.numbers)}"
        service.record("ran", request_id, instance.name, shown[:80])
        service.ran[request_id] = service.ran.get(request_id, 0) + 1
        item, _, data = rest.partition(" ")
        if verb == "FETCH":
            large = service.large.get(item)
            return large if large is not None else [f"{item}={instance.read(item)}"], proof, ""
        if verb == "PUT" and self.state == "T":
            self.writes.append((request_id, item, data))
            return [], proof, ""
        writes = [(request_id, item, data)] if verb == "PUT" else self.writes
        if verb == "COMMIT":
            self.state, self.writes = "I", []
        if writes and not await service.commit(instance, request_id, writes):
            await asyncio.sleep(3600)  # the commit waits for a replica that never receives it
        return [], proof, ""


def _read(instance: Instance, item: str) -> str:
    for _, _, writes in reversed(instance.log):
        for _, key, data in reversed(writes):
            if key == item:
                return data
    return "none"


Instance.read = _read


class Service:
    """A service of three instances, one in each zone."""

    def __init__(self, net: str, record: Record, controls: list[str]) -> None:
        self.name, self.record, self.controls = SERVICE, record, controls
        self.term, self.newest_token = 1, 0
        self.numbers = itertools.count(1)
        self.ran: dict[str, int] = {}
        self.large: dict[str, list[str]] = {}
        self.promotions: list[tuple[float, str, set[str]]] = []
        self.instances = [
            Instance(self, f"i-{index + 1}", f"{net}.{151 + index}", zone, index == 0)
            for index, zone in enumerate(ZONES)
        ]

    async def commit(self, leader: Instance, request_id: str, writes: list) -> bool:
        """Append a commit; return whether a replica has received it."""
        entry = (leader.term, request_id, writes)
        leader.log.append(entry)
        number = len(leader.log)
        while leader.is_up and leader.leads:
            self.replicate()
            for other in self.instances:
                if other is not leader and len(other.log) >= number:
                    if other.log[number - 1] is entry:
                        self.record("commit", f"{leader.term}.{number}", "of", request_id)
                        return True
            await asyncio.sleep(0.005)
        return False

    def replicate(self) -> None:
        """Let every replica receive what the primary has, if it can."""
        leader = next((item for item in self.instances if item.leads and item.is_up), None)
        if leader is None:
            return
        for other in self.instances:
            if other is leader or not other.is_up or other.is_deaf or other.paused_term:
                continue
            if other.log != leader.log:
                other.log = list(leader.log)
            other.term = leader.term

    async def keep_replicating(self) -> None:
        """Let the replicas receive all the time."""
        while True:
            self.replicate()
            await asyncio.sleep(0.01)

    async def promote(self, name: str) -> None:
        """Carry out an accepted order."""
        target = next(item for item in self.instances if item.name == name)
        if target.leads:
            return
        await asyncio.sleep(PROMOTE_S)
        if not target.is_up or target.leads:
            return
        self.term += 1
        for item in self.instances:
            item.leads = item is target
            item.paused_term = 0
        target.term = self.term
        self.promotions.append((now(), name, {entry[1] for entry in target.log}))
        self.record("promoted", name, "term", self.term, "position", target.position)

    async def serve_platform(self, address: str) -> None:
        """Accept the orders to change a primary, as the platform does where it checks fences."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
                fields = dict(line.split(": ", 1) for line in head[1:] if ": " in line)
                body = json.loads(await reader.readexactly(int(fields["content-length"])))
                token = int(fields["x-endivewick-fence-token"])
                target = next((i for i in self.instances if i.name == body["id"]), None)
                is_refused = token < self.newest_token or target is None or not target.is_up
                self.newest_token = max(token, self.newest_token)
                status = "409 Conflict" if is_refused else "200 OK"
                self.record("order", body["id"], "token", token, status)
                if not is_refused:
                    keep(asyncio.create_task(self.promote(body["id"])))
                writer.write(f"HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\n{{}}".encode())
                await writer.drain()
            writer.close()

        host, port = address.split(":")
        self.platform = await asyncio.start_server(serve, host, int(port))


_kept: set[asyncio.Task] = set()


def keep(task: asyncio.Task) -> None:
    """Keep a reference to a background task until it ends."""
    _kept.add(task)
    task.add_done_callback(_kept.discard)


async def request(
    address: str, method: str, path: str, body: object = None
) -> tuple[int, bytes, str]:
    """Send one HTTP request; return status 0 where no whole response comes within a second."""
    host, port = address.split(":")
    data = b"" if body is None else json.dumps(body).encode()
    head = f"{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n"
    head += f"content-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n"
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + data)
            lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            fields = {}
            for line in lines[1:]:
                name, _, value = line.partition(": ")
                fields[name.lower()] = value
            payload = await reader.readexactly(int(fields.get("content-length", 0)))
            return int(lines[0].split(" ")[1]), payload, fields.get("location", "")
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b"", ""
    finally:
        if writer is not None:
            writer.close()


class Process:
    """A process of the system, started with the command of its role."""

    def __init__(self, name: str, role: str, settings: Path, log: Path) -> None:
        self.name, self.settings, self.log = name, settings, log
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.command = roles[role]["run"].split(" ")
        self.popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        variables = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        variables["ENDIVEWICK_SETTINGS"] = str(self.settings)
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                self.command, cwd=ROOT, env=variables, stdout=log, stderr=log
            )

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.popen is not None and self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal, if the process runs."""
        if self.is_running():
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.is_running():
            self.popen.kill()
        if self.popen is not None:
            self.popen.wait()

    def memory_mb(self) -> float:
        """Return the memory that the process uses."""
        try:
            pages = int(Path(f"/proc/{self.popen.pid}/statm").read_text().split()[1])
        except (OSError, ValueError, AttributeError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


class System:
    """Three control processes, some gateways, one service, and the platform."""

    def __init__(self, record: Record, gateways: int) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="endivewick-review-"))
        self.net = f"127.{random.randrange(20, 220)}.{random.randrange(1, 250)}"
        self.controls = [f"{self.net}.{101 + number}:8782" for number in range(3)]
        self.frontends = [f"{self.net}.{1 + number}:8784" for number in range(gateways)]
        self.service = Service(self.net, record, self.controls)
        self.processes: dict[str, Process] = {}
        zones = list(ZONES)
        for number, address in enumerate(self.controls):
            self._add(f"core-{number + 1}", "control", address.split(":")[0], zones[number])
        for number, address in enumerate(self.frontends):
            self._add(f"edge-{number + 1}", "gateway", address.split(":")[0], zones[number % 3])

    def _add(self, name: str, role: str, ip: str, zone: str) -> None:
        path = self.folder / f"{name}.toml"
        process = Process(name, role, path, self.folder / f"{name}.log")
        self.processes[name] = process
        self.write_settings(name, role, ip, zone, is_first=True)
        process.arguments = (name, role, ip, zone)

    def write_settings(self, name: str, role: str, ip: str, zone: str, is_first: bool) -> None:
        """Write the settings file of a process."""
        is_control = role == "control"
        data_dir = self.folder / f"{name}.data"
        if is_control:
            data_dir.mkdir(exist_ok=True)
        listen = f'ctl = "{ip}:8782"' if is_control else (
            f'frontend = "{ip}:8784"\nreadiness = "{ip}:8785"'
        )
        lines = [
            f'node = "{name}"', f'role = "{role}"',
            f'node-class = "{"core" if is_control else "edge"}"',
            f'serves = ["{"ctl" if is_control else "edge"}"]',
            f'ip = "{ip}"', f'zone = "{zone}"', f'region = "{ZONES[zone]}"',
            "internal-ports = [7440,7455]", f"seeds = {json.dumps(self.controls)}",
            f"bootstrap = {str(is_first).lower()}", f"in-tolerance = {str(is_control).lower()}",
            'discovery = "registry"', 'entry = "vip"', "heartbeat-ms = 1200",
            'policies = ["base","drain","config","cost","recover","sql"]',
            'config_mode = "highest"',
        ]
        if is_control:
            lines.append(f'data-dir = "{data_dir}"')
        lines.append("[zones]")
        lines += [f'{zone_name} = "{region}"' for zone_name, region in ZONES.items()]
        lines += ["[listen]", listen, "[limits]", "cpu-quota = 0.537", "cores = 2"]
        lines += [f"memory-mb = {MEMORY_MB}", "max-fds = 4300", "bandwidth-mbps = 1000.0"]
        lines += [f"disk-mb = {128 if is_control else 0}", "[fault-tolerance]", "nodes = 1"]
        lines += ["zones = 0", "regions = 0", "[parameters]", "seed-lag-s = 3"]
        lines += ["reuse-after-s = 2", "contact-ms = 5000", "ack-ms = 6000", "catch-up-s = 4"]
        lines += ["drain-ms = 7000", "grace-s = 6", "loss-slack-ms = 200"]
        lines += ["config-apply-ms = 4000", "downgrade-ms = 250", "skew-max-ms = 15000"]
        lines += ["recovery-s = 12", "fencing = true", "thaw-ms = 300", "[provider]"]
        lines += [f'addr = "{self.net}.250:8783"', "rate-per-s = 50.0", 'duties = ["failover"]']
        lines.append("duty-per-s = 50.0")
        self.processes[name].settings.write_text("\n".join(lines) + "\n")

    async def start(self) -> bool:
        """Start everything; return whether the first configuration was acknowledged in time."""
        await self.service.serve_platform(f"{self.net}.250:8783")
        keep(asyncio.create_task(self.service.keep_replicating()))
        for process in self.processes.values():
            process.start()
        for instance in self.service.instances:
            await instance.start()
        end = now() + 20
        while now() < end:
            if await self.put_configuration(1) == 200:
                for process in self.processes.values():
                    self.write_settings(*process.arguments, is_first=False)
                return True
            await asyncio.sleep(0.2)
        return False

    async def put_configuration(self, version: int) -> int:
        """Send the configuration to some control process and follow redirects."""
        kinds = {"entry": "primary", "lookup": "bounded", "report": "own"}
        routes = [
            {
                "name": f"r-{host}", "host": host, "prefix": "/", "kind": kind, "timeout-ms": 1000,
                "slo-ms": 600, "priority": 1, "service": SERVICE, "attempts": 2,
                **({} if kind == "primary" else {"max-staleness-ms": 1500}),
            }
            for host, kind in kinds.items()
        ]
        service = {
            "name": SERVICE, "health-path": "/healthz", "max-conns": MAX_CONNS, "proto": "h1",
            "tls": False, "sync-replicas": 1,
        }
        limits = {
            "max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000, "tx-idle-ms": 3000,
        }
        body = {"version": version, "routes": routes, "services": [service], "limits": limits}
        address = random.choice(self.controls)
        for _ in range(3):
            status, _, location = await request(address, "PUT", "/config", body)
            if status != 307:
                break
            address = location.removeprefix("http://").split("/")[0]
        self.record("operator put version", version, "answered", status)
        return status

    def stop(self) -> None:
        """End every process that was started, and remove the folder."""
        for process in self.processes.values():
            process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


class Consumer:
    """One session of a consumer."""

    def __init__(self, record: Record, address: str, database: str) -> None:
        self.record, self.address, self.database = record, address, database
        self.state = "I"
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> bool:
        """Open the session; return whether it was accepted within 2 s."""
        host, port = self.address.split(":")
        try:
            async with asyncio.timeout(2.0):
                self.reader, self.writer = await asyncio.open_connection(
                    host, int(port), limit=LINE_LIMIT
                )
                self.writer.write(f"STARTUP {self.database} u1\r\n".encode())
                line = await self.reader.readuntil(b"\r\n")
                return line.startswith(b"READY")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def query(self, request_id: str, text: str, timeout_s: float = 5.0) -> str:
        """Send a statement; return "ok", the error's code, "cut", or "none" without an answer."""
        self.record("sent", request_id, self.address, f"{text[:60]} ({len(text)} bytes)")
        outcome, self.rows, size = "", 0, 0
        try:
            async with asyncio.timeout(timeout_s):
                self.writer.write(f"QUERY {request_id} {text}\r\n".encode("latin-1"))
                await self.writer.drain()
                while line := await self.reader.readuntil(b"\r\n"):
                    if line.startswith(b"ROW "):
                        self.rows, size = self.rows + 1, size + len(line)
                    if line.startswith(b"DONE"):
                        outcome = "ok"
                    if line.startswith(b"ERR "):
                        outcome = line.split(b" ")[1].decode().strip()
                    if line.startswith(b"READY"):
                        self.state = line.split(b" ")[1].decode()
                        break
        except (OSError, asyncio.IncompleteReadError):
            outcome = "cut"
        except TimeoutError:
            outcome = "none"
        self.record("answered", request_id, outcome, f"{self.rows} rows, {size} bytes")
        return outcome

    def close(self) -> None:
        """End the session."""
        if self.writer is not None:
            self.writer.close()


def run(main, folder: Path, gateways: int) -> None:
    """Run a case: ``main`` returns 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record("trouble", "on" if has_trouble else "off")
    system = System(record, gateways)
    code = 2

    def end(number: int, frame: object) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, end)
    try:
        code = asyncio.run(_run_in_time(main, system, has_trouble))
    finally:
        system.stop()
        record("exit", code)
    sys.exit(code)


async def _run_in_time(main, system: System, has_trouble: bool) -> int:
    try:
        async with asyncio.timeout(110):
            if not await system.start():
                system.record("the system didn't start")
                return 2
            return await main(system, has_trouble)
    except TimeoutError:
        system.record("the case took too long")
        return 2
