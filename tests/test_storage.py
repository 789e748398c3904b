"""Storage of a control process: synced state is loaded again, corrupt state is refused."""

import os
import shutil
from itertools import combinations
from random import Random

import pytest
from endivewick_core.commands import SetUpstream
from endivewick_core.control import replication
from endivewick_core.control.effects import AppendEntries, SaveSnapshot, TruncateLog
from endivewick_core.control.events import MessageReceived, Tick
from endivewick_core.control.reducer import reduce
from endivewick_core.control.state import (
    ControlSettings,
    ControlState,
    Membership,
    Role,
    encode_membership,
)
from endivewick_core.messages import LogEntry, Member, SnapshotRequest
from endivewick_core.replicated_state import ReplicatedState, encode_replicated_state
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


# Guards against an entry that is loaded twice, which shifts the indexes of all that follow it.
def test_entry_in_memory_at_a_snapshot_and_appended_after_it_is_loaded_once(tmp_path):
    me = Member("control-1#x", "control-1", "control-1")
    settings = ControlSettings({"control-1": ""}, {}, snapshot_entries=2, entries_kept=1)
    state = ControlState(settings, me, Role.FOLLOWER)
    state.snapshot_membership = Membership([me], [])
    storage = Storage(tmp_path)
    storage.load("control-1")
    effects = reduce(state, Tick(5_000, 0.0))
    for number in (1, 2, 3):
        effects += replication.propose_now(state, 5_000, SetUpstream(str(number), "u", 0, "up"))
    for effect in effects:
        if isinstance(effect, AppendEntries):
            storage.append(0, effect.entries)
        if isinstance(effect, SaveSnapshot):
            last_index = effect.last_index
            later = [item for item in state.log.entries if item.log_index > last_index]
            storage.save_snapshot(StoredSnapshot(*effect), later)
    storage.append(0, entries(5, 6))
    storage.close()
    held = [item.log_index for item in load(tmp_path).entries]
    assert_that(held, Equals([4, 5, 6]))


def test_crash_between_snapshot_and_log_loses_nothing(folder_with_state):
    log = (folder_with_state / LOG_FILE).read_bytes()
    storage = Storage(folder_with_state)
    storage.load("control-1")
    storage.save_snapshot(StoredSnapshot(3, 1, b"", b""), entries(4, 5))
    storage.close()
    (folder_with_state / LOG_FILE).write_bytes(log)
    assert_that(load(folder_with_state).entries, Equals(entries(4, 5)))


class Crash(Exception):
    """The process ends before the call that raises it."""


def crash_at(monkeypatch, number):
    """Let the process end before call ``number`` + 1 of those that change the folder."""
    calls = []

    def fault(name, call):
        def counted(*args, **options):
            calls.append(name)
            if len(calls) > number:
                raise Crash(f"before {name}, call {len(calls)}")
            return call(*args, **options)

        monkeypatch.setattr(f"os.{name}", counted)

    for name in ("open", "write", "fdatasync", "fsync", "replace"):
        fault(name, getattr(os, name))
    return calls


def save_until_crash(folder, number, snapshot, later, monkeypatch):
    """Save a snapshot, ending at call ``number``; return whether it was saved before that."""
    storage = Storage(folder)
    storage.load("control-1")
    is_saved = True
    with monkeypatch.context() as context:
        crash_at(context, number)
        try:
            storage.save_snapshot(snapshot, later)
        except Crash:
            is_saved = False
    storage.close()
    return is_saved


# Guards against a crash at any point of the replacement that loses entries, or that keeps those of
# an earlier leader after the snapshot of a later one.
@pytest.mark.parametrize(
    ("snapshot", "later"),
    [
        (StoredSnapshot(3, 1, b"members", b"machine"), entries(4, 5)),
        (StoredSnapshot(3, 2, b"members", b"machine"), []),
        (StoredSnapshot(5, 2, b"members", b"machine"), []),
        (StoredSnapshot(9, 2, b"members", b"machine"), []),
    ],
    ids=["own", "other_leaders", "other_leaders_to_the_end", "past_the_end"],
)
def test_crash_at_any_point_of_a_snapshot(snapshot, later, tmp_path, monkeypatch):
    outcomes = set()
    is_saved = False
    number = 0
    while not is_saved:
        folder = tmp_path / str(number)
        folder.mkdir()
        storage = Storage(folder)
        storage.load("control-1")
        storage.append(0, entries(1, 3))
        storage.append(0, entries(4, 5))
        storage.close()
        is_saved = save_until_crash(folder, number, snapshot, later, monkeypatch)
        stored = load(folder)
        expected = entries(1, 5) if stored.snapshot is None else later
        assert_that((number, stored.entries), Equals((number, expected)))
        assert_that(stored.snapshot in (None, snapshot), Equals(True))
        outcomes.add(stored.snapshot is None)
        # The process goes on from there, and is started once more.
        last_index = expected[-1].log_index if expected else snapshot.last_index
        storage = Storage(folder)
        storage.load("control-1")
        storage.append(0, entries(last_index + 1, last_index + 2, term=3))
        storage.close()
        added = entries(last_index + 1, last_index + 2, term=3)
        assert_that((number, load(folder).entries), Equals((number, expected + added)))
        number += 1
    assert_that(stored.snapshot, Equals(snapshot))
    assert_that(outcomes, Equals({True, False}))
    assert_that(number, GreaterThan(10))


