"""Durable term, vote, log and snapshot of one control instance.

A log record is a header (length, CRC-32 of the entry, CRC-32 of these two) and the
entry. Nothing is answered before it is synced.
"""

import errno
import os
import struct
import zlib
from dataclasses import dataclass
from pathlib import Path

from google.protobuf.message import DecodeError, Message

from agatethread.exceptions import DiskFullError, LogCorruptError
from agatethread.wire.control_pb2 import ControlState, HardState, LogEntry

_FIELDS = struct.Struct("!II")
_CHECKSUM = struct.Struct("!I")
HEADER_BYTES = _FIELDS.size + _CHECKSUM.size
_LOG, _SNAPSHOT, _HARD_STATE, _COMMIT = "log", "snapshot", "hard_state", "commit"
#: Folder that unsound files are moved to; the newest damage replaces an older one's.
_DAMAGED = "damaged"
_INDEX = struct.Struct("!Q")


@dataclass(frozen=True)
class Recovered:
    """What a disk held at the start."""

    hard_state: HardState
    snapshot: ControlState
    entries: list[LogEntry]
    #: An entry that is known to have been committed; there may be later ones.
    commit_index: int = 0


def _frame(payload: bytes) -> bytes:
    fields = _FIELDS.pack(len(payload), zlib.crc32(payload))
    return fields + _CHECKSUM.pack(zlib.crc32(fields)) + payload


def _read_header(data: bytes, offset: int) -> tuple[int, int] | None:
    """Return the length and checksum that a sound header gives."""
    fields = data[offset : offset + _FIELDS.size]
    (expected,) = _CHECKSUM.unpack_from(data, offset + _FIELDS.size)
    return _FIELDS.unpack(fields) if zlib.crc32(fields) == expected else None


def _unframe(data: bytes, offset: int) -> bytes | None:
    """Return the record at an offset, or None if it is not whole and sound."""
    start = offset + HEADER_BYTES
    if start > len(data):
        return None
    header = _read_header(data, offset)
    if header is None:
        return None
    length, checksum = header
    payload = data[start : start + length]
    if len(payload) != length or zlib.crc32(payload) != checksum:
        return None
    return payload


def _is_torn(data: bytes, offset: int) -> bool:
    """Tell whether an unsound record is the last write, cut short."""
    start = offset + HEADER_BYTES
    if start > len(data):
        return True
    header = _read_header(data, offset)
    if header is None:
        # A file may have grown before its contents were written.
        return not any(data[offset:])
    return start + header[0] >= len(data)


def _parse(kind: type[Message], payload: bytes) -> Message:
    try:
        return kind.FromString(payload)
    except DecodeError:
        raise LogCorruptError(f"not a {kind.DESCRIPTOR.name}") from None


