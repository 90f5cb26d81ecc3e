import unittest
from itertools import product

from agatethread.routing import OpenFlowOutcome, judge_open_flow


class TestJudgeOpenFlow(unittest.TestCase):
    def test_resets_only_flows_of_known_ended_runs(self):
        """Packets of unknown runs or other services are neither reset nor forwarded."""
        for is_known, is_allowed, has_ended in product((False, True), repeat=3):
            with self.subTest((is_known, is_allowed, has_ended)):
                outcome = judge_open_flow(is_known, is_allowed, has_ended)
                may_answer = is_known and is_allowed
                is_reset = outcome is OpenFlowOutcome.RESET
                is_forwarded = outcome is OpenFlowOutcome.FORWARD
                self.assertEqual(is_reset, may_answer and has_ended)
                self.assertEqual(is_forwarded, may_answer and not has_ended)

    def test_drop_reason_distinguishes_run_and_service(self):
        """An unknown run is reported before a service that is not allowed."""
        self.assertIs(
            judge_open_flow(False, False, False), OpenFlowOutcome.DROP_UNKNOWN
        )
        self.assertIs(
            judge_open_flow(True, False, True), OpenFlowOutcome.DROP_OTHER_SERVICE
        )
