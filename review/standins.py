"""Stand-ins for the platform, a replicated database and clients, on loopback addresses.

They use only the standard library. The programs under test are started with the commands of
``deploy/system.toml``. Everything runs on the real clock.
"""

import asyncio
import json
import os
import random
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
REPORT_TIMEOUT_S = 1.0
WORK_S = 0.004
APPLY_LAG_S = 0.060
OPEN_S = 0.005
DRAIN_S = 7.0
CENTRES = {"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"}
MAX_CONNECTIONS = 21


class Record:
    """The record of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.start = time.monotonic()
        self.file = path.open("w")

    def now(self) -> float:
        return time.monotonic() - self.start

    def add(self, text: str) -> None:
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def free_net() -> str:
    """Return a /24 of 127.0.0.0/8 whose addresses nobody listens on."""
    return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"


async def http(address: str, method: str, path: str, body=None, headers=None, timeout_s=1.0):
    """Return the status, the headers and the body, or None without a complete response."""
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"host: {address}", "connection: close"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += ["content-type: application/json", f"content-length: {len(data)}", "", ""]

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write("\r\n".join(lines).encode() + data)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = {}
            for line in head.split("\r\n")[1:]:
                name, _, value = line.partition(":")
                fields[name.strip().lower()] = value.strip()
            content = await reader.readexactly(int(fields.get("content-length", "0")))
            return int(head.split(" ")[1]), fields, content
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


class Entry:
    """A commit in a log: the term, and the request ids of its writes."""

    __slots__ = ("ids", "term")

    def __init__(self, term: int, ids: tuple) -> None:
        self.term, self.ids = term, ids


class Instance:
    """One instance of a service: log, role, connections and status reports."""

    def __init__(self, service, name: str, ip: str, zone: str) -> None:
        self.service, self.name, self.zone = service, name, zone
        self.ip, self.port = ip, 9000
        self.address = f"{ip}:9000"
        self.log: list[Entry] = []
        self.received_s: list[float] = []
        self.term = 1
        self.paused_term = 0
        self.is_primary = False
        self.is_up = False
        self.is_deaf = False
        # While set, nothing passes between this instance and the control processes.
        self.is_cut_from_control = False
        self.state = "ready"
        self.link_s = 0.002
        self.sequence = 0
        self.born_ms = 0
        self.report_to = ""
        self.leaving_acknowledged_s: float | None = None
        self.server = None
        self.tasks: set[asyncio.Task] = set()
        self.writers: set = set()
        self.report_now = asyncio.Event()
        self.next_report_s = 0.0
        self.reported_s = 0.0
        self.proofs = 0

    @property
    def record(self) -> Record:
        return self.service.record

    def applied(self) -> int:
        if self.is_primary:
            return len(self.log)
        now, count = time.monotonic(), len(self.log)
        while count and now - self.received_s[count - 1] < APPLY_LAG_S:
            count -= 1
        return count

    def position(self, count: int) -> str:
        return f"{self.log[count - 1].term if count else 1}.{count}"

    def has(self, wanted: str) -> bool:
        term, _, number = wanted.partition(".")
        count = self.applied()
        if count < int(number):
            return False
        return (self.log[count - 1].term if count else 1) >= int(term)

    async def start(self, first_node: str = "") -> None:
        """Start the process, with the log that the instance has.

        It sends its first report to ``first_node``, or to any node.
        """
        self.is_up = True
        self.paused_term = 0
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.report_to = first_node
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.spawn(self.send_reports())

    def spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def stop(self) -> None:
        """End the process: a crash, or the exit after a planned shutdown."""
        self.is_up = False
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    # Status reports.

    async def send_reports(self) -> None:
        while True:
            if not self.is_cut_from_control:
                await self.send_report()
            self.report_now.clear()
            delay_s = self.next_report_s - time.monotonic()
            while delay_s <= 0:
                self.next_report_s += HEARTBEAT_S
                delay_s = self.next_report_s - time.monotonic()
            if self.state == "draining" and self.leaving_acknowledged_s is None:
                delay_s = min(delay_s, 0.25)
            try:
                await asyncio.wait_for(self.report_now.wait(), delay_s)
            except asyncio.TimeoutError:
                continue

    async def send_report(self) -> None:
        addresses = list(self.service.controls)
        random.shuffle(addresses)
        if self.report_to:
            addresses = [self.report_to, *(item for item in addresses if item != self.report_to)]
        for address in addresses:
            self.sequence += 1
            body = {
                "service": self.service.name,
                "addr": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 3,
                "state": self.state,
                "warmup-left-ms": 0,
                "db-role": "primary" if self.is_primary else "replica",
                "seq": self.sequence,
                "born": self.born_ms,
            }
            answer = await http(
                address, "PUT", f"/instances/{self.name}", body, timeout_s=REPORT_TIMEOUT_S
            )
            if answer is None or answer[0] // 100 != 2:
                self.report_to = ""
                continue
            self.report_to = json.loads(answer[2] or b"{}").get("heartbeat-addr", address)
            self.reported_s = time.monotonic()
            if body["state"] == "draining" and self.leaving_acknowledged_s is None:
                self.leaving_acknowledged_s = time.monotonic()
                self.record.add(f"{self.name}: its report 'draining' is acknowledged")
            return

    async def leave(self, linger_s: float) -> None:
        """Shut down as planned: drain, deregister and exit."""
        self.state = "draining"
        self.report_now.set()
        self.record.add(f"{self.name}: planned shutdown begins")
        for _ in range(300):
            if self.leaving_acknowledged_s is not None:
                break
            await asyncio.sleep(0.02)
        await asyncio.sleep(DRAIN_S + linger_s)
        for address in self.service.controls:
            answer = await http(address, "DELETE", f"/instances/{self.name}")
            if answer is not None and answer[0] // 100 == 2:
                break
        self.record.add(f"{self.name}: exits")
        self.service.instances.pop(self.name)
        self.stop()

    # The wire.

    async def serve(self, reader, writer) -> None:
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await Connection(self, reader, writer).run()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()


class Connection:
    """A connection to an instance; its statements run one after the other."""

    def __init__(self, instance: Instance, reader, writer) -> None:
        self.instance, self.reader, self.writer = instance, reader, writer
        self.transaction = ""  # "plain", "read" or empty
        self.transaction_term = 0
        self.failed = False
        self.writes: list[tuple[str, str, str]] = []
        self.prepared: dict[str, str] = {}
        self.owner = ""  # the program that opened the connection

    async def run(self) -> None:
        instance = self.instance
        line = await self.line()
        self.owner = instance.service.owner(self.writer.get_extra_info("peername")[1])
        await self.wait_for_link()
        word, _, rest = line.partition(" ")
        fields = rest.split(" ")
        if word != "STARTUP" or fields[0] != instance.service.name:
            return await self.send("ERR MOVED other service")
        if len(fields) > 2 and fields[2] != instance.name:
            return await self.send("ERR MOVED other instance")
        if len(instance.writers) > MAX_CONNECTIONS:
            return await self.send("ERR TOOMANY connections")
        await asyncio.sleep(OPEN_S)
        await self.send(f"READY I {instance.position(instance.applied())}")
        while True:
            line = await self.line()
            await self.wait_for_link()
            word, _, rest = line.partition(" ")
            if word != "QUERY":
                return
            request_id, _, text = rest.partition(" ")
            rows, result = await self.query(request_id, text)
            state = "E" if self.failed else "T" if self.transaction else "I"
            count = len(instance.log) if instance.is_primary else instance.applied()
            lines = [f"ROW {row}" for row in rows]
            await self.send(*lines, result, f"READY {state} {instance.position(count)}")

    async def wait_for_link(self) -> None:
        """Hold what control sent over a link that is cut; the connection is lost with the cut."""
        if not (self.instance.is_cut_from_control and self.owner.startswith("control")):
            return
        while self.instance.is_cut_from_control:
            await asyncio.sleep(0.02)
        raise OSError("the connection was lost with the cut")

    async def line(self) -> str:
        return (await self.reader.readuntil(b"\r\n"))[:-2].decode("latin-1")

    async def send(self, *lines: str) -> None:
        self.writer.write("".join(f"{line}\r\n" for line in lines).encode("latin-1"))
        await self.writer.drain()

    def error(self, code: str) -> tuple[list[str], str]:
        if self.transaction:
            self.failed = True
        return [], f"ERR {code} {self.instance.name}"

    def end_transaction(self) -> None:
        self.transaction, self.failed, self.writes = "", False, []

    async def query(self, request_id: str, text: str) -> tuple[list[str], str]:
        instance = self.instance
        wait_for = ""
        if text.startswith("WAITLSN "):
            _, wait_for, text = text.split(" ", 2)
        verb, *arguments = text.split(" ")
        if verb == "ROLLBACK":
            self.end_transaction()
            return [], "DONE -"
        if verb == "RESET":
            self.prepared.clear()
            return [], "DONE -"
        if verb == "SET" or verb == "DEALLOC":
            return [], "DONE -"
        if verb == "PREPARE":
            self.prepared[arguments[0]] = arguments[1]
            return [], "DONE -"
        if verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self.control(verb, arguments)
        if self.failed:
            if verb == "COMMIT":
                self.end_transaction()
                return [], f"ERR ABORTED {instance.name}"
            return self.error("BADREQ")
        if wait_for and not instance.has(wait_for):
            return self.error("LAGGING")
        if verb == "BEGIN":
            if arguments != ["FETCH"] and not instance.is_primary:
                return self.error("READONLY")
            self.transaction = "read" if arguments else "plain"
            self.transaction_term = instance.term
            return [], "DONE -"
        await asyncio.sleep(WORK_S)
        return await self.work(request_id, verb, arguments)

    async def work(self, request_id: str, verb: str, arguments: list[str]):
        instance = self.instance
        if verb == "EXEC":
            if arguments[0] not in self.prepared:
                return self.error("NOSTMT")
            verb, arguments = self.prepared[arguments[0]], arguments[1:]
        leads = instance.is_primary and instance.term == self.transaction_term
        if self.transaction == "plain" and not leads and (verb != "COMMIT" or self.writes):
            return self.error("READONLY")
        instance.proofs += 1
        proof = f"{instance.name}.{instance.proofs}"
        if verb == "FETCH":
            instance.record.add(f"{instance.name} runs read {request_id} {arguments[0]}")
            return ["none"], f"DONE {proof}"
        if verb == "PUT":
            if not instance.is_primary or self.transaction == "read":
                return self.error("READONLY")
            if self.transaction:
                self.writes.append((request_id, *arguments[:2]))
                return [], f"DONE {proof}"
            return await self.commit([(request_id, *arguments[:2])], proof)
        if verb == "COMMIT":
            writes = self.writes
            self.end_transaction()
            return await self.commit(writes, proof) if writes else ([], f"DONE {proof}")
        return self.error("BADREQ")

    async def commit(self, writes: list, proof: str):
        """Append to the log; answer once one replica has received the commit."""
        instance = self.instance
        entry = Entry(instance.term, tuple(item[0] for item in writes))
        number, term = len(instance.log), instance.term
        instance.log.append(entry)
        instance.received_s.append(time.monotonic())
        ids = ",".join(entry.ids)
        instance.record.add(f"{instance.name} commits {ids} as {term}.{number + 1}")
        while not instance.service.is_replicated(instance, number, entry):
            if not instance.is_primary or instance.term != term:
                self.writer.transport.abort()
                raise OSError("the lead was lost before a replica had the commit")
            await asyncio.sleep(0.002)
        return [], f"DONE {proof}"

    def control(self, verb: str, arguments: list[str]) -> tuple[list[str], str]:
        instance = self.instance
        if verb == "PAUSE" and not instance.is_primary:
            instance.paused_term = int(arguments[0])
            instance.record.add(
                f"{instance.name} is paused at {instance.position(len(instance.log))}"
            )
        if verb == "RESUME":
            instance.paused_term = 0
        if verb == "STEPDOWN" and instance.is_primary and instance.term < int(arguments[0]):
            instance.is_primary = False
            instance.report_now.set()
            instance.record.add(f"{instance.name} steps down")
        role = "primary" if instance.is_primary else "replica"
        received = instance.position(len(instance.log))
        return [f"{role} {instance.term} {received} {instance.paused_term} 0 0 0"], "DONE -"


class Service:
    """A service: its instances, the replication between them, and promotions."""

    def __init__(self, name: str, controls: list[str], record: Record, is_fenced=True) -> None:
        self.name, self.controls, self.record, self.is_fenced = name, controls, record, is_fenced
        self.instances: dict[str, Instance] = {}
        self.lost: list[str] = []
        self.acknowledged: dict[str, float] = {}
        self.promotions = 0
        self.owner = lambda port: ""

    def primary(self) -> Instance | None:
        leaders = [item for item in self.instances.values() if item.is_primary and item.is_up]
        return max(leaders, key=lambda item: item.term, default=None)

    def is_replicated(self, primary: Instance, number: int, entry: Entry) -> bool:
        return any(
            item is not primary and len(item.log) > number and item.log[number] is entry
            for item in self.instances.values()
        )

    async def replicate(self) -> None:
        """Let each replica receive the primary's entries, each after its link's delay."""
        while True:
            primary = self.primary()
            now = time.monotonic()
            for item in list(self.instances.values()):
                if primary is None or item is primary or item.is_primary or not item.is_up:
                    continue
                if item.is_deaf or item.paused_term > primary.term:
                    continue
                self.receive(item, primary, now)
            await asyncio.sleep(0.002)

    def receive(self, item: Instance, primary: Instance, now: float) -> None:
        common = min(len(item.log), len(primary.log))
        while common and item.log[common - 1] is not primary.log[common - 1]:
            common -= 1
        if common < len(item.log):
            self.record.add(f"{item.name} rolls back to {common}")
            del item.log[common:], item.received_s[common:]
        item.term = primary.term
        while len(item.log) < len(primary.log):
            if now - primary.received_s[len(item.log)] < item.link_s:
                return
            item.log.append(primary.log[len(item.log)])
            item.received_s.append(now)

    def promote(self, target: Instance) -> None:
        """Make an instance the primary of the next term, with what it has received."""
        term = 1 + max(item.term for item in self.instances.values())
        for item in self.instances.values():
            was_primary = item.is_primary
            if item is target or self.is_fenced or not item.is_up:
                item.is_primary = item is target
            if item.is_up and item.is_primary != was_primary:
                item.report_now.set()
        target.term, target.paused_term = term, 0
        self.promotions += 1
        self.record.add(
            f"{target.name} is promoted: term {term}, log {target.position(len(target.log))}"
        )
        held = {request_id for entry in target.log for request_id in entry.ids}
        for request_id, acknowledged_s in self.acknowledged.items():
            if request_id not in held and request_id not in self.lost:
                self.lost.append(request_id)
                self.record.add(
                    f"LOST: {request_id}, acknowledged at {acknowledged_s:.3f}, isn't in the log "
                    f"of {target.name}, which is promoted"
                )


class Platform:
    """The platform: failover orders, with fences checked when an order is carried out."""

    def __init__(self, record: Record, promote_s: float, is_fenced: bool = True) -> None:
        self.record, self.promote_s, self.is_fenced = record, promote_s, is_fenced
        self.services: dict[str, Service] = {}
        self.tokens: dict[str, int] = {}
        self.delay = lambda service, target, holder, token: 0.0
        self.orders = 0
        self.tasks: set = set()

    async def serve(self, reader, writer) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = {}
            for line in head.split("\r\n")[1:]:
                name, _, value = line.partition(":")
                fields[name.strip().lower()] = value.strip()
            body = json.loads(await reader.readexactly(int(fields["content-length"])))
            token = int(fields["x-endivewick-fence-token"])
            holder = fields["x-endivewick-lease-holder"]
            name, target = body["service"], body["id"]
            delay_s = self.delay(name, target, holder, token)
            self.orders += 1
            late = f", carried out {delay_s:.1f} s later without an answer" if delay_s else ""
            self.record.add(f"platform: order {target} token {token} from {holder}{late}")
            if delay_s:
                await asyncio.sleep(delay_s)
            status = self.carry_out(name, target, token)
            self.record.add(f"platform: order {target} token {token}: {status}")
            if not delay_s:
                writer.write(f"HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\n{{}}".encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def carry_out(self, name: str, target: str, token: int) -> int:
        if self.is_fenced and token < self.tokens.get(name, 0):
            return 409
        self.tokens[name] = max(token, self.tokens.get(name, 0))
        service = self.services[name]
        instance = service.instances.get(target)
        if instance is None or not instance.is_up:
            return 409
        if instance.is_primary and instance is service.primary():
            return 200

        async def later() -> None:
            await asyncio.sleep(self.promote_s)
            if instance.is_up and not instance.is_primary:
                service.promote(instance)

        task = asyncio.get_running_loop().create_task(later())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return 200


class Program:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, system, name: str, role: str, text: str) -> None:
        self.system, self.name = system, name
        self.settings = system.folder / f"{name}.toml"
        self.settings.write_text(text)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"][role]["run"].split(" ")
        self.popen: subprocess.Popen | None = None

    def start(self) -> None:
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "JAVA_HOME", "LANG")
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["ENDIVEWICK_SETTINGS"] = str(self.settings)
        output = (self.system.folder / f"{self.name}.log").open("ab")
        self.popen = subprocess.Popen(
            self.command, cwd=ROOT, env=environment, stdout=output, stderr=output
        )
        self.system.record.add(f"{self.name} is started")

    def kill(self) -> None:
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()
            self.system.record.add(f"{self.name} is killed")


class System:
    """The programs under test, with the platform, services and operator around them."""

    def __init__(self, record_path: Path, gateways: int, promote_s: float, is_fenced=True) -> None:
        self.record = Record(record_path)
        self.folder = Path(tempfile.mkdtemp(prefix="endivewick-review-"))
        self.net = free_net()
        self.record.add(f"addresses {self.net}.x")
        self.is_fenced = is_fenced
        self.controls = [f"{self.net}.{101 + number}:8782" for number in range(3)]
        self.platform = Platform(self.record, promote_s, is_fenced)
        self.programs: dict[str, Program] = {}
        zones = list(CENTRES)
        for number in range(3):
            name = f"control-{number + 1}"
            (self.folder / name).mkdir()
            self.programs[name] = Program(
                self, name, "control", self.text(name, 101 + number, zones[number], "core")
            )
        for number in range(gateways):
            name = f"gateway-{number + 1}"
            self.programs[name] = Program(
                self, name, "gateway", self.text(name, 11 + number, zones[number % 3], "edge")
            )
        self.gateways = [f"{self.net}.{11 + number}:8784" for number in range(gateways)]
        self.services: dict[str, Service] = {}
        self.boot_s = 0.0
        self.version = 0
        self.routes: list[dict] = []

    def text(self, name: str, number: int, zone: str, kind: str, bootstrap: bool = True) -> str:
        ip = f"{self.net}.{number}"
        seeds = ", ".join(f'"{address}"' for address in self.controls)
        if kind == "core":
            listen = f'ctl = "{ip}:8782"'
            data = f'data-dir = "{self.folder / name}"'
        else:
            listen = f'frontend = "{ip}:8784"\nreadiness = "{ip}:8785"'
            data = ""
        zones = "\n".join(f'{key} = "{value}"' for key, value in CENTRES.items())
        return f"""node = "{name}"
