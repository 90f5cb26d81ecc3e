import socket
import unittest

from agatethread.early_sockets import open_datagram_socket, open_early
from tests.fakes import free_port


class TestEarlySockets(unittest.TestCase):
    def setUp(self):
        self.address = ("127.0.0.1", free_port())

    def open(self):
        opened = open_datagram_socket(self.address)
        self.addCleanup(opened.close)
        return opened

    def test_datagram_waits_until_the_program_is_loaded(self):
        """What arrives before the socket is asked for is read from it afterwards."""
        open_early(self.address)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
            caller.sendto(b"early", self.address)
        self.assertEqual(self.open().recv(100), b"early")

    def test_early_socket_is_handed_out_once(self):
        """A second one at the same address can't be bound."""
        open_early(self.address)
        self.open()
        with self.assertRaises(OSError):
            self.open()

    def test_address_that_was_not_opened_early(self):
        """Without it a socket is opened as always, and does not block."""
        with self.assertRaises(BlockingIOError):
            self.open().recv(100)
