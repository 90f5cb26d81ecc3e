"""Split a message into fragments, each a whole envelope."""

from xxhash import xxh64_intdigest

from agatethread.exceptions import PayloadTooLargeError
from agatethread.wire import MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES, Envelope

#: Payload of a fragment; leaves room for labels.
FRAGMENT_BYTES = 900
#: Largest payload of a message.
MAX_MESSAGE_BYTES = 8 << 20


def split(envelope: Envelope) -> list[bytes]:
    """Serialize a message into as many datagrams as it needs.

    Parameters
    ----------
    envelope : Envelope
        The message.

    Returns
    -------
    list of bytes
        Datagrams; one if it is small.

    Raises
    ------
    PayloadTooLargeError
        If it is larger than any message may be.
    """
    payload = envelope.payload
    if len(payload) <= MAX_PAYLOAD_BYTES:
        return [envelope.SerializeToString()]
    if len(payload) > MAX_MESSAGE_BYTES:
        raise PayloadTooLargeError(f"{len(payload)} bytes of {MAX_MESSAGE_BYTES}")

    fragment = Envelope()
    fragment.CopyFrom(envelope)
    fragment.fragment_count = -(-len(payload) // FRAGMENT_BYTES)
    fragment.checksum = xxh64_intdigest(payload)
    datagrams = []
    for index in range(fragment.fragment_count):
        start = index * FRAGMENT_BYTES
        fragment.fragment_index = index
        fragment.payload = payload[start : start + FRAGMENT_BYTES]
        datagrams.append(fragment.SerializeToString())
    return datagrams


def split_datagram(data: bytes) -> list[bytes]:
    """Split a serialized message, if one datagram can't carry it.

    Parameters
    ----------
    data : bytes
        The message.

    Returns
    -------
    list of bytes
        Datagrams.
    """
    if len(data) <= MAX_DATAGRAM_BYTES:
        return [data]
    return split(Envelope.FromString(data))
