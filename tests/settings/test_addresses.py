import unittest

from agatethread.settings import listen_address


class TestListenAddress(unittest.TestCase):
    def test_keeps_port_and_replaces_host(self):
        """The listen host replaces the advertised host, if there is one."""
        self.assertEqual(listen_address("10.0.0.1:80", ""), "10.0.0.1:80")
        self.assertEqual(listen_address("10.0.0.1:80", "127.0.0.1"), "127.0.0.1:80")
