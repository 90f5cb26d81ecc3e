"""What callers' packets show of the answers of backend servers.

The load that this answers: servers that still answer, but several times slower than
the others, while one entry instance sees an answer of each only every few seconds. It
judges each answer by what is usual for its route, and tells sums; control instances put
those of all entry instances together.

An answer counts as slow when it takes a multiple of the route's usual time, or when its
request has waited that long already. It counts as failed when the caller ends the flow
without one, asks another server since the opening went unanswered, or gets far fewer
bytes than usual, as a refusal has. What can't be seen from callers' packets: the status
of an answer, so an error as long as a usual answer; a caller that is back at once on a
new port, whose packets pass another instance; and whether an acknowledgement was held
back until the caller's next request, so an answer that is acknowledged with one is not
judged by its time.
"""

from collections.abc import Callable, Iterable
from math import exp, inf, log

from agatethread.datapath._backend import Backend
from agatethread.datapath._packets import FlowKey
from agatethread.wire.registry_pb2 import AnswerSum, AnswerSums

#: An answer is slow from so many times what is usual on: work that varies by half stays
#: below, and callers who want it within several times the usual see it late soon.
_SLOW_FACTOR = 3.0
#: Whatever is usual: below this share of what callers want nobody minds.
_LEAST_AIM_SHARE = 0.25
#: The same where nobody has said what callers want: no more than a packet sent again.
_LEAST_SLOW_S = 0.1
#: An answer of less than this share of the usual bytes is a refusal, or broken off.
_SHORT_SHARE = 0.25
#: Answers on a route before any is judged by them.
_LEAST_ANSWERS = 5
#: A median moves by such a part with each answer: a route that turned slower is known
#: for it after some twenty.
_STEP = 0.05
_FIRST_STEP = 0.5
#: Routes whose usual answers are known: the busiest of a table of 1,600 in any hour.
_MOST_ROUTES = 4_096
#: Sums that were due this long ago tell how slow this instance itself was.
_LATE_S = 0.5


class _Median:
    """A running median of positive values, which a few long ones do not move."""

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
        step = max(_STEP, _FIRST_STEP / self.count)
        self._log += min(step, max(-step, new - self._log))

    def get(self) -> float:
        return exp(self._log)


class _Usual:
    """What is usual on a route."""

    __slots__ = ("answer_bytes", "answer_s")

    def __init__(self) -> None:
        self.answer_s = _Median()
        self.answer_bytes = _Median()

    @property
    def is_known(self) -> bool:
        return self.answer_s.count >= _LEAST_ANSWERS


class Waiting:
    """A request whose answer has not been seen yet."""

    __slots__ = ("asked_s", "backend", "is_told")

    def __init__(self, backend: Backend, asked_s: float):
        self.backend = backend
        self.asked_s = asked_s
        #: Whether it was counted as slow already.
        self.is_told = False


def slow_after_s(usual_s: float, aim_s: float) -> float:
    """Tell from when on an answer is slow.

    Parameters
    ----------
    usual_s : float
        Usual time on its route.
    aim_s : float
        Within which callers want it; infinite if that is not known.

    Returns
    -------
    float
        Time from the request; never more than callers want, so that all answers of a
        service that is far too slow are alike.
    """
    least_s = _LEAST_SLOW_S if aim_s == inf else _LEAST_AIM_SHARE * aim_s
    return min(aim_s, max(least_s, _SLOW_FACTOR * usual_s))


