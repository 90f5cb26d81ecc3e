import json
import unittest
from datetime import datetime, timedelta
from pathlib import Path

from agatethread.cli import run_ctl
from agatethread.cli._story import Story, explain, read_logs
from agatethread.cli._story_text import describe_story, group_lines
from agatethread.observability import Event
from tests.cli.test_commands import CommandCase, run

START = datetime(2026, 12, 2, 21, 0)
FLOW = "10.0.0.7:40001>198.18.0.1:443"


def line(at_s, event, instance="edge-1", step_s=0.0, **fields):
    """A line as a process writes it, some seconds after the start of all."""
    time = (START + timedelta(seconds=at_s + step_s)).isoformat()
    origin = {"time": time, "steady_s": at_s, "instance": instance}
    return json.dumps(fields | origin | {"message": event})


def placed(at_s, run="i-1", instance="edge-1", **fields):
    values = {"flow": FLOW, "run": run, "label": 7, "copy": 0}
    return line(at_s, Event.FLOW_PLACED, instance, **(values | fields))


def reset(at_s, why, **fields):
    values = {"flow": FLOW, "label": 7, "why": why, "table_version": 5}
    return line(at_s, Event.FLOW_RESET, **(values | fields))


def tell(*lines, name=FLOW):
    return explain(read_logs([lines]), name)


