"""Encodes packets and sends calls as the platform's callers and servers do."""

import asyncio
import json
import struct
from dataclasses import dataclass
from ipaddress import IPv4Address

from agatethread.settings import parse_address

#: Fields: label, source, source port, destination port, destination, flags, pad,
#: length, sum, sequence, acknowledged.
_HEADER = struct.Struct("!IIHHIBBHIII")
_RUN_NUMBER = struct.Struct("!Q")
SYN, RST, ACK, FIN = 1, 8, 16, 32
_CALL_TIMEOUT_S = 1.0
_MAX_REDIRECTS = 2


@dataclass(frozen=True, slots=True)
class Segment:
    """A decoded packet."""

    label: int
    source: tuple[int, int]
    target: tuple[int, int]
    flags: int
    sequence: int
    acknowledged: int
    payload: bytes


def encode(segment: Segment) -> bytes:
    """Encode a packet, without a checksum."""
    return (
        _HEADER.pack(
            segment.label,
            segment.source[0],
            segment.source[1],
            segment.target[1],
            segment.target[0],
            segment.flags,
            0,
            len(segment.payload),
            0,
            segment.sequence,
            segment.acknowledged,
        )
        + segment.payload
    )


def decode(data: bytes) -> Segment:
    """Decode a packet."""
    label, src, sport, dport, dst, flags, _, _, _, seq, ack = _HEADER.unpack_from(data)
    payload = data[_HEADER.size :]
    return Segment(label, (src, sport), (dst, dport), flags, seq, ack, payload)


def decode_for_run(data: bytes) -> tuple[int, Segment]:
    """Decode a datagram to a backend server: the number of its run and the packet."""
    return _RUN_NUMBER.unpack_from(data)[0], decode(data[_RUN_NUMBER.size :])


def host_number(host: str) -> int:
    """Return an IPv4 address as the integer that packets carry."""
    return int(IPv4Address(host))


@dataclass(frozen=True, slots=True)
class Reply:
    """The reply to a call; status 0 if there was none."""

    status: int
    body: bytes = b""


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = _CALL_TIMEOUT_S,
) -> Reply:
    """Send a call, following redirects.

    Parameters
    ----------
    address : str
        ``IP:port``.
    method, path : str
        Method and path of the call.
    body : bytes, optional
        JSON body.
    timeout_s : float, optional
        Timeout of each call.

    Returns
    -------
    Reply
        The reply, with status 0 after an error or a timeout.
    """
    for _ in range(_MAX_REDIRECTS + 1):
        try:
            coroutine = _call_once(address, method, path, body)
            status, headers, answer = await asyncio.wait_for(coroutine, timeout_s)
        except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
            return Reply(0)
        if status != 307:
            return Reply(status, answer)
        address = headers["location"].removeprefix("http://").split("/")[0]
    return Reply(0)


async def _call_once(
    address: str, method: str, path: str, body: bytes
) -> tuple[int, dict[str, str], bytes]:
    host, port = parse_address(address)
    reader, writer = await asyncio.open_connection(host, port)
    try:
        head = (
            f"{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n"
            f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        raw_head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *rows = raw_head.strip().split("\r\n")
        pairs = (row.partition(":") for row in rows)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        answer = await reader.readexactly(int(headers.get("content-length", "0")))
        return int(status_line.split()[1]), headers, answer
    finally:
        writer.close()


def encode_json(data: dict) -> bytes:
    """Encode a JSON body."""
    return json.dumps(data).encode()
