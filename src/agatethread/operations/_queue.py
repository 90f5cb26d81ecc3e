"""Admission of one service's requests to its backend servers' slots."""

import asyncio
import math
from collections import deque
from collections.abc import Callable

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


class ServiceQueue:
    """Slots of one service, given out in turn to its partners.

    Parameters
    ----------
    document : callable
        Returns the service's present document.
    endpoints : callable
        Returns the service's backend servers.
    now_s : callable
        Monotonic clock.
    """

    def __init__(
        self,
        document: Callable[[], ServiceDocument],
        endpoints: Callable[[], list[Endpoint]],
        now_s: Callable[[], float],
    ):
        self._document = document
        self._endpoints = endpoints
        self._now_s = now_s
        self._by_partner: dict[str, deque[asyncio.Future[Endpoint]]] = {}
        self.waiting = 0
        self._service_time_s = _FIRST_SERVICE_TIME_S
        self._retry_tokens = _MOST_RETRY_TOKENS

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

        self._check_admissible(deadline_at_s)
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
        return sum(
            endpoint.slots for endpoint in self._endpoints() if endpoint.takes_new_work
        )

    def expected_wait_s(self) -> float:
        """Estimate how long a request that comes now would wait for its slot.

        Returns
        -------
        float
            Seconds; infinity when there is no slot at all.
        """
        slots = self._slot_count()
        if not slots:
            return math.inf
        return (self.waiting + 1) * self._service_time_s / slots

    @property
    def _time_to_serve_s(self) -> float:
        # A start that leaves only the usual time would miss half of its deadlines,
        # and what misses its deadline has used its slot for nothing.
        return _SERVICE_MARGIN * self._service_time_s

    def _check_admissible(self, deadline_at_s: float) -> None:
        wait_s = self.expected_wait_s()
        if wait_s == math.inf:
            raise RefusedError(Reason.NO_ENDPOINT, _NO_ENDPOINT_RETRY_S)
        if self.waiting >= self._document().queue_limit_count:
            raise RefusedError(Reason.OVERLOADED, wait_s)

        done_at_s = self._now_s() + _WAIT_MARGIN * wait_s + self._time_to_serve_s
        if done_at_s > deadline_at_s:
            raise RefusedError(Reason.DEADLINE, wait_s)

    async def _wait(self, partner: str, deadline_at_s: float) -> Endpoint:
        granted: asyncio.Future[Endpoint] = asyncio.get_running_loop().create_future()
        self._by_partner.setdefault(partner, deque()).append(granted)
        self.waiting += 1
        latest_start_s = deadline_at_s - self._time_to_serve_s
        try:
            return await asyncio.wait_for(granted, latest_start_s - self._now_s())
        except TimeoutError:
            raise RefusedError(Reason.DEADLINE, self._retry_after_s()) from None
        finally:
            self._leave(partner, granted)

    def _leave(self, partner: str, granted: asyncio.Future[Endpoint]) -> None:
        if granted.done() and not granted.cancelled():
            return
        line = self._by_partner.get(partner)
        if line is not None and granted in line:
            line.remove(granted)
            self.waiting -= 1

    def _retry_after_s(self) -> float:
        return min(self.expected_wait_s(), _NO_ENDPOINT_RETRY_S)

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
        """Give free slots to those who wait, one partner after the other."""
        while self.waiting:
            endpoint = self._take_slot(None)
            if endpoint is None:
                return
            if not self._grant_next(endpoint):
                endpoint.in_flight -= 1
                return

    def _grant_next(self, endpoint: Endpoint) -> bool:
        for partner in list(self._by_partner):
            line = self._by_partner.pop(partner)
            while line:
                granted = line.popleft()
                self.waiting -= 1
                if granted.done():
                    continue
                if line:
                    self._by_partner[partner] = line
                granted.set_result(endpoint)
                return True
        return False

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
        for line in self._by_partner.values():
            for granted in line:
                if not granted.done():
                    granted.set_exception(RefusedError(reason, 0.0))
        self._by_partner.clear()
        self.waiting = 0

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
