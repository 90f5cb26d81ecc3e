import unittest

from agatethread.settings import listen_address


class TestListenAddress(unittest.TestCase):
    def test_port_stays_and_the_host_may_differ(self):
        """Without a host of its own an instance listens where it is advertised."""
        self.assertEqual(listen_address("10.0.0.1:80", ""), "10.0.0.1:80")
        self.assertEqual(listen_address("10.0.0.1:80", "127.0.0.1"), "127.0.0.1:80")
