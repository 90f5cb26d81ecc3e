import tempfile
import unittest
from pathlib import Path
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from agatethread.control import LogStorage
from agatethread.control._log import ReplicatedLog
from agatethread.control._log_records import HEADER_BYTES, encode_record
from agatethread.exceptions import DiskFullError, LogCorruptError
from agatethread.wire.control_pb2 import ControlState, HardState, LogEntry


def entries(first, last):
    return [
        LogEntry(index=index, term=1, command=b"c" * index)
        for index in range(first, last + 1)
    ]


class StorageCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def open(self):
        storage = LogStorage(str(self.folder))
        self.addCleanup(storage.close)
        return storage, storage.recover()

    def fill(self, count):
        storage, _ = self.open()
        storage.append(entries(1, count))
        storage.close()
        return self.folder / "log"


class TestSetAside(StorageCase):
    def test_moves_damaged_files_and_starts_empty(self):
        """Damaged files are moved, the log starts empty, and the disk is marked."""
        path = self.fill(5)
        data = bytearray(path.read_bytes())
        data[HEADER_BYTES] ^= 0xFF
        path.write_bytes(data)
        storage = LogStorage(str(self.folder))
        with self.assertRaises(LogCorruptError):
            storage.recover()
        storage.set_aside()
        _, recovered = self.open()
        self.assertEqual((recovered.entries, recovered.hard_state), ([], HardState()))
        self.assertTrue(storage.was_set_aside)
        self.assertEqual((self.folder / "damaged" / "log").read_bytes(), bytes(data))

    def test_rejects_undecodable_record(self):
        """A record with a valid checksum that can't be decoded counts as corrupt."""
        storage = LogStorage(str(self.folder))
        (self.folder / "snapshot").write_bytes(encode_record(b"\xff" * 9))
        with self.assertRaises(LogCorruptError):
            storage.recover()


class TestBatches(StorageCase):
    def test_limits_batch_by_bytes(self):
        """Batches of large entries stay below the byte limit and leave none out."""
        storage, _ = self.open()
        large = [LogEntry(index=n, term=1, command=b"c" * 90_000) for n in range(1, 9)]
        log = ReplicatedLog(storage, ControlState(), large)
        next_index, sent = 1, []
        while next_index <= 8:
            batch = log.batch_from(next_index)
            self.assertLessEqual(sum(entry.ByteSize() for entry in batch), 256 << 10)
            sent += batch
            next_index += len(batch)
        self.assertEqual(sent, large)


class TestRecover(StorageCase):
    def test_recovers_synced_state(self):
        """Hard state, snapshot and the log after it are recovered."""
        storage, initial = self.open()
        self.assertFalse(initial.hard_state.may_vote)
        hard_state = HardState(term=4, voted_for="b", may_vote=True)
        storage.save_hard_state(hard_state)
        storage.append(entries(1, 5))
        storage.save_snapshot(ControlState(last_index=3, last_term=1), entries(4, 5))
        storage.append(entries(6, 6))
        storage.truncate(2)
        _, recovered = self.open()
        self.assertEqual(recovered.hard_state, hard_state)
        self.assertEqual(recovered.snapshot.last_index, 3)
        self.assertEqual(recovered.entries, entries(4, 5))

    def test_deletes_torn_last_record(self):
        """Wherever the last write was torn, all entries before it are recovered."""
        log_bytes = self.fill(5).read_bytes()
        last_offset = (
            len(log_bytes) - len(entries(5, 5)[0].SerializeToString()) - HEADER_BYTES
        )
        for size in range(last_offset, len(log_bytes)):
            (self.folder / "log").write_bytes(log_bytes[:size])
            _, recovered = self.open()
            self.assertEqual(recovered.entries, entries(1, 4))

    def test_rejects_damage_before_other_records(self):
        """A damaged record before others is an error, not the end of the log."""
        path = self.fill(5)
        data = bytearray(path.read_bytes())
        data[9] ^= 1
        path.write_bytes(data)
        with self.assertRaisesRegex(LogCorruptError, "offset 0"):
            self.open()

    @given(st.integers(0, 10_000), st.integers(1, 255))
    def test_rejects_any_damage_before_last_record(self, position, change):
        """A changed byte, also of a length, is an error, not the end of the log."""
        path = self.fill(4)
        data = bytearray(path.read_bytes())
        last_size = len(entries(4, 4)[0].SerializeToString()) + HEADER_BYTES
        data[position % (len(data) - last_size)] ^= change
        path.write_bytes(data)
        with self.assertRaises(LogCorruptError):
            self.open()
        path.unlink()


class TestFullDisk(StorageCase):
    def test_failed_write_leaves_log_unchanged(self):
        """After a failed write the log is unchanged and accepts new entries."""
        storage, _ = self.open()
        storage.append(entries(1, 2))
        with mock.patch("os.fsync", side_effect=OSError(28, "No space left")):
            with self.assertRaises(DiskFullError):
                storage.append(entries(3, 3))
        storage.append(entries(3, 4))
        _, recovered = self.open()
        self.assertEqual(recovered.entries, entries(1, 4))
