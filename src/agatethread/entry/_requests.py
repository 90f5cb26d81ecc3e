"""Route requests and replies to the owner or standby of their operation."""

from collections.abc import Callable

from agatethread.entry._documents import DocumentStore
from agatethread.entry._fragments import request_missing_fragments
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
    parse_label,
    parse_token,
    service_hash,
    split_operation_id,
)

_DEFAULT_DEADLINE_LIMIT_MS = 60_000


class RequestRouter:
    """Routes requests and replies, and holds the owner and standby of this instance.

    Parameters
    ----------
    entry : EntrySettings
        Limits of the entry role.
    callbacks : InstanceCallbacks
        Callbacks of the instance.
    sealer : Sealer
        Verifies tokens and labels.
    members : MemberTable
        Entry instances.
    endpoints : EndpointTable
        Backend servers.
    document_store : DocumentStore
        Service documents.
    start_task : callable
        Runs a coroutine as a task of the instance.
    counters : Counters
        Counts requests by result.
    """

    def __init__(
        self,
        entry: EntrySettings,
        callbacks: InstanceCallbacks,
        sealer: Sealer,
        members: MemberTable,
        endpoints: EndpointTable,
        document_store: DocumentStore,
        start_task: Callable,
        counters: Counters,
    ):
        self._callbacks = callbacks
        self._sealer = sealer
        self._members = members
        self._endpoints = endpoints
        self._document_store = document_store
        self._counters = counters
        self._queues: dict[str, ServiceQueue] = {}
        self.standby_claims = StandbyClaims(
            callbacks,
            sealer,
            endpoints,
            counters,
            entry.operation_limit_count,
            entry.retention_s,
        )
        self.owner = OperationOwner(
            callbacks,
            sealer,
            self._get_queue,
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
            callbacks.now_s, entry.transfer_limit_bytes, int(caller_limit_bytes)
        )

    @property
    def running_count(self) -> int:
        """Number of operations without a verdict."""
        return self.owner.running_count

    @property
    def waiting_counts(self) -> dict[str, int]:
        """Number of requests that wait for a slot, by service."""
        return {name: queue.waiting_count for name, queue in self._queues.items()}

    def _get_queue(self, service: str) -> ServiceQueue | None:
        if service not in self._document_store.documents:
            return None
        queue = self._queues.get(service)
        if queue is None:
            queue = ServiceQueue(
                lambda: self._document_store.documents[service],
                lambda: self._endpoints.of_service(service),
                self._callbacks.now_s,
            )
            self._queues[service] = queue
        return queue

    def _is_dispatcher(self, service: str) -> bool:
        return self._members.is_dispatcher(service_hash(service))

    def on_request(self, envelope: Envelope, caller: bytes) -> None:
        """Handle a request that a caller sent to this instance.

        Parameters
        ----------
        envelope : Envelope
            Request.
        caller : bytes
            Packed address of the caller.

        Raises
        ------
        DatagramError, SealError
            If its operation id is malformed or its token is invalid.
        """
        token = self._parse_operation_token(envelope)
        target = self._choose_handling_member(envelope, token)
        if target == self._members.own_member.ref:
            self._handle_locally(envelope, token, caller)
            return
        if target == NO_MEMBER:
            self._send_unreachable(envelope, caller)
            return

        self._counters["request_relayed"] += 1
        relay = Relay(caller=caller, datagram=envelope.SerializeToString())
        self._callbacks.send_peer(target.address, Peer(relay=relay))

    def _send_unreachable(self, envelope: Envelope, caller: bytes) -> None:
        self._counters["home_lost"] += 1
        token = self._callbacks.fresh_token(envelope.service)
        # Not a verdict, as another instance may still reach the owner.
        reply = Envelope(
            kind=Kind.UNREACHABLE, operation_id=envelope.operation_id, token=token
        )
        self._callbacks.send_caller(caller, reply.SerializeToString())

    def _parse_operation_token(self, envelope: Envelope) -> Token:
        sealed_token, _ = split_operation_id(envelope.operation_id)
        token = parse_token(self._sealer, sealed_token)
        if token.service != service_hash(envelope.service):
            raise DatagramError("wrong service")
        return token

    def _choose_handling_member(self, envelope: Envelope, token: Token) -> MemberRef:
        if self._callbacks.is_alive(token.owner):
            return token.owner
        # A standby without a record refuses the operation, and then denies the claim of
        # an owner that is alive after all. The caller retries idempotent ones instead.
        if envelope.idempotent or not self._callbacks.is_alive(token.standby):
            return NO_MEMBER
        return token.standby

    def on_relayed_request(self, envelope: Envelope, caller: bytes) -> None:
        """Handle a request that another instance relayed.

        Parameters
        ----------
        envelope : Envelope
            Request.
        caller : bytes
            Packed address of the caller.
        """
        self._handle_locally(envelope, self._parse_operation_token(envelope), caller)

    def _handle_locally(self, envelope: Envelope, token: Token, caller: bytes) -> None:
        own_ref = self._members.own_member.ref
        if token.owner == own_ref:
            self._handle_as_owner(envelope, token, caller)
            return
        if token.standby == own_ref:
            self.standby_claims.on_copy(envelope, token, caller)
            return
        self._counters["dropped_not_mine"] += 1

    def _handle_as_owner(self, envelope: Envelope, token: Token, caller: bytes) -> None:
        timeout_s = self._get_timeout_s(envelope)
        if self.owner.has_operation(envelope.operation_id):
            self.owner.on_request(envelope, token, caller, timeout_s)
            return
        try:
            request = self._assembler.add(envelope.operation_id, caller, envelope)
        except TransferLimitError:
            self._counters["transfer_refused"] += 1
            envelope.payload = b""
            envelope.ClearField("fragment_count")
            self.owner.refuse(envelope, token, caller, Reason.TOO_LARGE)
            return
        if request is not None:
            self.owner.on_request(request, token, caller, timeout_s)

    def on_missing(self, envelope: Envelope) -> None:
        """Resend the fragments of an answer that a caller reports missing.

        Parameters
        ----------
        envelope : Envelope
            Operation id and the missing fragments.
        """
        token = self._parse_operation_token(envelope)
        if token.owner == self._members.own_member.ref:
            self.owner.resend_verdict(envelope.operation_id, envelope.missing)
            return
        relay = Relay(datagram=envelope.SerializeToString())
        self._callbacks.send_peer(token.owner.address, Peer(relay=relay))

    def on_backend_missing(self, data: bytes, envelope: Envelope) -> None:
        """Resend the fragments of a request that a backend server reports missing.

        Parameters
        ----------
        data : bytes
            Serialized datagram, for relaying.
        envelope : Envelope
            Decoded datagram.
        """
        label = parse_label(self._sealer, envelope.return_label)
        if not isinstance(label, OperationLabel):
            raise DatagramError("wrong label")
        if label.owner == self._members.own_member.ref:
            self.owner.resend_request(
                envelope.operation_id, label.attempt, envelope.missing
            )
            return
        self._relay_to(label.owner, data, b"")

    def _get_timeout_s(self, envelope: Envelope) -> float:
        document = self._document_store.documents.get(envelope.service)
        limit_ms = (
            document.deadline_limit_ms if document else _DEFAULT_DEADLINE_LIMIT_MS
        )
        return min(envelope.deadline_ms or limit_ms, limit_ms) / 1000

    def on_cancel(self, envelope: Envelope) -> None:
        """Handle a cancellation that a caller sent to this instance.

        Parameters
        ----------
        envelope : Envelope
            Cancellation with the operation id.
        """
        token = self._parse_operation_token(envelope)
        if token.owner == self._members.own_member.ref:
            self.owner.on_cancel(envelope.operation_id)
            return
        relay = Relay(datagram=envelope.SerializeToString())
        self._callbacks.send_peer(token.owner.address, Peer(relay=relay))

    def on_relayed_cancel(self, envelope: Envelope) -> None:
        """Handle a cancellation that another instance relayed.

        Parameters
        ----------
        envelope : Envelope
            Cancellation with the operation id.
        """
        self.owner.on_cancel(envelope.operation_id)

    def on_backend_reply(self, data: bytes, envelope: Envelope, source: bytes) -> bool:
        """Handle a reply of a backend server to an operation.

        Parameters
        ----------
        data : bytes
            Serialized datagram, for relaying.
        envelope : Envelope
            Decoded datagram.
        source : bytes
            Packed address of the backend server.

        Returns
        -------
        bool
            False if it belongs to a flow; True also if it was dropped.

        Raises
        ------
        SealError
            If its label was not sealed by an entry instance.
        """
        label = parse_label(self._sealer, envelope.return_label)
        if not isinstance(label, OperationLabel):
            return False

        own_ref = self._members.own_member.ref
        if label.owner != own_ref and self._callbacks.is_alive(label.owner):
            self._relay_to(label.owner, data, source)
        elif own_ref not in (label.owner, label.standby):
            self._relay_to(label.standby, data, source)
        else:
            self._handle_reply(label, envelope, source)
        return True

    def _relay_to(self, target: MemberRef, data: bytes, source: bytes) -> None:
        if target == NO_MEMBER:
            self._counters["reply_without_home"] += 1
            return
        relay = Relay(caller=source, datagram=data)  # caller: the backend server
        self._callbacks.send_peer(target.address, Peer(relay=relay))

    def on_relayed_reply(self, envelope: Envelope, source: bytes) -> bool:
        """Handle a reply of a backend server that another instance relayed.

        Parameters
        ----------
        envelope : Envelope
            Reply of the backend server.
        source : bytes
            Packed address of the backend server.

        Returns
        -------
        bool
            False if it belongs to a flow; True also if it was dropped.
        """
        label = parse_label(self._sealer, envelope.return_label)
        if not isinstance(label, OperationLabel):
            return False
        self._handle_reply(label, envelope, source)
        return True

    def _handle_reply(
        self, label: OperationLabel, envelope: Envelope, source: bytes
    ) -> None:
        operation_id = envelope.operation_id
        if split_operation_id(operation_id)[1] != label.nonce:
            self._counters["reply_crossed"] += 1
            return
        key = (operation_id, label.attempt)
        envelope = self._assembler.add(key, source, envelope)
        if envelope is None:
            return
        if label.owner == self._members.own_member.ref:
            self.owner.on_reply(operation_id, label, envelope)
        else:
            self.standby_claims.on_reply(operation_id, label, envelope)
        # Sent also if the reply was ignored, so that it is not sent again.
        receipt = Envelope(
            kind=Kind.RECEIVED,
            service=envelope.service,
            operation_id=operation_id,
            attempt=envelope.attempt,
        )
        self._callbacks.send_backend(source, receipt.SerializeToString())

    def grant_waiting(self, service: str) -> None:
        """Grant free slots to waiting requests after a change of a backend server.

        Parameters
        ----------
        service : str
            Service name.
        """
        queue = self._queues.get(service)
        if queue is not None:
            queue.grant_waiting()

    def refuse_queued(self) -> None:
        """Refuse the requests that wait for a slot, before leaving."""
        for queue in self._queues.values():
            queue.refuse_all(Reason.MOVED)

    def sweep(self) -> None:
        """Grant free slots, request missing fragments, expire claims and records."""
        for queue in self._queues.values():
            queue.grant_waiting()
        request_missing_fragments(self._assembler, self._callbacks)
        self.standby_claims.sweep()
        self.owner.expire()
