"""Durable term, vote, log and snapshot of one control instance.

Writes are synced before they are acknowledged; a failed one is undone.
"""

import os
import struct
from dataclasses import dataclass
from pathlib import Path

from google.protobuf.message import DecodeError, Message

from agatethread.control._log_file import LogFile
from agatethread.control._log_records import (
    HEADER_BYTES,
    decode_record,
    encode_record,
    is_torn,
)
from agatethread.exceptions import DiskFullError, LogCorruptError
from agatethread.wire.control_pb2 import ControlState, HardState, LogEntry

_LOG, _SNAPSHOT, _HARD_STATE, _COMMIT = "log", "snapshot", "hard_state", "commit"
#: Folder that corrupt files are moved to; later ones replace earlier ones.
_DAMAGED = "damaged"
_INDEX = struct.Struct("!Q")


@dataclass(frozen=True)
class RecoveredState:
    """State that was read from disk at the start."""

    hard_state: HardState
    snapshot: ControlState
    entries: list[LogEntry]
    #: Lower bound of the commit index; later entries may be committed too.
    commit_index: int = 0


def _parse(message_type: type[Message], payload: bytes) -> Message:
    try:
        return message_type.FromString(payload)
    except DecodeError:
        raise LogCorruptError(f"record is no {message_type.DESCRIPTOR.name}") from None


