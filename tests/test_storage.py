"""Storage of a control process: synced state is loaded again, corrupt state is refused."""

import os

import pytest
from endivewick_core.messages import LogEntry
from endivewick_node.exceptions import StorageCorrupt, StorageFailed
from endivewick_node.storage import LOG_FILE, VOTE_FILE, Storage, StoredSnapshot, StoredVote
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, StartsWith


def entries(first, last, term=1):
    return [LogEntry(term, index, b"command %d" % index) for index in range(first, last + 1)]


@pytest.fixture
def folder_with_state(tmp_path):
    storage = Storage(tmp_path)
    storage.load("control-1")
    storage.save_vote(StoredVote(4, "control-2#x"))
    storage.append(0, entries(1, 3))
    storage.append(0, entries(4, 5))
    storage.close()
    return tmp_path


def load(folder):
    storage = Storage(folder)
    try:
        return storage.load("control-1")
    finally:
        storage.close()


def test_synced_state_is_loaded(folder_with_state):
    stored = load(folder_with_state)
    assert_that(stored.vote, Equals(StoredVote(4, "control-2#x")))
    assert_that(stored.entries, Equals(entries(1, 5)))


def test_identity_lasts_until_the_folder_is_emptied(folder_with_state, tmp_path_factory):
    identity = load(folder_with_state).member_id
    assert_that(identity, StartsWith("control-1#"))
    assert_that(load(folder_with_state).member_id, Equals(identity))
    other = load(tmp_path_factory.mktemp("empty")).member_id
    assert_that(other == identity, Equals(False))


def test_truncation_is_loaded(folder_with_state):
    storage = Storage(folder_with_state)
    storage.load("control-1")
    storage.append(3, entries(3, 4, term=2))
    storage.close()
    assert_that(load(folder_with_state).entries, Equals(entries(1, 2) + entries(3, 4, term=2)))


def test_snapshot_replaces_the_entries_before_it(folder_with_state):
    storage = Storage(folder_with_state)
    storage.load("control-1")
    snapshot = StoredSnapshot(3, 1, b"members", b"machine")
    storage.save_snapshot(snapshot, entries(4, 5))
    storage.append(0, entries(6, 6))
    storage.close()
    stored = load(folder_with_state)
    assert_that(stored.snapshot, Equals(snapshot))
    assert_that(stored.entries, Equals(entries(4, 6)))


def test_crash_between_snapshot_and_log_loses_nothing(folder_with_state):
    log = (folder_with_state / LOG_FILE).read_bytes()
    storage = Storage(folder_with_state)
    storage.load("control-1")
    storage.save_snapshot(StoredSnapshot(3, 1, b"", b""), entries(4, 5))
    storage.close()
    (folder_with_state / LOG_FILE).write_bytes(log)
    assert_that(load(folder_with_state).entries, Equals(entries(4, 5)))


@pytest.mark.parametrize("missing_bytes", range(1, 40))
def test_incomplete_last_record_is_removed(folder_with_state, missing_bytes):
    path = folder_with_state / LOG_FILE
    path.write_bytes(path.read_bytes()[:-missing_bytes])
    stored = load(folder_with_state)
    assert_that(stored.entries, Equals(entries(1, 3)))
    assert_that(stored.cut_bytes, GreaterThan(0))
    assert_that(load(folder_with_state).cut_bytes, Equals(0))


def test_tail_of_zeros_is_removed(folder_with_state):
    path = folder_with_state / LOG_FILE
    path.write_bytes(path.read_bytes() + bytes(64))
    assert_that(load(folder_with_state).entries, Equals(entries(1, 5)))


@pytest.mark.parametrize("kept_bytes", range(0, 60, 3))
def test_partly_written_last_record_is_removed(folder_with_state, kept_bytes):
    """After a loss of power, the rest of an unsynced write may read as zeros."""
    path = folder_with_state / LOG_FILE
    synced = path.read_bytes()
    storage = Storage(folder_with_state)
    storage.load("control-1")
    storage.append(0, entries(6, 8))
    storage.close()
    complete = path.read_bytes()
    end = len(synced) + kept_bytes
    path.write_bytes(complete[:end] + bytes(len(complete) - end))
    assert_that(load(folder_with_state).entries, Equals(entries(1, 5)))


def test_corruption_of_any_byte_is_refused_with_a_remedy(folder_with_state):
    """A corrupt length must not be taken for an incomplete write and removed."""
    path = folder_with_state / LOG_FILE
    complete = path.read_bytes()
    for offset in range(len(complete)):
        data = bytearray(complete)
        data[offset] ^= 0xFF
        path.write_bytes(bytes(data))
        with pytest.raises(StorageCorrupt) as caught:
            load(folder_with_state)
        assert_that(str(caught.value), Contains("joins under a new identity"))


def test_corrupt_vote_is_refused(folder_with_state):
    path = folder_with_state / VOTE_FILE
    path.write_bytes(path.read_bytes()[:-1])
    with pytest.raises(StorageCorrupt):
        load(folder_with_state)


def test_lost_identity_file_is_refused(folder_with_state):
    (folder_with_state / "identity").unlink()
    with pytest.raises(StorageCorrupt):
        load(folder_with_state)


def test_folder_locked_by_another_process_is_refused(folder_with_state):
    storage = Storage(folder_with_state)
    with pytest.raises(StorageFailed):
        Storage(folder_with_state)
    storage.close()


def test_folder_of_another_member_is_refused(folder_with_state):
    storage = Storage(folder_with_state)
    with pytest.raises(StorageCorrupt):
        storage.load("control-2")
    storage.close()


# Guards against a record that a killed process wrote without syncing it and that is then counted as
# stored: a loss of power would remove it.
def test_log_of_a_killed_process_is_synced_before_it_is_reported(folder_with_state, monkeypatch):
    fdatasync = os.fdatasync
    storage = Storage(folder_with_state)
    storage.load("control-1")
    monkeypatch.setattr("os.fdatasync", lambda descriptor: None)
    storage.append(0, entries(6, 6))
    storage.close()
    synced = []

    def record(descriptor):
        synced.append((os.fstat(descriptor).st_ino, os.fstat(descriptor).st_size))
        fdatasync(descriptor)

    monkeypatch.setattr("os.fdatasync", record)
    stored = load(folder_with_state)
    log = (folder_with_state / LOG_FILE).stat()
    assert_that(stored.entries, Equals(entries(1, 6)))
    assert_that(synced, Contains((log.st_ino, log.st_size)))


def test_failed_sync_ends_the_process(folder_with_state, monkeypatch):
    storage = Storage(folder_with_state)
    storage.load("control-1")

    def fail(descriptor):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("os.fdatasync", fail)
    with pytest.raises(StorageFailed):
        storage.append(0, entries(6, 6))
    storage.close()
