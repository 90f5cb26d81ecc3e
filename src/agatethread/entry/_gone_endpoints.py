"""Finds out whether a backend server that is told to be gone still serves.

A backend server announces that it leaves before its process has ended, and a lease may
expire because announcements were lost. Either stops new work; flows are reset and
operations given up only when the server leaves probes unanswered, too.
"""

from collections.abc import Callable
from dataclasses import dataclass

from agatethread.observability import Counters
from agatethread.routing import Endpoint
from agatethread.wire import Envelope, Kind

#: Time between two probes without an answer, and after an answer.
_PROBE_INTERVAL_S = 0.25
_ANSWERED_INTERVAL_S = 1.0
#: Probes in a row whose loss shows that the process has ended.
_MIN_UNANSWERED_COUNT = 4
#: A longer time between two ticks, which come every 0.1 s, means that the process was
#: paused and answers may not have been read.
_MAX_TICK_GAP_S = 0.8


@dataclass(slots=True)
class _Inquiry:
    endpoint: Endpoint
    next_probe_s: float
    unanswered_count: int = 0


class GoneEndpoints:
    """Probes backend servers that are told to be gone.

    Parameters
    ----------
    is_in_sight : callable
        Returns whether a failure domain is in sight; without, a lost probe shows
        nothing.
    send_backend : callable
        Sends a datagram to a backend server's packed address.
    now_s : callable
        Monotonic clock.
    on_exited : callable
        Called with a backend server whose process has ended.
    counters : Counters
        Counts probes and their outcome.
    """

    def __init__(
        self,
        is_in_sight: Callable[[str], bool],
        send_backend: Callable[[bytes, bytes], None],
        now_s: Callable[[], float],
        on_exited: Callable[[Endpoint], None],
        counters: Counters,
    ):
        self._is_in_sight = is_in_sight
        self._send_backend = send_backend
        self._now_s = now_s
        self._on_exited = on_exited
        self._counters = counters
        self._inquiries: dict[bytes, _Inquiry] = {}
        self._last_tick_s = now_s()

    def __len__(self) -> int:
        return len(self._inquiries)

    def ask(self, endpoint: Endpoint) -> None:
        """Probe a backend server until its process has ended or it is announced again.

        Does nothing for one that is not told to be gone, or that is probed already.

        Parameters
        ----------
        endpoint : Endpoint
            The backend server.
        """
        if not endpoint.gone or endpoint.has_exited:
            return
        known = self._inquiries.get(endpoint.address)
        if known is None or known.endpoint is not endpoint:
            self._inquiries[endpoint.address] = _Inquiry(endpoint, self._now_s())

    def on_answer(self, address: bytes, envelope: Envelope) -> None:
        """Handle the answer to a probe.

        Parameters
        ----------
        address : bytes
            Packed address that it came from.
        envelope : Envelope
            The answer.
        """
        inquiry = self._inquiries.get(address)
        if inquiry is None or envelope.incarnation != inquiry.endpoint.incarnation:
            return
        self._counters["gone_endpoint_answers"] += 1
        inquiry.unanswered_count = 0
        inquiry.next_probe_s = self._now_s() + _ANSWERED_INTERVAL_S

    def tick(self) -> None:
        """Send probes that are due, and report backend servers that have ended."""
        now_s = self._now_s()
        was_paused = now_s - self._last_tick_s > _MAX_TICK_GAP_S
        self._last_tick_s = now_s
        for address, inquiry in list(self._inquiries.items()):
            if was_paused:
                inquiry.unanswered_count = 0
            if not inquiry.endpoint.gone or inquiry.endpoint.has_exited:
                del self._inquiries[address]
            elif now_s >= inquiry.next_probe_s:
                self._continue(inquiry, now_s)

    def _continue(self, inquiry: _Inquiry, now_s: float) -> None:
        endpoint = inquiry.endpoint
        inquiry.next_probe_s = now_s + _PROBE_INTERVAL_S
        if not self._is_in_sight(endpoint.announcement.failure_domain):
            inquiry.unanswered_count = 0
            return
        if inquiry.unanswered_count >= _MIN_UNANSWERED_COUNT:
            del self._inquiries[endpoint.address]
            endpoint.has_exited = True
            self._on_exited(endpoint)
            return
        inquiry.unanswered_count += 1
        probe = Envelope(
            kind=Kind.PROBE,
            service=endpoint.service,
            incarnation=endpoint.incarnation,
            sequence=inquiry.unanswered_count,
        )
        self._counters["gone_endpoint_probes"] += 1
        self._send_backend(endpoint.address, probe.SerializeToString())
