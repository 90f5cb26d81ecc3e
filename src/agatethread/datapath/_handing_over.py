"""The other dispatchers: how busy they are, and what they were given.

The load that this answers: the backend servers of one dispatcher are full while others'
are not, by chance within a failure domain, or since callers of one domain want more
than its servers bear. How much room there is changes within milliseconds, so a
dispatcher asks by handing an opening over, is told the load in return, and acts on it
for a moment.
"""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from math import inf

from agatethread.balancing import Elsewhere
from agatethread.datapath._packets import FlowKey
from agatethread.wire.registry_pb2 import DispatcherLoad, Dispatchers, RelayedOpening

#: What was told is used for so long: work of some 20 ms changes it before news of it
#: could come, and a few openings too many wait there as they would here.
_LOAD_KEPT_S = 0.1
#: Where no server answers it stays so for as long as such a server is left alone.
_SILENT_KEPT_S = 0.5
_SILENT_WAIT_S = 60.0
#: Pause between two openings that find out how busy another failure domain is.
_ASK_PAUSE_S = 0.02
#: An opening that was handed over is remembered for so long, for its end to be told on.
_REMEMBERED_S = 3.0
#: Dispatchers of a failure domain that an opening is handed to at most, and those of
#: the own one that were found busy lately after which all of it counts as busy.
_MOST_HOPS = 2
_ENOUGH_BUSY = 2
#: The same where the servers at hand don't answer, so that staying helps nobody.
_MOST_HOPS_FROM_SILENT = 5


@dataclass(frozen=True, slots=True)
class _Load:
    wait_s: float
    is_free: bool
    heard_s: float
    #: Openings that wait there.
    waiting_count: int

    @property
    def is_silent(self) -> bool:
        """Whether none of its servers answers."""
        return self.wait_s > _SILENT_WAIT_S

    @property
    def used_until_s(self) -> float:
        return self.heard_s + (_SILENT_KEPT_S if self.is_silent else _LOAD_KEPT_S)


@dataclass(frozen=True, slots=True)
class Outlet:
    """A dispatcher that may take an opening.

    Attributes
    ----------
    address : bytes
        Its packed address.
    elsewhere : Elsewhere
        How long an opening waits there.
    """

    address: bytes
    elsewhere: Elsewhere


class OtherDispatchers:
    """What a dispatcher knows of the others.

    Parameters
    ----------
    own_address : bytes
        Packed registry address of this instance.
    failure_domain : str
        Of this instance.
    now_s : callable
        Monotonic clock.
    """

    def __init__(
        self, own_address: bytes, failure_domain: str, now_s: Callable[[], float]
    ):
        self._own_address = own_address
        self._failure_domain = failure_domain
        self._now_s = now_s
        self._near: frozenset[bytes] = frozenset()
        self._far: frozenset[bytes] = frozenset()
        self._loads: dict[tuple[str, bytes], _Load] = {}
        self._asked_s: dict[str, float] = {}
        self._given: dict[FlowKey, tuple[bytes, float]] = {}

    def take(self, told: Mapping[str, Dispatchers]) -> None:
        """Take who the dispatchers are.

        Parameters
        ----------
        told : mapping of str to Dispatchers
            By failure domain.
        """
        near, far = set(), set()
        for domain, one in told.items():
            (near if domain == self._failure_domain else far).update(one.addresses)
        self._near = frozenset(near - {self._own_address})
        self._far = frozenset(far)
        known = self._near | self._far
        self._loads = {
            key: load for key, load in self._loads.items() if key[1] in known
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
        if source in self._near or source in self._far:
            self._loads[told.service, source] = _Load(
                told.wait_ms / 1000, bool(told.free), self._now_s(), told.waiting
            )

    # -- where to -----------------------------------------------------------------

    def find(
        self,
        relayed: RelayedOpening,
        placing: frozenset[bytes],
        is_silent: bool = False,
    ) -> Outlet | None:
        """Find the dispatcher that may take an opening soonest.

        Parameters
        ----------
        relayed : RelayedOpening
            What came with the opening.
        placing : frozenset of bytes
            Dispatchers of the own failure domain that have servers of its service.
        is_silent : bool, optional
            Whether none of the servers at hand answers.

        Returns
        -------
        Outlet or None
            One that is not known now and then; None if the opening has been handed over
            often enough, or nobody is known to be less busy.
        """
        known = self._known_loads(relayed.service)
        near = self._near & placing
        most_hops = _MOST_HOPS_FROM_SILENT if is_silent else _MOST_HOPS
        if relayed.hops < most_hops:
            outlet = self._find_near(near, known)
            if outlet is not None:
                return outlet
        if not relayed.crossed:
            outlet = self._find_far(relayed.service, known)
            if outlet is not None:
                return outlet
        return _least_busy(near, known, False) if relayed.hops < most_hops else None

    def _known_loads(self, service: str) -> dict[bytes, _Load]:
        now_s = self._now_s()
        return {
            address: load
            for (name, address), load in self._loads.items()
            if name == service and load.used_until_s >= now_s
        }

    @staticmethod
    def _find_near(
        near: frozenset[bytes], known: Mapping[bytes, _Load]
    ) -> Outlet | None:
        """Find one of the own failure domain with room, or that nobody knows."""
        heard = [address for address in sorted(near) if address in known]
        free = [address for address in heard if known[address].is_free]
        if free:
            return Outlet(random.choice(free), Elsewhere(0.0))
        unknown = sorted(near.difference(heard))
        busy = [address for address in heard if not known[address].is_silent]
        if unknown and len(busy) < _ENOUGH_BUSY:
            return Outlet(random.choice(unknown), Elsewhere(None))
        return None

    def _find_far(self, service: str, known: Mapping[bytes, _Load]) -> Outlet | None:
        unknown = sorted(self._far - known.keys())
        may_ask = self._now_s() - self._asked_s.get(service, -inf) >= _ASK_PAUSE_S
        if unknown and may_ask:
            return Outlet(random.choice(unknown), Elsewhere(None, crosses=True))
        return _least_busy(self._far, known, True)

    # -- what was given -----------------------------------------------------------

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
        if address in self._far:
            self._asked_s[service] = now_s
        self._given[key] = (address, now_s)

    def crosses_to(self, address: bytes) -> bool:
        """Tell whether a dispatcher is in another failure domain.

        Parameters
        ----------
        address : bytes
            Its packed address.

        Returns
        -------
        bool
            Whether it is.
        """
        return address in self._far

    def find_given(self, key: FlowKey, service: str) -> bytes | None:
        """Tell where an opening was handed over to, if it waits there.

        A copy of one that was placed there, or lost, has to go another way.

        Parameters
        ----------
        key : FlowKey
            Its flow.
        service : str
            Its service.

        Returns
        -------
        bytes or None
            The packed address; None if whoever it went to has not said since that
            openings wait there.
        """
        if key not in self._given:
            return None
        address, given_s = self._given[key]
        load = self._loads.get((service, address))
        waits = load is not None and load.heard_s >= given_s and load.waiting_count > 0
        return address if waits else None

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


def _least_busy(
    addresses: frozenset[bytes], known: Mapping[bytes, _Load], crosses: bool
) -> Outlet | None:
    waits_s = {one: known[one].wait_s for one in sorted(addresses) if one in known}
    if not waits_s:
        return None
    least_s = min(waits_s.values())
    least = [address for address, wait_s in waits_s.items() if wait_s == least_s]
    return Outlet(random.choice(least), Elsewhere(least_s, crosses))
