"""A replicated service of three instances and its clients, as the pages describe them.

Standard library only. Everything that an instance runs and every promotion is kept for the checks.
"""

import asyncio
import itertools
import json
import random
import time

from harness import CTL_PORT, DB_PORT, http

SLOTS = 3
PROMOTE_S = 0.3
WORK_S = 0.005
OPEN_S = 0.027
HEARTBEAT_S = 1.2
NETWORK_S = 0.012  # between regions, one way


class Entry:
    """A commit in a log."""

    def __init__(self, term, number, ids, writes):
        self.term, self.number, self.ids, self.writes = term, number, ids, writes
        self.made = time.monotonic()


class Instance:
    def __init__(self, service, name, address, zone, role):
        self.service, self.name, self.address, self.zone, self.role = service, name, address, zone, role
        self.log = []
        self.term = 1
        self.paused = 0
        self.deaf = False
        self.up = False
        self.state = "ready"
        self.born = 0
        self.seq = 0
        self.report_to = ""
        self.streams = set()
        self.tasks = set()
        self.reports = True

    @property
    def position(self):
        """The end of the log, with the term of its last entry."""
        return (self.log[-1].term, self.log[-1].number) if self.log else (1, 0)

    def has(self, entry):
        return len(self.log) >= entry.number and self.log[entry.number - 1] is entry

    async def start(self, empty=False):
        if empty:
            self.log = []
        self.up, self.state, self.seq, self.paused = True, "ready", 0, 0
        self.born = int(time.time() * 1000)
        self.slots = asyncio.Semaphore(SLOTS)
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self._serve, host, int(port), limit=2**21)
        self.reporter = asyncio.create_task(self._report())
        self.service.record(f"instance {self.name} starts as {self.role} at {text(self.position)}")

    def crash(self):
        """End without a word; the log is kept."""
        self.up = False
        self.reporter.cancel()
        self.server.close()
        for writer in list(self.streams):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        self.service.record(f"instance {self.name} crashes at {text(self.position)}")

    def body(self):
        self.seq += 1
        return {
            "service": self.service.name, "addr": self.address, "zone": self.zone, "version": "v1",
            "slots": SLOTS, "state": self.state, "warmup-left-ms": 0, "db-role": self.role,
            "seq": self.seq, "born": self.born,
        }

    async def report_once(self):
        nodes = [f"{item.ip}:{CTL_PORT}" for item in self.service.system.controls]
        random.shuffle(nodes)
        for node in [self.report_to or nodes[0], *nodes]:
            if not self.up:
                return False
            body = json.dumps(self.body()).encode()
            status, answer, _ = await http("PUT", node, f"/instances/{self.name}", body)
            if status // 100 == 2:
                self.report_to = json.loads(answer or b"{}").get("heartbeat-addr", self.report_to)
                return True
            self.report_to = ""
        return False

    async def _report(self):
        while True:
            if self.reports:
                await self.report_once()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.streams.add(writer)
        session = Session(self, next(self.service.numbers))
        try:
            words = (await reader.readline()).decode("latin-1").rstrip("\r\n").split(" ")
            if words[0] != "STARTUP":
                return
            if words[1] != self.service.name or len(words) > 3 and words[3] != self.name:
                writer.write(b"ERR MOVED\r\n")
                return
            await asyncio.sleep(OPEN_S)
            writer.write(f"READY I {text(self.position)}\r\n".encode())
            while line := await reader.readline():
                if not line.startswith(b"QUERY "):
                    return
                _, request_id, statement = line.decode("latin-1").rstrip("\r\n").split(" ", 2)
                answer = await session.run(request_id, statement)
                if answer is None:
                    continue
                writer.write(answer.encode("latin-1"))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            session.transaction = None
            self.tasks.discard(task)
            self.streams.discard(writer)
            writer.close()