class TestExplain(unittest.TestCase):
    def test_reset_after_its_run_ended(self):
        """The control instance's line that says why the run ended decides."""
        story = tell(
            placed(1.0),
            line(2.0, Event.BACKEND_ENDED, run="i-1", sequence=4),
            line(1.9, Event.BACKEND_ENDED, "core-1", run="i-1", why="it said so"),
            reset(2.5, "backend_ended"),
        )
        self.assertEqual(story.deciding.instance, "core-1")
        self.assertIn("i-1 had ended (it said so)", story.cause)

    def test_refused_under_pressure(self):
        """The dispatcher's line says what it waited for, or that it was at once."""
        for waited_s, cause in (
            (0.0, "refused at once: 32"),
            (1.302, "waited 1.302 s"),
        ):
            refusal = line(
                1.0,
                Event.OPENING_REFUSED,
                "edge-2",
                flow=FLOW,
                waited_s=waited_s,
                waiting=32,
                places=8,
                place_time_s=0.068,
                urgency=2,
            )
            story = tell(refusal, reset(1.1, "no_room"))
            with self.subTest(waited_s=waited_s):
                self.assertEqual(story.deciding.instance, "edge-2")
                self.assertIn(cause, story.cause)

    def test_run_is_found_by_its_label(self):
        """A reset by an instance that never placed the flow still names the run."""
        story = tell(
            placed(1.0, instance="edge-2", flow="10.0.0.9:1>198.18.0.1:443"),
            line(2.0, Event.BACKEND_ENDED, run="i-1"),
            reset(2.5, "backend_ended"),
        )
        self.assertIn("i-1", story.cause)

    def test_reset_without_a_route(self):
        """The table that has no route for it decides."""
        story = tell(
            line(1.0, Event.TABLE_IN_FORCE, version=4),
            line(2.0, Event.TABLE_IN_FORCE, version=5),
            reset(2.5, "no_route"),
            line(3.0, Event.TABLE_IN_FORCE, version=6),
        )
        self.assertEqual(story.deciding.fields["version"], 5)
        self.assertIn("version 5 has no route", story.cause)

    def test_refused_opening(self):
        """An opening that nobody could take is its own deciding line."""
        story = tell(placed(1.0), reset(2.0, "no_backend"))
        self.assertEqual(story.deciding.event, Event.FLOW_RESET)
        self.assertIn("could take", story.cause)

    def test_refused_opening_while_domains_are_evacuated(self):
        """The newest order that the instance knew of decides."""
        orders = [
            line(at_s, Event.EVACUATIONS_IN_FORCE, domains=domains)
            for at_s, domains in ((0.5, ["a"]), (1.5, ["a", "b"]), (3.0, []))
        ]
        story = tell(placed(1.0), reset(2.0, "no_backend"), *orders)
        self.assertEqual(story.deciding.fields["domains"], ["a", "b"])
        self.assertIn("evacuated: a, b", story.cause)
        story = tell(placed(1.0), reset(4.0, "no_backend"), *orders)
        self.assertEqual(story.deciding.event, Event.FLOW_RESET)

    def test_opening_that_only_cold_servers_could_take(self):
        """It was dropped so that its copy may find a warm one."""
        drop = {"flow": FLOW, "label": 0, "table_version": 5}
        story = tell(line(1.0, Event.PACKET_DROPPED, why="backends_cold", **drop))
        self.assertIn("had just started", story.cause)

    def test_run_that_fell_silent(self):
        """A placement on a run that stopped answering is explained by that."""
        story = tell(
            placed(1.0),
            line(1.8, Event.BACKEND_AVOIDED, "edge-2", run="i-1"),
            line(5.0, Event.BACKEND_STOPPED, "core-1", run="i-1"),
        )
        self.assertEqual(story.deciding.event, Event.BACKEND_AVOIDED)
        self.assertIn("placed on i-1", story.cause)

    def test_drop_just_after_a_start(self):
        """An instance that dropped a packet had just started."""
        story = tell(
            line(1.0, Event.STARTED, role="entry"),
            line(1.2, Event.PACKET_DROPPED, flow=FLOW, why="unknown_label", label=9),
        )
        self.assertEqual(story.deciding.event, Event.STARTED)
        self.assertIn("0.2 s before", story.cause)

    def test_healthy_flow_is_not_blamed_on_anybody(self):
        """Without a sign of failure, that is what is said."""
        self.assertIn("nothing in these logs", tell(placed(1.0)).cause)
        self.assertIsNone(tell(name="10.9.9.9:9").deciding)

    def test_lines_left_out_are_mentioned(self):
        """Where lines are missing, the answer says that one may have told more."""
        story = tell(line(1.0, Event.READY, left_out_before=12), name="10.9.9.9:9")
        self.assertIn("12 lines were left out", story.cause)

    def test_stepped_clock_does_not_change_the_order(self):
        """Lines written while the time of day was off stay where they belong."""
        logs = read_logs(
            [
                [line(at_s, Event.READY, "edge-1") for at_s in (0.0, 1.0, 2.0)],
                [placed(3.0, step_s=-60.0), line(4.0, Event.READY)],
                [line(2.5, Event.BACKEND_REPORTS, "core-1", run="i-1")],
            ]
        )
        found = [one.event for one in logs.lines]
        self.assertEqual(found[3:], [Event.BACKEND_REPORTS, Event.FLOW_PLACED, "ready"])
        self.assertEqual([one.step_s for one in logs.lines][4], -60.0)

    def test_restarted_process_has_a_clock_of_its_own(self):
        """After a restart the steady clock begins anew, and nothing was stepped."""
        later = START + timedelta(seconds=50)
        again = json.dumps(
            {
                "time": later.isoformat(),
                "steady_s": 0.1,
                "instance": "edge-1",
                "message": "started",
            }
        )
        logs = read_logs([[line(9.0, Event.READY), again]])
        self.assertEqual([one.step_s for one in logs.lines], [0.0, 0.0])

    def test_version_is_followed_to_its_last_instance(self):
        """How long a version took to be in force is counted from its agreement."""
        story = tell(
            line(1.0, Event.CHANGE_AGREED, "core-1", version=9),
            line(1.25, Event.TABLE_IN_FORCE, "edge-1", version=9),
            line(1.5, Event.TABLE_IN_FORCE, "edge-2", version=9),
            name="version:9",
        )
        self.assertIn("2 instances after 0.500 s", story.cause)

    def test_anything_may_stand_in_a_log(self):
        """Prefixes are passed over; what is no line of ours is counted."""
        logs = read_logs(
            [["  43.1 edge-1 " + placed(1.0), "Traceback", "{", "[1]", '{"a": 1}', ""]]
        )
        self.assertEqual((len(logs.lines), logs.unreadable_count), (1, 4))