class AnswerWatch:
    """Sums of answers for each run, since they were told last.

    Parameters
    ----------
    aim_of : callable
        Tells within how many seconds callers of a host and port want an answer.
    now_s : float
        Present time.
    """

    def __init__(self, aim_of: Callable[[int, int], float], now_s: float):
        self._aim_of = aim_of
        self._usual: dict[tuple[int, int], _Usual] = {}
        self._waiting: dict[FlowKey, Waiting] = {}
        self._sums: dict[Backend, AnswerSum] = {}
        self._collected_s = now_s

    # -- what is seen -------------------------------------------------------------

    def ask(self, key: FlowKey, backend: Backend, now_s: float) -> None:
        """Note that a caller sends a request on an open flow.

        Parameters
        ----------
        key : FlowKey
            The flow.
        backend : Backend
            The run that holds it.
        now_s : float
            Present time.
        """
        self._waiting[key] = Waiting(backend, now_s)

    def answer(
        self, key: FlowKey, answer_bytes: int, is_prompt: bool, now_s: float
    ) -> None:
        """Note that a caller has its answer, or the beginning of it.

        Parameters
        ----------
        key : FlowKey
            The flow.
        answer_bytes : int
            What it acknowledges newly.
        is_prompt : bool
            Whether it says so at once: with no request of its own.
        now_s : float
            Present time.
        """
        waiting = self._waiting.pop(key, None)
        if waiting is None:
            return
        usual = self._usual_of(key)
        took_s = now_s - waiting.asked_s
        if not waiting.is_told and usual.is_known:
            is_slow = took_s >= self._slow_after_s(key, usual)
            is_short = answer_bytes < _SHORT_SHARE * usual.answer_bytes.get()
            if is_prompt or not is_slow:
                self._count(waiting.backend, slow=is_slow, failed=is_short)
        if is_prompt:
            usual.answer_s.add(took_s)
            usual.answer_bytes.add(answer_bytes)

    def end(self, key: FlowKey) -> None:
        """Note that a flow is over; a request that waits on it has failed.

        Parameters
        ----------
        key : FlowKey
            The flow.
        """
        waiting = self._waiting.pop(key, None)
        if waiting is not None and not waiting.is_told:
            self._count(waiting.backend, failed=True)

    def forget(self, key: FlowKey) -> None:
        """Forget a request whose answer won't be seen here.

        Parameters
        ----------
        key : FlowKey
            Its flow.
        """
        self._waiting.pop(key, None)

    def leave(self, backend: Backend) -> None:
        """Note that an opening goes to another run, since this one did not answer it.

        Parameters
        ----------
        backend : Backend
            The run that did not answer.
        """
        self._count(backend, failed=True)

    def _usual_of(self, key: FlowKey) -> _Usual:
        usual = self._usual.get((key.host, key.port))
        if usual is None:
            if len(self._usual) >= _MOST_ROUTES:
                self._usual.clear()
            usual = self._usual[key.host, key.port] = _Usual()
        return usual

    def _slow_after_s(self, key: FlowKey, usual: _Usual) -> float:
        aim_s = self._aim_of(key.host, key.port)
        return slow_after_s(usual.answer_s.get(), aim_s)

    def _count(
        self, backend: Backend, slow: bool = False, failed: bool = False
    ) -> None:
        one = self._sums.get(backend)
        if one is None:
            one = self._sums[backend] = AnswerSum(label=backend.label)
        one.answers += 1
        if slow:
            one.slow += 1
        elif failed:
            one.failed += 1

    # -- what is told -------------------------------------------------------------

    def collect(self, now_s: float) -> AnswerSums | None:
        """Hand out what was seen since the last call; to be called each 0.2 s.

        Parameters
        ----------
        now_s : float
            Present time.

        Returns
        -------
        AnswerSums or None
            None if there is nothing to tell.
        """
        was_slow_itself = now_s - self._collected_s >= _LATE_S
        self._collected_s = now_s
        if was_slow_itself:
            # What came meanwhile was read late, and says nothing of backend servers.
            self._sums.clear()
            self._waiting.clear()
            return None
        self._count_waiting(now_s)
        if not self._sums:
            return None
        sums = AnswerSums(runs=self._sums.values())
        self._sums.clear()
        return sums

    def _count_waiting(self, now_s: float) -> None:
        for key, waiting in self._waiting.items():
            if waiting.is_told:
                continue
            usual = self._usual_of(key)
            if not usual.is_known:
                continue
            if now_s - waiting.asked_s >= self._slow_after_s(key, usual):
                waiting.is_told = True
                self._count(waiting.backend, slow=True)

    # -- state --------------------------------------------------------------------

    def usual_s(self) -> Iterable[tuple[tuple[int, int], float]]:
        """List what is usual on each route.

        Returns
        -------
        iterable of tuple of ((int, int), float)
            Host and port, and the usual time of an answer in seconds.
        """
        return [(route, usual.answer_s.get()) for route, usual in self._usual.items()]
