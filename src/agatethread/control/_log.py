"""The snapshot and later entries of a replicated log, in memory and on disk."""

from agatethread.control._storage import LogStorage
from agatethread.wire.control_pb2 import ControlState, LogEntry, Members

#: Limits of one message, so that it arrives well within the timeout of a call over the
#: slowest link between control instances: 256 kB take 12 ms at 170 Mbit/s.
_MAX_APPEND_ENTRIES = 256
_MAX_APPEND_BYTES = 256 << 10


class ReplicatedLog:
    """A snapshot and the entries that follow it.

    Parameters
    ----------
    storage : LogStorage
        Files of both; written before memory is changed.
    snapshot : ControlState
        The recovered snapshot.
    entries : list of LogEntry
        The recovered entries after it.
    """

    def __init__(
        self, storage: LogStorage, snapshot: ControlState, entries: list[LogEntry]
    ):
        self._storage = storage
        self._entries = entries
        self.snapshot = snapshot

    @property
    def snapshot_index(self) -> int:
        """Index of the last entry in the snapshot."""
        return self.snapshot.last_index

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.snapshot_index + len(self._entries)

    def term_at(self, index: int) -> int:
        """Return an entry's term.

        Parameters
        ----------
        index : int
            Index of the entry, at least `snapshot_index`.

        Returns
        -------
        int
            The term.
        """
        if index == self.snapshot_index:
            return self.snapshot.last_term
        return self._entries[index - self.snapshot_index - 1].term

    def batch_from(self, index: int) -> list[LogEntry]:
        """Return the entries of one message.

        Parameters
        ----------
        index : int
            Index of the first entry.

        Returns
        -------
        list of LogEntry
            In order; at least one if the log has an entry at `index`.
        """
        start = index - self.snapshot_index - 1
        batch: list[LogEntry] = []
        size = 0
        for entry in self._entries[start : start + _MAX_APPEND_ENTRIES]:
            size += entry.ByteSize()
            if batch and size > _MAX_APPEND_BYTES:
                break
            batch.append(entry)
        return batch

    def entries_between(self, after_index: int, through_index: int) -> list[LogEntry]:
        """Return the entries within a range of indexes.

        Parameters
        ----------
        after_index, through_index : int
            Index before the first entry, and index of the last one.

        Returns
        -------
        list of LogEntry
            In order.
        """
        return self._entries[
            after_index - self.snapshot_index : through_index - self.snapshot_index
        ]

    def latest_members(self) -> Members | None:
        """Return the newest members that an entry after the snapshot sets.

        Returns
        -------
        Members or None
            None if no entry sets them.
        """
        return next(
            (e.members for e in reversed(self._entries) if _sets_members(e)), None
        )

    def latest_members_index(self) -> int:
        """Return the index of the newest entry after the snapshot that sets members.

        Returns
        -------
        int
            Index of the entry, or `snapshot_index` if there is none.
        """
        changes = (e.index for e in reversed(self._entries) if _sets_members(e))
        return next(changes, self.snapshot_index)

    def append(self, entries: list[LogEntry]) -> None:
        """Append entries and sync them.

        Parameters
        ----------
        entries : list of LogEntry
            The entries that follow the last one.

        Raises
        ------
        DiskFullError
            If they could not be written; nothing has changed.
        """
        self._storage.append(entries)
        self._entries.extend(entries)

    def truncate_after(self, last_index: int) -> None:
        """Delete the entries after an index.

        Parameters
        ----------
        last_index : int
            Index of the last entry that stays.

        Raises
        ------
        DiskFullError
            If they could not be deleted; nothing has changed.
        """
        remaining_count = last_index - self.snapshot_index
        self._storage.truncate(remaining_count)
        del self._entries[remaining_count:]

    def _contains(self, index: int, term: int) -> bool:
        is_in_range = self.snapshot_index <= index <= self.last_index
        return is_in_range and self.term_at(index) == term

    def compact(self, snapshot: ControlState) -> None:
        """Replace the entries that a snapshot covers by the snapshot.

        Parameters
        ----------
        snapshot : ControlState
            A newer snapshot; one beyond the last entry replaces all entries.

        Raises
        ------
        DiskFullError
            If it could not be written; nothing has changed in memory, but the snapshot
            file may be the new one.
        """
        remaining: list[LogEntry] = []
        if self._contains(snapshot.last_index, snapshot.last_term):
            remaining = self.entries_between(snapshot.last_index, self.last_index)
        self._storage.save_snapshot(snapshot, remaining)
        self._entries = remaining
        self.snapshot = snapshot


def _sets_members(entry: LogEntry) -> bool:
    return entry.HasField("members")
