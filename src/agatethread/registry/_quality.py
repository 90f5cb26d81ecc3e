"""Judges backend servers by their answers, and tells entry instances what follows."""

from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from agatethread.balancing import (
    NO_EVIDENCE,
    UNJUDGED,
    Evidence,
    Judgement,
    Quality,
    fresh_from_s,
    judge_service,
)
from agatethread.observability import Counters, Event, make_logger
from agatethread.registry._answers import AnswerPool
from agatethread.registry._labels import label_of
from agatethread.wire.registry_pb2 import (
    AnswerSums,
    BackendRun,
    PooledAnswers,
    RegistryMessage,
    RunWeight,
    RunWeights,
)

#: What has not changed is told again after this time, so that a lost message costs
#: little of the time for which entry instances believe what they were told.
_TELL_INTERVAL_S = 0.2
#: Nothing is told again for so long after the last run got its whole share back: then
#: every entry instance has heard of it, or does not believe the earlier news any more.
_ALL_WELL_TOLD_S = 2.0
#: The same for doubts, which are told each 0.2 s while there are any.
_DOUBTS_INTERVAL_S = 0.2

#: Entry instances are listed again for a new one so often at most.
_LIST_PAUSE_S = 0.2

log = make_logger("quality")


class Reporter(Protocol):
    """What is known of an entry instance that reports answers."""

    failure_domain: str


