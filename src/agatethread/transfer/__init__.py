"""Split messages into fragments and reassemble them."""

from agatethread.transfer._assembler import Assembler, PartialMessage
from agatethread.transfer._outbox import Outbox
from agatethread.transfer._splitting import (
    FRAGMENT_BYTES,
    MAX_MESSAGE_BYTES,
    split,
    split_datagram,
)

__all__ = [
    "FRAGMENT_BYTES",
    "MAX_MESSAGE_BYTES",
    "Assembler",
    "Outbox",
    "PartialMessage",
    "split",
    "split_datagram",
]
