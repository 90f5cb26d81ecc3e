"""Request processing: admission, at-most-once dispatch and verdicts.

An operation is one request of a caller with all its copies. A sealed token in its id
names two instances: the owner runs the operation, and the standby answers the caller if
the owner ends. Before each attempt of an operation that is not idempotent, the owner
requests a claim (permission) from the standby. The verdict is the final message to the
caller: an answer, a refusal, or that it is unknown whether the operation ran.
"""

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
