import json
import unittest
from datetime import datetime, timedelta
from pathlib import Path

from agatethread.cli import run_ctl
from agatethread.cli._explanation import Explanation, explain
from agatethread.cli._explanation_text import format_explanation, group_lines
from agatethread.cli._log_lines import read_logs
from agatethread.observability import Event
from tests.cli.test_commands import CommandCase, run

START = datetime(2026, 12, 2, 21, 0)
FLOW = "10.0.0.7:40001>198.18.0.1:443"


def line(at_s, event, instance="edge-1", step_s=0.0, **fields):
    """Return a log line, written at a time in seconds after `START`."""
    time = (START + timedelta(seconds=at_s + step_s)).isoformat()
    origin = {"time": time, "steady_s": at_s, "instance": instance}
    return json.dumps(fields | origin | {"message": event})


def placed(at_s, run="i-1", instance="edge-1", **fields):
    values = {"flow": FLOW, "run": run, "label": 7, "copy": 0}
    return line(at_s, Event.FLOW_PLACED, instance, **(values | fields))


def reset(at_s, why, **fields):
    values = {"flow": FLOW, "label": 7, "why": why, "table_version": 5}
    return line(at_s, Event.FLOW_RESET, **(values | fields))


def explain_lines(*lines, name=FLOW):
    return explain(read_logs([lines]), name)


