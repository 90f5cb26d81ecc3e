"""Authentication of short values with keyed BLAKE2b (RFC 7693)."""

import hmac
from hashlib import blake2b
from pathlib import Path

from agatethread.exceptions import SealError

SEAL_BYTES = 8
_SIGNATURE_BYTES = 16
_MIN_KEY_BYTES = 16
_MAX_KEY_BYTES = 64


class Sealer:
    """Seals values with the first key and verifies them with any of its keys.

    Parameters
    ----------
    keys : list of bytes
        Keys of 16 to 64 bytes; the first one seals.

    Raises
    ------
    SealError
        If there is no key or a key has a wrong length.
    """

    def __init__(self, keys: list[bytes]):
        if not keys:
            raise SealError("no key")
        for key in keys:
            if not _MIN_KEY_BYTES <= len(key) <= _MAX_KEY_BYTES:
                raise SealError("a key must have 16 to 64 bytes")

        self.keys = tuple(keys)

    def seal(self, kind: bytes, body: bytes) -> bytes:
        """Append an authentication code to a value.

        Parameters
        ----------
        kind : bytes
            Kind of the value; a seal is valid for one kind only.
        body : bytes
            The value.

        Returns
        -------
        bytes
            The value followed by its code.
        """
        return body + _authentication_code(self.keys[0], kind, body, SEAL_BYTES)

    def open(self, kind: bytes, sealed: bytes) -> bytes:
        """Verify a sealed value and return it without its code.

        Parameters
        ----------
        kind : bytes
            Kind that was passed to `seal`.
        sealed : bytes
            The sealed value.

        Returns
        -------
        bytes
            The value.

        Raises
        ------
        SealError
            If none of the keys sealed the value.
        """
        body, code = sealed[:-SEAL_BYTES], sealed[-SEAL_BYTES:]
        for key in self.keys:
            expected = _authentication_code(key, kind, body, SEAL_BYTES)
            if hmac.compare_digest(code, expected):
                return body
        raise SealError(f"not sealed with a known key: {kind.decode()}")


def _authentication_code(
    key: bytes, kind: bytes, body: bytes, size_bytes: int
) -> bytes:
    return blake2b(body, digest_size=size_bytes, key=key, person=kind).digest()


def load_sealer(path: str) -> Sealer:
    """Read seal keys from a file with one hexadecimal key on each line.

    Parameters
    ----------
    path : str
        Path of the file; its first key seals.

    Returns
    -------
    Sealer
        A sealer with the keys of the file.

    Raises
    ------
    SealError
        If the file can't be read, or holds no key or an invalid one.
    """
    try:
        lines = Path(path).read_text(encoding="ascii").split()
        keys = [bytes.fromhex(line) for line in lines]
    except (OSError, ValueError) as error:
        raise SealError(f"{path}: {error}") from None
    return Sealer(keys)


def sign(key: bytes, body: bytes) -> bytes:
    """Return the authentication code of a backend server's announcement.

    Parameters
    ----------
    key : bytes
        The announcement key.
    body : bytes
        The announcement, serialized without its code.

    Returns
    -------
    bytes
        The code, of 16 bytes.
    """
    return _authentication_code(key, b"announce", body, _SIGNATURE_BYTES)


def verify_signature(key: bytes, body: bytes, code: bytes) -> None:
    """Verify the authentication code of an announcement.

    Parameters
    ----------
    key, body : bytes
        Key and announcement, as for `sign`.
    code : bytes
        The code to verify.

    Raises
    ------
    SealError
        If the code is wrong.
    """
    if not hmac.compare_digest(sign(key, body), code):
        raise SealError("announcement not signed with the announcement key")
