import os
import socket
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from agatethread_platform.early import open_sockets

from agatethread.early_sockets import open_datagram_socket
from tests.fakes import free_port


class TestEarly(unittest.TestCase):
    def open(self, text):
        """Open what a settings file names."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.conf"
            path.write_text(text)
            with mock.patch.dict(os.environ, {"AGATETHREAD_SETTINGS": str(path)}):
                open_sockets()

    def test_both_datagram_sockets_are_open(self):
        """Callers' packets and what control instances say wait for the program."""
        callers, registry = free_port(), free_port()
        self.open(
            f"ip=127.0.0.1\ninternal_port_range={registry},{registry + 9}\n"
            f"listen_addrs.datagram_addr=127.0.0.1:{callers}\n"
        )
        for port in (callers, registry):
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.sendto(b"early", ("127.0.0.1", port))
            opened = open_datagram_socket(("127.0.0.1", port))
            self.addCleanup(opened.close)
            with self.subTest(port=port):
                self.assertEqual(opened.recv(100), b"early")

    def test_wrong_settings_are_left_to_their_reader(self):
        """Nothing is opened, and nothing is raised."""
        self.open("")
        self.open("ip=nowhere\ninternal_port_range=x\nlisten_addrs.datagram_addr=::")
        self.open("ip=127.0.0.1\ninternal_port_range=99999999999999,1")
        with mock.patch.dict(os.environ, {"AGATETHREAD_SETTINGS": "/nowhere"}):
            open_sockets()
