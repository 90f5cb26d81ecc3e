"""Counts what is sent to other instances, by purpose and failure domain."""

from agatethread.observability import Counters
from agatethread.wire.registry_pb2 import Delta, Poll, RegistryMessage

#: Addresses whose failure domain is kept: several times the largest deployment.
_MOST_ADDRESSES = 4_096


def name_purpose(message: RegistryMessage) -> str:
    """Name what a message is sent for.

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
    # A greeting has neither; it is the answer to a probe.
    if delta.HasField("hub") or not (delta.runs or delta.reporting):
        return "reply"
    return "change" if delta.runs else "numbers"


class TrafficCount:
    """Counts messages and bytes by purpose and place of the receiver.

    The place is what the receiver said of itself: ``home`` or ``away`` for the failure
    domain, with ``control`` or ``entry`` for what it is; ``unknown`` before it spoke.

    Parameters
    ----------
    failure_domain : str
        Of this process.
    counters : Counters
        Gets ``sent_<purpose>_<place>`` messages and ``sent_bytes_<purpose>_<place>``.
    """

    def __init__(self, failure_domain: str, counters: Counters):
        self._failure_domain = failure_domain
        self._counters = counters
        self._places: dict[bytes, str] = {}

    def note(self, message: RegistryMessage, source: bytes) -> None:
        """Note what a sender says of its failure domain.

        Parameters
        ----------
        message : RegistryMessage
            What it sent.
        source : bytes
            Its packed address.
        """
        body = message.WhichOneof("body")
        if body == "poll":
            self._note(source, message.poll.failure_domain, message.poll.is_control)
        elif body == "delta":
            self._note(source, message.delta.failure_domain, True)
            for one in message.delta.hub.dispatchers:
                for address in one.addresses:
                    self._note(address, one.failure_domain, False)

    def _note(self, address: bytes, failure_domain: str, is_control: bool) -> None:
        if len(self._places) >= _MOST_ADDRESSES and address not in self._places:
            return
        role = "control" if is_control else "entry"
        place = "home" if failure_domain == self._failure_domain else "away"
        self._places[address] = f"{role}_{place}"

    def count(self, purpose: str, size_bytes: int, target: bytes) -> None:
        """Count a message that is sent.

        Parameters
        ----------
        purpose : str
            As `name_purpose` tells.
        size_bytes : int
            Of its payload.
        target : bytes
            Packed address of the receiver.
        """
        place = self._places.get(target, "unknown")
        self._counters[f"sent_{purpose}_{place}"] += 1
        self._counters[f"sent_bytes_{purpose}_{place}"] += size_bytes
