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
    operation_id_parts,
    parse_cookie,
    parse_label,
    parse_token,
    seal_cookie,
    seal_operation_label,
    seal_stream_label,
    seal_token,
)

SEALER = Sealer([b"a" * 32])
ADDRESS = st.binary(min_size=6, max_size=6)
WORD = st.integers(0, 2**64 - 1)
MEMBER = st.builds(MemberRef, ADDRESS, WORD)


class TestDecodeEnvelope(unittest.TestCase):
    @given(st.binary(max_size=3_000))
    def test_any_bytes_decode_or_are_refused(self, data):
        """Random bytes give an envelope with a kind, or a DatagramError."""
        try:
            self.assertTrue(decode_envelope(data).kind)
        except DatagramError:
            return

    def test_oversized_is_refused(self):
        """A datagram above the limit is refused before it is decoded."""
        data = Envelope(kind=Kind.DATA, payload=bytes(1_500)).SerializeToString()
        with self.assertRaisesRegex(DatagramError, "oversized"):
            decode_envelope(data)


class TestSealedValues(unittest.TestCase):
    @given(ADDRESS, WORD, WORD, WORD)
    def test_cookie_comes_back(self, address, incarnation, service, flow_id):
        """A cookie is what was sealed."""
        cookie = Cookie(address, incarnation, service, flow_id)
        self.assertEqual(parse_cookie(SEALER, seal_cookie(SEALER, cookie)), cookie)

    @given(ADDRESS, WORD, WORD, ADDRESS)
    def test_stream_label_comes_back(self, caller, service, flow_id, endpoint):
        """A flow's label is what was sealed."""
        label = StreamLabel(caller, service, flow_id, endpoint)
        self.assertEqual(parse_label(SEALER, seal_stream_label(SEALER, label)), label)

    @given(ADDRESS, MEMBER, MEMBER, st.binary(min_size=16, max_size=16))
    def test_operation_label_comes_back(self, caller, owner, standby, nonce):
        """An operation's label is what was sealed."""
        label = OperationLabel(caller, owner, standby, nonce, 3)
        sealed = seal_operation_label(SEALER, label)
        self.assertEqual(parse_label(SEALER, sealed), label)

    @given(WORD, MEMBER, st.binary(min_size=16, max_size=16))
    def test_token_comes_back_from_an_operation_id(self, service, owner, nonce):
        """An operation id gives back the token it was born with."""
        token = Token(service, owner, NO_MEMBER)
        sealed, got = operation_id_parts(seal_token(SEALER, token) + nonce)
        self.assertEqual((parse_token(SEALER, sealed), got), (token, nonce))

    @given(st.integers(0, 37), st.integers(1, 255))
    def test_one_changed_byte_is_noticed(self, position, change):
        """A cookie with any byte changed is refused."""
        sealed = bytearray(seal_cookie(SEALER, Cookie(bytes(6), 1, 2, 3)))
        sealed[position] ^= change
        with self.assertRaises(SealError):
            parse_cookie(SEALER, bytes(sealed))

    def test_kinds_are_not_mixed_up(self):
        """A token is no cookie, nor a label, whatever its length."""
        sealed = seal_token(SEALER, Token(1, NO_MEMBER, NO_MEMBER))
        for parse in (parse_cookie, parse_label):
            with self.assertRaises(SealError):
                parse(SEALER, sealed)

    def test_older_keys_still_open(self):
        """After a new key was put first, what the old one sealed still opens."""
        sealed = seal_cookie(SEALER, Cookie(bytes(6), 1, 2, 3))
        rotated = Sealer([b"b" * 32, b"a" * 32])
        self.assertEqual(parse_cookie(rotated, sealed).flow_id, 3)
        with self.assertRaises(SealError):
            parse_cookie(SEALER, seal_cookie(rotated, Cookie(bytes(6), 1, 2, 3)))


class TestPeers(unittest.TestCase):
    @given(st.binary(max_size=2_000))
    def test_forged_peer_datagram_is_refused(self, data):
        """Bytes that no instance sealed are never taken for a peer's."""
        with self.assertRaises((SealError, DatagramError)):
            decode_peer(SEALER, b"\xff" + data)

    def test_peer_comes_back(self):
        """A peer datagram is what was sealed."""
        peer = Peer(ack=Ack(sequence=5))
        self.assertEqual(decode_peer(SEALER, encode_peer(SEALER, peer)), peer)
