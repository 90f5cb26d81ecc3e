import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st

from agatethread.control import ReplicatedState
from agatethread.control._watch_server import WatchServer
from agatethread.entry._documents import DocumentStore
from agatethread.wire.control_pb2 import Command, PutDocument, WatchRequest
from benchmarks.virtual_time import VirtualLoop

SERVICES = ("receipts", "tab")
#: A service whose document changes, or a read of the watcher.
STEPS = st.lists(st.sampled_from((*SERVICES, "read")), max_size=12)


class World:
    """A control instance and a watcher that reads when the test asks for it."""

    def __init__(self):
        self.state = ReplicatedState()
        self.watch_server = WatchServer(self.state)
        self.book = DocumentStore()
        self.stream = self.watch_server.serve(self.requests(), None)

    async def requests(self):
        yield WatchRequest(instance="entry-1")
        await asyncio.Event().wait()

    def change(self, service):
        record = self.state.documents.get(service)
        version = record.version + 1 if record else 1
        text = f'{{"service": "{service}", "version": {version}}}'.encode()
        put = PutDocument(service=service, version=version, text=text, compact=text)
        index = self.state.last_index + 1
        command = Command(put_document=put, change_id=f"change {index}")
        self.state.apply(index, 1, command.SerializeToString())
        self.watch_server.wake()

    async def read(self):
        self.book.apply_update(await anext(self.stream))

    def received(self):
        return {
            name: document.version for name, document in self.book.documents.items()
        }

    def committed(self):
        return {name: record.version for name, record in self.state.documents.items()}


def run_steps(steps):
    """Run steps and two more reads; return received and committed versions."""

    async def main():
        world = World()
        for step in [*steps, "read", "read"]:
            if step == "read":
                await world.read()
            else:
                world.change(step)
        await world.stream.aclose()
        return world.received(), world.committed()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main())


class TestWatchServer(unittest.TestCase):
    def test_sends_change_made_during_update(self):
        """A document committed between two reads of updates is in the second one."""
        received_versions, committed = run_steps(["tab", "read", "receipts"])
        self.assertEqual(committed, {"tab": 1, "receipts": 1})
        self.assertEqual(received_versions, committed)

    @given(STEPS)
    def test_watcher_receives_all_documents(self, steps):
        """However reads and changes interleave, the watcher receives all documents."""
        received_versions, committed = run_steps(steps)
        self.assertEqual(received_versions, committed)
