import unittest
from math import comb

from hypothesis import given
from hypothesis import strategies as st

from agatethread.balancing import (
    NO_EVIDENCE,
    AnswerCounts,
    Evidence,
    Judgement,
    Quality,
    judge_service,
)
from agatethread.balancing._quality import (
    EJECTED_SHARE,
    LEAST_SHARE,
    TRIAL_SHARE,
    judge_run,
    tail_chance,
    usual_share,
)

GOOD, DOUBTFUL = Quality.GOOD, Quality.DOUBTFUL
EJECTED, ON_PROBATION = Quality.EJECTED, Quality.ON_PROBATION

counts = st.builds(
    lambda good, slow, failed: AnswerCounts(good + slow + failed, slow, failed),
    st.integers(0, 40),
    st.integers(0, 40),
    st.integers(0, 9),
)
evidences = st.builds(
    Evidence, counts, counts, counts, *[st.integers(0, 9)] * 2, *[st.integers(0, 3)] * 2
)
judgements = st.builds(
    Judgement, st.sampled_from(Quality), st.floats(0, 1), *[st.floats(90, 100)] * 2
)


def seen(answers, slow, fresh=(0, 0), good_since_bad=0, observers=4, **fields):
    """Evidence of so many answers, all of them recent."""
    sums = AnswerCounts(answers, slow)
    return Evidence(
        sums, sums, AnswerCounts(*fresh), good_since_bad, observers, **fields
    )


def state(quality, weight, since_s=98.0):
    return Judgement(quality, weight, since_s, 100.0)


class TestJudgeRun(unittest.TestCase):
    def judge(self, before, evidence, share=LEAST_SHARE, now_s=100.0):
        return judge_run(before, evidence, share, now_s)

    def test_chance_is_the_binomial_tail(self):
        """The chance is that of as many bad answers or more."""
        for bad, count, share in ((3, 5, 0.1), (1, 9, 0.3), (30, 40, 0.5), (7, 7, 0.1)):
            exact = sum(
                comb(count, k) * share**k * (1 - share) ** (count - k)
                for k in range(bad, count + 1)
            )
            self.assertAlmostEqual(tail_chance(bad, count, share) / exact, 1.0, 6)

    def test_some_six_slow_answers_bring_a_run_into_doubt(self):
        """Half of its work goes elsewhere before a second is over."""
        judged = self.judge(Judgement(), seen(7, 6))
        self.assertEqual((judged.quality, judged.weight), (DOUBTFUL, 0.5))

    def test_few_requests_bring_nobody_into_doubt(self):
        """Two slow answers out of two are chance."""
        self.assertIs(self.judge(Judgement(), seen(2, 2)).quality, GOOD)

    def test_one_instance_alone_condemns_nobody(self):
        """The fault may be the entry instance's own."""
        self.assertIs(self.judge(Judgement(), seen(9, 9, observers=1)).quality, GOOD)

    def test_domain_that_is_served_speaks_for_a_run(self):
        """What one failure domain sees and another does not lies on the way."""
        alone = seen(9, 9, domains=2, bad_domains=1)
        both = seen(9, 9, domains=2, bad_domains=2)
        self.assertIs(self.judge(Judgement(), alone).quality, GOOD)
        self.assertIs(self.judge(Judgement(), both).quality, DOUBTFUL)

    def test_what_is_usual_condemns_nobody(self):
        """On lossy links, or in a slow service, slow answers say nothing of a run."""
        self.assertIs(self.judge(Judgement(), seen(20, 12), share=0.4).quality, GOOD)
        self.assertIs(self.judge(Judgement(), seen(20, 20), share=1.0).quality, GOOD)

    def test_doubt_ends_by_what_is_asked_since(self):
        """A server that two long requests held up is cleared, a slow one ejected."""
        doubt = state(DOUBTFUL, 0.5)
        for fresh, then in (
            ((3, 3), EJECTED),
            ((4, 3), EJECTED),
            ((2, 2), DOUBTFUL),
            ((2, 0), GOOD),
            ((5, 2), GOOD),
        ):
            with self.subTest(fresh=fresh):
                judged = self.judge(doubt, seen(20, 12, fresh), now_s=99.0)
                self.assertIs(judged.quality, then)
        self.assertIs(self.judge(doubt, seen(1, 1), now_s=100.1).quality, GOOD)

    def test_cleared_run_is_judged_by_what_came_after(self):
        """The answers that brought it into doubt do not do so again."""
        cleared, old = state(GOOD, 1.0, 99.0), seen(20, 12, (4, 0))
        self.assertIs(self.judge(cleared, old).quality, GOOD)
        self.assertIs(self.judge(cleared, seen(20, 12, (7, 6))).quality, DOUBTFUL)
        self.assertIs(self.judge(cleared, old, now_s=102.0).quality, DOUBTFUL)
        domains = dict.fromkeys(range(1, 5), "a")
        evidence = dict.fromkeys(range(2, 5), seen(20, 0)) | {1: old}
        kept = judge_service({1: cleared}, evidence, domains, 100.0)
        self.assertEqual(kept[1].since_s, 99.0)

    def test_ejected_run_comes_back_step_by_step(self):
        """Two good answers in a row, then a quarter of its work, then twice as much."""
        out = state(EJECTED, 0.0)
        self.assertIs(self.judge(out, seen(4, 2, good_since_bad=1)).quality, EJECTED)
        judged = self.judge(out, seen(4, 2, good_since_bad=2))
        self.assertEqual((judged.quality, judged.weight), (ON_PROBATION, 0.25))
        weights = []
        for step in range(1, 14):
            judged = self.judge(judged, seen(2, 0), now_s=100.0 + 0.1 * step)
            weights.append(judged.weight)
        self.assertEqual(weights, sorted(weights))
        self.assertAlmostEqual(weights[5], 0.5)
        self.assertIs(judged.quality, GOOD)

    def test_ejected_run_gets_trials_where_nothing_else_shows_how_it_is(self):
        """Requests on flows that were open before need no trials beside them."""
        out = state(EJECTED, 0.0)
        self.assertEqual(self.judge(out, seen(5, 5)).weight, TRIAL_SHARE)
        self.assertEqual(self.judge(out, NO_EVIDENCE).weight, TRIAL_SHARE)
        self.assertEqual(self.judge(out, seen(6, 6)).weight, 0.0)

    def test_slow_run_on_probation_is_ejected_again(self):
        """Two slow answers of two are enough there."""
        before = state(ON_PROBATION, 0.25, 99.5)
        self.assertIs(self.judge(before, seen(2, 2, (2, 2))).quality, EJECTED)

    def test_run_that_nobody_sees_is_tried_again(self):
        """What was not seen for seconds may be well by now."""
        out = state(EJECTED, 0.0)
        self.assertIs(self.judge(out, NO_EVIDENCE, now_s=102.9).quality, EJECTED)
        judged = self.judge(out, NO_EVIDENCE, now_s=103.1)
        self.assertIs(judged.quality, ON_PROBATION)

    @given(judgements, evidences, st.floats(0.1, 1))
    def test_weights_and_chances_keep_their_bounds(self, before, evidence, share):
        """Whatever is seen, a weight is a share, and no good run gets less than all."""
        judged = self.judge(before, evidence, share)
        self.assertTrue(0.0 <= judged.weight <= 1.0)
        self.assertTrue(0.0 <= judged.chance <= 1.0)
        self.assertEqual(judged.weight <= TRIAL_SHARE, judged.quality is EJECTED)
        if judged.quality is GOOD:
            self.assertEqual(judged.weight, 1.0)

    @given(counts, counts, st.floats(0.1, 0.9))
    def test_more_bad_answers_are_never_less_likely_to_condemn(self, one, more, share):
        """With the same number of answers the chance falls with each bad one."""
        worse = min(one.answers, one.bad + more.bad)
        least = tail_chance(one.bad, one.answers, share)
        self.assertLessEqual(tail_chance(worse, one.answers, share), least + 1e-9)


