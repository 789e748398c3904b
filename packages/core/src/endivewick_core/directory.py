"""The directory of upstreams: the last report of each upstream about itself.

Every control process holds a directory, and every gateway a copy of it. Reports of an upstream are
ordered by ``(born_ms, sequence)`` as the upstream sent them. A report that arrives late therefore
never overwrites a newer one, whichever process it came from.

An address may be used again after a crash, and a late report of the upstream that crashed may come
after that. But a report can also name an address by mistake. Two upstreams at one address are told
apart by what goes on: the earlier one has departed if it has been silent since, and a departure
that was only inferred is revoked by further reports over some seconds. Late reports come at once.
"""

from collections.abc import Container
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

RETENTION_MS = 60_000  # longer than a report may be delayed on its way
# Of the departure of an upstream that had announced it: it is the last report of that start,
# although a late one may have a higher sequence than those that were known before.
FINAL_SEQUENCE = 2**53
# The same for a departure that was inferred from a later start at its address.
INFERRED_SEQUENCE = FINAL_SEQUENCE - 1
SILENT_MS = 2_500  # two missed reports
# An upstream that was taken for departed runs after this many reports within at least this time.
LIVE_REPORTS = 3
LIVE_SPAN_MS = 2_000


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
    ``is_apart`` is whether no configuration names its service, so that it takes part in nothing.
    ``evidence`` holds the sequences, and the times in ms, of reports since a departure that was
    inferred, and ``last_sequence`` the sequence of the last report before it.
    """

    report: UpstreamReport
    revision: int
    last_contact_ms: int
    is_apart: bool = False
    evidence: list[tuple[int, int]] = field(default_factory=list)
    last_sequence: int = -1


@dataclass(slots=True)
class Directory:
    """The entries by upstream; ``revision`` counts the changes in this process's copy.

    ``by_address`` names the upstreams at each address.
    """

    entries: dict[str, DirectoryEntry] = field(default_factory=dict)
    revision: int = 0
    by_address: dict[str, set[str]] = field(default_factory=dict)


def merge_report(
    directory: Directory,
    now_ms: int,
    report: UpstreamReport,
    age_ms: int,
    services: Container[str] | None = None,
) -> bool:
    """Merge a report that is ``age_ms`` old; return whether it changed the directory's content.

    Reports of a service that is not among ``services`` are kept apart, and are merged again once it
    is; None stands for any service.
    """
    entry = directory.entries.get(report.upstream)
    last_contact_ms = now_ms - age_ms
    is_apart = services is not None and report.service not in services
    if not is_apart:
        _depart_silent(directory, now_ms, report)
        if _is_late(directory, report, last_contact_ms):
            report = _gone(report)
    if entry is None:
        directory.revision += 1
        entry = DirectoryEntry(report, directory.revision, last_contact_ms, is_apart)
        _add(directory, entry)
        _show_others(directory, entry)
        return True
    if _is_refuted(entry, now_ms, report):
        return False
    if _is_proven(entry, report, last_contact_ms):
        entry.evidence.clear()
    elif _order(report) < _order(entry.report):
        return False
    entry.last_contact_ms = max(entry.last_contact_ms, last_contact_ms)
    changed = _content(report) != _content(entry.report) or entry.is_apart != is_apart
    _replace_report(directory, entry, report)
    entry.is_apart = is_apart
    if changed:
        directory.revision += 1
        entry.revision = directory.revision
        _show_others(directory, entry)
    return changed


def copy_report(directory: Directory, now_ms: int, report: UpstreamReport, age_ms: int) -> None:
    """Merge a report into a copy of the directory; its source tells which reports are late."""
    _depart_silent(directory, now_ms, report)
    entry = directory.entries.get(report.upstream)
    if entry is None:
        entry = DirectoryEntry(report, 0, now_ms - age_ms)
        _add(directory, entry)
    is_same_start = entry.report.born_ms == report.born_ms
    is_inferred = INFERRED_SEQUENCE in (entry.report.sequence, report.sequence)
    if _order(report) < _order(entry.report) and not (is_same_start and is_inferred):
        return
    directory.revision += 1
    entry.revision = directory.revision
    _replace_report(directory, entry, report)
    entry.last_contact_ms = max(entry.last_contact_ms, now_ms - age_ms)


def _add(directory: Directory, entry: DirectoryEntry) -> None:
    directory.entries[entry.report.upstream] = entry
    directory.by_address.setdefault(entry.report.address, set()).add(entry.report.upstream)


def _remove(directory: Directory, upstream: str) -> None:
    address = directory.entries.pop(upstream).report.address
    directory.by_address[address].discard(upstream)
    if not directory.by_address[address]:
        del directory.by_address[address]


def _replace_report(directory: Directory, entry: DirectoryEntry, report: UpstreamReport) -> None:
    if report.address != entry.report.address:
        _remove(directory, report.upstream)
        entry.report = report
        _add(directory, entry)
    if report.sequence == INFERRED_SEQUENCE and entry.report.sequence < INFERRED_SEQUENCE:
        entry.last_sequence = entry.report.sequence
        entry.evidence.clear()
    entry.report = report


def upstreams_at(directory: Directory, address: str) -> list[DirectoryEntry]:
    """Return the entries of the upstreams at an address, departed ones too."""
    names = directory.by_address.get(address, set())
    return [directory.entries[name] for name in sorted(names)]


def _at_address(directory: Directory, report: UpstreamReport) -> list[DirectoryEntry]:
    """Return the entries of other upstreams at a report's address."""
    entries = upstreams_at(directory, report.address)
    return [entry for entry in entries if entry.report.upstream != report.upstream]


