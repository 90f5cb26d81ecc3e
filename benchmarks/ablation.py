"""Plays days with policies off or at other values, to find what each is worth.

The command that plays a day is given, with ``{site}``, ``{day}``, ``{seed}``,
``{policies}`` (path of the file of policies to play with) and ``{slot}`` (number of the
worker, for a folder of its own) in it. Its last line of output is an `Outcome` as JSON.
What was played is not played again, so a run that was stopped goes on when it is
started anew.
"""

import argparse
import json
import queue
import shlex
import subprocess
import sys
import tempfile
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import asdict, dataclass
from pathlib import Path

from agatethread.exceptions import AgatethreadError, SettingsError
from agatethread.settings import (
    DEFAULT_POLICIES,
    Policies,
    parse_data_class,
    policy_fields,
    switch_off,
)

#: Variant with every policy at its default; with a number behind it when it is played
#: again, which shows by how much plays differ that should not.
ALL_ON = "all on"
#: A day of the largest deployments takes some ten minutes on a busy machine.
_LONGEST_PLAY_S = 1_800.0


class PlayFailedError(AgatethreadError):
    """A day was not played to its end, or gave no outcome."""


@dataclass(frozen=True)
class Play:
    """One day with one seed and one variant."""

    variant: str
    site: str
    day: str
    seed: int


@dataclass(frozen=True)
class ClassOutcome:
    """What callers of one kind of request got."""

    name: str
    asked_count: int
    in_time_count: int
    late_count: int
    refused_count: int
    failed_count: int


@dataclass(frozen=True)
class Outcome:
    """What a play gave."""

    #: Credit earned of what was owed, less prices.
    worth_ratio: float
    classes: tuple[ClassOutcome, ...]
    rules_broken: tuple[str, ...] = ()


@dataclass(frozen=True)
class Record:
    """A play and what it gave: a line of the file of results."""

    play: Play
    outcome: Outcome


def plan(
    variants: Sequence[str],
    sites: Sequence[str],
    days: Sequence[str],
    seeds: Sequence[int],
) -> list[Play]:
    """List the plays; all variants of a day follow each other.

    So what was played until a stop can be compared.

    Parameters
    ----------
    variants : sequence of str
        `ALL_ON` and names of policies.
    sites, days : sequence of str
        As the command takes them.
    seeds : sequence of int
        Each day is played with each.

    Returns
    -------
    list of Play
        In the order in which they are played.
    """
    return [
        Play(variant, site, day, seed)
        for seed in seeds
        for day in days
        for site in sites
        for variant in variants
    ]


def policies_of(variant: str) -> Policies:
    """Find the policies that a variant plays with.

    Parameters
    ----------
    variant : str
        `ALL_ON`, also with a number, or what differs, joined by ``+``: names of the
        policies that are off, and ``NAME=VALUE`` for other values.

    Returns
    -------
    Policies
        The policies.

    Raises
    ------
    KeyError
        If there is no policy of a name.
    SettingsError
        If one can't have the value.
    """
    policies = DEFAULT_POLICIES
    if variant.startswith(ALL_ON):
        return policies
    for change in variant.split("+"):
        name, is_given, value = change.partition("=")
        if not is_given:
            policies = switch_off(policies, name)
            continue
        text = json.dumps(asdict(policies) | {name: json.loads(value)})
        policies = parse_data_class(variant, text, Policies, SettingsError)
    return policies


def read_records(path: Path) -> Iterator[Record]:
    """Read the results of earlier plays.

    Parameters
    ----------
    path : Path
        File of results; none is as good as an empty one.

    Yields
    ------
    Record
        One for each line; a line that was not written to its end is told and left out.
    """
    if not path.exists():
        return
    for number, line in enumerate(path.read_text().splitlines(), 1):
        try:
            yield parse_data_class(f"{path}:{number}", line, Record, SettingsError)
        except SettingsError as error:
            print(error.exceptions[0], "(will be played again)", file=sys.stderr)


