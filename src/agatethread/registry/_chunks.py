"""A routing table that arrives in parts, in any order and more than once."""

import zlib

from agatethread.wire.registry_pb2 import RoutesChunk, RoutingTable


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
