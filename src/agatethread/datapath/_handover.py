"""Chooses other dispatchers for openings, and records openings handed over to them.

Handles uneven load, when the backend servers of one dispatcher are full while others
have room. The other dispatcher answers a handover with a load report, which is valid
for a short time only, since load changes within milliseconds.
"""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from math import inf

from agatethread.balancing import PlacementAlternative
from agatethread.datapath._packets import FlowKey
from agatethread.wire.registry_pb2 import DispatcherLoad, Dispatchers, RelayedOpening

#: Validity of a load report; short, since until it expires the dispatcher may be sent
#: more openings than it has room for. Work of some 20 ms changes the load before the
#: next report can arrive.
_LOAD_VALIDITY_S = 0.1
#: Validity of a report that all servers are avoided; equal to a server's first penalty.
_ALL_AVOIDED_VALIDITY_S = 0.5
#: Reported wait above which a dispatcher avoids all of its servers, or has none.
_ALL_AVOIDED_WAIT_S = 60.0
#: Minimum time between two openings that probe the load of other failure domains.
_PROBE_INTERVAL_S = 0.02
#: Time after a handover in which the end of the opening is forwarded.
_HANDOVER_RETENTION_S = 3.0
#: Maximum hops within a failure domain.
_MAX_HOPS = 2
#: Number of busy dispatchers from which the own failure domain counts as busy.
_MIN_BUSY_COUNT = 2
#: Maximum hops if the own servers are all avoided, or there are none.
_MAX_HOPS_IF_ALL_AVOIDED = 5


@dataclass(frozen=True, slots=True)
class _Load:
    wait_s: float
    is_free: bool
    received_s: float
    #: Openings that wait at the dispatcher.
    waiting_count: int

    @property
    def avoids_all_servers(self) -> bool:
        """Whether the dispatcher avoids all of its servers, or has none."""
        return self.wait_s > _ALL_AVOIDED_WAIT_S

    @property
    def valid_until_s(self) -> float:
        return self.received_s + (
            _ALL_AVOIDED_VALIDITY_S if self.avoids_all_servers else _LOAD_VALIDITY_S
        )


@dataclass(frozen=True, slots=True)
class HandoverTarget:
    """A dispatcher that an opening may be handed over to.

    Attributes
    ----------
    address : bytes
        Its packed address.
    alternative : PlacementAlternative
        Expected wait of an opening.
    """

    address: bytes
    alternative: PlacementAlternative


