"""A stand-in for a replicated database: terms, log positions, slots and asynchronous replication.

It speaks HTTP/1.1 with JSON. ``--address`` takes the proxies' requests and holds the connection
cap; the port 1000 above takes replication and the faults that tests set. A statement is an object:
``{"name", "op": "get"|"set"|"add"|"fail", "key", "value", "run_ms", "tag"}``.
"""

import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import trio
from absl import app, flags
from endivewick_node.clock import now_ms
from endivewick_node.http_server import Connection, HttpServer, Request, Response
from endivewick_node.sockets import Poller

from ..checkers import clock_ms
from ..http_client import ConnectionLost, HttpClient
from .database import Database, LogItem, admin_address

_NAME = flags.DEFINE_string("name", "db-1", "The upstream's name.")
_GROUP = flags.DEFINE_string("group", "main", "Its database group.")
_ADDRESS = flags.DEFINE_string("address", "127.0.0.1:9000", "Where proxies reach it.")
_ANNOUNCED = flags.DEFINE_string("announced", "", "The address to announce, such as a relay's.")
_DATA_CENTRE = flags.DEFINE_string("data_centre", "alexandria-1", "Its data centre.")
_PROXIES = flags.DEFINE_list("proxies", [], "HTTP addresses of proxies to announce to.")
_PRIMARY = flags.DEFINE_string("primary", "", "The primary to follow; empty: be the primary.")
_SLOTS = flags.DEFINE_integer("slots", 3, "How many statements run at one time.")
_CONNECTIONS = flags.DEFINE_integer("connections", 20, "The connection cap.")
_OPEN_MS = flags.DEFINE_integer("open_ms", 10, "What opening a connection costs.")
_LATENCY_MS = flags.DEFINE_float("latency_ms", 0.0, "Added one way to every request and answer.")
_RUN_MS = flags.DEFINE_float("run_ms", 1.0, "The run time of a statement that names none.")
_HISTORY = flags.DEFINE_string("history", "", "A file for the recorded history.")

REPLICATE_INTERVAL_MS = 10
REPLICATE_BATCH = 500
ANNOUNCE_INTERVAL_MS = 250
ANNOUNCE_TIMEOUT_S = 1.0


@dataclass(slots=True)
class Session:
    """One connection of a proxy: its age and its open transaction."""

    serial: int
    opened: bool = False
    transaction: list[dict[str, Any]] | None = None
    tags: list[str] = field(default_factory=list)


