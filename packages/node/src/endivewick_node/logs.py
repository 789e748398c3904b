"""Structured logs: one JSON object a line, through loguru."""

import sys
from typing import Any

import msgspec
from loguru import logger

from .conf import Settings

LINE_FIELDS = ("customer", "request_id")


def set_up_logs(settings: Settings) -> None:
    """Send log lines to standard error, or to the file of the settings."""
    section = settings.get("log", {})
    identity = {
        "vm": settings["name"],
        "data_centre": settings["data_centre"],
        "role": settings["role"],
    }
    logger.remove()
    level = section.get("level", "info").upper()
    path = section.get("file")
    target = open(path, "a", buffering=1) if path else sys.stderr  # noqa: SIM115

    def write_line(message: Any) -> None:
        record = message.record
        line = {
            "at": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name.lower(),
            **identity,
            "event": record["extra"].get("event", record["name"]),
            "text": record["message"],
        }
        for field in LINE_FIELDS:
            if field in record["extra"]:
                line[field] = record["extra"][field]
        if record["exception"] is not None:
            line["exception"] = repr(record["exception"].value)
        target.write(msgspec.json.encode(line).decode() + "\n")

    logger.add(write_line, level=level, format="{message}")


def log(level: str, event: str, text: str, **fields: str) -> None:
    """Write one line: the event's name for filters, the text for people."""
    logger.bind(event=event, **fields).log(level.upper(), text)
