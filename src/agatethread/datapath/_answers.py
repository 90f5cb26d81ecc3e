"""Measures the answers of backend servers from callers' packets.

Handles backend servers that answer several times slower than the others while each
entry instance sees only a few of their answers. Each answer is compared with the usual
one of its route, and sums are sent to control instances, which pool those of all entry
instances.

An answer is slow when it takes a multiple of the route's usual time, or when its
request has waited that long. It has failed when the caller ends the flow without one,
retries the opening at another server, or receives far fewer bytes than usual. Not
visible are the status of an answer, a caller that retries at once from a new port
through another instance, and the time of an answer that is acknowledged with the
caller's next request only.
"""

from collections.abc import Callable, Iterable
from math import exp, inf, log

from agatethread.datapath._backend import Backend
from agatethread.datapath._packets import FlowKey
from agatethread.wire.registry_pb2 import AnswerSum, AnswerSums

#: Multiple of the usual time; above the usual variation of answer times.
_SLOW_FACTOR = 3.0
#: No answer is slow below this share of the aim.
_MIN_SLOW_AIM_RATIO = 0.25
#: No answer is slow below this time on a route without an aim.
_MIN_SLOW_S = 0.1
#: Below this share of the usual bytes, an answer is a refusal or incomplete.
_SHORT_ANSWER_RATIO = 0.25
#: Answers of a route after which its baseline is used.
_MIN_ANSWERS = 5
#: Largest change of a median's logarithm for one answer.
_MEDIAN_STEP = 0.05
#: The same for the first answers, divided by their number.
_FIRST_MEDIAN_STEP = 0.5
#: Limit of baselines, all of which are deleted when it is reached; more than the busy
#: routes of a large table.
_MAX_ROUTES = 4_096
#: Interval between collections after which the measurements are discarded.
_DELAYED_COLLECTION_S = 0.5


class _RunningMedian:
    """A running median of positive values, robust against a few large ones."""

    __slots__ = ("count", "_log")

    def __init__(self) -> None:
        self.count = 0
        self._log = 0.0

    def add(self, value: float) -> None:
        new = log(max(value, 1e-6))
        self.count += 1
        if self.count == 1:
            self._log = new
            return
        step = max(_MEDIAN_STEP, _FIRST_MEDIAN_STEP / self.count)
        self._log += min(step, max(-step, new - self._log))

    def get(self) -> float:
        return exp(self._log)


class _RouteBaseline:
    """The usual answer of a route."""

    __slots__ = ("bytes_median", "time_median")

    def __init__(self) -> None:
        self.time_median = _RunningMedian()
        self.bytes_median = _RunningMedian()

    @property
    def has_enough_answers(self) -> bool:
        return self.time_median.count >= _MIN_ANSWERS


class PendingRequest:
    """A request without an answer so far."""

    __slots__ = ("backend", "is_counted", "requested_s")

    def __init__(self, backend: Backend, requested_s: float):
        self.backend = backend
        self.requested_s = requested_s
        #: Whether it has been counted as slow.
        self.is_counted = False


def slow_threshold_s(usual_s: float, aim_s: float) -> float:
    """Return the time from which an answer is slow.

    Parameters
    ----------
    usual_s : float
        Usual time on its route.
    aim_s : float
        Time in which callers want the answer; infinite if unknown.

    Returns
    -------
    float
        Time from the request, at most the aim.
    """
    min_s = _MIN_SLOW_S if aim_s == inf else _MIN_SLOW_AIM_RATIO * aim_s
    return min(aim_s, max(min_s, _SLOW_FACTOR * usual_s))


