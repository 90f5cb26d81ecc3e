"""Requests at an entry instance: found their owner, standby, or a verdict at once."""

from collections.abc import Callable

from agatethread.entry._documents import DocumentBook
from agatethread.entry._fragments import ask_for_missing
from agatethread.exceptions import DatagramError, TransferLimitError
from agatethread.membership import MemberTable
from agatethread.observability import Counters
from agatethread.operations import (
    InstanceCallbacks,
    OperationOwner,
    ServiceQueue,
    StandbyClaims,
)
from agatethread.routing import EndpointTable
from agatethread.settings import EntrySettings
from agatethread.transfer import Assembler
from agatethread.wire import (
    NO_MEMBER,
    Envelope,
    Kind,
    MemberRef,
    OperationLabel,
    Peer,
    Reason,
    Relay,
    Sealer,
    Token,
    operation_id_parts,
    parse_label,
    parse_token,
    service_hash,
)

_DEFAULT_LIMIT_MS = 60_000


class RequestDesk:
    """Routes requests and replies to whoever may decide the operation.

    Parameters
    ----------
    entry : EntrySettings
        Limits of the role.
    ports : InstanceCallbacks
        The rest of the instance.
    sealer : Sealer
        Opens tokens and labels.
    members : MemberTable
        The fleet.
    endpoints : EndpointTable
        The backend servers.
    book : DocumentBook
        The documents.
    start_task : callable
        Runs a coroutine as a task of the instance.
    counters : Counters
        Counts requests by what was done with them.
    """

    def __init__(
        self,
        entry: EntrySettings,
        ports: InstanceCallbacks,
        sealer: Sealer,
        members: MemberTable,
        endpoints: EndpointTable,
        book: DocumentBook,
        start_task: Callable,
        counters: Counters,
    ):
        self._ports = ports
        self._sealer = sealer
        self._members = members
        self._endpoints = endpoints
        self._book = book
        self._counters = counters
        self._queues: dict[str, ServiceQueue] = {}
        self.claims = StandbyClaims(
            ports,
            sealer,
            endpoints,
            counters,
            entry.operation_limit_count,
            entry.retention_s,
        )
        self.owner = OperationOwner(
            ports,
            sealer,
            self._queue_of,
            self._is_dispatcher,
            start_task,
            counters,
            entry.operation_limit_count,
            entry.retention_s,
            entry.claim_timeout_s,
            entry.transfer_limit_bytes,
        )
        caller_limit_bytes = entry.transfer_limit_bytes * entry.caller_transfer_ratio
        self._assembler = Assembler(
            ports.now_s, entry.transfer_limit_bytes, int(caller_limit_bytes)
        )

    @property
    def running_count(self) -> int:
        """Operations without a verdict yet."""
        return self.owner.running_count

    @property
    def waiting_counts(self) -> dict[str, int]:
        """Requests that wait for a slot, by service."""
        return {name: queue.waiting_count for name, queue in self._queues.items()}

    def _queue_of(self, service: str) -> ServiceQueue | None:
        if service not in self._book.documents:
            return None
        queue = self._queues.get(service)
        if queue is None:
            queue = ServiceQueue(
                lambda: self._book.documents[service],
                lambda: self._endpoints.of_service(service),
                self._ports.now_s,
            )
            self._queues[service] = queue
        return queue

    def _is_dispatcher(self, service: str) -> bool:
        return self._members.is_dispatcher(service_hash(service))

    def on_request(self, envelope: Envelope, caller: bytes) -> None:
        """Take a request that a caller sent here.

        Parameters
        ----------
        envelope : Envelope
            The request.
        caller : bytes
            Packed address of the caller.

        Raises
        ------
        DatagramError, SealError
            If its operation id is malformed, or its token is not ours.
        """
        token = self._token_of(envelope)
        target = self._decider(envelope, token)
        if target == self._members.me.ref:
            self._decide_here(envelope, token, caller)
            return
        if target == NO_MEMBER:
            self._say_unreachable(envelope, caller)
            return

        self._counters["request_relayed"] += 1
        relay = Relay(caller=caller, datagram=envelope.SerializeToString())
        self._ports.send_peer(target.address, Peer(relay=relay))

    def _say_unreachable(self, envelope: Envelope, caller: bytes) -> None:
        self._counters["home_lost"] += 1
        fresh = self._ports.fresh_token(envelope.service)
        # No verdict: an instance on the other side of a cut may reach the owner.
        hint = Envelope(
            kind=Kind.UNREACHABLE, operation_id=envelope.operation_id, token=fresh
        )
        self._ports.send_caller(caller, hint.SerializeToString())

    def _token_of(self, envelope: Envelope) -> Token:
        sealed, _ = operation_id_parts(envelope.operation_id)
        token = parse_token(self._sealer, sealed)
        if token.service != service_hash(envelope.service):
            raise DatagramError("wrong service")
        return token

    def _decider(self, envelope: Envelope, token: Token) -> MemberRef:
        if self._ports.is_alive(token.owner):
            return token.owner
        # An idempotent operation is soon sent anew under a fresh token, so nobody
        # needs to find out what its owner did; and were it run here too, the owner,
        # if it is alive after all, could refuse it falsely.
        if envelope.idempotent or not self._ports.is_alive(token.standby):
            return NO_MEMBER
        return token.standby

    def on_relayed_request(self, envelope: Envelope, caller: bytes) -> None:
        """Take a request that another instance sent on.

        Parameters
        ----------
        envelope : Envelope
            The request.
        caller : bytes
            Packed address of the caller.
        """
        self._decide_here(envelope, self._token_of(envelope), caller)

    def _decide_here(self, envelope: Envelope, token: Token, caller: bytes) -> None:
        me = self._members.me.ref
        if token.owner == me:
            self._own(envelope, token, caller)
            return
        if token.standby == me:
            self.claims.on_copy(envelope, token, caller)
            return
        self._counters["dropped_not_mine"] += 1

    def _own(self, envelope: Envelope, token: Token, caller: bytes) -> None:
        deadline_s = self._deadline_s(envelope)
        if self.owner.has_operation(envelope.operation_id):
            self.owner.on_request(envelope, token, caller, deadline_s)
            return
        try:
            whole = self._assembler.add(envelope.operation_id, caller, envelope)
        except TransferLimitError:
            self._counters["transfer_refused"] += 1
            envelope.payload = b""
            envelope.ClearField("fragment_count")
            self.owner.refuse(envelope, token, caller, Reason.TOO_LARGE)
            return
        if whole is not None:
            self.owner.on_request(whole, token, caller, deadline_s)

    def on_missing(self, envelope: Envelope) -> None:
        """Take a caller's request for fragments of its answer.

        Parameters
        ----------
        envelope : Envelope
            Names the operation and the fragments.
        """
        token = self._token_of(envelope)
        if token.owner == self._members.me.ref:
            self.owner.resend_verdict(envelope.operation_id, envelope.missing)
            return
        relay = Relay(datagram=envelope.SerializeToString())
        self._ports.send_peer(token.owner.address, Peer(relay=relay))

    def on_backend_missing(self, data: bytes, envelope: Envelope) -> None:
        """Take a backend server's request for fragments of a request.

        Parameters
        ----------
        data : bytes
            The datagram.
        envelope : Envelope
            The datagram, decoded.
        """
        label = parse_label(self._sealer, envelope.return_label)
        if not isinstance(label, OperationLabel):
            raise DatagramError("wrong label")
        if label.owner == self._members.me.ref:
            self.owner.resend_request(
                envelope.operation_id, label.attempt, envelope.missing
            )
            return
        self._relay_reply(label.owner, data, b"")

    def _deadline_s(self, envelope: Envelope) -> float:
        document = self._book.documents.get(envelope.service)
        limit_ms = document.deadline_limit_ms if document else _DEFAULT_LIMIT_MS
        return min(envelope.deadline_ms or limit_ms, limit_ms) / 1000

    def on_cancel(self, envelope: Envelope) -> None:
        """Take a caller's cancellation.

        Parameters
        ----------
        envelope : Envelope
            Names the operation.
        """
        token = self._token_of(envelope)
        if token.owner == self._members.me.ref:
            self.owner.on_cancel(envelope.operation_id)
            return
        relay = Relay(datagram=envelope.SerializeToString())
        self._ports.send_peer(token.owner.address, Peer(relay=relay))

    def on_relayed_cancel(self, envelope: Envelope) -> None:
        """Take a cancellation that another instance sent on.

        Parameters
        ----------
        envelope : Envelope
            Names the operation.
        """
        self.owner.on_cancel(envelope.operation_id)

    def on_backend_reply(self, data: bytes, envelope: Envelope, source: bytes) -> bool:
        """Take a backend server's reply to an operation.

        Parameters
        ----------
        data : bytes
            The datagram.
        envelope : Envelope
            The datagram, decoded.
        source : bytes
            Packed address of the backend server.

        Returns
        -------
        bool
            False if it belongs to a flow instead.

        Raises
        ------
        SealError
            If its label is not ours.
        """
        label = parse_label(self._sealer, envelope.return_label)
        if not isinstance(label, OperationLabel):
            return False

        me = self._members.me.ref
        if label.owner != me and self._ports.is_alive(label.owner):
            self._relay_reply(label.owner, data, source)
        elif me not in (label.owner, label.standby):
            self._relay_reply(label.standby, data, source)
        else:
            self._settle_here(label, envelope, source)
        return True

    def _relay_reply(self, target: MemberRef, data: bytes, source: bytes) -> None:
        if target == NO_MEMBER:
            self._counters["reply_without_home"] += 1
            return
        relay = Relay(caller=source, datagram=data)
        self._ports.send_peer(target.address, Peer(relay=relay))

    def on_relayed_reply(self, envelope: Envelope, source: bytes) -> bool:
        """Take a backend server's reply that another instance sent on.

        Parameters
        ----------
        envelope : Envelope
            The reply.
        source : bytes
            Packed address of the backend server.

        Returns
        -------
        bool
            False if it belongs to a flow instead.
        """
        label = parse_label(self._sealer, envelope.return_label)
        if not isinstance(label, OperationLabel):
            return False
        self._settle_here(label, envelope, source)
        return True

    def _settle_here(
        self, label: OperationLabel, envelope: Envelope, source: bytes
    ) -> None:
        operation_id = envelope.operation_id
        if operation_id_parts(operation_id)[1] != label.nonce:
            self._counters["reply_crossed"] += 1
            return
        key = (operation_id, label.attempt)
        envelope = self._assembler.add(key, source, envelope)
        if envelope is None:
            return
        if label.owner == self._members.me.ref:
            self.owner.on_reply(operation_id, label, envelope)
        else:
            self.claims.on_reply(operation_id, label, envelope)
        received = Envelope(
            kind=Kind.RECEIVED,
            service=envelope.service,
            operation_id=operation_id,
            attempt=envelope.attempt,
        )
        self._ports.send_backend(source, received.SerializeToString())

    def pump(self, service: str) -> None:
        """Give out slots that a backend server's change has opened.

        Parameters
        ----------
        service : str
            The service.
        """
        queue = self._queues.get(service)
        if queue is not None:
            queue.grant_waiting()

    def refuse_waiting(self) -> None:
        """Refuse what has not been dispatched, on leaving."""
        for queue in self._queues.values():
            queue.refuse_all(Reason.MOVED)

    def sweep(self) -> None:
        """Do what is due: give out slots, decide for dead owners, expire records."""
        for queue in self._queues.values():
            queue.grant_waiting()
        ask_for_missing(self._assembler, self._ports)
        self.claims.sweep()
        self.owner.expire()
