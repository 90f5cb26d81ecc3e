"""Request processing: admission, at-most-once dispatch and verdicts."""

from agatethread.operations._asking import ClaimAsker
from agatethread.operations._claims import ClaimKeeper
from agatethread.operations._owner import OperationOwner
from agatethread.operations._queue import ServiceQueue
from agatethread.operations._records import (
    Operation,
    Ports,
    RefusedError,
    refused,
    unknown,
)

__all__ = [
    "ClaimAsker",
    "ClaimKeeper",
    "Operation",
    "OperationOwner",
    "Ports",
    "RefusedError",
    "ServiceQueue",
    "refused",
    "unknown",
]
