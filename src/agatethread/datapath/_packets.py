"""A packet as the data path sees it, whatever its format on the wire."""

from collections.abc import Callable
from dataclasses import dataclass
from socket import inet_ntoa
from struct import Struct
from typing import NamedTuple

Address = tuple[str, int]
#: The caller's address and port, and the service's.
_FLOW = Struct("!IHIH")


class FlowKey(NamedTuple):
    """Addresses and ports of a flow, as numbers."""

    caller: int
    caller_port: int
    host: int
    port: int

    def __str__(self) -> str:
        caller = inet_ntoa(self.caller.to_bytes(4, "big"))
        host = inet_ntoa(self.host.to_bytes(4, "big"))
        return f"{caller}:{self.caller_port}>{host}:{self.port}"


def pack_flow(key: FlowKey) -> bytes:
    """Write a flow for a message.

    Parameters
    ----------
    key : FlowKey
        The flow.

    Returns
    -------
    bytes
        12 bytes in network order.
    """
    return _FLOW.pack(*key)


def unpack_flow(data: bytes) -> FlowKey | None:
    """Read a flow from a message.

    Parameters
    ----------
    data : bytes
        As `pack_flow` wrote it.

    Returns
    -------
    FlowKey or None
        None if it is none.
    """
    return FlowKey(*_FLOW.unpack(data)) if len(data) == _FLOW.size else None


class Packet(NamedTuple):
    """The decoded header of a caller's packet, and the packet itself."""

    #: Names the backend server; 0 where the caller knows none yet.
    label: int
    key: FlowKey
    #: Opens a flow; later copies have a higher `copy`.
    opens: bool
    copy: int
    closes: bool
    resets: bool
    sequence: int
    acknowledged: int
    payload_bytes: int
    data: bytes


def caller_packet(key: FlowKey, label: int, acknowledged: int) -> Packet:
    """Make a packet that stands for the last one of a caller.

    Parameters
    ----------
    key : FlowKey
        Its flow.
    label : int
        Of the run that holds the flow.
    acknowledged : int
        Sequence number that the caller acknowledged last.

    Returns
    -------
    Packet
        Enough of one to reset the flow.
    """
    return Packet(label, key, False, 0, False, False, 0, acknowledged, 0, b"")


@dataclass(frozen=True, slots=True)
class PacketCodec:
    """Functions that know a wire format.

    Attributes
    ----------
    decode : callable
        Reads a datagram; raises `DatagramError`.
    encode_for_backend : callable
        Makes the datagram for a backend server from a packet, the label to put in it
        and the number of the run that it is meant for.
    encode_reset : callable
        Makes the datagram that tells a caller that its flow is over.
    caller_address : callable
        Where a caller's datagrams are sent to.
    """

    decode: Callable[[bytes], Packet]
    encode_for_backend: Callable[[Packet, int, int], bytes]
    encode_reset: Callable[[Packet], bytes]
    caller_address: Callable[[Packet], Address]