class Upstream:
    """The stand-in process."""

    def __init__(self) -> None:
        """Read the flags and bind both addresses."""
        self.database = Database("replica" if _PRIMARY.value else "primary", 1, _PRIMARY.value)
        self.slots = trio.CapacityLimiter(_SLOTS.value)
        self.sessions: dict[Connection, Session] = {}
        self.serial = 0
        section: Any = {"address": _ADDRESS.value, "connection_limit": _CONNECTIONS.value}
        self.poller = Poller()
        self.server = HttpServer(section, self.take, self.poller)
        admin: Any = {"address": admin_address(_ADDRESS.value)}
        self.admin = HttpServer(admin, self.take_admin, self.poller)
        self.history = Path(_HISTORY.value).open("ab", buffering=0) if _HISTORY.value else None
        self.nursery: trio.Nursery
        self.ran: dict[str, int] = {}

    async def run(self) -> None:
        """Serve until ended."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for task in (self.poller.run, self.replicate, self.announce):
                nursery.start_soon(task)

    def take(self, request: Request, connection: Connection) -> None:
        """Start one request of a proxy."""
        session = self.sessions.get(connection)
        if session is None:
            self.sessions = {item: s for item, s in self.sessions.items() if not item.is_closed}
            self.serial += 1
            session = self.sessions[connection] = Session(self.serial)
        body = msgspec.json.decode(request.body)
        self.nursery.start_soon(self.serve, request, body, connection, session)

    async def serve(
        self, request: Request, body: dict[str, Any], connection: Connection, session: Session
    ) -> None:
        """Run one request and answer it."""
        faults = self.database.faults
        if not session.opened:
            session.opened = True
            await trio.sleep(_OPEN_MS.value / 1000)
        if session.serial <= faults.silent_before:
            return
        if _LATENCY_MS.value:
            await trio.sleep(_LATENCY_MS.value / 1000)
        status, value = await self.execute(request.path, body, session)
        answer = self.answer(status, value)
        if _LATENCY_MS.value:
            await trio.sleep(_LATENCY_MS.value / 1000)
        if not connection.is_closed:
            connection.respond(answer)

    def answer(self, status: int, value: Any) -> Response:
        """Return an answer with the term, position and role of now."""
        database = self.database
        body = {"term": database.term, "position": len(database.log), "role": database.role}
        body["value" if status == 200 else "error"] = value
        return Response(status, body)

    async def execute(self, path: str, body: dict[str, Any], session: Session) -> tuple[int, Any]:
        """Return the status and the value of one request."""
        database = self.database
        if path == "/ping":
            return 200, None
        if path == "/promote":
            return self.promote(body)
        if path == "/follow":
            return self.follow(body)
        if path == "/statement":
            return await self.statement(body, session)
        if database.role != "primary":
            return 409, "read_only"
        if path == "/begin":
            session.transaction = session.transaction or []
        elif path == "/commit":
            statements = session.transaction or []
            for statement in statements:
                self.apply(statement)
            session.transaction = None
            tags = [statement.get("tag", "") for statement in statements]
            self.record("upstream_committed", value=tags)
        elif path == "/rollback":
            session.transaction = None
        return 200, None

    async def statement(self, body: dict[str, Any], session: Session) -> tuple[int, Any]:
        """Run a read or a write."""
        database = self.database
        statement = body["statement"]
        if not isinstance(statement, dict) or statement.get("op") == "fail":
            return 422, "the statement is faulty"
        if statement["op"] != "get" and database.role != "primary":
            return 409, "read_only"
        self.record("upstream_began", tag=statement.get("tag", ""))
        async with self.slots:
            await trio.sleep(
                (statement.get("run_ms", _RUN_MS.value) + database.faults.slow_ms) / 1000
            )
        if statement["op"] == "get":
            value = database.data.get(statement["key"])
            return 200, {"key": statement["key"], "value": value}
        if database.role != "primary":
            return 409, "read_only"
        if body["in_transaction"]:
            if session.transaction is None:
                return 409, "no transaction is open on this connection"
            session.transaction.append(statement)
            return 200, None
        return 200, {"key": statement["key"], "value": self.apply(statement)}

    def apply(self, statement: dict[str, Any]) -> Any:
        """Commit a write and record it in the history."""
        database = self.database
        key, value = statement["key"], statement.get("value")
        if statement["op"] == "add":
            value = database.data.get(key, 0) + value
        database.write(key, value)
        tag = statement.get("tag", "")
        self.ran[tag] = self.ran.get(tag, 0) + 1
        self.record("upstream_ran", tag=tag, key=key, value=value)
        return value

    def promote(self, body: dict[str, Any]) -> tuple[int, Any]:
        """Become the primary of a newer term."""
        database = self.database
        if body["term"] < database.term:
            return 409, "older term"
        database.term = body["term"]
        database.role, database.primary, database.received = "primary", "", []
        self.record("promoted")
        return 200, None

    def follow(self, body: dict[str, Any]) -> tuple[int, Any]:
        """Follow a primary of a newer term, dropping what was lost at the fork."""
        database = self.database
        if body["term"] > database.term or database.role == "primary":
            database.truncate(body["start_index"])
        database.role, database.primary, database.received = "replica", body["primary"], []
        return 200, None

    async def replicate(self) -> None:
        """Copy the primary's log, as a replica, with the lag that a test has set."""
        client: HttpClient | None = None
        while True:
            await trio.sleep(REPLICATE_INTERVAL_MS / 1000)
            database = self.database
            if database.role == "primary" or database.faults.cut_replication:
                continue
            address = admin_address(database.primary)
            if client is None or client.address != address:
                client = HttpClient(address)
            try:
                with trio.fail_after(ANNOUNCE_TIMEOUT_S):
                    known = len(database.log) + len(database.received)
                    reply = await client.call("POST", "/log", {"after": known})
            except (ConnectionLost, trio.TooSlowError):
                client.close()
                continue
            if database.role == "replica" and admin_address(database.primary) == address:
                self.take_log(reply.body)

    def take_log(self, body: dict[str, Any]) -> None:
        """Apply the primary's log once its lag has passed."""
        database = self.database
        at_ms = now_ms()
        if body["role"] != "primary":
            return
        database.received += [(at_ms, LogItem(*item)) for item in body["entries"]]
        while database.received and at_ms - database.received[0][0] >= database.faults.lag_ms:
            _, item = database.received.pop(0)
            database.log.append(item)
            database.data[item.key] = item.value
        if not database.received and len(database.log) >= body["position"]:
            database.term = max(database.term, body["term"])

    async def announce(self) -> None:
        """Announce this upstream to one proxy after the other."""
        turn = 0
        clients = [HttpClient(address) for address in _PROXIES.value]
        while clients:
            database = self.database
            client = clients[turn % len(clients)]
            turn += 1
            body = {
                "upstream": _NAME.value,
                "group": _GROUP.value,
                "address": _ANNOUNCED.value or _ADDRESS.value,
                "data_centre": _DATA_CENTRE.value,
                "state": "leaving" if database.faults.leaving else "running",
                "role": database.role,
                "term": database.term,
                "position": len(database.log),
                "slots": _SLOTS.value,
                "connections": _CONNECTIONS.value,
            }
            try:
                with trio.fail_after(ANNOUNCE_TIMEOUT_S):
                    await client.call("POST", "/v1/upstreams", body)
            except (ConnectionLost, trio.TooSlowError):
                client.close()
            await trio.sleep(ANNOUNCE_INTERVAL_MS / 1000)

    def take_admin(self, request: Request, connection: Connection) -> None:
        """Serve replication, faults and reports."""
        database = self.database
        body = msgspec.json.decode(request.body or b"{}")
        answer: dict[str, Any] = {"term": database.term, "role": database.role}
        if request.path == "/log":
            entries = database.log[body["after"] : body["after"] + REPLICATE_BATCH]
            answer |= {"entries": entries, "position": len(database.log)}
        elif request.path == "/fault":
            if body.pop("silent", False):
                body["silent_before"] = self.serial
            if "leaving" in body:
                kind = "upstream_leaving" if body["leaving"] else "upstream_returned"
                self.record(kind)
            for name, value in body.items():
                setattr(database.faults, name, value)
        elif request.path == "/report":
            answer |= {
                "name": _NAME.value,
                "position": len(database.log),
                "connections": len(self.server.connections),
                "ran": self.ran,
                "data": database.data,
            }
        connection.respond(Response(200, answer))

    def record(self, kind: str, **fields: Any) -> None:
        """Write one line of the recorded history."""
        if self.history is None:
            return
        database = self.database
        line = {"at_ms": clock_ms(), "source": _NAME.value, "kind": kind, "group": _GROUP.value}
        line |= {"upstream": _NAME.value, "term": database.term, "position": len(database.log)}
        self.history.write(msgspec.json.encode(line | fields) + b"\n")


def main(arguments: list[str]) -> None:
    """Run the stand-in."""
    if len(arguments) > 1:
        sys.exit("the stand-in takes flags only")
    trio.run(Upstream().run)


if __name__ == "__main__":
    app.run(main)
