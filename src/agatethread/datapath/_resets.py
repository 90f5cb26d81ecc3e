"""Resets flows of callers, and logs what each reset rests on."""

from collections.abc import Callable
from math import isfinite

from agatethread.datapath._backend import Backend
from agatethread.datapath._flows import Flow
from agatethread.datapath._packets import Address, FlowKey, Packet, PacketCodec
from agatethread.observability import Counters, Event, make_logger
from agatethread.settings import format_address
from agatethread.wire import unpack_address
from agatethread.wire.registry_pb2 import RunEnd

log = make_logger("forwarder")


def format_source(address: bytes) -> str | None:
    """Return the address of a control instance for logs.

    Parameters
    ----------
    address : bytes
        Packed address; empty if unknown.

    Returns
    -------
    str or None
        ``IP:port``; None if unknown.
    """
    return format_address(unpack_address(address)) if address else None


def describe_run(backend: Backend, now_s: float) -> dict[str, object]:
    """Return what this instance believes of a run, and since when, for a state dump.

    Parameters
    ----------
    backend : Backend
        The run.
    now_s : float
        Current time.

    Returns
    -------
    dict
        JSON-serializable.
    """
    verdict = backend.verdict
    return {
        "told_by": format_source(backend.source),
        "told_ago_s": round(now_s - backend.updated_s, 3),
        "report_age_s": round(backend.report_age_s, 3),
        "restored": backend.restored,
        "end": RunEnd.Name(backend.end),
        "end_told_by": format_source(backend.end_source),
        "last_answer_ago_s": _age_s(backend.last_answer_s, now_s),
        "flows_waiting": len(backend.waiting),
        "probe_failed_ago_s": _age_s(backend.probes.failed_s, now_s),
        "unreachable": backend.is_marked_unreachable(now_s),
        "unreachable_ago_s": _age_s(verdict.at_s, now_s) if verdict else None,
    }


def _age_s(time_s: float, now_s: float) -> float | None:
    """Return the time since an event, or None if there was none."""
    return round(now_s - time_s, 3) if time_s and isfinite(time_s) else None


class FlowResetter:
    """Sends resets to callers.

    Parameters
    ----------
    codec : PacketCodec
        Wire format of the packets.
    send : callable
        Sends a datagram to an address; also gets its flow and sequence number.
    now_s : callable
        Monotonic clock.
    counters : Counters
        Counts resets by reason.
    """

    def __init__(
        self,
        codec: PacketCodec,
        send: Callable[[bytes, Address, FlowKey, int], None],
        now_s: Callable[[], float],
        counters: Counters,
    ):
        self._codec = codec
        self._send = send
        self._now_s = now_s
        self._counters = counters

    def refuse_opening(self, packet: Packet, reason: str, table_version: int) -> None:
        """Refuse an opening, or a packet that has no run.

        Parameters
        ----------
        packet : Packet
            Packet of the caller.
        reason : str
            Reason for logs and counters.
        table_version : int
            Version of the routing table in force.
        """
        if packet.resets:
            return
        log.info(
            Event.FLOW_RESET,
            why=reason,
            flow=str(packet.key),
            label=packet.label,
            table_version=table_version,
        )
        self._send_reset(packet, reason)

    def reset_flow(
        self,
        packet: Packet,
        reason: str,
        backend: Backend,
        flow: Flow | None,
        table_version: int,
        asked_s: float | None = None,
    ) -> None:
        """Reset an open flow, and log what is believed of its run and since when.

        Parameters
        ----------
        packet : Packet
            Packet of the caller, or one made from the record of the flow.
        reason : str
            Reason for logs and counters.
        backend : Backend
            Run that the flow is believed to be open at.
        flow : Flow or None
            Record of the flow if the reset rests on it; None if the run is the one that
            the packet names.
        table_version : int
            Version of the routing table in force.
        asked_s : float or None, optional
            Time of the request that is left unanswered.
        """
        if packet.resets:
            return
        now_s = self._now_s()
        is_recorded = flow is not None
        verdict = backend.verdict if not backend.ended else None
        log.info(
            Event.FLOW_RESET,
            why=reason,
            flow=str(packet.key),
            label=packet.label,
            table_version=table_version,
            run=backend.id,
            run_known_from=_source_of_run(flow),
            last_packet_ago_s=_age_s(flow.last_packet_s, now_s) if is_recorded else 0.0,
            asked_ago_s=_age_s(asked_s, now_s) if asked_s else None,
            end=RunEnd.Name(backend.end),
            told_by=format_source(backend.end_source or backend.source),
            told_ago_s=_age_s(backend.ended_s or backend.updated_s, now_s),
            last_report_ago_s=round(backend.report_age_s, 3),
            last_answer_ago_s=_age_s(backend.last_answer_s, now_s),
            silent_s=verdict.silent_s if verdict else None,
            flows_waiting=verdict.flows_waiting if verdict else None,
            answered_by=verdict.answered_by if verdict else None,
            observers=verdict.observers if verdict else None,
            probe_failed_ago_s=_age_s(backend.probes.failed_s, now_s),
        )
        self._counters["resets_inferred" if verdict else "resets_reported"] += 1
        self._send_reset(packet, reason)

    def _send_reset(self, packet: Packet, reason: str) -> None:
        self._counters[f"reset_{reason}"] += 1
        data = self._codec.encode_reset(packet)
        target = self._codec.caller_address(packet)
        self._send(data, target, packet.key, packet.sequence)


def _source_of_run(flow: Flow | None) -> str:
    """Return what shows that a flow is open at its run."""
    if flow is None:
        return "this packet"
    return "earlier packet" if flow.is_label_seen else "opening"
