"""What a control instance knows of backend servers, kept over its own restart.

Only a hint: it lets packets flow again before every backend server has reported anew.
It is written some time after a change, so it may be old or missing.
"""

import os
import struct
import zlib
from pathlib import Path

from google.protobuf.message import DecodeError

from agatethread.observability import Event, make_logger
from agatethread.wire.registry_pb2 import BackendRun, Delta

_CHECKSUM = struct.Struct("!I")
_FILE = "registry"

log = make_logger("registry")


def save_runs(folder: str, runs: list[BackendRun]) -> None:
    """Write the runs, synced: this takes as long as the disk takes.

    Parameters
    ----------
    folder : str
        The data folder.
    runs : list of BackendRun
        What is known.

    Raises
    ------
    OSError
        If they could not be written; the older file stays.
    """
    payload = Delta(runs=runs).SerializeToString()
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


def load_runs(folder: str) -> list[BackendRun]:
    """Read the runs.

    Parameters
    ----------
    folder : str
        The data folder.

    Returns
    -------
    list of BackendRun
        Empty if there is no file, or it is not whole.
    """
    path = Path(folder) / _FILE
    try:
        data = path.read_bytes()
        (checksum,) = _CHECKSUM.unpack_from(data)
        payload = data[_CHECKSUM.size :]
        if zlib.crc32(payload) != checksum:
            log.warning(Event.HINTS_DAMAGED, path=str(path))
            return []
        return list(Delta.FromString(payload).runs)
    except FileNotFoundError:
        return []
    except (OSError, struct.error, DecodeError) as error:
        log.warning(Event.HINTS_NOT_READ, error=repr(error))
        return []
