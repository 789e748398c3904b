"""Explain what became of a request from the log lines of all processes.

The lines of a request name its service and the VM that served it. Around them stand the changes of
belief that could have decided it: what that VM and control took for the primary, the upstreams, the
configuration and each other.
"""

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from .exceptions import REFUSED, USAGE, CommandFailed
from .render import print_json

BEFORE_S = 5.0  # how far back a change of belief can decide a request: the longest time budgets
AFTER_S = 1.0  # what ends a request is logged at once by the other processes too


class LogLine(NamedTuple):
    """One line: when it was written, in seconds, and its fields."""

    at_s: float
    fields: dict[str, Any]


def explain(request_id: str, paths: list[str], as_json: bool) -> None:
    """Print the story of a request from log files, or from standard input where none is named."""
    lines = sorted(_read_all(paths), key=lambda line: line.at_s)
    own = [line for line in lines if _is_own(line, request_id)]
    if not own:
        advice = (
            "check the id and the files; lines of successes in time are not written, and "
            "`left_out` in a line of the same event says whether lines are missing"
        )
        raise CommandFailed(REFUSED, f"no line names request {request_id}", advice)
    bears_on = _relevance(own)
    story = [line for line in lines if _is_own(line, request_id) or bears_on(line)]
    if as_json:
        print_json([line.fields for line in story])
        return
    for line, count in _collapse(story):
        repeated = f"  (and {count - 1} more like it)" if count > 1 else ""
        print(_describe(line, own[0].at_s) + repeated)


def _is_own(line: LogLine, request_id: str) -> bool:
    return line.fields.get("request_id") == request_id


def _collapse(story: list[LogLine]) -> list[tuple[LogLine, int]]:
    """Count the lines that differ from an earlier one by their time only."""
    counts: dict[str, int] = {}
    firsts: list[tuple[str, LogLine]] = []
    for line in story:
        names = ("vm", "event", "outcome", "request_id")
        key = json.dumps([line.fields.get(name) for name in names])
        if not line.fields.get("request_id"):
            key += json.dumps(line.fields.get("inputs", {}).get("upstream", ""))
        if key not in counts:
            firsts.append((key, line))
        counts[key] = counts.get(key, 0) + 1
    return [(line, counts[key]) for key, line in firsts]


def _relevance(own: list[LogLine]) -> Callable[[LogLine], bool]:
    """Return a function that tells whether a line without a request's id can have decided it."""
    from_s, to_s = own[0].at_s - BEFORE_S, own[-1].at_s + AFTER_S
    vms = {item.fields.get("vm") for item in own}
    services = {item.fields.get("inputs", {}).get("service") for item in own} - {None}

    def bears_on(line: LogLine) -> bool:
        if line.fields.get("request_id") or not from_s <= line.at_s <= to_s:
            return False
        if line.fields.get("vm") in vms:
            return True
        if line.fields.get("role") != "control":
            return False
        text = json.dumps(line.fields)
        return any(service in text for service in services)

    return bears_on


def _describe(line: LogLine, start_s: float) -> str:
    fields = line.fields
    mark = ">" if fields.get("request_id") else " "
    offset_ms = round((line.at_s - start_s) * 1000)
    words = [f"{mark} {offset_ms:+6d} ms", str(fields.get("vm", "?")), str(fields.get("event"))]
    outcome = fields.get("outcome") or fields.get("text")
    if outcome:
        words.append(str(outcome))
    inputs = fields.get("inputs", {})
    words += [f"{name}={value}" for name, value in inputs.items() if value not in (None, "", [])]
    if "left_out" in fields:
        words.append(f"({fields['left_out']} lines of this event were left out before)")
    return "  ".join(words)


def _read_all(paths: list[str]) -> list[LogLine]:
    if not paths:
        return _parse(sys.stdin.read())
    lines: list[LogLine] = []
    for path in paths:
        try:
            lines += _parse(Path(path).read_text(errors="replace"))
        except OSError as error:
            message = f"{path} can't be read: {error.strerror}"
            raise CommandFailed(USAGE, message, "name a file that exists") from error
    return lines


def _parse(text: str) -> list[LogLine]:
    """Return the JSON lines in a text; a prefix that a collector put before them is skipped."""
    lines: list[LogLine] = []
    for raw in text.splitlines():
        start = raw.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(raw[start:])
        except json.JSONDecodeError:
            continue
        if not isinstance(fields, dict) or "event" not in fields:
            continue
        lines.append(LogLine(float(fields.get("at_s", 0.0)), fields))
    return lines
