"""Stores the state of each subscriber of a control instance."""

from collections.abc import Mapping

from agatethread.wire.registry_pb2 import PRESENCE_UNKNOWN, ControlNode

#: Initial resend timeout for unacknowledged run changes; above the round-trip time
#: between failure domains.
_INITIAL_RESEND_TIMEOUT_S = 0.15
#: Limit of the resend timeout, which doubles with each resend, to limit the load from
#: unreachable receivers, and of a sender too busy to read acknowledgements.
_MAX_RESEND_TIMEOUT_S = 0.6
#: Time before an unacknowledged routing table is resent.
_ROUTES_RESEND_TIMEOUT_S = 0.25
#: Minimum time between two newer routing tables to one subscriber: in a burst of
#: changes, tables that are replaced meanwhile are not sent. A table of 1,600 routes
#: each 0.08 s takes half of a link of 2 Mbit/s.
_ROUTES_INTERVAL_S = 0.08
#: Time without a poll, which comes each 0.3 s, after which a control instance is left
#: out of the list that is sent to subscribers. Entry instances conclude from it whether
#: their own failure domain reaches all others.
_CONTROL_TIMEOUT_S = 1.0


class Subscriber:
    """State that a subscriber has acknowledged, and state that was sent to it."""

    __slots__ = (
        "dispatchers_digest",
        "evacuations_sent_s",
        "evacuations_sent_version",
        "evacuations_version",
        "failure_domain",
        "last_poll_s",
        "is_control",
        "presence",
        "resend_timeout_s",
        "routes_sent_s",
        "routes_sent_version",
        "routes_version",
        "seen_index",
        "sent_index",
        "takes_numbers",
        "resend_timer_start_s",
        "without_routes",
    )

    def __init__(self) -> None:
        self.failure_domain = ""
        self.is_control = False
        self.takes_numbers = False
        #: Digest of the dispatchers that the subscriber has received.
        self.dispatchers_digest = 0
        self.presence = PRESENCE_UNKNOWN
        self.last_poll_s = 0.0
        self.seen_index = 0
        self.sent_index = 0
        #: Start of the resend timeout: when the acknowledged index last advanced, or
        #: all missing changes were last sent.
        self.resend_timer_start_s = 0.0
        #: Time without an acknowledgement before changes are resent.
        self.resend_timeout_s = _INITIAL_RESEND_TIMEOUT_S
        self.routes_version = 0
        self.routes_sent_s = 0.0
        self.routes_sent_version = 0
        #: Whether another control instance sends routing tables to the subscriber.
        self.without_routes = False
        self.evacuations_version = 0
        self.evacuations_sent_s = 0.0
        self.evacuations_sent_version = 0

    def store_acknowledgement(self, index: int, now_s: float) -> None:
        """Store the acknowledged index; reset the resend timeout if it advanced.

        Parameters
        ----------
        index : int
            Index of the last change that the subscriber has.
        now_s : float
            Current time.
        """
        if index > self.seen_index:
            self.resend_timer_start_s = now_s
            self.resend_timeout_s = _INITIAL_RESEND_TIMEOUT_S
        # Less than before if the subscriber has restarted.
        self.seen_index = index

    def next_after_index(self, now_s: float) -> int:
        """Return the index after which changes are to be sent now.

        Parameters
        ----------
        now_s : float
            Current time.

        Returns
        -------
        int
            Last index sent, or acknowledged if the resend timeout has passed.
        """
        if now_s - self.resend_timer_start_s < self.resend_timeout_s:
            return max(self.seen_index, self.sent_index)
        return self.seen_index

    def delta_arguments(self, now_s: float) -> tuple[int, bool, bool]:
        """Return the arguments of `DeltaWriter.make_messages_after` for it.

        Subscribers with equal arguments receive the same messages.

        Parameters
        ----------
        now_s : float
            Current time.

        Returns
        -------
        tuple of (int, bool, bool)
            Index after which changes are sent, whether to include reports without a
            change, and whether to send these by run number.
        """
        return self.next_after_index(now_s), self.is_control, self.takes_numbers

    def mark_routes_sent_if_due(self, version: int, now_s: float) -> bool:
        """Mark a routing table as sent, if it is to be sent now.

        Parameters
        ----------
        version : int
            Version of the newest table.
        now_s : float
            Current time.

        Returns
        -------
        bool
            False if the subscriber has the table, or one was sent too recently.
        """
        if self.routes_version >= version:
            return False
        is_new = version > self.routes_sent_version
        pause_s = _ROUTES_INTERVAL_S if is_new else _ROUTES_RESEND_TIMEOUT_S
        if now_s - self.routes_sent_s < pause_s:
            return False
        self.routes_sent_s = now_s
        self.routes_sent_version = version
        return True

    def mark_sent(self, after_index: int, through_index: int, now_s: float) -> bool:
        """Mark changes as sent.

        Parameters
        ----------
        after_index : int
            Index before the first change.
        through_index : int
            Index of the last change; equal to `after_index` if there were none.
        now_s : float
            Current time.

        Returns
        -------
        bool
            Whether the changes were resent.
        """
        if through_index <= after_index:
            return False
        is_resend = after_index < self.sent_index
        if after_index <= self.seen_index:
            # Restarts the timeout only when all missing changes are sent. Later changes
            # don't extend it, else frequent changes would postpone a resend forever.
            self.resend_timer_start_s = now_s
            if is_resend:
                self.resend_timeout_s = min(
                    2 * self.resend_timeout_s, _MAX_RESEND_TIMEOUT_S
                )
        self.sent_index = through_index
        return is_resend


def list_controls(
    subscribers: Mapping[bytes, Subscriber], now_s: float
) -> list[ControlNode]:
    """Return the subscribed control instances that polled in the last second.

    Parameters
    ----------
    subscribers : mapping of bytes to Subscriber
        Subscribers by packed address.
    now_s : float
        Current time.

    Returns
    -------
    list of ControlNode
        Control instances in the order of the mapping.
    """
    return [
        ControlNode(address=address, failure_domain=subscriber.failure_domain)
        for address, subscriber in subscribers.items()
        if subscriber.is_control and now_s - subscriber.last_poll_s < _CONTROL_TIMEOUT_S
    ]


def describe_all(
    subscribers: Mapping[bytes, Subscriber], now_s: float
) -> list[dict[str, object]]:
    """Return subscribers for a state dump.

    Parameters
    ----------
    subscribers : mapping of bytes to Subscriber
        Subscribers by packed address.
    now_s : float
        Current time.

    Returns
    -------
    list of dict
        JSON-compatible fields.
    """
    return [
        {
            "address": address.hex(),
            "is_control": subscriber.is_control,
            "seen_index": subscriber.seen_index,
            "routes_version": subscriber.routes_version,
            "evacuations_version": subscriber.evacuations_version,
            "heard_ago_s": round(now_s - subscriber.last_poll_s, 3),
        }
        for address, subscriber in subscribers.items()
    ]
