"""State of a request that waits for its verdict, and the error for a verdict."""

import asyncio

from agatethread.exceptions import (
    AgatethreadError,
    OperationRefusedError,
    OperationUnknownError,
)
from agatethread.wire import MAX_PAYLOAD_BYTES, Envelope, Kind, Reason

#: Consecutive UNREACHABLE replies after which the outcome counts as unknown.
_UNREACHABLE_LIMIT_COUNT = 8
#: Replies of this kind within this interval count once; each fragment may cause one.
_UNREACHABLE_INTERVAL_S = 0.004
#: UNREACHABLE replies are ignored for this long after a reply of the owner.
_OWNER_REPLY_VALID_S = 0.5
#: Delay before a retry of an idempotent request with an unknown outcome.
_UNKNOWN_RETRY_DELAY_S = 0.05


class PendingRequest:
    """State of a request in progress.

    Parameters
    ----------
    request : Envelope
        The request.
    """

    def __init__(self, request: Envelope) -> None:
        self.service = request.service
        # A small idempotent request is retried after the first UNREACHABLE reply,
        # with a new token.
        is_small = len(request.payload) <= MAX_PAYLOAD_BYTES
        self.may_retry_at_once = request.idempotent and is_small
        self.verdict = asyncio.get_running_loop().create_future()
        self.accepted = asyncio.Event()
        self.changed = asyncio.Event()
        self.unreachable_count = 0
        self.last_unreachable_s = 0.0
        self.last_owner_reply_s = 0.0

    def on_owner_reply(self) -> None:
        """Record that the owner has received at least a fragment of the request."""
        self.last_owner_reply_s = asyncio.get_running_loop().time()
        self.unreachable_count = 0

    def on_unreachable(self, token: bytes) -> None:
        """Record that an instance reaches no member that may handle the request.

        Parameters
        ----------
        token : bytes
            Token for the next attempt.
        """
        now_s = asyncio.get_running_loop().time()
        is_repeated = now_s - self.last_unreachable_s < _UNREACHABLE_INTERVAL_S
        if is_repeated or now_s - self.last_owner_reply_s < _OWNER_REPLY_VALID_S:
            return
        self.last_unreachable_s = now_s
        self.unreachable_count += 1
        self.changed.set()
        is_final = (
            self.may_retry_at_once or self.unreachable_count >= _UNREACHABLE_LIMIT_COUNT
        )
        if is_final and not self.verdict.done():
            verdict = Envelope(kind=Kind.UNKNOWN, reason=Reason.HOME_LOST, token=token)
            self.verdict.set_result(verdict)


def get_retry_delay_s(verdict: Envelope) -> float | None:
    """Return the delay before the client retries a request.

    Parameters
    ----------
    verdict : Envelope
        Refused or unknown.

    Returns
    -------
    float or None
        Seconds, or None if the client does not retry.
    """
    if verdict.kind == Kind.UNKNOWN:
        return _UNKNOWN_RETRY_DELAY_S
    return verdict.retry_after_ms / 1000 if verdict.reason == Reason.MOVED else None


def make_error(verdict: Envelope, may_have_run: bool) -> AgatethreadError:
    """Return the exception for a verdict.

    Parameters
    ----------
    verdict : Envelope
        Refused or unknown.
    may_have_run : bool
        Whether this or an earlier attempt may have run.

    Returns
    -------
    AgatethreadError
        Exception to raise.
    """
    reason = Reason.Name(verdict.reason)
    if may_have_run:
        return OperationUnknownError(reason)
    return OperationRefusedError(reason, verdict.retry_after_ms / 1000)
