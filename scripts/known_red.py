"""Checks that all failures of a test run are listed in KNOWN-RED.txt.

``known_red.py LOG`` reads the output of ``make test``. An entry starts with the full
name of a test at the start of a line; its other lines are indented.
"""

import re
import sys
from pathlib import Path

_FAILURE = re.compile(r"^(?:FAIL|ERROR): \S+ \((\S+?)\)", re.MULTILINE)
#: The summary line of a run with failed tests.
_COUNTS = re.compile(r"^FAILED \((.*)\)$", re.MULTILINE)


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
        Full names of tests; includes ``(not a test)`` if the log has no failed test or
        no summary line.
    """
    failed = set(_FAILURE.findall(log))
    if not failed or not _COUNTS.search(log):
        failed.add("(not a test)")
    return failed


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
