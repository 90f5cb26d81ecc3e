"""Outcomes of connections to a run of a backend server."""

from agatethread.datapath._evidence import ProbeOutcome

#: Time of an event that has not happened.
_NEVER_S = float("-inf")
#: Age up to which a failed connection shows that a run can't be reached.
_VALID_S = 1.0
#: Time from an accepted and from a failed connection to the next one.
_ACCEPTED_INTERVAL_S = 0.5
_FAILED_INTERVAL_S = 0.2


class ProbeRecord:
    """When connections to a run were accepted and failed.

    Attributes
    ----------
    accepted_s : float
        When the last accepted connection was begun; 0 for none.
    failed_s : float
        When the last failed connection was begun; minus infinity for none since the run
        was reachable.
    not_before_s : float
        Time from which the run may be probed again.
    """

    __slots__ = ("accepted_s", "failed_s", "not_before_s", "_failed_before_s")

    def __init__(self) -> None:
        self.accepted_s = 0.0
        self.not_before_s = 0.0
        self.clear_failures()

    def clear_failures(self) -> None:
        """Forget the failed connections, as the run is reachable."""
        self.failed_s = _NEVER_S
        #: When the failed connection before the last one was begun; a refused one
        #: counts as two.
        self._failed_before_s = _NEVER_S

    def record(self, outcome: ProbeOutcome, started_s: float) -> None:
        """Record the outcome of a connection.

        Parameters
        ----------
        outcome : ProbeOutcome
            The outcome.
        started_s : float
            Time at which the connection was begun.
        """
        if outcome is ProbeOutcome.INCONCLUSIVE:
            self.not_before_s = max(self.not_before_s, started_s + _FAILED_INTERVAL_S)
            return
        if outcome is ProbeOutcome.ACCEPTED:
            self.accepted_s = started_s
            self.not_before_s = started_s + _ACCEPTED_INTERVAL_S
            self.clear_failures()
            return
        self.not_before_s = started_s + _FAILED_INTERVAL_S
        is_refused = outcome is ProbeOutcome.REFUSED
        self._failed_before_s = started_s if is_refused else self.failed_s
        self.failed_s = started_s

    def have_failed_twice(self, since_s: float, now_s: float) -> bool:
        """Return whether connections show that the run can't be reached.

        Parameters
        ----------
        since_s : float
            Time since which the run has been silent; earlier connections show nothing.
        now_s : float
            Current time.

        Returns
        -------
        bool
            Whether the last two failed since then, the second one recently. A single
            one may be due to a lost packet; a refused one needs no second.
        """
        is_recent = now_s - self.failed_s <= _VALID_S
        return is_recent and self._failed_before_s >= since_s
