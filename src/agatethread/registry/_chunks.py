"""Splits a routing table into chunks, and joins received chunks again."""

import zlib
from dataclasses import dataclass, field

from agatethread.wire.registry_pb2 import (
    Evacuations,
    RegistryMessage,
    RoutesChunk,
    RoutingTable,
)

#: Limit of the table data or runs in one message; leaves room in an Ethernet frame for
#: the other fields.
MESSAGE_PAYLOAD_BYTES = 1_100


@dataclass(frozen=True, slots=True)
class CompressedTable:
    """The newest agreed routing table, compressed, and the evacuations of that time."""

    version: int
    compressed: bytes
    #: Evacuations in the log when it held this table.
    evacuations: Evacuations = field(default_factory=Evacuations)


def split_routes(table: CompressedTable) -> list[RegistryMessage]:
    """Return the messages that hold the chunks of a table.

    Parameters
    ----------
    table : CompressedTable
        The table.

    Returns
    -------
    list of RegistryMessage
        One for each chunk, in order.
    """
    parts = [
        table.compressed[start : start + MESSAGE_PAYLOAD_BYTES]
        for start in range(0, len(table.compressed), MESSAGE_PAYLOAD_BYTES)
    ]
    chunks = [
        RoutesChunk(
            version=table.version,
            number=number,
            count=len(parts),
            data=part,
            evacuations=table.evacuations,
        )
        for number, part in enumerate(parts)
    ]
    return [RegistryMessage(routes=chunk) for chunk in chunks]


class TableAssembler:
    """Joins the chunks of the newest routing table received so far.

    Chunks arrive in any order, and more than once.
    """

    def __init__(self) -> None:
        self._version = 0
        self._parts: list[bytes | None] = []

    def add_chunk(self, chunk: RoutesChunk) -> RoutingTable | None:
        """Store a chunk.

        Parameters
        ----------
        chunk : RoutesChunk
            The chunk; the caller has checked that its number is below its count.

        Returns
        -------
        RoutingTable or None
            The table, once all its chunks are received.
        """
        if chunk.version > self._version:
            self._version = chunk.version
            self._parts = [None] * chunk.count
        if chunk.version != self._version or len(self._parts) != chunk.count:
            return None
        self._parts[chunk.number] = chunk.data
        if None in self._parts:
            return None
        # Frees the chunks. The caller ignores chunks of a version that it has applied.
        table = RoutingTable.FromString(zlib.decompress(b"".join(self._parts)))
        self._version, self._parts = 0, []
        return table
