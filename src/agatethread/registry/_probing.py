"""Probes control instances that are not followed."""

import random
from collections.abc import Callable, Iterable, Sequence

from agatethread.registry._control_link import ControlLink
from agatethread.registry._own_domain import OWN_DOMAIN_COUNT
from agatethread.registry._selection import FOLLOWED_COUNT

#: Interval between probes of a control instance that did not answer.
_PROBE_INTERVAL_S = 0.4
#: Interval while none is followed, so that an instance without a routing table can
#: start soon.
_URGENT_PROBE_INTERVAL_S = 0.1
#: Interval for the own failure domain while too few of its instances are followed.
_OWN_DOMAIN_PROBE_INTERVAL_S = 1.0
#: Interval between probes of other failure domains while only the own one is followed.
#: Short enough to detect a partition soon, at little traffic between domains.
_OTHER_DOMAIN_PROBE_INTERVAL_S = 0.7


class ControlProber:
    """Sends probes to control instances.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this process.
    is_control : bool
        Whether this process is a control instance, which probes all others.
    links : callable
        Returns all known control instances.
    send_probe : callable
        Sends a probe to a control instance.
    now_s : callable
        Monotonic clock.
    """

    def __init__(
        self,
        failure_domain: str,
        is_control: bool,
        links: Callable[[], Iterable[ControlLink]],
        send_probe: Callable[[ControlLink], None],
        now_s: Callable[[], float],
    ):
        self._failure_domain = failure_domain
        self._is_control = is_control
        self._links = links
        self._send_probe = send_probe
        self._now_s = now_s
        self._last_probed: ControlLink | None = None

    def probe_unfollowed(self, followed: Sequence[ControlLink]) -> None:
        """Send probes to control instances that are not followed.

        At most `FOLLOWED_COUNT` that were not probed recently, besides those in doubt;
        a control instance, or an entry instance that follows none, probes all of these.

        Parameters
        ----------
        followed : sequence of ControlLink
            Followed control instances.
        """
        self._probe_in_doubt(followed)
        interval_s = _PROBE_INTERVAL_S if followed else _URGENT_PROBE_INTERVAL_S
        others = [link for link in self._links() if link not in followed]
        limit_count = FOLLOWED_COUNT if followed and not self._is_control else None
        self._probe_due(others, interval_s, limit_count)

    def _probe_in_doubt(self, followed: Sequence[ControlLink]) -> None:
        """Repeat unanswered probes; a loss is concluded from several only."""
        now_s = self._now_s()
        for link in self._links():
            if link not in followed and link.is_in_doubt(now_s):
                self._send_probe(link)

    def _probe_due(
        self, links: Sequence[ControlLink], interval_s: float, limit_count: int | None
    ) -> None:
        now_s = self._now_s()
        due = [link for link in links if now_s - link.probed_s >= interval_s]
        # Each in turn; instances in the same state don't all begin with the same ones.
        random.shuffle(due)
        due.sort(key=lambda link: link.probed_s)
        for link in due[:limit_count]:
            self._send_probe(link)

    def probe_own_domain(self, followed: Sequence[ControlLink]) -> None:
        """Send probes within the own failure domain if too few of it are followed.

        Two of them can replace those of other failure domains.

        Parameters
        ----------
        followed : sequence of ControlLink
            Followed control instances.
        """
        self._probe_in_doubt(followed)
        domain = self._failure_domain
        own_domain = [link for link in self._links() if link.failure_domain == domain]
        missing = [link for link in own_domain if link not in followed]
        if len(own_domain) - len(missing) < OWN_DOMAIN_COUNT:
            self._probe_due(missing, _OWN_DOMAIN_PROBE_INTERVAL_S, None)

    def probe_other_domains(self, followed: Sequence[ControlLink]) -> None:
        """Send probes to control instances of other failure domains in turn.

        If one does not answer, probes it again at the next poll, and several others, to
        distinguish a partition from the loss of that one.

        Parameters
        ----------
        followed : sequence of ControlLink
            Followed control instances, all of the own failure domain.
        """
        now_s = self._now_s()
        last_probed = self._last_probed
        is_silent = last_probed is not None and last_probed.is_unanswered(now_s)
        self._probe_in_doubt(followed)
        others = [
            link
            for link in self._links()
            if link not in followed and link.failure_domain != self._failure_domain
        ]
        if is_silent:
            self._probe_due(others, _PROBE_INTERVAL_S, FOLLOWED_COUNT)
        elif others and (
            last_probed is None
            or now_s - last_probed.probed_s >= _OTHER_DOMAIN_PROBE_INTERVAL_S
        ):
            self._last_probed = min(others, key=lambda link: link.probed_s)
            self._send_probe(self._last_probed)
