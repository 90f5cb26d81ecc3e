"""The dispatchers of other failure domains: how busy they are, what they were given.

The load that this answers: callers of one failure domain want more than its backend
servers bear, while those of another have room. How much they have changes within
milliseconds, so a dispatcher asks by handing an opening over, is told the load in
return, and acts on it for a moment only.
"""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from math import inf

from agatethread.datapath._packets import FlowKey
from agatethread.wire.registry_pb2 import DispatcherLoad, Dispatchers

#: What was told is used for so long: work of some 20 ms changes it before news of it
#: could come, and a few openings too many wait there as they would here.
_LOAD_KEPT_S = 0.1
#: Pause between two openings that find out how busy somebody is.
_ASK_PAUSE_S = 0.02
#: An opening that was handed over is remembered for so long, for its end to be told on.
_REMEMBERED_S = 3.0


@dataclass(frozen=True, slots=True)
class _Load:
    wait_s: float
    heard_s: float


@dataclass(frozen=True, slots=True)
class Outlet:
    """A dispatcher of another failure domain that may take an opening.

    Attributes
    ----------
    address : bytes
        Its packed address.
    wait_s : float or None
        How long an opening waits there; None if that is not known.
    """

    address: bytes
    wait_s: float | None


class OtherDomains:
    """What a dispatcher knows of those of other failure domains.

    Parameters
    ----------
    failure_domain : str
        Of this instance.
    now_s : callable
        Monotonic clock.
    """

    def __init__(self, failure_domain: str, now_s: Callable[[], float]):
        self._failure_domain = failure_domain
        self._now_s = now_s
        self._addresses: frozenset[bytes] = frozenset()
        self._loads: dict[tuple[str, bytes], _Load] = {}
        self._asked_s: dict[str, float] = {}
        self._given: dict[FlowKey, tuple[bytes, float]] = {}

    def take(self, told: Mapping[str, Dispatchers]) -> None:
        """Take who places openings there.

        Parameters
        ----------
        told : mapping of str to Dispatchers
            By failure domain.
        """
        self._addresses = frozenset(
            address
            for domain, one in told.items()
            if domain != self._failure_domain
            for address in one.addresses
        )
        self._loads = {
            key: load for key, load in self._loads.items() if key[1] in self._addresses
        }

    def on_load(self, told: DispatcherLoad, source: bytes) -> None:
        """Take what a dispatcher tells of its load.

        Parameters
        ----------
        told : DispatcherLoad
            Its load.
        source : bytes
            Its packed address.
        """
        if source in self._addresses:
            load = _Load(told.wait_ms / 1000, self._now_s())
            self._loads[told.service, source] = load

    def find_least_busy(self, service: str) -> Outlet | None:
        """Find the dispatcher that may take an opening soonest.

        Parameters
        ----------
        service : str
            Of the opening.

        Returns
        -------
        Outlet or None
            One that is not known now and then; None if nobody is there, or all that is
            known is too old and somebody was asked just now.
        """
        now_s = self._now_s()
        known = {
            address: load.wait_s
            for (name, address), load in self._loads.items()
            if name == service and now_s - load.heard_s < _LOAD_KEPT_S
        }
        unknown = self._addresses - known.keys()
        if unknown and now_s - self._asked_s.get(service, -inf) >= _ASK_PAUSE_S:
            return Outlet(random.choice(sorted(unknown)), None)
        if not known:
            return None
        least_s = min(known.values())
        least = [address for address, wait_s in known.items() if wait_s == least_s]
        return Outlet(random.choice(least), least_s)

    def note_given(self, key: FlowKey, service: str, address: bytes) -> None:
        """Note that an opening was handed over.

        Parameters
        ----------
        key : FlowKey
            Its flow.
        service : str
            Its service.
        address : bytes
            Where it went.
        """
        now_s = self._now_s()
        self._asked_s[service] = now_s
        self._given[key] = (address, now_s)

    def find_given(self, key: FlowKey, service: str) -> bytes | None:
        """Tell where an opening was handed over to, if it is known to have arrived.

        Parameters
        ----------
        key : FlowKey
            Its flow.
        service : str
            Its service.

        Returns
        -------
        bytes or None
            The packed address; None if whoever it went to has said nothing since.
        """
        if key not in self._given:
            return None
        address, given_s = self._given[key]
        load = self._loads.get((service, address))
        return address if load and load.heard_s >= given_s else None

    def take_given(self, key: FlowKey) -> bytes | None:
        """Tell where an opening was handed over to, and forget it.

        Parameters
        ----------
        key : FlowKey
            Its flow.

        Returns
        -------
        bytes or None
            The packed address; None if it was not.
        """
        given = self._given.pop(key, None)
        return given[0] if given else None

    def sweep(self) -> None:
        """Forget what was handed over long ago; to be called about once a second."""
        oldest_s = self._now_s() - _REMEMBERED_S
        self._given = {
            key: given for key, given in self._given.items() if given[1] >= oldest_s
        }
