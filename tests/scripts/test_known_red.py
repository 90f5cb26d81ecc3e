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
    def test_finds_failed_tests(self):
        """Finds failures and errors; those of a subtest have the name of its test."""
        failed = SCRIPT["find_failures"](LOG)
        self.assertEqual(failed, {"tests.x.TestX.test_a", "tests.y.TestY.test_b"})

    def test_incomplete_run_is_a_failure(self):
        """A log without failed tests or a summary line counts as a failure."""
        for log in ("", LOG[:60], LOG.replace("FAILED (", "")):
            self.assertIn("(not a test)", SCRIPT["find_failures"](log))

    def test_failure_without_a_name_is_not_excused(self):
        """Guards against passing over more failures than were named."""
        for counts in (
            "failures=2, errors=1",
            "failures=1, errors=1, unexpected successes=1",
        ):
            log = LOG.replace("failures=1, errors=1", counts)
            self.assertIn("(not a test)", SCRIPT["find_failures"](log))

    def test_parses_names_at_start_of_line(self):
        """Comments and indented lines are ignored."""
        text = "# a remark\ntests.x.TestX.test_a\n    Seen: tests.z.TestZ once.\n\n"
        self.assertEqual(SCRIPT["parse_known_failures"](text), {"tests.x.TestX.test_a"})

    def test_each_entry_names_an_existing_test(self):
        """Guards against entries of renamed tests, which have no effect."""
        names = SCRIPT["parse_known_failures"]((ROOT / "KNOWN-RED.txt").read_text())
        for name in names:
            if name.startswith(SCRIPT["RUN_PREFIX"]):
                continue
            # A missing test is loaded as one that fails, with an error of the loader.
            loader = unittest.TestLoader()
            self.assertEqual(loader.loadTestsFromName(name).countTestCases(), 1, name)
            self.assertEqual(loader.errors, [])

    def test_run_by_hand_excuses_no_test(self):
        """An entry of a run, such as a soak, never has the name of a test."""
        self.assertFalse(SCRIPT["RUN_PREFIX"].startswith("tests"))
