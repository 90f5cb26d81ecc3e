import unittest

from agatethread.registry._answers import RECENT_S, WINDOW_S, AnswerPool
from agatethread.wire.registry_pb2 import AnswerSum, AnswerSums


def sums(*runs):
    """Return a report of label, answers, slow and failed of each run."""
    return AnswerSums(
        runs=[
            AnswerSum(label=label, answers=answers, slow=slow, failed=failed)
            for label, answers, slow, failed in runs
        ]
    )


class TestAnswerPool(unittest.TestCase):
    def setUp(self):
        self.pool, self.other = AnswerPool(), AnswerPool()

    def add_report(self, source, *runs, now_s=10.0, domain="a", pool=None):
        (pool or self.pool).add_report(source, domain, sums(*runs), now_s)

    def test_sums_reports_of_all_entry_instances(self):
        """Answers, and instances and failure domains with bad ones, are counted."""
        self.add_report(b"1", (7, 3, 1, 0))
        self.add_report(b"2", (7, 2, 0, 1), (8, 1, 0, 0))
        self.add_report(b"3", (7, 4, 0, 0), domain="b")
        evidence = self.pool.collect_evidence(10.1)[7]
        self.assertEqual(
            (evidence.window.answers, evidence.window.slow, evidence.window.failed),
            (9, 1, 1),
        )
        self.assertEqual(
            (evidence.observers, evidence.domains, evidence.bad_domains), (2, 2, 1)
        )

    def test_deletes_expired_reports(self):
        """A report expires from the recent part first, then from the window."""
        self.add_report(b"1", (7, 3, 1, 0))
        self.assertEqual(
            self.pool.collect_evidence(10.0 + RECENT_S)[7].recent.answers, 0
        )
        self.assertEqual(
            self.pool.collect_evidence(10.0 + RECENT_S)[7].window.answers, 3
        )
        self.assertEqual(self.pool.collect_evidence(10.0 + WINDOW_S), {})
        self.assertEqual(self.pool._reports, {})
        self.assertEqual(self.pool.list_reporters(10.0 + 5.0), [])

    def test_counts_fresh_answers_and_good_ones_since_a_bad_one(self):
        """Only later reports are fresh, and a bad answer resets the count."""
        for step, slow in enumerate((1, 0, 1, 0, 0)):
            self.add_report(b"1", (7, 2, slow, 0), now_s=10.0 + 0.2 * step)
        evidence = self.pool.collect_evidence(10.9, {7: 10.3})[7]
        self.assertEqual((evidence.fresh.answers, evidence.fresh.slow), (6, 1))
        self.assertEqual(evidence.good_since_bad, 4)

    def test_ignores_reports_of_slow_entry_instance(self):
        """An entry instance that is slow itself reports most runs as slow at once."""
        self.add_report(b"slow", *[(label, 1, 1, 0) for label in range(1, 8)])
        self.add_report(b"2", *[(label, 2, 0, 0) for label in range(1, 8)])
        for evidence in self.pool.collect_evidence(10.1).values():
            self.assertEqual((evidence.window.answers, evidence.window.bad), (2, 0))

    def exchange(self, now_s):
        """Send the doubtful runs of both control instances to each other once."""
        pools = (self.pool, self.other)
        for pool in pools:
            pool.collect_evidence(now_s)
        messages = [
            pool.collect_doubtful(name) for pool, name in zip(pools, "ab", strict=True)
        ]
        self.pool.store_pooled(b"other", messages[1], now_s)
        self.other.store_pooled(b"pool", messages[0], now_s)
        return [len(message.runs) for message in messages]

    def test_replies_with_sums_of_runs_doubted_by_others(self):
        """A control instance sends sums only of runs doubted here or at another one."""
        self.add_report(b"1", (7, 3, 3, 0), (8, 9, 0, 0))
        self.add_report(b"2", (7, 3, 0, 0), (8, 9, 0, 0), domain="b", pool=self.other)
        self.assertEqual(self.exchange(10.1), [1, 0])
        self.assertEqual(self.exchange(10.3), [1, 1])
        for pool in (self.pool, self.other):
            evidence = pool.collect_evidence(10.4)[7]
            self.assertEqual((evidence.window.answers, evidence.window.bad), (6, 3))
            self.assertEqual((evidence.domains, evidence.bad_domains), (2, 1))

    def test_reply_does_not_mark_run_as_doubted(self):
        """The exchange stops when neither control instance doubts the run itself."""
        self.add_report(b"1", (7, 3, 3, 0))
        self.add_report(b"2", (7, 3, 0, 0), domain="b", pool=self.other)
        self.exchange(10.1)
        self.exchange(10.3)
        later_s = 10.1 + WINDOW_S
        for number, pool in ((1, self.pool), (2, self.other)):
            self.add_report(b"%d" % number, (7, 3, 0, 0), now_s=later_s, pool=pool)
        self.assertEqual(self.exchange(later_s), [0, 0])

    def test_limits_doubtful_runs_of_a_message(self):
        """One message holds the worst runs, however many are bad."""
        for label in range(1, 200):
            self.add_report(b"%d" % label, (label, label, label, 0))
        self.pool.collect_evidence(10.0)
        message = self.pool.collect_doubtful("a")
        self.assertEqual([run.label for run in message.runs][:3], [199, 198, 197])
        self.assertLess(message.ByteSize(), 1_200)
