"""Durable state of a control process: identity, vote, snapshot and log.

Each record is ``length, inverted length, checksum, payload``, and entries appended together share
one. Nothing is reported as stored before ``fdatasync`` has returned. On loading, the log is synced,
since a process that was killed may have written its last record and not synced it. An incomplete
last write is removed: a record that extends beyond the end of the file, or a last record that
doesn't match its checksum and ends in zeros or has a sector of zeros. Any other record with a wrong
length or checksum means that synced data is corrupt, and the process refuses to start.
"""

import fcntl
import os
import struct
import uuid
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import xxhash
from endivewick_core.messages import LogEntry

from .exceptions import StorageCorrupt, StorageFailed

_HEADER = struct.Struct("<IIQ")
_LENGTH_MASK = 0xFFFFFFFF
_SECTOR_BYTES = 512  # the smallest unit that a disk writes as a whole
IDENTITY_FILE = "identity"
VOTE_FILE = "vote"
SNAPSHOT_FILE = "snapshot"
LOG_FILE = "log"
LOCK_FILE = "lock"
INITIAL_VOTER = "founder"  # identity suffix of the first voters, on their first disk


class StoredVote(NamedTuple):
    """The last synced term and vote."""

    term: int
    voted_for: str


class StoredSnapshot(NamedTuple):
    """The last synced snapshot."""

    last_index: int
    last_term: int
    membership: bytes
    machine: bytes


class LogRecord(NamedTuple):
    """One record of the log: a truncation, then entries to append.

    The entries from index ``truncate_from`` on are removed first, none if it is 0. The entries of a
    record also replace those of the same indexes: a snapshot is saved with all entries in memory,
    and the last of them may be appended after it.
    """

    truncate_from: int
    entries: list[LogEntry]


class Stored(NamedTuple):
    """The content of the data folder at the start of the process.

    ``cut_bytes`` is the size of the incomplete write that was removed from the end of the log.
    """

    member_id: str
    vote: StoredVote | None
    snapshot: StoredSnapshot | None
    entries: list[LogEntry]
    cut_bytes: int


def _encode_record(value: object) -> bytes:
    payload = msgspec.msgpack.encode(value)
    length = len(payload)
    digest = xxhash.xxh3_64_intdigest(payload)
    return _HEADER.pack(length, length ^ _LENGTH_MASK, digest) + payload


def _failure_message(error: OSError) -> str:
    return f"data_folder: a write or sync failed: {error.strerror}; check the disk"


def _has_empty_sector(data: bytes, start: int, end: int) -> bool:
    """Return whether a sector that begins before ``end`` holds only zeros from ``start`` on."""
    while start < end:
        sector_end = start - start % _SECTOR_BYTES + _SECTOR_BYTES
        if not any(data[start:sector_end]):
            return True
        start = sector_end
    return False


def _has_record(data: bytes, start: int) -> bool:
    """Return whether an intact record begins at ``start`` or anywhere after it."""
    for offset in range(start, len(data) - _HEADER.size):
        length, inverted, checksum = _HEADER.unpack_from(data, offset)
        if length ^ _LENGTH_MASK != inverted:
            continue
        payload = data[offset + _HEADER.size : offset + _HEADER.size + length]
        if len(payload) == length and xxhash.xxh3_64_intdigest(payload) == checksum:
            return True
    return False


def _truncate(entries: list[LogEntry], from_index: int) -> None:
    while entries and entries[-1].log_index >= from_index:
        entries.pop()


def _entries_after(snapshot: StoredSnapshot, entries: list[LogEntry]) -> list[LogEntry]:
    """Return the entries that follow a snapshot, none if its last entry replaced one of the log.

    A log from before the snapshot may hold entries of an earlier leader, which it doesn't contain.
    """
    for entry in entries:
        if entry.log_index == snapshot.last_index and entry.term != snapshot.last_term:
            return []
    return [entry for entry in entries if entry.log_index > snapshot.last_index]


