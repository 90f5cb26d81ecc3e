import struct
import unittest

from agatethread_platform.packets import (
    decode_packet,
    encode_for_backend,
    encode_reset,
    make_codec,
)
from hypothesis import given
from hypothesis import strategies as st

from agatethread.exceptions import DatagramError

SYN, RST, ACK, FIN = 1, 8, 16, 32


def datagram(flags=SYN, payload=b"", echo=0, seq=0x11223344, ack=0, **fields):
    """A caller's packet as it is on the wire."""
    values = {
        "length": len(payload),
        "pad": 0,
        "checksum": 0xA1B2C3D5,
        "dport": 443,
    } | fields
    return (
        struct.pack(
            "!IIHHIBBHIII",
            echo,
            0x64400007,
            40001,
            values["dport"],
            0xC6120001,
            flags,
            values["pad"],
            values["length"],
            values["checksum"],
            seq,
            ack,
        )
        + payload
    )


class TestPackets(unittest.TestCase):
    def test_opening_is_read(self):
        """The published example of an opening is read field by field."""
        data = bytes.fromhex(
            "00000000 64400007 9c41 01bb c6120001 01 00 0000 a1b2c3d5 11223344 00000000"
        )
        packet = decode_packet(data)
        self.assertTrue(packet.opens)
        self.assertEqual(packet.key, (0x64400007, 40001, 0xC6120001, 443))
        self.assertEqual((packet.sequence, packet.copy), (0x11223344, 0))

    def test_reset_is_the_published_one(self):
        """The published example of a reset is written byte for byte."""
        reset = bytes.fromhex(
            "00000000 c6120001 01bb 9c41 64400007 08 00 0000 00000000 00000000 00000000"
        )
        self.assertEqual(encode_reset(decode_packet(datagram())), reset)

    def test_reset_of_an_open_flow_follows_its_acknowledgement(self):
        """A reset of an open flow carries the sequence number that is expected."""
        packet = decode_packet(datagram(ACK, ack=777))
        self.assertEqual(encode_reset(packet)[24:28], (777).to_bytes(4, "big"))

    def test_only_the_label_is_changed_for_a_backend_server(self):
        """All but the label reaches the backend server as it was sent."""
        data = datagram(ACK, b"GET / HTTP/1.1", echo=5, pad=9)
        sent = encode_for_backend(decode_packet(data), 0xAABBCCDD, 0x1234567890)
        self.assertEqual(sent[:8], (0x1234567890).to_bytes(8, "big"))
        self.assertEqual(sent[8:12], (0xAABBCCDD).to_bytes(4, "big"))
        self.assertEqual(sent[12:], data[4:])

    def test_bad_datagrams_are_refused(self):
        """Short, wrongly measured, unknown or misdirected packets are no packets."""
        bad = (
            b"",
            datagram()[:31],
            datagram(ACK, b"abc", length=4),
            datagram(ACK, b"abc", length=2),
            datagram(64),
            datagram(128 | ACK),
            datagram(SYN | ACK),
        )
        for data in bad:
            with self.subTest(data=data), self.assertRaises(DatagramError):
                decode_packet(data)

    def test_caller_is_reached_at_the_common_port(self):
        """Datagrams for a caller go to its address at the port of all callers."""
        codec = make_codec(8172)
        address = codec.caller_address(codec.decode(datagram()))
        self.assertEqual(address, ("100.64.0.7", 8172))

    @given(st.binary(max_size=80))
    def test_any_bytes_are_read_or_refused(self, data):
        """Bytes of any kind give a packet or a typed error."""
        try:
            packet = decode_packet(data)
        except DatagramError:
            return
        self.assertEqual(packet.payload_bytes, len(data) - 32)
