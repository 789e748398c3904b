"""Structured logs: one JSON object a line, through loguru.

Lines of one event are bounded: beyond a budget a second they are left out, and the next line of the
event says how many. A stream that is full loses lines rather than block the process; the next line
that is written says how many were lost.
"""

import os
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

if TYPE_CHECKING:
    # Loading pydantic takes a fifth of a gateway's start, and gateways don't need it.
    from .conf import Settings

LINE_FIELDS = ("customer", "request_id", "workspace", "inputs", "outcome", "left_out")
LINES_PER_SECOND = 20  # of one event; a line costs some 30 us, so an event takes 0.1% of a core
WARNINGS_PER_SECOND = 60  # failures go before successes


def set_up_logs(settings: "Settings") -> None:
    """Send log lines to standard error, or to the file of the settings."""
    section = settings.get("log", {})
    identity = {
        "vm": settings["name"],
        "data_centre": settings["data_centre"],
        "role": settings["role"],
    }
    path = section.get("file")
    target = open(path, "a", buffering=1) if path else sys.stderr  # noqa: SIM115

    def write(line: bytes) -> None:
        target.write(line.decode())

    _set_up(identity, section.get("level", "info").upper(), write)


def set_up_stream_logs(identity: dict[str, str], descriptor: int) -> None:
    """Send log lines to a descriptor that must never block the process."""
    _set_up(identity, "INFO", non_blocking_writer(descriptor))


def non_blocking_writer(descriptor: int) -> Callable[[bytes], None]:
    """Return a function that writes lines, and loses them while the descriptor is full."""
    os.set_blocking(descriptor, False)
    unsent = b""
    lost = 0

    def send(data: bytes) -> bytes:
        try:
            return data[os.write(descriptor, data) :]
        except BlockingIOError:
            return data

    def write(line: bytes) -> None:
        nonlocal unsent, lost
        if unsent:
            unsent = send(unsent)
        if unsent:
            lost += 1
            return
        if lost:
            line = msgspec.json.encode({"event": "log_lines_lost", "lost": lost}) + b"\n" + line
            lost = 0
        unsent = send(line)

    return write


@dataclass(slots=True)
class _Budget:
    """How many lines of one event were written in the present second, and left out since."""

    second: int = 0
    written: int = 0
    left_out: int = 0


_budgets: dict[str, _Budget] = {}  # by event


def log_bounded(level: str, event: str, text: str, **fields: object) -> None:
    """Write one line, unless the event's budget for this second is used up."""
    budget = _budgets.setdefault(event, _Budget())
    second = int(time.monotonic())
    if second != budget.second:
        budget.second, budget.written = second, 0
    limit = WARNINGS_PER_SECOND if level != "info" else LINES_PER_SECOND
    if budget.written >= limit:
        budget.left_out += 1
        return
    budget.written += 1
    if budget.left_out:
        fields["left_out"] = budget.left_out
        budget.left_out = 0
    logger.bind(event=event, **fields).log(level.upper(), text)


def _set_up(identity: dict[str, str], level: str, write: Callable[[bytes], None]) -> None:
    logger.remove()

    def write_line(message: Any) -> None:
        record = message.record
        line = {
            "at": record["time"].isoformat(timespec="milliseconds"),
            "at_s": round(record["time"].timestamp(), 4),
            "level": record["level"].name.lower(),
            **identity,
            "event": record["extra"].get("event", record["name"]),
            "text": record["message"],
        }
        for name in LINE_FIELDS:
            if name in record["extra"]:
                line[name] = record["extra"][name]
        if record["exception"] is not None:
            line["exception"] = repr(record["exception"].value)
        write(msgspec.json.encode(line) + b"\n")

    logger.add(write_line, level=level, format="{message}")


def log(level: str, event: str, text: str, **fields: str) -> None:
    """Write one line: the event's name for filters, the text for people."""
    logger.bind(event=event, **fields).log(level.upper(), text)
