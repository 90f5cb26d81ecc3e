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
    MAX_EJECTED_SHARE,
    MIN_USUAL_SHARE,
    TRIAL_WEIGHT,
    binomial_tail,
    judge_run,
    usual_bad_share,
)

GOOD, DOUBTFUL = Quality.GOOD, Quality.DOUBTFUL
EJECTED, ON_PROBATION = Quality.EJECTED, Quality.ON_PROBATION

COUNTS = st.builds(
    lambda good, slow, failed: AnswerCounts(good + slow + failed, slow, failed),
    st.integers(0, 40),
    st.integers(0, 40),
    st.integers(0, 9),
)
EVIDENCES = st.builds(
    Evidence, COUNTS, COUNTS, COUNTS, *[st.integers(0, 9)] * 2, *[st.integers(0, 3)] * 2
)
JUDGEMENTS = st.builds(
    Judgement, st.sampled_from(Quality), st.floats(0, 1), *[st.floats(90, 100)] * 2
)


def make_evidence(answers, slow, fresh=(0, 0), good_since_bad=0, observers=4, **fields):
    """Return evidence with the same counts in the whole and the recent window."""
    sums = AnswerCounts(answers, slow)
    return Evidence(
        sums, sums, AnswerCounts(*fresh), good_since_bad, observers, **fields
    )


def make_judgement(quality, weight, since_s=98.0):
    return Judgement(quality, weight, since_s, 100.0)


class TestJudgeRun(unittest.TestCase):
    def judge(self, before, evidence, share=MIN_USUAL_SHARE, now_s=100.0):
        return judge_run(before, evidence, share, now_s)

    def test_chance_is_the_binomial_tail(self):
        """The probability is that of at least this many bad answers."""
        for bad, count, share in ((3, 5, 0.1), (1, 9, 0.3), (30, 40, 0.5), (7, 7, 0.1)):
            exact = sum(
                comb(count, bad_count)
                * share**bad_count
                * (1 - share) ** (count - bad_count)
                for bad_count in range(bad, count + 1)
            )
            self.assertAlmostEqual(binomial_tail(bad, count, share) / exact, 1.0, 6)

    def test_six_slow_answers_make_run_doubtful(self):
        """A doubtful run loses half of its new work."""
        judged = self.judge(Judgement(), make_evidence(7, 6))
        self.assertEqual((judged.quality, judged.weight), (DOUBTFUL, 0.5))

    def test_few_answers_make_no_run_doubtful(self):
        """Two slow answers of two are too few to doubt a run."""
        self.assertIs(self.judge(Judgement(), make_evidence(2, 2)).quality, GOOD)

    def test_single_observer_makes_no_run_doubtful(self):
        """Bad answers at a single entry instance may be its own fault."""
        self.assertIs(
            self.judge(Judgement(), make_evidence(9, 9, observers=1)).quality, GOOD
        )

    def test_bad_answers_in_one_failure_domain_are_not_counted(self):
        """Bad answers in only one of two failure domains point to the network path."""
        in_one_domain = make_evidence(9, 9, domains=2, bad_domains=1)
        in_both_domains = make_evidence(9, 9, domains=2, bad_domains=2)
        self.assertIs(self.judge(Judgement(), in_one_domain).quality, GOOD)
        self.assertIs(self.judge(Judgement(), in_both_domains).quality, DOUBTFUL)

    def test_usual_share_makes_no_run_doubtful(self):
        """A run with the usual share of slow answers is good."""
        self.assertIs(
            self.judge(Judgement(), make_evidence(20, 12), share=0.4).quality, GOOD
        )
        self.assertIs(
            self.judge(Judgement(), make_evidence(20, 20), share=1.0).quality, GOOD
        )

    def test_fresh_answers_clear_or_eject_doubtful_run(self):
        """Good fresh answers clear a doubtful run, and bad ones eject it."""
        doubtful = make_judgement(DOUBTFUL, 0.5)
        for fresh, expected in (
            ((3, 3), EJECTED),
            ((4, 3), EJECTED),
            ((2, 2), DOUBTFUL),
            ((2, 0), GOOD),
            ((5, 2), GOOD),
        ):
            with self.subTest(fresh=fresh):
                judged = self.judge(doubtful, make_evidence(20, 12, fresh), now_s=99.0)
                self.assertIs(judged.quality, expected)
        self.assertIs(
            self.judge(doubtful, make_evidence(1, 1), now_s=100.1).quality, GOOD
        )

    def test_cleared_run_is_judged_by_fresh_answers(self):
        """Answers from before a run was cleared do not make it doubtful again."""
        cleared, old = make_judgement(GOOD, 1.0, 99.0), make_evidence(20, 12, (4, 0))
        self.assertIs(self.judge(cleared, old).quality, GOOD)
        self.assertIs(
            self.judge(cleared, make_evidence(20, 12, (7, 6))).quality, DOUBTFUL
        )
        self.assertIs(self.judge(cleared, old, now_s=102.0).quality, DOUBTFUL)
        domains = dict.fromkeys(range(1, 5), "a")
        evidence = dict.fromkeys(range(2, 5), make_evidence(20, 0)) | {1: old}
        kept = judge_service({1: cleared}, evidence, domains, 100.0)
        self.assertEqual(kept[1].since_s, 99.0)

    def test_ejected_run_returns_gradually(self):
        """After two good answers in a row the weight grows from a quarter to one."""
        ejected = make_judgement(EJECTED, 0.0)
        self.assertIs(
            self.judge(ejected, make_evidence(4, 2, good_since_bad=1)).quality, EJECTED
        )
        judged = self.judge(ejected, make_evidence(4, 2, good_since_bad=2))
        self.assertEqual((judged.quality, judged.weight), (ON_PROBATION, 0.25))
        weights = []
        for step in range(1, 14):
            judged = self.judge(judged, make_evidence(2, 0), now_s=100.0 + 0.1 * step)
            weights.append(judged.weight)
        self.assertEqual(weights, sorted(weights))
        self.assertAlmostEqual(weights[5], 0.5)
        self.assertIs(judged.quality, GOOD)

    def test_ejected_run_gets_trials_only_with_few_answers(self):
        """An ejected run with six answers on open flows gets no trial requests."""
        ejected = make_judgement(EJECTED, 0.0)
        self.assertEqual(self.judge(ejected, make_evidence(5, 5)).weight, TRIAL_WEIGHT)
        self.assertEqual(self.judge(ejected, NO_EVIDENCE).weight, TRIAL_WEIGHT)
        self.assertEqual(self.judge(ejected, make_evidence(6, 6)).weight, 0.0)

    def test_slow_run_on_probation_is_ejected_again(self):
        """Two slow answers of two eject a run on probation."""
        before = make_judgement(ON_PROBATION, 0.25, 99.5)
        self.assertIs(self.judge(before, make_evidence(2, 2, (2, 2))).quality, EJECTED)

    def test_unobserved_run_is_tried_again(self):
        """An ejected run without answers for seconds is put on probation."""
        ejected = make_judgement(EJECTED, 0.0)
        self.assertIs(self.judge(ejected, NO_EVIDENCE, now_s=102.9).quality, EJECTED)
        judged = self.judge(ejected, NO_EVIDENCE, now_s=103.1)
        self.assertIs(judged.quality, ON_PROBATION)

    @given(JUDGEMENTS, EVIDENCES, st.floats(0.1, 1))
    def test_weights_and_chances_are_bounded(self, before, evidence, share):
        """Weights and probabilities are 0 to 1, and a good run has full weight."""
        judged = self.judge(before, evidence, share)
        self.assertTrue(0.0 <= judged.weight <= 1.0)
        self.assertTrue(0.0 <= judged.chance <= 1.0)
        self.assertEqual(judged.weight <= TRIAL_WEIGHT, judged.quality is EJECTED)
        if judged.quality is GOOD:
            self.assertEqual(judged.weight, 1.0)

    @given(COUNTS, COUNTS, st.floats(0.1, 0.9))
    def test_chance_falls_with_bad_answers(self, counted, additional, share):
        """With the same number of answers the probability falls with each bad one."""
        increased_bad = min(counted.answers, counted.bad + additional.bad)
        chance = binomial_tail(counted.bad, counted.answers, share)
        self.assertLessEqual(
            binomial_tail(increased_bad, counted.answers, share), chance + 1e-9
        )


