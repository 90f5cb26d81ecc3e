import time
import unittest
from unittest import mock

from agatethread.cli._calls import wait_in_force
from agatethread.exceptions import UnavailableError
from agatethread.wire.control_pb2 import StatusReply, WatcherStatus

UNAVAILABLE = UnavailableError("no control instance answered")


def status(applied_index):
    """A control instance that sees one entry instance."""
    watcher = WatcherStatus(
        instance="entry-1", applied_index=applied_index, connected=True
    )
    return [StatusReply(watchers=[watcher])]


class TestWaitInForce(unittest.IsolatedAsyncioTestCase):
    async def wait(self, answers, limit_s=5.0):
        """Wait for index 3, while control answers as given."""
        with mock.patch(
            "agatethread.cli._calls.all_statuses", side_effect=answers
        ) as asked:
            try:
                return await wait_in_force(None, 3, limit_s)
            finally:
                self.asked_count = asked.call_count

    async def test_a_moment_without_an_answer_is_waited_through(self):
        """The change was accepted, so the wait goes on until its limit."""
        answers = [UNAVAILABLE, status(2), UNAVAILABLE, status(3)]
        _, laggards = await self.wait(answers)
        self.assertEqual((laggards, self.asked_count), ([], 4))

    async def test_no_answer_until_the_limit_is_an_error(self):
        """Nothing is known of the change, so nothing is said of it."""
        started_s = time.monotonic()
        with self.assertRaises(UnavailableError):
            await self.wait([UNAVAILABLE] * 1_000, limit_s=0.3)
        self.assertLess(time.monotonic() - started_s, 2.0)

    async def test_laggards_are_named_at_the_limit(self):
        """Who is behind is told with the reason."""
        _, laggards = await self.wait([status(2)] * 1_000, limit_s=0.2)
        self.assertEqual([row["why"] for row in laggards], ["behind"])
