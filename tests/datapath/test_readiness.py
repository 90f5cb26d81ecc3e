import unittest

from agatethread.datapath import Readiness
from tests.fakes import Clock


class TestReadiness(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.readiness = Readiness(self.clock)

    def check(self, after_s=0.1, **fields):
        values = {
            "has_table": True,
            "has_backends": True,
            "is_complete": True,
            "last_control_message_s": 0.0,
        }
        self.clock.value_s += after_s
        return self.readiness.check(**(values | fields))

    def test_needs_to_know_where_packets_go(self):
        """Without routes or backend servers it is not ready."""
        self.assertFalse(self.check(has_table=False))
        self.assertFalse(self.check(has_backends=False))
        self.assertTrue(self.check())

    def test_waits_for_all_backend_servers_but_not_for_ever(self):
        """It waits until all are known, and goes without after a while."""
        self.assertFalse(self.check(is_complete=False))
        for _ in range(45):
            ready = self.check(is_complete=False)
        self.assertTrue(ready)

    def test_stays_ready_without_control(self):
        """That control is away is no reason to stop serving."""
        self.assertTrue(self.check())
        for _ in range(100):
            self.assertTrue(self.check(is_complete=False))

    def test_not_ready_while_stopping(self):
        """From the start of a stop on it wants no more packets."""
        self.assertTrue(self.check())
        self.readiness.stopping = True
        self.assertFalse(self.check())

    def test_asks_again_after_standing_still(self):
        """After a pause it first hears a control instance, or waits a moment."""
        self.assertTrue(self.check())
        self.assertFalse(self.check(after_s=5.0))
        self.assertFalse(self.check())
        self.assertTrue(self.check(last_control_message_s=self.clock.value_s))

    def test_goes_on_after_a_pause_without_control(self):
        """If no control instance answers after a pause it goes on as it is."""
        self.assertTrue(self.check())
        self.assertFalse(self.check(after_s=5.0))
        for _ in range(16):
            ready = self.check()
        self.assertTrue(ready)
