"""Decision about packets of open flows.

Used by both forwarders: for packets with a sealed cookie (the project's own protocol)
and for packets with a 32-bit label.

==================  =================  =====================  ===========
Run is known        service allowed    state of the run       outcome
==================  =================  =====================  ===========
no                  -                  -                      dropped
yes                 no                 -                      dropped
yes                 yes                gone                   reset
yes                 yes                other                  forwarded
==================  =================  =====================  ===========

A reset ends the flow at the caller, so it is sent only if the run is known to be gone;
that its end was told of does not show this. A dropped packet is sent again by the
caller, when the run may be known.
"""

from enum import Enum


class OpenFlowOutcome(Enum):
    """Outcome for a packet; the value is the reason in counters and logs."""

    FORWARD = "forwarded"
    RESET = "backend_ended"
    DROP_UNKNOWN = "unknown_label"
    DROP_OTHER_SERVICE = "other_service"


def decide_open_flow(
    is_known: bool, is_allowed: bool, is_gone: bool
) -> OpenFlowOutcome:
    """Return the outcome for a packet of an open flow.

    Parameters
    ----------
    is_known : bool
        Whether the run is verified: its label is known here, or the packet's sealed
        cookie proves that it existed.
    is_allowed : bool
        Whether the packet's destination belongs to the run's service, or did when the
        flow was opened.
    is_gone : bool
        Whether the run is known to serve no flows any more.

    Returns
    -------
    OpenFlowOutcome
        The outcome.
    """
    if not is_known:
        return OpenFlowOutcome.DROP_UNKNOWN
    if not is_allowed:
        return OpenFlowOutcome.DROP_OTHER_SERVICE
    if is_gone:
        return OpenFlowOutcome.RESET
    return OpenFlowOutcome.FORWARD
