"""Compares plays with a policy off with the same plays with all on."""

import argparse
import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from statistics import mean, stdev

from benchmarks.ablation import ALL_ON, Outcome, Play, Record, read_records


@dataclass(frozen=True)
class Effect:
    """What a policy is worth on one deployment: all on, less the policy off."""

    variant: str
    site: str
    pair_count: int
    #: Mean of the paired differences of worth, and its standard error.
    worth_ratio: float
    error_ratio: float
    #: Smallest and largest difference of a pair.
    least_ratio: float
    most_ratio: float
    #: Requests lost or late by the policy being off, of all pairs together.
    failed_count: int
    late_count: int
    rules_broken: tuple[str, ...]


@dataclass(frozen=True)
class _Pair:
    """A play with something off, beside the same day and seed with all on."""

    worth_ratio: float
    more_failed_count: float
    more_late_count: float
    rules_broken: tuple[str, ...]


def compare(records: Iterable[Record]) -> list[Effect]:
    """Pair each play with the mean of those of the same day and seed with all on.

    A play with all on is paired with the others of its kind, which shows how much of an
    effect is chance.

    Parameters
    ----------
    records : iterable of Record
        Results; those without a partner are left out.

    Returns
    -------
    list of Effect
        By deployment, the most worth first.
    """
    outcomes = {record.play: record.outcome for record in records}
    on: dict[tuple[str, str, int], dict[str, Outcome]] = defaultdict(dict)
    for play, outcome in outcomes.items():
        if play.variant.startswith(ALL_ON):
            on[_day_of(play)][play.variant] = outcome
    pairs: dict[tuple[str, str], list[_Pair]] = defaultdict(list)
    for play, outcome in outcomes.items():
        others = [
            one for name, one in on[_day_of(play)].items() if name != play.variant
        ]
        if others:
            name = ALL_ON if play.variant.startswith(ALL_ON) else play.variant
            pairs[play.site, name].append(_pair(others, outcome))
    effects = [_sum_up(*key, found) for key, found in pairs.items()]
    return sorted(effects, key=lambda one: (one.site, -one.worth_ratio))


def _day_of(play: Play) -> tuple[str, str, int]:
    return play.site, play.day, play.seed


def _pair(on: list[Outcome], off: Outcome) -> _Pair:
    def more(name: str) -> float:
        return _count(off, name) - mean(_count(one, name) for one in on)

    return _Pair(
        mean(one.worth_ratio for one in on) - off.worth_ratio,
        more("failed_count"),
        more("late_count"),
        off.rules_broken,
    )


def _sum_up(site: str, variant: str, pairs: list[_Pair]) -> Effect:
    differences = [pair.worth_ratio for pair in pairs]
    error = math.inf
    if len(pairs) > 1:
        error = stdev(differences) / math.sqrt(len(pairs))
    return Effect(
        variant,
        site,
        len(pairs),
        mean(differences),
        error,
        min(differences),
        max(differences),
        round(sum(pair.more_failed_count for pair in pairs)),
        round(sum(pair.more_late_count for pair in pairs)),
        tuple(sorted({rule for pair in pairs for rule in pair.rules_broken})),
    )


def _count(outcome: Outcome, name: str) -> int:
    return sum(getattr(one, name) for one in outcome.classes)


def by_class(records: Iterable[Record]) -> dict[tuple[str, str, str], tuple[int, ...]]:
    """Sum up what callers of each kind of request got.

    Parameters
    ----------
    records : iterable of Record
        Results.

    Returns
    -------
    dict
        By deployment, variant and kind: requests asked, in time, late, refused, failed.
    """
    sums: dict[tuple[str, str, str], tuple[int, ...]] = {}
    for record in records:
        for one in record.outcome.classes:
            key = (record.play.site, record.play.variant, one.name)
            counts = (
                one.asked_count,
                one.in_time_count,
                one.late_count,
                one.refused_count,
                one.failed_count,
            )
            before = sums.get(key, (0,) * len(counts))
            sums[key] = tuple(map(sum, zip(before, counts, strict=True)))
    return sums


def to_markdown(effects: Iterable[Effect]) -> str:
    """Write a table of effects.

    Parameters
    ----------
    effects : iterable of Effect
        One a row.

    Returns
    -------
    str
        Markdown.
    """
    lines = [
        "| Deployment | Off | Pairs | Worth lost | Error | Least, most "
        "| More failed | More late | Rules broken |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {Path(one.site).stem} | `{one.variant}` | {one.pair_count} "
        f"| {one.worth_ratio:+.4f} | {one.error_ratio:.4f} "
        f"| {one.least_ratio:+.3f}, {one.most_ratio:+.3f} "
        f"| {one.failed_count:+d} | {one.late_count:+d} "
        f"| {', '.join(one.rules_broken) or 'none'} |"
        for one in effects
    ]
    return "\n".join(lines)


def draw(effects: list[Effect], path: Path) -> None:
    """Draw what each policy is worth, with two standard errors to each side.

    Parameters
    ----------
    effects : list of Effect
        All deployments.
    path : Path
        Picture to write.
    """
    from matplotlib import pyplot

    sites = sorted({one.site for one in effects})
    figure, all_axes = pyplot.subplots(
        1, len(sites), figsize=(1 + 4.5 * len(sites), 5), squeeze=False
    )
    for axes, site in zip(all_axes[0], sites, strict=True):
        rows = [one for one in effects if one.site == site][::-1]
        axes.errorbar(
            [one.worth_ratio for one in rows],
            [one.variant for one in rows],
            xerr=[min(2 * one.error_ratio, 1.0) for one in rows],
            fmt="o",
        )
        axes.axvline(0.0, color="grey")
        axes.set_title(Path(site).stem)
        axes.set_xlabel("worth lost with it off")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("results", type=Path)
    parser.add_argument("--plot", type=Path, help="picture to write")
    options = parser.parse_args()
    records = list(read_records(options.results))
    effects = compare(records)
    print(to_markdown(effects))
    print()
    print("| Deployment | Variant | Kind | Asked | In time | Late | Refused | Failed |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for (site, variant, kind), counts in sorted(by_class(records).items()):
        cells = " | ".join(str(count) for count in counts)
        print(f"| {Path(site).stem} | `{variant}` | {kind} | {cells} |")
    if options.plot:
        draw(effects, options.plot)


if __name__ == "__main__":
    _main()
