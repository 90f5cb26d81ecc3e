"""Keyed sealing of short values (BLAKE2b, RFC 7693, in its keyed mode)."""

import hmac
from hashlib import blake2b
from pathlib import Path

from agatethread.exceptions import SealError

SEAL_BYTES = 8
_SIGNATURE_BYTES = 16
_MIN_KEY_BYTES = 16
_MAX_KEY_BYTES = 64


class Sealer:
    """Seals values under the newest key and opens them under any of its keys.

    Parameters
    ----------
    keys : list of bytes
        16 to 64 bytes each; the first one seals.

    Raises
    ------
    SealError
        If there is no key or one has a wrong length.
    """

    def __init__(self, keys: list[bytes]):
        if not keys:
            raise SealError("no key")
        for key in keys:
            if not _MIN_KEY_BYTES <= len(key) <= _MAX_KEY_BYTES:
                raise SealError("a key must have 16 to 64 bytes")

        self.keys = tuple(keys)

    def seal(self, kind: bytes, body: bytes) -> bytes:
        """Append a code to a value.

        Parameters
        ----------
        kind : bytes
            What the value is, so that one kind is never taken for another.
        body : bytes
            The value.

        Returns
        -------
        bytes
            The value followed by its code.
        """
        return body + _code(self.keys[0], kind, body, SEAL_BYTES)

    def open(self, kind: bytes, sealed: bytes) -> bytes:
        """Check a sealed value.

        Parameters
        ----------
        kind : bytes
            As given to `seal`.
        sealed : bytes
            What `seal` returned.

        Returns
        -------
        bytes
            The value.

        Raises
        ------
        SealError
            If no key of ours sealed it.
        """
        body, code = sealed[:-SEAL_BYTES], sealed[-SEAL_BYTES:]
        for key in self.keys:
            expected = _code(key, kind, body, SEAL_BYTES)
            if hmac.compare_digest(code, expected):
                return body
        raise SealError(f"not sealed by us: {kind.decode()}")


def _code(key: bytes, kind: bytes, body: bytes, size_bytes: int) -> bytes:
    return blake2b(body, digest_size=size_bytes, key=key, person=kind).digest()


def load_sealer(path: str) -> Sealer:
    """Read the seal keys of a file, one in hexadecimal on each line.

    Parameters
    ----------
    path : str
        The file; its first key seals.

    Returns
    -------
    Sealer
        A sealer over the file's keys.

    Raises
    ------
    SealError
        If the file can't be read or holds no usable key.
    """
    try:
        lines = Path(path).read_text(encoding="ascii").split()
        keys = [bytes.fromhex(line) for line in lines]
    except (OSError, ValueError) as error:
        raise SealError(f"{path}: {error}") from None
    return Sealer(keys)


def sign(key: bytes, body: bytes) -> bytes:
    """Sign a backend server's announcement.

    Parameters
    ----------
    key : bytes
        The announcement key.
    body : bytes
        The announcement, serialized without its code.

    Returns
    -------
    bytes
        16 bytes of keyed BLAKE2b.
    """
    return _code(key, b"announce", body, _SIGNATURE_BYTES)


def verify_signature(key: bytes, body: bytes, code: bytes) -> None:
    """Check an announcement's code.

    Parameters
    ----------
    key, body : bytes
        As for `sign`.
    code : bytes
        The code found.

    Raises
    ------
    SealError
        If the code is wrong.
    """
    if not hmac.compare_digest(sign(key, body), code):
        raise SealError("announcement not signed with the announcement key")