class TestJudgeService(unittest.TestCase):
    def test_usual_share_leaves_out_the_worse_third(self):
        """Slow runs in the worse third do not raise it, a slow service does."""
        good, slow = AnswerCounts(20, 1), AnswerCounts(10, 10)
        self.assertEqual(usual_bad_share([good] * 45 + [slow] * 15), MIN_USUAL_SHARE)
        self.assertEqual(usual_bad_share([slow] * 60), 1.0)
        self.assertEqual(usual_bad_share([good, slow]), 1.0)

    def test_last_run_of_a_failure_domain_keeps_its_work(self):
        """The only run of a failure domain keeps its full weight when ejected."""
        domains = {1: "a"} | dict.fromkeys(range(2, 9), "b")
        good = dict.fromkeys(range(2, 9), make_evidence(20, 0))
        before = {1: make_judgement(DOUBTFUL, 0.5)}
        evidence = good | {1: make_evidence(20, 19, (3, 3))}
        (judged,) = judge_service(before, evidence, domains, 100.0).values()
        self.assertEqual((judged.quality, judged.weight), (EJECTED, 1.0))
        domains[2] = "a"
        (judged,) = judge_service(before, evidence, domains, 100.0).values()
        self.assertEqual((judged.quality, judged.weight), (EJECTED, 0.0))

    @given(
        st.dictionaries(
            st.integers(1, 30),
            st.tuples(st.sampled_from("abc"), JUDGEMENTS, EVIDENCES),
            max_size=30,
        )
    )
    def test_ejections_are_bounded(self, runs):
        """At most a third of the capacity and no last run of a domain is ejected."""
        domains = {label: domain for label, (domain, _, _) in runs.items()}
        before = {label: judged for label, (_, judged, _) in runs.items()}
        evidence = {label: observed for label, (_, _, observed) in runs.items()}
        judged = judge_service(before, evidence, domains, 100.0)
        removed_share = sum(1.0 - judgement.weight for judgement in judged.values())
        self.assertLessEqual(removed_share, len(domains) * MAX_EJECTED_SHARE + 1e-9)
        for domain in set(domains.values()):
            active_labels = [
                label
                for label, other_domain in domains.items()
                if other_domain == domain
                and (label not in judged or judged[label].weight > 0)
            ]
            self.assertTrue(active_labels)
