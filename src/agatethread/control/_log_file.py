"""Appends records to the file of the control log, and undoes failed writes."""

import contextlib
import errno
import os
from collections.abc import Callable
from io import FileIO
from pathlib import Path

from agatethread.control._log_records import encode_record
from agatethread.exceptions import DiskFullError


class LogFile:
    """A file of records that is replaced whole, or changed at its end.

    Parameters
    ----------
    path : Path
        The file; its folder exists.
    sync_folder : callable
        Syncs the names of the files in the folder.
    """

    def __init__(self, path: Path, sync_folder: Callable[[], None]):
        self._path = path
        self._sync_folder = sync_folder
        self._file: FileIO | None = None
        self._offsets: list[int] = []
        self.size_bytes = 0
        #: Whether a failed write may have left bytes after the last record.
        self._has_partial_tail = False
        #: Whether the name of the current file may not be on the disk yet.
        self._is_name_unsynced = False

    def replace(self, payloads: list[bytes]) -> None:
        """Replace the file by one with other records, and keep it open.

        Parameters
        ----------
        payloads : list of bytes
            Contents of all records.

        Raises
        ------
        DiskFullError
            If it could not be written; the old file stays.
        """
        records = [encode_record(payload) for payload in payloads]
        try:
            file = self._create(b"".join(records))
        except OSError as error:
            raise DiskFullError(str(error)) from None
        self.close()
        self._file = file
        self._offsets, self.size_bytes = [], 0
        self._has_partial_tail = False
        self._is_name_unsynced = True
        self._count(records)
        # Tried again before the next append is acknowledged.
        with contextlib.suppress(OSError):
            self._sync_name()

    def _create(self, data: bytes) -> FileIO:
        """Return a new file in place of the current one, open for appending."""
        temporary = self._path.with_suffix(".new")
        file = open(temporary, "ab", buffering=0)
        try:
            os.ftruncate(file.fileno(), 0)
            _write_and_sync(file, data)
            os.replace(temporary, self._path)
        except OSError:
            file.close()
            raise
        return file

    def _count(self, records: list[bytes]) -> None:
        for record in records:
            self._offsets.append(self.size_bytes)
            self.size_bytes += len(record)

    def append(self, payloads: list[bytes]) -> None:
        """Append records and sync them.

        Parameters
        ----------
        payloads : list of bytes
            Contents of the records.

        Raises
        ------
        DiskFullError
            If they could not be written; the records are those of before.
        """
        records = [encode_record(payload) for payload in payloads]
        try:
            self._sync_name()
            self._remove_partial_tail()
            self._has_partial_tail = True
            _write_and_sync(self._file, b"".join(records))
            self._has_partial_tail = False
        except OSError as error:
            # Tried again before the next append.
            with contextlib.suppress(OSError):
                self._remove_partial_tail()
            raise DiskFullError(str(error)) from None
        self._count(records)

    def _sync_name(self) -> None:
        if self._is_name_unsynced:
            self._sync_folder()
            self._is_name_unsynced = False

    def _remove_partial_tail(self) -> None:
        if self._has_partial_tail:
            os.ftruncate(self._file.fileno(), self.size_bytes)
            self._has_partial_tail = False

    def truncate(self, remaining_count: int) -> None:
        """Delete records at the end; the next append syncs it.

        Parameters
        ----------
        remaining_count : int
            Number of records that stay, from the first.

        Raises
        ------
        DiskFullError
            If they could not be deleted; the records are those of before.
        """
        if remaining_count >= len(self._offsets):
            return
        size_bytes = self._offsets[remaining_count]
        try:
            os.ftruncate(self._file.fileno(), size_bytes)
        except OSError as error:
            raise DiskFullError(str(error)) from None
        self.size_bytes = size_bytes
        self._has_partial_tail = False
        del self._offsets[remaining_count:]

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()
            self._file = None


def _write_and_sync(file: FileIO, data: bytes) -> None:
    written_bytes = file.write(data)
    if written_bytes != len(data):
        raise OSError(errno.ENOSPC, "short write")
    os.fsync(file.fileno())
