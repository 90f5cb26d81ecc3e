"""Estimate of the share of a service's slots in use, from one instance's counts.

Handles bursts of a few seconds that are spread over many entry instances. At low
utilization each instance places by its own counts; under pressure placement is shared.
An instance has only a few flows at a time, so its estimate is smoothed.
"""

from dataclasses import dataclass
from math import exp, inf

#: Short enough to detect a burst within its first second, long enough to ignore a few
#: flows that coincide.
_SMOOTHING_S = 0.25
#: Samples of zero work in progress that are added to the mean. They lower the estimate
#: when openings are rare, where two coinciding flows would look like a burst.
_IDLE_OPENING_COUNT = 3
#: Minimum decayed sum of the samples of work in progress at which pressure may begin:
#: ignores a burst of a few openings.
_MIN_IN_PROGRESS_SUM = 3.0
#: Pressure begins after utilization has been above the onset threshold for this time.
_ONSET_S = 0.05
#: Estimated utilization (0 to 1) above which pressure begins, and at or below which it
#: ends; they differ so that pressure does not begin and end repeatedly.
_ONSET_UTILIZATION = 0.45
_END_UTILIZATION = 0.3


@dataclass(slots=True)
class _Estimate:
    updated_s: float
    #: Sum of the samples of work in progress, one for each opening, and their number;
    #: both decay.
    in_progress_sum: float = 0.0
    opening_count: float = 0.0
    #: Start of the present period of utilization above the onset threshold.
    above_since_s: float = inf
    is_high: bool = False


class PressureGauge:
    """Smoothed slot utilization of each service.

    The work in progress is sampled at each opening. With random arrivals the mean of
    the samples equals the mean over time. Openings are therefore weighted equally and
    not by the time since the previous one.
    """

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}

    def record_opening(
        self,
        service: str,
        in_flight_count: int,
        entry_count: int,
        slot_count: int,
        now_s: float,
    ) -> bool:
        """Add a sample for an opening; return whether a service is under pressure.

        Call this once for each opening.

        Parameters
        ----------
        service : str
            The service.
        in_flight_count : int
            Openings and requests that this instance has in progress there.
        entry_count : int
            Entry instances of the failure domain, assumed to be equally loaded.
        slot_count : int
            The service's slots in the failure domain.
        now_s : float
            Current time.

        Returns
        -------
        bool
            Whether openings are to be relayed to a dispatcher for placement.
        """
        estimate = self._estimates.get(service)
        if estimate is None:
            estimate = self._estimates[service] = _Estimate(now_s)
        decay = exp(-(now_s - estimate.updated_s) / _SMOOTHING_S)
        estimate.in_progress_sum = estimate.in_progress_sum * decay + in_flight_count
        estimate.opening_count = estimate.opening_count * decay + 1
        estimate.updated_s = now_s
        if not slot_count:
            estimate.is_high = False
            return False
        estimate.above_since_s = min(estimate.above_since_s, now_s)
        mean_in_progress = estimate.in_progress_sum / (
            estimate.opening_count + _IDLE_OPENING_COUNT
        )
        utilization = mean_in_progress * entry_count / slot_count
        if (
            utilization <= _ONSET_UTILIZATION
            or estimate.in_progress_sum < _MIN_IN_PROGRESS_SUM
        ):
            estimate.above_since_s = inf
        has_lasted = now_s - estimate.above_since_s >= _ONSET_S
        estimate.is_high = (
            utilization > _END_UTILIZATION if estimate.is_high else has_lasted
        )
        return estimate.is_high