class TestExplain(unittest.TestCase):
    def test_reset_is_explained_by_end_of_run(self):
        """The control instance's line with the reason of the end is deciding."""
        explanation = explain_lines(
            placed(1.0),
            line(2.0, Event.BACKEND_ENDED, run="i-1", sequence=4),
            line(1.9, Event.BACKEND_ENDED, "core-1", run="i-1", why="it said so"),
            reset(2.5, "backend_ended"),
        )
        self.assertEqual(explanation.deciding.instance, "core-1")
        self.assertIn("i-1 had ended (it said so)", explanation.cause)

    def test_reset_at_an_ended_run_tells_that_its_request_was_unanswered(self):
        """The end alone resets nothing."""
        explanation = explain_lines(
            placed(1.0),
            line(1.9, Event.BACKEND_ENDED, "core-1", run="i-1", why="it said so"),
            reset(
                2.5,
                "backend_ended",
                run="i-1",
                asked_ago_s=0.601,
                probe_failed_ago_s=0.399,
            ),
        )
        self.assertIn("sent again in vain for 0.601 s", explanation.cause)
        self.assertIn("a connection to the run failed 0.399 s", explanation.cause)

    def test_reset_tells_who_found_the_end_and_from_what(self):
        """The finder's line has precedence; the cause names evidence and its age."""
        explanation = explain_lines(
            placed(1.0),
            line(
                2.0,
                Event.BACKEND_ENDED,
                "core-2",
                run="i-1",
                why="another control instance says so",
                told_by="10.0.0.1:7241",
            ),
            line(
                2.1,
                Event.BACKEND_ENDED,
                "core-1",
                run="i-1",
                why="another run reports from its address",
                told_by="itself",
                other_run="i-2",
                last_report_ago_s=1.9,
                last_report_by="disk",
            ),
            reset(
                2.5,
                "backend_ended",
                run="i-1",
                run_known_from="opening",
                last_packet_ago_s=3.2,
            ),
        )
        self.assertEqual(explanation.deciding.instance, "core-1")
        for part in ("i-2", "1.9 s before, by disk", "opening, 3.2 s before"):
            self.assertIn(part, explanation.cause)

    def test_reset_for_silence_tells_what_the_instance_saw(self):
        """The verdict of the resetting instance is deciding, not that of another."""
        verdict = {"run": "i-1", "silent_s": 0.8}
        explanation = explain_lines(
            placed(1.0),
            line(2.3, Event.BACKEND_UNREACHABLE, **verdict),
            line(2.4, Event.BACKEND_UNREACHABLE, "edge-2", **verdict),
            reset(
                2.5,
                "backend_unreachable",
                run="i-1",
                run_known_from="earlier packet",
                last_packet_ago_s=1.5,
                silent_s=0.8,
                flows_waiting=3,
                observers=0,
                answered_by="i-2",
                last_report_ago_s=0.4,
            ),
        )
        self.assertEqual(explanation.deciding.time_s, explanation.lines[0].time_s + 1.3)
        for part in ("0.8 s", "3 flows waiting here", "i-2 answers", "earlier packet"):
            self.assertIn(part, explanation.cause)

    def test_reset_is_explained_by_refusal_of_dispatcher(self):
        """The dispatcher's line tells a refusal at once from one after a wait."""
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
            explanation = explain_lines(refusal, reset(1.1, "no_room"))
            with self.subTest(waited_s=waited_s):
                self.assertEqual(explanation.deciding.instance, "edge-2")
                self.assertIn(cause, explanation.cause)

    def test_opening_that_was_never_placed_has_no_run(self):
        """The cause names the last step of it, and no failure of other runs."""
        other = line(1.0, Event.BACKEND_AVOIDED, "edge-2", failures=2)
        steps = {
            Event.OPENING_RELAYED: "to d-1",
            Event.OPENING_HANDED_OVER: "to d-1",
            Event.OPENING_REFUSED: "no room in time",
        }
        for event, expected in steps.items():
            with self.subTest(event):
                last = line(1.1, event, flow=FLOW, dispatcher="d-1")
                cause = explain_lines(other, last).cause
                self.assertIn(expected, cause)
                self.assertNotIn("None", cause)
                self.assertNotIn("edge-2", cause)

    def test_finds_run_by_label(self):
        """A reset by an instance that did not place the flow still names the run."""
        explanation = explain_lines(
            placed(1.0, instance="edge-2", flow="10.0.0.9:1>198.18.0.1:443"),
            line(2.0, Event.BACKEND_ENDED, run="i-1"),
            reset(2.5, "backend_ended"),
        )
        self.assertIn("i-1", explanation.cause)

    def test_reset_is_explained_by_table_without_route(self):
        """The line of the table that has no route for the flow is deciding."""
        explanation = explain_lines(
            line(1.0, Event.TABLE_IN_FORCE, version=4),
            line(2.0, Event.TABLE_IN_FORCE, version=5),
            reset(2.5, "no_route"),
            line(3.0, Event.TABLE_IN_FORCE, version=6),
        )
        self.assertEqual(explanation.deciding.fields["version"], 5)
        self.assertIn("version 5 has no route", explanation.cause)

    def test_reset_without_backend_is_deciding_itself(self):
        """If no backend server could take the flow, the reset itself is deciding."""
        explanation = explain_lines(placed(1.0), reset(2.0, "no_backend"))
        self.assertEqual(explanation.deciding.event, Event.FLOW_RESET)
        self.assertIn("could take", explanation.cause)

    def test_reset_without_backend_is_explained_by_evacuations(self):
        """The latest evacuations in force at the instance are deciding."""
        evacuations = [
            line(at_s, Event.EVACUATIONS_IN_FORCE, domains=domains)
            for at_s, domains in ((0.5, ["a"]), (1.5, ["a", "b"]), (3.0, []))
        ]
        explanation = explain_lines(placed(1.0), reset(2.0, "no_backend"), *evacuations)
        self.assertEqual(explanation.deciding.fields["domains"], ["a", "b"])
        self.assertIn("evacuated: a, b", explanation.cause)
        explanation = explain_lines(placed(1.0), reset(4.0, "no_backend"), *evacuations)
        self.assertEqual(explanation.deciding.event, Event.FLOW_RESET)

    def test_drop_is_explained_by_cold_backends(self):
        """A drop because all backend servers are cold is explained as such."""
        drop = {"flow": FLOW, "label": 0, "table_version": 5}
        explanation = explain_lines(
            line(1.0, Event.PACKET_DROPPED, why="backends_cold", **drop)
        )
        self.assertIn("had just started", explanation.cause)

    def test_placement_is_explained_by_silent_run(self):
        """The first sign that the run stopped answering is deciding."""
        explanation = explain_lines(
            placed(1.0),
            line(1.8, Event.BACKEND_AVOIDED, "edge-2", run="i-1"),
            line(5.0, Event.BACKEND_STOPPED, "core-1", run="i-1"),
        )
        self.assertEqual(explanation.deciding.event, Event.BACKEND_AVOIDED)
        self.assertIn("placed on i-1", explanation.cause)

    def test_drop_is_explained_by_recent_start(self):
        """A drop for lack of state is explained by the instance's recent start."""
        explanation = explain_lines(
            line(1.0, Event.STARTED, role="entry"),
            line(1.2, Event.PACKET_DROPPED, flow=FLOW, why="unknown_label", label=9),
        )
        self.assertEqual(explanation.deciding.event, Event.STARTED)
        self.assertIn("0.2 s before", explanation.cause)

    def test_reports_lack_of_failures(self):
        """Without signs of failure, the cause says so and no line is deciding."""
        self.assertIn("nothing in these logs", explain_lines(placed(1.0)).cause)
        self.assertIsNone(explain_lines(name="10.9.9.9:9").deciding)

    def test_mentions_lines_left_out(self):
        """If nothing matches, the cause mentions lines that were left out."""
        explanation = explain_lines(
            line(1.0, Event.READY, left_out_before=12), name="10.9.9.9:9"
        )
        self.assertIn("12 lines were left out", explanation.cause)

    def test_orders_lines_despite_clock_step(self):
        """Lines written after a step of the time of day are put in their true order."""
        logs = read_logs(
            [
                [line(at_s, Event.READY, "edge-1") for at_s in (0.0, 1.0, 2.0)],
                [placed(3.0, step_s=-60.0), line(4.0, Event.READY)],
                [line(2.5, Event.BACKEND_REPORTS, "core-1", run="i-1")],
            ]
        )
        events = [line.event for line in logs.lines]
        self.assertEqual(
            events[3:], [Event.BACKEND_REPORTS, Event.FLOW_PLACED, "ready"]
        )
        self.assertEqual([line.step_s for line in logs.lines][4], -60.0)

    def test_restart_is_not_a_clock_step(self):
        """The monotonic clock of a restarted process is corrected on its own."""
        later = START + timedelta(seconds=50)
        restarted = json.dumps(
            {
                "time": later.isoformat(),
                "steady_s": 0.1,
                "instance": "edge-1",
                "message": "started",
            }
        )
        logs = read_logs([[line(9.0, Event.READY), restarted]])
        self.assertEqual([line.step_s for line in logs.lines], [0.0, 0.0])

    def test_version_is_explained_by_its_rollout_time(self):
        """The time to put a version in force is counted from its agreement."""
        explanation = explain_lines(
            line(1.0, Event.CHANGE_AGREED, "core-1", version=9),
            line(1.25, Event.TABLE_IN_FORCE, "edge-1", version=9),
            line(1.5, Event.TABLE_IN_FORCE, "edge-2", version=9),
            name="version:9",
        )
        self.assertIn("2 instances after 0.500 s", explanation.cause)

    def test_counts_unreadable_lines(self):
        """Prefixes are ignored, and lines in another format are counted."""
        logs = read_logs(
            [["  43.1 edge-1 " + placed(1.0), "Traceback", "{", "[1]", '{"a": 1}', ""]]
        )
        self.assertEqual((len(logs.lines), logs.unreadable_count), (1, 4))


