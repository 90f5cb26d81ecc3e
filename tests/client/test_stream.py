import asyncio
import unittest

from agatethread.client._stream import Stream
from agatethread.exceptions import FlowBrokenError
from agatethread.wire import Envelope, Kind, Reason

#: Longer than any step here; an `open` or a read that hangs ends at it.
LIMIT_S = 1.0


class TestStreamThatEnds(unittest.IsolatedAsyncioTestCase):
    """Ends of a flow at each moment of a caller's work."""

    async def asyncSetUp(self):
        self.sent = []
        self.stream = Stream("tab", 7, self.sent.append)

    def receive(self, kind, **fields):
        self.stream.on_envelope(Envelope(kind=kind, flow_id=7, **fields))

    async def open(self):
        opening = asyncio.ensure_future(self.stream.open(b"", LIMIT_S))
        await asyncio.sleep(0)
        self.receive(Kind.OPENED, cookie=b"c")
        await opening

    async def test_reset_before_the_flow_is_open_ends_the_opening(self):
        """The caller does not wait until its timeout."""
        opening = asyncio.ensure_future(self.stream.open(b"", 60.0))
        await asyncio.sleep(0)
        self.receive(Kind.RESET, reason=Reason.NO_ENDPOINT)
        with self.assertRaisesRegex(FlowBrokenError, "NO_ENDPOINT"):
            await asyncio.wait_for(opening, LIMIT_S)

    async def test_close_before_the_flow_is_open_ends_the_opening(self):
        """Another task of the caller closes the stream."""
        opening = asyncio.ensure_future(self.stream.open(b"", 60.0))
        await asyncio.sleep(0)
        self.stream.close()
        with self.assertRaisesRegex(FlowBrokenError, "closed"):
            await asyncio.wait_for(opening, LIMIT_S)

    async def test_reading_on_after_the_end_does_not_wait(self):
        """Each read after the end says that it has ended."""
        await self.open()
        self.receive(Kind.PUSH, sequence=1, payload=b"1")
        self.receive(Kind.CLOSED, cookie=b"c")
        self.assertEqual(await anext(self.stream), b"1")
        for _ in range(3):
            with self.assertRaises(StopAsyncIteration):
                await asyncio.wait_for(anext(self.stream), LIMIT_S)

    async def test_reading_on_after_a_reset_does_not_wait(self):
        """Each read names the reason of the reset."""
        await self.open()
        self.receive(Kind.RESET, reason=Reason.NO_ENDPOINT)
        for _ in range(3):
            with self.assertRaisesRegex(FlowBrokenError, "NO_ENDPOINT"):
                await asyncio.wait_for(anext(self.stream), LIMIT_S)