class LogStorage:
    """Files of one control instance under its data folder.

    `DiskFullError` does not imply a full disk; other failed writes raise it too.

    Parameters
    ----------
    data_dir : str
        Data folder; created if missing.
    """

    def __init__(self, data_dir: str):
        self._folder = Path(data_dir)
        self._folder.mkdir(parents=True, exist_ok=True)
        self._log_file = LogFile(self._folder / _LOG, self._sync_folder)
        self._commit_index_file = None
        self._is_closed = False

    @property
    def size_bytes(self) -> int:
        """Size of the log file."""
        return self._log_file.size_bytes

    def recover(self) -> RecoveredState:
        """Read the files; an incomplete or corrupt last record of the log is deleted.

        Returns
        -------
        RecoveredState
            The state on disk.

        Raises
        ------
        LogCorruptError
            If anything but the last record of the log is corrupt.
        """
        hard_state = self.read_hard_state()
        snapshot = _parse(ControlState, self._read_record(_SNAPSHOT))
        entries = self._read_log()
        # A crash between the writes of snapshot and log leaves entries that are in
        # the snapshot already.
        entries = [entry for entry in entries if entry.index > snapshot.last_index]
        self.replace_log(entries)
        return RecoveredState(hard_state, snapshot, entries, self._read_commit_index())

    def _read_commit_index(self) -> int:
        path = self._folder / _COMMIT
        if not path.exists():
            return 0
        payload = decode_record(path.read_bytes(), 0)
        # Written without a sync, so it may be incomplete; it is only a hint.
        return _INDEX.unpack(payload)[0] if payload else 0

    def sync_commit_index(self) -> None:
        """Sync what `save_commit_index` wrote; may be called from another thread.

        Raises
        ------
        DiskFullError
            If it could not be synced.
        """
        file = self._commit_index_file
        if file is None:
            return
        try:
            os.fsync(file.fileno())
            self._sync_folder()
        except (OSError, ValueError) as error:
            # ValueError: the file was closed meanwhile, when the process stopped.
            raise DiskFullError(str(error)) from None

    def save_commit_index(self, index: int) -> None:
        """Write the commit index, without a sync.

        With it a restarted instance serves committed state before there is a leader.

        Parameters
        ----------
        index : int
            Index of the last committed entry.

        Raises
        ------
        DiskFullError
            If it could not be written.
        """
        self._raise_if_closed()
        try:
            if self._commit_index_file is None:
                self._commit_index_file = open(
                    self._folder / _COMMIT, "wb", buffering=0
                )
            record = encode_record(_INDEX.pack(index))
            os.pwrite(self._commit_index_file.fileno(), record, 0)
        except OSError as error:
            raise DiskFullError(str(error)) from None

    def read_hard_state(self) -> HardState:
        """Return the stored term, vote and member name.

        Returns
        -------
        HardState
            Empty if none is stored.

        Raises
        ------
        LogCorruptError
            If it is corrupt.
        """
        return _parse(HardState, self._read_record(_HARD_STATE))

    def _read_record(self, name: str) -> bytes:
        path = self._folder / name
        if not path.exists():
            return b""
        payload = decode_record(path.read_bytes(), 0)
        if payload is None:
            raise LogCorruptError(f"{path}: checksum does not match")
        return payload

    def _read_log(self) -> list[LogEntry]:
        path = self._folder / _LOG
        if not path.exists():
            return []
        data = path.read_bytes()
        entries: list[LogEntry] = []
        offset = 0
        while offset < len(data):
            payload = decode_record(data, offset)
            if payload is None:
                if not is_torn(data, offset):
                    raise LogCorruptError(
                        f"{path}: offset {offset}: checksum does not match"
                    )
                break
            try:
                entries.append(LogEntry.FromString(payload))
            except DecodeError:
                raise LogCorruptError(
                    f"{path}: offset {offset}: record is no LogEntry"
                ) from None
            offset += HEADER_BYTES + len(payload)
        return entries

    def save_hard_state(self, hard_state: HardState) -> None:
        """Write and sync the term, the vote and the member name.

        Parameters
        ----------
        hard_state : HardState
            The new state.

        Raises
        ------
        DiskFullError
            If it could not be written.
        """
        self._replace_file(_HARD_STATE, encode_record(hard_state.SerializeToString()))

    def save_snapshot(self, snapshot: ControlState, remaining: list[LogEntry]) -> None:
        """Write a snapshot and reduce the log to the entries after it.

        Parameters
        ----------
        snapshot : ControlState
            The snapshot.
        remaining : list of LogEntry
            Entries after the snapshot.

        Raises
        ------
        DiskFullError
            If a file could not be written; its old version stays, but the snapshot may
            have been replaced already.
        """
        payload = snapshot.SerializeToString(deterministic=True)
        self._replace_file(_SNAPSHOT, encode_record(payload))
        self.replace_log(remaining)

    def replace_log(self, entries: list[LogEntry]) -> None:
        """Replace the log by other entries.

        Parameters
        ----------
        entries : list of LogEntry
            All entries of the new log.

        Raises
        ------
        DiskFullError
            If it could not be written; the old log stays.
        """
        self._raise_if_closed()
        self._log_file.replace([entry.SerializeToString() for entry in entries])

    def append(self, entries: list[LogEntry]) -> None:
        """Append entries to the log and sync them.

        Parameters
        ----------
        entries : list of LogEntry
            The entries that follow the last one.

        Raises
        ------
        DiskFullError
            If they could not be written; the log is unchanged.
        """
        self._raise_if_closed()
        self._log_file.append([entry.SerializeToString() for entry in entries])

    def truncate(self, remaining_count: int) -> None:
        """Delete entries at the end of the log; the next append syncs it.

        Parameters
        ----------
        remaining_count : int
            Number of entries that stay, from the first in the file.

        Raises
        ------
        DiskFullError
            If they could not be deleted; the log is unchanged.
        """
        self._raise_if_closed()
        self._log_file.truncate(remaining_count)

    def _replace_file(self, name: str, data: bytes) -> None:
        self._raise_if_closed()
        path = self._folder / name
        temporary = path.with_suffix(".new")
        try:
            with open(temporary, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary, path)
            self._sync_folder()
        except OSError as error:
            raise DiskFullError(str(error)) from None

    def _raise_if_closed(self) -> None:
        if self._is_closed:
            raise DiskFullError("the log is closed: the instance stops")

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def set_aside(self) -> None:
        """Move the files to the folder of damaged ones, as if the disk were new.

        Raises
        ------
        DiskFullError
            If they could not be moved; it may be called again.
        """
        self.close()
        damaged_folder = self._folder / _DAMAGED
        try:
            damaged_folder.mkdir(exist_ok=True)
            # Hard state first: without it the disk counts as empty at the next start.
            for name in (_HARD_STATE, _SNAPSHOT, _LOG, _COMMIT):
                path = self._folder / name
                if path.exists():
                    os.replace(path, damaged_folder / name)
            self._sync_folder()
        except OSError as error:
            raise DiskFullError(str(error)) from None

    @property
    def was_set_aside(self) -> bool:
        """Whether files of this disk were set aside as damaged."""
        return (self._folder / _DAMAGED).exists()

    def close(self) -> None:
        """Close the files; later writes raise an error."""
        self._is_closed = True
        self._log_file.close()
        if self._commit_index_file is not None:
            self._commit_index_file.close()
            self._commit_index_file = None
