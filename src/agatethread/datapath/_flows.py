"""Records of flows, from which the load and missing answers of runs are derived.

Answers bypass the entry instance, so whether a run answered is inferred from the
acknowledgements in callers' packets: an answer is anything sent by the run that a
caller acknowledges. Packets are forwarded by label, also without a record of the flow.
"""

from collections.abc import Collection

from agatethread.datapath._answers import AnswerMonitor
from agatethread.datapath._backend import Backend
from agatethread.datapath._packets import FlowKey, Packet
from agatethread.observability import Histogram

#: A flow without packets for this long may have continued through another instance; its
#: record is deleted.
_IDLE_TIMEOUT_S = 15.0
#: A request without packets for this long no longer counts as in progress.
_REQUEST_TIMEOUT_S = 3.0
#: A caller sends at most 16 packets of 1,200 bytes without an acknowledgement.
_SEND_WINDOW_BYTES = 16 * 1_200
#: Callers retransmit after 200 ms; an earlier repetition is due to reordering.
_MIN_RETRANSMIT_S = 0.15
_SEQUENCE_MASK = 0xFFFFFFFF
_SEQUENCE_HALF = 0x80000000


def _is_after(number: int, other: int) -> bool:
    """Return whether a sequence number is after another, modulo 32 bits."""
    return 0 < (number - other) & _SEQUENCE_MASK < _SEQUENCE_HALF


class Flow:
    """State of a flow as seen by this instance."""

    __slots__ = (
        "acknowledged",
        "asked_s",
        "backend",
        "busy",
        "is_label_seen",
        "opened",
        "repeated_since_s",
        "window_start",
        "last_packet_s",
        "highest_sent",
        "tried",
        "waiting_since_s",
    )

    def __init__(self, backend: Backend, now_s: float):
        self.backend = backend
        #: Earlier runs that got the opening and did not answer it.
        self.tried: tuple[Backend, ...] = ()
        #: Whether a packet after the opening was seen.
        self.opened = False
        #: Whether the run is the one that the caller's last packet named; else it is
        #: the one that the last opening was placed on.
        self.is_label_seen = False
        #: Whether an opening or a request is counted as in progress.
        self.busy = False
        #: Time of the latest opening, request, new send window or counted
        #: retransmission.
        self.waiting_since_s = now_s
        self.last_packet_s = now_s
        #: Time of the first packet of the latest request or send window.
        self.asked_s = now_s
        #: Time of the first retransmission since the caller sent new data or had an
        #: answer; None if there is none.
        self.repeated_since_s: float | None = None
        #: Highest sequence numbers sent and acknowledged by the caller.
        self.highest_sent: int | None = None
        self.acknowledged: int | None = None
        #: Sequence number at which the current send window starts.
        self.window_start = 0


