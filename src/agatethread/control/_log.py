"""The entries of a replicated log after its snapshot, in memory as on the disk."""

from agatethread.control._storage import LogStorage
from agatethread.wire.control_pb2 import ControlState, LogEntry, Members

#: Entries and bytes in one message: it has to arrive within the time of a call over
#: the slowest link between control instances (256 kB of 170 Mbit/s are 12 ms).
_MOST_ENTRIES_IN_APPEND = 256
_MOST_BYTES_IN_APPEND = 256 << 10


class ReplicatedLog:
    """A snapshot and the entries that follow it.

    Parameters
    ----------
    storage : LogStorage
        Where both are kept; written before memory is changed.
    snapshot : ControlState
        As recovered.
    entries : list of LogEntry
        As recovered.
    """

    def __init__(
        self, storage: LogStorage, snapshot: ControlState, entries: list[LogEntry]
    ):
        self._storage = storage
        self._entries = entries
        self.snapshot = snapshot

    @property
    def base_index(self) -> int:
        """Index of the last entry in the snapshot."""
        return self.snapshot.last_index

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    def term_at(self, index: int) -> int:
        """Look up an entry's term.

        Parameters
        ----------
        index : int
            From the snapshot's last entry to the last one.

        Returns
        -------
        int
            Its term.
        """
        if index == self.base_index:
            return self.snapshot.last_term
        return self._entries[index - self.base_index - 1].term

    def batch_from(self, index: int) -> list[LogEntry]:
        """List the entries that one message carries.

        Parameters
        ----------
        index : int
            The first one's index.

        Returns
        -------
        list of LogEntry
            In order; at least one if there is one.
        """
        start = index - self.base_index - 1
        batch: list[LogEntry] = []
        size = 0
        for entry in self._entries[start : start + _MOST_ENTRIES_IN_APPEND]:
            size += entry.ByteSize()
            if batch and size > _MOST_BYTES_IN_APPEND:
                break
            batch.append(entry)
        return batch

    def between(self, after: int, through: int) -> list[LogEntry]:
        """List entries by index.

        Parameters
        ----------
        after, through : int
            The index before the first, and the last one's.

        Returns
        -------
        list of LogEntry
            In order.
        """
        return self._entries[after - self.base_index : through - self.base_index]

    def latest_members(self) -> Members | None:
        """Find the newest members among the entries after the snapshot.

        Returns
        -------
        Members or None
            None if no entry changes them.
        """
        return next((e.members for e in reversed(self._entries) if _sets(e)), None)

    def latest_members_index(self) -> int:
        """Find the entry that `latest_members` is from.

        Returns
        -------
        int
            Its index, or that of the snapshot.
        """
        changes = (e.index for e in reversed(self._entries) if _sets(e))
        return next(changes, self.base_index)

    def append(self, entries: list[LogEntry]) -> None:
        """Add entries, synced.

        Parameters
        ----------
        entries : list of LogEntry
            What follows the last one.

        Raises
        ------
        DiskFullError
            If they could not be written; nothing has changed.
        """
        self._storage.append(entries)
        self._entries.extend(entries)

    def truncate(self, last_index: int) -> None:
        """Drop the entries after one.

        Parameters
        ----------
        last_index : int
            The last one to keep.
        """
        keep_count = last_index - self.base_index
        self._storage.truncate(keep_count)
        del self._entries[keep_count:]

    def _holds(self, index: int, term: int) -> bool:
        is_here = self.base_index <= index <= self.last_index
        return is_here and self.term_at(index) == term

    def compact(self, snapshot: ControlState) -> None:
        """Let a snapshot take the place of the entries that it holds.

        Parameters
        ----------
        snapshot : ControlState
            A newer one; one beyond the last entry takes the place of all.

        Raises
        ------
        DiskFullError
            If it could not be written; nothing has changed.
        """
        kept: list[LogEntry] = []
        if self._holds(snapshot.last_index, snapshot.last_term):
            kept = self.between(snapshot.last_index, self.last_index)
        self._storage.save_snapshot(snapshot, kept)
        self._entries = kept
        self.snapshot = snapshot


def _sets(entry: LogEntry) -> bool:
    return entry.HasField("members")
