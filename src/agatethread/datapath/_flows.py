"""Flows as seen in passing, so that load and silence are noticed.

Answers do not come this way, so everything is inferred from the callers' packets. No
flow needs its record here to stay up: its label is enough, and any record may be lost.
"""

from collections.abc import Collection

from agatethread.datapath._answers import AnswerWatch
from agatethread.datapath._backend import Backend
from agatethread.datapath._packets import FlowKey, Packet
from agatethread.observability import Histogram

#: A flow without a packet for so long is no longer counted; it may go on elsewhere.
_IDLE_S = 15.0
#: A request that shows no answer for so long is no longer counted as being worked on.
_LONGEST_REQUEST_S = 3.0
#: Bytes that a caller has under way at most: 16 packets of 1,200.
_WINDOW_BYTES = 16 * 1_200
#: Callers send again what was not acknowledged for 200 ms; sooner than this it can't be
#: that, but packets that overtook each other.
_LEAST_WAIT_S = 0.15
_MASK = 0xFFFFFFFF
_HALF = 0x80000000


def _is_after(number: int, other: int) -> bool:
    """Compare sequence numbers, which wrap around at 32 bits."""
    return 0 < (number - other) & _MASK < _HALF


class Flow:
    """What was seen of one flow."""

    __slots__ = (
        "acknowledged",
        "backend",
        "busy",
        "opened",
        "progress",
        "seen_s",
        "sent",
        "tried",
        "waits_since_s",
    )

    def __init__(self, backend: Backend, now_s: float):
        self.backend = backend
        #: Runs that got the opening and did not answer.
        self.tried: tuple[Backend, ...] = ()
        self.opened = False
        #: Whether a request is counted as being worked on.
        self.busy = False
        self.waits_since_s = now_s
        self.seen_s = now_s
        #: Highest sequence number sent by the caller, and acknowledged by it.
        self.sent: int | None = None
        self.acknowledged: int | None = None
        #: Sequence number from which on a window of bytes is under way.
        self.progress = 0


