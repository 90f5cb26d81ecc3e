"""What a control instance keeps of each of its subscribers."""

from agatethread.wire.registry_pb2 import PRESENCE_UNKNOWN


class Subscriber:
    """What a subscriber has said that it has, and what it was sent."""

    __slots__ = (
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
