import unittest
from itertools import product

from agatethread.routing import OpenFlowOutcome, decide_open_flow


class TestDecideOpenFlow(unittest.TestCase):
    def test_resets_only_flows_of_known_ended_runs(self):
        """Packets of unknown runs or other services are neither reset nor forwarded."""
        for is_known, is_allowed, has_ended in product((False, True), repeat=3):
            with self.subTest((is_known, is_allowed, has_ended)):
                outcome = decide_open_flow(is_known, is_allowed, has_ended)
                is_handled = is_known and is_allowed
                is_reset = outcome is OpenFlowOutcome.RESET
                is_forwarded = outcome is OpenFlowOutcome.FORWARD
                self.assertEqual(is_reset, is_handled and has_ended)
                self.assertEqual(is_forwarded, is_handled and not has_ended)

    def test_drop_reason_distinguishes_run_and_service(self):
        """An unknown run is reported before a service that is not allowed."""
        self.assertIs(
            decide_open_flow(False, False, False), OpenFlowOutcome.DROP_UNKNOWN
        )
        self.assertIs(
            decide_open_flow(True, False, True), OpenFlowOutcome.DROP_OTHER_SERVICE
        )
