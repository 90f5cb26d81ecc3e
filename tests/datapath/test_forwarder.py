from agatethread.datapath import derive_label
from tests.datapath.fixtures import ForwarderCase, opening, packet, run, table


class TestLabelForwarder(ForwarderCase):
    def test_places_opening_on_run_of_service(self):
        """A new flow goes to a run of the route's service with its label."""
        self.view.update_run(run(1, service="archive"))
        self.view.update_run(run(2))
        self.assertEqual(self.handle(opening()), [("forward", 2)])
        self.assertEqual(self.sent[0][0][2], derive_label(2))

    def test_counts_packets_to_other_failure_domains(self):
        """Packets and bytes to other failure domains are counted."""
        self.view.update_run(run(1))
        self.view.update_run(run(2, failure_domain="b"))
        self.handle(packet(number=1))
        self.handle(packet(number=2))
        self.assertEqual(self.counters["forwarded"], 2)
        self.assertEqual(self.counters["forwarded_away"], 1)
        self.assertEqual(self.counters["forwarded_bytes_away"], len(self.sent[0][0]))

    def test_forwards_unrecorded_flow_by_label(self):
        """Packets of an open flow need no record of the flow."""
        self.view.update_run(run(1))
        self.view.update_run(run(2))
        for number in (1, 2, 1):
            sent = self.handle(packet(number=number, caller_port=7))
            self.assertEqual(sent, [("forward", number)])

    def test_drops_packets_without_state(self):
        """An instance without a table or with an incomplete view sends no reset."""
        self.is_view_complete = False
        self.assertEqual(self.handle(opening()), [])
        self.assertEqual(self.handle(packet(number=5)), [])
        self.view.update_run(run(1))
        self.forwarder = self.make_forwarder()
        self.assertEqual(self.handle(opening()), [])

    def test_forwards_flow_of_ended_run(self):
        """The run may serve it on, see `test_told_ends`."""
        self.view.update_run(run(1))
        self.view.update_run(run(1, ended=True))
        self.assertEqual(self.handle(packet(number=1)), [("forward", 1)])

    def test_run_that_stops_reporting_keeps_flows(self):
        """The run gets no new flow, and its open flows are forwarded."""
        self.view.update_run(run(1))
        self.view.update_run(run(2))
        self.view.update_reporting(lambda run_id, _: run_id != "i-1")
        self.assertEqual(self.handle(packet(number=1)), [("forward", 1)])
        for port in range(10, 20):
            self.assertEqual(self.handle(opening(port)), [("forward", 2)])

    def test_draining_run_keeps_flows(self):
        """A draining run gets no new flow, and its open flows are forwarded."""
        self.view.update_run(run(1, draining=True))
        self.view.update_run(run(2))
        self.assertEqual(self.handle(packet(number=1)), [("forward", 1)])
        self.assertEqual(self.handle(opening(3)), [("forward", 2)])

    def test_resets_opening_if_all_runs_drain(self):
        """An opening that no run can take is not left to time out."""
        self.view.update_run(run(1, draining=True))
        self.assertEqual(self.handle(opening()), [("reset", 1)])

    def test_drops_opening_while_view_is_incomplete(self):
        """A run that is not known yet may take the opening."""
        self.is_view_complete = False
        self.view.update_run(run(1, service="archive"))
        self.assertEqual(self.handle(opening()), [])
        self.is_view_complete = True
        self.assertEqual(self.handle(opening()), [("reset", 1)])

    def test_reused_port_is_new_flow(self):
        """A copy and an opening from a reused port follow the current table."""
        self.view.update_run(run(1))
        self.view.update_run(run(2, service="archive"))
        self.handle(opening())
        self.forwarder.apply_table(table(2, "archive", earlier=("tab",)))
        self.assertEqual(self.handle(opening(copy=1)), [("forward", 2)])
        self.assertEqual(self.handle(opening()), [("forward", 2)])

    def test_drops_packet_to_other_service(self):
        """A packet never reaches a service that its route does not allow."""
        self.view.update_run(run(1, service="archive"))
        self.assertEqual(self.handle(packet(number=1)), [])
        self.assertEqual(self.counters["dropped_other_service"], 1)

    def test_table_change_keeps_open_flows(self):
        """Flows of the route's earlier service are still forwarded."""
        self.view.update_run(run(1))
        self.view.update_run(run(2, service="archive"))
        self.forwarder.apply_table(table(2, "archive", earlier=("tab",)))
        self.assertEqual(self.handle(packet(number=1)), [("forward", 1)])
        self.assertEqual(self.handle(opening(3)), [("forward", 2)])

    def test_ignores_older_table(self):
        """An older table that arrives late is not applied."""
        self.forwarder.apply_table(table(5, "archive"))
        self.forwarder.apply_table(table(4))
        self.assertEqual(self.forwarder.table.version, 5)

    def test_resets_opening_without_route(self):
        """An opening is reset, and a packet of an open flow dropped."""
        self.view.update_run(run(1))
        self.forwarder.apply_table(table(2, port=444))
        self.assertEqual(self.handle(opening()), [("reset", 1)])
        self.assertEqual(self.handle(packet(number=1)), [])

    def test_copy_of_opening_goes_to_another_run(self):
        """A copy avoids the run that did not answer."""
        self.view.update_run(run(1))
        self.view.update_run(run(2))
        first = self.handle(opening())
        self.clock.value_s += 0.2
        self.assertNotEqual(self.handle(opening(copy=1)), first)

    def test_copy_of_opening_goes_to_only_run(self):
        """A copy goes to the same run if there is no other."""
        self.view.update_run(run(1))
        self.handle(opening())
        self.clock.value_s += 0.2
        self.assertEqual(self.handle(opening(copy=1)), [("forward", 1)])

    def test_avoids_run_that_never_answers(self):
        """Every opening gets to the other run, and few need a copy for that."""
        self.view.update_run(run(1))
        self.view.update_run(run(2, failure_domain="b"))
        unresponsive, placements = 1, []
        for port in range(100, 130):
            sent = self.handle(opening(port))
            if sent == [("forward", unresponsive)]:
                self.clock.value_s += 0.2
                sent = self.handle(opening(port, copy=1))
            self.handle(packet(port, number=2, acknowledged=500))
            self.handle(packet(port, number=2, acknowledged=900))
            placements.append(sent)
            self.clock.value_s += 0.01
        self.assertEqual(placements, [[("forward", 2)]] * 30)
        self.assertLess(self.counters["openings_again"], 6)

    def test_uses_one_of_two_runs_with_same_label(self):
        """The choice does not depend on the order of messages."""
        for order in ((1, 2), (2, 1)):
            with self.subTest(order=order):
                self.setUp()
                for number in order:
                    self.view.update_run(run(number, number=77))
                kept = self.view.get_by_label(derive_label(77))
                self.assertEqual(kept.id, "i-1")
                for port in range(5):
                    self.handle(opening(port))
                    self.assertEqual(self.sent[0][1], kept.address)


