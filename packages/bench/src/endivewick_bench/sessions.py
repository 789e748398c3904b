"""Callers that send requests in sessions over HTTP and record requests and responses."""

from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any

import trio

from .checkers import Record, clock_ms
from .http_client import ConnectionLost, HttpClient, Reply

DEADLINE_MS = 8_000
RESPONSE_TIMEOUT_S = 12.0
MAX_ATTEMPTS = 4
RETRY_PAUSE_S = 0.2
REQUEST_PAUSE_S = 0.01


@dataclass(slots=True)
class Recorder:
    """The recorded history of one run."""

    records: list[Record] = field(default_factory=list)

    def add(self, source: str, kind: str, **fields: Any) -> None:
        """Append one record with the current time."""
        self.records.append(Record(clock_ms(), source, kind, **fields))


@dataclass(slots=True)
class Session:
    """One caller, which sends each request to any proxy with its session token."""

    name: str
    customer: str
    group: str
    proxies: dict[str, str]
    recorder: Recorder
    random: Random
    token: str = ""
    lost_sessions: int = 0
    serial: Any = field(default_factory=lambda: count(1))
    values: Any = field(default_factory=lambda: count(1))
    clients: dict[str, HttpClient] = field(default_factory=dict)
    healthy: set[str] = field(default_factory=set)

    async def run(self, stop_event: trio.Event) -> None:
        """Send random requests of all kinds until ``stop_event`` is set."""
        while not stop_event.is_set():
            choice = self.random.random()
            if choice < 0.45:
                await self.send("read")
            elif choice < 0.70:
                await self.send("write", value=next(self.values))
            elif choice < 0.85:
                await self.write_with_request_id()
            else:
                await self.transaction()
            await trio.sleep(REQUEST_PAUSE_S)
        for client in self.clients.values():
            client.close()

    async def send(self, operation: str, **options: Any) -> Reply | None:
        """Send one attempt to any proxy; record it and its response."""
        proxy = self.random.choice(sorted(self.healthy) or list(self.proxies))
        label = options.get("label") or self.name
        tag = f"{label}/{next(self.serial)}"
        key = options.get("key") or self.own_key()
        path, body = self._request(operation, key, tag, options)
        transaction = options.get("transaction", "")
        common_fields: dict[str, Any] = {
            "tag": tag,
            "session": f"{self.name}.{self.lost_sessions}",
            "operation": operation,
            "group": self.group,
        }
        self.recorder.add(
            proxy,
            "invoke",
            key=key,
            value=options.get("value"),
            request_id=options.get("request_id", ""),
            transaction=label if transaction else "",
            **common_fields,
        )
        reply = await self._call(proxy, path, body)
        self._record_response(proxy, reply, common_fields)
        return reply

    async def write_with_request_id(self) -> None:
        """Send a write that must not run twice; resend it with its request id until it succeeds."""
        reply = await self.send("issue_ids")
        if reply is None or reply.status != 200:
            return
        request_id = reply.body["value"]["request_ids"][0]
        value = next(self.values)
        options = {"request_id": request_id, "key": f"once.{self.name}.{value}", "value": value}
        options["statement_tag"] = f"{self.name}/{self.peek_serial()}"
        for _ in range(MAX_ATTEMPTS):
            reply = await self.send("write", **options)
            if reply is not None and reply.status == 200:
                return
            await trio.sleep(RETRY_PAUSE_S)

    async def transaction(self) -> None:
        """Write twice in one transaction and commit it, each request to any proxy."""
        label = f"{self.name}.t{next(self.serial)}"
        reply = await self.send("begin")
        if reply is None or reply.status != 200:
            return
        common_fields = {
            "transaction": reply.body["value"]["transaction"],
            "label": label,
            "key": f"tx.{self.name}",
        }
        for _ in range(2):
            reply = await self.send("write", value=next(self.values), **common_fields)
            if reply is None or reply.status != 200:
                return
        await self.send("commit", **common_fields)

    def own_key(self) -> str:
        """Return a key that only this session writes."""
        return f"{self.name}.{self.lost_sessions}"

    def peek_serial(self) -> int:
        """Return the serial number of the next attempt without using it up."""
        number = next(self.serial)
        self.serial = count(number)
        return number

    def _request(
        self, operation: str, key: str, tag: str, options: dict[str, Any]
    ) -> tuple[str, dict[str, Any]]:
        body: dict[str, Any] = {"customer": self.customer, "deadline_ms": DEADLINE_MS}
        if operation == "issue_ids":
            return "/v1/request-ids", body
        if operation == "begin":
            return "/v1/transactions", body
        if operation == "commit":
            body |= {"transaction": options["transaction"], "outcome": "commit"}
            return "/v1/transactions/end", body
        op = "get" if operation == "read" else "set"
        statement_tag = options.get("statement_tag") or tag
        statement = {"name": op, "op": op, "key": key, "value": options.get("value")}
        statement["tag"] = statement_tag
        body |= {"kind": operation, "statement": statement}
        for name in ("request_id", "transaction"):
            if options.get(name):
                body[name] = options[name]
        return "/v1/statements", body

    async def _call(self, proxy: str, path: str, body: dict[str, Any]) -> Reply | None:
        client = self.clients.setdefault(proxy, HttpClient(self.proxies[proxy]))
        try:
            with trio.fail_after(RESPONSE_TIMEOUT_S):
                return await client.call("POST", path, body, self.token)
        except (ConnectionLost, trio.TooSlowError):
            return None

    def _record_response(
        self, proxy: str, reply: Reply | None, common_fields: dict[str, Any]
    ) -> None:
        if reply is None:
            self.recorder.add(proxy, "answer", outcome="cut", **common_fields)
            return
        body = reply.body
        value = body.get("value")
        row = value if isinstance(value, dict) else {}
        self.recorder.add(
            proxy,
            "answer",
            outcome="ok" if reply.status == 200 else str(body.get("error")),
            ran=str(body.get("ran", "run")),
            value=row.get("value"),
            key=row.get("key") or "",
            upstream=body.get("upstream", ""),
            role=body.get("role", ""),
            term=body.get("term", 0),
            position=body.get("position", 0),
            **common_fields,
        )
        if body.get("error") == "session_lost":
            self.token = ""
            self.lost_sessions += 1
        elif reply.token:
            self.token = reply.token
