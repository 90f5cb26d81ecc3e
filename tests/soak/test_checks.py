import asyncio
import json
import tempfile
import unittest
from pathlib import Path

from soak.addresses import claim_addresses
from soak.backend import BackendServer
from soak.callers import Caller, Tally
from soak.flows import Flow
from soak.open_flows import OpenFlows
from soak.operator import Operator
from soak.promise_monitor import CALM_AFTER_S, NOBODY, PromiseMonitor
from soak.run import RunSize, Soak
from soak.wire import ACK, FIN, SYN, Reply, Segment, call, decode, encode, host_number
from tests.fakes import free_port

ROOT = Path(__file__).parents[2]
ALPHA = (host_number("198.18.0.1"), 443)
BETA = (host_number("198.18.0.1"), 8_080)


class FakeControl:
    """A control instance that acknowledges all changes and returns a preset reply."""

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
        self.control = FakeControl()
        host, port = self.control.address.split(":")
        server = await asyncio.start_server(self.control.serve, host, int(port))
        self.addCleanup(server.close)
        self.promises = PromiseMonitor()
        self.operator = Operator(lambda: [self.control.address], self.promises, 1)

    async def read_breaches(self, body):
        self.control.reply = Reply(200, body)
        await self.operator.read(self.control.address)
        return [breach.promise for breach in self.promises.breaches]

    async def test_older_read_is_a_breach(self):
        """Reading the first change after the second one is a breach."""
        await self.operator.change()
        await self.operator.change()
        breaches = await self.read_breaches(self.control.bodies[0])
        self.assertEqual(breaches, ["a read is never older than what was known"])

    async def test_reading_acknowledged_version_is_no_breach(self):
        """Reading the last acknowledged change is correct."""
        await self.operator.change()
        self.assertEqual(await self.read_breaches(self.control.bodies[-1]), [])

    async def test_two_winners_are_a_breach(self):
        """Reading two bodies of the same version is a breach."""
        await self.operator.race()
        await self.read_breaches(self.control.bodies[0])
        breaches = await self.read_breaches(self.control.bodies[1])
        self.assertEqual(breaches, ["a version has one winner"])

    async def test_unknown_configuration_is_a_breach(self):
        """Reading a body that was never sent is a breach."""
        breaches = await self.read_breaches(b"{}")
        self.assertEqual(breaches, ["what is read was sent"])


