"""A request that waits for its verdict, and what a verdict means for its caller."""

import asyncio

from agatethread.exceptions import (
    AgatethreadError,
    OperationRefusedError,
    OperationUnknownError,
)
from agatethread.wire import MAX_PAYLOAD_BYTES, Envelope, Kind, Reason

#: So many instances in a row that reach neither owner nor standby settle it.
_MOST_UNREACHABLE = 8
#: Hints closer together than this count once: many fragments bring many.
_HINT_INTERVAL_S = 0.004
#: After a sign of life of the owner no hint counts for a while.
_HEARD_LATELY_S = 0.5
#: Pause before an idempotent request with an unknown outcome is sent anew.
_UNKNOWN_RETRY_S = 0.05


class Waiting:
    """A request in progress.

    Parameters
    ----------
    request : Envelope
        The request.
    """

    def __init__(self, request: Envelope) -> None:
        self.service = request.service
        # One datagram that may run twice is best sent anew under another token.
        is_small = len(request.payload) <= MAX_PAYLOAD_BYTES
        self.may_restart = request.idempotent and is_small
        self.verdict = asyncio.get_running_loop().create_future()
        self.accepted = asyncio.Event()
        self.news = asyncio.Event()
        self.unreachable_count = 0
        self.unreachable_s = 0.0
        self.heard_s = 0.0

    def on_sign_of_life(self) -> None:
        """Note that the owner has it, or part of it."""
        self.heard_s = asyncio.get_running_loop().time()
        self.unreachable_count = 0

    def on_unreachable(self, token: bytes) -> None:
        """Note that an instance reaches nobody who may decide.

        Parameters
        ----------
        token : bytes
            Token for the next try.
        """
        now_s = asyncio.get_running_loop().time()
        recent = now_s - self.unreachable_s < _HINT_INTERVAL_S
        if recent or now_s - self.heard_s < _HEARD_LATELY_S:
            return
        self.unreachable_s = now_s
        self.unreachable_count += 1
        self.news.set()
        enough = self.may_restart or self.unreachable_count >= _MOST_UNREACHABLE
        if enough and not self.verdict.done():
            verdict = Envelope(kind=Kind.UNKNOWN, reason=Reason.HOME_LOST, token=token)
            self.verdict.set_result(verdict)


def pause_s(verdict: Envelope) -> float | None:
    """Tell when a request is sent anew.

    Parameters
    ----------
    verdict : Envelope
        Refused or unknown.

    Returns
    -------
    float or None
        Seconds until then, or None if the caller must decide.
    """
    if verdict.kind == Kind.UNKNOWN:
        return _UNKNOWN_RETRY_S
    return verdict.retry_after_ms / 1000 if verdict.reason == Reason.MOVED else None


def failure(verdict: Envelope, may_have_run: bool) -> AgatethreadError:
    """Make the error that a verdict is raised as.

    Parameters
    ----------
    verdict : Envelope
        Refused or unknown.
    may_have_run : bool
        Whether this or an earlier try may have run.

    Returns
    -------
    AgatethreadError
        The error.
    """
    reason = Reason.Name(verdict.reason)
    if may_have_run:
        return OperationUnknownError(reason)
    return OperationRefusedError(reason, verdict.retry_after_ms / 1000)
