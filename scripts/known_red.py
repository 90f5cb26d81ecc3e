"""Passes over the failures of a test run that KNOWN-RED.txt lists, and no others.

``known_red.py LOG`` reads what ``make test`` printed. An entry begins at the start of a
line with a test's full name; indented lines below it say how it was seen.
"""

import re
import sys
from pathlib import Path

_FAILURE = re.compile(r"^(?:FAIL|ERROR): \S+ \((\S+?)\)", re.MULTILINE)
#: The runner counts as many as it names, or something failed outside a test.
_COUNTS = re.compile(r"^FAILED \((.*)\)$", re.MULTILINE)


def listed(text: str) -> set[str]:
    """List the tests that are known to fail.

    Parameters
    ----------
    text : str
        Content of the file.

    Returns
    -------
    set of str
        Full names.
    """
    lines = (line for line in text.splitlines() if line and not line[0].isspace())
    return {line.split()[0] for line in lines if not line.startswith("#")}


def failures(log: str) -> set[str]:
    """List the tests that failed.

    Parameters
    ----------
    log : str
        What the runner printed.

    Returns
    -------
    set of str
        Full names; with ``(not a test)`` among them if the run did not end as a run
        of tests does.
    """
    failed = set(_FAILURE.findall(log))
    if not failed or not _COUNTS.search(log):
        failed.add("(not a test)")
    return failed


def main() -> int:
    """Run from the command line; return the exit code."""
    root = Path(__file__).parent.parent
    known = listed((root / "KNOWN-RED.txt").read_text())
    failed = failures(Path(sys.argv[1]).read_text(errors="replace"))
    for name in sorted(failed):
        word = "known red" if name in known else "FAILED"
        sys.stdout.write(f"{word}: {name}\n")
    return 0 if failed <= known else 1


if __name__ == "__main__":
    sys.exit(main())
