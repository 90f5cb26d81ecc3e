import unittest

from hypothesis import given
from hypothesis import strategies as st

from agatethread.exceptions import DatagramError, SealError
from agatethread.wire import (
    NO_MEMBER,
    Ack,
    Cookie,
    Envelope,
    Kind,
    MemberRef,
    OperationLabel,
    Peer,
    Sealer,
    StreamLabel,
    Token,
    decode_envelope,
    decode_peer,
    encode_peer,
    parse_cookie,
    parse_label,
    parse_token,
    seal_cookie,
    seal_operation_label,
    seal_stream_label,
    seal_token,
    split_operation_id,
)

SEALER = Sealer([b"a" * 32])
ADDRESS = st.binary(min_size=6, max_size=6)
WORD = st.integers(0, 2**64 - 1)
MEMBER = st.builds(MemberRef, ADDRESS, WORD)


class TestDecodeEnvelope(unittest.TestCase):
    @given(st.binary(max_size=3_000))
    def test_any_bytes_are_decoded_or_rejected(self, data):
        """Random bytes give an envelope with a kind, or raise DatagramError."""
        try:
            self.assertTrue(decode_envelope(data).kind)
        except DatagramError:
            return

    def test_rejects_oversized_datagram(self):
        """A datagram above the size limit is rejected before it is decoded."""
        data = Envelope(kind=Kind.DATA, payload=bytes(1_500)).SerializeToString()
        with self.assertRaisesRegex(DatagramError, "oversized"):
            decode_envelope(data)


class TestSealedValues(unittest.TestCase):
    @given(ADDRESS, WORD, WORD, WORD)
    def test_cookie_round_trip(self, address, incarnation, service, flow_id):
        """Parsing a sealed cookie returns the cookie."""
        cookie = Cookie(address, incarnation, service, flow_id)
        self.assertEqual(parse_cookie(SEALER, seal_cookie(SEALER, cookie)), cookie)

    @given(ADDRESS, WORD, WORD, ADDRESS)
    def test_stream_label_round_trip(self, caller, service, flow_id, endpoint):
        """Parsing the sealed label of a flow returns the label."""
        label = StreamLabel(caller, service, flow_id, endpoint)
        self.assertEqual(parse_label(SEALER, seal_stream_label(SEALER, label)), label)

    @given(ADDRESS, MEMBER, MEMBER, st.binary(min_size=16, max_size=16))
    def test_operation_label_round_trip(self, caller, owner, standby, nonce):
        """Parsing the sealed label of an operation returns the label."""
        label = OperationLabel(caller, owner, standby, nonce, 3)
        sealed = seal_operation_label(SEALER, label)
        self.assertEqual(parse_label(SEALER, sealed), label)

    @given(WORD, MEMBER, st.binary(min_size=16, max_size=16))
    def test_token_round_trip_in_operation_id(self, service, owner, nonce):
        """Splitting an operation id returns its token and nonce."""
        token = Token(service, owner, NO_MEMBER)
        sealed, parsed_nonce = split_operation_id(seal_token(SEALER, token) + nonce)
        self.assertEqual((parse_token(SEALER, sealed), parsed_nonce), (token, nonce))

    @given(st.integers(0, 37), st.integers(1, 255))
    def test_rejects_cookie_with_changed_byte(self, position, change):
        """A cookie with a changed byte raises SealError."""
        sealed = bytearray(seal_cookie(SEALER, Cookie(bytes(6), 1, 2, 3)))
        sealed[position] ^= change
        with self.assertRaises(SealError):
            parse_cookie(SEALER, bytes(sealed))

    def test_rejects_sealed_value_of_other_kind(self):
        """A sealed token is rejected as a cookie and as a label."""
        sealed = seal_token(SEALER, Token(1, NO_MEMBER, NO_MEMBER))
        for parse in (parse_cookie, parse_label):
            with self.assertRaises(SealError):
                parse(SEALER, sealed)

    def test_accepts_value_sealed_with_older_key(self):
        """After key rotation, values sealed with the old key are still accepted."""
        sealed = seal_cookie(SEALER, Cookie(bytes(6), 1, 2, 3))
        rotated = Sealer([b"b" * 32, b"a" * 32])
        self.assertEqual(parse_cookie(rotated, sealed).flow_id, 3)
        with self.assertRaises(SealError):
            parse_cookie(SEALER, seal_cookie(rotated, Cookie(bytes(6), 1, 2, 3)))


class TestPeers(unittest.TestCase):
    @given(st.binary(max_size=2_000))
    def test_rejects_forged_peer_datagram(self, data):
        """Bytes that are not sealed with the key are rejected."""
        with self.assertRaises((SealError, DatagramError)):
            decode_peer(SEALER, b"\xff" + data)

    def test_peer_round_trip(self):
        """Decoding an encoded peer message returns the message."""
        peer = Peer(ack=Ack(sequence=5))
        self.assertEqual(decode_peer(SEALER, encode_peer(SEALER, peer)), peer)
