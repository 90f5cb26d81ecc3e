import random
import unittest

from agatethread.datapath import Backend, choose_backend
from agatethread.datapath._placing import choose_place
from agatethread.datapath._weights import BELIEVED_S, WeightBook
from agatethread.wire.registry_pb2 import RunWeight, RunWeights
from tests.datapath.worlds import run


class TestWeightBook(unittest.TestCase):
    def setUp(self):
        random.seed(1)
        self.backends = [Backend(run(nth)) for nth in range(1, 6)]
        by_label = {one.label: one for one in self.backends}
        self.book = WeightBook(by_label.get)

    def take(self, percents, now_s=10.0):
        runs = [
            RunWeight(label=self.backends[number].label, percent=percent)
            for number, percent in percents.items()
        ]
        self.book.take(RunWeights(runs=runs), now_s)

    def weights(self, now_s=10.0):
        return [one.usable_weight(now_s) for one in self.backends]

    def share(self, choose, count=4_000):
        """Share of the openings that the first backend server gets, of its usual."""
        chosen = sum(choose() is self.backends[0] for _ in range(count))
        return len(self.backends) * chosen / count

    def test_message_takes_the_place_of_the_one_before(self):
        """A run that is not in it has all of its share."""
        self.take({0: 0, 1: 25})
        self.assertEqual(self.weights(), [0.0, 0.25, 1.0, 1.0, 1.0])
        self.take({1: 50})
        self.assertEqual(self.weights(), [1.0, 0.5, 1.0, 1.0, 1.0])

    def test_unknown_runs_and_shares_are_left_alone(self):
        """A label that nobody knows, or more than all."""
        self.book.take(RunWeights(runs=[RunWeight(label=1, percent=0)]), 10.0)
        self.take({0: 700})
        self.assertEqual(self.weights(), [1.0] * 5)

    def test_news_that_stop_are_believed_for_a_while(self):
        """Then a run gets its whole share, whether anybody sweeps or not."""
        self.take({0: 0})
        self.assertEqual(self.weights(10.0 + BELIEVED_S - 0.1)[0], 0.0)
        self.assertEqual(self.weights(10.0 + BELIEVED_S)[0], 1.0)
        self.book.sweep(10.0 + BELIEVED_S)
        self.assertEqual((len(self.book), self.backends[0].weight), (0, 1.0))

    def test_run_gets_the_share_that_was_told(self):
        """By own counts and by exact ones; a tenth is enough for trials."""
        for percent, least, most in (
            (0, 0.0, 0.0),
            (10, 0.07, 0.14),
            (25, 0.2, 0.33),
            (50, 0.4, 0.65),
            (100, 0.9, 1.1),
        ):
            self.take({0: percent})
            with self.subTest(percent=percent):
                own = self.share(lambda: choose_backend(self.backends, "a", 10.0))
                exact = self.share(lambda: choose_place(self.backends, {}, 10.0))
                self.assertTrue(least <= own <= most, own)
                self.assertTrue(least <= exact <= most, exact)

    def test_weighed_run_is_the_last_resort(self):
        """It takes what nobody else can, and goes before nobody who answers."""
        self.take({0: 0})
        self.assertIs(choose_backend(self.backends[:1], "a", 10.0), self.backends[0])
        tried = self.backends[1:]
        self.assertIs(choose_backend(self.backends, "a", 10.0, tried), self.backends[0])
