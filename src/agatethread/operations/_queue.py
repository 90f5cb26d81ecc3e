"""Admission of one service's requests to its backend servers' slots."""

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

_FIRST_SERVICE_TIME_S = 0.02
_SMOOTHING = 0.1
_NO_ENDPOINT_RETRY_S = 1.0
_MOST_RETRY_TOKENS = 20.0
_WAIT_MARGIN = 1.25
_SERVICE_MARGIN = 2.5
#: A backend server is blamed for a timeout of so many usual service times.
_BLAME_FACTOR = 5.0
#: Pause between two looks at what can't be served any more, and more of it for each
#: that waits, so that a long line is not looked through for most of the time.
_LOOK_PAUSE_S = 0.05
_LOOK_EACH_S = 0.000_1


@dataclass(frozen=True, slots=True, eq=False)
class _Waiter:
    """A request that waits for its slot."""

    partner: str
    granted: asyncio.Future[Endpoint]


class ServiceQueue:
    """Slots of one service, given out in turn to its partners.

    The load that this answers: more requests than slots, most of them one partner's, or
    due at very different times. Within a partner's line what is due first goes first;
    what can't be served in time any more is refused at once, with a time to come back
    at which there is room for it.

    Parameters
    ----------
    document : callable
        Returns the service's present document.
    endpoints : callable
        Returns the service's backend servers.
    now_s : callable
        Monotonic clock.
    draw : callable, optional
        Random numbers from 0 to 1.
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
        self._turns: FairQueue[_Waiter] = FairQueue()
        self._retry_schedule = RetrySchedule()
        self._look_at_s = -math.inf
        #: Slots when there were any last, for the return after an outage.
        self._usual_slot_count = 1
        self._service_time_s = _FIRST_SERVICE_TIME_S
        self._retry_tokens = _MOST_RETRY_TOKENS

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._turns)

    async def acquire(
        self, partner: str, deadline_at_s: float, avoid: Endpoint | None
    ) -> Endpoint:
        """Wait for a slot, as long as the deadline can still be met.

        Parameters
        ----------
        partner : str
            Whose request it is; partners take turns.
        deadline_at_s : float
            When the answer is due.
        avoid : Endpoint or None
            Backend server that has just failed this request.

        Returns
        -------
        Endpoint
            The backend server whose slot is now taken.

        Raises
        ------
        RefusedError
            If it can't be served in time.
        """
        if not self.waiting:
            endpoint = self._take_slot(avoid)
            if endpoint is not None:
                return endpoint

        self._check_admissible(partner, deadline_at_s)
        return await self._wait(partner, deadline_at_s)

    def _take_slot(self, avoid: Endpoint | None) -> Endpoint | None:
        now_s = self._now_s()
        ramp_s = self._document().ramp_s
        endpoint = choose_for_request(self._endpoints(), now_s, ramp_s, avoid)
        if endpoint is not None:
            endpoint.in_flight += 1
            endpoint.last_used_s = now_s
        return endpoint

    def _slot_count(self) -> int:
        count = sum(
            endpoint.slots for endpoint in self._endpoints() if endpoint.takes_new_work
        )
        self._usual_slot_count = count or self._usual_slot_count
        return count

    def expected_wait_s(self) -> float:
        """Estimate how long a request that comes now would wait for its slot.

        Returns
        -------
        float
            Seconds; infinity when there is no slot at all.
        """
        return self._wait_behind_s(self.waiting)

    def _wait_behind_s(self, ahead_count: int) -> float:
        slots = self._slot_count()
        if not slots:
            return math.inf
        return (ahead_count + 1) * self._service_time_s / slots

    @property
    def _time_to_serve_s(self) -> float:
        # A start that leaves only the usual time would miss half of its deadlines,
        # and what misses its deadline has used its slot for nothing.
        return _SERVICE_MARGIN * self._service_time_s

    def _check_admissible(self, partner: str, deadline_at_s: float) -> None:
        wait_s = self._wait_behind_s(self._turns.count_ahead(partner, deadline_at_s))
        if wait_s == math.inf:
            raise self._refusal(Reason.NO_ENDPOINT, partner)

        done_at_s = self._now_s() + _WAIT_MARGIN * wait_s + self._time_to_serve_s
        if done_at_s > deadline_at_s:
            raise self._refusal(Reason.DEADLINE, partner)
        if self.waiting >= self._document().queue_limit_count:
            self._make_room(partner)

    def _make_room(self, partner: str) -> None:
        """Refuse the last of whoever fills the queue, or else the one that comes."""
        displaced = self._turns.evict_last_of_longest(partner)
        if displaced is None:
            raise self._refusal(Reason.OVERLOADED, partner)
        self._refuse(displaced, Reason.OVERLOADED)

    def _refusal(self, reason: int, partner: str) -> RefusedError:
        """Make a refusal that names the time at which there is room."""
        wait_s = self._wait_behind_s(self._turns.count_ahead(partner, math.inf))
        if wait_s == math.inf:
            wait_s = _NO_ENDPOINT_RETRY_S
        turn_s = self._service_time_s / self._usual_slot_count
        booked_s = self._retry_schedule.book(partner, wait_s, turn_s, self._now_s())
        urgency = self._document().urgency
        retry_after_s = choose_retry_after_s(booked_s, urgency, self._draw())
        return RefusedError(reason, retry_after_s)

    def _refuse(self, waiter: _Waiter, reason: int) -> None:
        if not waiter.granted.done():
            waiter.granted.set_exception(self._refusal(reason, waiter.partner))

    async def _wait(self, partner: str, deadline_at_s: float) -> Endpoint:
        granted: asyncio.Future[Endpoint] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(partner, granted)
        self._turns.push(partner, waiter, deadline_at_s)
        latest_start_s = deadline_at_s - self._time_to_serve_s
        try:
            return await asyncio.wait_for(granted, latest_start_s - self._now_s())
        except TimeoutError:
            self._turns.discard(waiter)
            raise self._refusal(Reason.DEADLINE, partner) from None
        finally:
            self._turns.discard(waiter)

    def release(self, endpoint: Endpoint, service_time_s: float | None) -> None:
        """Give a slot back.

        Parameters
        ----------
        endpoint : Endpoint
            Its backend server.
        service_time_s : float or None
            How long the request took, if it was answered.
        """
        endpoint.in_flight -= 1
        if service_time_s is not None:
            change_s = service_time_s - self._service_time_s
            self._service_time_s += _SMOOTHING * change_s
        self.pump()

    def pump(self) -> None:
        """Give free slots to those who wait, and refuse those who wait in vain."""
        while self.waiting:
            endpoint = self._take_slot(None)
            if endpoint is None:
                break
            if not self._grant_next(endpoint):
                endpoint.in_flight -= 1
                break
        self._refuse_hopeless()

    def _grant_next(self, endpoint: Endpoint) -> bool:
        while (waiter := self._turns.pop()) is not None:
            if not waiter.granted.done():
                waiter.granted.set_result(endpoint)
                return True
        return False

    def _refuse_hopeless(self) -> None:
        now_s, slots = self._now_s(), self._slot_count()
        if not self.waiting or not slots or now_s < self._look_at_s:
            return
        self._look_at_s = now_s + _LOOK_PAUSE_S + _LOOK_EACH_S * self.waiting
        # A wait turns out shorter about as often as longer: the margin of admission is
        # given here the other way.
        turn_s = self._service_time_s / slots / _WAIT_MARGIN
        first_s = now_s + turn_s + self._time_to_serve_s
        for waiter in self._turns.pop_unservable(first_s, turn_s):
            self._refuse(waiter, Reason.DEADLINE)

    def is_patient(self, waited_s: float) -> bool:
        """Tell whether an attempt that timed out had ample time.

        Parameters
        ----------
        waited_s : float
            How long it was given.

        Returns
        -------
        bool
            False if a healthy backend server might not have made it either.
        """
        return waited_s > _BLAME_FACTOR * self._service_time_s

    def refuse_all(self, reason: int) -> None:
        """Refuse everything that waits.

        Parameters
        ----------
        reason : int
            A `Reason`.
        """
        for waiter in self._turns.pop_all():
            if not waiter.granted.done():
                waiter.granted.set_exception(RefusedError(reason, 0.0))

    def earn_retry(self) -> None:
        """Add one request's share to the retry budget."""
        share = self._document().retry_ratio
        self._retry_tokens = min(_MOST_RETRY_TOKENS, self._retry_tokens + share)

    def spend_retry(self) -> bool:
        """Take one retry from the budget.

        Returns
        -------
        bool
            Whether there was one.
        """
        if self._retry_tokens < 1:
            return False
        self._retry_tokens -= 1
        return True
