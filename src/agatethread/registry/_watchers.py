"""Entry instances that only look whether a control instance is there."""

from agatethread.registry._memory import KnownEntry

#: Each control instance is looked at every few seconds, one after the other.
_KEPT_S = 10.0
#: Addresses that are kept: several times the largest deployment.
_MOST_COUNT = 4_096


class Watchers:
    """Who looked lately.

    The load that this answers: a loss of all power, after which each entry instance
    waits for the first control instance. One that starts greets these, too.
    """

    def __init__(self) -> None:
        self._heard: dict[bytes, tuple[str, float]] = {}

    def note(self, address: bytes, failure_domain: str, now_s: float) -> None:
        """Note that an entry instance looked.

        Parameters
        ----------
        address : bytes
            Its packed address.
        failure_domain : str
            Where it runs.
        now_s : float
            Present time.
        """
        if len(self._heard) < _MOST_COUNT or address in self._heard:
            self._heard[address] = (failure_domain, now_s)

    def known(self, now_s: float) -> list[KnownEntry]:
        """List those that looked lately, and forget the others.

        Parameters
        ----------
        now_s : float
            Present time.

        Returns
        -------
        list of KnownEntry
            In no particular order.
        """
        self._heard = {
            address: (domain, heard_s)
            for address, (domain, heard_s) in self._heard.items()
            if now_s - heard_s < _KEPT_S
        }
        return [KnownEntry(address, one) for address, (one, _) in self._heard.items()]
