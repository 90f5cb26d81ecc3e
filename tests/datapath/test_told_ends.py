from agatethread.datapath import BackendView
from agatethread.datapath._evidence import ProbeOutcome
from agatethread.wire.registry_pb2 import (
    RUN_END_ADDRESS_TAKEN,
    RUN_END_REPLACED,
    RUN_END_REPORTED,
)
from tests.datapath.fixtures import ForwarderCase, opening, packet, run, table
from tests.fakes import address

SENT_ON = [("forward", 1)]
RESET = [("reset", 7)]
TOLD_ENDS = (RUN_END_REPORTED, RUN_END_REPLACED, RUN_END_ADDRESS_TAKEN)
#: Times at which a caller sends a request and its copies.
COPIES_S = (0.0, 0.2, 0.6)


class TestToldEnds(ForwarderCase):
    """Open flows of a run whose end was told of, by itself or by inference."""

    def setUp(self):
        super().setUp()
        self.view = BackendView(self.clock, self.counters, report_interval_s=1.2)
        self.forwarder = self.make_forwarder()
        self.forwarder.apply_table(table(2, idempotent=True))
        self.probe_outcome = ProbeOutcome.ACCEPTED
        self.probe_count = 0
        self.forwarder.suspects.probe = self.probe

    def probe(self, backend):
        self.probe_count += 1
        backend.record_probe(self.probe_outcome, self.clock())

    def end(self, end=RUN_END_REPORTED):
        """Open a flow and have its run's end told of."""
        self.view.update_run(run(1, sequence=5, draining=True))
        self.handle(packet(7, number=1))
        self.view.update_run(run(1, sequence=5, ended=True, end=end))
        self.clock.value_s += 0.1

    def ask(self, sequence=200, copies_s=COPIES_S):
        """Send a request and its copies; return what the last one leads to."""
        asked_s, sent = self.clock(), []
        for copy_s in copies_s:
            self.clock.value_s = asked_s + copy_s
            request = packet(7, number=1, payload_bytes=10, sequence=sequence)
            sent = self.handle(request)
        return sent

    def timer_sends(self, duration_s):
        """Return what the timer sends in some time."""
        self.sent.clear()
        for _ in range(round(duration_s * 10)):
            self.clock.value_s += 0.1
            self.forwarder.reset_flows_of_lost_runs()
        return self.sent

    def test_flow_stays_up_until_the_process_is_gone(self):
        """Idle or asking, for seconds, as the answer to the report may be lost."""
        for end in TOLD_ENDS:
            with self.subTest(end):
                self.setUp()
                self.end(end)
                self.assertEqual(self.timer_sends(6.0), [])
                for number in range(5):
                    sequence = 200 + 10 * number
                    self.assertEqual(self.ask(sequence, (0.0, 0.2)), SENT_ON)
                    answered = packet(7, number=1, acknowledged=600 + number)
                    self.assertEqual(self.handle(answered), SENT_ON)
                    self.assertEqual(self.timer_sends(1.0), [])

    def test_instance_that_starts_after_the_end_forwards_the_flow(self):
        """It was added, or restarted, while the run still serves."""
        self.view.update_run(run(1, sequence=5, ended=True, end=RUN_END_REPORTED))
        self.assertEqual(self.handle(packet(7, number=1)), SENT_ON)
        self.assertEqual(self.ask(), SENT_ON)

    def test_flow_stays_up_while_its_run_accepts_connections(self):
        """A request without an answer alone shows no end, even a reported one."""
        self.end()
        self.assertEqual(self.ask(), SENT_ON)
        self.assertGreater(self.probe_count, 0)

    def test_flow_stays_up_while_its_run_has_stopped_listening(self):
        """It answers its callers on until its process is gone."""
        self.end()
        self.probe_outcome = ProbeOutcome.REFUSED
        self.assertEqual(self.ask(copies_s=(0.0, 0.2)), SENT_ON)
        self.handle(packet(7, number=1, acknowledged=900))
        self.assertEqual(self.timer_sends(3.0), [])
        self.assertEqual(self.ask(300, (0.0,)), SENT_ON)

    def test_flow_of_a_run_that_is_gone_is_reset_when_its_caller_asks_again(self):
        """The caller retries elsewhere within the time that it has."""
        for outcome in (ProbeOutcome.REFUSED, ProbeOutcome.NO_REPLY):
            with self.subTest(outcome):
                self.setUp()
                self.end()
                self.probe_outcome = outcome
                self.assertEqual(self.ask(), RESET)
                self.assertIsNone(self.forwarder.loads.get_flow(packet(7).key))

    def test_flow_is_reset_where_another_run_has_the_address(self):
        """A connection would reach the other run."""
        for end in (RUN_END_REPLACED, RUN_END_ADDRESS_TAKEN):
            with self.subTest(end):
                self.setUp()
                self.end(end)
                self.assertEqual(self.ask(), RESET)
                self.assertEqual(self.probe_count, 0)

    def test_flow_is_reset_where_a_later_run_has_the_address(self):
        """It became known after the first one had reported its end."""
        self.end()
        self.assertEqual(self.ask(), SENT_ON)
        self.view.update_run(run(9, address=address(1)))
        self.clock.value_s += 0.8
        request = packet(7, number=1, payload_bytes=10, sequence=200)
        self.assertEqual(self.handle(request), RESET)

    def test_run_that_reported_on_has_no_successor(self):
        """Its end was assumed, and is taken back."""
        self.end(RUN_END_ADDRESS_TAKEN)
        self.view.update_run(run(9, address=address(1)))
        self.view.update_run(run(1, sequence=6, draining=True))
        self.view.update_run(run(1, sequence=6, ended=True, end=RUN_END_REPORTED))
        self.assertEqual(self.ask(), SENT_ON)

    def test_deleted_run_leaves_no_waiting_flow(self):
        """Else it would be looked at for ever."""
        self.end()
        self.ask()
        self.clock.value_s += 61.0
        self.view.update_reporting(lambda *_: True)
        self.assertEqual(self.forwarder.loads.runs_with_waiting_flows(), set())

    def test_replaced_run_leaves_nothing_behind(self):
        """Neither a waiting flow nor its end."""
        self.end()
        self.ask()
        self.view.update_run(run(1, started_ms=9))
        self.assertEqual(self.forwarder.loads.runs_with_waiting_flows(), set())
        self.assertEqual(self.view._ended_by_address, {})

    def test_upload_with_single_losses_is_not_reset(self):
        """New data between two retransmissions shows that the run takes it."""
        self.end()
        self.probe_outcome = ProbeOutcome.REFUSED
        for sequence in range(200, 2_000, 100):
            for pause_s, sent in ((0.05, sequence), (0.2, sequence - 100)):
                self.clock.value_s += pause_s
                data = packet(7, number=1, payload_bytes=100, sequence=sent)
                self.assertEqual(self.handle(data), SENT_ON)

    def test_request_that_cannot_be_retried_is_not_reset(self):
        """Its caller can do nothing with a reset."""
        self.forwarder.apply_table(table(3, idempotent=False))
        self.end()
        self.probe_outcome = ProbeOutcome.REFUSED
        self.assertEqual(self.ask(), SENT_ON)

    def test_run_that_answers_other_callers_keeps_the_flow(self):
        """The packets of one caller may be lost."""
        self.end()
        self.probe_outcome = ProbeOutcome.REFUSED
        self.handle(packet(8, number=1))
        self.ask(copies_s=(0.0, 0.2))
        self.handle(packet(8, number=1, acknowledged=900))
        self.clock.value_s += 0.4
        request = packet(7, number=1, payload_bytes=10, sequence=200)
        self.assertEqual(self.handle(request), SENT_ON)

    def test_suspension_of_this_process_shows_nothing(self):
        """The answer may have passed while it was suspended."""
        self.end()
        self.probe_outcome = ProbeOutcome.REFUSED
        self.ask(copies_s=(0.0, 0.2))
        self.clock.value_s += 1.5
        request = packet(7, number=1, payload_bytes=10, sequence=200)
        self.assertEqual(self.handle(request), SENT_ON)

    def test_late_copy_of_an_opening_leaves_the_flow_open(self):
        """It is neither refused nor sent to another run, which would answer it."""
        self.end()
        self.view.update_run(run(2))
        self.sent.clear()
        self.forwarder.refuse(opening(7, copy=1), "no_room")
        self.assertEqual(self.sent, [])
        self.assertEqual(self.handle(opening(7, copy=1)), [])

    def test_run_whose_end_was_told_gets_no_new_flow(self):
        """Its own word is enough for that."""
        self.end()
        self.assertEqual(self.handle(opening(8)), [("reset", 8)])
