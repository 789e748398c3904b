"""Durable state of a control process: identity, vote, snapshot and log.

Every record is ``length, inverted length, checksum, payload``. Entries that are appended together
are one record, and nothing is reported as stored before ``fdatasync`` returned. On loading, a
record that ends beyond the file, or the last one where it ends in zeros that its checksum doesn't
cover, is a write that was cut short and is removed; any other record whose length or checksum does
not fit is corruption of synced data, and the process refuses to start.
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
IDENTITY_FILE = "identity"
VOTE_FILE = "vote"
SNAPSHOT_FILE = "snapshot"
LOG_FILE = "log"
LOCK_FILE = "lock"
FOUNDER = "founder"  # the identity of the first voters, on their first disk


class StoredVote(NamedTuple):
    """The term and the vote that were synced last."""

    term: int
    voted_for: str


class StoredSnapshot(NamedTuple):
    """The snapshot that was synced last."""

    last_index: int
    last_term: int
    membership: bytes
    machine: bytes


class LogRecord(NamedTuple):
    """One record of the log: entries to append after cutting from ``truncate_from``.

    ``truncate_from`` is 0 where nothing is cut.
    """

    truncate_from: int
    entries: list[LogEntry]


class Stored(NamedTuple):
    """Everything that the data folder held at the start."""

    member_id: str
    vote: StoredVote | None
    snapshot: StoredSnapshot | None
    entries: list[LogEntry]
    cut_bytes: int


def _record(value: object) -> bytes:
    payload = msgspec.msgpack.encode(value)
    length = len(payload)
    digest = xxhash.xxh3_64_intdigest(payload)
    return _HEADER.pack(length, length ^ _LENGTH_MASK, digest) + payload


class Storage:
    """The open data folder; one process holds it at a time."""

    def __init__(self, folder: Path) -> None:
        """Lock the folder; raise StorageFailed where another process holds it."""
        self._folder = folder
        self._lock = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            message = f"data_folder: another process holds {folder}; stop it or name another folder"
            raise StorageFailed(message) from error
        self._log = -1

    def load(self, name: str, identity: str = "") -> Stored:
        """Read everything back, and open the log for appending.

        A disk without an identity gets ``identity``, or a random one where that is empty.
        """
        member_id = self._load_identity(name, identity or uuid.uuid4().hex[:12])
        vote = self._load_one(VOTE_FILE, StoredVote)
        snapshot = self._load_one(SNAPSHOT_FILE, StoredSnapshot)
        entries, cut_bytes = self._load_log()
        if snapshot is not None:
            entries = [entry for entry in entries if entry.log_index > snapshot.last_index]
        first = snapshot.last_index + 1 if snapshot else 1
        if entries and entries[0].log_index != first:
            raise StorageCorrupt(self._advice(f"{LOG_FILE} does not follow the snapshot"))
        self._log = os.open(self._folder / LOG_FILE, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
        self._sync_folder()
        return Stored(member_id, vote, snapshot, entries, cut_bytes)

    def save_vote(self, vote: StoredVote) -> None:
        """Replace the term and the vote."""
        self._replace(VOTE_FILE, _record(vote))

    def save_snapshot(self, snapshot: StoredSnapshot, entries: list[LogEntry]) -> None:
        """Replace the snapshot, then the log by the entries that follow it."""
        self._replace(SNAPSHOT_FILE, _record(snapshot))
        record = _record(LogRecord(0, entries)) if entries else b""
        self._replace(LOG_FILE, record)
        os.close(self._log)
        self._log = os.open(self._folder / LOG_FILE, os.O_WRONLY | os.O_APPEND)

    def append(self, truncate_from: int, entries: list[LogEntry]) -> None:
        """Append one record to the log and sync it."""
        self._write(self._log, _record(LogRecord(truncate_from, entries)))

    def close(self) -> None:
        """Close the folder for the next process."""
        if self._log >= 0:
            os.close(self._log)
        os.close(self._lock)

    def _load_identity(self, name: str, identity: str) -> str:
        """Return this disk's identity; a disk without one gets a new one."""
        path = self._folder / IDENTITY_FILE
        if not path.exists():
            others = (VOTE_FILE, SNAPSHOT_FILE, LOG_FILE)
            if any((self._folder / other).exists() for other in others):
                raise StorageCorrupt(self._advice(f"{IDENTITY_FILE} is missing"))
            self._replace(IDENTITY_FILE, _record(f"{name}#{identity}"))
        member_id = self._load_one(IDENTITY_FILE, str)
        if not isinstance(member_id, str) or member_id.partition("#")[0] != name:
            message = f"data_folder belongs to {member_id}, not to {name}; name another folder"
            raise StorageCorrupt(message)
        return member_id

    def _load_one(self, name: str, kind: Any) -> Any:
        path = self._folder / name
        if not path.exists():
            return None
        data = path.read_bytes()
        payload, end = self._payload(name, data, 0)
        if payload is None or end != len(data):
            raise StorageCorrupt(self._advice(f"{name} is cut short"))
        return msgspec.msgpack.decode(payload, type=kind)

    def _load_log(self) -> tuple[list[LogEntry], int]:
        path = self._folder / LOG_FILE
        if not path.exists():
            return [], 0
        data = path.read_bytes()
        entries: list[LogEntry] = []
        offset = 0
        while offset < len(data):
            payload, end = self._payload(LOG_FILE, data, offset)
            if payload is None:
                break
            record = msgspec.msgpack.decode(payload, type=LogRecord)
            if record.truncate_from:
                entries = [item for item in entries if item.log_index < record.truncate_from]
            entries += record.entries
            offset = end
        cut_bytes = len(data) - offset
        if cut_bytes:
            with path.open("r+b") as file:
                file.truncate(offset)
                os.fsync(file.fileno())
        return entries, cut_bytes

    def _payload(self, name: str, data: bytes, offset: int) -> tuple[bytes | None, int]:
        """Return the payload at ``offset`` and its end, or None where the write was cut short."""
        start = offset + _HEADER.size
        if start > len(data) or not any(data[offset:]):
            return None, offset
        length, inverted, checksum = _HEADER.unpack_from(data, offset)
        if length ^ _LENGTH_MASK != inverted:
            if not any(data[offset + 1 :]) or not any(data[offset + _HEADER.size - 8 :]):
                return None, offset
            raise StorageCorrupt(self._advice(f"{name} is corrupt at byte {offset}"))
        payload = data[start : start + length]
        if len(payload) < length:
            return None, offset
        if xxhash.xxh3_64_intdigest(payload) != checksum:
            # A write that was never synced may be kept in part, with zeros for the rest of it.
            if start + length == len(data) and not payload[-1]:
                return None, offset
            raise StorageCorrupt(self._advice(f"{name} is corrupt at byte {offset}"))
        return payload, start + length

    def _advice(self, fault: str) -> str:
        return (
            f"data_folder: {fault}; empty {self._folder} and start again: the process then "
            "joins under a new identity and copies everything from the others"
        )

    def _replace(self, name: str, data: bytes) -> None:
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
            os.fdatasync(descriptor)
        except OSError as error:
            message = f"data_folder: a write or sync failed: {error.strerror}; check the disk"
            raise StorageFailed(message) from error