def play_day(command: str, play: Play, slot: int) -> Outcome:
    """Play one day.

    Parameters
    ----------
    command : str
        Command line with placeholders.
    play : Play
        What to play.
    slot : int
        Number of the worker.

    Returns
    -------
    Outcome
        What it gave.

    Raises
    ------
    PlayFailedError
        If the command failed or gave no outcome.
    """
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(asdict(policies_of(play.variant)), file)
        file.flush()
        values = asdict(play) | {"policies": file.name, "slot": slot}
        words = [word.format_map(values) for word in shlex.split(command)]
        try:
            done = subprocess.run(
                words, capture_output=True, text=True, timeout=_LONGEST_PLAY_S
            )
        except (OSError, subprocess.TimeoutExpired) as error:
            raise PlayFailedError(f"{play}: {error}") from None
    lines = done.stdout.splitlines()
    if done.returncode or not lines:
        raise PlayFailedError(f"{play}: exit code {done.returncode}: {done.stderr}")
    try:
        return parse_data_class(str(play), lines[-1], Outcome, SettingsError)
    except SettingsError as error:
        raise PlayFailedError(f"{play}: {error.exceptions[0]}") from None


def play_all(
    command: str, plays: Iterable[Play], results: Path, job_count: int
) -> list[PlayFailedError]:
    """Play what has no result yet, several days at a time.

    Parameters
    ----------
    command : str
        Command line with placeholders.
    plays : iterable of Play
        What to play.
    results : Path
        File that results are added to.
    job_count : int
        Days at a time.

    Returns
    -------
    list of PlayFailedError
        Plays without a result.
    """
    done = {record.play for record in read_records(results)}
    todo = [play for play in plays if play not in done]
    slots: queue.SimpleQueue[int] = queue.SimpleQueue()
    for slot in range(job_count):
        slots.put(slot)

    def work(play: Play) -> Record:
        slot = slots.get()
        try:
            return Record(play, play_day(command, play, slot))
        finally:
            slots.put(slot)

    failures = []
    with ThreadPoolExecutor(job_count) as pool, open(results, "a") as file:
        futures = [pool.submit(work, play) for play in todo]
        for number, future in enumerate(as_completed(futures), 1):
            try:
                record = future.result()
            except PlayFailedError as error:
                failures.append(error)
                print(f"[{number}/{len(todo)}] {error}", file=sys.stderr, flush=True)
                continue
            file.write(json.dumps(asdict(record)) + "\n")
            file.flush()
            print(f"[{number}/{len(todo)}] {_describe(record)}", flush=True)
    return failures


def _describe(record: Record) -> str:
    play, outcome = record.play, record.outcome
    failed_count = sum(one.failed_count for one in outcome.classes)
    broken = f", broken: {', '.join(outcome.rules_broken)}"
    return (
        f"{play.variant}: {Path(play.site).stem} {play.day} seed {play.seed}: "
        f"worth {outcome.worth_ratio:.4f}, {failed_count} failed"
        f"{broken if outcome.rules_broken else ''}"
    )


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--command", required=True, help="plays one day")
    parser.add_argument("--sites", nargs="+", required=True)
    parser.add_argument("--days", nargs="+", required=True)
    parser.add_argument("--seeds", nargs="+", type=int, default=[1, 2, 3])
    parser.add_argument(
        "--off",
        nargs="*",
        default=[one.name for one in policy_fields()],
        help="what differs, each in turn: a policy to switch off, or NAME=VALUE; "
        "joined by + for two together",
    )
    parser.add_argument(
        "--repeats", type=int, default=3, help="plays with all policies on"
    )
    parser.add_argument("--jobs", type=int, default=2, help="days at a time")
    parser.add_argument("--results", type=Path, required=True)
    options = parser.parse_args()
    for variant in options.off:
        try:
            policies_of(variant)
        except KeyError as error:
            parser.error(f"no policy {error}")
        except (SettingsError, ValueError) as error:
            parser.error(f"{variant}: {error}")
    again = [f"{ALL_ON} {number}" for number in range(2, options.repeats + 1)]
    variants = [ALL_ON, *again, *options.off]
    plays = plan(variants, options.sites, options.days, options.seeds)
    failures = play_all(options.command, plays, options.results, options.jobs)
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    _main()
