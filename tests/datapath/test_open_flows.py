from agatethread.datapath import derive_label
from agatethread.datapath._evidence import ProbeOutcome
from tests.datapath.fixtures import ForwarderCase, opening, packet, run, table

SENT_ON = [("forward", 1)]


class TestFlowsOfSoundRuns(ForwarderCase):
    """Open flows whose run is sound are not reset, whatever this instance sees."""

    def setUp(self):
        super().setUp()
        self.forwarder.apply_table(table(2, idempotent=True))
        for number in (1, 2):
            self.view.update_run(run(number))
        self.probe_outcome = ProbeOutcome.ACCEPTED
        self.forwarder.suspects.probe = lambda backend: backend.record_probe(
            self.probe_outcome, self.clock()
        )

    def open_flows(self, number, ports):
        for port in ports:
            self.handle(packet(port, number=number))

    def ask(self, number, ports):
        for port in ports:
            self.handle(packet(port, number=number, payload_bytes=10))

    def answer(self, port, number, acknowledged):
        """Handle the acknowledgement of an answer."""
        self.handle(packet(port, number=number, acknowledged=acknowledged))

    def reset_ports(self):
        """Return the ports of the flows that the timer resets."""
        self.sent.clear()
        self.forwarder.reset_flows_of_lost_runs()
        return [data[1] for data, _ in self.sent if data[0] == "reset"]

    def lose_sight(self, duration_s=2.0):
        """Have flows wait for run 1 while run 2 answers; return the ports reset."""
        self.open_flows(1, range(1, 6))
        self.open_flows(2, [10])
        self.clock.value_s += 0.1
        self.ask(1, (1, 2, 3))
        self.clock.value_s += 0.2
        self.ask(1, (1, 2, 3))
        resets = []
        for step in range(round(duration_s * 10)):
            self.clock.value_s += 0.1
            self.answer(10, 2, 1_000 + step)
            resets += self.reset_ports()
        return resets

    def test_run_whose_answers_pass_another_instance_keeps_its_flows(self):
        """Flows moved there while they waited, as this instance left the rotation."""
        self.assertEqual(self.lose_sight(), [])

    def test_run_that_cannot_be_probed_keeps_its_flows(self):
        """An instance without sockets to spare knows nothing of the run."""
        self.probe_outcome = ProbeOutcome.INCONCLUSIVE
        self.assertEqual(self.lose_sight(), [])

    def test_run_that_refuses_connections_loses_its_flows(self):
        """A crashed backend server is noticed within a second, as before."""
        self.probe_outcome = ProbeOutcome.REFUSED
        self.assertEqual(self.lose_sight(), [1, 2, 3, 4, 5])

    def test_leaving_run_that_has_stopped_listening_keeps_its_flows(self):
        """It may serve them on, and its callers have moved to other instances."""
        self.probe_outcome = ProbeOutcome.REFUSED
        self.view.update_run(run(1, draining=True, sequence=2))
        self.assertEqual(self.lose_sight(), [])

    def test_leaving_run_that_cannot_be_reached_loses_its_flows(self):
        """Its machine is down or cut off."""
        self.probe_outcome = ProbeOutcome.NO_REPLY
        self.view.update_run(run(1, draining=True, sequence=2))
        self.assertEqual(self.lose_sight(), [1, 2, 3, 4, 5])

    def test_run_that_accepts_again_is_reachable(self):
        """Guards against resets after a cut has healed, while no answer was seen."""
        self.probe_outcome = ProbeOutcome.NO_REPLY
        self.assertEqual(len(self.lose_sight()), 5)
        self.probe_outcome = ProbeOutcome.ACCEPTED
        self.ask(1, [20])
        self.clock.value_s += 0.2
        self.ask(1, [20])
        self.reset_ports()
        self.assertEqual(self.handle(packet(21, number=1, payload_bytes=9)), SENT_ON)

    def test_run_with_unacknowledged_answers_keeps_its_flows(self):
        """A caller may acknowledge a short answer with its next request only."""
        # The run was slow once, and has answered the first retransmissions.
        self.assertEqual(self.lose_sight(0.9), [])
        self.ask(1, (1, 2, 3))
        self.assertEqual(self.reset_ports(), [])

    def test_late_copy_of_an_opening_leaves_the_flow_at_its_run(self):
        """The end of the run that only got the copy resets nothing."""
        self.open_flows(1, [7])
        self.ask(1, [7])
        self.forwarder.loads.record_opening(
            packet(8).key, self.view.get_by_label(derive_label(1)), self.clock()
        )
        self.clock.value_s += 0.2
        sent = self.handle(opening(7, copy=1))
        self.assertEqual(sent, [("forward", 1)])
        self.view.update_run(run(2, ended=True))
        self.assertEqual(self.reset_ports(), [])

    def test_copy_of_an_opening_is_not_refused_while_the_flow_is_open(self):
        """The run of the flow may still answer although it takes no new flows."""
        self.open_flows(1, [7])
        for number in (1, 2):
            self.view.update_run(run(number, draining=True, sequence=2))
        self.assertEqual(self.handle(opening(7, copy=2)), [("forward", 1)])

    def test_copy_of_an_opening_is_not_refused_as_the_first_may_be_answered(self):
        """Here or through another instance; a first opening is refused at once."""
        self.handle(opening(6))
        for number in (1, 2):
            self.view.update_run(run(number, draining=True, sequence=2))
        self.assertEqual(self.handle(opening(6, copy=1)), [])
        self.assertEqual(self.handle(opening(7, copy=1)), [])
        self.assertEqual(self.handle(opening(8)), [("reset", 8)])
        self.forwarder.apply_table(table(3, port=444))
        self.assertEqual(self.handle(opening(9, copy=1)), [])
        self.assertEqual(self.handle(opening(10)), [("reset", 10)])

    def test_refusal_by_a_dispatcher_does_not_reset_an_open_flow(self):
        """A copy was refused after the flow had opened."""
        self.open_flows(1, [7])
        self.sent.clear()
        for port in (7, 8):
            self.forwarder.refuse(opening(port, copy=1), "no_room")
        self.assertEqual([data for data, _ in self.sent], [("reset", 8)])

    def test_opening_from_a_reused_port_is_another_flow(self):
        """The record of the former flow does not make the new one count as open."""
        self.open_flows(1, [7])
        self.clock.value_s += 5.0
        self.view.update_run(run(1, draining=True, sequence=2))
        self.assertEqual(self.handle(opening(7)), [("forward", 2)])
        self.view.update_run(run(2, ended=True))
        self.assertEqual(self.reset_ports(), [])
