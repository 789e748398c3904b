"""The shell of a control process: durable effects are synced before any later effect."""

import ssl
from collections.abc import Callable
from pathlib import Path
from typing import Any

import trio
from endivewick_core.codec import CodecFault, decode, encode
from endivewick_core.commands import COMMANDS, ChangeMembership
from endivewick_core.control import effects as fx
from endivewick_core.control.events import Event, MessageReceived, OperatorRequested, Tick
from endivewick_core.control.log import Log
from endivewick_core.control.reducer import reduce
from endivewick_core.control.state import (
    ControlSettings,
    ControlState,
    Membership,
    Role,
    decode_membership,
)
from endivewick_core.exceptions import Failure
from endivewick_core.machine import decode_machine
from endivewick_core.messages import CODEC, Member

from .clock import draw, now_ms
from .conf import Settings
from .control_api import parse_operator
from .http_server import Answer, Connection, HttpServer, Request
from .logs import log
from .metrics import Metrics, open_metrics
from .proxy_api import failure_answer
from .sockets import Poller
from .storage import Storage, Stored, StoredSnapshot, StoredVote
from .transport import Transport

TICK_MS = 20
METRICS_INTERVAL_MS = 1_000


def control_settings(settings: Settings) -> ControlSettings:
    """Return the reducer's settings; defaults stand in ControlSettings."""
    section = dict(settings["control"])
    members = settings["control"]["members"]
    section.pop("members")
    return ControlSettings(
        members={member["name"]: member["address"] for member in members},
        operator_addresses={member["name"]: member["operator_address"] for member in members},
        **section,  # type: ignore[arg-type]
    )


def restore_state(
    settings: ControlSettings, name: str, address: str, stored: Stored
) -> ControlState:
    """Return the state that the data folder held."""
    state = ControlState(settings, Member(stored.member_id, name, address))
    if stored.vote is not None:
        state.term, state.voted_for = stored.vote
        state.role = Role.FOLLOWER
    if stored.snapshot is not None:
        snapshot = stored.snapshot
        state.log = Log(snapshot.last_index, snapshot.last_term)
        state.machine = decode_machine(snapshot.machine)
        state.snapshot_membership = decode_membership(snapshot.membership)
        state.commit_index = snapshot.last_index
        state.role = Role.FOLLOWER
    for entry in stored.entries:
        state.log.entries.append(entry)
        command = decode(COMMANDS, entry.command)
        if isinstance(command, ChangeMembership):
            membership = Membership(command.voters, command.learners)
            state.memberships.append((entry.log_index, membership))
    return state


class ControlNode:
    """One control process."""

    def __init__(self, settings: Settings, tls: ssl.SSLContext | None) -> None:
        """Open the data folder and bind every address."""
        self._metrics: Metrics = open_metrics(settings.get("statsd"))
        self._storage = Storage(Path(settings["data_folder"]))
        stored = self._storage.load(settings["name"])
        address = settings["cluster"]["address"]
        self._state = restore_state(control_settings(settings), settings["name"], address, stored)
        self._state.election_due_ms = now_ms() + self._state.settings.election_timeout_ms
        if stored.cut_bytes:
            text = f"removed {stored.cut_bytes} bytes of a write that was cut short"
            log("warning", "log_tail_cut", text)
        self._operator_key = settings.get("operator_key", "")
        self._transport = Transport(settings["cluster"], self._count_dropped)
        self._poller = Poller()
        self._server = HttpServer(settings["http"], self._handle_request, self._poller, tls)
        self._operators: dict[int, Connection] = {}
        self._next_number = 1
        self._stopped = trio.Event()

    async def run(self) -> None:
        """Serve until told to stop; every promise is on disk, so stopping needs no handover."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poller.run)
            nursery.start_soon(self._server.sweep)
            nursery.start_soon(self._transport.receive, self._receive)
            nursery.start_soon(self._tick)
            nursery.start_soon(self._report)
            await self._stopped.wait()
            nursery.cancel_scope.cancel()
        self._transport.close()
        self._storage.close()

    def drain(self) -> None:
        """End the process."""
        log("info", "stopped", "a planned stop")
        self._stopped.set()

    def _reduce(self, event: Event) -> None:
        for effect in reduce(self._state, event):
            _CARRY_OUT[type(effect)](self, effect)

    def _handle_request(self, request: Request, connection: Connection) -> None:
        if request.path == "/v1/health":
            healthy = self._state.role is Role.LEADER or bool(self._state.leader)
            connection.answer(Answer(200 if healthy else 503, {"healthy": healthy}))
            return
        parsed = parse_operator(request, self._operator_key)
        if isinstance(parsed, Failure):
            connection.answer(failure_answer(parsed))
            return
        number = self._next_number
        self._next_number += 1
        self._operators[number] = connection
        self._reduce(OperatorRequested(now_ms(), number, parsed))

    def _receive(self, sender: str, frame: bytes) -> None:
        message = decode(CODEC, frame)
        if isinstance(message, CodecFault):
            self._metrics.count("messages.unreadable")
            log("warning", "message_unreadable", f"{sender}: {message.reason}")
            return
        self._metrics.count("messages.received")
        self._reduce(MessageReceived(now_ms(), message))

    async def _tick(self) -> None:
        while True:
            self._reduce(Tick(now_ms(), draw()))
            await trio.sleep(TICK_MS / 1000)

    def _save_vote(self, effect: fx.SaveVote) -> None:
        self._storage.save_vote(StoredVote(effect.term, effect.voted_for))

    def _append_entries(self, effect: fx.AppendEntries) -> None:
        self._storage.append(0, effect.entries)

    def _truncate_log(self, effect: fx.TruncateLog) -> None:
        self._storage.append(effect.from_index, [])

    def _save_snapshot(self, effect: fx.SaveSnapshot) -> None:
        snapshot = StoredSnapshot(*effect)
        log_ = self._state.log
        following = [item for item in log_.entries if item.log_index > effect.last_index]
        self._storage.save_snapshot(snapshot, following)
        log("info", "snapshot_saved", f"snapshot at index {effect.last_index}")

    def _send(self, effect: fx.Send) -> None:
        self._transport.send(effect.address, encode(effect.message))

    def _answer_operator(self, effect: fx.AnswerOperator) -> None:
        connection = self._operators.pop(effect.number)
        connection.answer(Answer(effect.status, effect.body))

    def _note(self, effect: fx.Note) -> None:
        self._metrics.count(f"notes.{effect.name}")
        log(effect.level, effect.name, effect.text)

    def _count_dropped(self) -> None:
        self._metrics.count("messages.dropped")

    async def _report(self) -> None:
        while True:
            await trio.sleep(METRICS_INTERVAL_MS / 1000)
            state = self._state
            self._metrics.gauge("control.term", state.term)
            self._metrics.gauge("control.commit_index", state.commit_index)
            self._metrics.gauge("control.leads", int(state.role is Role.LEADER))
            if state.leading is not None:
                self._metrics.gauge("control.proxies", len(state.leading.leases))
            self._metrics.flush()


_CARRY_OUT: dict[type, Callable[[ControlNode, Any], None]] = {
    fx.SaveVote: ControlNode._save_vote,
    fx.AppendEntries: ControlNode._append_entries,
    fx.TruncateLog: ControlNode._truncate_log,
    fx.SaveSnapshot: ControlNode._save_snapshot,
    fx.Send: ControlNode._send,
    fx.AnswerOperator: ControlNode._answer_operator,
    fx.Note: ControlNode._note,
}
