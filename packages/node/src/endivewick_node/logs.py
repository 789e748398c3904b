"""Structured logs: one JSON object per line, written through loguru.

Frequent events are rate-limited: lines beyond an event's budget per second are left out, and its
next line has their count. When the output stream is full, lines are dropped instead of blocking the
process, and the next written line is preceded by one with the count of lost lines.
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
    # Importing pydantic takes a fifth of a gateway's start-up time, and gateways don't use it.
    from .conf import Settings

LINE_FIELDS = ("customer", "request_id", "workspace", "inputs", "outcome", "left_out")
# Limits per event. A line costs about 30 us, so an event at the info limit uses 0.1% of a core.
INFO_LINES_PER_SECOND = 20
WARNING_LINES_PER_SECOND = 60  # failures matter more than successes


def set_up_logs(settings: "Settings") -> None:
    """Write log lines to the file that the settings name, or else to standard error."""
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
    """Write log lines to a descriptor without ever blocking the process."""
    _set_up(identity, "INFO", non_blocking_writer(descriptor))


def non_blocking_writer(descriptor: int) -> Callable[[bytes], None]:
    """Return a function that writes lines, and drops them while the descriptor is full."""
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
class _EventBudget:
    """The lines of one event: those written in the current second, and left out since the last."""

    second: int = 0
    written: int = 0
    left_out: int = 0


_budgets_by_event: dict[str, _EventBudget] = {}  # by event


def log_rate_limited(level: str, event: str, text: str, **fields: object) -> None:
    """Write one line, unless the event's budget for the current second is used up."""
    budget = _budgets_by_event.setdefault(event, _EventBudget())
    second = int(time.monotonic())
    if second != budget.second:
        budget.second, budget.written = second, 0
    limit = WARNING_LINES_PER_SECOND if level != "info" else INFO_LINES_PER_SECOND
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
    """Write one line; ``event`` is a fixed name to filter by, ``text`` a readable message."""
    logger.bind(event=event, **fields).log(level.upper(), text)
