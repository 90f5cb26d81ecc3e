"""What a control instance keeps of each of its subscribers."""

from collections.abc import Mapping

from agatethread.wire.registry_pb2 import PRESENCE_UNKNOWN, ControlNode


class Subscriber:
    """What a subscriber has said that it has, and what it was sent."""

    __slots__ = (
        "evacuations_sent_s",
        "evacuations_sent_version",
        "evacuations_version",
        "failure_domain",
        "heard_s",
        "is_control",
        "presence",
        "routes_sent_s",
        "routes_sent_version",
        "routes_version",
        "seen_index",
        "sent_index",
        "unseen_since_s",
        "without_routes",
    )

    def __init__(self) -> None:
        self.failure_domain = ""
        self.is_control = False
        self.presence = PRESENCE_UNKNOWN
        self.heard_s = 0.0
        self.seen_index = 0
        self.sent_index = 0
        #: Since when it has acknowledged nothing of what it was sent.
        self.unseen_since_s = 0.0
        self.routes_version = 0
        self.routes_sent_s = 0.0
        self.routes_sent_version = 0
        #: Whether another control instance tells it of routing tables.
        self.without_routes = False
        self.evacuations_version = 0
        self.evacuations_sent_s = 0.0
        self.evacuations_sent_version = 0


def list_controls(subscribers: Mapping[bytes, Subscriber]) -> list[ControlNode]:
    """List the control instances among subscribers.

    Parameters
    ----------
    subscribers : mapping of bytes to Subscriber
        By packed address.

    Returns
    -------
    list of ControlNode
        In the same order.
    """
    return [
        ControlNode(address=address, failure_domain=subscriber.failure_domain)
        for address, subscriber in subscribers.items()
        if subscriber.is_control
    ]


def describe(address: bytes, subscriber: Subscriber, now_s: float) -> dict[str, object]:
    """Write a subscriber for a state dump.

    Parameters
    ----------
    address : bytes
        Its packed address.
    subscriber : Subscriber
        The subscriber.
    now_s : float
        Present time.

    Returns
    -------
    dict
        Ready for JSON.
    """
    return {
        "address": address.hex(),
        "is_control": subscriber.is_control,
        "seen_index": subscriber.seen_index,
        "routes_version": subscriber.routes_version,
        "evacuations_version": subscriber.evacuations_version,
        "heard_ago_s": round(now_s - subscriber.heard_s, 3),
    }
