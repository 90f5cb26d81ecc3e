import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st

from agatethread.control import DocumentState
from agatethread.control._watchers import WatchServer
from agatethread.entry._documents import DocumentBook
from agatethread.wire.control_pb2 import Command, PutDocument, WatchRequest
from benchmarks.virtual_time import VirtualLoop

SERVICES = ("receipts", "tab")
#: A change of a service's document, or the watcher reads what comes next.
STEPS = st.lists(st.sampled_from((*SERVICES, "read")), max_size=12)


class World:
    """One control instance, and a watcher that reads as slowly as a test wants."""

    def __init__(self):
        self.state = DocumentState()
        self.watch_server = WatchServer(self.state)
        self.book = DocumentBook()
        self.stream = self.watch_server.serve(self.requests(), None)

    async def requests(self):
        yield WatchRequest(instance="entry-1")
        await asyncio.Event().wait()

    def change(self, service):
        known = self.state.documents.get(service)
        version = known.version + 1 if known else 1
        text = f'{{"service": "{service}", "version": {version}}}'.encode()
        put = PutDocument(service=service, version=version, text=text, compact=text)
        index = self.state.last_index + 1
        command = Command(put_document=put, change_id=f"change {index}")
        self.state.apply(index, 1, command.SerializeToString())
        self.watch_server.wake()

    async def read(self):
        self.book.take(await anext(self.stream))

    def versions(self):
        return {name: one.version for name, one in self.book.documents.items()}

    def agreed(self):
        return {name: one.version for name, one in self.state.documents.items()}


def play(steps):
    """Play steps and two more reads; return what the watcher has and what it should."""

    async def main():
        world = World()
        for step in [*steps, "read", "read"]:
            if step == "read":
                await world.read()
            else:
                world.change(step)
        await world.stream.aclose()
        return world.versions(), world.agreed()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main())


class TestWatchHub(unittest.TestCase):
    def test_change_while_an_update_is_under_way_is_sent(self):
        """A document agreed between an update and the next read is in the next one."""
        found, agreed = play(["tab", "read", "receipts"])
        self.assertEqual(agreed, {"tab": 1, "receipts": 1})
        self.assertEqual(found, agreed)

    @given(STEPS)
    def test_watcher_has_all_whenever_it_reads(self, steps):
        """However reads and changes interleave, no document is left out."""
        found, agreed = play(steps)
        self.assertEqual(found, agreed)
