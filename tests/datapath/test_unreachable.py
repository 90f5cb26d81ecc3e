from agatethread.datapath import derive_label
from tests.datapath.fixtures import ForwarderCase, packet, run, table


class TestFlowsOfUnreachableRun(ForwarderCase):
    """Expiry of the unreachable state at an instance with few flows of a run."""

    def setUp(self):
        super().setUp()
        self.forwarder.apply_table(table(2, idempotent=True))
        self.view.update_run(run(1))
        self.backend = self.view.get_by_label(derive_label(1))
        self.clock.value_s += 10.0
        self.backend.mark_unreachable(self.clock())

    def ask(self, port):
        """Handle the first request seen of an open flow."""
        return self.handle(packet(port, number=1, payload_bytes=10))

    def test_resets_flow_of_unreachable_run(self):
        """The caller retries the request on another flow."""
        self.assertEqual(self.ask(5), [("reset", 5)])

    def test_unreachable_state_expires_without_new_evidence(self):
        """Guards against resets of live flows after a cut has healed."""
        self.clock.value_s += 2.1
        self.assertEqual(self.ask(5), [("forward", 1)])

    def test_new_evidence_extends_unreachable_state(self):
        """Flows are reset while callers keep waiting."""
        for _ in range(4):
            self.clock.value_s += 1.5
            self.backend.record_failure(self.clock() - 0.2, self.clock())
        self.assertEqual(self.ask(5), [("reset", 5)])

    def test_expired_unreachable_state_can_be_set_again(self):
        """A run that is still unreachable is marked again."""
        self.clock.value_s += 2.1
        self.assertFalse(self.backend.is_marked_unreachable(self.clock()))
        self.backend.mark_unreachable(self.clock())
        self.assertTrue(self.backend.is_marked_unreachable(self.clock()))
