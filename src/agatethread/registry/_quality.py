"""Judges runs by their answers, and sends entry instances the reduced weights."""

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
from agatethread.registry._labels import derive_label
from agatethread.wire.registry_pb2 import (
    AnswerSums,
    BackendRun,
    PooledAnswers,
    RegistryMessage,
    RunWeight,
    RunWeights,
)

#: Unchanged weights are sent again after this time, well below the time for which entry
#: instances use them, so that a lost message has little effect.
_RESEND_INTERVAL_S = 0.2
#: Weights are sent for this time after the last run regained its full weight; by then
#: earlier weights have expired at entry instances that missed the change.
_RECOVERY_RESEND_S = 2.0
#: Least interval of messages about doubtful runs to other control instances.
_DOUBTFUL_SEND_INTERVAL_S = 0.2

#: A report of an unknown sender causes the entry instances to be listed again, at most
#: once in this time.
_RELIST_INTERVAL_S = 0.2

log = make_logger("quality")


class AnswerSource(Protocol):
    """An entry instance that reports answers."""

    failure_domain: str


class QualityMonitor:
    """Judges the runs from reported answers, and sends the reduced weights.

    Parameters
    ----------
    failure_domain : str
        Of this instance.
    runs : callable
        Lists all runs.
    entries : callable
        Lists the reachable entry instances by their packed addresses.
    peers : callable
        Lists the packed addresses of the other reachable control instances.
    send : callable
        Sends a message to a packed address.
    now_s : callable
        Monotonic clock.
    counters : Counters
        Counts quality changes and reports of unknown senders.
    """

    def __init__(
        self,
        failure_domain: str,
        runs: Callable[[], Iterable[BackendRun]],
        entries: Callable[[], Iterable[tuple[bytes, AnswerSource]]],
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
        self._judgements: dict[int, Judgement] = {}
        self._evidence: Mapping[int, Evidence] = {}
        self._sent_weights: tuple[tuple[int, int], ...] = ()
        #: `_last_reduced_s`: last time at which a weight was reduced or restored.
        self._weights_sent_s = self._last_reduced_s = self._doubtful_sent_s = float(
            "-inf"
        )
        #: Failure domains of entry instances, by packed address.
        self._domains: dict[bytes, str] = {}
        #: Time at which the entry instances were last listed.
        self._listed_s = float("-inf")

    def on_message(self, message: RegistryMessage, source: bytes) -> None:
        """Handle a message about answers; ignore others.

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
        """Store the answers that an entry instance reports.

        Parameters
        ----------
        sums : AnswerSums
            Its message.
        source : bytes
            Packed address of the sender.
        """
        domain = self._get_domain(source)
        if domain is None:
            # Answers are summed by failure domain, which is unknown for this sender.
            self._counters["answers_from_strangers"] += 1
            return
        self._pool.add_report(source, domain, sums, self._now_s())

    def _get_domain(self, source: bytes) -> str | None:
        now_s = self._now_s()
        if source not in self._domains and now_s - self._listed_s >= _RELIST_INTERVAL_S:
            self._listed_s = now_s
            self._domains = {
                address: entry.failure_domain for address, entry in self._entries()
            }
        return self._domains.get(source)

    def on_pooled(self, pooled: PooledAnswers, source: bytes) -> None:
        """Store the sums of another control instance.

        Parameters
        ----------
        pooled : PooledAnswers
            Its message.
        source : bytes
            Packed address of the sender; unknown senders are ignored.
        """
        if source in set(self._peers()):
            self._pool.store_pooled(source, pooled, self._now_s())

    def tick(self) -> None:
        """Judge all runs and send the results; to be called ten times a second."""
        now_s = self._now_s()
        fresh_from_by_label = {
            label: fresh_from_s(judgement)
            for label, judgement in self._judgements.items()
        }
        self._evidence = self._pool.collect_evidence(now_s, fresh_from_by_label)
        self._send_doubtful_runs(now_s)
        if self._evidence or self._judgements:
            self._judge(now_s)
        self._send_weights(now_s)

    def _judge(self, now_s: float) -> None:
        judgements: dict[int, Judgement] = {}
        by_label = {
            derive_label(run.number, run.started_ms): run for run in self._runs()
        }
        for domain_by_label in _group_by_service(by_label).values():
            judgements |= judge_service(
                self._judgements, self._evidence, domain_by_label, now_s
            )
        for label in sorted(judgements.keys() | self._judgements.keys()):
            run = by_label.get(label)
            if run is not None:
                self._log_change(run, label, judgements.get(label, UNJUDGED))
        self._judgements = judgements

    def _log_change(self, run: BackendRun, label: int, judgement: Judgement) -> None:
        before = self._judgements.get(label, UNJUDGED)
        if before.quality is judgement.quality:
            return
        name = judgement.quality.value.replace(" ", "_")
        self._counters[f"backend_servers_{name}"] += 1
        evidence = self._evidence.get(label, NO_EVIDENCE)
        log.info(
            Event.BACKEND_QUALITY_CHANGED,
            run=run.id,
            service=run.service,
            quality=judgement.quality.value,
            quality_before=before.quality.value,
            weight=round(judgement.weight, 2),
            chance=round(judgement.chance, 7),
            answers=evidence.window.answers,
            slow=evidence.window.slow,
            failed=evidence.window.failed,
            recent_answers=evidence.recent.answers,
            recent_bad=evidence.recent.bad,
            fresh_answers=evidence.fresh.answers,
            fresh_bad=evidence.fresh.bad,
            observers=evidence.observers,
        )

    def _send_doubtful_runs(self, now_s: float) -> None:
        if now_s - self._doubtful_sent_s < _DOUBTFUL_SEND_INTERVAL_S:
            return
        pooled = self._pool.collect_doubtful(self._failure_domain, self._judgements)
        if not pooled.runs:
            return
        self._doubtful_sent_s = now_s
        message = RegistryMessage(pooled=pooled)
        for address in self._peers():
            self._send(message, address)

    def _send_weights(self, now_s: float) -> None:
        weights = self._list_reduced_weights()
        is_new = weights != self._sent_weights
        if weights or is_new:
            self._last_reduced_s = now_s
        if now_s - self._last_reduced_s > _RECOVERY_RESEND_S:
            return
        if not is_new and now_s - self._weights_sent_s < _RESEND_INTERVAL_S:
            return
        self._sent_weights, self._weights_sent_s = weights, now_s
        runs = [RunWeight(label=label, percent=percent) for label, percent in weights]
        message = RegistryMessage(weights=RunWeights(runs=runs))
        for address in self._pool.list_reporters(now_s):
            self._send(message, address)

    def _list_reduced_weights(self) -> tuple[tuple[int, int], ...]:
        return tuple(
            (label, round(100 * judgement.weight))
            for label, judgement in sorted(self._judgements.items())
            if judgement.weight < 1.0
        )

    def get_quality(self, label: int) -> Quality:
        """Return the quality of a run.

        Parameters
        ----------
        label : int
            Of the run.

        Returns
        -------
        Quality
            Good where the run was not judged.
        """
        return self._judgements.get(label, UNJUDGED).quality

    def dump(self) -> list[dict[str, object]]:
        """Return the state of each run that is not good, or was cleared recently.

        Returns
        -------
        list of dict
            Ready for JSON.
        """
        return [
            {
                "label": label,
                "quality": judgement.quality.value,
                "weight": round(judgement.weight, 2),
                "since_ago_s": round(self._now_s() - judgement.since_s, 3),
                "chance": round(judgement.chance, 7),
            }
            for label, judgement in sorted(self._judgements.items())
        ]


def _group_by_service(runs: Mapping[int, BackendRun]) -> dict[str, dict[int, str]]:
    """Return the failure domains of runs that accept work, by service and label."""
    grouped: dict[str, dict[int, str]] = {}
    for label, run in runs.items():
        if run.ended or run.silent or run.draining:
            continue
        grouped.setdefault(run.service, {})[label] = run.failure_domain
    return grouped