class Storage:
    """An open data folder, locked so that only one process uses it at a time."""

    def __init__(self, folder: Path) -> None:
        """Lock the folder; raise StorageFailed if another process has locked it."""
        self._folder = folder
        self._lock = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            message = (
                f"data_folder: {folder} is locked by another process; stop it or set another folder"
            )
            raise StorageFailed(message) from error
        self._log = -1

    def load(self, name: str, identity: str = "") -> Stored:
        """Read the stored state and open the log for appending.

        An empty folder gets ``identity``, or a random one if that is empty.
        """
        member_id = self._load_identity(name, identity or uuid.uuid4().hex[:12])
        vote = self._load_file(VOTE_FILE, StoredVote)
        snapshot = self._load_file(SNAPSHOT_FILE, StoredSnapshot)
        entries, cut_bytes = self._load_log()
        if snapshot is not None:
            later_entries = _entries_after(snapshot, entries)
            if len(later_entries) < len(entries):
                self._replace_log(later_entries)
            entries = later_entries
        first_index = snapshot.last_index + 1 if snapshot else 1
        if entries and entries[0].log_index != first_index:
            raise StorageCorrupt(
                self._corruption_message(f"{LOG_FILE} doesn't continue where the snapshot ends")
            )
        self._log = os.open(self._folder / LOG_FILE, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
        self._sync(self._log)
        self._sync_folder()
        return Stored(member_id, vote, snapshot, entries, cut_bytes)

    def save_vote(self, vote: StoredVote) -> None:
        """Store the term and the vote in place of the previous ones."""
        self._replace_file(VOTE_FILE, _encode_record(vote))

    def save_snapshot(self, snapshot: StoredSnapshot, entries: list[LogEntry]) -> None:
        """Replace the snapshot, then replace the log with the entries after it.

        After a crash between the two, ``load`` replaces the log.
        """
        self._replace_file(SNAPSHOT_FILE, _encode_record(snapshot))
        self._replace_log(entries)
        replaced_log = self._log
        self._log = os.open(self._folder / LOG_FILE, os.O_WRONLY | os.O_APPEND)
        os.close(replaced_log)

    def append(self, truncate_from: int, entries: list[LogEntry]) -> None:
        """Append one record to the log and sync it."""
        self._write(self._log, _encode_record(LogRecord(truncate_from, entries)))

    def close(self) -> None:
        """Close the log and release the lock."""
        if self._log >= 0:
            os.close(self._log)
        os.close(self._lock)

    def _load_identity(self, name: str, identity: str) -> str:
        """Return the folder's identity; store a new one in an empty folder."""
        path = self._folder / IDENTITY_FILE
        if not path.exists():
            state_files = (VOTE_FILE, SNAPSHOT_FILE, LOG_FILE)
            if any((self._folder / file_name).exists() for file_name in state_files):
                raise StorageCorrupt(self._corruption_message(f"{IDENTITY_FILE} is missing"))
            self._replace_file(IDENTITY_FILE, _encode_record(f"{name}#{identity}"))
        member_id = self._load_file(IDENTITY_FILE, str)
        if not isinstance(member_id, str) or member_id.partition("#")[0] != name:
            message = f"data_folder belongs to {member_id}, not to {name}; set another folder"
            raise StorageCorrupt(message)
        return member_id

    def _load_file(self, name: str, kind: Any) -> Any:
        path = self._folder / name
        if not path.exists():
            return None
        data = path.read_bytes()
        payload, end = self._read_record(name, data, 0)
        if payload is None or end != len(data):
            raise StorageCorrupt(self._corruption_message(f"{name} is truncated"))
        return msgspec.msgpack.decode(payload, type=kind)

    def _load_log(self) -> tuple[list[LogEntry], int]:
        path = self._folder / LOG_FILE
        if not path.exists():
            return [], 0
        data = path.read_bytes()
        entries: list[LogEntry] = []
        offset = 0
        while offset < len(data):
            payload, end = self._read_record(LOG_FILE, data, offset)
            if payload is None:
                break
            record = msgspec.msgpack.decode(payload, type=LogRecord)
            if record.truncate_from:
                _truncate(entries, record.truncate_from)
            if record.entries:
                _truncate(entries, record.entries[0].log_index)
            entries += record.entries
            offset = end
        cut_bytes = len(data) - offset
        if cut_bytes:
            with path.open("r+b") as file:
                file.truncate(offset)
                os.fsync(file.fileno())
        return entries, cut_bytes

    def _read_record(self, name: str, data: bytes, offset: int) -> tuple[bytes | None, int]:
        """Return the payload of the record at ``offset`` and the record's end.

        The payload is None if the record is an incomplete write.
        """
        start = offset + _HEADER.size
        if start > len(data) or not any(data[offset:]):
            return None, offset
        length, inverted, checksum = _HEADER.unpack_from(data, offset)
        if length ^ _LENGTH_MASK != inverted:
            if not any(data[offset + 1 :]) or not any(data[offset + _HEADER.size - 8 :]):
                return None, offset
            if _has_empty_sector(data, offset, start) and not _has_record(data, start):
                return None, offset
            raise StorageCorrupt(self._corruption_message(f"{name} is corrupt at byte {offset}"))
        payload = data[start : start + length]
        if len(payload) < length:
            return None, offset
        if xxhash.xxh3_64_intdigest(payload) != checksum:
            # After a loss of power, parts of a write that was never synced may read as zeros.
            is_last = start + length == len(data)
            if is_last and (not payload[-1] or _has_empty_sector(data, offset, len(data))):
                return None, offset
            raise StorageCorrupt(self._corruption_message(f"{name} is corrupt at byte {offset}"))
        return payload, start + length

    def _replace_log(self, entries: list[LogEntry]) -> None:
        self._replace_file(LOG_FILE, _encode_record(LogRecord(0, entries)) if entries else b"")

    def _corruption_message(self, fault: str) -> str:
        return (
            f"data_folder: {fault}; empty {self._folder} and restart: the process then "
            "joins under a new identity and copies all state from the other members"
        )

    def _replace_file(self, name: str, data: bytes) -> None:
        temporary = self._folder / f"{name}.new"
        try:
            descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        except OSError as error:
            raise StorageFailed(f"data_folder: can't write {name}: {error.strerror}") from error
        try:
            self._write(descriptor, data)
        finally:
            os.close(descriptor)
        os.replace(temporary, self._folder / name)
        self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _write(self, descriptor: int, data: bytes) -> None:
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(descriptor, view) :]
        except OSError as error:
            raise StorageFailed(_failure_message(error)) from error
        self._sync(descriptor)

    def _sync(self, descriptor: int) -> None:
        try:
            os.fdatasync(descriptor)
        except OSError as error:
            raise StorageFailed(_failure_message(error)) from error
