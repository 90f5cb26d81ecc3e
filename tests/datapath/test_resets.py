from logbook import TestHandler

from agatethread.datapath import derive_label
from agatethread.datapath._evidence import ProbeOutcome
from agatethread.observability import Event
from agatethread.wire.registry_pb2 import RUN_END_ADDRESS_TAKEN, RUN_END_REPORTED
from tests.datapath.fixtures import ForwarderCase, opening, packet, run, table
from tests.fakes import address

CONTROL = address(90)


class TestLinesOfResets(ForwarderCase):
    """What the log line of a reset says of its evidence."""

    def reset_line(self, act=None):
        """Act, by default as the timer does, and return the fields of the only line."""
        with TestHandler() as handler:
            (act or self.forwarder.reset_flows_of_lost_runs)()
        (line,) = [
            record.kwargs
            for record in handler.records
            if record.message == Event.FLOW_RESET
        ]
        return line

    def test_reset_of_ended_run_names_who_told_and_how_old_it_was(self):
        """The end's source, kind and age are in the line of each reset."""
        self.forwarder.apply_table(table(2, idempotent=True))
        self.view.update_run(run(1), CONTROL)
        self.handle(packet(7, number=1))
        end = run(1, ended=True, end=RUN_END_ADDRESS_TAKEN, report_age_ms=1_900)
        self.view.update_run(end, CONTROL)
        self.clock.value_s += 0.1
        request = packet(7, number=1, payload_bytes=9)
        for pause_s in (0.0, 0.2):
            self.clock.value_s += pause_s
            self.handle(request)
        self.clock.value_s += 0.4
        line = self.reset_line(lambda: self.handle(request))
        self.assertEqual(line["run"], "i-1")
        self.assertEqual(line["end"], "RUN_END_ADDRESS_TAKEN")
        self.assertIsNotNone(line["told_by"])
        self.assertEqual((line["told_ago_s"], line["last_report_ago_s"]), (0.7, 1.9))
        self.assertEqual(line["run_known_from"], "this packet")
        self.assertEqual(line["asked_ago_s"], 0.6)
        self.assertIsNone(line["probe_failed_ago_s"])
        self.assertEqual(self.counters["resets_reported"], 1)

    def test_reset_for_silence_names_its_evidence(self):
        """The silence, the waiting flows and the run that answers are in the line."""
        self.forwarder.suspects.probe = lambda backend: backend.record_probe(
            ProbeOutcome.REFUSED, self.clock()
        )
        for number in (1, 2):
            self.view.update_run(run(number), CONTROL)
        for port in range(1, 5):
            self.handle(packet(port, number=1))
        self.clock.value_s += 0.1
        for port in range(1, 4):
            self.handle(packet(port, number=1, payload_bytes=10))
        self.clock.value_s += 0.3
        for port in range(1, 4):
            self.handle(packet(port, number=1, payload_bytes=10))
        self.clock.value_s += 0.6
        self.handle(packet(9, number=2))
        line = self.reset_line()
        self.assertEqual((line["why"], line["run"]), ("backend_unreachable", "i-1"))
        self.assertEqual((line["silent_s"], line["flows_waiting"]), (0.9, 3))
        self.assertEqual((line["answered_by"], line["end"]), ("i-2", "RUN_END_UNKNOWN"))
        self.assertEqual(line["probe_failed_ago_s"], 0.0)
        self.assertEqual(self.counters["resets_inferred"], 1)

    def test_first_answer_after_an_end_is_logged(self):
        """The run lived after its end was told of."""
        self.view.update_run(run(1), CONTROL)
        backend = self.view.get_by_label(derive_label(1))
        self.view.update_run(run(1, ended=True, end=RUN_END_REPORTED), CONTROL)
        with TestHandler() as handler:
            for _ in range(2):
                self.clock.value_s += 0.5
                backend.record_answer(self.clock())
        (line,) = handler.records
        self.assertEqual(line.message, Event.BACKEND_ANSWERS_AFTER_END)
        self.assertEqual(
            line.kwargs, {"run": "i-1", "end": "RUN_END_REPORTED", "ended_ago_s": 0.5}
        )

    def test_refused_opening_names_no_run(self):
        """An opening that no run can take is refused without evidence of a run."""
        with TestHandler() as handler:
            self.handle(opening())
        (line,) = [record.kwargs for record in handler.records]
        self.assertEqual(line["why"], "no_backend")
        self.assertNotIn("run", line)

    def test_dump_tells_who_told_of_a_run(self):
        """The state dump has the source and age of what is believed of a run."""
        self.view.update_run(run(1, report_age_ms=400, restored=True), CONTROL)
        self.clock.value_s += 2.0
        (row,) = self.view.dump()
        self.assertEqual((row["told_ago_s"], row["report_age_s"]), (2.0, 0.4))
        self.assertTrue(row["restored"])
        self.assertIsNotNone(row["told_by"])
