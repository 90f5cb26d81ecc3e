import unittest

from agatethread.registry._answers import RECENT_S, WINDOW_S, AnswerPool
from agatethread.wire.registry_pb2 import AnswerSum, AnswerSums


def sums(*runs):
    """What an entry instance says: label, answers, slow and failed of each run."""
    return AnswerSums(
        runs=[
            AnswerSum(label=label, answers=answers, slow=slow, failed=failed)
            for label, answers, slow, failed in runs
        ]
    )


class TestAnswerPool(unittest.TestCase):
    def setUp(self):
        self.pool, self.other = AnswerPool(), AnswerPool()

    def take(self, source, *runs, now_s=10.0, domain="a", pool=None):
        (pool or self.pool).take(source, domain, sums(*runs), now_s)

    def test_sums_up_what_instances_see(self):
        """Answers, and instances and failure domains with bad ones, are counted."""
        self.take(b"1", (7, 3, 1, 0))
        self.take(b"2", (7, 2, 0, 1), (8, 1, 0, 0))
        self.take(b"3", (7, 4, 0, 0), domain="b")
        one = self.pool.evidence(10.1)[7]
        self.assertEqual(
            (one.window.answers, one.window.slow, one.window.failed), (9, 1, 1)
        )
        self.assertEqual((one.observers, one.domains, one.bad_domains), (2, 2, 1))

    def test_what_is_past_is_forgotten(self):
        """A sum leaves the newest part first, then the window."""
        self.take(b"1", (7, 3, 1, 0))
        self.assertEqual(self.pool.evidence(10.0 + RECENT_S)[7].recent.answers, 0)
        self.assertEqual(self.pool.evidence(10.0 + RECENT_S)[7].window.answers, 3)
        self.assertEqual(self.pool.evidence(10.0 + WINDOW_S), {})
        self.assertEqual(self.pool._told, {})
        self.assertEqual(self.pool.reporters(10.0 + 5.0), [])

    def test_fresh_answers_and_good_ones_in_a_row(self):
        """Only what was told later is fresh, and a bad answer ends a row."""
        for step, slow in enumerate((1, 0, 1, 0, 0)):
            self.take(b"1", (7, 2, slow, 0), now_s=10.0 + 0.2 * step)
        one = self.pool.evidence(10.9, {7: 10.3})[7]
        self.assertEqual((one.fresh.answers, one.fresh.slow), (6, 1))
        self.assertEqual(one.good_since_bad, 4)

    def test_slow_entry_instance_counts_for_nothing(self):
        """To one that is slow itself most runs look slow at once."""
        self.take(b"slow", *[(label, 1, 1, 0) for label in range(1, 8)])
        self.take(b"2", *[(label, 2, 0, 0) for label in range(1, 8)])
        for one in self.pool.evidence(10.1).values():
            self.assertEqual((one.window.answers, one.window.bad), (2, 0))

    def exchange(self, now_s):
        """Let both control instances tell each other once."""
        pools = (self.pool, self.other)
        for pool in pools:
            pool.evidence(now_s)
        told = [pool.doubts(name) for pool, name in zip(pools, "ab", strict=True)]
        self.pool.take_pooled(b"other", told[1], now_s)
        self.other.take_pooled(b"pool", told[0], now_s)
        return [len(one.runs) for one in told]

    def test_doubts_are_told_and_answered(self):
        """One that has doubts is told what the other saw; nobody else is told."""
        self.take(b"1", (7, 3, 3, 0), (8, 9, 0, 0))
        self.take(b"2", (7, 3, 0, 0), (8, 9, 0, 0), domain="b", pool=self.other)
        self.assertEqual(self.exchange(10.1), [1, 0])
        self.assertEqual(self.exchange(10.3), [1, 1])
        for pool in (self.pool, self.other):
            one = pool.evidence(10.4)[7]
            self.assertEqual((one.window.answers, one.window.bad), (6, 3))
            self.assertEqual((one.domains, one.bad_domains), (2, 1))

    def test_answering_a_doubt_raises_none(self):
        """Two that answer each other stop when neither has doubts itself."""
        self.take(b"1", (7, 3, 3, 0))
        self.take(b"2", (7, 3, 0, 0), domain="b", pool=self.other)
        self.exchange(10.1)
        self.exchange(10.3)
        later_s = 10.1 + WINDOW_S
        for number, pool in ((1, self.pool), (2, self.other)):
            self.take(b"%d" % number, (7, 3, 0, 0), now_s=later_s, pool=pool)
        self.assertEqual(self.exchange(later_s), [0, 0])

    def test_doubts_are_bounded(self):
        """However many runs are bad, one message tells of the worst."""
        for label in range(1, 200):
            self.take(b"%d" % label, (label, label, label, 0))
        self.pool.evidence(10.0)
        found = self.pool.doubts("a")
        self.assertEqual([one.label for one in found.runs][:3], [199, 198, 197])
        self.assertLess(found.ByteSize(), 1_200)
