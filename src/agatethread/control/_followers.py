"""Replication progress of the other members, and confirmations of leadership."""

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field


@dataclass
class Follower:
    """Replication progress of one other member, as the leader knows it."""

    #: Index of the entry to send next, and of the last entry known to be replicated.
    next_index: int
    #: Time of its last answer, or before one of its last known sign of life.
    last_answer_s: float
    match_index: int = 0
    #: Number of the last round in which the follower answered the leader.
    confirmed_round: int = 0
    #: Set when there is something to send before the next heartbeat.
    wake: asyncio.Event = field(default_factory=asyncio.Event)


class LeadershipConfirmations:
    """Rounds in which a majority of the voters confirms that this member leads.

    Parameters
    ----------
    has_majority : callable
        Returns whether the members with these names are a majority.
    """

    def __init__(self, has_majority: Callable[[list[str]], bool]):
        self._has_majority = has_majority
        self._pending: list[tuple[int, asyncio.Future[None]]] = []
        self.round_number = 0

    def start(self) -> asyncio.Future[None]:
        """Start a round.

        Returns
        -------
        asyncio.Future
            Done when a majority has answered messages sent after this call.
        """
        self.round_number += 1
        confirmation = asyncio.get_running_loop().create_future()
        self._pending.append((self.round_number, confirmation))
        return confirmation

    def complete_confirmed(self, followers: dict[str, Follower]) -> None:
        """Complete the rounds that a majority has confirmed.

        Parameters
        ----------
        followers : dict of str to Follower
            The other members by name.
        """
        still_pending = []
        for round_number, confirmation in self._pending:
            confirmed_by = [
                name
                for name, follower in followers.items()
                if follower.confirmed_round >= round_number
            ]
            if confirmation.done():
                continue
            if self._has_majority(confirmed_by):
                confirmation.set_result(None)
            else:
                still_pending.append((round_number, confirmation))
        self._pending = still_pending

    def pop_all(self) -> Iterator[asyncio.Future[None]]:
        """Yield the futures of all pending rounds, which are removed.

        Yields
        ------
        asyncio.Future
            The future of each removed round.
        """
        removed, self._pending = self._pending, []
        for _, confirmation in removed:
            yield confirmation
