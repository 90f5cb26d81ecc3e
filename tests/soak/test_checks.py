import asyncio
import json
import tempfile
import unittest
from pathlib import Path

from soak.addresses import draw_addresses
from soak.backend import BackendServer
from soak.callers import Tally
from soak.operator import Operator
from soak.promises import Promises
from soak.run import Size, Soak
from soak.wire import SYN, Reply, Segment, call, decode, encode, host_number
from tests.fakes import free_port

ROOT = Path(__file__).parents[2]
ALPHA = (host_number("198.18.0.1"), 443)
BETA = (host_number("198.18.0.1"), 8_080)


class Liar:
    """Acknowledges every change and reads back whatever a test tells it to."""

    def __init__(self):
        self.bodies = []
        self.reply = Reply(503)
        self.address = f"127.0.0.1:{free_port()}"

    async def serve(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = int(head.lower().partition("content-length: ")[2].split()[0])
        body = await reader.readexactly(length)
        reply = self.reply
        if head.startswith("PUT"):
            self.bodies.append(body)
            reply = Reply(200)
        writer.write(
            f"HTTP/1.1 {reply.status} x\r\ncontent-length: {len(reply.body)}\r\n\r\n"
            "".encode()
            + reply.body
        )
        writer.close()


class TestOperator(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.liar = Liar()
        host, port = self.liar.address.split(":")
        server = await asyncio.start_server(self.liar.serve, host, int(port))
        self.addCleanup(server.close)
        self.promises = Promises()
        self.operator = Operator(lambda: [self.liar.address], self.promises, 1)

    async def read_back(self, body):
        self.liar.reply = Reply(200, body)
        await self.operator.read(self.liar.address)
        return [breach.promise for breach in self.promises.breaches]

    async def test_older_read_is_a_breach(self):
        """After a second change, the first one must not be read back."""
        await self.operator.change()
        await self.operator.change()
        found = await self.read_back(self.liar.bodies[0])
        self.assertEqual(found, ["a read is never older than what was known"])

    async def test_newest_read_is_none(self):
        """What was acknowledged last is read back without a word."""
        await self.operator.change()
        self.assertEqual(await self.read_back(self.liar.bodies[-1]), [])

    async def test_two_winners_are_a_breach(self):
        """Both bodies that were sent under one number are read back."""
        await self.operator.race()
        await self.read_back(self.liar.bodies[0])
        found = await self.read_back(self.liar.bodies[1])
        self.assertEqual(found, ["a version has one winner"])

    async def test_invented_configuration_is_a_breach(self):
        """What nobody sent is read back."""
        found = await self.read_back(b"{}")
        self.assertEqual(found, ["what is read was sent"])


class TestBackendServer(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.promises = Promises()
        operator = Operator(list, self.promises, 1)
        addresses = draw_addresses(7)
        self.addCleanup(addresses.claim.close)
        self.evacuated_s = operator.evacuated_s
        self.server = BackendServer(
            200,
            "alpha",
            addresses,
            list,
            operator.allows,
            self.evacuated_s,
            self.promises,
        )
        await self.server.start()
        self.addCleanup(self.server.crash)

    def take(self, target, flags=SYN):
        """Hand a packet to the server as an entry instance does."""
        segment = Segment(1, (host_number("127.104.0.9"), 1), target, flags, 1, 0, b"")
        number = int(self.server.run_id[2:], 16).to_bytes(8, "big")
        self.server.datagram_received(number + encode(segment), ("", 0))
        return [breach.promise for breach in self.promises.breaches]

    async def test_packet_of_another_service_is_a_breach(self):
        """A packet for a destination that never led to its service."""
        self.assertEqual(self.take(ALPHA), [])
        self.assertEqual(self.take(BETA), ["no packet reaches another service"])

    async def test_late_opening_at_a_leaving_server_is_a_breach(self):
        """A new flow comes long after its drain was acknowledged, in calm."""
        self.server.drain_known_s = self.promises.now_s() - 10
        self.assertEqual(self.take(ALPHA), ["no new flow after a drain is known"])

    async def test_late_opening_in_an_evacuated_domain_is_a_breach(self):
        """A new flow comes long after its evacuation was acknowledged, in calm."""
        self.evacuated_s["another domain"] = self.promises.now_s() - 10
        self.assertEqual(self.take(ALPHA), [])
        self.server._flows.clear()
        self.evacuated_s[self.server.failure_domain] = self.promises.now_s() - 10
        self.assertEqual(self.take(ALPHA), ["no new flow in an evacuated domain"])

    async def test_late_opening_is_not_judged_among_faults(self):
        """While something is disturbed, the bound does not hold."""
        self.server.drain_known_s = self.promises.now_s() - 10
        self.promises.begin("cut")
        self.assertEqual(self.take(ALPHA), [])


class TestAddresses(unittest.TestCase):
    def test_runs_with_one_seed_have_nets_of_their_own(self):
        """What a run has claimed is free again when it is over."""
        first, second = draw_addresses(7), draw_addresses(7)
        self.addCleanup(second.claim.close)
        self.assertNotEqual(first.net, second.net)
        first.claim.close()
        third = draw_addresses(7)
        self.addCleanup(third.claim.close)
        self.assertEqual(third.net, first.net)


class TestTally(unittest.TestCase):
    def test_share_counts_requests_by_their_beginning(self):
        """Only requests begun in the time asked for count."""
        tally = Tally()
        for began_s, is_served in (
            (0.5, False),
            (1.2, True),
            (2.9, True),
            (3.0, False),
        ):
            tally.note(began_s, is_served)
        self.assertEqual(tally.share_served(1, 3), (1.0, 2))
        self.assertEqual(tally.share_served(0, 4), (0.5, 4))


class TestWire(unittest.IsolatedAsyncioTestCase):
    def test_packet_comes_back_as_it_was(self):
        """What is written is read back."""
        segment = Segment(7, (1, 2), (3, 4), SYN, 5, 6, b"x")
        self.assertEqual(decode(encode(segment)), segment)

    async def test_no_answer_is_a_reply_without_a_status(self):
        """A call that nobody answers tells so."""
        reply = await call(f"127.0.0.1:{free_port()}", "GET", "/")
        self.assertEqual(reply.status, 0)


class TestSoak(unittest.IsolatedAsyncioTestCase):
    async def test_short_run_keeps_every_promise(self):
        """A few faults against real processes, with a fixed seed."""
        with tempfile.TemporaryDirectory() as folder:
            size = Size(entry_count=3, server_count=4, caller_count=6)
            soak = Soak(Path(folder), 1, size, ROOT)
            report = await soak.play(20)
        self.assertEqual(report.breaches, [], json.dumps(report.breaches))
        self.assertGreater(report.requests, 100)
