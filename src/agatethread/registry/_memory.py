"""What a control instance knows of others, kept over its own restart.

Only a hint: it lets packets flow again before every backend server has reported anew,
and before every entry instance has asked. It is written some time after a change, so it
may be old or missing.
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
_FILE = "registry"

log = make_logger("registry")


@dataclass(frozen=True, slots=True)
class KnownEntry:
    """An entry instance that was told of the backend servers.

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
    """What is kept.

    Attributes
    ----------
    runs : tuple of BackendRun
        Known backend servers.
    entries : tuple of KnownEntry
        The entry instances that were told of them.
    """

    runs: tuple[BackendRun, ...] = ()
    entries: tuple[KnownEntry, ...] = ()


def save_hints(
    folder: str, runs: Iterable[BackendRun], entries: Iterable[KnownEntry] = ()
) -> None:
    """Write the hints, synced: this takes as long as the disk takes.

    Parameters
    ----------
    folder : str
        The data folder.
    runs : iterable of BackendRun
        What is known.
    entries : iterable of KnownEntry, optional
        The entry instances that are told.

    Raises
    ------
    OSError
        If they could not be written; the older file stays.
    """
    nodes = [
        ControlNode(address=one.address, failure_domain=one.failure_domain)
        for one in entries
    ]
    payload = Delta(runs=runs, controls=nodes).SerializeToString()
    path = Path(folder) / _FILE
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
    """Read the hints.

    Parameters
    ----------
    folder : str
        The data folder.

    Returns
    -------
    Hints
        Empty if there is no file, or it is not whole.
    """
    path = Path(folder) / _FILE
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