def voter_with_entries():
    """Return a voter of term 1 with the entries 1 to 5, none of them known to be committed."""
    me, leader = (Member(f"{name}#x", name, name) for name in ("control-1", "control-2"))
    settings = ControlSettings({"control-1": "control-1", "control-2": "control-2"}, {})
    state = ControlState(settings, me, Role.FOLLOWER, term=1)
    state.snapshot_membership = Membership([me, leader], [])
    for entry in entries(1, 5):
        state.log.entries.append(entry)
    return state


def snapshot_from_leader(state, last_index, last_term):
    membership = encode_membership(state.snapshot_membership)
    machine = encode_replicated_state(ReplicatedState(), with_changes=True)
    return SnapshotRequest(2, "control-2#x", last_index, last_term, membership, machine, 1)


# Guards against a voter that ends while it takes over a leader's snapshot, and then has neither the
# entries that it had reported as stored nor the snapshot.
def test_crash_between_the_effects_of_a_snapshot(folder_with_state, tmp_path_factory):
    state = voter_with_entries()
    request = snapshot_from_leader(state, 9, 2)
    effects = reduce(state, MessageReceived(1_000, request))
    for executed in range(len(effects) + 1):
        folder = tmp_path_factory.mktemp("copy")
        shutil.copytree(folder_with_state, folder, dirs_exist_ok=True)
        storage = Storage(folder)
        storage.load("control-1")
        for effect in effects[:executed]:
            if isinstance(effect, TruncateLog):
                storage.append(effect.from_index, [])
            if isinstance(effect, SaveSnapshot):
                storage.save_snapshot(StoredSnapshot(*effect), list(state.log.entries))
        storage.close()
        stored = load(folder)
        last_index = stored.snapshot.last_index if stored.snapshot else 0
        held = range(1, last_index + len(stored.entries) + 1)
        assert_that((executed, set(held) >= set(range(1, 6))), Equals((executed, True)))


# Guards against a late snapshot that removes entries which the leader counts as stored.
@pytest.mark.parametrize(("last_term", "kept"), [(1, entries(4, 5)), (2, [])])
def test_snapshot_keeps_the_entries_that_follow_it(last_term, kept):
    state = voter_with_entries()
    reduce(state, MessageReceived(1_000, snapshot_from_leader(state, 3, last_term)))
    assert_that((state.log.start_index, state.log.start_term), Equals((3, last_term)))
    assert_that(state.log.entries, Equals(kept))


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


def torn(synced, complete, block_bytes, lost):
    """Return the content of a file whose last write is without some of its blocks."""
    data = bytearray(complete)
    for number in lost:
        first = max(len(synced), number * block_bytes)
        end = min(len(data), (number + 1) * block_bytes)
        data[first:end] = bytes(max(0, end - first))
    return bytes(data)


# Guards against a process that refuses to start after a loss of power, as if its disk were lost:
# the blocks of a write that wasn't synced reach the disk in any order.
@pytest.mark.parametrize("block_bytes", [512, 4_096])
@pytest.mark.parametrize("padding_bytes", [0, 300, 330, 340, 350, 360, 371])
def test_write_without_any_of_its_blocks_is_removed(folder_with_state, block_bytes, padding_bytes):
    storage = Storage(folder_with_state)
    storage.load("control-1")
    storage.append(0, [LogEntry(1, 6, bytes(range(1, 256)) * 2 + b"x" * padding_bytes)])
    path = folder_with_state / LOG_FILE
    synced = path.read_bytes()
    random = Random(padding_bytes)
    storage.append(0, [LogEntry(1, 7, random.randbytes(3 * block_bytes))])
    storage.close()
    complete = path.read_bytes()
    blocks = range(len(synced) // block_bytes, (len(complete) - 1) // block_bytes + 1)
    for count in range(1, len(blocks) + 1):
        for lost in combinations(blocks, count):
            path.write_bytes(torn(synced, complete, block_bytes, lost))
            indexes = [item.log_index for item in load(folder_with_state).entries]
            assert_that((lost, indexes), Equals((lost, [1, 2, 3, 4, 5, 6])))


# Guards against synced records that are removed since a block before them is lost.
def test_lost_block_of_a_synced_record_is_refused(folder_with_state):
    storage = Storage(folder_with_state)
    storage.load("control-1")
    path = folder_with_state / LOG_FILE
    synced = path.read_bytes()
    storage.append(0, [LogEntry(1, 6, Random(1).randbytes(1_500))])
    complete = path.read_bytes()
    storage.append(0, entries(7, 7))
    storage.close()
    rest = path.read_bytes()[len(complete) :]
    for lost in range(3):
        path.write_bytes(torn(synced, complete, 512, [lost]) + rest)
        with pytest.raises(StorageCorrupt):
            load(folder_with_state)


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
