"""Stores the instances that a control instance knows, as hints for its next start.

With these hints, a restarted control instance can send the runs to entry instances
before every backend server has reported and every entry instance has polled. They are
written some time after a change, so they may be outdated or missing.
"""

import os
import struct
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from google.protobuf.message import DecodeError

from agatethread.observability import Event, make_logger
from agatethread.wire.registry_pb2 import BackendRun, ControlNode, Delta

_CHECKSUM = struct.Struct("!I")
_FILE_NAME = "registry"

log = make_logger("registry")


@dataclass(frozen=True, slots=True)
class KnownEntry:
    """An entry instance that the runs are sent to.

    Attributes
    ----------
    address : bytes
        Its packed address.
    failure_domain : str
        Where it runs.
    """

    address: bytes
    failure_domain: str


@dataclass(frozen=True, slots=True)
class Hints:
    """What is stored for a restart.

    Attributes
    ----------
    runs : tuple of BackendRun
        Known runs of backend servers.
    entries : tuple of KnownEntry
        Known entry instances.
    """

    runs: tuple[BackendRun, ...] = ()
    entries: tuple[KnownEntry, ...] = ()


def save_hints(
    folder: str, runs: Iterable[BackendRun], entries: Iterable[KnownEntry] = ()
) -> None:
    """Write the hints and sync them to disk, which blocks.

    Parameters
    ----------
    folder : str
        The data folder.
    runs : iterable of BackendRun
        Known runs of backend servers.
    entries : iterable of KnownEntry, optional
        Known entry instances.

    Raises
    ------
    OSError
        If they could not be written; the previous file stays.
    """
    # The field `controls` holds the entry instances; control instances are not stored.
    nodes = [
        ControlNode(address=entry.address, failure_domain=entry.failure_domain)
        for entry in entries
    ]
    payload = Delta(runs=runs, controls=nodes).SerializeToString()
    path = Path(folder) / _FILE_NAME
    temporary = path.with_suffix(".new")
    with open(temporary, "wb") as file:
        file.write(_CHECKSUM.pack(zlib.crc32(payload)) + payload)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    directory = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)


def load_hints(folder: str) -> Hints:
    """Return the stored hints.

    Parameters
    ----------
    folder : str
        The data folder.

    Returns
    -------
    Hints
        Empty if there is no file, or it is damaged or unreadable.
    """
    path = Path(folder) / _FILE_NAME
    try:
        data = path.read_bytes()
        (checksum,) = _CHECKSUM.unpack_from(data)
        payload = data[_CHECKSUM.size :]
        if zlib.crc32(payload) != checksum:
            log.warning(Event.HINTS_DAMAGED, path=str(path))
            return Hints()
        saved = Delta.FromString(payload)
    except FileNotFoundError:
        return Hints()
    except (OSError, struct.error, DecodeError) as error:
        log.warning(Event.HINTS_NOT_READ, error=repr(error))
        return Hints()
    entries = tuple(
        KnownEntry(node.address, node.failure_domain) for node in saved.controls
    )
    return Hints(tuple(saved.runs), entries)
