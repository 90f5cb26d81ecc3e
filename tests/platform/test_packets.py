import struct
import unittest

from agatethread_platform.packets import (
    decode_packet,
    encode_for_backend,
    encode_reset,
    make_packet_codec,
)
from hypothesis import given
from hypothesis import strategies as st

from agatethread.exceptions import DatagramError

SYN, RST, ACK, FIN = 1, 8, 16, 32


def datagram(flags=SYN, payload=b"", echo=0, seq=0x11223344, ack=0, **fields):
    """Return a caller's packet as it is on the wire."""
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
    def test_decodes_opening(self):
        """The example of an opening in the packet format is decoded."""
        data = bytes.fromhex(
            "00000000 64400007 9c41 01bb c6120001 01 00 0000 a1b2c3d5 11223344 00000000"
        )
        packet = decode_packet(data)
        self.assertTrue(packet.opens)
        self.assertEqual(packet.key, (0x64400007, 40001, 0xC6120001, 443))
        self.assertEqual((packet.sequence, packet.copy), (0x11223344, 0))

    def test_encodes_reset_of_opening(self):
        """The reset equals the example in the packet format."""
        reset = bytes.fromhex(
            "00000000 c6120001 01bb 9c41 64400007 08 00 0000 00000000 00000000 00000000"
        )
        self.assertEqual(encode_reset(decode_packet(datagram())), reset)

    def test_reset_of_open_flow_has_expected_sequence_number(self):
        """The sequence number is the one that the caller acknowledged."""
        packet = decode_packet(datagram(ACK, ack=777))
        self.assertEqual(encode_reset(packet)[24:28], (777).to_bytes(4, "big"))

    def test_changes_only_label_for_backend_server(self):
        """All bytes but the label are forwarded unchanged."""
        data = datagram(ACK, b"GET / HTTP/1.1", echo=5, pad=9)
        sent = encode_for_backend(decode_packet(data), 0xAABBCCDD, 0x1234567890)
        self.assertEqual(sent[:8], (0x1234567890).to_bytes(8, "big"))
        self.assertEqual(sent[8:12], (0xAABBCCDD).to_bytes(4, "big"))
        self.assertEqual(sent[12:], data[4:])

    def test_rejects_invalid_datagrams(self):
        """Rejects wrong lengths, unknown flags and packets of a backend server."""
        invalid = (
            b"",
            datagram()[:31],
            datagram(ACK, b"abc", length=4),
            datagram(ACK, b"abc", length=2),
            datagram(64),
            datagram(128 | ACK),
            datagram(SYN | ACK),
        )
        for data in invalid:
            with self.subTest(data=data), self.assertRaises(DatagramError):
                decode_packet(data)

    def test_caller_address_has_common_port(self):
        """Datagrams to a caller go to its address and the port of all callers."""
        codec = make_packet_codec(8172)
        address = codec.caller_address(codec.decode(datagram()))
        self.assertEqual(address, ("100.64.0.7", 8172))

    @given(st.binary(max_size=80))
    def test_decodes_or_rejects_any_bytes(self, data):
        """Any bytes give a packet or a typed error."""
        try:
            packet = decode_packet(data)
        except DatagramError:
            return
        self.assertEqual(packet.payload_bytes, len(data) - 32)
