import random
import unittest

from agatethread.datapath import Backend, choose_backend
from agatethread.datapath._placing import choose_backend_with_place
from agatethread.datapath._weights import WEIGHT_VALIDITY_S, RunWeightStore
from agatethread.wire.registry_pb2 import RunWeight, RunWeights
from tests.datapath.fixtures import run


class TestRunWeightStore(unittest.TestCase):
    def setUp(self):
        random.seed(1)
        self.backends = [Backend(run(nth)) for nth in range(1, 6)]
        by_label = {backend.label: backend for backend in self.backends}
        self.store = RunWeightStore(by_label.get)

    def apply(self, percents, now_s=10.0):
        runs = [
            RunWeight(label=self.backends[number].label, percent=percent)
            for number, percent in percents.items()
        ]
        self.store.apply(RunWeights(runs=runs), now_s)

    def weights(self, now_s=10.0):
        return [backend.usable_weight(now_s) for backend in self.backends]

    def share(self, choose, count=4_000):
        """Return the first server's openings as a ratio of an equal share."""
        chosen = sum(choose() is self.backends[0] for _ in range(count))
        return len(self.backends) * chosen / count

    def test_message_replaces_earlier_weights(self):
        """A run that the latest message leaves out has its full share."""
        self.apply({0: 0, 1: 25})
        self.assertEqual(self.weights(), [0.0, 0.25, 1.0, 1.0, 1.0])
        self.apply({1: 50})
        self.assertEqual(self.weights(), [1.0, 0.5, 1.0, 1.0, 1.0])

    def test_ignores_unknown_runs_and_excess_weights(self):
        """An unknown label, or more than the full share, changes no weight."""
        self.store.apply(RunWeights(runs=[RunWeight(label=1, percent=0)]), 10.0)
        self.apply({0: 700})
        self.assertEqual(self.weights(), [1.0] * 5)

    def test_weights_expire_without_renewal(self):
        """After their validity a run has its full share, also before a sweep."""
        self.apply({0: 0})
        self.assertEqual(self.weights(10.0 + WEIGHT_VALIDITY_S - 0.1)[0], 0.0)
        self.assertEqual(self.weights(10.0 + WEIGHT_VALIDITY_S)[0], 1.0)
        self.store.sweep(10.0 + WEIGHT_VALIDITY_S)
        self.assertEqual((len(self.store), self.backends[0].weight), (0, 1.0))

    def test_run_gets_share_of_its_weight(self):
        """Both choices of a backend server follow the weight."""
        for percent, minimum, maximum in (
            (0, 0.0, 0.0),
            (10, 0.07, 0.14),
            (25, 0.2, 0.33),
            (50, 0.4, 0.65),
            (100, 0.9, 1.1),
        ):
            self.apply({0: percent})
            with self.subTest(percent=percent):
                by_own_counts = self.share(
                    lambda: choose_backend(self.backends, "a", 10.0)
                )
                by_exact_counts = self.share(
                    lambda: choose_backend_with_place(self.backends, {}, 10.0)
                )
                self.assertTrue(minimum <= by_own_counts <= maximum, by_own_counts)
                self.assertTrue(minimum <= by_exact_counts <= maximum, by_exact_counts)

    def test_run_without_weight_is_last_alternative(self):
        """It receives an opening only if no other run answers."""
        self.apply({0: 0})
        self.assertIs(choose_backend(self.backends[:1], "a", 10.0), self.backends[0])
        tried = self.backends[1:]
        self.assertIs(choose_backend(self.backends, "a", 10.0, tried), self.backends[0])
