"""The directory of upstreams: the last report of each upstream about itself.

Every control process holds a directory, and every gateway a copy of it. Reports of an upstream are
ordered by ``(born_ms, sequence)`` as the upstream sent them. A report that arrives late therefore
never overwrites a newer one, whichever process it came from.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

RETENTION_MS = 60_000  # longer than a report may be delayed on its way
# Of the departure of an upstream that had announced it, or has a successor: it is the last report
# of that start, although a late one may have a higher sequence than those that were known before.
FINAL_SEQUENCE = 2**53


class UpstreamState(StrEnum):
    """The state that an upstream reports; ``GONE`` once it has departed or was replaced."""

    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"


class UpstreamReport(NamedTuple):
    """One report of an upstream about itself.

    ``born_ms`` is when the upstream started, in Unix milliseconds. It is compared only with other
    starts of the same upstream or at the same address. ``sequence`` increases with each report
    since that start.
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
    """An upstream's last report.

    ``revision`` is the directory's revision at the last change of the report, and
    ``last_contact_ms`` the last time at which the upstream is known to have sent a report.
    """

    report: UpstreamReport
    revision: int
    last_contact_ms: int


@dataclass(slots=True)
class Directory:
    """The entries by upstream; ``revision`` counts the changes in this process's copy."""

    entries: dict[str, DirectoryEntry] = field(default_factory=dict)
    revision: int = 0


def merge_report(directory: Directory, now_ms: int, report: UpstreamReport, age_ms: int) -> bool:
    """Merge a report that is ``age_ms`` old; return whether it changed the directory's content."""
    entry = directory.entries.get(report.upstream)
    last_contact_ms = now_ms - age_ms
    report = _resolve_address(directory, report)
    if entry is None:
        directory.revision += 1
        directory.entries[report.upstream] = DirectoryEntry(
            report, directory.revision, last_contact_ms
        )
        return True
    if _order(report) < _order(entry.report):
        return False
    entry.last_contact_ms = max(entry.last_contact_ms, last_contact_ms)
    changed = _content(report) != _content(entry.report)
    entry.report = report
    if changed:
        directory.revision += 1
        entry.revision = directory.revision
    return changed


def _resolve_address(directory: Directory, report: UpstreamReport) -> UpstreamReport:
    """Resolve two upstreams with one address in favour of the one that started last.

    The other one is marked as departed: it crashed, without reporting that it departs, before its
    successor started at the same address. A late report of it is marked as departed too. Return the
    report to merge.
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
        entry.report = _gone(other)._replace(sequence=FINAL_SEQUENCE)
    return report


def departed_since(directory: Directory, report: UpstreamReport) -> DirectoryEntry | None:
    """Return the entry of an upstream that departed after it sent a report, None if it did not."""
    entry = directory.entries.get(report.upstream)
    if entry is None or entry.report.state is not UpstreamState.GONE:
        return None
    return entry if _order(report) < _order(entry.report) else None


def mark_gone(directory: Directory, now_ms: int, upstream: str) -> UpstreamReport | None:
    """Mark an upstream as departed; return its last report, None if it is unknown."""
    entry = directory.entries.get(upstream)
    if entry is None:
        return None
    report = _gone(entry.report)
    merge_report(directory, now_ms, report, 0)
    return report


def remove_expired(directory: Directory, now_ms: int) -> None:
    """Remove the entries of upstreams without a report for longer than one can be delayed."""
    for name, entry in list(directory.entries.items()):
        if now_ms - entry.last_contact_ms > RETENTION_MS:
            del directory.entries[name]


def _gone(report: UpstreamReport) -> UpstreamReport:
    """Return the report of an upstream's departure.

    A departure that was not announced may be that of an earlier start under the same name, so a
    later report revokes it.
    """
    is_final = report.state is not UpstreamState.READY
    sequence = FINAL_SEQUENCE if is_final else report.sequence
    return report._replace(state=UpstreamState.GONE, is_primary=False, sequence=sequence)


def _order(report: UpstreamReport) -> tuple[int, int, bool]:
    return (report.born_ms, report.sequence, report.state is UpstreamState.GONE)


def _content(report: UpstreamReport) -> UpstreamReport:
    """Return the report without the fields that differ in every report."""
    return report._replace(sequence=0, warmup_left_ms=0)