role = "{'control' if kind == 'core' else 'gateway'}"
node-class = "{kind}"
serves = ["{'ctl' if kind == 'core' else 'edge'}"]
ip = "{ip}"
zone = "{zone}"
region = "{CENTRES[zone]}"
internal-ports = [7440, 7455]
seeds = [{seeds}]
bootstrap = {str(bootstrap).lower()}
in-tolerance = {str(kind == 'core').lower()}
{data}
discovery = "registry"
entry = "vip"
heartbeat-ms = {int(HEARTBEAT_S * 1000)}
policies = ["base", "drain", "config", "cost", "recover", "sql"]
config_mode = "highest"
[zones]
{zones}
[listen]
{listen}
[limits]
cpu-quota = 1.0
cores = 1
memory-mb = 300
max-fds = 4096
bandwidth-mbps = 1000.0
disk-mb = {128 if kind == 'core' else 0}
[fault-tolerance]
nodes = 1
zones = 0
regions = 0
[parameters]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 5000
ack-ms = 6000
catch-up-s = 4
drain-ms = 7000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 4000
downgrade-ms = 250
skew-max-ms = 15000
recovery-s = 12
fencing = {str(self.is_fenced).lower()}
thaw-ms = 300
[provider]
addr = "{self.net}.250:8783"
rate-per-s = 50.0
duties = ["failover"]
duty-per-s = 50.0
"""

    def add_service(self, name: str, number: int, copies: int) -> Service:
        """Add a service; its first instance is the primary, each is in a zone of its own."""
        service = Service(name, self.controls, self.record, self.is_fenced)
        service.owner = self.owner
        zones = list(CENTRES)
        for index in range(copies):
            instance = Instance(
                service,
                f"i-{name}-{index + 1}",
                f"{self.net}.{150 + 10 * number + index}",
                zones[index % 3],
            )
            instance.is_primary = index == 0
            service.instances[instance.name] = instance
        self.services[name] = self.platform.services[name] = service
        for kind in ("primary", "bounded", "own"):
            self.routes.append(
                {
                    "name": f"r-{kind}-{name}",
                    "host": f"{kind}-{name}",
                    "prefix": "/",
                    "kind": kind,
                    "timeout-ms": 1000,
                    "slo-ms": 600,
                    "priority": 1,
                    "service": name,
                    "attempts": 2,
                    "max-staleness-ms": 1500,
                }
            )
        return service

    async def start(self) -> None:
        """Start everything; return once the first configuration is acknowledged."""
        await asyncio.start_server(self.platform.serve, f"{self.net}.250", 8783)
        loop = asyncio.get_running_loop()
        self.background = []
        for program in self.programs.values():
            program.start()
        await self.wait_until_listening()
        for service in self.services.values():
            self.background.append(loop.create_task(service.replicate()))
            for instance in service.instances.values():
                instance.next_report_s = time.monotonic() + random.random() * HEARTBEAT_S
                await instance.start()
        if not await self.put_configuration():
            raise CannotRun("no control process acknowledged the configuration")

    def owner(self, port: int) -> str:
        """Return the program whose socket has this local port, or an empty text.

        All connections over loopback come from one address, so the port tells them apart.
        """
        wanted = f":{port:04X}"
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[1].endswith(wanted) and not fields[2].endswith(":0000"):
                inode = f"socket:[{fields[9]}]"
                for name, program in self.programs.items():
                    if program.popen is not None and self.has_file(program.popen.pid, inode):
                        return name
        return ""

    @staticmethod
    def has_file(pid: int, link: str) -> bool:
        try:
            for entry in os.scandir(f"/proc/{pid}/fd"):
                try:
                    if os.readlink(entry.path) == link:
                        return True
                except OSError:
                    continue
        except OSError:
            pass
        return False

    async def wait_until_listening(self) -> None:
        """Wait until every control process listens; ``boot_s`` is how long that took."""
        started_s = time.monotonic()
        for address in self.controls:
            host, _, port = address.rpartition(":")
            for _ in range(1000):
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                except OSError:
                    await asyncio.sleep(0.01)
                    continue
                writer.close()
                break
            else:
                raise CannotRun(f"{address} doesn't listen")
        self.boot_s = time.monotonic() - started_s

    async def put_configuration(self) -> bool:
        self.version += 1
        body = {
            "version": self.version,
            "routes": self.routes,
            "services": [
                {
                    "name": name,
                    "health-path": "/healthz",
                    "max-conns": MAX_CONNECTIONS,
                    "proto": "h1",
                    "tls": False,
                    "sync-replicas": 1,
                }
                for name in self.services
            ],
            "limits": {"tx-idle-ms": 3000},
        }
        for _ in range(100):
            address = random.choice(self.controls)
            for _ in range(3):
                answer = await http(address, "PUT", "/config", body)
                if answer is None or answer[0] != 307:
                    break
                address = answer[1]["location"].removeprefix("http://").partition("/")[0]
            if answer is not None and answer[0] == 200:
                self.record.add(f"configuration {self.version} is acknowledged")
                return True
            await asyncio.sleep(0.2)
        return False

    async def wait_until_ready(self) -> None:
        """Wait until every gateway is ready and serves a write of every service."""
        for address in self.gateways:
            for service in self.services.values():
                client = Client(self, service, address, f"primary-{service.name}")
                for _ in range(60):
                    if await client.write() == "ok":
                        break
                    await asyncio.sleep(0.3)
                else:
                    raise CannotRun(f"{address} serves no write of {service.name}")
                client.close()

    def end(self) -> None:
        """End every process that was started."""
        for program in self.programs.values():
            if program.popen is not None and program.popen.poll() is None:
                program.popen.kill()
                program.popen.wait()
        if os.environ.get("KEEP"):
            print(f"kept {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case couldn't run."""