class TestGroups(unittest.TestCase):
    """Equal lines of many instances are formatted as one line."""

    def format_lines(self, *lines, name="i-1"):
        return format_explanation(explain_lines(*lines, name=name)).splitlines()[:-1]

    def avoided(self, at_s, nth, ago_s=1.0, **fields):
        values = {"run": "i-1", "failures": 3, "last_answer_ago_s": ago_s}
        return line(at_s, Event.BACKEND_AVOIDED, f"edge-{nth}", **(values | fields))

    def test_groups_equal_lines(self):
        """A group is formatted with its count and its first and last instance."""
        lines = [
            self.avoided(2 + nth / 1_000, nth, 1 + nth / 2_000) for nth in range(9)
        ]
        first = line(1.0, Event.RUN_SILENT, "edge-7", run="i-1")
        text = self.format_lines(first, *lines)
        self.assertEqual(len(text), 2)
        self.assertIn("edge-0 to edge-8 (9 instances within 0.008 s)", text[1])

    def test_deciding_line_forms_its_own_group(self):
        """The deciding line is marked; the other equal lines are grouped."""
        text = self.format_lines(
            *[self.avoided(2 + nth / 1_000, nth) for nth in range(100)]
        )
        self.assertEqual([row[0] for row in text], [">", " "])
        self.assertIn(" edge-0: ", text[0])
        self.assertIn("edge-1 to edge-99 (99 instances", text[1])
        lines = [self.avoided(2 + nth / 1_000, nth) for nth in range(9)]
        parsed = read_logs([lines]).lines
        (others, deciding) = group_lines(Explanation(parsed, parsed[4], ""))
        self.assertEqual((deciding.lines, deciding.is_deciding), ([parsed[4]], True))
        self.assertEqual((len(others.lines), others.is_deciding), (8, False))

    def test_line_that_differs_is_not_grouped(self):
        """A line with another value, duration, time or source forms its own group."""
        base = [
            line(0.5, Event.RUN_SILENT, "edge-9", run="i-1"),
            *(self.avoided(2 + nth / 1_000, nth) for nth in range(9)),
        ]
        others = {
            "value": self.avoided(2.1, 10, failures=4),
            "duration": self.avoided(2.1, 10, 1.2),
            "later": self.avoided(3.5, 10),
            "again": self.avoided(2.1, 4),
            "none": self.avoided(2.1, 10),
        }
        for name, other in others.items():
            with self.subTest(name):
                self.assertEqual(
                    len(self.format_lines(*base, other)), 2 + (name != "none")
                )

    def test_each_line_is_in_one_group(self):
        """No line is lost, and groups are in the order of their first lines."""
        lines = [self.avoided(nth / 7, nth % 5, nth % 3) for nth in range(60)]
        explanation = explain_lines(*lines, name="i-1")
        groups = group_lines(explanation)
        grouped = [member for group in groups for member in group.lines]
        self.assertCountEqual(map(id, grouped), map(id, explanation.lines))
        firsts = [group.lines[0].time_s for group in groups]
        self.assertEqual(firsts, sorted(firsts))