class FlowLoads:
    """Records of the flows of this instance; updates the counts of their runs.

    Parameters
    ----------
    limit_count : int
        Maximum number of recorded flows; further flows are not counted.
    """

    def __init__(self, limit_count: int):
        self._limit_count = limit_count
        self._flows: dict[FlowKey, Flow] = {}
        #: Runs that may have waiting flows, see `runs_with_waiting_flows`.
        self._runs_with_waiting_flows: set[Backend] = set()
        #: Set if the quality of answers is measured.
        self.answer_monitor: AnswerMonitor | None = None
        #: Time from an opening and from a request to the answer.
        self.opening_s = Histogram()
        self.answer_s = Histogram()

    def __len__(self) -> int:
        return len(self._flows)

    def get_flow(self, key: FlowKey) -> Flow | None:
        """Return the record of a flow.

        Parameters
        ----------
        key : FlowKey
            The flow.

        Returns
        -------
        Flow or None
            None if the flow is not recorded.
        """
        return self._flows.get(key)

    def record_opening(self, key: FlowKey, backend: Backend, now_s: float) -> None:
        """Record that an opening is forwarded.

        Parameters
        ----------
        key : FlowKey
            The flow.
        backend : Backend
            Run that gets the opening.
        now_s : float
            Current time.
        """
        flow = self._flows.get(key)
        if flow is not None and flow.opened:
            # An earlier flow of the same port; nothing of it is true of this one.
            self._remove(key, flow)
            flow = None
        if flow is None:
            flow = self._add(key, backend, now_s)
            if flow is None:
                return
        elif flow.backend is not backend:
            if self.answer_monitor and flow.busy and not flow.opened:
                self.answer_monitor.on_unanswered_opening(flow.backend)
            flow.tried += (flow.backend,)
            self._reassign(flow, backend)
        flow.is_label_seen = False
        flow.waiting_since_s = now_s
        flow.last_packet_s = now_s
        # Counts the request that follows the opening already, so that the next
        # openings of a burst are placed with regard to it.
        self._set_in_progress(flow, True)

    def _add(self, key: FlowKey, backend: Backend, now_s: float) -> Flow | None:
        if len(self._flows) >= self._limit_count:
            return None
        flow = self._flows[key] = Flow(backend, now_s)
        backend.flows += 1
        return flow

    def _reassign(self, flow: Flow, backend: Backend) -> None:
        self._set_in_progress(flow, False)
        flow.backend.flows -= 1
        flow.backend = backend
        backend.flows += 1

    @staticmethod
    def _set_in_progress(flow: Flow, busy: bool) -> None:
        """Set whether a request is in progress, also in the count of the run."""
        if flow.busy != busy:
            flow.busy = busy
            flow.backend.in_flight += 1 if busy else -1

    def record_packet(self, packet: Packet, backend: Backend, now_s: float) -> None:
        """Record a packet of an open flow.

        Parameters
        ----------
        packet : Packet
            The packet.
        backend : Backend
            Run that its label maps to.
        now_s : float
            Current time.
        """
        flow = self._flows.get(packet.key) or self._add(packet.key, backend, now_s)
        if flow is None:
            return
        if flow.backend is not backend:
            self._reassign(flow, backend)
        flow.is_label_seen = True
        flow.last_packet_s = now_s
        if packet.closes or packet.resets:
            if self.answer_monitor:
                self._record_close(self.answer_monitor, flow, packet, now_s)
            self._remove(packet.key, flow)
            return
        self._record_answer(flow, packet, now_s)
        if packet.payload_bytes:
            self._record_request(flow, packet, now_s)

    @staticmethod
    def _record_close(
        answer_monitor: AnswerMonitor, flow: Flow, packet: Packet, now_s: float
    ) -> None:
        """Tell the monitor the end of a flow, and an answer acknowledged by its end."""
        previous = flow.acknowledged
        if previous is not None and _is_after(packet.acknowledged, previous):
            answer_bytes = (packet.acknowledged - previous) & _SEQUENCE_MASK
            answer_monitor.on_answer(
                packet.key, answer_bytes, not packet.payload_bytes, now_s
            )
        answer_monitor.on_flow_end(packet.key)

    def _record_answer(self, flow: Flow, packet: Packet, now_s: float) -> None:
        previous = flow.acknowledged
        if not flow.opened or previous is None:
            self._record_first_after_opening(flow, packet, now_s)
            return
        if _is_after(packet.acknowledged, previous):
            flow.acknowledged = packet.acknowledged
            flow.repeated_since_s = None
            flow.backend.record_answer(now_s)
            if self.answer_monitor:
                answer_bytes = (packet.acknowledged - previous) & _SEQUENCE_MASK
                # With payload, the acknowledgement may have waited for that request.
                is_prompt = not packet.payload_bytes
                self.answer_monitor.on_answer(
                    packet.key, answer_bytes, is_prompt, now_s
                )
            if flow.busy:
                took_s = now_s - flow.waiting_since_s
                self.answer_s.record(took_s)
                flow.backend.record_answer_time(took_s)
            self._set_in_progress(flow, False)

    def _record_first_after_opening(
        self, flow: Flow, packet: Packet, now_s: float
    ) -> None:
        """Record the first packet after the opening that this instance sees.

        After an opening through this instance it shows that the opening was answered.
        On a flow that continues here from another instance a request may be a
        retransmission of an unanswered one, so it is no evidence of an answer.
        """
        was_opened_here = flow.busy and not flow.opened
        if was_opened_here:
            self.opening_s.record(now_s - flow.waiting_since_s)
        flow.opened = True
        flow.acknowledged = packet.acknowledged
        flow.window_start = packet.sequence
        if was_opened_here or not packet.payload_bytes:
            flow.backend.record_answer(now_s)

    def _record_request(self, flow: Flow, packet: Packet, now_s: float) -> None:
        if flow.highest_sent is not None and not _is_after(
            packet.sequence, flow.highest_sent
        ):
            # All retransmissions of a send window count as one missing answer.
            if now_s - flow.waiting_since_s >= _MIN_RETRANSMIT_S:
                flow.backend.add_waiting_flow(packet.key, flow.waiting_since_s)
                self._runs_with_waiting_flows.add(flow.backend)
                flow.backend.record_failure(flow.waiting_since_s, now_s)
                flow.waiting_since_s = now_s
                if flow.repeated_since_s is None:
                    flow.repeated_since_s = now_s
            return
        flow.repeated_since_s = None
        is_first = flow.highest_sent is None
        flow.highest_sent = packet.sequence
        # After an opening the flow is busy before its first request.
        if is_first or not flow.busy:
            self._set_in_progress(flow, True)
            flow.waiting_since_s = flow.asked_s = now_s
            flow.window_start = packet.sequence
            if self.answer_monitor:
                self.answer_monitor.on_request(packet.key, flow.backend, now_s)
        elif (
            packet.sequence - flow.window_start
        ) & _SEQUENCE_MASK >= _SEND_WINDOW_BYTES:
            # The caller has sent more than a send window, so the run has acknowledged
            # the start of the window.
            flow.backend.record_answer(now_s)
            flow.waiting_since_s = flow.asked_s = now_s
            flow.window_start = packet.sequence
            if self.answer_monitor:
                self.answer_monitor.on_request(packet.key, flow.backend, now_s)

    def runs_with_waiting_flows(self) -> set[Backend]:
        """Return the runs with flows that wait for an answer.

        Returns
        -------
        set of Backend
            Runs with flows in `Backend.waiting`.
        """
        self._runs_with_waiting_flows = {
            run for run in self._runs_with_waiting_flows if run.waiting
        }
        return set(self._runs_with_waiting_flows)

    def open_flows_of(self, runs: Collection[Backend]) -> list[tuple[FlowKey, Flow]]:
        """Return the open flows of some runs.

        Parameters
        ----------
        runs : collection of Backend
            The runs.

        Returns
        -------
        list of tuple of (FlowKey, Flow)
            Flows for which this instance has seen a packet after the opening.
        """
        return [
            (key, flow)
            for key, flow in self._flows.items()
            if flow.backend in runs and flow.opened
        ]

    def delete_flow(self, key: FlowKey) -> None:
        """Delete the record of a flow that was reset.

        Parameters
        ----------
        key : FlowKey
            The flow.
        """
        flow = self._flows.get(key)
        if flow is not None:
            self._remove(key, flow)

    def _remove(self, key: FlowKey, flow: Flow) -> None:
        self._set_in_progress(flow, False)
        flow.backend.flows -= 1
        del self._flows[key]
        if self.answer_monitor:
            self.answer_monitor.discard(key)

    def sweep(self, now_s: float) -> None:
        """Delete the records of idle flows and stop counting old requests.

        Parameters
        ----------
        now_s : float
            Current time.
        """
        for key, flow in list(self._flows.items()):
            if now_s - flow.last_packet_s > _IDLE_TIMEOUT_S:
                self._remove(key, flow)
            elif flow.busy and now_s - flow.last_packet_s > _REQUEST_TIMEOUT_S:
                self._set_in_progress(flow, False)
