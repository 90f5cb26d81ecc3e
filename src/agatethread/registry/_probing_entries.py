"""Stores the entry instances that probe a control instance but don't poll it."""

from collections.abc import Callable

from agatethread.registry._hints import KnownEntry

_MIN_RETENTION_S = 10.0
#: Retention for each control instance, which entry instances probe in turn: two turns.
_RETENTION_PER_CONTROL_S = 2.0
#: Addresses that are stored; several times the largest deployment.
_MAX_COUNT = 4_096


class ProbingEntries:
    """Entry instances that sent a probe recently.

    Needed after a power failure of the whole site, when each entry instance waits for
    the first control instance. A control instance that starts also contacts these entry
    instances.

    Parameters
    ----------
    count_controls : callable
        Returns the number of other control instances.
    """

    def __init__(self, count_controls: Callable[[], int]):
        self._count_controls = count_controls
        #: Failure domain and time of the last probe, by packed address.
        self._probes: dict[bytes, tuple[str, float]] = {}

    def store_probe(self, address: bytes, failure_domain: str, now_s: float) -> None:
        """Store the time of a probe.

        Parameters
        ----------
        address : bytes
            Packed address of the entry instance.
        failure_domain : str
            Where it runs.
        now_s : float
            Present time.
        """
        if len(self._probes) < _MAX_COUNT or address in self._probes:
            self._probes[address] = (failure_domain, now_s)

    def list_recent(self, now_s: float) -> list[KnownEntry]:
        """Return the entry instances with a recent probe, and delete the others.

        Parameters
        ----------
        now_s : float
            Present time.

        Returns
        -------
        list of KnownEntry
            In no particular order.
        """
        per_control_s = _RETENTION_PER_CONTROL_S * self._count_controls()
        oldest_s = now_s - max(_MIN_RETENTION_S, per_control_s)
        self._probes = {
            address: (domain, probed_s)
            for address, (domain, probed_s) in self._probes.items()
            if probed_s > oldest_s
        }
        return [
            KnownEntry(address, domain) for address, (domain, _) in self._probes.items()
        ]