class TestFlowsOfEndedRuns(ForwarderCase):
    """Idle flows of runs whose end was told of; see also `test_told_ends`."""

    def reset_flows(self):
        """Reset flows as the timer does and return the datagrams sent."""
        self.sent.clear()
        self.forwarder.reset_flows_of_lost_runs()
        return [data for data, _ in self.sent]

    def test_does_not_reset_idle_flow(self):
        """Nothing shows that its run's process is gone."""
        self.view.update_run(run(1))
        self.handle(packet(7, number=1))
        self.assertEqual(self.reset_flows(), [])
        self.view.update_run(run(1, ended=True))
        self.assertEqual(self.reset_flows(), [])

    def test_does_not_reset_flow_before_it_is_open(self):
        """Copies of the opening go to another run."""
        self.view.update_run(run(1))
        self.handle(opening(7))
        self.view.update_run(run(1, ended=True))
        self.assertEqual(self.reset_flows(), [])

    def test_does_not_reset_flow_of_replaced_run(self):
        """The later run of the same id may have accepted the flow."""
        self.view.update_run(run(1, started_ms=1_000))
        self.handle(packet(7, label=derive_label(1, 1_000)))
        self.view.update_run(run(1, started_ms=2_000))
        self.assertEqual(self.reset_flows(), [])
