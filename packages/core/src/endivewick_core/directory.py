"""The directory of upstreams: what each upstream last reported of itself.

Every control process holds a directory, and every gateway a copy of it. Records merge by the order
in which their upstream wrote them, ``(born_ms, sequence)``, so a late report never undoes a newer
one, and it doesn't matter by which way a record arrives.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

FORGET_MS = 60_000  # longer than any delayed report may travel


class UpstreamState(StrEnum):
    """What an upstream says of itself; ``GONE`` once it has said goodbye."""

    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"


class UpstreamReport(NamedTuple):
    """One report of an upstream.

    ``born_ms`` is the upstream's start in Unix milliseconds, only compared with other starts of
    the same upstream. ``sequence`` increases with each report of one start.
    """

    upstream: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: UpstreamState
    is_primary: bool
    warmup_left_ms: int
    born_ms: int
    sequence: int


@dataclass(slots=True)
class DirectoryEntry:
    """A report, the revision at which this process took it and when it was heard of last."""

    report: UpstreamReport
    revision: int
    heard_ms: int


@dataclass(slots=True)
class Directory:
    """The entries by upstream; ``revision`` counts this process's changes."""

    entries: dict[str, DirectoryEntry] = field(default_factory=dict)
    revision: int = 0


def merge_report(directory: Directory, now_ms: int, report: UpstreamReport, age_ms: int) -> bool:
    """Take a report that is ``age_ms`` old; tell whether it changes what is known."""
    known = directory.entries.get(report.upstream)
    heard_ms = now_ms - age_ms
    report = _without_address(directory, report)
    if known is None:
        directory.revision += 1
        directory.entries[report.upstream] = DirectoryEntry(report, directory.revision, heard_ms)
        return True
    if _order(report) < _order(known.report):
        return False
    known.heard_ms = max(known.heard_ms, heard_ms)
    changed = _content(report) != _content(known.report)
    known.report = report
    if changed:
        directory.revision += 1
        known.revision = directory.revision
    return changed


def _without_address(directory: Directory, report: UpstreamReport) -> UpstreamReport:
    """Settle who has the report's address: the upstream that started last.

    An upstream that crashed without a goodbye is gone once another one has started at its address,
    and a late report of it stays without effect.
    """
    if report.state is UpstreamState.GONE:
        return report
    for entry in directory.entries.values():
        other = entry.report
        if other.address != report.address or other.upstream == report.upstream:
            continue
        if other.state is UpstreamState.GONE or other.born_ms == report.born_ms:
            continue
        if other.born_ms > report.born_ms:
            return _gone(report)
        directory.revision += 1
        entry.revision = directory.revision
        entry.report = _gone(other)
    return report


def leave(directory: Directory, now_ms: int, upstream: str) -> UpstreamReport | None:
    """Record that an upstream said goodbye; return its last record, or None where unknown."""
    known = directory.entries.get(upstream)
    if known is None:
        return None
    report = _gone(known.report)
    merge_report(directory, now_ms, report, 0)
    return report


def forget_gone(directory: Directory, now_ms: int) -> None:
    """Drop the entries that can't be confused with a late report any more."""
    for name, entry in list(directory.entries.items()):
        if now_ms - entry.heard_ms > FORGET_MS:
            del directory.entries[name]


def _gone(report: UpstreamReport) -> UpstreamReport:
    return report._replace(state=UpstreamState.GONE, is_primary=False)


def _order(report: UpstreamReport) -> tuple[int, int, bool]:
    return (report.born_ms, report.sequence, report.state is UpstreamState.GONE)


def _content(report: UpstreamReport) -> UpstreamReport:
    """Return the report without the fields that change with every report."""
    return report._replace(sequence=0, warmup_left_ms=0)