class TestCommand(CommandCase):
    def test_explain_marks_deciding_line(self):
        """The command reads several files and marks the deciding line."""
        edge = self.write("\n".join([placed(1.0), reset(2.5, "backend_ended")]))
        core = self.write(
            line(2.0, Event.BACKEND_ENDED, "core-1", run="i-1", why="it said so")
        )
        code, output, _ = run(run_ctl, "explain", "10.0.0.7:40001", edge, core)
        marked = [row for row in output.splitlines() if row.startswith(">")]
        self.assertEqual((code, len(marked)), (0, 1))
        self.assertIn("core-1", marked[0])
        code, output, _ = run(run_ctl, "--json", "explain", "10.9.9.9:9", edge)
        self.assertEqual((code, json.loads(output)["lines"]), (1, []))

    def test_rejects_empty_name(self):
        """An empty name, which would match every line, is a usage error."""
        code, _, errors = run(run_ctl, "explain", "", self.write(placed(1.0)))
        self.assertEqual(code, 2)
        self.assertIn("empty name", errors)

    def test_rejects_missing_file(self):
        """A log file that does not exist is a usage error that names it."""
        missing = str(Path(self.write("")).parent / "none.log")
        code, _, errors = run(run_ctl, "explain", "i-1", missing)
        self.assertEqual(code, 2)
        self.assertIn("none.log", errors)
