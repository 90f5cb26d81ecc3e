"""Request processing: admission, at-most-once dispatch and verdicts."""

from agatethread.operations._claim_requests import ClaimRequester
from agatethread.operations._claims import StandbyClaims
from agatethread.operations._owner import OperationOwner
from agatethread.operations._queue import ServiceQueue
from agatethread.operations._records import (
    InstanceCallbacks,
    Operation,
    RefusedError,
    make_refused_verdict,
    make_unknown_verdict,
)

__all__ = [
    "ClaimRequester",
    "InstanceCallbacks",
    "Operation",
    "OperationOwner",
    "RefusedError",
    "ServiceQueue",
    "StandbyClaims",
    "make_refused_verdict",
    "make_unknown_verdict",
]
