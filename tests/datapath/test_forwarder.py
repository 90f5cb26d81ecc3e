from logbook import TestHandler

from agatethread.datapath import label_of
from agatethread.observability import Event
from tests.datapath.worlds import ForwarderCase, opening, packet, run, table


class TestLabelForwarder(ForwarderCase):
    def test_opening_goes_to_a_backend_server_of_the_service(self):
        """A new flow goes to a run of the route's service, under its label."""
        self.view.take(run(1, service="archive"))
        self.view.take(run(2))
        self.assertEqual(self.handle(opening()), [("forward", 2)])
        self.assertEqual(self.sent[0][0][2], label_of(2))

    def test_what_leaves_the_failure_domain_is_counted(self):
        """Packets to backend servers of other domains are counted with their bytes."""
        self.view.take(run(1))
        self.view.take(run(2, failure_domain="b"))
        self.handle(packet(number=1))
        self.handle(packet(number=2))
        self.assertEqual(self.counters["forwarded"], 2)
        self.assertEqual(self.counters["forwarded_away"], 1)
        self.assertEqual(self.counters["forwarded_bytes_away"], len(self.sent[0][0]))

    def test_open_flow_needs_no_memory(self):
        """An instance that never saw a flow forwards it by its label."""
        self.view.take(run(1))
        self.view.take(run(2))
        for number in (1, 2, 1):
            sent = self.handle(packet(number=number, caller_port=7))
            self.assertEqual(sent, [("forward", number)])

    def test_nothing_is_said_without_knowledge(self):
        """What is not known is dropped in silence: the caller sends it again."""
        self.is_view_complete = False
        self.assertEqual(self.handle(opening()), [])
        self.assertEqual(self.handle(packet(number=5)), [])
        self.view.take(run(1))
        self.forwarder = self.make_forwarder()
        self.assertEqual(self.handle(opening()), [])

    def test_ended_backend_server_resets_its_flows(self):
        """A flow whose run is known to have ended is over at once."""
        self.view.take(run(1))
        self.view.take(run(1, ended=True))
        self.assertEqual(self.handle(packet(number=1)), [("reset", 1)])

    def test_silent_backend_server_keeps_its_flows(self):
        """A run that is not heard of gets no new flow, and no flow is reset."""
        self.view.take(run(1))
        self.view.take(run(2))
        self.view.judge(lambda run_id, _: run_id != "i-1")
        self.assertEqual(self.handle(packet(number=1)), [("forward", 1)])
        for port in range(10, 20):
            self.assertEqual(self.handle(opening(port)), [("forward", 2)])

    def test_draining_backend_server_keeps_its_flows(self):
        """A run that is leaving gets no new flow, and its flows go on."""
        self.view.take(run(1, draining=True))
        self.view.take(run(2))
        self.assertEqual(self.handle(packet(number=1)), [("forward", 1)])
        self.assertEqual(self.handle(opening(3)), [("forward", 2)])

    def test_flow_that_nobody_can_take_is_refused_at_once(self):
        """With every run leaving, a new flow is reset and not left to wait."""
        self.view.take(run(1, draining=True))
        self.assertEqual(self.handle(opening()), [("reset", 1)])

    def test_nothing_is_refused_before_all_is_known(self):
        """A service whose runs may not have been told of yet is not refused."""
        self.is_view_complete = False
        self.view.take(run(1, service="archive"))
        self.assertEqual(self.handle(opening()), [])
        self.is_view_complete = True
        self.assertEqual(self.handle(opening()), [("reset", 1)])

    def test_port_that_is_used_again_is_another_flow(self):
        """A new flow from an old port follows the table of now, not of then."""
        self.view.take(run(1))
        self.view.take(run(2, service="archive"))
        self.handle(opening())
        self.forwarder.take_table(table(2, "archive", earlier=("tab",)))
        self.assertEqual(self.handle(opening(copy=1)), [("forward", 2)])
        self.assertEqual(self.handle(opening()), [("forward", 2)])

    def test_label_of_another_service_is_dropped(self):
        """A packet never reaches a service that its route does not lead to."""
        self.view.take(run(1, service="archive"))
        self.assertEqual(self.handle(packet(number=1)), [])
        self.assertEqual(self.counters["dropped_other_service"], 1)

    def test_change_of_table_leaves_open_flows(self):
        """A route that moves to another service keeps the flows of the earlier one."""
        self.view.take(run(1))
        self.view.take(run(2, service="archive"))
        self.forwarder.take_table(table(2, "archive", earlier=("tab",)))
        self.assertEqual(self.handle(packet(number=1)), [("forward", 1)])
        self.assertEqual(self.handle(opening(3)), [("forward", 2)])

    def test_table_never_goes_back(self):
        """An older table that comes late is passed over."""
        self.forwarder.take_table(table(5, "archive"))
        self.forwarder.take_table(table(4))
        self.assertEqual(self.forwarder.table.version, 5)

    def test_dropped_route_takes_no_flow(self):
        """An opening for an address without a route is refused."""
        self.view.take(run(1))
        self.forwarder.take_table(table(2, port=444))
        self.assertEqual(self.handle(opening()), [("reset", 1)])
        self.assertEqual(self.handle(packet(number=1)), [])

    def test_copy_of_an_opening_tries_another(self):
        """Where the first run did not answer, the copy goes to another one."""
        self.view.take(run(1))
        self.view.take(run(2))
        first = self.handle(opening())
        self.clock.value_s += 0.2
        self.assertNotEqual(self.handle(opening(copy=1)), first)

    def test_only_backend_server_is_tried_again(self):
        """A copy goes to the same run if there is no other."""
        self.view.take(run(1))
        self.handle(opening())
        self.clock.value_s += 0.2
        self.assertEqual(self.handle(opening(copy=1)), [("forward", 1)])

    def test_backend_server_that_never_answers_is_avoided(self):
        """After a few openings without an answer others get the flows."""
        self.view.take(run(1))
        self.view.take(run(2, failure_domain="b"))
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

    def test_two_runs_with_one_label_are_never_mixed_up(self):
        """Of two runs with the same label only one is used, the same everywhere."""
        for order in ((1, 2), (2, 1)):
            with self.subTest(order=order):
                self.setUp()
                for number in order:
                    self.view.take(run(number, number=77))
                kept = self.view.find(label_of(77))
                self.assertEqual(kept.id, "i-1")
                for port in range(5):
                    self.handle(opening(port))
                    self.assertEqual(self.sent[0][1], kept.address)


