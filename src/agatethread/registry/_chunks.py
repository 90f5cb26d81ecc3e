"""A routing table in parts, which arrive in any order and more than once."""

import zlib
from dataclasses import dataclass, field

from agatethread.wire.registry_pb2 import (
    Evacuations,
    RegistryMessage,
    RoutesChunk,
    RoutingTable,
)

#: Payload of one message, so that its datagram fits an Ethernet frame.
MESSAGE_BYTES = 1_100


@dataclass(frozen=True, slots=True)
class RoutesOffer:
    """The newest agreed routing table, ready to be sent."""

    version: int
    compressed: bytes
    #: What the log held besides when it held this table.
    evacuations: Evacuations = field(default_factory=Evacuations)


def split_routes(offer: RoutesOffer) -> list[RegistryMessage]:
    """Split a table into messages.

    Parameters
    ----------
    offer : RoutesOffer
        The table.

    Returns
    -------
    list of RegistryMessage
        Its parts, in order.
    """
    parts = [
        offer.compressed[start : start + MESSAGE_BYTES]
        for start in range(0, len(offer.compressed), MESSAGE_BYTES)
    ]
    chunks = [
        RoutesChunk(
            version=offer.version,
            number=number,
            count=len(parts),
            data=part,
            evacuations=offer.evacuations,
        )
        for number, part in enumerate(parts)
    ]
    return [RegistryMessage(routes=chunk) for chunk in chunks]


class ChunkedTable:
    """The parts of the newest table of which any has arrived."""

    def __init__(self) -> None:
        self._version = 0
        self._parts: list[bytes | None] = []

    def add(self, chunk: RoutesChunk) -> RoutingTable | None:
        """Take a part.

        Parameters
        ----------
        chunk : RoutesChunk
            The part; its number is below its count.

        Returns
        -------
        RoutingTable or None
            The table once it is whole.
        """
        if chunk.version > self._version:
            self._version = chunk.version
            self._parts = [None] * chunk.count
        if chunk.version != self._version or len(self._parts) != chunk.count:
            return None
        self._parts[chunk.number] = chunk.data
        if None in self._parts:
            return None
        # All of it may come again; a table already in force is not asked for.
        table = RoutingTable.FromString(zlib.decompress(b"".join(self._parts)))
        self._version, self._parts = 0, []
        return table
