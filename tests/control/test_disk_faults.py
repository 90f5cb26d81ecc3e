import contextlib
import os
import random
import shutil
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from logbook import TestHandler

from agatethread.control import LogStorage, PeerCalls, RaftNode, Role
from agatethread.control._log import ReplicatedLog
from agatethread.control._log_opening import open_log
from agatethread.exceptions import DiskFullError
from agatethread.observability import Event
from agatethread.settings import ControlSettings
from agatethread.wire.control_pb2 import (
    ControlState,
    LogEntry,
    VoteReply,
    VoteRequest,
)

#: Calls of the operating system that fail here.
CALLS = ("fsync", "ftruncate", "replace")


@contextlib.contextmanager
def failing(name, nth, count):
    """Let some calls in a row fail, beginning with the `nth` from now."""
    original, calls = getattr(os, name), 0

    def call(*arguments):
        nonlocal calls
        calls += 1
        if nth <= calls < nth + count:
            raise OSError(5, "Input/output error")
        return original(*arguments)

    with mock.patch(f"os.{name}", call):
        yield


class LogOnFaultyDisk:
    """A log whose files are compared with memory after each operation."""

    def __init__(self, folder, generator):
        self.folder, self.random = folder, generator
        self.term = 1
        self.storage = LogStorage(str(folder))
        recovered = self.storage.recover()
        self.log = ReplicatedLog(self.storage, recovered.snapshot, recovered.entries)

    def append(self):
        first = self.log.last_index + 1
        entries = [
            LogEntry(index=index, term=self.term, command=os.urandom(30))
            for index in range(first, first + self.random.randint(1, 4))
        ]
        self.log.append(entries)

    def overwrite(self):
        """Replace entries at the end as those of another leader do."""
        self.term += 1
        kept = self.random.randint(self.log.snapshot_index, self.log.last_index)
        self.log.truncate_after(kept)
        self.append()

    def compact(self):
        index = self.random.randint(self.log.snapshot_index, self.log.last_index)
        term = self.log.term_at(index)
        self.log.compact(ControlState(last_index=index, last_term=term))

    def play(self):
        """Run one operation, which may fail; any other error ends the test."""
        step = self.random.choice(
            (self.append, self.append, self.overwrite, self.compact)
        )
        fault = contextlib.nullcontext()
        if self.random.random() < 0.5:
            name = self.random.choice(CALLS)
            fault = failing(name, self.random.randint(1, 3), self.random.randint(1, 3))
        with fault, contextlib.suppress(DiskFullError):
            step()

    def entries(self):
        return self.log.entries_between(self.log.snapshot_index, self.log.last_index)

    def recover_copy(self):
        """Return what a restart would recover: snapshot index and entries."""
        with tempfile.TemporaryDirectory() as name:
            copy = Path(name) / "disk"
            shutil.copytree(self.folder, copy)
            storage = LogStorage(str(copy))
            try:
                recovered = storage.recover()
            finally:
                storage.close()
            return recovered.snapshot.last_index, recovered.entries


class TestFaultyDisk(unittest.TestCase):
    def test_acknowledged_entries_survive_failed_calls(self):
        """A restart finds just what memory held, whichever call failed before."""
        for seed in range(150):
            with self.subTest(seed=seed), tempfile.TemporaryDirectory() as name:
                faulty = LogOnFaultyDisk(Path(name), random.Random(seed))
                for _ in range(12):
                    faulty.play()
                    snapshot_index, entries = faulty.recover_copy()
                    held = [e for e in faulty.entries() if e.index > snapshot_index]
                    self.assertEqual(entries, held)
                faulty.storage.close()


class TestMemberOnFaultyDisk(unittest.IsolatedAsyncioTestCase):
    """One member of a Raft log whose disk fails at chosen moments."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.now_s = 0.0

    def make_node(self, peers=None):
        storage = LogStorage(str(self.folder))
        self.addCleanup(storage.close)
        return RaftNode(
            "a", ControlSettings("x"), storage, peers or {}, lambda: self.now_s
        )

    async def test_stopped_member_adopts_no_term(self):
        """A reply that comes after the stop changes nothing on the disk."""

        async def vote(_):
            await node.stop()
            return VoteReply(term=9)

        node = self.make_node({"b": PeerCalls(vote, vote, vote)})
        before = sorted(self.folder.iterdir())
        granted = await node.elections.request_vote(
            node.member_state.get_peer("b"), VoteRequest(term=1)
        )
        self.assertFalse(granted)
        self.assertEqual(node.term, 0)
        self.assertEqual(sorted(self.folder.iterdir()), before)

    async def test_term_of_a_late_reply_that_is_not_saved_is_logged(self):
        """The task of the reply is not awaited, so that an error would be lost."""

        async def vote(_):
            return VoteReply(term=9)

        node = self.make_node({"b": PeerCalls(vote, vote, vote)})
        with failing("fsync", 1, 1), TestHandler() as handler:
            await node.elections.request_vote(
                node.member_state.get_peer("b"), VoteRequest(term=1)
            )
        self.assertTrue(handler.has_error(Event.TERM_NOT_SAVED))
        self.assertEqual(node.term, 0)

    async def test_leader_whose_first_entry_is_not_written_does_not_lead(self):
        """It would refuse changes for ever, with no entry of its own term."""
        node = self.make_node()
        self.addAsyncCleanup(node.stop)
        node.member_state.vote_state.enable_voting()
        with failing("fsync", 3, 1), self.assertRaises(DiskFullError):
            await node.run_election()
        self.assertIsNot(node.role, Role.LEADER)
        await node.run_election()
        self.assertIs(node.role, Role.LEADER)
        self.assertTrue(node.has_committed_in_term)

    async def test_deposed_leader_names_no_leader(self):
        """A caller that is sent to the leader must not come back to this member."""
        node = self.make_node()
        self.addAsyncCleanup(node.stop)
        await node.run_election()
        confirmation = node.member_state.confirmations.start()
        node.member_state.become_follower("")
        self.assertEqual(confirmation.exception().leader, "")

    async def test_log_that_cannot_be_read_is_opened_later(self):
        """An error of the system does not end the attempts."""
        settings = mock.Mock(
            data_dir=str(self.folder), target="x", is_first_start=True, seeds=()
        )
        self.make_node()._storage.close()
        pauses = []

        async def sleep(_):
            pauses.append(1)

        names = mock.Mock(side_effect=[OSError(5, "Input/output error"), "a"])
        with mock.patch(
            "agatethread.control._log_opening.load_or_create_member_name", names
        ):
            node = await open_log(
                settings, lambda name, storage: storage, lambda: False, sleep
            )
        self.addCleanup(node.close)
        self.assertEqual(len(pauses), 1)
