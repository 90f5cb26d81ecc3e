"""Admission queue of a service's requests for slots of its backend servers."""

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from agatethread.balancing import FairQueue, RetrySchedule, choose_retry_after_s
from agatethread.operations._records import RefusedError
from agatethread.routing import Endpoint, choose_for_request
from agatethread.settings import ServiceDocument
from agatethread.wire import Reason

#: Estimate of the usual service time before the first answer.
_INITIAL_SERVICE_TIME_S = 0.02
#: Weight of a new service time in the estimate.
_SERVICE_TIME_SMOOTHING = 0.1
_NO_ENDPOINT_RETRY_AFTER_S = 1.0
#: Maximum retry budget; a retry takes one token.
_MAX_RETRY_TOKENS = 20.0
#: Factors on the expected wait and the usual service time, so that few requests that
#: are admitted miss their deadline.
_WAIT_MARGIN_FACTOR = 1.25
_SERVICE_TIME_FACTOR = 2.5
#: A timeout counts as a failure of the backend server if the attempt had more than this
#: multiple of the usual service time.
_AMPLE_TIME_FACTOR = 5.0
#: Interval of checks for requests that can't be served in time. It grows with the
#: number of queued requests, to bound the share of time that checks take.
_CHECK_INTERVAL_S = 0.05
_CHECK_INTERVAL_PER_WAITING_S = 0.000_1


@dataclass(frozen=True, slots=True, eq=False)
class _Waiter:
    """A request that waits for a slot."""

    partner: str
    endpoint_future: asyncio.Future[Endpoint]


