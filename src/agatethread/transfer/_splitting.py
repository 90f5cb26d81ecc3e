"""Split a message into fragments, each of which is a complete envelope."""

from xxhash import xxh64_intdigest

from agatethread.exceptions import PayloadTooLargeError
from agatethread.wire import MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES, Envelope

#: Payload size of a fragment; smaller than that of an unfragmented datagram, since a
#: fragment also holds its index, the count and the checksum.
FRAGMENT_BYTES = 900
MAX_MESSAGE_BYTES = 8 << 20


def split_message(envelope: Envelope) -> list[bytes]:
    """Return the serialized datagrams of a message.

    Parameters
    ----------
    envelope : Envelope
        Message.

    Returns
    -------
    list of bytes
        One datagram, or one for each fragment.

    Raises
    ------
    PayloadTooLargeError
        If the payload exceeds the message size limit.
    """
    payload = envelope.payload
    if len(payload) <= MAX_PAYLOAD_BYTES:
        return [envelope.SerializeToString()]
    if len(payload) > MAX_MESSAGE_BYTES:
        raise PayloadTooLargeError(
            f"payload of {len(payload)} bytes exceeds {MAX_MESSAGE_BYTES} bytes"
        )

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
    """Split a serialized message if it exceeds the datagram size.

    Parameters
    ----------
    data : bytes
        Serialized message.

    Returns
    -------
    list of bytes
        Datagrams of the message.
    """
    if len(data) <= MAX_DATAGRAM_BYTES:
        return [data]
    return split_message(Envelope.FromString(data))
