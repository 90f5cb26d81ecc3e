import asyncio
import unittest

from agatethread.entry._documents import DocumentBook, DocumentWatcher
from agatethread.observability import Counters
from agatethread.settings import Settings
from agatethread.wire.control_pb2 import DocumentRecord, WatchUpdate


def record(service, version, index):
    text = f'{{"service": "{service}", "version": {version}}}'.encode()
    return DocumentRecord(service=service, version=version, index=index, compact=text)


class FakeStream:
    """Brings updates, and notes what was acknowledged."""

    def __init__(self, *updates):
        self.updates = list(updates)
        self.acknowledged = []

    async def read(self):
        return self.updates.pop(0) if self.updates else None

    async def write(self, request):
        self.acknowledged.append(request.applied_index)


class TestDocumentBook(unittest.TestCase):
    def setUp(self):
        self.book = DocumentBook()
        self.book.take(WatchUpdate(index=1, documents=[record("tab", 1, 1)]))

    def versions(self):
        return {name: one.version for name, one in self.book.documents.items()}

    def test_gap_of_one_stream_is_filled_by_another(self):
        """A document that one stream left out is taken from any other's update."""
        self.book.take(WatchUpdate(index=2))
        full = [record("tab", 1, 1), record("receipts", 1, 2)]
        self.assertTrue(self.book.take(WatchUpdate(index=2, documents=full)))
        self.assertEqual(self.versions(), {"tab": 1, "receipts": 1})

    def test_nothing_goes_back(self):
        """An update of a control instance that is behind changes nothing."""
        new = WatchUpdate(index=3, documents=[record("tab", 2, 3)], drained=["entry-2"])
        self.assertTrue(self.book.take(new))
        old = WatchUpdate(index=1, documents=[record("tab", 1, 1)])
        self.assertFalse(self.book.take(old))
        self.assertEqual(self.versions(), {"tab": 2})
        self.assertEqual(self.book.drained, {"entry-2"})
        self.assertEqual(self.book.index, 3)

    def test_heartbeat_is_no_change(self):
        """What is known already is not taken again."""
        self.assertFalse(self.book.take(WatchUpdate(index=1)))

    def test_watcher_takes_what_another_stream_left_out(self):
        """A document at an index that is known already is put in force."""
        told = []
        watcher = DocumentWatcher(
            Settings("entry-1", "north", ("entry",), "127.0.0.1:1"),
            self.book,
            lambda: told.append(self.versions()),
            Counters(),
        )
        stream = FakeStream(
            WatchUpdate(index=2),
            WatchUpdate(index=2, documents=[record("receipts", 1, 2)]),
            WatchUpdate(index=2),
        )
        asyncio.run(watcher._follow(stream))
        self.assertEqual(told, [{"tab": 1}, {"tab": 1, "receipts": 1}])
        self.assertEqual(stream.acknowledged, [1, 2])
