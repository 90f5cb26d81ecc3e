"""Checks that all failures of a test run are listed in KNOWN-RED.txt.

``known_red.py LOG`` reads the output of ``make test``. An entry starts with the full
name of a test at the start of a line; its other lines are indented. A fault that only a
run by hand has shown is listed as ``run.NAME``; it excuses no test.
"""

import re
import sys
from pathlib import Path

#: Start of the entries of runs by hand.
RUN_PREFIX = "run."
_FAILURE = re.compile(r"^(?:FAIL|ERROR): \S+ \((\S+?)\)", re.MULTILINE)
#: The summary line of a run with failed tests.
_COUNTS = re.compile(r"^FAILED \((.*)\)$", re.MULTILINE)

#: What the summary line counts and a run must not have.
_FAILURE_KINDS = ("failures", "errors", "unexpected successes")


def parse_known_failures(text: str) -> set[str]:
    """Return the tests that are listed as failing.

    Parameters
    ----------
    text : str
        Content of KNOWN-RED.txt.

    Returns
    -------
    set of str
        Full names of tests.
    """
    lines = (line for line in text.splitlines() if line and not line[0].isspace())
    return {line.split()[0] for line in lines if not line.startswith("#")}


def find_failures(log: str) -> set[str]:
    """Return the tests that failed.

    Parameters
    ----------
    log : str
        Output of the test runner.

    Returns
    -------
    set of str
        Full names of tests; includes ``(not a test)`` if the log has no failed test, no
        summary line, or fewer named failures than the summary counts.
    """
    named = _FAILURE.findall(log)
    counts = _COUNTS.search(log)
    failed = set(named)
    if not counts or not named or _sum_failures(counts[1]) != len(named):
        failed.add("(not a test)")
    return failed


def _sum_failures(counts: str) -> int:
    """Return the number of failures in a summary, such as ``failures=1, errors=2``."""
    numbers = dict(count.split("=") for count in counts.split(", "))
    return sum(int(numbers.get(kind, 0)) for kind in _FAILURE_KINDS)


def main() -> int:
    """Print the failed tests; return 1 if one of them is not listed, else 0."""
    root = Path(__file__).parent.parent
    known_failures = parse_known_failures((root / "KNOWN-RED.txt").read_text())
    failed = find_failures(Path(sys.argv[1]).read_text(errors="replace"))
    for name in sorted(failed):
        status = "known red" if name in known_failures else "FAILED"
        sys.stdout.write(f"{status}: {name}\n")
    return 0 if failed <= known_failures else 1


if __name__ == "__main__":
    sys.exit(main())
