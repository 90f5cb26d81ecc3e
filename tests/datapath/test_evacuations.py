from tests.datapath.fixtures import ForwarderCase, opening, packet, run


class TestEvacuations(ForwarderCase):
    """Placement with evacuated failure domains."""

    def setUp(self):
        super().setUp()
        for number in (1, 2):
            self.view.update_run(run(number, failure_domain="a"))
        self.view.update_run(run(3, failure_domain="b"))

    def place(self, ports=range(10, 40), copy=0):
        """Return the runs that openings go to."""
        return {sent[1] for port in ports for sent in self.handle(opening(port, copy))}

    def test_new_flows_go_to_other_domains(self):
        """Callers of an evacuated failure domain are sent to others, too."""
        self.view.set_evacuations(frozenset({"a"}))
        self.assertEqual(self.place(), {3})

    def test_copy_of_opening_goes_to_other_domain(self):
        """A copy after the evacuation leaves the run of the first opening."""
        self.handle(opening(7))
        self.view.set_evacuations(frozenset({"a"}))
        self.assertEqual(self.handle(opening(7, copy=1)), [("forward", 3)])

    def test_forwards_open_flows(self):
        """Packets of open flows still go to runs of an evacuated failure domain."""
        self.view.set_evacuations(frozenset({"a"}))
        sent = self.handle(packet(number=1, payload_bytes=10))
        self.assertEqual(sent, [("forward", 1)])

    def test_new_run_in_evacuated_domain_gets_no_flow(self):
        """A run that is added after the evacuation is evacuated as well."""
        self.view.set_evacuations(frozenset({"a"}))
        self.view.update_run(run(4, failure_domain="a"))
        self.assertEqual(self.place(), {3})

    def test_evacuated_domain_gets_no_flow_if_others_stop_reporting(self):
        """The other run gets flows for a while without reports, then none does."""
        self.view.set_evacuations(frozenset({"a"}))
        self.view.update_reporting(lambda run_id, _: run_id != "i-3")
        self.clock.value_s += 1.0
        self.assertEqual(self.place(), {3})
        self.clock.value_s += 60.0
        self.assertEqual(self.handle(opening(50)), [("reset", 50)])

    def test_resets_opening_if_all_domains_are_evacuated(self):
        """An opening that no run can take is not left to time out."""
        self.view.set_evacuations(frozenset({"a", "b"}))
        self.assertEqual(self.handle(opening(8)), [("reset", 8)])

    def test_exempt_domain_gets_flows(self):
        """An exempt failure domain gets flows until the exemption ends."""
        self.view.set_evacuations(frozenset({"a", "b"}))
        self.view.set_exempt_domain("a")
        self.view.update_run(run(4, failure_domain="a"))
        self.assertEqual(self.place(), {1, 2, 4})
        self.view.set_exempt_domain("")
        self.assertEqual(self.handle(opening(70)), [("reset", 70)])

    def test_detects_answers_from_other_domains(self):
        """Such answers end the exemption of an evacuated failure domain."""
        self.clock.value_s += 10.0
        self.handle(opening(7))
        self.view.set_evacuations(frozenset({"a"}))
        self.handle(opening(8))
        self.clock.value_s += 0.1
        self.assertFalse(self.view.has_answer_from_other_domains("a", 5.0))
        self.handle(packet(8, number=3))
        self.assertTrue(self.view.has_answer_from_other_domains("a", 5.0))
        self.assertFalse(self.view.has_answer_from_other_domains("b", 5.0))

    def test_readmitted_domain_gets_flows(self):
        """Runs get flows again without a new report."""
        self.view.set_evacuations(frozenset({"a"}))
        self.view.set_evacuations(frozenset())
        self.assertTrue(self.place() >= {1, 2})
