"""Joins what an entry instance sees of answers with what it is told of weights."""

from collections.abc import Callable, Sequence
from math import inf

from agatethread.datapath._answers import AnswerWatch
from agatethread.datapath._backends import BackendView
from agatethread.datapath._forwarder import LabelForwarder
from agatethread.datapath._weights import WeightBook
from agatethread.observability import Counters
from agatethread.registry import HubLink, choose_followed
from agatethread.wire.registry_pb2 import RegistryMessage, RunWeights

#: Time between two reports: half of what a server that turned slow may go unnoticed is
#: left for control instances and for enough slow answers.
REPORT_INTERVAL_S = 0.2


class AnswerReports:
    """Reports answers to one control instance, and takes weights from it.

    Parameters
    ----------
    forwarder : LabelForwarder
        Sees callers' packets; told to watch answers.
    view : BackendView
        Known runs.
    failure_domain : str
        Of this instance.
    live : callable
        Lists the control instances that answered lately.
    send : callable
        Sends a message to a packed address.
    now_s : callable
        Monotonic clock.
    counters : Counters
        Counts reports.
    """

    def __init__(
        self,
        forwarder: LabelForwarder,
        view: BackendView,
        failure_domain: str,
        live: Callable[[], Sequence[HubLink]],
        send: Callable[[RegistryMessage, bytes], None],
        now_s: Callable[[], float],
        counters: Counters,
    ):
        self._forwarder = forwarder
        self._failure_domain = failure_domain
        self._live = live
        self._send = send
        self._now_s = now_s
        self._counters = counters
        self._watch = forwarder.loads.watch = AnswerWatch(self._aim_of, now_s())
        self._book = WeightBook(view.find)

    def _aim_of(self, host: int, port: int) -> float:
        route = self._forwarder.table.routes.get((host, port))
        return route.aim_s if route else inf

    def tick(self) -> None:
        """Report what was seen; to be called each `REPORT_INTERVAL_S`."""
        now_s = self._now_s()
        self._book.sweep(now_s)
        sums = self._watch.collect(now_s)
        if sums is None:
            return
        for one in sums.runs:
            self._counters["answers_seen"] += one.answers
            self._counters["answers_slow"] += one.slow
            self._counters["answers_failed"] += one.failed
        # Entry instances of a failure domain follow the same one first.
        for link in choose_followed(self._live(), self._failure_domain)[:1]:
            self._send(RegistryMessage(answers=sums), link.address)

    def on_weights(self, weights: RunWeights, source: bytes) -> None:
        """Take what a control instance tells of runs.

        Parameters
        ----------
        weights : RunWeights
            Its message.
        source : bytes
            Packed address of the sender; only those in sight are believed.
        """
        if any(link.address == source for link in self._live()):
            self._book.take(weights, self._now_s())

    def weighed_count(self) -> int:
        """Count the runs that get less than their share.

        Returns
        -------
        int
            As this instance believes at present.
        """
        return len(self._book)

    def dump(self) -> dict[str, object]:
        """Give what is known of answers and weights.

        Returns
        -------
        dict
            Ready for JSON.
        """
        usual_s = {
            f"{host:08x}:{port}": round(seconds, 4)
            for (host, port), seconds in self._watch.usual_s()
        }
        return {"usual_answer_s": usual_s, "weights": self._book.dump()}
