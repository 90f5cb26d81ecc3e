"""Plays one day on the users' bench; the last line tells what callers got, as JSON.

For `benchmarks.ablation`. It needs a clone of the repository that nothing else uses:
each play builds the clone anew, and the file of policies is named in the clone's deploy
file, since the bench hands a process no other variable.
"""

import argparse
import json
import re
import shutil
import subprocess
import sys
from pathlib import Path

#: Line of the deploy file that a role's variables follow.
_RUN_LINE = re.compile(r"^run = .*$", re.MULTILINE)
_POLICIES_FILE = "deploy/policies.json"
#: Columns of the bench's table of kinds of requests.
_CLASS_COLUMNS = ("asked", "in aim", "late", "refused", "failed")
_COLUMN_NAMES = (
    "asked_count",
    "in_time_count",
    "late_count",
    "refused_count",
    "failed_count",
)


def _prepare(clone: Path, policies: Path) -> None:
    deploy_file = clone / "deploy" / "system.toml"
    text = deploy_file.read_text()
    if _POLICIES_FILE not in text:
        line = f'env = {{ AGATETHREAD_POLICIES = "{_POLICIES_FILE}" }}'
        text = _RUN_LINE.sub(lambda found: f"{found.group()}\n{line}", text)
        deploy_file.write_text(text)
    shutil.copyfile(policies, clone / _POLICIES_FILE)


def _find_entry(journal: Path, before: set[Path]) -> dict:
    (path,) = set(journal.glob("*.json")) - before
    return json.loads(path.read_text())


def _read_classes(digest: str) -> list[dict[str, object]]:
    """Read the table of kinds of requests; it ends at the first empty line."""
    lines = iter(digest.splitlines())
    header = next(line for line in lines if line.startswith("class "))
    if not all(column in header for column in _CLASS_COLUMNS):
        raise ValueError(f"unknown table: {header}")
    rows = []
    for line in lines:
        if not line.strip():
            break
        name, *values = line.split()
        counts = map(int, values[: len(_COLUMN_NAMES)])
        rows.append({"name": name, **dict(zip(_COLUMN_NAMES, counts, strict=True))})
    return rows


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True, help="the platform's command")
    parser.add_argument("--clone", type=Path, required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--day", required=True)
    parser.add_argument("--seed", required=True)
    parser.add_argument("--policies", type=Path, required=True)
    parser.add_argument("--why", default="ablation")
    options, more = parser.parse_known_args()
    _prepare(options.clone, options.policies)
    journal = options.clone / "journal"
    before = set(journal.glob("*.json"))
    command = [options.bench, "run", options.site, options.day, "--seed", options.seed]
    command += ["--no-cpu", "--why", options.why, *more]
    done = subprocess.run(command, cwd=options.clone, capture_output=True, text=True)
    print(done.stdout, done.stderr, sep="", end="", file=sys.stderr)
    if done.returncode:
        sys.exit(done.returncode)
    entry = _find_entry(journal, before)
    (day,) = entry["days"]
    outcome = {
        "worth_ratio": day["G"],
        "classes": _read_classes(entry["digest"]),
        "rules_broken": sorted(day["rules"]),
    }
    print(json.dumps(outcome))


if __name__ == "__main__":
    _main()
