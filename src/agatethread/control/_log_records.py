"""Encodes the records of the control log's files, with checksums.

A record is a header (length, CRC-32 of the payload, CRC-32 of these two fields) and the
payload.
"""

import struct
import zlib

_HEADER_FIELDS = struct.Struct("!II")
_CHECKSUM = struct.Struct("!I")
HEADER_BYTES = _HEADER_FIELDS.size + _CHECKSUM.size


def encode_record(payload: bytes) -> bytes:
    """Return a record.

    Parameters
    ----------
    payload : bytes
        Content of the record.

    Returns
    -------
    bytes
        Header and payload.
    """
    fields = _HEADER_FIELDS.pack(len(payload), zlib.crc32(payload))
    return fields + _CHECKSUM.pack(zlib.crc32(fields)) + payload


def decode_record(data: bytes, offset: int) -> bytes | None:
    """Return the payload of a record.

    Parameters
    ----------
    data : bytes
        Content of a file.
    offset : int
        Start of the record.

    Returns
    -------
    bytes or None
        None if the record is incomplete or corrupt.
    """
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


def is_torn(data: bytes, offset: int) -> bool:
    """Return whether a corrupt record is the last one in the file.

    Parameters
    ----------
    data : bytes
        Content of the file.
    offset : int
        Start of the record.

    Returns
    -------
    bool
        Whether its write was interrupted, rather than the record damaged later.
    """
    start = offset + HEADER_BYTES
    if start > len(data):
        return True
    header = _read_header(data, offset)
    if header is None:
        # After a crash the end of the file may be zeros.
        return not any(data[offset:])
    return start + header[0] >= len(data)


def _read_header(data: bytes, offset: int) -> tuple[int, int] | None:
    """Return length and checksum of a header, or None if it is corrupt."""
    fields = data[offset : offset + _HEADER_FIELDS.size]
    (expected,) = _CHECKSUM.unpack_from(data, offset + _HEADER_FIELDS.size)
    return _HEADER_FIELDS.unpack(fields) if zlib.crc32(fields) == expected else None
