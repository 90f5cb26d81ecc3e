"""Limits the messages of a sending round, and orders its subscribers."""

from collections.abc import Iterable

from agatethread.registry._subscribers import Subscriber

#: Leaves processor time to read acknowledgements while many entry instances need the
#: full state, so that messages are not resent needlessly: 600 take a quarter of a small
#: processor for the 0.1 s of a round.
MAX_ROUND_MESSAGES = 600
_MIN_ROUND_MESSAGES = 50
_ROUND_MESSAGES_INCREMENT = 50
#: Share of resent messages that indicates unread acknowledgements; above the
#: share that packet loss causes.
_MAX_RESENT_SHARE = 0.25


def next_message_limit(limit_count: int, sent_count: int, resent_count: int) -> int:
    """Return the message limit of a round (additive increase, halved on resends).

    Parameters
    ----------
    limit_count : int
        Limit of the previous round.
    sent_count : int
        Messages of the previous round.
    resent_count : int
        Resent messages among them.

    Returns
    -------
    int
        Limit of this round.
    """
    if resent_count > _MAX_RESENT_SHARE * sent_count:
        return max(_MIN_ROUND_MESSAGES, limit_count // 2)
    return min(MAX_ROUND_MESSAGES, limit_count + _ROUND_MESSAGES_INCREMENT)


def order_round(
    subscribers: Iterable[tuple[bytes, Subscriber]],
    failure_domain: str,
    first_address: bytes,
) -> list[tuple[bytes, Subscriber]]:
    """Return subscribers in sending order, for a round that may not reach all of them.

    Control instances go first, then entry instances of the own failure domain, so that
    an entry instance receives a change from its own failure domain first. Within each
    of these groups, the next round continues where the previous one ended.

    Parameters
    ----------
    subscribers : iterable of tuple of (bytes, Subscriber)
        Packed addresses and subscribers.
    failure_domain : str
        Failure domain of the control instance.
    first_address : bytes
        Packed address of the first subscriber that the previous round did not reach.

    Returns
    -------
    list of tuple of (bytes, Subscriber)
        All subscribers in order.
    """

    def sort_key(item: tuple[bytes, Subscriber]) -> tuple[bool, bool, bool, bytes]:
        address, subscriber = item
        is_other_domain = subscriber.failure_domain != failure_domain
        return (
            not subscriber.is_control,
            is_other_domain,
            address < first_address,
            address,
        )

    return sorted(subscribers, key=sort_key)