class Session:
    """A connection of a caller to an instance."""

    def __init__(self, instance, number):
        self.instance, self.number = instance, number
        self.values, self.prepared = {}, {}
        self.transaction = None
        self.failed = False

    def answer(self, rows=(), done="-", error=""):
        if error and self.transaction is not None:
            self.failed = True
        state = "I" if self.transaction is None else "E" if self.failed else "T"
        lines = [f"ROW {row}\r\n" for row in rows]
        lines.append(f"ERR {error}\r\n" if error else f"DONE {done}\r\n")
        lines.append(f"READY {state} {text(self.instance.position)}\r\n")
        return "".join(lines)

    async def run(self, request_id, statement):
        instance, service = self.instance, self.instance.service
        wait_for = None
        original = statement
        if statement.startswith("WAITLSN "):
            _, position, statement = statement.split(" ", 2)
            wait_for = tuple(int(part) for part in position.split("."))
        words = statement.split(" ", 2)
        verb = words[0]
        if verb in ("RESET", "SET", "PREPARE", "DEALLOC", "ROLLBACK"):
            return self._local(verb, statement)
        if verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self._order(verb, words)
        if wait_for is not None and instance.position < wait_for:
            return self.answer(error="LAGGING")
        if verb == "BEGIN":
            if statement == "BEGIN" and instance.role != "primary":
                return self.answer(error="READONLY")
            number = next(service.numbers)
            self.transaction = Transaction(number, instance.term, statement != "BEGIN")
            self.failed = False
            return self.answer()
        if verb not in ("FETCH", "PUT", "EXEC", "COMMIT"):
            return self.answer(error="BADREQ")
        if verb == "EXEC" and words[1] not in self.prepared:
            return self.answer(error="NOSTMT")
        async with instance.slots:
            await asyncio.sleep(WORK_S)
            return await self._work(request_id, verb, statement, original)

    def _local(self, verb, statement):
        words = statement.split(" ")
        if verb == "RESET":
            self.values, self.prepared = {}, {}
        elif verb == "SET":
            self.values[words[1]] = statement.split(" ", 2)[2]
        elif verb == "PREPARE":
            self.prepared[words[1]] = (words[2], statement.split(" ", 3)[3])
        elif verb == "DEALLOC":
            self.prepared.pop(words[1], None)
        else:
            self.transaction = None
        return self.answer()

    def _order(self, verb, words):
        instance, service = self.instance, self.instance.service
        term = int(words[1]) if len(words) > 1 else 0
        if verb == "PAUSE" and instance.role == "replica" and term > service.term:
            instance.paused = term
        if verb == "RESUME":
            instance.paused = 0
        if verb == "STEPDOWN" and instance.role == "primary" and instance.term < term:
            instance.role = "replica"
            service.record(f"instance {instance.name} steps down at {text(instance.position)}")
            instance.tell()
        row = f"{instance.role} {instance.term} {text(instance.position)} {instance.paused} 0 0 1"
        return self.answer((row,))

    async def _work(self, request_id, verb, statement, original):
        instance, service = self.instance, self.instance.service
        transaction = self.transaction
        if transaction is not None and self.failed:
            return self.answer(error="BADREQ")
        shape = ""
        if verb == "EXEC":
            _, name, rest = statement.split(" ", 2)
            kind, shape = self.prepared[name]
        else:
            kind, rest = verb, statement.partition(" ")[2]
        leads = instance.role == "primary" and (transaction is None or transaction.term == instance.term)
        if transaction is not None and not transaction.read_only and not leads:
            if not (verb == "COMMIT" and not transaction.writes):
                return self.answer(error="READONLY")
        if kind == "PUT" and not leads:
            return self.answer(error="READONLY")
        proof = f"7.{next(service.numbers):x}.{random.getrandbits(32):08x}"
        item, _, data = rest.partition(" ")
        number = transaction.number if transaction is not None else 0
        values = dict(self.values)
        service.runs.append((request_id, instance.name, statement, shape, number, values, proof))
        rows = ()
        if kind == "FETCH":
            rows = (self._read(item),)
        elif kind == "PUT" and transaction is not None:
            transaction.writes.append((item, data))
            transaction.ids.append(request_id)
        else:
            ids, writes = [request_id], [(item, data)]
            if verb == "COMMIT":
                ids, writes = [*transaction.ids, request_id], transaction.writes
                self.transaction = None
            if writes and not await self._commit(ids, writes):
                return None
        service.record(f"{instance.name} ran {request_id} {statement[:40]}")
        return self.answer(rows, proof)

    def _read(self, item):
        pending = self.transaction.writes if self.transaction is not None else []
        for key, data in [*self.instance.log_writes(), *pending][::-1]:
            if key == item:
                return data
        return "none"

    async def _commit(self, ids, writes):
        """Append a commit and wait until a replica has received it; False if that is in vain."""
        instance, service = self.instance, self.instance.service
        entry = Entry(instance.term, len(instance.log) + 1, ids, writes)
        instance.log.append(entry)
        service.commits.append(entry)
        while not any(item.has(entry) for item in service.instances if item is not instance):
            await asyncio.sleep(0.002)
            if instance.role != "primary" or instance.term != entry.term:
                return False
        return True


class Transaction:
    def __init__(self, number, term, read_only):
        self.number, self.term, self.read_only = number, term, read_only
        self.writes, self.ids = [], []


