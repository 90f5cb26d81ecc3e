import unittest
from types import SimpleNamespace

from agatethread.balancing import Quality
from agatethread.observability import Counters
from agatethread.registry import QualityMonitor, derive_label
from agatethread.wire.registry_pb2 import RegistryMessage
from tests.datapath.fixtures import run
from tests.fakes import Clock, address
from tests.registry.test_answers import sums

RUNS = [run(nth) for nth in range(1, 13)]
LABELS = [derive_label(each.number, each.started_ms) for each in RUNS]
PEER, UNKNOWN_SENDER, ENTRY = address(2), address(9), address(100)


class TestQualityMonitor(unittest.TestCase):
    def setUp(self):
        self.clock, self.counters, self.sent = Clock(), Counters(), []
        entry = SimpleNamespace(failure_domain="a")
        self.monitor = QualityMonitor(
            "a",
            lambda: RUNS,
            lambda: [(address(100 + nth), entry) for nth in range(4)],
            lambda: [PEER],
            lambda message, target: self.sent.append((message, target)),
            self.clock,
            self.counters,
        )

    def simulate(self, seconds, slow=(), good=0):
        """Let four entry instances report each 0.2 s; some runs are slow."""
        for step in range(round(seconds / 0.1)):
            self.clock.value_s += 0.1
            for nth in range(4) if step % 2 else ():
                runs = [
                    (label, 1 + good, int(number in slow), 0)
                    for number, label in enumerate(LABELS)
                ]
                message = RegistryMessage(answers=sums(*runs))
                self.monitor.on_message(message, address(100 + nth))
            self.monitor.tick()

    def weights_sent_to(self, target=ENTRY):
        """Return the weights sent to an entry instance, message by message."""
        return [
            {LABELS.index(each.label): each.percent for each in message.weights.runs}
            for message, receiver in self.sent
            if receiver == target and message.WhichOneof("body") == "weights"
        ]

    def test_sends_nothing_while_all_runs_are_good(self):
        """Neither entry instances nor other control instances get a message."""
        self.simulate(3.0)
        self.assertEqual(self.sent, [])

    def test_slow_run_loses_its_weight_and_regains_it(self):
        """Weights are sent at once and repeated; recovery ends with empty lists."""
        self.simulate(1.0)
        self.simulate(2.0, slow={3})
        weights = self.weights_sent_to()
        self.assertEqual([weights[0], weights[-1]], [{3: 50}, {3: 0}])
        self.assertGreaterEqual(len(weights), 7)
        self.sent.clear()
        self.simulate(4.0)
        weights = self.weights_sent_to()
        self.assertIn({3: 25}, weights)
        self.assertEqual(weights[-1], {})
        self.assertGreaterEqual(weights.count({}), 5)
        self.sent.clear()
        self.simulate(3.0)
        self.assertEqual(self.sent, [])
        self.assertEqual(self.counters["backend_servers_ejected"], 1)

    def test_sends_only_doubtful_runs_to_other_control_instances(self):
        """The message holds the sums of the doubtful run, marked as doubted."""
        self.simulate(1.0)
        self.simulate(1.0, slow={3})
        messages = [message.pooled for message, target in self.sent if target == PEER]
        self.assertTrue(2 <= len(messages) <= 5)
        self.assertEqual([each.label for each in messages[-1].runs], [LABELS[3]])
        self.assertTrue(messages[-1].runs[0].doubted)

    def test_service_slow_as_a_whole_keeps_its_weights(self):
        """If half of the answers of every run are slow, no run is judged bad."""
        self.simulate(4.0, slow=set(range(12)), good=1)
        self.assertEqual(self.weights_sent_to(), [])

    def test_at_most_a_third_of_the_runs_of_a_service_lose_their_weight(self):
        """Of twelve runs five are slow; only four lose their weight."""
        self.simulate(2.0, slow=set(range(5)))
        self.assertEqual(max(self.count_ejected()), 4)

    def test_ignores_reports_of_faulty_entry_instances(self):
        """All four entry instances report all runs as slow, so the cause is theirs."""
        self.simulate(2.0, slow=set(range(12)))
        self.assertEqual(self.weights_sent_to(), [])

    def count_ejected(self):
        return [
            sum(percent <= 10 for percent in weights.values())
            for weights in self.weights_sent_to()
        ]

    def test_ignores_unknown_senders(self):
        """Reports of unknown entry instances and control instances are ignored."""
        self.monitor.on_message(
            RegistryMessage(answers=sums((1, 9, 9, 0))), UNKNOWN_SENDER
        )
        self.assertEqual(self.counters["answers_from_strangers"], 1)
        pooled = RegistryMessage()
        pooled.pooled.runs.add(label=LABELS[3], answers=9, slow=9, observers=4)
        self.monitor.on_message(pooled, UNKNOWN_SENDER)
        self.monitor.tick()
        self.assertEqual(self.monitor.dump(), [])

    def test_draining_run_is_not_judged(self):
        """A run that drains is left out of the judgement."""
        self.simulate(1.0)
        self.simulate(1.0, slow={3})
        self.assertIsNot(self.monitor.get_quality(LABELS[3]), Quality.GOOD)
        RUNS[3].draining = True
        self.addCleanup(RUNS[3].ClearField, "draining")
        self.simulate(0.2, slow={3})
        self.assertIs(self.monitor.get_quality(LABELS[3]), Quality.GOOD)
