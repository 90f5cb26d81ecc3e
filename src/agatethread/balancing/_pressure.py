"""Whether a service is under pressure, as one of many instances sees it.

The load that this answers: a crowd that comes and goes within seconds before dozens of
instances, each of which sees a share of it. While few slots are in use, each places by
its own counts and nobody waits; when most are, they have to place together. An
instance sees a few flows at a time, so its own figure jumps, and is smoothed.
"""

from dataclasses import dataclass
from math import exp

#: Time in which half and more of a change shows. A crowd that starts sheds callers from
#: its first second on; a few flows at once by chance are over sooner.
_SMOOTHING_S = 0.25
#: Share of the slots in use, by the estimate, from which on and below which pressure
#: begins and ends. Below half of the slots hardly any caller waits whoever places it.
_BEGINS_AT = 0.5
_ENDS_AT = 0.3


@dataclass(slots=True)
class _Seen:
    mean: float
    at_s: float
    is_high: bool = False


class PressureGauge:
    """Smoothed use of each service's slots."""

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}

    def is_high(
        self,
        service: str,
        in_flight_count: int,
        entry_count: int,
        slot_count: int,
        now_s: float,
    ) -> bool:
        """Tell whether a service is under pressure.

        Parameters
        ----------
        service : str
            The service.
        in_flight_count : int
            Openings and requests that this instance has in progress there.
        entry_count : int
            Instances of the failure domain, which see as many each.
        slot_count : int
            The service's slots in the failure domain.
        now_s : float
            Present time; to be asked at each opening.

        Returns
        -------
        bool
            Whether placing is to be shared.
        """
        seen = self._seen.get(service)
        if seen is None:
            seen = self._seen[service] = _Seen(0.0, now_s)
        keep = exp(-(now_s - seen.at_s) / _SMOOTHING_S)
        seen.mean = in_flight_count + (seen.mean - in_flight_count) * keep
        seen.at_s = now_s
        if not slot_count:
            seen.is_high = False
            return False
        use = seen.mean * entry_count / slot_count
        seen.is_high = use > (_ENDS_AT if seen.is_high else _BEGINS_AT)
        return seen.is_high
