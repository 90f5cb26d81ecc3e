import unittest
from math import inf

from hypothesis import given
from hypothesis import strategies as st

from agatethread.balancing import (
    MAX_PLACEMENT_DELAY_S,
    AdmissionDecision,
    GroupLoad,
    Opening,
    PlacementAlternative,
    decide_admission,
    expected_wait_s,
    placement_deadline_s,
)

LOADS = st.builds(
    GroupLoad,
    free_count=st.integers(0, 40),
    waiting_count=st.integers(0, 2_000),
    place_count=st.integers(0, 100),
    place_time_s=st.floats(0.001, 2.0),
)
OPENINGS = st.builds(
    Opening,
    urgency=st.integers(0, 3),
    requested_s=st.floats(0.0, 2.0),
    aim_s=st.sampled_from([0.1, 0.5, inf]),
    timeout_s=st.sampled_from([0.3, 2.0, inf]),
)
AHEAD_COUNTS = st.integers(0, 2_000)
#: A wait of None is an unknown wait.
ALTERNATIVES = st.none() | st.builds(
    PlacementAlternative, st.none() | st.floats(0.0, 2.0), st.booleans()
)
NOW_S = 2.0


class TestDecideAdmission(unittest.TestCase):
    @given(OPENINGS, LOADS, AHEAD_COUNTS, ALTERNATIVES)
    def test_places_exactly_if_more_places_are_free_than_openings_ahead(
        self, opening, load, ahead, alternative
    ):
        """An opening is placed exactly if more places are free than openings ahead."""
        decision = decide_admission(opening, load, ahead, NOW_S, alternative)
        self.assertEqual(decision is AdmissionDecision.PLACE, load.free_count > ahead)

    @given(OPENINGS, LOADS, AHEAD_COUNTS, ALTERNATIVES)
    def test_queues_only_openings_that_meet_their_deadline(
        self, opening, load, ahead, alternative
    ):
        """An opening is queued if its caller still waits then, and else refused."""
        decision = decide_admission(opening, load, ahead, NOW_S, alternative)
        wait_s = expected_wait_s(load, ahead)
        if decision is AdmissionDecision.WAIT:
            self.assertLessEqual(NOW_S + wait_s, placement_deadline_s(opening))
        if decision is AdmissionDecision.REFUSE:
            self.assertGreater(NOW_S + wait_s, placement_deadline_s(opening))

    @given(OPENINGS, LOADS, AHEAD_COUNTS, ALTERNATIVES)
    def test_hands_over_only_for_shorter_wait(self, opening, load, ahead, alternative):
        """An opening is handed over only to an alternative with a shorter wait."""
        wait_s = expected_wait_s(load, ahead)
        decision = decide_admission(opening, load, ahead, NOW_S, alternative)
        if decision is AdmissionDecision.HAND_OVER:
            self.assertLess(alternative.wait_s or 0.0, wait_s)
        decision = decide_admission(opening, load, ahead, NOW_S, None)
        self.assertIsNot(decision, AdmissionDecision.HAND_OVER)

    def test_other_failure_domain_needs_larger_margin(self):
        """Handing over to another failure domain needs a larger gain in wait time."""
        opening, load = Opening(1, NOW_S, 0.4, 2.0), GroupLoad(0, 4, 5, 0.02)
        for crosses, expected in (
            (False, AdmissionDecision.HAND_OVER),
            (True, AdmissionDecision.WAIT),
        ):
            alternative = PlacementAlternative(0.0, crosses)
            decision = decide_admission(opening, load, 4, NOW_S, alternative)
            self.assertIs(decision, expected)

    @given(LOADS, AHEAD_COUNTS)
    def test_wait_grows_with_openings_ahead(self, load, ahead):
        """One more opening ahead never shortens the expected wait."""
        before_s = expected_wait_s(load, ahead)
        self.assertGreaterEqual(expected_wait_s(load, ahead + 1), before_s)

    @given(OPENINGS)
    def test_placement_deadline_is_bounded(self, opening):
        """The deadline is within the maximum delay and the opening's timeout."""
        latest_s = placement_deadline_s(opening) - opening.requested_s
        self.assertLessEqual(
            latest_s, min(MAX_PLACEMENT_DELAY_S, opening.timeout_s) + 1e-9
        )
