"""Packets of callers, independent of their wire format."""

from collections.abc import Callable
from dataclasses import dataclass
from socket import inet_ntoa
from struct import Struct
from typing import NamedTuple

Address = tuple[str, int]
#: Address and port of the caller, then those that it sent the flow to.
_FLOW_STRUCT = Struct("!IHIH")


class FlowKey(NamedTuple):
    """Addresses and ports of a flow as integers.

    `host` and `port` are the address and port that the caller sent the flow to.
    """

    caller: int
    caller_port: int
    host: int
    port: int

    def __str__(self) -> str:
        caller = inet_ntoa(self.caller.to_bytes(4, "big"))
        host = inet_ntoa(self.host.to_bytes(4, "big"))
        return f"{caller}:{self.caller_port}>{host}:{self.port}"


def pack_flow(key: FlowKey) -> bytes:
    """Return a flow key in the format of registry messages.

    Parameters
    ----------
    key : FlowKey
        The flow.

    Returns
    -------
    bytes
        12 bytes in network order.
    """
    return _FLOW_STRUCT.pack(*key)


def unpack_flow(data: bytes) -> FlowKey | None:
    """Return a flow key from a registry message.

    Parameters
    ----------
    data : bytes
        Output of `pack_flow`.

    Returns
    -------
    FlowKey or None
        None if the length is wrong.
    """
    return (
        FlowKey(*_FLOW_STRUCT.unpack(data)) if len(data) == _FLOW_STRUCT.size else None
    )


class Packet(NamedTuple):
    """Decoded header of a caller's packet, and the packet itself."""

    #: Label of the run; 0 if the caller has none yet.
    label: int
    key: FlowKey
    #: Whether it opens a flow.
    opens: bool
    #: 0 for the opening itself, n for its n-th copy.
    copy: int
    closes: bool
    resets: bool
    #: Sequence number of the first payload byte.
    sequence: int
    #: Sequence number up to which the caller has received the run's bytes; in an
    #: opening the same as `copy`.
    acknowledged: int
    payload_bytes: int
    data: bytes


def make_caller_packet(key: FlowKey, label: int, acknowledged: int) -> Packet:
    """Return a minimal packet from which `encode_reset` can make a reset.

    Parameters
    ----------
    key : FlowKey
        The flow.
    label : int
        Label of the run that the flow was placed on.
    acknowledged : int
        Last sequence number acknowledged by the caller.

    Returns
    -------
    Packet
        Has only the fields that a reset needs.
    """
    return Packet(label, key, False, 0, False, False, 0, acknowledged, 0, b"")


@dataclass(frozen=True, slots=True)
class PacketCodec:
    """Functions that implement a wire format.

    Attributes
    ----------
    decode : callable
        Decodes a datagram; raises `DatagramError`.
    encode_for_backend : callable
        Encodes the datagram for a backend server from a packet, the label to put in it
        and the number of the run.
    encode_reset : callable
        Encodes the datagram that resets a caller's flow.
    caller_address : callable
        Returns the address for datagrams to a caller.
    """

    decode: Callable[[bytes], Packet]
    encode_for_backend: Callable[[Packet, int, int], bytes]
    encode_reset: Callable[[Packet], bytes]
    caller_address: Callable[[Packet], Address]
