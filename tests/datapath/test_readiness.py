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
            "last_delta_s": 0.0,
        }
        self.clock.value_s += after_s
        return self.readiness.check(**(values | fields))

    def test_not_ready_without_table_or_backend_servers(self):
        """A routing table and a backend server are required."""
        self.assertFalse(self.check(has_table=False))
        self.assertFalse(self.check(has_backends=False))
        self.assertTrue(self.check())

    def test_wait_for_all_backend_servers_is_limited(self):
        """After 4 s the instance is ready although not all runs are known."""
        self.assertFalse(self.check(is_complete=False))
        for _ in range(45):
            ready = self.check(is_complete=False)
        self.assertTrue(ready)

    def test_stays_ready_with_incomplete_view(self):
        """A ready instance stays ready although not all runs are known."""
        self.assertTrue(self.check())
        for _ in range(100):
            self.assertTrue(self.check(is_complete=False))

    def test_not_ready_while_stopping(self):
        """A stopping instance gets no more packets."""
        self.assertTrue(self.check())
        self.readiness.stopping = True
        self.assertFalse(self.check())

    def test_waits_for_control_message_after_suspension(self):
        """A suspended instance is ready again after a control message."""
        self.assertTrue(self.check())
        self.assertFalse(self.check(after_s=5.0))
        self.assertFalse(self.check())
        self.assertTrue(self.check(last_delta_s=self.clock.value_s))

    def test_wait_after_suspension_is_limited(self):
        """Without a control message it becomes ready after 1.5 s."""
        self.assertTrue(self.check())
        self.assertFalse(self.check(after_s=5.0))
        for _ in range(16):
            ready = self.check()
        self.assertTrue(ready)
