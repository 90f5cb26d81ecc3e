"""Split messages into fragments and reassemble them."""

from agatethread.transfer._assembler import Assembler, PartialMessage
from agatethread.transfer._outbox import FragmentSender
from agatethread.transfer._splitting import (
    FRAGMENT_BYTES,
    MAX_MESSAGE_BYTES,
    split_datagram,
    split_message,
)

__all__ = [
    "FRAGMENT_BYTES",
    "MAX_MESSAGE_BYTES",
    "Assembler",
    "FragmentSender",
    "PartialMessage",
    "split_datagram",
    "split_message",
]
