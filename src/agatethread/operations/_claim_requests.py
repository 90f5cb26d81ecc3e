"""Claim requests of an owner to the standby, before each at-most-once dispatch."""

import asyncio

from agatethread.observability import Counters
from agatethread.operations._records import InstanceCallbacks, Operation, RefusedError
from agatethread.routing import Endpoint
from agatethread.wire import Claim, ClaimReply, Peer, Reason

#: Retry time for callers that may retry at once: the shortest that a verdict can carry.
IMMEDIATE_RETRY_S = 0.001
_CLAIM_RESEND_INTERVAL_S = 0.05


class ClaimRequester:
    """Requests claims from standbys and waits for the replies.

    Parameters
    ----------
    callbacks : InstanceCallbacks
        Access to the rest of the instance.
    timeout_s : float
        Maximum time from the first request of a claim to a valid grant.
    counters : Counters
        Counts failed claims.
    """

    def __init__(
        self, callbacks: InstanceCallbacks, timeout_s: float, counters: Counters
    ):
        self._callbacks = callbacks
        self._timeout_s = timeout_s
        self._counters = counters
        self._pending_replies: dict[tuple[bytes, int], asyncio.Future[bool]] = {}

    async def request_claim(self, operation: Operation, endpoint: Endpoint) -> None:
        """Request the claim for an operation's next attempt.

        Parameters
        ----------
        operation : Operation
            The operation; its token names the standby.
        endpoint : Endpoint
            Backend server of the attempt.

        Raises
        ------
        RefusedError
            If the claim is denied or not granted in time.
        """
        started_s = self._callbacks.now_s()
        key = (operation.operation_id, operation.attempt)
        reply = asyncio.get_running_loop().create_future()
        self._pending_replies[key] = reply
        try:
            granted = await self._ask_standby(operation, endpoint, reply, started_s)
        finally:
            del self._pending_replies[key]

        # A grant received after the timeout is not valid: the standby may have deleted
        # the claim.
        elapsed_s = self._callbacks.now_s() - started_s
        if not granted or elapsed_s > self._timeout_s:
            self._counters["claim_failed"] += 1
            raise RefusedError(Reason.MOVED, IMMEDIATE_RETRY_S)

    async def _ask_standby(
        self,
        operation: Operation,
        endpoint: Endpoint,
        reply: asyncio.Future[bool],
        started_s: float,
    ) -> bool:
        while True:
            now_s = self._callbacks.now_s()
            if now_s - started_s >= self._timeout_s:
                return False
            remaining_s = max(0.0, operation.deadline_at_s - now_s)
            claim = Claim(
                operation_id=operation.operation_id,
                caller=operation.caller,
                endpoint=endpoint.address,
                deadline_ms=round(remaining_s * 1000),
                service=operation.service,
                attempt=operation.attempt,
            )
            standby = operation.token.standby.address
            self._callbacks.send_peer(standby, Peer(claim=claim))
            done, _ = await asyncio.wait([reply], timeout=_CLAIM_RESEND_INTERVAL_S)
            if done:
                return reply.result()

    def on_reply(self, reply: ClaimReply) -> None:
        """Handle the standby's reply to a claim.

        Parameters
        ----------
        reply : ClaimReply
            The reply.
        """
        pending_reply = self._pending_replies.get((reply.operation_id, reply.attempt))
        if pending_reply is not None and not pending_reply.done():
            pending_reply.set_result(reply.granted)
