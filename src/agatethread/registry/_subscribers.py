"""What a control instance keeps of each of its subscribers."""

from collections.abc import Mapping

from agatethread.wire.registry_pb2 import PRESENCE_UNKNOWN, ControlNode

#: Time after which what was not acknowledged is sent again: many round trips between
#: failure domains, and short beside the seconds in which a drain has to be known.
_RESEND_S = 0.15
#: The same after it was in vain several times, doubled each time: the receiver is gone,
#: or the sender is too busy to read what is acknowledged.
_LONGEST_RESEND_S = 0.6
_RESEND_ROUTES_S = 0.25
#: Time between two tables: those that are overtaken meanwhile need not be sent. A table
#: of 1,600 routes each 0.08 s is half of a link of 2 Mbit/s.
_NEXT_ROUTES_S = 0.08
#: A control instance that polls each 0.3 s and was not heard for so long is not named:
#: entry instances conclude from it whether their own domain's ones hear all others.
_CONTROL_HEARD_S = 1.0


class Subscriber:
    """What a subscriber has said that it has, and what it was sent."""

    __slots__ = (
        "dispatchers_digest",
        "evacuations_sent_s",
        "evacuations_sent_version",
        "evacuations_version",
        "failure_domain",
        "heard_s",
        "is_control",
        "presence",
        "resend_s",
        "routes_sent_s",
        "routes_sent_version",
        "routes_version",
        "seen_index",
        "sent_index",
        "takes_numbers",
        "unseen_since_s",
        "without_routes",
    )

    def __init__(self) -> None:
        self.failure_domain = ""
        self.is_control = False
        self.takes_numbers = False
        #: Digest of the dispatchers that it was told last.
        self.dispatchers_digest = 0
        self.presence = PRESENCE_UNKNOWN
        self.heard_s = 0.0
        self.seen_index = 0
        self.sent_index = 0
        #: Since when it has acknowledged nothing of what it was sent.
        self.unseen_since_s = 0.0
        #: How long it may do so before that is sent again.
        self.resend_s = _RESEND_S
        self.routes_version = 0
        self.routes_sent_s = 0.0
        self.routes_sent_version = 0
        #: Whether another control instance tells it of routing tables.
        self.without_routes = False
        self.evacuations_version = 0
        self.evacuations_sent_s = 0.0
        self.evacuations_sent_version = 0

    def note_seen(self, index: int, now_s: float) -> None:
        """Note what it acknowledges.

        Parameters
        ----------
        index : int
            Of the last change that it has.
        now_s : float
            Present time.
        """
        if index > self.seen_index:
            self.unseen_since_s = now_s
            self.resend_s = _RESEND_S
        self.seen_index = index

    def unsent_after(self, now_s: float) -> int:
        """Find the index up to which it needs nothing at present.

        Parameters
        ----------
        now_s : float
            Present time.

        Returns
        -------
        int
            The index.
        """
        if now_s - self.unseen_since_s < self.resend_s:
            return max(self.seen_index, self.sent_index)
        return self.seen_index

    def lacks(self, now_s: float) -> tuple[int, bool, bool]:
        """Find what it is to be told now; alike for all that are told the same.

        Parameters
        ----------
        now_s : float
            Present time.

        Returns
        -------
        tuple of (int, bool, bool)
            Index after which it is told, whether of reports that change nothing, too,
            and whether of these by number.
        """
        return self.unsent_after(now_s), self.is_control, self.takes_numbers

    def start_routes(self, version: int, now_s: float) -> bool:
        """Decide whether it is sent a routing table now, and note that it is.

        Parameters
        ----------
        version : int
            Of the newest table.
        now_s : float
            Present time.

        Returns
        -------
        bool
            False if it has the table, or was sent one just now.
        """
        if self.routes_version >= version:
            return False
        is_new = version > self.routes_sent_version
        pause_s = _NEXT_ROUTES_S if is_new else _RESEND_ROUTES_S
        if now_s - self.routes_sent_s < pause_s:
            return False
        self.routes_sent_s = now_s
        self.routes_sent_version = version
        return True

    def note_sent(self, after: int, through: int, now_s: float) -> bool:
        """Note that it was sent changes.

        Parameters
        ----------
        after, through : int
            Indexes before the first and of the last of them; equal if there were none.
        now_s : float
            Present time.

        Returns
        -------
        bool
            Whether it had been sent them before.
        """
        if through <= after:
            return False
        is_again = after < self.sent_index
        if after <= self.seen_index:
            # All that it lacks is under way; what is sent on top of that does not put
            # off the time when it is sent again, or one lost message would keep a
            # subscriber that is told something ten times a second back for good.
            self.unseen_since_s = now_s
            if is_again:
                self.resend_s = min(2 * self.resend_s, _LONGEST_RESEND_S)
        self.sent_index = through
        return is_again


def list_controls(
    subscribers: Mapping[bytes, Subscriber], now_s: float
) -> list[ControlNode]:
    """List the control instances among subscribers that are heard.

    Parameters
    ----------
    subscribers : mapping of bytes to Subscriber
        By packed address.
    now_s : float
        Present time.

    Returns
    -------
    list of ControlNode
        In the same order.
    """
    return [
        ControlNode(address=address, failure_domain=subscriber.failure_domain)
        for address, subscriber in subscribers.items()
        if subscriber.is_control and now_s - subscriber.heard_s < _CONTROL_HEARD_S
    ]


def describe_all(
    subscribers: Mapping[bytes, Subscriber], now_s: float
) -> list[dict[str, object]]:
    """Write subscribers for a state dump.

    Parameters
    ----------
    subscribers : mapping of bytes to Subscriber
        By packed address.
    now_s : float
        Present time.

    Returns
    -------
    list of dict
        Ready for JSON.
    """
    return [
        {
            "address": address.hex(),
            "is_control": subscriber.is_control,
            "seen_index": subscriber.seen_index,
            "routes_version": subscriber.routes_version,
            "evacuations_version": subscriber.evacuations_version,
            "heard_ago_s": round(now_s - subscriber.heard_s, 3),
        }
        for address, subscriber in subscribers.items()
    ]
