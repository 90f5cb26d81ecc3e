import asyncio
import unittest

from agatethread.control._replicated_state import MAX_EVACUATED_DOMAINS
from agatethread.observability import Counters
from agatethread.registry import RegistryTransport
from agatethread.wire import pack_address
from agatethread.wire.registry_pb2 import Evacuations, RegistryMessage, RoutesChunk
from tests.fakes import free_port


class TestRegistryTransport(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.transports = []

    async def asyncTearDown(self):
        for transport in self.transports:
            transport.close()

    def make_transport(self, received):
        port = free_port()
        transport = RegistryTransport(f"127.0.0.1:{port}", Counters(), "hall-a")
        transport.start(lambda message, _: received.append(message))
        self.transports.append(transport)
        return transport, pack_address(("127.0.0.1", port))

    async def test_receives_part_of_table_with_all_evacuated_names(self):
        """Guards against messages that no instance can read, as names are long."""
        received = []
        sender, _ = self.make_transport([])
        _, address = self.make_transport(received)
        names = [f"{n:02}{'x' * 253}" for n in range(MAX_EVACUATED_DOMAINS)]
        message = RegistryMessage(
            routes=RoutesChunk(
                data=b"x" * 1_100, evacuations=Evacuations(failure_domains=names)
            )
        )
        sender.send(message, address)
        for _ in range(100):
            if received:
                break
            await asyncio.sleep(0.01)
        self.assertEqual(received, [message])