class Service:
    """Three instances; the platform promotes one of them on order."""

    def __init__(self, system, name, zones):
        self.system, self.name, self.record = system, name, system.record
        self.numbers = itertools.count(1)
        self.term = 1
        self.runs, self.commits, self.promotions = [], [], []
        self.token = 0
        self.acknowledged = []  # (monotonic, request id) of commits, as clients heard of them
        self.instances = [
            Instance(self, f"i-{random.getrandbits(32):08x}", f"{system.net}.{100 + n}:{DB_PORT}", zone,
                     "primary" if n == 0 else "replica")
            for n, zone in enumerate(zones)
        ]
        system.on_order = self.order

    async def start(self):
        for instance in self.instances:
            await instance.start()
        self.replication = asyncio.create_task(self._replicate())

    @property
    def primary(self):
        leaders = [item for item in self.instances if item.role == "primary"]
        return max(leaders, key=lambda item: item.term, default=None)

    async def _replicate(self):
        while True:
            await asyncio.sleep(0.003)
            leader = self.primary
            if leader is None or not leader.up:
                continue
            due = time.monotonic() - NETWORK_S
            for item in self.instances:
                if item is leader or not item.up or item.paused or item.deaf:
                    continue
                common = min(len(item.log), len(leader.log))
                while common and item.log[common - 1] is not leader.log[common - 1]:
                    common -= 1
                fresh = [entry for entry in leader.log[common:] if entry.made <= due]
                item.log = item.log[:common] + fresh
                item.term = leader.term

    async def order(self, service, name, token, holder):
        """Check an order's token and carry it out; return the status, None for no answer."""
        self.record(f"platform: {holder} orders {name} for {service} with token {token}")
        if token < self.token:
            return 409
        self.token = max(self.token, token)
        target = next((item for item in self.instances if item.name == name and item.up), None)
        if target is None:
            return 409
        if target is not self.primary:
            asyncio.create_task(self._promote(target, token))
        return 200

    async def _promote(self, target, token):
        await asyncio.sleep(PROMOTE_S)
        if not target.up or token < self.token:
            return
        self.term += 1
        for item in self.instances:
            item.role = "primary" if item is target else "replica"
            item.paused = 0
        target.term = self.term
        known = {request for entry in target.log for request in entry.ids}
        lost = [request for _, request in self.acknowledged if request not in known]
        self.promotions.append((time.monotonic(), target.name, token, lost))
        self.record(f"platform: {target.name} leads term {self.term} from {text(target.position)}")
        if lost:
            self.record(f"LOST: {target.name} was promoted without the acknowledged {lost}")
        for item in self.instances:
            item.tell()

    def lost(self):
        return [request for *_, lost in self.promotions for request in lost]


def _log_writes(self):
    return [write for entry in self.log for write in entry.writes]


def _tell(self):
    """Report a change of role at once."""
    if self.up and self.reports:
        asyncio.create_task(self.report_once())


Instance.log_writes = _log_writes
Instance.tell = _tell


def text(position):
    return f"{position[0]}.{position[1]}"


class Client:
    """A session of a consumer; ``query`` returns the rows, the result and the state."""

    def __init__(self, service, address, database, user="u1"):
        self.service, self.address, self.database, self.user = service, address, database, user
        self.record = service.record
        self.reader = None

    async def open(self):
        host, port = self.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=2**21)
        self.writer.write(f"STARTUP {self.database} {self.user}\r\n".encode())
        async with asyncio.timeout(2.0):
            return (await self.reader.readline()).decode().strip()

    async def query(self, statement, request_id=None, timeout_s=12.0):
        request_id = request_id or f"{random.getrandbits(64):016x}"
        self.writer.write(f"QUERY {request_id} {statement}\r\n".encode("latin-1"))
        rows, result = [], ""
        async with asyncio.timeout(timeout_s):
            while True:
                line = await self.reader.readline()
                if not line:
                    self.record(f"client: {request_id} {statement[:40]} -> connection ended")
                    return rows, "CLOSED", ""
                word, _, rest = line.decode("latin-1").rstrip("\r\n").partition(" ")
                if word == "ROW":
                    rows.append(rest)
                elif word == "READY":
                    self.record(f"client: {request_id} {statement[:40]} -> {rows} {result} {rest}")
                    return rows, result, rest
                else:
                    result = f"{word} {rest}"

    async def put(self, item, data):
        """Write once; record the acknowledgement."""
        request_id = f"{random.getrandbits(64):016x}"
        _, result, _ = await self.query(f"PUT {item} {data}", request_id)
        if result.startswith("DONE") and result != "DONE -":
            self.service.acknowledged.append((time.monotonic(), request_id))
        return result

    def close(self):
        if self.reader is not None:
            self.writer.close()