class TestFlowsOfEndedRuns(ForwarderCase):
    """Callers of a run that has ended are told before they send again."""

    def end_flows(self):
        """What the timer does; return what was sent."""
        self.sent.clear()
        self.forwarder.end_flows_of_lost_runs()
        return [data for data, _ in self.sent]

    def test_idle_flow_is_reset_once(self):
        """The caller's next request goes elsewhere at once."""
        self.view.take(run(1))
        self.handle(packet(7, number=1))
        self.assertEqual(self.end_flows(), [])
        self.view.take(run(1, ended=True))
        with TestHandler() as handler:
            self.assertEqual(self.end_flows(), [("reset", 7)])
        (line,) = [one for one in handler.records if one.message == Event.FLOW_RESET]
        self.assertEqual(line.kwargs["label"], label_of(1))
        self.assertEqual(self.end_flows(), [])

    def test_flow_that_is_not_open_is_left_alone(self):
        """Its caller's copies of the opening go to another run by themselves."""
        self.view.take(run(1))
        self.handle(opening(7))
        self.view.take(run(1, ended=True))
        self.assertEqual(self.end_flows(), [])

    def test_flow_of_a_replaced_start_is_left_to_its_server(self):
        """A later start of the id may hold it."""
        self.view.take(run(1, started_ms=1_000))
        self.handle(packet(7, label=label_of(1, 1_000)))
        self.view.take(run(1, started_ms=2_000))
        self.assertEqual(self.end_flows(), [])
