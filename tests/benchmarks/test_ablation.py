import contextlib
import io
import sys
import tempfile
import unittest
from pathlib import Path

from agatethread.exceptions import SettingsError
from agatethread.settings import DEFAULT_POLICIES, switch_off
from benchmarks.ablation import (
    ALL_ON,
    ClassOutcome,
    Outcome,
    Play,
    Record,
    plan,
    play_all,
    policies_of,
    read_records,
)
from benchmarks.ablation_report import by_class, compare, draw, to_markdown

#: Plays a day without anything of ours: a policy off costs, and says how it was called.
PLAYER = """
import json, sys
site, day, seed, policies, slot, log = sys.argv[1:]
with open(policies) as file:
    off = not json.load(file)["keeps_hints"]
with open(log, "a") as file:
    file.write(f"{site} {day} {seed} {slot} {off}\\n")
if day == "broken":
    sys.exit("no such day")
counts = dict(asked_count=100, late_count=1, refused_count=0)
failed = int(seed) if off else 0
one = dict(name="tab", in_time_count=99 - failed, failed_count=failed, **counts)
print("played")
print(json.dumps({"worth_ratio": 0.9 - failed / 100, "classes": [one]}))
"""


class TestAblation(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.results, self.log = self.folder / "results", self.folder / "log"
        player = self.folder / "player.py"
        player.write_text(PLAYER)
        fields = "{site} {day} {seed} {policies} {slot}"
        self.command = f"{sys.executable} {player} {fields} {self.log}"

    def play(self, plays, job_count=2):
        with (
            contextlib.redirect_stdout(io.StringIO()),
            contextlib.redirect_stderr(io.StringIO()) as self.errors,
        ):
            return play_all(self.command, plays, self.results, job_count)

    def plays(self, days=("calm",)):
        return plan([ALL_ON, "keeps_hints"], ["a.toml", "b.toml"], days, [1, 2])

    def read(self):
        with contextlib.redirect_stderr(io.StringIO()):
            return list(read_records(self.results))

    def test_effects_are_those_of_the_player(self):
        """Each pair differs by what the policy is worth, and by its requests."""
        self.assertEqual(self.play(self.plays()), [])
        effects = compare(self.read())
        self.assertEqual([one.site for one in effects], ["a.toml", "b.toml"])
        for one in effects:
            self.assertEqual((one.variant, one.pair_count), ("keeps_hints", 2))
            self.assertAlmostEqual(one.worth_ratio, 0.015)
            self.assertAlmostEqual(one.error_ratio, 0.005)
            self.assertEqual((one.failed_count, one.late_count), (3, 0))
        counts = by_class(self.read())["a.toml", "keeps_hints", "tab"]
        self.assertEqual(counts, (200, 195, 2, 0, 3))
        self.assertIn("| a | `keeps_hints` | 2 | +0.0150 |", to_markdown(effects))
        picture = self.folder / "effects.png"
        draw(effects, picture)
        self.assertTrue(picture.stat().st_size)

    def test_stopped_run_goes_on(self):
        """What has a result is not played again; a torn line is."""
        plays = self.plays()
        self.play(plays[:3])
        text = self.results.read_text()
        self.results.write_text(text[: len(text) - 20] + "\n")
        self.play(plays)
        self.assertEqual({one.play for one in self.read()}, set(plays))
        self.assertEqual(len(self.log.read_text().splitlines()), len(plays) + 1)
        self.assertIn("will be played again", self.errors.getvalue())

    def test_failed_play_is_told_and_the_others_go_on(self):
        """A day that can't be played costs no other, and gets no result."""
        plays = self.plays(days=("broken", "calm"))
        failures = self.play(plays)
        self.assertEqual(len(failures), len(plays) // 2)
        self.assertIn("no such day", str(failures[0]))
        self.assertEqual({one.play.day for one in self.read()}, {"calm"})

    def test_workers_have_slots_of_their_own(self):
        """No two plays use one folder at a time: there are as many as jobs."""
        self.play(self.plays(), job_count=3)
        slots = {line.split()[3] for line in self.log.read_text().splitlines()}
        self.assertLessEqual(slots, {"0", "1", "2"})

    def test_policies_may_be_off_together(self):
        """Overlapping ones are tested in pairs."""
        both = switch_off(switch_off(DEFAULT_POLICIES, "keeps_hints"), "cold_factor")
        self.assertEqual(policies_of("keeps_hints+cold_factor"), both)
        self.assertEqual(policies_of(ALL_ON), DEFAULT_POLICIES)

    def test_policies_may_have_other_values(self):
        """A way is named by what differs; what no policy can have is refused."""
        found = policies_of("domain_preference_count=4+keeps_hints")
        self.assertEqual(found.domain_preference_count, 4.0)
        self.assertFalse(found.keeps_hints)
        for wrong in ("domain_preference_count=-1", "keeps_hints=3", "colour=1"):
            with self.subTest(variant=wrong), self.assertRaises(SettingsError):
                policies_of(wrong)

    def test_no_such_policy(self):
        """A misspelt name is no variant."""
        with self.assertRaises(KeyError):
            policies_of("colour")

    def test_play_without_its_partner_is_left_out(self):
        """A difference needs both; a broken rule is told."""
        one = ClassOutcome("tab", 1, 1, 0, 0, 0)
        on, off = Outcome(0.9, (one,)), Outcome(0.8, (one,), ("FLOW",))
        records = [
            Record(Play(ALL_ON, "a", "x", 1), on),
            Record(Play("keeps_hints", "a", "x", 1), off),
            Record(Play("keeps_hints", "a", "y", 1), off),
        ]
        (effect,) = compare(records)
        self.assertEqual((effect.pair_count, effect.rules_broken), (1, ("FLOW",)))

    def test_plays_with_all_on_show_what_is_chance(self):
        """Each is paired with the others; the rest with their mean."""
        variants = {ALL_ON: 0.90, f"{ALL_ON} 2": 0.92, "keeps_hints": 0.80}
        records = [
            Record(Play(name, "a", "x", 1), Outcome(worth, ()))
            for name, worth in variants.items()
        ]
        off, chance = compare(records)
        self.assertEqual((off.variant, chance.variant), ("keeps_hints", ALL_ON))
        self.assertAlmostEqual(off.worth_ratio, 0.11)
        self.assertEqual(chance.pair_count, 2)
        self.assertAlmostEqual(chance.worth_ratio, 0.0)
        self.assertAlmostEqual(chance.most_ratio, 0.02)
