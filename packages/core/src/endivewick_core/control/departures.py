"""Departed upstreams, and how far their logs reached at most.

A departed replica may have had commits that no other one received, but none that the primary made
after the departure.
"""

from ..directory import INFERRED_SEQUENCE, DirectoryEntry, UpstreamState
from ..positions import Position
from .service_state import Departure
from .state import ControlState


def record_departures(state: ControlState, now_ms: int) -> None:
    """Record the upstreams that have departed for good, and drop those that the directory drops.

    A departure that was not announced may turn out to be wrong, and is not recorded.
    """
    known = state.watch.departures
    current: dict[str, dict[str, Departure]] = {}
    for entry in state.directory_state.directory.entries.values():
        report = entry.report
        if report.state is not UpstreamState.GONE or report.sequence < INFERRED_SEQUENCE:
            continue
        departure = known.get(report.service, {}).get(report.upstream)
        if departure is None or departure.revision != entry.revision:
            departure = Departure(entry.revision, now_ms)
        current.setdefault(report.service, {})[report.upstream] = departure
    state.watch.departures = current


def bound_departures(state: ControlState, service: str, probed_ms: int, position: Position) -> None:
    """Bound the logs that departed before a probe of the primary by the position in its answer."""
    departures = state.watch.departures.get(service, {})
    for upstream, departure in departures.items():
        if departure.bound is None and departure.learned_ms < probed_ms:
            departures[upstream] = departure._replace(bound=position)


def may_exceed(state: ControlState, entry: DirectoryEntry, received: Position) -> bool:
    """Return whether a departed upstream may have had commits after ``received``."""
    departure = state.watch.departures.get(entry.report.service, {}).get(entry.report.upstream)
    if departure is None or departure.revision != entry.revision or departure.bound is None:
        return True
    return received < departure.bound
