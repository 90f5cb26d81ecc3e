"""What a leader knows of the other members, and who confirms that it leads."""

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field


@dataclass
class Follower:
    """A leader's view of one other member."""

    #: The entry to send next, and the last one that it is known to hold.
    next_index: int
    match_index: int = 0
    answered_s: float = 0.0
    #: Number of the last round that it confirmed the leader in.
    confirmed_round: int = 0
    #: Set when there is something to send before the next heartbeat.
    wake: asyncio.Event = field(default_factory=asyncio.Event)


class Confirmations:
    """Rounds in which more than half of the voters confirm that a member leads.

    Parameters
    ----------
    has_majority : callable
        Tells whether members, given by their names, decide together.
    """

    def __init__(self, has_majority: Callable[[list[str]], bool]):
        self._has_majority = has_majority
        self._waiting: list[tuple[int, asyncio.Future[None]]] = []
        self.round = 0

    def start(self) -> asyncio.Future[None]:
        """Start a round.

        Returns
        -------
        asyncio.Future
            Done when messages sent from now on have been answered by enough members.
        """
        self.round += 1
        waiting = asyncio.get_running_loop().create_future()
        self._waiting.append((self.round, waiting))
        return waiting

    def settle(self, followers: dict[str, Follower]) -> None:
        """End the rounds that enough members have confirmed.

        Parameters
        ----------
        followers : dict of str to Follower
            The members by name.
        """
        still_waiting = []
        for number, waiting in self._waiting:
            agreeing = [
                name
                for name, follower in followers.items()
                if follower.confirmed_round >= number
            ]
            if waiting.done():
                continue
            if self._has_majority(agreeing):
                waiting.set_result(None)
            else:
                still_waiting.append((number, waiting))
        self._waiting = still_waiting

    def drain(self) -> Iterator[asyncio.Future[None]]:
        """Give up all rounds.

        Yields
        ------
        asyncio.Future
            What somebody waits for.
        """
        waiting_for, self._waiting = self._waiting, []
        for _, waiting in waiting_for:
            yield waiting
