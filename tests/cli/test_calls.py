import time
import unittest
from unittest import mock

from agatethread.cli._calls import wait_in_force
from agatethread.exceptions import UnavailableError
from agatethread.wire.control_pb2 import StatusReply, WatcherStatus

UNAVAILABLE = UnavailableError("no control instance answered")


def status(applied_index):
    """Return the statuses of a control instance with one connected entry instance."""
    watcher = WatcherStatus(
        instance="entry-1", applied_index=applied_index, connected=True
    )
    return [StatusReply(watchers=[watcher])]


class TestWaitInForce(unittest.IsolatedAsyncioTestCase):
    async def wait(self, answers, timeout_s=5.0):
        """Wait for index 3; control instances give the answers in turn."""
        with mock.patch(
            "agatethread.cli._calls.query_statuses", side_effect=answers
        ) as query:
            try:
                return await wait_in_force(None, 3, timeout_s)
            finally:
                self.query_count = query.call_count

    async def test_retries_while_no_control_instance_answers(self):
        """The wait goes on through brief outages, since the change was accepted."""
        answers = [UNAVAILABLE, status(2), UNAVAILABLE, status(3)]
        _, laggards = await self.wait(answers)
        self.assertEqual((laggards, self.query_count), ([], 4))

    async def test_raises_if_last_query_before_timeout_fails(self):
        """Without an answer by the timeout, the state of the change is unknown."""
        started_s = time.monotonic()
        with self.assertRaises(UnavailableError):
            await self.wait([UNAVAILABLE] * 1_000, timeout_s=0.3)
        self.assertLess(time.monotonic() - started_s, 2.0)

    async def test_returns_laggards_at_timeout(self):
        """Instances that are behind are returned with the reason."""
        _, laggards = await self.wait([status(2)] * 1_000, timeout_s=0.2)
        self.assertEqual([row["why"] for row in laggards], ["behind"])
