import unittest
from itertools import product

from agatethread.routing import OpenFlowOutcome, judge_open_flow


class TestJudgeOpenFlow(unittest.TestCase):
    def test_nothing_is_reset_without_knowledge(self):
        """Of an unknown run, and for a service not allowed, nothing is ever said."""
        for is_known, is_allowed, has_ended in product((False, True), repeat=3):
            with self.subTest((is_known, is_allowed, has_ended)):
                outcome = judge_open_flow(is_known, is_allowed, has_ended)
                may_speak = is_known and is_allowed
                is_reset = outcome is OpenFlowOutcome.RESET
                is_sent = outcome is OpenFlowOutcome.FORWARD
                self.assertEqual(is_reset, may_speak and has_ended)
                self.assertEqual(is_sent, may_speak and not has_ended)

    def test_reason_says_what_was_missing(self):
        """An unknown run goes before its service, which then can't be known either."""
        self.assertIs(
            judge_open_flow(False, False, False), OpenFlowOutcome.DROP_UNKNOWN
        )
        self.assertIs(
            judge_open_flow(True, False, True), OpenFlowOutcome.DROP_OTHER_SERVICE
        )
