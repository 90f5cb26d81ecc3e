"""Placement of new flows, done by the service's dispatcher."""

from collections.abc import Callable
from dataclasses import dataclass

from agatethread.observability import Counters
from agatethread.routing import Endpoint, EndpointTable, FlowTable, choose_for_stream
from agatethread.settings import ServiceDocument
from agatethread.wire import (
    Cookie,
    Envelope,
    Kind,
    Reason,
    Sealer,
    StreamLabel,
    seal_cookie,
    seal_stream_label,
    service_hash,
)

_OPEN_TIMEOUT_S = 5.0
_MOST_TRIES = 4
_RETRY_S = 0.5

SendPacked = Callable[[bytes, bytes], None]


@dataclass(slots=True, eq=False)
class _Pending:
    datagram: bytes
    service: str
    flow_id: int
    caller: bytes
    started_s: float
    tries: int = 1


class FlowPlacer:
    """Places flows by exact counts and has them opened.

    Parameters
    ----------
    sealer : Sealer
        Seals cookies and labels.
    endpoints : EndpointTable
        The backend servers.
    flows : FlowTable
        Counts of what was placed here.
    document_of : callable
        Returns a service's document, or None.
    send_backend, send_caller : callable
        Send a datagram to a packed address.
    now_s : callable
        Monotonic clock.
    counters : Counters
        Counts placements and refusals.
    """

    def __init__(
        self,
        sealer: Sealer,
        endpoints: EndpointTable,
        flows: FlowTable,
        document_of: Callable[[str], ServiceDocument | None],
        send_backend: SendPacked,
        send_caller: SendPacked,
        now_s: Callable[[], float],
        counters: Counters,
    ):
        self._sealer = sealer
        self._endpoints = endpoints
        self._flows = flows
        self._document_of = document_of
        self._send_backend = send_backend
        self._send_caller = send_caller
        self._now_s = now_s
        self._counters = counters
        self._pending: dict[int, _Pending] = {}

    def on_open(self, envelope: Envelope, caller: bytes) -> None:
        """Open a flow, or answer a copy of its opening.

        Parameters
        ----------
        envelope : Envelope
            The caller's request to open.
        caller : bytes
            Packed address of the caller.
        """
        key = flow_key(envelope.service, envelope.flow_id)
        pending = _Pending(
            envelope.SerializeToString(),
            envelope.service,
            envelope.flow_id,
            caller,
            self._now_s(),
        )
        placed = self._flows.get_endpoint(key)
        if placed is not None and not placed.gone:
            self._send_open(pending, placed)
            return
        self._place(key, pending)

    def _place(self, key: int, pending: _Pending) -> None:
        document = self._document_of(pending.service)
        if document is None:
            self._refuse(pending, Reason.NO_DOCUMENT)
            return
        if self._flows.is_full:
            self._refuse(pending, Reason.TABLE_FULL)
            return

        candidates = self._endpoints.of_service(pending.service)
        now_s = self._now_s()
        endpoint = choose_for_stream(candidates, now_s, document.ramp_s)
        if endpoint is None:
            is_open = any(candidate.takes_new_work for candidate in candidates)
            reason = Reason.OVERLOADED if is_open else Reason.NO_ENDPOINT
            self._refuse(pending, reason)
            return

        endpoint.last_used_s = now_s
        self._flows.place(key, endpoint, pending.caller)
        self._pending[key] = pending
        self._counters["flow_placed"] += 1
        self._send_open(pending, endpoint)

    def _refuse(self, pending: _Pending, reason: int) -> None:
        self._counters["flow_refused_" + Reason.Name(reason).lower()] += 1
        verdict = Envelope(
            kind=Kind.REFUSED,
            service=pending.service,
            flow_id=pending.flow_id,
            reason=reason,
            retry_after_ms=round(_RETRY_S * 1000),
        )
        self._send_caller(pending.caller, verdict.SerializeToString())

    def _send_open(self, pending: _Pending, endpoint: Endpoint) -> None:
        service = service_hash(pending.service)
        cookie = Cookie(
            endpoint.address, endpoint.incarnation, service, pending.flow_id
        )
        label = StreamLabel(pending.caller, service, pending.flow_id, endpoint.address)
        suffix = Envelope(
            cookie=seal_cookie(self._sealer, cookie),
            return_label=seal_stream_label(self._sealer, label),
            incarnation=endpoint.incarnation,
        ).SerializeToString()
        self._send_backend(endpoint.address, pending.datagram + suffix)

    def is_placing(self, service: str, flow_id: int) -> bool:
        """Tell whether a flow waits here for its backend server's answer.

        Parameters
        ----------
        service : str
            The service.
        flow_id : int
            The flow.

        Returns
        -------
        bool
            Whether it does.
        """
        return flow_key(service, flow_id) in self._pending

    def on_opened(self, service: str, flow_id: int) -> None:
        """Note that a backend server took a flow.

        Parameters
        ----------
        service : str
            The service.
        flow_id : int
            The flow.
        """
        key = flow_key(service, flow_id)
        if self._pending.pop(key, None) is not None:
            self._flows.confirm(key)

    def on_shed(self, service: str, flow_id: int, address: bytes) -> None:
        """Place a flow elsewhere after a backend server did not take it.

        Parameters
        ----------
        service : str
            The service.
        flow_id : int
            The flow.
        address : bytes
            The backend server.
        """
        key = flow_key(service, flow_id)
        placed = self._flows.get_endpoint(key)
        pending = self._pending.get(key)
        if pending is None or placed is None or placed.address != address:
            return

        placed.record_failure(self._now_s())
        self._flows.remove(key, None)
        del self._pending[key]
        self._counters["flow_shed"] += 1
        pending.tries += 1
        if pending.tries > _MOST_TRIES:
            self._refuse(pending, Reason.OVERLOADED)
            return
        self._place(key, pending)

    def on_closed(self, service: str, flow_id: int, address: bytes) -> None:
        """Uncount a flow that ended.

        Parameters
        ----------
        service : str
            The service.
        flow_id : int
            The flow.
        address : bytes
            Where it was.
        """
        key = flow_key(service, flow_id)
        self._pending.pop(key, None)
        self._flows.remove(key, self._endpoints.by_address.get(address))

    def on_endpoint_gone(self, endpoint: Endpoint) -> None:
        """Tell the callers of a backend server that died.

        Parameters
        ----------
        endpoint : Endpoint
            The backend server.
        """
        service = service_hash(endpoint.service)
        for key, caller in self._flows.remove_flows_of(endpoint):
            self._pending.pop(key, None)
            reset = Envelope(
                kind=Kind.RESET,
                service=endpoint.service,
                flow_id=key ^ service,
                reason=Reason.ENDPOINT_GONE,
            )
            self._send_caller(caller, reset.SerializeToString())

    def expire_pending(self) -> None:
        """Uncount flows whose backend server never answered."""
        oldest_s = self._now_s() - _OPEN_TIMEOUT_S
        for key, pending in list(self._pending.items()):
            if pending.started_s < oldest_s:
                del self._pending[key]
                self._flows.remove(key, None)
                self._counters["flow_open_timeout"] += 1


def flow_key(service: str, flow_id: int) -> int:
    """Key of a flow among all services.

    Parameters
    ----------
    service : str
        The service.
    flow_id : int
        The flow, as its caller named it.

    Returns
    -------
    int
        64 bits.
    """
    return flow_id ^ service_hash(service)
