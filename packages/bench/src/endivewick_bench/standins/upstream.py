"""A stand-in for a replicated database: terms, log positions, slots and asynchronous replication.

The protocol is HTTP/1.1 with JSON. ``--address`` serves the proxies and enforces the connection
cap; the port 1000 above serves replication and fault injection. A statement is an object:
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

_NAME = flags.DEFINE_string("name", "db-1", "Name of the upstream.")
_GROUP = flags.DEFINE_string("group", "main", "Database group of the upstream.")
_ADDRESS = flags.DEFINE_string("address", "127.0.0.1:9000", "Address for proxies.")
_ANNOUNCED = flags.DEFINE_string(
    "announced", "", "Address to announce if it differs, such as a relay's."
)
_DATA_CENTRE = flags.DEFINE_string("data_centre", "alexandria-1", "Data centre of the upstream.")
_PROXIES = flags.DEFINE_list("proxies", [], "HTTP addresses of proxies to announce to.")
_PRIMARY = flags.DEFINE_string("primary", "", "Primary to follow; empty: start as primary.")
_SLOTS = flags.DEFINE_integer("slots", 3, "Number of statements that run at the same time.")
_CONNECTIONS = flags.DEFINE_integer("connections", 20, "Maximum number of connections.")
_OPEN_MS = flags.DEFINE_integer("open_ms", 10, "Time to open a connection.")
_LATENCY_MS = flags.DEFINE_float(
    "latency_ms", 0.0, "Delay added to each request and to each response."
)
_RUN_MS = flags.DEFINE_float("run_ms", 1.0, "Run time of a statement without run_ms.")
_HISTORY = flags.DEFINE_string("history", "", "File for the recorded history.")

REPLICATE_INTERVAL_MS = 10
REPLICATE_BATCH = 500
ANNOUNCE_INTERVAL_MS = 250
ANNOUNCE_TIMEOUT_S = 1.0


@dataclass(slots=True)
class Session:
    """One proxy connection: its serial number and its open transaction."""

    serial: int
    opened: bool = False
    transaction: list[dict[str, Any]] | None = None
    tags: list[str] = field(default_factory=list)


class Upstream:
    """The stand-in upstream process."""

    def __init__(self) -> None:
        """Bind the proxy and the admin address."""
        self.database = Database("replica" if _PRIMARY.value else "primary", 1, _PRIMARY.value)
        self.slots = trio.CapacityLimiter(_SLOTS.value)
        self.sessions: dict[Connection, Session] = {}
        self.session_count = 0
        section: Any = {"address": _ADDRESS.value, "connection_limit": _CONNECTIONS.value}
        self.poller = Poller()
        self.server = HttpServer(section, self.start_request, self.poller)
        admin: Any = {"address": admin_address(_ADDRESS.value)}
        self.admin = HttpServer(admin, self.serve_admin_request, self.poller)
        self.history = Path(_HISTORY.value).open("ab", buffering=0) if _HISTORY.value else None
        self.nursery: trio.Nursery
        self.ran: dict[str, int] = {}

    async def run(self) -> None:
        """Serve requests, replicate and announce until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for task in (self.poller.run, self.replicate, self.announce):
                nursery.start_soon(task)

    def start_request(self, request: Request, connection: Connection) -> None:
        """Start a task that processes one proxy request."""
        session = self.sessions.get(connection)
        if session is None:
            self.sessions = {item: s for item, s in self.sessions.items() if not item.is_closed}
            self.session_count += 1
            session = self.sessions[connection] = Session(self.session_count)
        body = msgspec.json.decode(request.body)
        self.nursery.start_soon(self.process_request, request, body, connection, session)

    async def process_request(
        self, request: Request, body: dict[str, Any], connection: Connection, session: Session
    ) -> None:
        """Process one request and send its response."""
        faults = self.database.faults
        if not session.opened:
            session.opened = True
            await trio.sleep(_OPEN_MS.value / 1000)
        if session.serial <= faults.silent_before:
            return
        if _LATENCY_MS.value:
            await trio.sleep(_LATENCY_MS.value / 1000)
        status, value = await self.execute(request.path, body, session)
        response = self.build_response(status, value)
        if _LATENCY_MS.value:
            await trio.sleep(_LATENCY_MS.value / 1000)
        if not connection.is_closed:
            connection.respond(response)

    def build_response(self, status: int, value: Any) -> Response:
        """Return a response with the current term, position and role."""
        database = self.database
        body = {"term": database.term, "position": len(database.log), "role": database.role}
        body["value" if status == 200 else "error"] = value
        return Response(status, body)

    async def execute(self, path: str, body: dict[str, Any], session: Session) -> tuple[int, Any]:
        """Run one request; return the HTTP status, and the value or error."""
        database = self.database
        if path == "/ping":
            return 200, None
        if path == "/promote":
            return self.promote(body)
        if path == "/follow":
            return self.follow(body)
        if path == "/statement":
            return await self.run_statement(body, session)
        if database.role != "primary":
            return 409, "read_only"
        if path == "/begin":
            session.transaction = session.transaction or []
        elif path == "/commit":
            statements = session.transaction or []
            for statement in statements:
                self.commit_write(statement)
            session.transaction = None
            tags = [statement.get("tag", "") for statement in statements]
            self.record("upstream_committed", value=tags)
        elif path == "/rollback":
            session.transaction = None
        return 200, None

    async def run_statement(self, body: dict[str, Any], session: Session) -> tuple[int, Any]:
        """Run one statement; return the HTTP status, and the value or error."""
        database = self.database
        statement = body["statement"]
        if not isinstance(statement, dict) or statement.get("op") == "fail":
            return 422, "invalid statement"
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
        return 200, {"key": statement["key"], "value": self.commit_write(statement)}

    def commit_write(self, statement: dict[str, Any]) -> Any:
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
        """Follow a primary of a newer term; drop the log entries beyond the fork."""
        database = self.database
        if body["term"] > database.term or database.role == "primary":
            database.truncate(body["start_index"])
        database.role, database.primary, database.received = "replica", body["primary"], []
        return 200, None

    async def replicate(self) -> None:
        """As a replica, copy the primary's log with the injected lag."""
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
                self.apply_log(reply.body)

    def apply_log(self, body: dict[str, Any]) -> None:
        """Add entries of the primary's log; apply those received longer ago than the lag."""
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
        """Announce this upstream to the proxies in turn."""
        next_proxy = 0
        clients = [HttpClient(address) for address in _PROXIES.value]
        while clients:
            database = self.database
            client = clients[next_proxy % len(clients)]
            next_proxy += 1
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

    def serve_admin_request(self, request: Request, connection: Connection) -> None:
        """Serve one replication, fault injection or report request."""
        database = self.database
        body = msgspec.json.decode(request.body or b"{}")
        response: dict[str, Any] = {"term": database.term, "role": database.role}
        if request.path == "/log":
            entries = database.log[body["after"] : body["after"] + REPLICATE_BATCH]
            response |= {"entries": entries, "position": len(database.log)}
        elif request.path == "/fault":
            if body.pop("silent", False):
                body["silent_before"] = self.session_count
            if "leaving" in body:
                kind = "upstream_leaving" if body["leaving"] else "upstream_returned"
                self.record(kind)
            for name, value in body.items():
                setattr(database.faults, name, value)
        elif request.path == "/report":
            response |= {
                "name": _NAME.value,
                "position": len(database.log),
                "connections": len(self.server.connections),
                "ran": self.ran,
                "data": database.data,
            }
        connection.respond(Response(200, response))

    def record(self, kind: str, **fields: Any) -> None:
        """Append one record to the history file."""
        if self.history is None:
            return
        database = self.database
        line = {"at_ms": clock_ms(), "source": _NAME.value, "kind": kind, "group": _GROUP.value}
        line |= {"upstream": _NAME.value, "term": database.term, "position": len(database.log)}
        self.history.write(msgspec.json.encode(line | fields) + b"\n")


def main(arguments: list[str]) -> None:
    """Run the stand-in upstream."""
    if len(arguments) > 1:
        sys.exit("the stand-in upstream accepts no positional arguments")
    trio.run(Upstream().run)


if __name__ == "__main__":
    app.run(main)