class QualityKeeper:
    """What this control instance holds of each run.

    Parameters
    ----------
    failure_domain : str
        Of this instance.
    runs : callable
        Lists all runs.
    entries : callable
        Lists the entry instances in sight by their packed addresses.
    peers : callable
        Lists the packed addresses of the other control instances in sight.
    send : callable
        Sends a message to a packed address.
    now_s : callable
        Monotonic clock.
    counters : Counters
        Counts decisions.
    """

    def __init__(
        self,
        failure_domain: str,
        runs: Callable[[], Iterable[BackendRun]],
        entries: Callable[[], Iterable[tuple[bytes, Reporter]]],
        peers: Callable[[], Iterable[bytes]],
        send: Callable[[RegistryMessage, bytes], None],
        now_s: Callable[[], float],
        counters: Counters,
    ):
        self._failure_domain = failure_domain
        self._runs = runs
        self._entries = entries
        self._peers = peers
        self._send = send
        self._now_s = now_s
        self._counters = counters
        self._pool = AnswerPool()
        self._judged: dict[int, Judgement] = {}
        self._evidence: Mapping[int, Evidence] = {}
        self._told: tuple[tuple[int, int], ...] = ()
        self._told_s = self._low_s = self._doubted_s = float("-inf")
        #: Failure domains of entry instances, and when they were listed last.
        self._domains: dict[bytes, str] = {}
        self._listed_s = float("-inf")

    # -- what arrives -------------------------------------------------------------

    def on_message(self, message: RegistryMessage, source: bytes) -> None:
        """Take a message; others than those of answers are left alone.

        Parameters
        ----------
        message : RegistryMessage
            The message.
        source : bytes
            Packed address of the sender.
        """
        body = message.WhichOneof("body")
        if body == "answers":
            self.on_answers(message.answers, source)
        elif body == "pooled":
            self.on_pooled(message.pooled, source)

    def on_answers(self, sums: AnswerSums, source: bytes) -> None:
        """Take what an entry instance saw.

        Parameters
        ----------
        sums : AnswerSums
            Its message.
        source : bytes
            Packed address of the sender.
        """
        domain = self._domain_of(source)
        if domain is None:
            # It has not said yet where it runs, so its word can't be weighed.
            self._counters["answers_from_strangers"] += 1
            return
        self._pool.take(source, domain, sums, self._now_s())

    def _domain_of(self, source: bytes) -> str | None:
        now_s = self._now_s()
        if source not in self._domains and now_s - self._listed_s >= _LIST_PAUSE_S:
            self._listed_s = now_s
            self._domains = {
                address: entry.failure_domain for address, entry in self._entries()
            }
        return self._domains.get(source)

    def on_pooled(self, pooled: PooledAnswers, source: bytes) -> None:
        """Take what another control instance was told.

        Parameters
        ----------
        pooled : PooledAnswers
            Its message.
        source : bytes
            Packed address of the sender; strangers are not believed.
        """
        if source in set(self._peers()):
            self._pool.take_pooled(source, pooled, self._now_s())

    # -- what is decided ----------------------------------------------------------

    def tick(self) -> None:
        """Judge all runs and tell what follows; to be called ten times a second."""
        now_s = self._now_s()
        fresh_s = {label: fresh_from_s(one) for label, one in self._judged.items()}
        self._evidence = self._pool.evidence(now_s, fresh_s)
        self._tell_doubts(now_s)
        if self._evidence or self._judged:
            self._judge(now_s)
        self._tell_weights(now_s)

    def _judge(self, now_s: float) -> None:
        judged: dict[int, Judgement] = {}
        by_label = {label_of(run.number, run.started_ms): run for run in self._runs()}
        for domains in _group_by_service(by_label).values():
            judged |= judge_service(self._judged, self._evidence, domains, now_s)
        for label in sorted(judged.keys() | self._judged.keys()):
            run = by_label.get(label)
            if run is not None:
                self._note_change(run, label, judged.get(label, UNJUDGED))
        self._judged = judged

    def _note_change(self, run: BackendRun, label: int, judged: Judgement) -> None:
        before = self._judged.get(label, UNJUDGED)
        if before.quality is judged.quality:
            return
        name = judged.quality.value.replace(" ", "_")
        self._counters[f"backend_servers_{name}"] += 1
        evidence = self._evidence.get(label, NO_EVIDENCE)
        log.info(
            Event.BACKEND_JUDGED,
            run=run.id,
            service=run.service,
            quality=judged.quality.value,
            quality_before=before.quality.value,
            weight=round(judged.weight, 2),
            chance=round(judged.chance, 7),
            answers=evidence.window.answers,
            slow=evidence.window.slow,
            failed=evidence.window.failed,
            recent_answers=evidence.recent.answers,
            recent_bad=evidence.recent.bad,
            fresh_answers=evidence.fresh.answers,
            fresh_bad=evidence.fresh.bad,
            observers=evidence.observers,
        )

    # -- what is told -------------------------------------------------------------

    def _tell_doubts(self, now_s: float) -> None:
        if now_s - self._doubted_s < _DOUBTS_INTERVAL_S:
            return
        doubts = self._pool.doubts(self._failure_domain, self._judged)
        if not doubts.runs:
            return
        self._doubted_s = now_s
        message = RegistryMessage(pooled=doubts)
        for address in self._peers():
            self._send(message, address)

    def _tell_weights(self, now_s: float) -> None:
        weights = self._weights()
        is_new = weights != self._told
        if weights or is_new:
            self._low_s = now_s
        if now_s - self._low_s > _ALL_WELL_TOLD_S:
            return
        if not is_new and now_s - self._told_s < _TELL_INTERVAL_S:
            return
        self._told, self._told_s = weights, now_s
        runs = [RunWeight(label=label, percent=percent) for label, percent in weights]
        message = RegistryMessage(weights=RunWeights(runs=runs))
        for address in self._pool.reporters(now_s):
            self._send(message, address)

    def _weights(self) -> tuple[tuple[int, int], ...]:
        return tuple(
            (label, round(100 * one.weight))
            for label, one in sorted(self._judged.items())
            if one.weight < 1.0
        )

    # -- state --------------------------------------------------------------------

    def quality_of(self, label: int) -> Quality:
        """Tell what is held of a run.

        Parameters
        ----------
        label : int
            Of the run.

        Returns
        -------
        Quality
            Good where nothing was decided.
        """
        return self._judged.get(label, UNJUDGED).quality

    def dump(self) -> list[dict[str, object]]:
        """List the runs that are not held for good, or were not a moment ago.

        Returns
        -------
        list of dict
            Ready for JSON.
        """
        return [
            {
                "label": label,
                "quality": one.quality.value,
                "weight": round(one.weight, 2),
                "since_ago_s": round(self._now_s() - one.since_s, 3),
                "chance": round(one.chance, 7),
            }
            for label, one in sorted(self._judged.items())
        ]


def _group_by_service(runs: Mapping[int, BackendRun]) -> dict[str, dict[int, str]]:
    """Group the runs that may take work; tell the failure domain of each."""
    grouped: dict[str, dict[int, str]] = {}
    for label, run in runs.items():
        if run.ended or run.silent or run.draining:
            continue
        grouped.setdefault(run.service, {})[label] = run.failure_domain
    return grouped
