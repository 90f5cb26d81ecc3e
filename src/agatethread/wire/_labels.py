"""Sealed values that let instances process packets without state for each flow.

A cookie names the backend server of a flow and is echoed by the caller (as in Cheetah,
Barbette et al., NSDI 2020). A return label names the caller and is echoed by the
backend server. A token names the two instances that may decide an operation.
"""

import struct
from dataclasses import dataclass
from functools import lru_cache
from socket import inet_aton, inet_ntoa
from typing import NamedTuple

from xxhash import xxh64_intdigest

from agatethread.exceptions import DatagramError, SealError
from agatethread.wire._seal import SEAL_BYTES, Sealer

_ADDRESS = struct.Struct("!4sH")
_COOKIE = struct.Struct("!6sQQQ")
_MEMBER = struct.Struct("!6sQ")
_TOKEN = struct.Struct("!Q14s14s")
_STREAM_LABEL = struct.Struct("!c6sQQ6s")
_OPERATION_LABEL = struct.Struct("!c6s14s14s16sI")
_STREAM, _OPERATION = b"s", b"o"

NONCE_BYTES = 16
_TOKEN_BYTES = _TOKEN.size + SEAL_BYTES
OPERATION_ID_BYTES = _TOKEN_BYTES + NONCE_BYTES


class MemberRef(NamedTuple):
    """A run of an entry instance, by its inner address and incarnation."""

    address: bytes
    incarnation: int


NO_MEMBER = MemberRef(bytes(6), 0)


@dataclass(frozen=True, slots=True)
class Cookie:
    """Cookie with the backend server of a flow."""

    endpoint: bytes
    incarnation: int
    service: int
    flow_id: int


@dataclass(frozen=True, slots=True)
class StreamLabel:
    """Return label with the caller that gets the replies of a flow."""

    caller: bytes
    service: int
    flow_id: int
    endpoint: bytes


@dataclass(frozen=True, slots=True)
class OperationLabel:
    """Return label with the caller and the deciding instances of an operation."""

    caller: bytes
    owner: MemberRef
    standby: MemberRef
    nonce: bytes
    attempt: int


@dataclass(frozen=True, slots=True)
class Token:
    """Token with the only two instances that may decide an operation."""

    service: int
    owner: MemberRef
    standby: MemberRef


@lru_cache(maxsize=65_536)
def service_hash(name: str) -> int:
    """Return the 64-bit hash of a service name, as used in sealed values.

    Parameters
    ----------
    name : str
        Name of the service.

    Returns
    -------
    int
        The xxHash64 of the name.
    """
    return xxh64_intdigest(name.encode())


@lru_cache(maxsize=65_536)
def pack_address(address: tuple[str, int]) -> bytes:
    """Pack an IPv4 address and a port into 6 bytes.

    Parameters
    ----------
    address : tuple of (str, int)
        Host and port.

    Returns
    -------
    bytes
        The packed address.
    """
    return _ADDRESS.pack(inet_aton(address[0]), address[1])


@lru_cache(maxsize=65_536)
def unpack_address(packed: bytes) -> tuple[str, int]:
    """Unpack an address that `pack_address` returned.

    Parameters
    ----------
    packed : bytes
        The packed address.

    Returns
    -------
    tuple of (str, int)
        Host and port.

    Raises
    ------
    DatagramError
        If the length is wrong.
    """
    if len(packed) != _ADDRESS.size:
        raise DatagramError("an address has 6 bytes")

    host, port = _ADDRESS.unpack(packed)
    return inet_ntoa(host), port


def _open_sized(sealer: Sealer, kind: bytes, sealed: bytes, size: int) -> bytes:
    body = sealer.open(kind, sealed)
    if len(body) != size:
        raise SealError("wrong length")
    return body


def seal_cookie(sealer: Sealer, cookie: Cookie) -> bytes:
    """Seal a cookie.

    Parameters
    ----------
    sealer : Sealer
        Holds the keys.
    cookie : Cookie
        The value to seal.

    Returns
    -------
    bytes
        The sealed cookie, of 38 bytes.
    """
    body = _COOKIE.pack(
        cookie.endpoint, cookie.incarnation, cookie.service, cookie.flow_id
    )
    return sealer.seal(b"cookie", body)


