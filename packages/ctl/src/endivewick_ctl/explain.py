"""Shows the log lines of all processes that explain the outcome of one request.

The lines of a request name its service and the VM that served it. Lines that were logged around the
same time by that VM, or by control about that service, are added, since they report the changes of
state that may have decided the outcome: the primary, the upstreams, the configuration, and which
other processes were reachable.
"""

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from .exceptions import REFUSED, USAGE, CommandFailed
from .render import print_json

# A change of state can affect a request for as long as the longest timeouts.
BEFORE_S = 5.0
# Other processes log the cause of a request's end without delay.
AFTER_S = 1.0


class LogLine(NamedTuple):
    """A log line: the time at which it was written, in seconds, and its fields."""

    at_s: float
    fields: dict[str, Any]


def explain(request_id: str, paths: list[str], as_json: bool) -> None:
    """Print the log lines that explain a request, from files or else from standard input."""
    lines = sorted(_read_all(paths), key=lambda line: line.at_s)
    request_lines = [line for line in lines if _has_request_id(line, request_id)]
    if not request_lines:
        advice = (
            "check the id and the files; requests that succeed in time are not logged, and "
            "`left_out` in a line of the same event counts the lines that were not written"
        )
        raise CommandFailed(REFUSED, f"no log line has request id {request_id}", advice)
    is_relevant = _relevance_filter(request_lines)
    related = [line for line in lines if _has_request_id(line, request_id) or is_relevant(line)]
    if as_json:
        print_json([line.fields for line in related])
        return
    for line, count in _group_repeats(related):
        repeated = f"  (repeated {count - 1} more times)" if count > 1 else ""
        print(_format_line(line, request_lines[0].at_s) + repeated)


def _has_request_id(line: LogLine, request_id: str) -> bool:
    return line.fields.get("request_id") == request_id


def _group_repeats(related: list[LogLine]) -> list[tuple[LogLine, int]]:
    """Return the first of each set of repeated lines, with the size of the set.

    Two lines are the same if their VM, event, outcome and request are. Without a request, their
    upstreams are compared too.
    """
    counts: dict[str, int] = {}
    first_lines: list[tuple[str, LogLine]] = []
    for line in related:
        key_fields = ("vm", "event", "outcome", "request_id")
        key = json.dumps([line.fields.get(name) for name in key_fields])
        if not line.fields.get("request_id"):
            key += json.dumps(line.fields.get("inputs", {}).get("upstream", ""))
        if key not in counts:
            first_lines.append((key, line))
        counts[key] = counts.get(key, 0) + 1
    return [(line, counts[key]) for key, line in first_lines]


def _relevance_filter(request_lines: list[LogLine]) -> Callable[[LogLine], bool]:
    """Return a function that tells whether a line of no request may explain the given lines."""
    start_s, end_s = request_lines[0].at_s - BEFORE_S, request_lines[-1].at_s + AFTER_S
    vms = {item.fields.get("vm") for item in request_lines}
    services = {item.fields.get("inputs", {}).get("service") for item in request_lines} - {None}

    def is_relevant(line: LogLine) -> bool:
        if line.fields.get("request_id") or not start_s <= line.at_s <= end_s:
            return False
        if line.fields.get("vm") in vms:
            return True
        if line.fields.get("role") != "control":
            return False
        text = json.dumps(line.fields)
        return any(service in text for service in services)

    return is_relevant


def _format_line(line: LogLine, start_s: float) -> str:
    fields = line.fields
    marker = ">" if fields.get("request_id") else " "
    offset_ms = round((line.at_s - start_s) * 1000)
    parts = [f"{marker} {offset_ms:+6d} ms", str(fields.get("vm", "?")), str(fields.get("event"))]
    outcome = fields.get("outcome") or fields.get("text")
    if outcome:
        parts.append(str(outcome))
    inputs = fields.get("inputs", {})
    parts += [f"{name}={value}" for name, value in inputs.items() if value not in (None, "", [])]
    if "left_out" in fields:
        parts.append(f"({fields['left_out']} earlier lines of this event were not written)")
    return "  ".join(parts)


def _read_all(paths: list[str]) -> list[LogLine]:
    if not paths:
        return _parse(sys.stdin.read())
    lines: list[LogLine] = []
    for path in paths:
        try:
            lines += _parse(Path(path).read_text(errors="replace"))
        except OSError as error:
            message = f"{path} can't be read: {error.strerror}"
            raise CommandFailed(USAGE, message, "give the path of a readable file") from error
    return lines


def _parse(text: str) -> list[LogLine]:
    """Return the JSON lines in a text.

    A prefix that a log collector put before the JSON is skipped.
    """
    lines: list[LogLine] = []
    for raw_line in text.splitlines():
        json_start = raw_line.find("{")
        if json_start < 0:
            continue
        try:
            fields = json.loads(raw_line[json_start:])
        except json.JSONDecodeError:
            continue
        if not isinstance(fields, dict) or "event" not in fields:
            continue
        lines.append(LogLine(float(fields.get("at_s", 0.0)), fields))
    return lines