class TestJudgeService(unittest.TestCase):
    def test_usual_share_leaves_out_the_worse_third(self):
        """A quarter of slow servers does not raise it, a slow service does."""
        good, slow = AnswerCounts(20, 1), AnswerCounts(10, 10)
        self.assertEqual(usual_share([good] * 45 + [slow] * 15), LEAST_SHARE)
        self.assertEqual(usual_share([slow] * 60), 1.0)
        self.assertEqual(usual_share([good, slow]), 1.0)

    def test_last_run_of_a_domain_keeps_its_work(self):
        """Callers of a domain are better served by a slow run than across a link."""
        domains = {1: "a"} | dict.fromkeys(range(2, 9), "b")
        good = dict.fromkeys(range(2, 9), seen(20, 0))
        before = {1: state(DOUBTFUL, 0.5)}
        evidence = good | {1: seen(20, 19, (3, 3))}
        (one,) = judge_service(before, evidence, domains, 100.0).values()
        self.assertEqual((one.quality, one.weight), (EJECTED, 1.0))
        domains[2] = "a"
        (one,) = judge_service(before, evidence, domains, 100.0).values()
        self.assertEqual((one.quality, one.weight), (EJECTED, 0.0))

    @given(
        st.dictionaries(
            st.integers(1, 30),
            st.tuples(st.sampled_from("abc"), judgements, evidences),
            max_size=30,
        )
    )
    def test_most_of_a_service_stays_at_work(self, runs):
        """Never more than a third is taken away, nor the last run of a domain."""
        domains = {label: domain for label, (domain, _, _) in runs.items()}
        before = {label: judged for label, (_, judged, _) in runs.items()}
        evidence = {label: one for label, (_, _, one) in runs.items()}
        judged = judge_service(before, evidence, domains, 100.0)
        taken = sum(1.0 - one.weight for one in judged.values())
        self.assertLessEqual(taken, len(domains) * EJECTED_SHARE + 1e-9)
        for domain in set(domains.values()):
            left = [
                label
                for label, one in domains.items()
                if one == domain and (label not in judged or judged[label].weight > 0)
            ]
            self.assertTrue(left)