def parse_cookie(sealer: Sealer, sealed: bytes) -> Cookie:
    """Verify and unpack a cookie.

    Parameters
    ----------
    sealer : Sealer
        Holds the keys.
    sealed : bytes
        The sealed cookie that a caller echoed.

    Returns
    -------
    Cookie
        The cookie.

    Raises
    ------
    SealError
        If none of the sealer's keys sealed the value.
    """
    return Cookie(*_COOKIE.unpack(_open_sized(sealer, b"cookie", sealed, _COOKIE.size)))


def seal_stream_label(sealer: Sealer, label: StreamLabel) -> bytes:
    """Seal the return label of a flow.

    Parameters
    ----------
    sealer : Sealer
        Holds the keys.
    label : StreamLabel
        The value to seal.

    Returns
    -------
    bytes
        The sealed label.
    """
    body = _STREAM_LABEL.pack(
        _STREAM, label.caller, label.service, label.flow_id, label.endpoint
    )
    return sealer.seal(b"label", body)


def seal_operation_label(sealer: Sealer, label: OperationLabel) -> bytes:
    """Seal the return label of an operation.

    Parameters
    ----------
    sealer : Sealer
        Holds the keys.
    label : OperationLabel
        The value to seal.

    Returns
    -------
    bytes
        The sealed label.
    """
    body = _OPERATION_LABEL.pack(
        _OPERATION,
        label.caller,
        _MEMBER.pack(*label.owner),
        _MEMBER.pack(*label.standby),
        label.nonce,
        label.attempt,
    )
    return sealer.seal(b"label", body)


def parse_label(sealer: Sealer, sealed: bytes) -> StreamLabel | OperationLabel:
    """Verify and unpack the return label of a flow or an operation.

    Parameters
    ----------
    sealer : Sealer
        Holds the keys.
    sealed : bytes
        The sealed label that a backend server echoed.

    Returns
    -------
    StreamLabel or OperationLabel
        The label.

    Raises
    ------
    SealError
        If none of the sealer's keys sealed the value.
    """
    body = sealer.open(b"label", sealed)
    if len(body) == _STREAM_LABEL.size and body[:1] == _STREAM:
        return StreamLabel(*_STREAM_LABEL.unpack(body)[1:])
    if len(body) != _OPERATION_LABEL.size or body[:1] != _OPERATION:
        raise SealError("wrong length")

    _, caller, owner, standby, nonce, attempt = _OPERATION_LABEL.unpack(body)
    return OperationLabel(
        caller, _unpack_member(owner), _unpack_member(standby), nonce, attempt
    )


def _unpack_member(packed: bytes) -> MemberRef:
    return MemberRef(*_MEMBER.unpack(packed))


def seal_token(sealer: Sealer, token: Token) -> bytes:
    """Seal a token.

    Parameters
    ----------
    sealer : Sealer
        Holds the keys.
    token : Token
        The value to seal.

    Returns
    -------
    bytes
        The sealed token.
    """
    body = _TOKEN.pack(
        token.service, _MEMBER.pack(*token.owner), _MEMBER.pack(*token.standby)
    )
    return sealer.seal(b"token", body)


def parse_token(sealer: Sealer, sealed: bytes) -> Token:
    """Verify and unpack a token.

    Parameters
    ----------
    sealer : Sealer
        Holds the keys.
    sealed : bytes
        The sealed token, which is the first part of an operation id.

    Returns
    -------
    Token
        The token.

    Raises
    ------
    SealError
        If none of the sealer's keys sealed the value.
    """
    body = _open_sized(sealer, b"token", sealed, _TOKEN.size)
    service, owner, standby = _TOKEN.unpack(body)
    return Token(service, _unpack_member(owner), _unpack_member(standby))


def split_operation_id(operation_id: bytes) -> tuple[bytes, bytes]:
    """Split an operation id into its sealed token and its nonce.

    Parameters
    ----------
    operation_id : bytes
        Operation id, chosen by a caller.

    Returns
    -------
    tuple of (bytes, bytes)
        Sealed token and nonce.

    Raises
    ------
    DatagramError
        If the length is wrong.
    """
    if len(operation_id) != OPERATION_ID_BYTES:
        raise DatagramError(f"an operation id has {OPERATION_ID_BYTES} bytes")
    return operation_id[:_TOKEN_BYTES], operation_id[_TOKEN_BYTES:]