class AnswerMonitor:
    """Counts the answers of each run between two collections.

    Parameters
    ----------
    aim_of : callable
        Returns the seconds in which callers of a host and port want an answer.
    now_s : float
        Present time.
    """

    def __init__(self, aim_of: Callable[[int, int], float], now_s: float):
        self._aim_of = aim_of
        self._baselines: dict[tuple[int, int], _RouteBaseline] = {}
        self._pending: dict[FlowKey, PendingRequest] = {}
        self._sums: dict[Backend, AnswerSum] = {}
        self._collected_s = now_s

    def on_request(self, key: FlowKey, backend: Backend, now_s: float) -> None:
        """Record a request that a caller sends on an open flow.

        Parameters
        ----------
        key : FlowKey
            The flow.
        backend : Backend
            The run that serves the flow.
        now_s : float
            Present time.
        """
        self._pending[key] = PendingRequest(backend, now_s)

    def on_answer(
        self, key: FlowKey, answer_bytes: int, is_prompt: bool, now_s: float
    ) -> None:
        """Record that a caller acknowledges an answer, or its beginning.

        Parameters
        ----------
        key : FlowKey
            The flow.
        answer_bytes : int
            Newly acknowledged bytes.
        is_prompt : bool
            Whether it is immediate, and not sent with the caller's next request.
        now_s : float
            Present time.
        """
        pending = self._pending.pop(key, None)
        if pending is None:
            return
        baseline = self._baseline_of(key)
        took_s = now_s - pending.requested_s
        if not pending.is_counted and baseline.has_enough_answers:
            is_slow = took_s >= self._slow_threshold_s(key, baseline)
            is_short = answer_bytes < _SHORT_ANSWER_RATIO * baseline.bytes_median.get()
            # A slow acknowledgement with the next request may be the caller's delay.
            if is_prompt or not is_slow:
                self._count(pending.backend, slow=is_slow, failed=is_short)
        if is_prompt:
            baseline.time_median.add(took_s)
            baseline.bytes_median.add(answer_bytes)

    def on_flow_end(self, key: FlowKey) -> None:
        """Record the end of a flow; a request without an answer has failed.

        Parameters
        ----------
        key : FlowKey
            The flow.
        """
        pending = self._pending.pop(key, None)
        if pending is not None and not pending.is_counted:
            self._count(pending.backend, failed=True)

    def discard(self, key: FlowKey) -> None:
        """Delete a request whose answer is not visible to this instance.

        Parameters
        ----------
        key : FlowKey
            Its flow.
        """
        self._pending.pop(key, None)

    def on_unanswered_opening(self, backend: Backend) -> None:
        """Record that an opening is retried at another run for lack of an answer.

        Parameters
        ----------
        backend : Backend
            The run that did not answer.
        """
        self._count(backend, failed=True)

    def _baseline_of(self, key: FlowKey) -> _RouteBaseline:
        baseline = self._baselines.get((key.host, key.port))
        if baseline is None:
            if len(self._baselines) >= _MAX_ROUTES:
                self._baselines.clear()
            baseline = self._baselines[key.host, key.port] = _RouteBaseline()
        return baseline

    def _slow_threshold_s(self, key: FlowKey, baseline: _RouteBaseline) -> float:
        aim_s = self._aim_of(key.host, key.port)
        return slow_threshold_s(baseline.time_median.get(), aim_s)

    def _count(
        self, backend: Backend, slow: bool = False, failed: bool = False
    ) -> None:
        """Count an answer; one that is slow and failed counts as slow only."""
        answer_sum = self._sums.get(backend)
        if answer_sum is None:
            answer_sum = self._sums[backend] = AnswerSum(label=backend.label)
        answer_sum.answers += 1
        if slow:
            answer_sum.slow += 1
        elif failed:
            answer_sum.failed += 1

    def collect(self, now_s: float) -> AnswerSums | None:
        """Return the sums since the last call, and reset them.

        To be called every `REPORT_INTERVAL_S`.

        Parameters
        ----------
        now_s : float
            Present time.

        Returns
        -------
        AnswerSums or None
            None if there are no answers to report.
        """
        was_delayed = now_s - self._collected_s >= _DELAYED_COLLECTION_S
        self._collected_s = now_s
        if was_delayed:
            # Packets were read late, so their times do not measure backend servers.
            self._sums.clear()
            self._pending.clear()
            return None
        self._count_overdue(now_s)
        if not self._sums:
            return None
        sums = AnswerSums(runs=self._sums.values())
        self._sums.clear()
        return sums

    def _count_overdue(self, now_s: float) -> None:
        """Count requests as slow that have waited too long for their answer."""
        for key, pending in self._pending.items():
            if pending.is_counted:
                continue
            baseline = self._baseline_of(key)
            if not baseline.has_enough_answers:
                continue
            if now_s - pending.requested_s >= self._slow_threshold_s(key, baseline):
                pending.is_counted = True
                self._count(pending.backend, slow=True)

    def usual_times_by_route(self) -> Iterable[tuple[tuple[int, int], float]]:
        """Return the usual time of an answer on each route.

        Returns
        -------
        iterable of tuple of ((int, int), float)
            Host and port, and seconds.
        """
        return [
            (route, baseline.time_median.get())
            for route, baseline in self._baselines.items()
        ]
