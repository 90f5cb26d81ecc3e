"""Whether a service is under pressure, as one of many instances sees it.

The load that this answers: a crowd that comes and goes within seconds before dozens of
instances, each of which sees a share of it. While few slots are in use, each places by
its own counts and nobody waits; when most are, they have to place together. An
instance sees a few flows at a time, so its own figure jumps, and is smoothed.
"""

from dataclasses import dataclass
from math import exp, inf

#: Time in which half and more of a change shows. A crowd that starts sheds callers from
#: its first second on; a few flows at once by chance are over sooner.
_SMOOTHING_S = 0.25
#: Openings that found nothing in progress and are always counted in: in calm so few are
#: seen in the smoothing time that two flows at once would look like a crowd.
_IDLE_COUNT = 3
#: What openings must have found in progress, all together, and for how long use must
#: have stayed high, for pressure to begin: a burst of a few openings is no crowd.
_LEAST_FOUND = 3.0
_LASTS_S = 0.05
#: Share of the slots in use, by the estimate, from which on and below which pressure
#: begins and ends. Below half of the slots hardly any caller waits whoever places it.
_BEGINS_AT = 0.45
_ENDS_AT = 0.3


@dataclass(slots=True)
class _Seen:
    at_s: float
    #: What openings found in progress, and how many they were, the older the less.
    found: float = 0.0
    count: float = 0.0
    #: Since when use has been high enough for pressure to begin.
    above_since_s: float = inf
    is_high: bool = False


class PressureGauge:
    """Smoothed use of each service's slots.

    What openings find in progress when they come is, on the mean, what is in progress
    at any time. So each counts alike: weighted by the time since the one before, those
    after a long gap, which find least, would count most.
    """

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
            seen = self._seen[service] = _Seen(now_s)
        keep = exp(-(now_s - seen.at_s) / _SMOOTHING_S)
        seen.found = seen.found * keep + in_flight_count
        seen.count = seen.count * keep + 1
        seen.at_s = now_s
        if not slot_count:
            seen.is_high = False
            return False
        seen.above_since_s = min(seen.above_since_s, now_s)
        mean = seen.found / (seen.count + _IDLE_COUNT)
        use = mean * entry_count / slot_count
        if use <= _BEGINS_AT or seen.found < _LEAST_FOUND:
            seen.above_since_s = inf
        lasts = now_s - seen.above_since_s >= _LASTS_S
        seen.is_high = use > _ENDS_AT if seen.is_high else lasts
        return seen.is_high
