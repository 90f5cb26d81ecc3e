from dataclasses import replace

from agatethread.datapath import label_of
from agatethread.routing import RouteTable
from tests.datapath.worlds import ForwarderCase, packet, run, table


class TestFlowsOfARunHeldForGone(ForwarderCase):
    """How long a verdict lasts at an instance that gets few flows of a run."""

    def setUp(self):
        super().setUp()
        routes = {
            place: replace(route, idempotent=True)
            for place, route in table().routes.items()
        }
        self.forwarder.take_table(RouteTable(2, routes))
        self.view.take(run(1))
        self.backend = self.view.find(label_of(1))
        self.clock.value_s += 10.0
        self.backend.mark_unreachable(self.clock())

    def ask(self, port):
        """Hand in the first request that is seen of an open flow."""
        return self.handle(packet(port, number=1, payload_bytes=10))

    def test_flow_of_a_run_that_is_gone_ends(self):
        """Its caller sends the request again on another flow."""
        self.assertEqual(self.ask(5), [("reset", 5)])

    def test_verdict_lapses_without_a_further_sign(self):
        """A cut has healed, and nobody tried the run here since.

        A flow that moved to such an instance was reset 5.3 s after the end of a cut,
        though its run had answered it through another one all the while.
        """
        self.clock.value_s += 2.1
        self.assertEqual(self.ask(5), [("forward", 1)])

    def test_further_sign_renews_it(self):
        """While callers go on waiting for it, its flows go on ending."""
        for _ in range(4):
            self.clock.value_s += 1.5
            self.backend.fail(self.clock() - 0.2, self.clock())
        self.assertEqual(self.ask(5), [("reset", 5)])

    def test_verdict_that_lapsed_is_reached_again(self):
        """A run that is gone indeed is found again by the flows that wait for it."""
        self.clock.value_s += 2.1
        self.assertFalse(self.backend.is_gone(self.clock()))
        self.backend.mark_unreachable(self.clock())
        self.assertTrue(self.backend.is_gone(self.clock()))
