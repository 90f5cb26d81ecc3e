"""Forward datagrams of open flows by their cookies and labels, without flow records."""

from collections.abc import Callable

from agatethread.exceptions import SealError
from agatethread.observability import Counters
from agatethread.routing import (
    Endpoint,
    EndpointTable,
    OpenFlowOutcome,
    decide_open_flow,
)
from agatethread.wire import (
    Cookie,
    Envelope,
    Kind,
    Reason,
    Sealer,
    StreamLabel,
    pack_address,
    parse_cookie,
    parse_label,
    seal_stream_label,
    service_hash,
    unpack_address,
)

#: Size at which a cache is cleared. The caches avoid verifying a seal per datagram.
_CACHE_LIMIT_COUNT = 4_096

SocketAddress = tuple[str, int]
Send = Callable[[bytes, SocketAddress], None]
#: Backend server's address, fields appended to the datagram, service and flow id.
#: Concatenated protobuf messages are merged, so the appended fields replace those
#: of the sender.
Route = tuple[SocketAddress, bytes, str, int]


class FlowForwarder:
    """Forwards datagrams of open flows in both directions.

    Parameters
    ----------
    sealer : Sealer
        Verifies cookies and labels, and seals labels.
    endpoints : EndpointTable
        Backend servers by address.
    ask_if_gone : callable
        Called with a backend server that is told to be gone and gets a datagram.
    send_on_inner_socket, send_on_caller_socket : callable
        Send a datagram to a socket address, without splitting it.
    counters : Counters
        Counts datagrams by result.
    """

    def __init__(
        self,
        sealer: Sealer,
        endpoints: EndpointTable,
        ask_if_gone: Callable[[Endpoint], None],
        send_on_inner_socket: Send,
        send_on_caller_socket: Send,
        counters: Counters,
    ):
        self._sealer = sealer
        self._endpoints = endpoints
        self._ask_if_gone = ask_if_gone
        self._send_on_inner_socket = send_on_inner_socket
        self._send_on_caller_socket = send_on_caller_socket
        self._counters = counters
        self._routes: dict[tuple[bytes, SocketAddress], Route] = {}
        self._labels: dict[bytes, tuple[StreamLabel, SocketAddress, SocketAddress]] = {}

    def clear_routes(self) -> None:
        """Clear the cached routes after a change of a backend server."""
        self._routes.clear()

    def forward_to_backend(
        self, data: bytes, envelope: Envelope, caller: SocketAddress
    ) -> bool:
        """Forward a caller's datagram of an open flow.

        Parameters
        ----------
        data : bytes
            Datagram.
        envelope : Envelope
            Decoded datagram.
        caller : tuple of (str, int)
            Source address.

        Returns
        -------
        bool
            Whether it was forwarded.

        Raises
        ------
        SealError
            If its cookie was not sealed by an entry instance.
        """
        route = self._routes.get((envelope.cookie, caller))
        if route is None:
            route = self._build_route(envelope, caller)
            if route is None:
                return False

        target, suffix, service, flow_id = route
        if envelope.flow_id != flow_id or envelope.service != service:
            self._counters["dropped_wrong_flow"] += 1
            return False

        self._send_on_inner_socket(data + suffix, target)
        self._counters["forwarded"] += 1
        return True

    def _build_route(self, envelope: Envelope, caller: SocketAddress) -> Route | None:
        cookie = parse_cookie(self._sealer, envelope.cookie)
        outcome = decide_open_flow(
            # The sealed cookie proves that the run existed.
            is_known=True,
            is_allowed=cookie.service == service_hash(envelope.service),
            is_gone=self._has_exited(cookie, envelope.service),
        )
        if outcome is OpenFlowOutcome.RESET:
            self._send_reset(envelope, caller)
            return None
        if outcome is not OpenFlowOutcome.FORWARD:
            self._counters["dropped_wrong_service"] += 1
            return None

        label = StreamLabel(
            pack_address(caller), cookie.service, cookie.flow_id, cookie.endpoint
        )
        suffix = Envelope(
            return_label=seal_stream_label(self._sealer, label),
            incarnation=cookie.incarnation,
        ).SerializeToString()
        target = unpack_address(cookie.endpoint)
        route = (target, suffix, envelope.service, cookie.flow_id)
        if len(self._routes) >= _CACHE_LIMIT_COUNT:
            self._routes.clear()
        self._routes[envelope.cookie, caller] = route
        return route

    def _has_exited(self, cookie: Cookie, service: str) -> bool:
        # If no announcement of this run or a later one was received, the flow counts as
        # open; the backend server checks the incarnation, too.
        current = self._endpoints.by_address.get(cookie.endpoint)
        if current is None or current.incarnation < cookie.incarnation:
            return False
        if current.incarnation > cookie.incarnation or current.service != service:
            return True
        if current.gone:
            self._ask_if_gone(current)
        return current.has_exited

    def _send_reset(self, envelope: Envelope, caller: SocketAddress) -> None:
        self._counters["reset"] += 1
        reset = Envelope(
            kind=Kind.RESET,
            service=envelope.service,
            flow_id=envelope.flow_id,
            cookie=envelope.cookie,
            reason=Reason.ENDPOINT_GONE,
        )
        self._send_on_caller_socket(reset.SerializeToString(), caller)

    def forward_to_caller(
        self, data: bytes, envelope: Envelope, source: SocketAddress
    ) -> StreamLabel | None:
        """Forward a backend server's datagram of a flow.

        Parameters
        ----------
        data : bytes
            Datagram.
        envelope : Envelope
            Decoded datagram.
        source : tuple of (str, int)
            Source address.

        Returns
        -------
        StreamLabel or None
            Label of the datagram, or None if it was dropped.

        Raises
        ------
        SealError
            If its label was not sealed by an entry instance.
        """
        cached = self._labels.get(envelope.return_label)
        if cached is None:
            cached = self._parse_stream_label(envelope)
            if len(self._labels) >= _CACHE_LIMIT_COUNT:
                self._labels.clear()
            self._labels[envelope.return_label] = cached

        label, caller, endpoint = cached
        if source != endpoint or envelope.flow_id != label.flow_id:
            self._counters["dropped_wrong_source"] += 1
            return None

        self._send_on_caller_socket(data, caller)
        self._counters["returned"] += 1
        return label

    def _parse_stream_label(
        self, envelope: Envelope
    ) -> tuple[StreamLabel, SocketAddress, SocketAddress]:
        label = parse_label(self._sealer, envelope.return_label)
        if not isinstance(label, StreamLabel):
            raise SealError("label is not a flow label")
        return label, unpack_address(label.caller), unpack_address(label.endpoint)
