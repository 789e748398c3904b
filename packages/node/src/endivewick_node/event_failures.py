"""Unexpected errors while a process handles one event.

An error in an event of one peer, such as a session, ends that peer's connection instead of the
process. An error in any other event still ends the process: it may have left the state half
changed, and a restart begins with a clean one.
"""

import traceback

from .logs import log_rate_limited

CONNECTION_CLOSED_TEXT = "closed after an internal error; see event_failed"
TRACEBACK_LINES = 12  # the innermost calls; a log line stays within some kilobytes


def log_failure(event: object, error: Exception) -> None:
    """Log an error with the event that caused it and the innermost calls."""
    lines = traceback.format_exception(error)
    text = "".join(lines).rstrip().splitlines()[-TRACEBACK_LINES:]
    name = type(event).__name__
    log_rate_limited("error", "event_failed", f"{name} failed: {error!r}", traceback=text)
