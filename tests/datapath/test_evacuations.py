from tests.datapath.worlds import ForwarderCase, opening, packet, run


class TestEvacuations(ForwarderCase):
    """Failure domains whose runs get no new flows."""

    def setUp(self):
        super().setUp()
        for number in (1, 2):
            self.view.take(run(number, failure_domain="a"))
        self.view.take(run(3, failure_domain="b"))

    def place(self, ports=range(10, 40), copy=0):
        """Runs that openings go to."""
        return {sent[1] for port in ports for sent in self.handle(opening(port, copy))}

    def test_new_flows_go_elsewhere(self):
        """No opening goes to the domain, also none of its own callers."""
        self.view.set_evacuations(frozenset({"a"}))
        self.assertEqual(self.place(), {3})

    def test_copy_of_an_opening_goes_elsewhere(self):
        """An opening that went there before the order is tried elsewhere after it."""
        self.handle(opening(7))
        self.view.set_evacuations(frozenset({"a"}))
        self.assertEqual(self.handle(opening(7, copy=1)), [("forward", 3)])

    def test_open_flows_go_on(self):
        """A reset would cost the caller a request that the run can answer."""
        self.view.set_evacuations(frozenset({"a"}))
        sent = self.handle(packet(number=1, payload_bytes=10))
        self.assertEqual(sent, [("forward", 1)])

    def test_run_that_is_told_later_is_evacuated_too(self):
        """A backend server that starts in the domain gets no work there either."""
        self.view.set_evacuations(frozenset({"a"}))
        self.view.take(run(4, failure_domain="a"))
        self.assertEqual(self.place(), {3})

    def test_run_out_of_sight_is_not_tried_either(self):
        """With nobody else left in sight the domain still gets nothing."""
        self.view.set_evacuations(frozenset({"a"}))
        self.view.judge(lambda run_id, _: run_id != "i-3")
        self.clock.value_s += 1.0
        self.assertEqual(self.place(), {3})
        self.clock.value_s += 60.0
        self.assertEqual(self.handle(opening(50)), [("reset", 50)])

    def test_all_domains_evacuated(self):
        """Openings are refused at once: their callers may come back elsewhere."""
        self.view.set_evacuations(frozenset({"a", "b"}))
        self.assertEqual(self.handle(opening(8)), [("reset", 8)])

    def test_domain_that_is_cut_off_serves_itself(self):
        """Its callers reach nobody else; with the cut the exemption ends."""
        self.view.set_evacuations(frozenset({"a", "b"}))
        self.view.exempt("a")
        self.view.take(run(4, failure_domain="a"))
        self.assertEqual(self.place(), {1, 2, 4})
        self.view.exempt("")
        self.assertEqual(self.handle(opening(70)), [("reset", 70)])

    def test_answers_of_other_domains_are_noticed(self):
        """While they answer, an evacuated domain need not serve itself."""
        self.clock.value_s += 10.0
        self.handle(opening(7))
        self.view.set_evacuations(frozenset({"a"}))
        self.handle(opening(8))
        self.clock.value_s += 0.1
        self.assertFalse(self.view.has_answer_from_other_domains("a", 5.0))
        self.handle(packet(8, number=3))
        self.assertTrue(self.view.has_answer_from_other_domains("a", 5.0))
        self.assertFalse(self.view.has_answer_from_other_domains("b", 5.0))

    def test_domain_that_is_readmitted_gets_work(self):
        """The way back needs no news of the runs."""
        self.view.set_evacuations(frozenset({"a"}))
        self.view.set_evacuations(frozenset())
        self.assertTrue(self.place() >= {1, 2})