def _others_at_address(directory: Directory, report: UpstreamReport) -> list[DirectoryEntry]:
    """Return the upstreams at a report's address that started at another time and run."""
    if report.state is UpstreamState.GONE:
        return []
    return [
        entry
        for entry in _at_address(directory, report)
        if entry.report.state is not UpstreamState.GONE
        and entry.report.born_ms != report.born_ms
        and not entry.is_apart
    ]


def _depart_silent(directory: Directory, now_ms: int, report: UpstreamReport) -> None:
    """Mark silent upstreams as departed whose address an upstream has that started later.

    They crashed, without reporting that they depart, before their successor started.
    """
    for entry in _others_at_address(directory, report):
        if entry.report.born_ms > report.born_ms or now_ms - entry.last_contact_ms < SILENT_MS:
            continue
        directory.revision += 1
        entry.revision = directory.revision
        departed = _gone(entry.report)._replace(sequence=INFERRED_SEQUENCE)
        _replace_report(directory, entry, departed)


def _is_late(directory: Directory, report: UpstreamReport, last_contact_ms: int) -> bool:
    """Return whether a report is of an upstream that crashed before another got its address."""
    others = _others_at_address(directory, report)
    if all(entry.report.born_ms < report.born_ms for entry in others):
        return False
    known = directory.entries.get(report.upstream)
    return known is None or not _is_live(known, report, last_contact_ms)


def _is_live(entry: DirectoryEntry, report: UpstreamReport, last_contact_ms: int) -> bool:
    """Return whether an upstream runs although another one has started at its address."""
    if entry.report.state is not UpstreamState.GONE and entry.report.born_ms == report.born_ms:
        return True
    return _is_proven(entry, report, last_contact_ms)


def _is_proven(entry: DirectoryEntry, report: UpstreamReport, last_contact_ms: int) -> bool:
    """Record a report after an inferred departure; return whether the upstream surely runs."""
    departed = entry.report
    if departed.state is not UpstreamState.GONE or departed.sequence == FINAL_SEQUENCE:
        return False
    if report.state is UpstreamState.GONE or departed.born_ms != report.born_ms:
        return False
    is_inferred = departed.sequence == INFERRED_SEQUENCE
    last_sequence = entry.last_sequence if is_inferred else departed.sequence
    if entry.evidence:
        last_sequence = max(last_sequence, entry.evidence[-1][0])
        if last_contact_ms - entry.evidence[-1][1] >= SILENT_MS:
            entry.evidence.clear()
    if report.sequence > last_sequence:
        entry.evidence.append((report.sequence, last_contact_ms))
    if not entry.evidence:
        return False
    span_ms = entry.evidence[-1][1] - entry.evidence[0][1]
    return len(entry.evidence) >= LIVE_REPORTS and span_ms >= LIVE_SPAN_MS


def _is_refuted(entry: DirectoryEntry, now_ms: int, report: UpstreamReport) -> bool:
    """Return whether a departure that another process inferred is wrong: the upstream reports."""
    if report.state is not UpstreamState.GONE or report.sequence != INFERRED_SEQUENCE:
        return False
    if entry.report.state is UpstreamState.GONE or entry.report.born_ms != report.born_ms:
        return False
    return now_ms - entry.last_contact_ms < SILENT_MS


def _show_others(directory: Directory, changed: DirectoryEntry) -> None:
    """Give other upstreams at a changed one's address its revision, so that copies get both."""
    for entry in _at_address(directory, changed.report):
        if entry.report.state is not UpstreamState.GONE:
            entry.revision = changed.revision


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
            _remove(directory, name)


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