class TestGroups(unittest.TestCase):
    """A hundred instances that say the same of one run are one line of text."""

    def say(self, *lines, name="i-1"):
        return describe_story(tell(*lines, name=name)).splitlines()[:-1]

    def silent(self, at_s, nth, ago_s=1.0, **fields):
        values = {"run": "i-1", "failures": 3, "last_answer_ago_s": ago_s}
        return line(at_s, Event.BACKEND_AVOIDED, f"edge-{nth}", **(values | fields))

    def test_equal_lines_become_one(self):
        """They get a count, and the first and the last instance."""
        lines = [self.silent(2 + nth / 1_000, nth, 1 + nth / 2_000) for nth in range(9)]
        first = line(1.0, Event.RUN_SILENT, "edge-7", run="i-1")
        text = self.say(first, *lines)
        self.assertEqual(len(text), 2)
        self.assertIn("edge-0 to edge-8 (9 instances within 0.008 s)", text[1])

    def test_deciding_line_stands_alone(self):
        """The line that decided is marked, and the others of its kind are one."""
        text = self.say(*[self.silent(2 + nth / 1_000, nth) for nth in range(100)])
        self.assertEqual([one[0] for one in text], [">", " "])
        self.assertIn(" edge-0: ", text[0])
        self.assertIn("edge-1 to edge-99 (99 instances", text[1])
        lines = [self.silent(2 + nth / 1_000, nth) for nth in range(9)]
        held = read_logs([lines]).lines
        (others, own) = group_lines(Story(held, held[4], ""))
        self.assertEqual((own.lines, own.is_deciding), ([held[4]], True))
        self.assertEqual((len(others.lines), others.is_deciding), (8, False))

    def test_line_that_differs_stays_to_be_seen(self):
        """Another value, duration, time, or an instance's second line is one more."""
        base = [
            line(0.5, Event.RUN_SILENT, "edge-9", run="i-1"),
            *(self.silent(2 + nth / 1_000, nth) for nth in range(9)),
        ]
        others = {
            "value": self.silent(2.1, 10, failures=4),
            "duration": self.silent(2.1, 10, 1.2),
            "later": self.silent(3.5, 10),
            "again": self.silent(2.1, 4),
            "none": self.silent(2.1, 10),
        }
        for name, other in others.items():
            with self.subTest(name):
                self.assertEqual(len(self.say(*base, other)), 2 + (name != "none"))

    def test_every_line_is_in_one_group(self):
        """Nothing is left out, and groups stand in the order of their first lines."""
        lines = [self.silent(nth / 7, nth % 5, nth % 3) for nth in range(60)]
        story = tell(*lines, name="i-1")
        groups = group_lines(story)
        held = [one for group in groups for one in group.lines]
        self.assertCountEqual(map(id, held), map(id, story.lines))
        firsts = [group.lines[0].time_s for group in groups]
        self.assertEqual(firsts, sorted(firsts))


class TestCommand(CommandCase):
    def test_explain_prints_the_deciding_line_and_the_cause(self):
        """The command reads several files and marks what decided."""
        edge = self.write("\n".join([placed(1.0), reset(2.5, "backend_ended")]))
        core = self.write(
            line(2.0, Event.BACKEND_ENDED, "core-1", run="i-1", why="it said so")
        )
        code, output, _ = run(run_ctl, "explain", "10.0.0.7:40001", edge, core)
        marked = [one for one in output.splitlines() if one.startswith(">")]
        self.assertEqual((code, len(marked)), (0, 1))
        self.assertIn("core-1", marked[0])
        code, output, _ = run(run_ctl, "--json", "explain", "10.9.9.9:9", edge)
        self.assertEqual((code, json.loads(output)["lines"]), (1, []))

    def test_empty_name_is_a_usage_error(self):
        """An empty name would match lines that name nothing."""
        code, _, errors = run(run_ctl, "explain", "", self.write(placed(1.0)))
        self.assertEqual(code, 2)
        self.assertIn("empty name", errors)

    def test_missing_file_is_a_usage_error(self):
        """A log that is not there is named."""
        missing = str(Path(self.write("")).parent / "none.log")
        code, _, errors = run(run_ctl, "explain", "i-1", missing)
        self.assertEqual(code, 2)
        self.assertIn("none.log", errors)
