"""Standby's side of an operation: grants claims and answers for a failed owner.

An operation's owner and standby are named in its token and never change. The owner
dispatches only with a claim granted by the standby. The standby either has a record of
the claim that it granted, or it refuses the operation to the caller and then denies
every claim for it. It can therefore answer correctly if the owner hangs, fails or is
unreachable.
"""

import enum
from dataclasses import dataclass

from agatethread.exceptions import SealError
from agatethread.observability import Counters
from agatethread.operations._records import (
    InstanceCallbacks,
    RetainedTable,
    make_refused_verdict,
    make_unknown_verdict,
)
from agatethread.routing import EndpointTable
from agatethread.wire import (
    Claim,
    ClaimReply,
    Envelope,
    Kind,
    MemberRef,
    OperationLabel,
    Peer,
    Reason,
    Relay,
    Sealer,
    Token,
    VerdictNote,
    parse_token,
    split_operation_id,
)

#: Retry time for callers that may retry at once: the shortest that a verdict can carry.
_IMMEDIATE_RETRY_S = 0.001
#: How long after an operation's deadline the standby waits for the owner's verdict.
_VERDICT_NOTE_GRACE_S = 5.0


class _State(enum.Enum):
    CLAIMED = enum.auto()
    DECIDED = enum.auto()


@dataclass(eq=False, slots=True)
class _ClaimRecord:
    token: Token
    service: str
    caller: bytes
    endpoint: bytes
    attempt: int
    deadline_at_s: float
    state: _State
    verdict: bytes | None = None


