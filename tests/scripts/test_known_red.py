import runpy
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]
SCRIPT = runpy.run_path(str(ROOT / "scripts" / "known_red.py"))
LOG = """..F.E
======================================================================
FAIL: test_a (tests.x.TestX.test_a)
----------------------------------------------------------------------
AssertionError
======================================================================
ERROR: test_b (tests.y.TestY.test_b) (value=-1)
----------------------------------------------------------------------
Ran 5 tests in 0.1s

FAILED (failures=1, errors=1)
"""


class TestKnownRed(unittest.TestCase):
    def test_failures_are_found(self):
        """Failures and errors, those of a subtest under its test's name."""
        failed = SCRIPT["failures"](LOG)
        self.assertEqual(failed, {"tests.x.TestX.test_a", "tests.y.TestY.test_b"})

    def test_run_that_did_not_end_is_a_failure(self):
        """A run that was cut short, or never began, passes over nothing."""
        for log in ("", LOG[:60], LOG.replace("FAILED (", "")):
            self.assertIn("(not a test)", SCRIPT["failures"](log))

    def test_entries_are_names_at_the_start_of_a_line(self):
        """What is said of them is indented."""
        text = "# a remark\ntests.x.TestX.test_a\n    Seen: tests.z.TestZ once.\n\n"
        self.assertEqual(SCRIPT["listed"](text), {"tests.x.TestX.test_a"})

    def test_each_entry_names_a_test_that_is_there(self):
        """An entry whose test was renamed would pass over nothing."""
        for name in SCRIPT["listed"]((ROOT / "KNOWN-RED.txt").read_text()):
            suite = unittest.defaultTestLoader.loadTestsFromName(name)
            self.assertEqual(suite.countTestCases(), 1, name)
