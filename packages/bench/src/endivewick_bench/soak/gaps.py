"""Measures how long a service gets no write acknowledged, by what happened meanwhile."""

from collections import defaultdict

from .history import Answered, Committed, Event, Joined, Leaving, Promoted

AFTERMATH_MS = 1_000.0  # a gap that begins up to this long after a promotion belongs to it


def longest_gaps(events: list[Event]) -> dict[str, int]:
    """Return the longest time in ms between two acknowledged writes to a service, by cause.

    The cause is a planned or an unplanned change of the primary, or no change.
    """
    longest: defaultdict[str, float] = defaultdict(float)
    service_of: dict[str, str] = {}
    primary_of: dict[str, str] = {}
    leaving: set[str] = set()
    acknowledged_ms: dict[str, float] = {}
    changed: dict[str, tuple[float, str]] = {}

    def end_gap(service: str, at_ms: float) -> None:
        began_ms = acknowledged_ms.get(service, at_ms)
        changed_ms, cause = changed.get(service, (float("-inf"), ""))
        if began_ms > changed_ms + AFTERMATH_MS:
            cause = "no change"
        longest[cause] = max(longest[cause], at_ms - began_ms)
        acknowledged_ms[service] = at_ms

    for event in events:
        if isinstance(event, Leaving):
            leaving.add(event.upstream)
        if isinstance(event, Joined):
            leaving.discard(event.upstream)
        if isinstance(event, Committed):
            service_of.update(dict.fromkeys(event.request_ids, event.service))
            primary_of.setdefault(event.service, event.upstream)
        if isinstance(event, Promoted):
            is_planned = primary_of.get(event.service) in leaving
            changed[event.service] = (event.at_ms, "planned" if is_planned else "unplanned")
            primary_of[event.service] = event.upstream
        if isinstance(event, Answered) and event.outcome == "ok" and event.request_id in service_of:
            end_gap(service_of[event.request_id], event.at_ms)
    for service in list(acknowledged_ms):
        end_gap(service, max(item.at_ms for item in events if isinstance(item, Answered)))
    return {cause: round(gap_ms) for cause, gap_ms in longest.items()}