class FlowLoads:
    """Counts of flows and requests in progress for each run.

    Parameters
    ----------
    limit_count : int
        Most flows recorded; beyond it new ones go uncounted.
    """

    def __init__(self, limit_count: int):
        self._limit_count = limit_count
        self._flows: dict[FlowKey, Flow] = {}
        #: Runs that some flow has waited for since anybody asked last.
        self._waited_for: set[Backend] = set()
        #: Set where backend servers are judged by their answers.
        self.watch: AnswerWatch | None = None
        #: Time from an opening, and from a request, until the caller has its answer.
        self.opening_s = Histogram()
        self.answer_s = Histogram()

    def __len__(self) -> int:
        return len(self._flows)

    def find(self, key: FlowKey) -> Flow | None:
        """Find a flow's record.

        Parameters
        ----------
        key : FlowKey
            The flow.

        Returns
        -------
        Flow or None
            None if it was not seen here.
        """
        return self._flows.get(key)

    def open(self, key: FlowKey, backend: Backend, now_s: float) -> None:
        """Note that an opening is being forwarded.

        Parameters
        ----------
        key : FlowKey
            The flow.
        backend : Backend
            Where the opening goes.
        now_s : float
            Present time.
        """
        flow = self._flows.get(key)
        if flow is None:
            flow = self._add(key, backend, now_s)
            if flow is None:
                return
        elif flow.backend is not backend:
            if self.watch and flow.busy and not flow.opened:
                self.watch.leave(flow.backend)
            flow.tried += (flow.backend,)
            self._move(flow, backend)
        flow.waits_since_s = now_s
        flow.seen_s = now_s
        # A flow is opened for a request, which follows at once.
        self._set_busy(flow, True)

    def _add(self, key: FlowKey, backend: Backend, now_s: float) -> Flow | None:
        if len(self._flows) >= self._limit_count:
            return None
        flow = self._flows[key] = Flow(backend, now_s)
        backend.flows += 1
        return flow

    def _move(self, flow: Flow, backend: Backend) -> None:
        self._set_busy(flow, False)
        flow.backend.flows -= 1
        flow.backend = backend
        backend.flows += 1

    @staticmethod
    def _set_busy(flow: Flow, busy: bool) -> None:
        if flow.busy != busy:
            flow.busy = busy
            flow.backend.in_flight += 1 if busy else -1

    def note(self, packet: Packet, backend: Backend, now_s: float) -> None:
        """Note a packet of an open flow.

        Parameters
        ----------
        packet : Packet
            The packet.
        backend : Backend
            The run that its label names.
        now_s : float
            Present time.
        """
        flow = self._flows.get(packet.key) or self._add(packet.key, backend, now_s)
        if flow is None:
            return
        if flow.backend is not backend:
            self._move(flow, backend)
        flow.seen_s = now_s
        if packet.closes or packet.resets:
            if self.watch:
                self._watch_end(self.watch, flow, packet, now_s)
            self._remove(packet.key, flow)
            return
        self._note_answer(flow, packet, now_s)
        if packet.payload_bytes:
            self._note_request(flow, packet, now_s)

    @staticmethod
    def _watch_end(
        watch: AnswerWatch, flow: Flow, packet: Packet, now_s: float
    ) -> None:
        """Note an answer that the caller acknowledges as it closes the flow."""
        before = flow.acknowledged
        if before is not None and _is_after(packet.acknowledged, before):
            answer_bytes = (packet.acknowledged - before) & _MASK
            watch.answer(packet.key, answer_bytes, not packet.payload_bytes, now_s)
        watch.end(packet.key)

    def _note_answer(self, flow: Flow, packet: Packet, now_s: float) -> None:
        before = flow.acknowledged
        if not flow.opened or before is None:
            self._note_first(flow, packet, now_s)
            return
        if _is_after(packet.acknowledged, before):
            flow.acknowledged = packet.acknowledged
            flow.backend.answer(now_s)
            if self.watch:
                answer_bytes = (packet.acknowledged - before) & _MASK
                is_prompt = not packet.payload_bytes
                self.watch.answer(packet.key, answer_bytes, is_prompt, now_s)
            if flow.busy:
                took_s = now_s - flow.waits_since_s
                self.answer_s.record(took_s)
                flow.backend.note_answer_time(took_s)
            self._set_busy(flow, False)

    def _note_first(self, flow: Flow, packet: Packet, now_s: float) -> None:
        """Note the first packet seen after the opening, or of a flow that moved here.

        After an opening of this instance's it shows that the opening was answered. On a
        flow that moved here a request may be a copy of one that nobody answered through
        the instance before; taken for an answer it hides a dead run from all instances.
        """
        was_opened_here = flow.busy and not flow.opened
        if was_opened_here:
            self.opening_s.record(now_s - flow.waits_since_s)
        flow.opened = True
        flow.acknowledged = packet.acknowledged
        flow.progress = packet.sequence
        if was_opened_here or not packet.payload_bytes:
            flow.backend.answer(now_s)

    def _note_request(self, flow: Flow, packet: Packet, now_s: float) -> None:
        if flow.sent is not None and not _is_after(packet.sequence, flow.sent):
            # The same bytes again. One copy says as much as all of a window.
            if now_s - flow.waits_since_s >= _LEAST_WAIT_S:
                flow.backend.wait(packet.key, flow.waits_since_s)
                self._waited_for.add(flow.backend)
                flow.backend.fail(flow.waits_since_s, now_s)
                flow.waits_since_s = now_s
            return
        is_first = flow.sent is None
        flow.sent = packet.sequence
        if is_first or not flow.busy:
            self._set_busy(flow, True)
            flow.waits_since_s = now_s
            flow.progress = packet.sequence
            if self.watch:
                self.watch.ask(packet.key, flow.backend, now_s)
        elif (packet.sequence - flow.progress) & _MASK >= _WINDOW_BYTES:
            # More than a window since then: the first of it was acknowledged.
            flow.backend.answer(now_s)
            flow.waits_since_s = now_s
            flow.progress = packet.sequence
            if self.watch:
                self.watch.ask(packet.key, flow.backend, now_s)

    def waited_for(self) -> set[Backend]:
        """List the runs that open flows wait for.

        Returns
        -------
        set of Backend
            Those that have not answered since.
        """
        self._waited_for = {one for one in self._waited_for if one.waiting}
        return set(self._waited_for)

    def of_runs(self, runs: Collection[Backend]) -> list[tuple[FlowKey, Flow]]:
        """List the open flows of some runs.

        Parameters
        ----------
        runs : collection of Backend
            The runs.

        Returns
        -------
        list of tuple of (FlowKey, Flow)
            Those that were seen to be open here.
        """
        return [
            (key, flow)
            for key, flow in self._flows.items()
            if flow.backend in runs and flow.opened
        ]

    def forget(self, key: FlowKey) -> None:
        """Drop a flow that was reset.

        Parameters
        ----------
        key : FlowKey
            The flow.
        """
        flow = self._flows.get(key)
        if flow is not None:
            self._remove(key, flow)

    def _remove(self, key: FlowKey, flow: Flow) -> None:
        self._set_busy(flow, False)
        flow.backend.flows -= 1
        del self._flows[key]
        if self.watch:
            self.watch.forget(key)

    def sweep(self, now_s: float) -> None:
        """Drop what has not been seen for long.

        Parameters
        ----------
        now_s : float
            Present time.
        """
        for key, flow in list(self._flows.items()):
            if now_s - flow.seen_s > _IDLE_S:
                self._remove(key, flow)
            elif flow.busy and now_s - flow.seen_s > _LONGEST_REQUEST_S:
                self._set_busy(flow, False)