class ServiceQueue:
    """Queue for the slots of one service, shared fairly among its partners.

    A partner is the party that a client sends requests for, by the name that it gives.
    Handles more requests than slots, most of them of one partner or due at very
    different times. A partner's requests are served by earliest deadline; requests that
    can't be served in time are refused at once, with a retry time at which there is
    capacity for them.

    Parameters
    ----------
    document : callable
        Returns the service's current document.
    endpoints : callable
        Returns the service's backend servers.
    now_s : callable
        Monotonic clock.
    draw : callable, optional
        Returns random numbers from 0 to 1.
    """

    def __init__(
        self,
        document: Callable[[], ServiceDocument],
        endpoints: Callable[[], list[Endpoint]],
        now_s: Callable[[], float],
        draw: Callable[[], float] = random.random,
    ):
        self._document = document
        self._endpoints = endpoints
        self._now_s = now_s
        self._draw = draw
        self._waiters: FairQueue[_Waiter] = FairQueue()
        self._retry_schedule = RetrySchedule()
        self._next_check_s = -math.inf
        #: Number of slots when there last were any, for retry times during an outage.
        self._last_nonzero_slot_count = 1
        self._service_time_s = _INITIAL_SERVICE_TIME_S
        self._retry_tokens = _MAX_RETRY_TOKENS

    @property
    def waiting_count(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiters)

    async def acquire(
        self, partner: str, deadline_at_s: float, avoid: Endpoint | None
    ) -> Endpoint:
        """Wait for a slot while the deadline can be met, and return its backend server.

        Parameters
        ----------
        partner : str
            Partner that sent the request; partners take turns.
        deadline_at_s : float
            Time at which the answer is due.
        avoid : Endpoint or None
            Backend server that has just failed this request; ignored if the request is
            queued.

        Returns
        -------
        Endpoint
            The backend server with the slot reserved.

        Raises
        ------
        RefusedError
            If the request can't be served in time.
        """
        if not self.waiting_count:
            endpoint = self._reserve_slot(avoid)
            if endpoint is not None:
                return endpoint

        self._admit_or_refuse(partner, deadline_at_s)
        return await self._wait(partner, deadline_at_s)

    def _reserve_slot(self, avoid: Endpoint | None) -> Endpoint | None:
        now_s = self._now_s()
        ramp_s = self._document().ramp_s
        endpoint = choose_for_request(self._endpoints(), now_s, ramp_s, avoid)
        if endpoint is not None:
            endpoint.in_flight += 1
            endpoint.last_used_s = now_s
        return endpoint

    def _update_slot_count(self) -> int:
        count = sum(
            endpoint.slots for endpoint in self._endpoints() if endpoint.takes_new_work
        )
        self._last_nonzero_slot_count = count or self._last_nonzero_slot_count
        return count

    def expected_wait_s(self) -> float:
        """Return the expected wait of a new request for a slot.

        Returns
        -------
        float
            Seconds; infinity if there are no slots.
        """
        return self._wait_behind_s(self.waiting_count)

    def _wait_behind_s(self, ahead_count: int) -> float:
        slot_count = self._update_slot_count()
        if not slot_count:
            return math.inf
        return (ahead_count + 1) * self._service_time_s / slot_count

    @property
    def _time_to_serve_s(self) -> float:
        # Leaves a margin over the usual service time, since a request that misses its
        # deadline has wasted a slot.
        return _SERVICE_TIME_FACTOR * self._service_time_s

    def _admit_or_refuse(self, partner: str, deadline_at_s: float) -> None:
        """Refuse a request that would be late; make room for it in a full queue."""
        wait_s = self._wait_behind_s(self._waiters.count_ahead(partner, deadline_at_s))
        if wait_s == math.inf:
            raise self._refusal(Reason.NO_ENDPOINT, partner)

        done_at_s = self._now_s() + _WAIT_MARGIN_FACTOR * wait_s + self._time_to_serve_s
        if done_at_s > deadline_at_s:
            raise self._refusal(Reason.DEADLINE, partner)
        if self.waiting_count >= self._document().queue_limit_count:
            self._make_room(partner)

    def _make_room(self, partner: str) -> None:
        """Refuse the last request of the longest queue, or else the new request."""
        evicted = self._waiters.evict_last_of_longest(partner)
        if evicted is None:
            raise self._refusal(Reason.OVERLOADED, partner)
        self._refuse(evicted, Reason.OVERLOADED)

    def _refusal(self, reason: int, partner: str) -> RefusedError:
        """Return a refusal with a retry time at which there is capacity."""
        wait_s = self._wait_behind_s(self._waiters.count_ahead(partner, math.inf))
        if wait_s == math.inf:
            wait_s = _NO_ENDPOINT_RETRY_AFTER_S
        turn_s = self._service_time_s / self._last_nonzero_slot_count
        reserved_wait_s = self._retry_schedule.reserve(
            partner, wait_s, turn_s, self._now_s()
        )
        urgency = self._document().urgency
        retry_after_s = choose_retry_after_s(reserved_wait_s, urgency, self._draw())
        return RefusedError(reason, retry_after_s)

    def _refuse(self, waiter: _Waiter, reason: int) -> None:
        if not waiter.endpoint_future.done():
            waiter.endpoint_future.set_exception(self._refusal(reason, waiter.partner))

    async def _wait(self, partner: str, deadline_at_s: float) -> Endpoint:
        endpoint_future: asyncio.Future[Endpoint] = (
            asyncio.get_running_loop().create_future()
        )
        waiter = _Waiter(partner, endpoint_future)
        self._waiters.push(partner, waiter, deadline_at_s)
        latest_start_s = deadline_at_s - self._time_to_serve_s
        try:
            return await asyncio.wait_for(
                endpoint_future, latest_start_s - self._now_s()
            )
        except TimeoutError:
            self._waiters.discard(waiter)
            raise self._refusal(Reason.DEADLINE, partner) from None
        finally:
            self._waiters.discard(waiter)

    def release(self, endpoint: Endpoint, service_time_s: float | None) -> None:
        """Release a slot.

        Parameters
        ----------
        endpoint : Endpoint
            Backend server of the slot.
        service_time_s : float or None
            Time that the request took, if it was answered.
        """
        endpoint.in_flight -= 1
        if service_time_s is not None:
            difference_s = service_time_s - self._service_time_s
            self._service_time_s += _SERVICE_TIME_SMOOTHING * difference_s
        self.grant_waiting()

    def grant_waiting(self) -> None:
        """Grant free slots to queued requests; refuse those that will be late."""
        while self.waiting_count:
            endpoint = self._reserve_slot(None)
            if endpoint is None:
                break
            if not self._grant_next(endpoint):
                endpoint.in_flight -= 1
                break
        self._refuse_unservable()

    def _grant_next(self, endpoint: Endpoint) -> bool:
        while (waiter := self._waiters.pop()) is not None:
            if not waiter.endpoint_future.done():
                waiter.endpoint_future.set_result(endpoint)
                return True
        return False

    def _refuse_unservable(self) -> None:
        now_s, slot_count = self._now_s(), self._update_slot_count()
        if not self.waiting_count or not slot_count or now_s < self._next_check_s:
            return
        self._next_check_s = (
            now_s
            + _CHECK_INTERVAL_S
            + _CHECK_INTERVAL_PER_WAITING_S * self.waiting_count
        )
        # Applies the admission margin in the opposite direction: a queued request is
        # refused only if even a shorter wait than expected is too long.
        turn_s = self._service_time_s / slot_count / _WAIT_MARGIN_FACTOR
        first_s = now_s + turn_s + self._time_to_serve_s
        for waiter in self._waiters.pop_unservable(first_s, turn_s):
            self._refuse(waiter, Reason.DEADLINE)

    def was_timeout_ample(self, timeout_s: float) -> bool:
        """Return whether the timeout of an attempt left ample time.

        Parameters
        ----------
        timeout_s : float
            Timeout of the attempt.

        Returns
        -------
        bool
            False if a healthy backend server might have timed out as well.
        """
        return timeout_s > _AMPLE_TIME_FACTOR * self._service_time_s

    def refuse_all(self, reason: int) -> None:
        """Refuse all queued requests.

        Parameters
        ----------
        reason : int
            A `Reason`.
        """
        for waiter in self._waiters.pop_all():
            if not waiter.endpoint_future.done():
                waiter.endpoint_future.set_exception(RefusedError(reason, 0.0))

    def add_retry_tokens(self) -> None:
        """Add the tokens of one request (`retry_ratio`) to the retry budget."""
        earned_tokens = self._document().retry_ratio
        self._retry_tokens = min(_MAX_RETRY_TOKENS, self._retry_tokens + earned_tokens)

    def take_retry_token(self) -> bool:
        """Take the token of one retry from the retry budget.

        Returns
        -------
        bool
            Whether the budget had one.
        """
        if self._retry_tokens < 1:
            return False
        self._retry_tokens -= 1
        return True