class OtherDispatchers:
    """Stores the loads of other dispatchers, and the openings handed over to them.

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
        self._own_domain: frozenset[bytes] = frozenset()
        self._other_domains: frozenset[bytes] = frozenset()
        self._loads: dict[tuple[str, bytes], _Load] = {}
        #: Time of the latest handover to another failure domain, by service.
        self._crossed_s: dict[str, float] = {}
        self._handovers: dict[FlowKey, tuple[bytes, float]] = {}

    def set_dispatchers(self, dispatchers: Mapping[str, Dispatchers]) -> None:
        """Store the dispatchers.

        Parameters
        ----------
        dispatchers : mapping of str to Dispatchers
            By failure domain.
        """
        own_domain, other_domains = set(), set()
        for domain, domain_dispatchers in dispatchers.items():
            (own_domain if domain == self._failure_domain else other_domains).update(
                domain_dispatchers.addresses
            )
        self._own_domain = frozenset(own_domain - {self._own_address})
        self._other_domains = frozenset(other_domains)
        addresses = self._own_domain | self._other_domains
        self._loads = {
            key: load for key, load in self._loads.items() if key[1] in addresses
        }

    def on_load(self, load: DispatcherLoad, source: bytes) -> None:
        """Store the load report of a dispatcher.

        Parameters
        ----------
        load : DispatcherLoad
            The report.
        source : bytes
            Packed address of the dispatcher.
        """
        if source in self._own_domain or source in self._other_domains:
            self._loads[load.service, source] = _Load(
                load.wait_ms / 1000, bool(load.free), self._now_s(), load.waiting
            )

    def choose_target(
        self,
        relayed: RelayedOpening,
        candidates: frozenset[bytes],
        avoids_all_servers: bool = False,
    ) -> HandoverTarget | None:
        """Return a dispatcher that may have a place for an opening.

        In this order: one of the own failure domain with room, or with unknown load;
        one of another failure domain, if the opening has not crossed yet; the least
        busy one of the own failure domain.

        Parameters
        ----------
        relayed : RelayedOpening
            The message that carried the opening.
        candidates : frozenset of bytes
            Dispatchers of the own failure domain that have servers of its service.
        avoids_all_servers : bool, optional
            Whether this instance avoids all of its servers, or has none.

        Returns
        -------
        HandoverTarget or None
            None at the limit of hops, or without a valid report or one to probe.
        """
        loads = self._valid_loads(relayed.service)
        own_candidates = self._own_domain & candidates
        max_hops = _MAX_HOPS_IF_ALL_AVOIDED if avoids_all_servers else _MAX_HOPS
        if relayed.hops < max_hops:
            target = self._choose_in_own_domain(own_candidates, loads)
            if target is not None:
                return target
        if not relayed.crossed:
            target = self._choose_in_other_domain(relayed.service, loads)
            if target is not None:
                return target
        return (
            _choose_least_busy(own_candidates, loads, False)
            if relayed.hops < max_hops
            else None
        )

    def _valid_loads(self, service: str) -> dict[bytes, _Load]:
        now_s = self._now_s()
        return {
            address: load
            for (name, address), load in self._loads.items()
            if name == service and load.valid_until_s >= now_s
        }

    @staticmethod
    def _choose_in_own_domain(
        own_candidates: frozenset[bytes], loads: Mapping[bytes, _Load]
    ) -> HandoverTarget | None:
        """Return one of the own failure domain with room or unknown load."""
        reported = [address for address in sorted(own_candidates) if address in loads]
        free = [address for address in reported if loads[address].is_free]
        if free:
            return HandoverTarget(random.choice(free), PlacementAlternative(0.0))
        unreported = sorted(own_candidates.difference(reported))
        busy = [
            address for address in reported if not loads[address].avoids_all_servers
        ]
        if unreported and len(busy) < _MIN_BUSY_COUNT:
            return HandoverTarget(random.choice(unreported), PlacementAlternative(None))
        return None

    def _choose_in_other_domain(
        self, service: str, loads: Mapping[bytes, _Load]
    ) -> HandoverTarget | None:
        unreported = sorted(self._other_domains - loads.keys())
        may_probe = (
            self._now_s() - self._crossed_s.get(service, -inf) >= _PROBE_INTERVAL_S
        )
        if unreported and may_probe:
            return HandoverTarget(
                random.choice(unreported), PlacementAlternative(None, crosses=True)
            )
        return _choose_least_busy(self._other_domains, loads, True)

    def record_handover(self, key: FlowKey, service: str, address: bytes) -> None:
        """Record that an opening was handed over.

        Parameters
        ----------
        key : FlowKey
            Its flow.
        service : str
            Its service.
        address : bytes
            Packed address of the dispatcher.
        """
        now_s = self._now_s()
        if address in self._other_domains:
            self._crossed_s[service] = now_s
        self._handovers[key] = (address, now_s)

    def is_in_other_domain(self, address: bytes) -> bool:
        """Return whether a dispatcher is in another failure domain.

        Parameters
        ----------
        address : bytes
            Its packed address.

        Returns
        -------
        bool
            Whether it is.
        """
        return address in self._other_domains

    def find_dispatcher_with_queue(self, key: FlowKey, service: str) -> bytes | None:
        """Return the dispatcher of a handed over opening, if it may be queued there.

        It may if a later load report shows queued openings of the service. Otherwise
        it was placed or lost, and its copy is placed anew.

        Parameters
        ----------
        key : FlowKey
            Its flow.
        service : str
            Its service.

        Returns
        -------
        bytes or None
            The packed address; None without such a report.
        """
        if key not in self._handovers:
            return None
        address, handed_over_s = self._handovers[key]
        load = self._loads.get((service, address))
        waits = (
            load is not None
            and load.received_s >= handed_over_s
            and load.waiting_count > 0
        )
        return address if waits else None

    def pop_handover(self, key: FlowKey) -> bytes | None:
        """Delete a handover, and return its dispatcher.

        Parameters
        ----------
        key : FlowKey
            Its flow.

        Returns
        -------
        bytes or None
            The packed address; None if the opening was not handed over.
        """
        handover = self._handovers.pop(key, None)
        return handover[0] if handover else None

    def sweep(self) -> None:
        """Delete outdated handovers; to be called about once a second."""
        oldest_s = self._now_s() - _HANDOVER_RETENTION_S
        self._handovers = {
            key: handover
            for key, handover in self._handovers.items()
            if handover[1] >= oldest_s
        }


def _choose_least_busy(
    addresses: frozenset[bytes], loads: Mapping[bytes, _Load], crosses: bool
) -> HandoverTarget | None:
    waits_s = {
        address: loads[address].wait_s
        for address in sorted(addresses)
        if address in loads
    }
    if not waits_s:
        return None
    min_s = min(waits_s.values())
    least_busy = [address for address, wait_s in waits_s.items() if wait_s == min_s]
    return HandoverTarget(
        random.choice(least_busy), PlacementAlternative(min_s, crosses)
    )