class StandbyClaims:
    """Claims of operations whose standby is this incarnation of this instance.

    Parameters
    ----------
    callbacks : InstanceCallbacks
        Access to the rest of the instance.
    sealer : Sealer
        Opens tokens.
    endpoints : EndpointTable
        Shows whether a backend server has exited.
    counters : Counters
        Counts claims and verdicts.
    limit_count : int
        Maximum number of claims.
    retention_s : float
        Time for which a decided claim is kept.
    """

    def __init__(
        self,
        callbacks: InstanceCallbacks,
        sealer: Sealer,
        endpoints: EndpointTable,
        counters: Counters,
        limit_count: int,
        retention_s: float,
    ):
        self._callbacks = callbacks
        self._sealer = sealer
        self._endpoints = endpoints
        self._counters = counters
        self._records: RetainedTable[_ClaimRecord] = RetainedTable(
            limit_count, retention_s
        )
        self._undecided: dict[bytes, _ClaimRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def on_claim(self, sender: MemberRef, claim: Claim) -> None:
        """Grant or deny an owner's claim.

        Parameters
        ----------
        sender : MemberRef
            The owner: an instance and its incarnation.
        claim : Claim
            The claim.
        """
        granted = self._grant(sender, claim)
        self._counters["claim_granted" if granted else "claim_denied"] += 1
        reply = ClaimReply(operation_id=claim.operation_id, granted=granted)
        reply.attempt = claim.attempt
        self._callbacks.send_peer(sender.address, Peer(claim_reply=reply))

    def _grant(self, sender: MemberRef, claim: Claim) -> bool:
        token = self._parse(claim.operation_id)
        if (
            token is None
            or token.owner != sender
            or token.standby != self._callbacks.own_member()
        ):
            return False

        record = self._records.get(claim.operation_id)
        if record is not None:
            return self._grant_again(record, claim)
        if self._records.is_full:
            return False

        record = _ClaimRecord(
            token,
            claim.service,
            claim.caller,
            claim.endpoint,
            claim.attempt,
            self._callbacks.now_s() + claim.deadline_ms / 1000,
            _State.CLAIMED,
        )
        self._records.add(claim.operation_id, record)
        self._undecided[claim.operation_id] = record
        return True

    @staticmethod
    def _grant_again(record: _ClaimRecord, claim: Claim) -> bool:
        if record.state is _State.DECIDED or claim.attempt < record.attempt:
            return False
        record.attempt = claim.attempt
        record.endpoint = claim.endpoint
        return True

    def _parse(self, operation_id: bytes) -> Token | None:
        try:
            return parse_token(self._sealer, split_operation_id(operation_id)[0])
        except SealError:
            return None

    def on_verdict_note(self, note: VerdictNote) -> None:
        """Store a verdict that the owner sent.

        Parameters
        ----------
        note : VerdictNote
            The verdict.
        """
        record = self._records.get(note.operation_id)
        if record is not None and record.state is _State.CLAIMED:
            self._decide(note.operation_id, record, note.datagram)

    def on_copy(self, envelope: Envelope, token: Token, caller: bytes) -> None:
        """Answer a copy that is sent here since its sender considers the owner ended.

        Parameters
        ----------
        envelope : Envelope
            The caller's request.
        token : Token
            Its token.
        caller : bytes
            Packed address of the caller.
        """
        operation_id = envelope.operation_id
        record = self._records.get(operation_id)
        if record is not None and record.state is _State.DECIDED:
            self._callbacks.send_caller(caller, record.verdict)
            return
        if self._callbacks.is_alive(token.owner):
            relay = Relay(caller=caller, datagram=envelope.SerializeToString())
            self._callbacks.send_peer(token.owner.address, Peer(relay=relay))
            return
        if record is not None:
            record.caller = caller
            return
        self._refuse(envelope, token, caller)

    def _refuse(self, envelope: Envelope, token: Token, caller: bytes) -> None:
        fresh_token = self._callbacks.fresh_token(envelope.service)
        if self._records.is_full:
            verdict = make_unknown_verdict(
                envelope.operation_id, Reason.TABLE_FULL, fresh_token
            )
            self._callbacks.send_caller(caller, verdict)
            return

        # Record the refusal before sending it, so that later claims are denied;
        # `_decide` below changes the state.
        record = _ClaimRecord(
            token, envelope.service, caller, b"", 0, 0.0, _State.CLAIMED
        )
        self._records.add(envelope.operation_id, record)
        verdict = make_refused_verdict(
            envelope.operation_id, Reason.MOVED, _IMMEDIATE_RETRY_S, fresh_token
        )
        self._decide(envelope.operation_id, record, verdict)
        self._counters["standby_refused"] += 1
        self._callbacks.send_caller(caller, verdict)

    def on_reply(
        self, operation_id: bytes, label: OperationLabel, envelope: Envelope
    ) -> None:
        """Handle a backend server's reply to an operation whose owner has ended.

        Parameters
        ----------
        operation_id : bytes
            The operation.
        label : OperationLabel
            The reply's label.
        envelope : Envelope
            The reply.
        """
        record = self._records.get(operation_id)
        if record is None or record.state is _State.DECIDED:
            return
        if label.attempt != record.attempt:
            return

        if envelope.kind == Kind.ANSWER:
            verdict = Envelope(
                kind=Kind.ANSWER, operation_id=operation_id, payload=envelope.payload
            ).SerializeToString()
        else:
            # The server shed the operation, so it did not run; later claims are denied.
            fresh_token = self._callbacks.fresh_token(record.service)
            verdict = make_refused_verdict(
                operation_id, Reason.MOVED, _IMMEDIATE_RETRY_S, fresh_token
            )
        self._decide(operation_id, record, verdict)
        self._counters["standby_completed"] += 1
        self._callbacks.send_caller(record.caller, verdict)

    def sweep(self) -> None:
        """Decide overdue claims and delete expired records.

        If the owner has ended, the caller gets the verdict "unknown" at the deadline or
        once the backend server has exited.
        """
        now_s = self._callbacks.now_s()
        for operation_id, record in list(self._undecided.items()):
            is_late = now_s > record.deadline_at_s
            if self._callbacks.is_alive(record.token.owner):
                if now_s > record.deadline_at_s + _VERDICT_NOTE_GRACE_S:
                    self._close_without_note(operation_id, record)
                continue
            if is_late or self._has_exited(record.endpoint):
                self._send_unknown(operation_id, record)
        self._records.expire(now_s)

    def _close_without_note(self, operation_id: bytes, record: _ClaimRecord) -> None:
        # Assume that the owner has answered the caller and that its note was lost.
        fresh_token = self._callbacks.fresh_token(record.service)
        verdict = make_unknown_verdict(operation_id, Reason.DEADLINE, fresh_token)
        self._decide(operation_id, record, verdict)

    def _has_exited(self, address: bytes) -> bool:
        endpoint = self._endpoints.by_address.get(address)
        return endpoint is not None and endpoint.has_exited

    def has_claim_at(self, address: bytes) -> bool:
        """Return whether an undecided operation may run at a backend server.

        Parameters
        ----------
        address : bytes
            Packed address of the backend server.

        Returns
        -------
        bool
            Whether there is one.
        """
        return any(record.endpoint == address for record in self._undecided.values())

    def _send_unknown(self, operation_id: bytes, record: _ClaimRecord) -> None:
        fresh_token = self._callbacks.fresh_token(record.service)
        verdict = make_unknown_verdict(operation_id, Reason.HOME_LOST, fresh_token)
        self._decide(operation_id, record, verdict)
        self._counters["standby_unknown"] += 1
        self._callbacks.send_caller(record.caller, verdict)

    def _decide(
        self, operation_id: bytes, record: _ClaimRecord, verdict: bytes
    ) -> None:
        record.state = _State.DECIDED
        record.verdict = verdict
        self._undecided.pop(operation_id, None)
        self._records.finish(operation_id, self._callbacks.now_s())
