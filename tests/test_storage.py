"""What a control process has synced comes back, and what is corrupt is refused."""

import pytest
from endivewick_core.messages import LogEntry
from endivewick_node.exceptions import StorageCorrupt, StorageFailed
from endivewick_node.storage import LOG_FILE, VOTE_FILE, Storage, StoredSnapshot, StoredVote
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, StartsWith


def entries(first, last, term=1):
    return [LogEntry(term, index, b"command %d" % index) for index in range(first, last + 1)]


@pytest.fixture
def written(tmp_path):
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


def test_everything_comes_back(written):
    stored = load(written)
    assert_that(stored.vote, Equals(StoredVote(4, "control-2#x")))
    assert_that(stored.entries, Equals(entries(1, 5)))


def test_identity_lasts_until_the_disk_is_emptied(written, tmp_path_factory):
    identity = load(written).member_id
    assert_that(identity, StartsWith("control-1#"))
    assert_that(load(written).member_id, Equals(identity))
    other = load(tmp_path_factory.mktemp("empty")).member_id
    assert_that(other == identity, Equals(False))


def test_truncation_comes_back(written):
    storage = Storage(written)
    storage.load("control-1")
    storage.append(3, entries(3, 4, term=2))
    storage.close()
    assert_that(load(written).entries, Equals(entries(1, 2) + entries(3, 4, term=2)))


def test_snapshot_replaces_the_entries_before_it(written):
    storage = Storage(written)
    storage.load("control-1")
    snapshot = StoredSnapshot(3, 1, b"members", b"machine")
    storage.save_snapshot(snapshot, entries(4, 5))
    storage.append(0, entries(6, 6))
    storage.close()
    stored = load(written)
    assert_that(stored.snapshot, Equals(snapshot))
    assert_that(stored.entries, Equals(entries(4, 6)))


def test_crash_between_snapshot_and_log_loses_nothing(written):
    log = (written / LOG_FILE).read_bytes()
    storage = Storage(written)
    storage.load("control-1")
    storage.save_snapshot(StoredSnapshot(3, 1, b"", b""), entries(4, 5))
    storage.close()
    (written / LOG_FILE).write_bytes(log)
    assert_that(load(written).entries, Equals(entries(4, 5)))


@pytest.mark.parametrize("missing", range(1, 40))
def test_tail_that_was_cut_short_is_removed(written, missing):
    path = written / LOG_FILE
    path.write_bytes(path.read_bytes()[:-missing])
    stored = load(written)
    assert_that(stored.entries, Equals(entries(1, 3)))
    assert_that(stored.cut_bytes, GreaterThan(0))
    assert_that(load(written).cut_bytes, Equals(0))


def test_tail_of_zeros_is_removed(written):
    path = written / LOG_FILE
    path.write_bytes(path.read_bytes() + bytes(64))
    assert_that(load(written).entries, Equals(entries(1, 5)))


@pytest.mark.parametrize("kept", range(0, 60, 3))
def test_tail_that_was_kept_in_part_is_removed(written, kept):
    """After a loss of power an unsynced write may be torn: its rest reads as zeros."""
    path = written / LOG_FILE
    synced = path.read_bytes()
    storage = Storage(written)
    storage.load("control-1")
    storage.append(0, entries(6, 8))
    storage.close()
    whole = path.read_bytes()
    end = len(synced) + kept
    path.write_bytes(whole[:end] + bytes(len(whole) - end))
    assert_that(load(written).entries, Equals(entries(1, 5)))


def test_corruption_of_any_byte_is_refused_with_advice(written):
    """A corrupt length must not pass for a write that was cut short."""
    path = written / LOG_FILE
    whole = path.read_bytes()
    for offset in range(len(whole)):
        data = bytearray(whole)
        data[offset] ^= 0xFF
        path.write_bytes(bytes(data))
        with pytest.raises(StorageCorrupt) as caught:
            load(written)
        assert_that(str(caught.value), Contains("joins under a new identity"))


def test_corrupt_vote_is_refused(written):
    path = written / VOTE_FILE
    path.write_bytes(path.read_bytes()[:-1])
    with pytest.raises(StorageCorrupt):
        load(written)


def test_lost_identity_file_is_refused(written):
    (written / "identity").unlink()
    with pytest.raises(StorageCorrupt):
        load(written)


def test_folder_of_another_process_is_refused(written):
    storage = Storage(written)
    with pytest.raises(StorageFailed):
        Storage(written)
    storage.close()


def test_folder_of_another_name_is_refused(written):
    storage = Storage(written)
    with pytest.raises(StorageCorrupt):
        storage.load("control-2")
    storage.close()


def test_failed_sync_ends_the_process(written, monkeypatch):
    storage = Storage(written)
    storage.load("control-1")

    def fail(descriptor):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("os.fdatasync", fail)
    with pytest.raises(StorageFailed):
        storage.append(0, entries(6, 6))
    storage.close()