class LogStorage:
    """Files of one control instance under its data folder.

    Parameters
    ----------
    data_dir : str
        The folder; made if missing.
    """

    def __init__(self, data_dir: str):
        self._folder = Path(data_dir)
        self._folder.mkdir(parents=True, exist_ok=True)
        self._log_file = None
        self._commit_file = None
        self._offsets: list[int] = []
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """Size of the log file."""
        return self._size_bytes

    def recover(self) -> Recovered:
        """Read the disk; a torn last record is cut off.

        Returns
        -------
        Recovered
            The state to start from.

        Raises
        ------
        LogCorruptError
            If anything but the last record is unsound.
        """
        hard_state = self.read_hard_state()
        snapshot = _parse(ControlState, self._read_whole(_SNAPSHOT))
        entries = self._read_log()
        # A crash between writing a snapshot and cutting the log leaves entries that
        # the snapshot holds already.
        entries = [entry for entry in entries if entry.index > snapshot.last_index]
        self.rewrite(entries)
        return Recovered(hard_state, snapshot, entries, self._read_commit())

    def _read_commit(self) -> int:
        path = self._folder / _COMMIT
        if not path.exists():
            return 0
        payload = _unframe(path.read_bytes(), 0)
        # It is written without a sync, so it may be torn; nothing depends on it.
        return _INDEX.unpack(payload)[0] if payload else 0

    def sync_commit(self) -> None:
        """Sync what `save_commit` wrote; may be called from another thread.

        Raises
        ------
        DiskFullError
            If it could not be synced.
        """
        file = self._commit_file
        if file is None:
            return
        try:
            os.fsync(file.fileno())
            self._sync_folder()
        except (OSError, ValueError) as error:
            # ValueError: closed meanwhile, by the end of the process.
            raise DiskFullError(str(error)) from None

    def save_commit(self, index: int) -> None:
        """Write how far the log is committed, without a sync.

        It lets a restarted instance serve what was agreed before there is a leader.

        Parameters
        ----------
        index : int
            The last committed entry.

        Raises
        ------
        DiskFullError
            If it could not be written.
        """
        try:
            if self._commit_file is None:
                self._commit_file = open(self._folder / _COMMIT, "wb", buffering=0)
            frame = _frame(_INDEX.pack(index))
            os.pwrite(self._commit_file.fileno(), frame, 0)
        except OSError as error:
            raise DiskFullError(str(error)) from None

    def read_hard_state(self) -> HardState:
        """Read the term, the vote and the name.

        Returns
        -------
        HardState
            Empty if there is none.

        Raises
        ------
        LogCorruptError
            If it is unsound.
        """
        return _parse(HardState, self._read_whole(_HARD_STATE))

    def _read_whole(self, name: str) -> bytes:
        path = self._folder / name
        if not path.exists():
            return b""
        payload = _unframe(path.read_bytes(), 0)
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
            payload = _unframe(data, offset)
            if payload is None:
                if not _is_torn(data, offset):
                    raise LogCorruptError(f"{path}: offset {offset}: wrong checksum")
                break
            try:
                entries.append(LogEntry.FromString(payload))
            except DecodeError:
                raise LogCorruptError(f"{path}: offset {offset}: no entry") from None
            offset += HEADER_BYTES + len(payload)
        return entries

    def save_hard_state(self, hard_state: HardState) -> None:
        """Write the term and the vote, synced.

        Parameters
        ----------
        hard_state : HardState
            What to write.

        Raises
        ------
        DiskFullError
            If it could not be written.
        """
        self._replace(_HARD_STATE, _frame(hard_state.SerializeToString()))

    def save_snapshot(self, snapshot: ControlState, kept: list[LogEntry]) -> None:
        """Write a snapshot and cut the log down to what follows it.

        Parameters
        ----------
        snapshot : ControlState
            The state.
        kept : list of LogEntry
            Entries after it.

        Raises
        ------
        DiskFullError
            If it could not be written; the old files stay.
        """
        payload = snapshot.SerializeToString(deterministic=True)
        self._replace(_SNAPSHOT, _frame(payload))
        self.rewrite(kept)

    def rewrite(self, entries: list[LogEntry]) -> None:
        """Replace the log.

        Parameters
        ----------
        entries : list of LogEntry
            All its entries.

        Raises
        ------
        DiskFullError
            If it could not be written; the old log stays.
        """
        frames = [_frame(entry.SerializeToString()) for entry in entries]
        self._replace(_LOG, b"".join(frames))
        if self._log_file is not None:
            self._log_file.close()
        self._log_file = open(self._folder / _LOG, "ab", buffering=0)
        self._offsets = []
        self._size_bytes = 0
        for frame in frames:
            self._offsets.append(self._size_bytes)
            self._size_bytes += len(frame)

    def append(self, entries: list[LogEntry]) -> None:
        """Add entries to the log, synced.

        Parameters
        ----------
        entries : list of LogEntry
            The entries.

        Raises
        ------
        DiskFullError
            If they could not be written; the log is as before.
        """
        frames = [_frame(entry.SerializeToString()) for entry in entries]
        data = b"".join(frames)
        try:
            written = self._log_file.write(data)
            if written != len(data):
                raise OSError(errno.ENOSPC, "short write")
            os.fsync(self._log_file.fileno())
        except OSError as error:
            os.ftruncate(self._log_file.fileno(), self._size_bytes)
            raise DiskFullError(str(error)) from None
        for frame in frames:
            self._offsets.append(self._size_bytes)
            self._size_bytes += len(frame)

    def truncate(self, keep_count: int) -> None:
        """Drop entries from the end of the log, synced.

        Parameters
        ----------
        keep_count : int
            Entries to keep, from the first in the file.
        """
        if keep_count >= len(self._offsets):
            return
        self._size_bytes = self._offsets[keep_count]
        del self._offsets[keep_count:]
        os.ftruncate(self._log_file.fileno(), self._size_bytes)
        os.fsync(self._log_file.fileno())

    def _replace(self, name: str, data: bytes) -> None:
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

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def set_aside(self) -> None:
        """Move unsound files away, so that this disk counts as one that was lost.

        Raises
        ------
        DiskFullError
            If they could not be moved; it may be tried again.
        """
        self.close()
        aside = self._folder / _DAMAGED
        try:
            aside.mkdir(exist_ok=True)
            # Hard state first: without it, what is left is not taken for a member's.
            for name in (_HARD_STATE, _SNAPSHOT, _LOG, _COMMIT):
                path = self._folder / name
                if path.exists():
                    os.replace(path, aside / name)
            self._sync_folder()
        except OSError as error:
            raise DiskFullError(str(error)) from None

    @property
    def was_set_aside(self) -> bool:
        """Whether this disk once held what was found unsound."""
        return (self._folder / _DAMAGED).exists()

    def close(self) -> None:
        """Close the files."""
        if self._log_file is not None:
            self._log_file.close()
            self._log_file = None
        if self._commit_file is not None:
            self._commit_file.close()
            self._commit_file = None
