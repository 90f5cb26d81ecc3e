import asyncio
import unittest

from agatethread.entry._documents import DocumentStore, DocumentWatcher
from agatethread.observability import Counters
from agatethread.settings import Settings
from agatethread.wire.control_pb2 import DocumentRecord, WatchUpdate


def record(service, version, index):
    text = f'{{"service": "{service}", "version": {version}}}'.encode()
    return DocumentRecord(service=service, version=version, index=index, compact=text)


class FakeStream:
    """Stream double that returns updates and records acknowledged indexes."""

    def __init__(self, *updates):
        self.updates = list(updates)
        self.acknowledged = []

    async def read(self):
        return self.updates.pop(0) if self.updates else None

    async def write(self, request):
        self.acknowledged.append(request.applied_index)


class TestDocumentStore(unittest.TestCase):
    def setUp(self):
        self.document_store = DocumentStore()
        self.document_store.apply_update(
            WatchUpdate(index=1, documents=[record("tab", 1, 1)])
        )

    def versions(self):
        return {
            name: document.version
            for name, document in self.document_store.documents.items()
        }

    def test_applies_document_missing_from_other_stream(self):
        """A document missing from one stream is applied from another one."""
        self.document_store.apply_update(WatchUpdate(index=2))
        all_records = [record("tab", 1, 1), record("receipts", 1, 2)]
        self.assertTrue(
            self.document_store.apply_update(
                WatchUpdate(index=2, documents=all_records)
            )
        )
        self.assertEqual(self.versions(), {"tab": 1, "receipts": 1})

    def test_ignores_outdated_update(self):
        """An update of a control instance that lags behind changes nothing."""
        newer_update = WatchUpdate(
            index=3, documents=[record("tab", 2, 3)], drained=["entry-2"]
        )
        self.assertTrue(self.document_store.apply_update(newer_update))
        outdated_update = WatchUpdate(index=1, documents=[record("tab", 1, 1)])
        self.assertFalse(self.document_store.apply_update(outdated_update))
        self.assertEqual(self.versions(), {"tab": 2})
        self.assertEqual(self.document_store.drained, {"entry-2"})
        self.assertEqual(self.document_store.index, 3)

    def test_update_without_newer_index_changes_nothing(self):
        """An update without a newer index changes nothing."""
        self.assertFalse(self.document_store.apply_update(WatchUpdate(index=1)))

    def test_watcher_applies_new_document_at_known_index(self):
        """A new document is applied though the index of the update is known."""
        applied_versions = []
        watcher = DocumentWatcher(
            Settings("entry-1", "north", ("entry",), "127.0.0.1:1"),
            self.document_store,
            lambda: applied_versions.append(self.versions()),
            Counters(),
        )
        stream = FakeStream(
            WatchUpdate(index=2),
            WatchUpdate(index=2, documents=[record("receipts", 1, 2)]),
            WatchUpdate(index=2),
        )
        asyncio.run(watcher._receive_updates(stream))
        self.assertEqual(applied_versions, [{"tab": 1}, {"tab": 1, "receipts": 1}])
        self.assertEqual(stream.acknowledged, [1, 2])
