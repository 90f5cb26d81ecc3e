"""Counts messages and bytes sent to other instances, by purpose and failure domain."""

from agatethread.observability import Counters
from agatethread.wire.registry_pb2 import Delta, Poll, RegistryMessage

#: Limit of stored addresses; several times the largest deployment.
_MAX_ADDRESSES = 4_096


def name_purpose(message: RegistryMessage) -> str:
    """Return the purpose that a message is counted under.

    Parameters
    ----------
    message : RegistryMessage
        One with a body.

    Returns
    -------
    str
        ``poll``, ``probe``, ``ack``, ``reply``, ``change``, ``numbers``, or the name of
        the body.
    """
    body = message.WhichOneof("body")
    if body == "poll":
        return _name_poll(message.poll)
    if body == "delta":
        return _name_delta(message.delta)
    return str(body)


def _name_poll(poll: Poll) -> str:
    if not poll.wants_reply:
        return "ack"
    return "probe" if poll.probe else "poll"


def _name_delta(delta: Delta) -> str:
    # A delta without runs and numbers replies to a probe, or is sent after a start.
    if delta.HasField("hub") or not (delta.runs or delta.reporting):
        return "reply"
    return "change" if delta.runs else "numbers"


class TrafficCounter:
    """Counts messages and bytes by purpose and kind of the receiver.

    The kind is the receiver's role, ``control`` or ``entry``, with ``home`` for the own
    failure domain or ``away`` for another; ``unknown`` before a message from or about
    the receiver.

    Parameters
    ----------
    failure_domain : str
        Of this process.
    counters : Counters
        Counts ``sent_<purpose>_<kind>`` and ``sent_bytes_<purpose>_<kind>``.
    """

    def __init__(self, failure_domain: str, counters: Counters):
        self._failure_domain = failure_domain
        self._counters = counters
        self._receiver_kinds: dict[bytes, str] = {}

    def store_receiver_kinds(self, message: RegistryMessage, source: bytes) -> None:
        """Store the role and failure domain of instances that a message names.

        Parameters
        ----------
        message : RegistryMessage
            The message.
        source : bytes
            Packed address of the sender.
        """
        body = message.WhichOneof("body")
        if body == "poll":
            self._store_receiver_kind(
                source, message.poll.failure_domain, message.poll.is_control
            )
        elif body == "delta":
            self._store_receiver_kind(source, message.delta.failure_domain, True)
            for dispatchers in message.delta.hub.dispatchers:
                for address in dispatchers.addresses:
                    self._store_receiver_kind(
                        address, dispatchers.failure_domain, False
                    )

    def _store_receiver_kind(
        self, address: bytes, failure_domain: str, is_control: bool
    ) -> None:
        if (
            len(self._receiver_kinds) >= _MAX_ADDRESSES
            and address not in self._receiver_kinds
        ):
            return
        role = "control" if is_control else "entry"
        distance = "home" if failure_domain == self._failure_domain else "away"
        self._receiver_kinds[address] = f"{role}_{distance}"

    def count(self, purpose: str, size_bytes: int, target: bytes) -> None:
        """Count a sent message.

        Parameters
        ----------
        purpose : str
            As `name_purpose` returns.
        size_bytes : int
            Of its payload.
        target : bytes
            Packed address of the receiver.
        """
        kind = self._receiver_kinds.get(target, "unknown")
        self._counters[f"sent_{purpose}_{kind}"] += 1
        self._counters[f"sent_bytes_{purpose}_{kind}"] += size_bytes
