import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from agatethread_platform import control


class TestControlRole(unittest.IsolatedAsyncioTestCase):
    async def test_decodes_one_configuration_at_a_time(self):
        """Guards against several large bodies that need the memory of all at once."""
        running, peak = 0, 0

        def decode(body):
            nonlocal running, peak
            running += 1
            peak = max(peak, running)
            for _ in range(5):
                yield
            running -= 1
            return body

        async def prepare(document, _):
            return document

        committed = []

        async def commit(change):
            committed.append(change)

        role = object.__new__(control.ControlRole)
        orders = SimpleNamespace(prepare_routes=prepare, commit_routes=commit)
        role.instance = SimpleNamespace(orders=orders)
        role._decoding = asyncio.Lock()
        with mock.patch.object(control, "decode_configuration_in_steps", decode):
            await asyncio.gather(*(role._put_configuration(b"x") for _ in range(8)))
        self.assertEqual((peak, len(committed)), (1, 8))
