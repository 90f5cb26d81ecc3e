import asyncio
import threading
import unittest
from unittest import mock

from agatethread.control._hints import HintSaver


class TestHintSaver(unittest.IsolatedAsyncioTestCase):
    """Writes run in threads, which outlive the tasks that wait for them."""

    def setUp(self):
        self.runs = mock.Mock(changed_index=1)
        self.hub = mock.Mock()
        self.hub.known_entries.return_value = (b"entry",)
        self.tasks = []
        self.saver = HintSaver("folder", self.runs, self.hub, lambda: None, self.spawn)

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def test_waits_for_write_after_its_task_was_cancelled(self):
        """Waiting covers the thread of a write whose task was cancelled."""
        may_finish, done = threading.Event(), threading.Event()

        def save(*_):
            may_finish.wait(5.0)
            done.set()

        with mock.patch("agatethread.control._hints.save_hints", save):
            self.saver.save()
            await asyncio.sleep(0.05)
            self.tasks[0].cancel()
            asyncio.get_running_loop().call_later(0.1, may_finish.set)
            await self.saver.wait_for_write()
        self.assertTrue(done.is_set())

    async def test_returns_without_pending_write(self):
        """Without a write in progress, the wait returns at once."""
        await self.saver.wait_for_write()

    async def test_closed_saver_starts_no_write(self):
        """A timer that fires during the stop writes nothing to the folder."""
        with mock.patch("agatethread.control._hints.save_hints") as save:
            await self.saver.close()
            self.saver.save()
            await asyncio.sleep(0.05)
        save.assert_not_called()

    async def test_saves_entry_instances_only_when_changed(self):
        """A new entry instance is saved; an unchanged list is not written again."""
        with mock.patch("agatethread.control._hints.save_hints") as save:
            for entries in ((b"1",), (b"1",), (b"1", b"2")):
                self.hub.known_entries.return_value = entries
                self.saver.save()
                await asyncio.gather(*self.tasks)
        saved = [call.args[2] for call in save.call_args_list]
        self.assertEqual(saved, [(b"1",), (b"1", b"2")])

    async def test_skips_backend_servers_when_disabled(self):
        """With `saves_registry` off, only the commit index is saved."""
        saver = HintSaver(
            "folder",
            self.runs,
            self.hub,
            lambda: None,
            self.spawn,
            saves_registry=False,
        )
        with mock.patch("agatethread.control._hints.save_hints") as save:
            saver.save()
            await asyncio.gather(*self.tasks)
        save.assert_not_called()
