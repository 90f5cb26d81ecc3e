"""How much a control instance tells at a time, and whom first."""

from collections.abc import Iterable

from agatethread.registry._subscribers import Subscriber

#: Messages of one round: 600 are a quarter of a small processor's time in 0.1 s. All
#: that 3,000 runs are takes 300 messages to each of 297 entry instances; sent as fast
#: as windows allow, a control instance has no time left for acknowledgements, and sends
#: it again.
MOST_MESSAGES = 600
_FEWEST_MESSAGES = 50
_MORE_MESSAGES = 50
#: Share of messages that are sent again, above which acknowledgements wait here: links
#: lose some of a hundred.
_MOST_RESENT = 0.25


def next_limit(limit_count: int, told_count: int, resent_count: int) -> int:
    """Choose the most messages of a round (additive increase, halved when in vain).

    Parameters
    ----------
    limit_count : int
        Of the round before.
    told_count : int
        Messages that it had.
    resent_count : int
        Those of them that had been sent before.

    Returns
    -------
    int
        Of this round.
    """
    if resent_count > _MOST_RESENT * told_count:
        return max(_FEWEST_MESSAGES, limit_count // 2)
    return min(MOST_MESSAGES, limit_count + _MORE_MESSAGES)


def order_turns(
    subscribers: Iterable[tuple[bytes, Subscriber]], failure_domain: str, first: bytes
) -> list[tuple[bytes, Subscriber]]:
    """Order subscribers for a round that may not reach all of them.

    Other control instances go first, then entry instances of the own failure domain, so
    that each has all from one control instance before the others tell it the same;
    among the rest nobody is left out for long.

    Parameters
    ----------
    subscribers : iterable of tuple of (bytes, Subscriber)
        By packed address.
    failure_domain : str
        Of the control instance.
    first : bytes
        Packed address of the first one that the round before did not reach.

    Returns
    -------
    list of tuple of (bytes, Subscriber)
        All of them.
    """

    def rank(one: tuple[bytes, Subscriber]) -> tuple[bool, bool, bool, bytes]:
        address, subscriber = one
        is_away = subscriber.failure_domain != failure_domain
        return (not subscriber.is_control, is_away, address < first, address)

    return sorted(subscribers, key=rank)
