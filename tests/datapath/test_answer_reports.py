import asyncio
import tempfile
import unittest

from agatethread.control import RoutingControlInstance, RoutingControlSettings
from agatethread.datapath import LabelEntryInstance, LabelEntrySettings
from agatethread.datapath._answer_reports import AnswerReporter
from agatethread.observability import Counters
from agatethread.registry import ControlLink, Report
from agatethread.settings import Parts
from agatethread.wire import pack_address
from agatethread.wire.control_pb2 import ControlMember
from agatethread.wire.registry_pb2 import RegistryMessage, RunWeight, RunWeights
from tests.datapath.fixtures import CODEC, HOST, ForwarderCase, opening, packet, run
from tests.fakes import address, free_port, own_host

FIRST, SECOND, UNKNOWN = address(1), address(2), address(9)


class TestAnswerReports(ForwarderCase):
    def setUp(self):
        super().setUp()
        for nth in (1, 2):
            self.view.update_run(run(nth))
        self.sent_messages = []
        self.links = [ControlLink(SECOND, "b"), ControlLink(FIRST, "a")]
        self.reporter = AnswerReporter(
            self.forwarder,
            self.view,
            "a",
            lambda: self.links,
            lambda message, target: self.sent_messages.append((message, target)),
            self.clock,
            self.counters,
        )

    def request(self, port, took_s):
        """Send a request on a new flow, and return its backend server's number."""
        _, number = self.handle(opening(port))[0]
        self.handle(packet(port, number, payload_bytes=80))
        self.clock.value_s += took_s
        self.handle(packet(port, number, acknowledged=1_500))
        return number

    def tick(self):
        self.clock.value_s += 0.2
        self.reporter.tick()

    def test_reports_to_preferred_control_instance(self):
        """One report goes to the control instance of the own failure domain only."""
        for port in range(5):
            self.request(port, 0.01)
        self.tick()
        self.assertEqual(self.sent_messages, [])
        self.request(6, 0.01)
        number = self.request(7, 0.15)
        self.tick()
        ((message, target),) = self.sent_messages
        self.assertEqual(target, FIRST)
        slow = [run_sum.label for run_sum in message.answers.runs if run_sum.slow]
        self.assertEqual(slow, [packet(1, number).label])
        self.assertEqual(self.counters["answers_seen"], 2)
        self.assertEqual(self.counters["answers_slow"], 1)
        self.assertIn(f"{HOST:08x}:443", self.reporter.dump()["usual_answer_s"])

    def test_drops_report_without_control_instance(self):
        """Answers are dropped while no control instance is reachable."""
        for port in range(6):
            self.request(port, 0.01)
        self.links.clear()
        self.tick()
        self.assertEqual(self.sent_messages, [])

    def test_ignores_weights_of_unknown_sender(self):
        """Only weights of reachable control instances are applied."""
        label = packet(1, 1).label
        weights = RunWeights(runs=[RunWeight(label=label, percent=0)])
        self.reporter.on_weights(weights, UNKNOWN)
        self.assertEqual(self.reporter.count_reduced_runs(), 0)
        self.reporter.on_weights(weights, SECOND)
        self.assertEqual(self.reporter.dump()["weights"], {"i-1": 0.0})
        numbers = [self.request(port, 0.01) for port in range(100)]
        self.assertEqual(numbers.count(1), 0)

    def test_weight_keeps_open_flows(self):
        """A run with weight zero keeps its open flows."""
        number = self.request(1, 0.01)
        label = packet(1, number).label
        weights = RunWeights(runs=[RunWeight(label=label, percent=0)])
        self.reporter.on_weights(weights, FIRST)
        sent = self.handle(packet(1, number, sequence=300, payload_bytes=80))
        self.assertEqual(sent, [("forward", number)])


class TestJudgingOfAnswers(unittest.IsolatedAsyncioTestCase):
    """Complete instances with judging of answers enabled and disabled."""

    def make_entry(self, number, registry_port, **fields):
        host = own_host(number)
        settings = LabelEntrySettings(
            name=f"entry-{number}",
            failure_domain="a",
            datagrams=f"{host}:{free_port()}",
            registry=f"{host}:{registry_port}",
            seeds=(pack_address((own_host(4), registry_port)),),
            grace_s=1.0,
            link_bits_per_s=1e9,
            **fields,
        )
        return LabelEntryInstance(settings, CODEC, Counters())

    def make_control(self, registry_port, **fields):
        target = f"{own_host(4)}:{free_port()}"
        settings = RoutingControlSettings(
            name="control-1",
            failure_domain="a",
            target=target,
            registry=f"{own_host(4)}:{registry_port}",
            api=target,
            seeds=(ControlMember(name=target, target=target, api=target, voter=True),),
            is_first_start=True,
            report_interval_s=10.0,
            losses_borne=0,
            catchup_s=4.0,
            grace_s=6.0,
            data_dir=self.folder.name,
            **fields,
        )
        return RoutingControlInstance(settings, Counters())

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    async def test_disabled_judging_handles_no_messages(self):
        """Nothing is measured, and messages about answers and weights are ignored."""
        port = free_port()
        entry, control = self.make_entry(5, port), self.make_control(port)
        for instance in (entry, control):
            self.addAsyncCleanup(instance.on_stop)
        self.assertIsNone(entry.answer_reporter)
        self.assertIsNone(entry.forwarder.loads.answer_monitor)
        self.assertIsNone(control.quality)
        for body in ("answers", "weights", "pooled"):
            message = RegistryMessage()
            getattr(message, body).SetInParent()
            entry._on_message(message, address(1))
            control._on_message(message, address(1))
        for state in (entry.dump(), control.dump()):
            self.assertFalse({"weights", "usual_answer_s", "quality"} & state.keys())

    async def test_enabled_judging_sends_reports_and_weights(self):
        """Two entry instances report slow answers, and receive the run's weight."""
        port, parts = free_port(), Parts(judges_answers=True)
        control = self.make_control(port, parts=parts)
        entries = [self.make_entry(number, port, parts=parts) for number in (5, 6)]
        for instance in (control, *entries):
            await instance.start()
            self.addAsyncCleanup(instance.stop)
        for nth in range(1, 7):
            backend_run = run(nth)
            control.runs.report(
                Report(
                    backend_run.id,
                    nth,
                    "tab",
                    backend_run.address,
                    "a",
                    2,
                    1,
                    False,
                    0.0,
                )
            )
        control.hub.flush()
        for _ in range(100):
            await asyncio.sleep(0.05)
            for entry in entries:
                runs = entry.view.runs_of_service("tab")
                for backend in runs if len(runs) == 6 else ():
                    is_slow = backend.id == "i-3"
                    entry.answer_reporter._monitor._count(backend, slow=is_slow)
            if all(entry.answer_reporter.count_reduced_runs() for entry in entries):
                break
        for entry in entries:
            self.assertEqual([*entry.dump()["weights"]], ["i-3"])
        (judged,) = control.dump()["quality"]
        self.assertIn(judged["quality"], ("doubtful", "ejected"))
