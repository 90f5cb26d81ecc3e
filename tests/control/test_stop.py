import asyncio
import os
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from mode import Service

from agatethread.control import RoutingControlInstance, RoutingControlSettings
from agatethread.control._raft import RaftNode
from agatethread.control._storage import LogStorage
from agatethread.exceptions import DiskFullError
from agatethread.observability import Counters
from agatethread.registry import save_hints
from agatethread.wire.control_pb2 import ControlMember, HardState, LogEntry
from tests.fakes import free_port, own_host


class SlowService(Service):
    """Takes longer to stop than the interval between saves."""

    async def on_stop(self):
        await asyncio.sleep(0.7)


class TestStop(unittest.IsolatedAsyncioTestCase):
    """Stops a control instance at different moments of its work."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def make_control(self):
        host = own_host(4)
        target = f"{host}:{free_port()}"
        settings = RoutingControlSettings(
            name="control-1",
            failure_domain="a",
            target=target,
            registry=f"{host}:{free_port()}",
            api=target,
            seeds=(ControlMember(name=target, target=target, api=target, voter=True),),
            is_first_start=True,
            report_interval_s=10.0,
            losses_borne=0,
            catchup_s=4.0,
            grace_s=6.0,
            data_dir=str(self.folder),
        )
        return RoutingControlInstance(settings, Counters())

    def open_files(self):
        """Return the files of the folder that this process has open."""
        links = []
        for descriptor in os.listdir("/proc/self/fd"):
            try:
                links.append(os.readlink(f"/proc/self/fd/{descriptor}"))
            except FileNotFoundError:
                continue
        return [link for link in links if link.startswith(str(self.folder))]

    async def test_no_hints_are_written_after_the_stop(self):
        """Nor by a timer that fires while other parts are still stopping."""
        writes = []

        def save_slowly(*arguments):
            time.sleep(0.8)
            save_hints(*arguments)
            writes.append(time.monotonic())

        with mock.patch("agatethread.control._hints.save_hints", save_slowly):
            control = self.make_control()
            await control.start()
            await control.add_runtime_dependency(SlowService())
            await asyncio.sleep(0.6)
            stopping = asyncio.ensure_future(control.stop())
            while not stopping.done():
                control.runs.changed_index += 1
                await asyncio.sleep(0.05)
            stopped_s = time.monotonic()
            await asyncio.sleep(0.9)
        self.assertLess(max(writes, default=0.0), stopped_s)

    async def test_stop_while_the_log_is_opened_leaves_nothing_open(self):
        """No file, and no Raft server that others would call."""
        for delay_s in (0.0, 0.002, 0.005, 0.01, 0.02, 0.05):
            with self.subTest(delay_s=delay_s):
                control = self.make_control()
                host, _, port = control.settings.target.partition(":")
                await control.start()
                await asyncio.sleep(delay_s)
                await control.stop()
                await asyncio.sleep(0.05)
                self.assertEqual(self.open_files(), [])
                with self.assertRaises(ConnectionRefusedError):
                    await asyncio.open_connection(host, int(port))

    async def test_stop_during_a_slow_import_leaves_nothing_open(self):
        """The member is opened before its server's module is loaded."""
        control = self.make_control()
        started_nodes = []

        async def load_slowly():
            await asyncio.sleep(0.3)
            return mock.AsyncMock

        with (
            mock.patch(
                "agatethread.control._routing_control.load_log_port", load_slowly
            ),
            mock.patch.object(RaftNode, "on_started", started_nodes.append),
        ):
            await control.start()
            await asyncio.sleep(0.1)
            await control.stop()
        self.assertEqual(self.open_files(), [])
        self.assertEqual(started_nodes, [])


class TestClosedStorage(unittest.TestCase):
    def test_closed_log_writes_nothing(self):
        """A late call raises an error instead of opening the files again."""
        with tempfile.TemporaryDirectory() as name:
            storage = LogStorage(name)
            storage.recover()
            storage.close()
            before = sorted(os.listdir(name))
            for write in (
                lambda: storage.save_commit_index(3),
                lambda: storage.save_hard_state(HardState(term=2)),
                lambda: storage.append([LogEntry(index=1, term=1)]),
                lambda: storage.replace_log([]),
            ):
                with self.assertRaises(DiskFullError):
                    write()
            self.assertEqual(sorted(os.listdir(name)), before)
