"""What becomes of a packet of an open flow, whatever names its backend server.

Both forwarders decide by this: the one of the project's own protocol, whose packets
carry a sealed cookie, and the one for packets with a 32-bit label.

==================  =================  =====================  ===========
The run is          service allowed    run                    outcome
==================  =================  =====================  ===========
not known           -                  -                      dropped
known               no                 -                      dropped
known               yes                ended or replaced      reset
known               yes                other                  forwarded
==================  =================  =====================  ===========

A reset tells the caller that its flow is over, so it is sent on knowledge only. What is
dropped comes again, and may be known by then.
"""

from enum import Enum


class OpenFlowOutcome(Enum):
    """What becomes of a packet; the value is the reason in counters and logs."""

    FORWARD = "forwarded"
    RESET = "backend_ended"
    DROP_UNKNOWN = "unknown_label"
    DROP_OTHER_SERVICE = "other_service"


def judge_open_flow(
    is_known: bool, is_allowed: bool, has_ended: bool
) -> OpenFlowOutcome:
    """Decide about a packet of an open flow.

    Parameters
    ----------
    is_known : bool
        Whether the packet names a run that is known, or is proof itself that there
        was one.
    is_allowed : bool
        Whether the packet's destination is, or was when the flow was opened, of the
        run's service.
    has_ended : bool
        Whether the run is known to have ended, or its address to belong to another.

    Returns
    -------
    OpenFlowOutcome
        The outcome.
    """
    if not is_known:
        return OpenFlowOutcome.DROP_UNKNOWN
    if not is_allowed:
        return OpenFlowOutcome.DROP_OTHER_SERVICE
    if has_ended:
        return OpenFlowOutcome.RESET
    return OpenFlowOutcome.FORWARD
