import asyncio
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from soak import bodies
from soak.addresses import claim_addresses
from soak.fleet import Fleet
from soak.promise_monitor import PromiseMonitor
from soak.wire import Reply


class TestInvalidBodies(unittest.IsolatedAsyncioTestCase):
    async def find_breaches(self, status):
        """Send some bodies to control instances that give one status to all."""
        promises = PromiseMonitor()
        sender = bodies.InvalidBodies(lambda: ["127.0.0.1:1"], promises, 1)

        async def call(*_, **__):
            return Reply(status)

        with (
            mock.patch.object(bodies, "call", call),
            mock.patch.object(bodies, "ACK_LIMIT_S", 0.2),
        ):
            await sender.send_some()
        return {breach.promise for breach in promises.breaches}

    async def test_refused_bodies_are_no_breach(self):
        """A 4xx is the correct response."""
        for status in (400, 413):
            self.assertEqual(await self.find_breaches(status), set())

    async def test_accepted_body_is_a_breach(self):
        """An invalid body must not be acknowledged."""
        breaches = await self.find_breaches(200)
        self.assertEqual(breaches, {"nothing invalid is accepted"})

    async def test_body_without_clear_response_is_a_breach(self):
        """An invalid body must be refused, not left without a response."""
        for status in (0, 503):
            breaches = await self.find_breaches(status)
            self.assertEqual(breaches, {"what is invalid is refused in time"})


class TestFleet(unittest.IsolatedAsyncioTestCase):
    def test_number_of_a_removed_instance_is_not_used_again(self):
        """The proxies still listen at the addresses of a removed instance."""
        addresses = claim_addresses(8)
        self.addCleanup(addresses.claim.close)
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(Path(folder), addresses, 1, 1, 0)
            first = fleet.add_control("domain-1")
            fleet.remove(first)
            second = fleet.add_control("domain-1")
        self.assertNotEqual(first.number, second.number)

    async def test_memory_over_the_limit_is_reported(self):
        """The memory of a running process is read and compared."""
        addresses = claim_addresses(9)
        self.addCleanup(addresses.claim.close)
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(Path(folder), addresses, 1, 1, 0)
            watching = asyncio.ensure_future(fleet.watch_memory())
            with mock.patch.object(fleet, "find_pid", lambda _: "self"):
                await asyncio.sleep(0.05)
            watching.cancel()
            self.assertGreater(fleet.peak_memory_mb["control"], 5)
            fleet.peak_memory_mb = {"control": 300, "entry": 50}
            self.assertEqual(fleet.memory_excesses(), ["control: 300 MB, limit 256"])
