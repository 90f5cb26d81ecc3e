"""Sends and receives registry messages over one datagram socket.

Messages may be lost or reordered. Senders repeat them until they are acknowledged, or
at a fixed interval.
"""

from collections.abc import Callable

from google.protobuf.message import DecodeError

from agatethread.exceptions import DatagramError
from agatethread.observability import Counters
from agatethread.registry._traffic import TrafficCounter, name_purpose
from agatethread.sockets import (
    MAX_RECEIVE_BYTES,
    close_socket,
    make_reader,
    make_sender,
    open_socket,
    start_reading,
)
from agatethread.wire import pack_address, unpack_address
from agatethread.wire.registry_pb2 import RegistryMessage

Handler = Callable[[RegistryMessage, bytes], None]


def decode_message(data: bytes) -> RegistryMessage:
    """Return the message that a datagram holds.

    Parameters
    ----------
    data : bytes
        The datagram.

    Returns
    -------
    RegistryMessage
        The message, which has a body.

    Raises
    ------
    DatagramError
        If the datagram holds no registry message, or an empty one.
    """
    try:
        message = RegistryMessage.FromString(data)
    except DecodeError:
        raise DatagramError("not a registry message") from None
    if message.WhichOneof("body") is None:
        raise DatagramError("empty registry message")
    return message


class RegistryTransport:
    """Sends and receives registry messages.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on.
    counters : Counters
        Counts sent messages and unreadable ones.
    failure_domain : str
        Of this process.
    """

    def __init__(self, address: str, counters: Counters, failure_domain: str):
        self._socket = open_socket(address)
        self._counters = counters
        self._traffic = TrafficCounter(failure_domain, counters)
        self._send = make_sender(self._socket, counters)
        #: Serialized once if it is sent to several receivers in turn; callers must not
        #: change a message after sending it.
        self._last_message: RegistryMessage | None = None
        self._last_data = b""
        self._last_purpose = ""

    def start(self, handler: Handler) -> None:
        """Start receiving messages.

        Parameters
        ----------
        handler : callable
            Called with each message and the packed address of its sender.
        """

        def on_datagram(data: bytes, source: tuple[str, int]) -> None:
            message, sender = decode_message(data), pack_address(source)
            self._traffic.store_receiver_kinds(message, sender)
            handler(message, sender)

        # The lists of some messages grow with the fleet.
        reader = make_reader(
            self._socket, on_datagram, self._counters, MAX_RECEIVE_BYTES
        )
        start_reading(self._socket, reader)

    def send(self, message: RegistryMessage, address: bytes) -> None:
        """Send a message.

        Parameters
        ----------
        message : RegistryMessage
            The message.
        address : bytes
            Packed address of the receiver.
        """
        if message is not self._last_message:
            self._last_message = message
            self._last_data = message.SerializeToString()
            self._last_purpose = name_purpose(message)
        data = self._last_data
        self._counters["registry_bytes_sent"] += len(data)
        self._traffic.count(self._last_purpose, len(data), address)
        self._send(data, unpack_address(address))

    def close(self) -> None:
        """Stop reading and close the socket."""
        close_socket(self._socket)