class Client:
    """A client's session; each operation is one statement, or a transaction."""

    def __init__(self, system: System, service: Service, address: str, database: str) -> None:
        self.system, self.service, self.address, self.database = system, service, address, database
        self.reader = self.writer = None
        self.outcomes: dict[str, int] = {}

    def close(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def open(self) -> bool:
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.writer.write(f"STARTUP {self.database} client\r\n".encode())
        line = await self.reader.readuntil(b"\r\n")
        return line.startswith(b"READY")

    async def query(self, request_id: str, text: str) -> tuple[str, str, list[str]]:
        """Return the result, the state and the rows."""
        self.writer.write(f"QUERY {request_id} {text}\r\n".encode())
        result, rows = "", []
        while True:
            line = (await self.reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
            word, _, rest = line.partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word in ("DONE", "ERR"):
                result = line
            elif word == "READY":
                return result, rest.partition(" ")[0], rows

    async def run(self, text: str, timeout_s: float = 3.0) -> str:
        """Run one statement; return "ok", the error's code, or "closed"."""
        request_id = f"{random.getrandbits(64):016x}"
        record = self.system.record
        record.add(f"client sends {request_id} {text} to {self.address} {self.database}")

        async def exchange() -> str:
            if self.writer is None and not await self.open():
                self.close()
                return "ERR STARTUP"
            result, _, _ = await self.query(request_id, text)
            return result

        try:
            result = await asyncio.wait_for(exchange(), timeout_s)
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            result = "ERR closed"
        except asyncio.TimeoutError:
            self.close()
            result = "ERR unanswered"
        record.add(f"client gets {request_id} {result}")
        is_success = result.startswith("DONE ") and result != "DONE -"
        if is_success and text.startswith("PUT"):
            self.service.acknowledged[request_id] = record.now()
        outcome = "ok" if is_success else result.split(" ")[1]
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        return outcome

    async def write(self) -> str:
        return await self.run(f"PUT {random.randrange(2000):x} {random.getrandbits(40):x}")

    async def write_forever(self, pause_s: float) -> None:
        """Write until cancelled; a session is opened again after it was closed."""
        while True:
            outcome = await self.write()
            await asyncio.sleep(pause_s if outcome == "ok" else max(0.1, pause_s))


def run_case(folder: Path, main) -> None:
    """Run a scenario ``main(record_path, has_trouble)`` and exit with its result."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    loop = asyncio.new_event_loop()
    try:
        main_task = asyncio.wait_for(main(folder / "record.txt", has_trouble), 112)
        code = loop.run_until_complete(main_task)
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print(f"the case couldn't run: {error!r}", file=sys.stderr)
        code = 2
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)  # without waiting for the clients' tasks
