"""Decoding and encoding of datagrams; invalid ones raise `DatagramError`."""

from google.protobuf.message import DecodeError

from agatethread.exceptions import DatagramError
from agatethread.wire._seal import Sealer
from agatethread.wire.datagram_pb2 import Envelope
from agatethread.wire.peer_pb2 import Peer

#: Largest datagram accepted; fits an Ethernet frame with room for an outer header.
MAX_DATAGRAM_BYTES = 1_400
#: Largest payload; leaves room for the fields that an entry instance adds.
MAX_PAYLOAD_BYTES = 1_000
#: Largest peer datagram; fits a relayed datagram with its caller and seal.
MAX_PEER_BYTES = 1_700
#: First byte of a peer datagram; no protocol buffer message starts with it.
PEER_PREFIX = b"\xff"


def decode_envelope(data: bytes) -> Envelope:
    """Decode a datagram of a caller or backend server.

    Parameters
    ----------
    data : bytes
        The datagram.

    Returns
    -------
    Envelope
        The message; its kind is set.

    Raises
    ------
    DatagramError
        If the datagram is too large, is malformed or has no kind.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramError("oversized")

    try:
        envelope = Envelope.FromString(data)
    except DecodeError:
        raise DatagramError("malformed") from None

    if not envelope.kind:
        raise DatagramError("no kind")
    return envelope


def encode_peer(sealer: Sealer, peer: Peer) -> bytes:
    """Encode and seal a message to another entry instance.

    Parameters
    ----------
    sealer : Sealer
        Holds the keys.
    peer : Peer
        The message to send.

    Returns
    -------
    bytes
        The datagram.
    """
    return PEER_PREFIX + sealer.seal(b"peer", peer.SerializeToString())


def decode_peer(sealer: Sealer, data: bytes) -> Peer:
    """Verify and decode a datagram of another entry instance.

    Parameters
    ----------
    sealer : Sealer
        Holds the keys.
    data : bytes
        The datagram.

    Returns
    -------
    Peer
        The message.

    Raises
    ------
    SealError
        If none of the sealer's keys sealed the datagram.
    DatagramError
        If the datagram is too large or malformed.
    """
    if len(data) > MAX_PEER_BYTES:
        raise DatagramError("oversized")

    body = sealer.open(b"peer", data[len(PEER_PREFIX) :])
    try:
        return Peer.FromString(body)
    except DecodeError:
        raise DatagramError("malformed") from None
