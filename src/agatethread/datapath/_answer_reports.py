"""Reports measured answers to control instances, and applies the weights they send."""

from collections.abc import Callable, Sequence
from math import inf

from agatethread.datapath._answers import AnswerMonitor
from agatethread.datapath._backends import BackendView
from agatethread.datapath._forwarder import LabelForwarder
from agatethread.datapath._weights import RunWeightStore
from agatethread.observability import Counters
from agatethread.registry import ControlLink, choose_followed
from agatethread.wire.registry_pb2 import RegistryMessage, RunWeights

#: Much shorter than the time in which a slow server must be detected, which also needs
#: enough slow answers and a decision of control instances.
REPORT_INTERVAL_S = 0.2


class AnswerReporter:
    """Sends reports of answers to a control instance, and receives weights.

    Parameters
    ----------
    forwarder : LabelForwarder
        Receives callers' packets, from which answers are measured.
    view : BackendView
        Known runs.
    failure_domain : str
        Of this instance.
    reachable : callable
        Returns the reachable control instances.
    send : callable
        Sends a message to a packed address.
    now_s : callable
        Monotonic clock.
    counters : Counters
        Counts answers, and slow and failed ones.
    """

    def __init__(
        self,
        forwarder: LabelForwarder,
        view: BackendView,
        failure_domain: str,
        reachable: Callable[[], Sequence[ControlLink]],
        send: Callable[[RegistryMessage, bytes], None],
        now_s: Callable[[], float],
        counters: Counters,
    ):
        self._forwarder = forwarder
        self._failure_domain = failure_domain
        self._reachable = reachable
        self._send = send
        self._now_s = now_s
        self._counters = counters
        self._monitor = forwarder.loads.answer_monitor = AnswerMonitor(
            self._aim_of, now_s()
        )
        self._weights = RunWeightStore(view.get_by_label)

    def _aim_of(self, host: int, port: int) -> float:
        route = self._forwarder.table.routes.get((host, port))
        return route.aim_s if route else inf

    def tick(self) -> None:
        """Expire weights and report answers; to be called every `REPORT_INTERVAL_S`."""
        now_s = self._now_s()
        self._weights.sweep(now_s)
        sums = self._monitor.collect(now_s)
        if sums is None:
            return
        for answer_sum in sums.runs:
            self._counters["answers_seen"] += answer_sum.answers
            self._counters["answers_slow"] += answer_sum.slow
            self._counters["answers_failed"] += answer_sum.failed
        # Entry instances of a failure domain prefer the same control instance.
        for link in choose_followed(self._reachable(), self._failure_domain)[:1]:
            self._send(RegistryMessage(answers=sums), link.address)

    def on_weights(self, weights: RunWeights, source: bytes) -> None:
        """Apply the weights of runs that a control instance sends.

        Parameters
        ----------
        weights : RunWeights
            The weights.
        source : bytes
            Packed address of the sender; ignored unless it is reachable.
        """
        if any(link.address == source for link in self._reachable()):
            self._weights.apply(weights, self._now_s())

    def count_reduced_runs(self) -> int:
        """Return the number of runs with less than their full share.

        Returns
        -------
        int
            By the weights in force.
        """
        return len(self._weights)

    def dump(self) -> dict[str, object]:
        """Return the usual answer times and the weights.

        Returns
        -------
        dict
            Ready for JSON.
        """
        usual_s = {
            f"{host:08x}:{port}": round(seconds, 4)
            for (host, port), seconds in self._monitor.usual_times_by_route()
        }
        return {"usual_answer_s": usual_s, "weights": self._weights.dump()}
