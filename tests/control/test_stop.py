import asyncio
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from mode import Service

from agatethread.control import RoutingControlInstance, RoutingControlSettings
from agatethread.observability import Counters
from agatethread.registry import save_hints
from agatethread.wire.control_pb2 import ControlMember
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
            data_dir=str(self.folder),
        )
        return RoutingControlInstance(settings, Counters())

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
