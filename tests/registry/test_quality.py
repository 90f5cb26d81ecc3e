import unittest
from types import SimpleNamespace

from agatethread.balancing import Quality
from agatethread.observability import Counters
from agatethread.registry import QualityKeeper, label_of
from agatethread.wire.registry_pb2 import RegistryMessage
from tests.datapath.fixtures import run
from tests.fakes import Clock, address
from tests.registry.test_answers import sums

RUNS = [run(nth) for nth in range(1, 13)]
LABELS = [label_of(one.number, one.started_ms) for one in RUNS]
PEER, STRANGER, ENTRY = address(2), address(9), address(100)


class TestQualityKeeper(unittest.TestCase):
    def setUp(self):
        self.clock, self.counters, self.sent = Clock(), Counters(), []
        entry = SimpleNamespace(failure_domain="a")
        self.keeper = QualityKeeper(
            "a",
            lambda: RUNS,
            lambda: [(address(100 + nth), entry) for nth in range(4)],
            lambda: [PEER],
            lambda message, target: self.sent.append((message, target)),
            self.clock,
            self.counters,
        )

    def play(self, seconds, slow=(), good=0):
        """Let four entry instances report each 0.2 s; some runs are slow."""
        for step in range(round(seconds / 0.1)):
            self.clock.value_s += 0.1
            for nth in range(4) if step % 2 else ():
                runs = [
                    (label, 1 + good, int(number in slow), 0)
                    for number, label in enumerate(LABELS)
                ]
                message = RegistryMessage(answers=sums(*runs))
                self.keeper.on_message(message, address(100 + nth))
            self.keeper.tick()

    def told(self, target=ENTRY):
        """The percents that an entry instance was told, message by message."""
        return [
            {LABELS.index(one.label): one.percent for one in message.weights.runs}
            for message, to in self.sent
            if to == target and message.WhichOneof("body") == "weights"
        ]

    def test_nothing_is_told_while_all_is_well(self):
        """Neither entry instances nor other control instances get a message."""
        self.play(3.0)
        self.assertEqual(self.sent, [])

    def test_slow_run_loses_its_work_and_gets_it_back(self):
        """Told at once and again each 0.2 s, then step by step, then an empty list."""
        self.play(1.0)
        self.play(2.0, slow={3})
        told = self.told()
        self.assertEqual([told[0], told[-1]], [{3: 50}, {3: 0}])
        self.assertGreaterEqual(len(told), 7)
        self.sent.clear()
        self.play(4.0)
        told = self.told()
        self.assertIn({3: 25}, told)
        self.assertEqual(told[-1], {})
        self.assertGreaterEqual(told.count({}), 5)
        self.sent.clear()
        self.play(3.0)
        self.assertEqual(self.sent, [])
        self.assertEqual(self.counters["backend_servers_ejected"], 1)

    def test_doubts_go_to_other_control_instances(self):
        """They say who has them, and what was seen, and of no other run."""
        self.play(1.0)
        self.play(1.0, slow={3})
        told = [one.pooled for one, target in self.sent if target == PEER]
        self.assertTrue(2 <= len(told) <= 5)
        self.assertEqual([one.label for one in told[-1].runs], [LABELS[3]])
        self.assertTrue(told[-1].runs[0].doubted)

    def test_service_slow_as_a_whole_condemns_nobody(self):
        """Where half of all answers are slow, half are usual."""
        self.play(4.0, slow=set(range(12)), good=1)
        self.assertEqual(self.told(), [])

    def test_third_of_a_service_loses_its_work_at_most(self):
        """Of twelve runs five are slow; the first four lose their work."""
        self.play(2.0, slow=set(range(5)))
        self.assertEqual(max(self.sent_weights()), 4)

    def test_slow_entry_instances_say_nothing(self):
        """To all four all runs look slow at once: it is not the runs."""
        self.play(2.0, slow=set(range(12)))
        self.assertEqual(self.told(), [])

    def sent_weights(self):
        return [sum(each <= 10 for each in one.values()) for one in self.told()]

    def test_strangers_are_not_believed(self):
        """Neither an entry instance nor a control instance that nobody knows."""
        self.keeper.on_message(RegistryMessage(answers=sums((1, 9, 9, 0))), STRANGER)
        self.assertEqual(self.counters["answers_from_strangers"], 1)
        pooled = RegistryMessage()
        pooled.pooled.runs.add(label=LABELS[3], answers=9, slow=9, observers=4)
        self.keeper.on_message(pooled, STRANGER)
        self.keeper.tick()
        self.assertEqual(self.keeper.dump(), [])

    def test_run_that_leaves_is_judged_no_more(self):
        """What drains or has ended is left out, and counts for no share."""
        self.play(1.0)
        self.play(1.0, slow={3})
        self.assertIsNot(self.keeper.quality_of(LABELS[3]), Quality.GOOD)
        RUNS[3].draining = True
        self.addCleanup(RUNS[3].ClearField, "draining")
        self.play(0.2, slow={3})
        self.assertIs(self.keeper.quality_of(LABELS[3]), Quality.GOOD)
