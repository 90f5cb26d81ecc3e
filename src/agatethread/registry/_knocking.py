"""Looks for control instances that are not followed."""

import random
from collections.abc import Callable, Iterable, Sequence

from agatethread.registry._following import FOLLOWED_COUNT
from agatethread.registry._home import HOME_COUNT
from agatethread.registry._link import HubLink

#: Pause between polls to a hub that did not answer: it may come back at any time.
_KNOCK_S = 0.4
#: The same while none answers: nothing can be served until one does.
_URGENT_KNOCK_S = 0.1
#: The same for one of the own failure domain while none of them is followed.
_KNOCK_AT_HOME_S = 1.0
#: Pause between looks at another failure domain while only the own one is followed: a
#: cut and a control instance that those at home don't hear show within two of them, and
#: 100 entry instances cost 25 kB a second.
_WATCH_S = 0.7
#: One that was asked so long ago and did not answer may be gone: many round trips.
_UNANSWERED_S = 0.3


class Knocker:
    """Asks control instances whether they are there.

    Parameters
    ----------
    failure_domain : str
        Of this process.
    is_control : bool
        Whether it is a control instance, which asks all the others.
    links : callable
        Lists all known control instances.
    knock_at : callable
        Asks one.
    now_s : callable
        Monotonic clock.
    """

    def __init__(
        self,
        failure_domain: str,
        is_control: bool,
        links: Callable[[], Iterable[HubLink]],
        knock_at: Callable[[HubLink], None],
        now_s: Callable[[], float],
    ):
        self._failure_domain = failure_domain
        self._is_control = is_control
        self._links = links
        self._knock_at = knock_at
        self._now_s = now_s
        self._watched: HubLink | None = None

    def knock(self, followed: Sequence[HubLink]) -> None:
        """Ask some of those that are not followed.

        Parameters
        ----------
        followed : sequence of HubLink
            Those that are.
        """
        pause_s = _KNOCK_S if followed else _URGENT_KNOCK_S
        others = [link for link in self._links() if link not in followed]
        limit_count = FOLLOWED_COUNT if followed and not self._is_control else None
        self._ask_some(others, pause_s, limit_count)

    def _ask_some(
        self, links: Sequence[HubLink], pause_s: float, limit_count: int | None
    ) -> None:
        now_s = self._now_s()
        silent = [link for link in links if now_s - link.knocked_s >= pause_s]
        random.shuffle(silent)
        for link in silent[:limit_count]:
            self._knock_at(link)

    def knock_at_home(self, followed: Sequence[HubLink]) -> None:
        """Ask for the own failure domain's control instances if none is followed.

        One is worth following as soon as it is back: it is the one in sight during a
        cut. Where there are several, two are: then they may be enough.

        Parameters
        ----------
        followed : sequence of HubLink
            Those that are.
        """
        domain = self._failure_domain
        at_home = [link for link in self._links() if link.failure_domain == domain]
        missing = [link for link in at_home if link not in followed]
        if len(at_home) - len(missing) < HOME_COUNT:
            self._ask_some(missing, _KNOCK_AT_HOME_S, None)

    def watch(self, followed: Sequence[HubLink]) -> None:
        """Look whether control instances of other failure domains are there.

        One in turn is asked; if it does not answer, some others are asked at the next
        poll, since then a cut has to be told from the loss of that one.

        Parameters
        ----------
        followed : sequence of HubLink
            Those that are followed, all of the own failure domain.
        """
        now_s = self._now_s()
        others = [
            link
            for link in self._links()
            if link not in followed and link.failure_domain != self._failure_domain
        ]
        one = self._watched
        if one is not None and _is_unanswered(one, now_s):
            self._ask_some(others, _KNOCK_S, FOLLOWED_COUNT)
        elif others and (one is None or now_s - one.knocked_s >= _WATCH_S):
            self._watched = min(others, key=lambda link: link.knocked_s)
            self._knock_at(self._watched)


def _is_unanswered(link: HubLink, now_s: float) -> bool:
    return link.heard_s < link.asked_s and now_s - link.asked_s >= _UNANSWERED_S