class TestBackendServer(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.promises = PromiseMonitor()
        operator = Operator(list, self.promises, 1)
        addresses = claim_addresses(7)
        self.addCleanup(addresses.claim.close)
        self.evacuated_s = operator.evacuated_s
        self.server = BackendServer(
            200,
            "alpha",
            addresses,
            list,
            operator.can_route,
            self.evacuated_s,
            self.promises,
            OpenFlows(self.promises),
        )
        await self.server.start()
        self.addCleanup(self.server.crash)

    def deliver(self, target, flags=SYN):
        """Deliver a packet to the server; return the broken promises."""
        segment = Segment(1, (host_number("127.104.0.9"), 1), target, flags, 1, 0, b"")
        number = int(self.server.run_id[2:], 16).to_bytes(8, "big")
        self.server.datagram_received(number + encode(segment), ("127.0.0.5", 0))
        return [breach.promise for breach in self.promises.breaches]

    async def test_packet_of_another_service_is_a_breach(self):
        """A packet for a destination of another service is a breach."""
        self.assertEqual(self.deliver(ALPHA), [])
        self.assertEqual(self.deliver(BETA), ["no packet reaches another service"])

    async def test_late_opening_at_draining_server_is_a_breach(self):
        """A new flow long after the acknowledged drain, in calm, is a breach."""
        self.server.drain_acknowledged_s = self.promises.now_s() - 10
        self.assertEqual(self.deliver(ALPHA), ["no new flow after a drain is known"])

    async def test_late_opening_in_evacuated_domain_is_a_breach(self):
        """A new flow long after the acknowledged evacuation, in calm, is a breach."""
        self.evacuated_s["another domain"] = self.promises.now_s() - 10
        self.assertEqual(self.deliver(ALPHA), [])
        self.server._flows.clear()
        self.evacuated_s[self.server.failure_domain] = self.promises.now_s() - 10
        self.assertEqual(self.deliver(ALPHA), ["no new flow in an evacuated domain"])

    async def test_late_opening_during_fault_is_no_breach(self):
        """The time limit does not apply during a fault."""
        self.server.drain_acknowledged_s = self.promises.now_s() - 10
        self.promises.begin_fault("cut")
        self.assertEqual(self.deliver(ALPHA), [])


class FakeRouter:
    """Names instances by their numbers."""

    def name_of(self, number):
        return f"entry-{number}"


class TestOpenFlows(unittest.IsolatedAsyncioTestCase):
    """Whose reset of an open flow counts, and when; where its packets may go."""

    async def asyncSetUp(self):
        self.promises = PromiseMonitor()
        self.promises.started_s = asyncio.get_running_loop().time() - 100.0
        self.addresses = claim_addresses(8)
        self.addCleanup(self.addresses.claim.close)
        self.operator = Operator(list, self.promises, 1)
        self.open_flows = OpenFlows(self.promises)
        self.server = await self.start_server(200)
        self.caller = Caller(
            1,
            self.addresses,
            FakeRouter(),
            self.operator.targets,
            self.open_flows,
            self.promises,
            Tally(),
        )
        self.flow = Flow((host_number("127.104.8.1"), 40_001), ALPHA, lambda _: 4)
        self.flow.instance = 4
        self.deliver(self.server, SYN)
        self.deliver(self.server, ACK)

    async def start_server(self, number):
        server = BackendServer(
            number,
            "alpha",
            self.addresses,
            list,
            self.operator.can_route,
            {},
            self.promises,
            self.open_flows,
        )
        await server.start()
        self.addCleanup(server.crash)
        return server

    def deliver(self, server, flags):
        """Deliver a packet of the flow to a server, through an instance."""
        segment = Segment(1, self.flow.source, ALPHA, flags, 1, 0, b"")
        run_number = int(server.run_id[2:], 16).to_bytes(8, "big")
        sender = (self.addresses.advertised(5), 1)
        server.datagram_received(run_number + encode(segment), sender)

    def count_breaches(self, sender=5):
        """Have the flow reset by an instance, and return the breaches so far."""
        self.caller._check_reset(self.flow, self.addresses.advertised(sender))
        return len(self.promises.breaches)

    async def test_reset_of_a_sound_run_is_a_breach(self):
        """No fault has touched anybody."""
        self.assertEqual(self.count_breaches(), 1)

    async def test_reset_of_a_run_that_reported_its_end_is_a_breach(self):
        """Its flows are open until its process is gone."""
        self.server.draining = True
        await self.server._report_end()
        self.assertEqual(self.count_breaches(), 1)

    async def test_reset_of_a_flow_without_an_answer_is_a_breach(self):
        """A flow is open from the end of its handshake, not from its first answer."""
        self.open_flows.record_exit(self.server)
        self.assertEqual(self.count_breaches(), 0)
        self.deliver(self.server, ACK)
        self.assertEqual(self.count_breaches(), 1)

    async def test_reset_before_the_handshake_has_ended_is_no_breach(self):
        """A server that only got a copy of the opening does not hold the flow."""
        self.deliver(self.server, FIN)
        self.deliver(self.server, SYN)
        self.assertEqual(self.count_breaches(), 0)

    async def test_reset_under_planned_work_is_a_breach(self):
        """Planned work ends calm, but disturbs nobody."""
        self.promises.begin_fault("rolling stop", NOBODY)
        self.assertFalse(self.promises.is_calm())
        self.assertEqual(self.count_breaches(), 1)

    async def test_reset_while_another_instance_is_disturbed_is_a_breach(self):
        """The flow involves neither that instance nor that server."""
        self.promises.begin_fault("kill", frozenset({"entry-6", "server-3"}))
        self.assertEqual(self.count_breaches(), 1)

    async def test_reset_by_or_through_a_disturbed_instance_is_no_breach(self):
        """Counts neither during the fault nor shortly after it."""
        for name in ("entry-5", "entry-4", "server-200"):
            self.promises.begin_fault(name, frozenset({name}))
            self.assertEqual(self.count_breaches(), 0)
            self.promises.end_fault(name)
            self.assertEqual(self.count_breaches(), 0)

    async def test_reset_long_after_a_disturbance_is_a_breach(self):
        """Four seconds after the fault everybody is in touch again."""
        self.promises.begin_fault("cut")
        self.assertEqual(self.count_breaches(), 0)
        self.promises.end_fault("cut")
        self.promises.started_s -= CALM_AFTER_S
        self.assertEqual(self.count_breaches(), 1)

    async def test_reset_by_the_run_itself_is_a_breach_in_calm_only(self):
        """A run resets a flow that it does not hold."""
        self.promises.begin_fault("rolling stop", NOBODY)
        self.caller._check_reset(self.flow, self.server.host)
        self.assertEqual(self.promises.breaches, [])
        self.promises.end_fault("rolling stop")
        self.promises.started_s -= CALM_AFTER_S
        self.caller._check_reset(self.flow, self.server.host)
        self.assertEqual(len(self.promises.breaches), 1)

    async def test_reset_of_a_run_that_is_gone_is_no_breach(self):
        """A process that crashed, or exited, or started again has no flows."""
        self.server.crash()
        self.assertEqual(self.count_breaches(), 0)
        await self.server.start()
        self.assertEqual(self.count_breaches(), 0)

    async def test_packets_that_reach_other_runs_are_a_breach(self):
        """Three of them, and none at the flow's own run for two seconds."""
        other = await self.start_server(201)
        for _ in range(3):
            self.deliver(other, ACK | FIN)
        self.assertEqual(self.promises.breaches, [])
        self.promises.started_s -= 2.0
        self.deliver(other, ACK | FIN)
        self.assertEqual(
            [breach.promise for breach in self.promises.breaches],
            ["an open flow stays at its run"],
        )


class TestAddresses(unittest.TestCase):
    def test_concurrent_runs_with_one_seed_use_different_nets(self):
        """The net of a run is free again after the run."""
        first, second = claim_addresses(7), claim_addresses(7)
        self.addCleanup(second.claim.close)
        self.assertNotEqual(first.net, second.net)
        first.claim.close()
        third = claim_addresses(7)
        self.addCleanup(third.claim.close)
        self.assertEqual(third.net, first.net)


class TestTally(unittest.TestCase):
    def test_served_share_counts_requests_by_start(self):
        """Only requests started in the period are counted."""
        tally = Tally()
        for started_s, is_served in (
            (0.5, False),
            (1.2, True),
            (2.9, True),
            (3.0, False),
        ):
            tally.record(started_s, is_served)
        self.assertEqual(tally.served_share_between(1, 3), (1.0, 2))
        self.assertEqual(tally.served_share_between(0, 4), (0.5, 4))


class TestWire(unittest.IsolatedAsyncioTestCase):
    def test_decoding_restores_encoded_packet(self):
        """All fields survive encoding and decoding."""
        segment = Segment(7, (1, 2), (3, 4), SYN, 5, 6, b"x")
        self.assertEqual(decode(encode(segment)), segment)

    async def test_failed_call_has_status_0(self):
        """A refused connection gives a reply with status 0."""
        reply = await call(f"127.0.0.1:{free_port()}", "GET", "/")
        self.assertEqual(reply.status, 0)


class TestSoak(unittest.IsolatedAsyncioTestCase):
    async def find_breaches(self, seed, size):
        """Run real processes for some time and return the breaches."""
        with tempfile.TemporaryDirectory() as folder:
            report = await Soak(Path(folder), seed, size, ROOT).run(20)
        self.assertGreater(report.requests, 100)
        return report.breaches

    async def test_short_run_has_no_breach(self):
        """Injects a few faults into real processes, with a fixed seed."""
        size = RunSize(entry_count=3, server_count=4, caller_count=6)
        breaches = await self.find_breaches(1, size)
        self.assertEqual(breaches, [], json.dumps(breaches))

    async def test_servers_that_live_on_after_their_reported_end_keep_their_flows(self):
        """Planned work only: servers are replaced while instances are removed."""
        breaches = await self.find_breaches(2, RunSize(has_replacements=False))
        self.assertEqual(breaches, [], json.dumps(breaches[:3]))
