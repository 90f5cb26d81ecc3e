"""Policies: behaviour that can be tuned or switched off, with the reasons."""

from collections.abc import Iterator
from dataclasses import Field, dataclass, field, fields, replace
from typing import Any


def _switch() -> Any:
    return field(default=True, metadata={"off": False})


def _threshold(default: float, off: float, minimum: float, maximum: float) -> Any:
    bounds = {"minimum": minimum, "maximum": maximum, "off": off}
    return field(default=default, metadata=bounds)


@dataclass(frozen=True, slots=True)
class Policies:
    """Tunable behaviour of instances on the users' platform.

    The ``off`` value of a field selects the simpler behaviour named in its comment.
    """

    #: Number of requests by which a backend server of the own failure domain must be
    #: busier than one of another failure domain before the latter is chosen; 0: all
    #: failure domains are equal. Keeps traffic local, which is cheaper and a
    #: millisecond faster, unless the load gets uneven.
    domain_preference_count: float = _threshold(1.5, 0.0, 0.0, 100.0)
    #: Factor by which a backend server is rated slower just after its start; 1: it is
    #: rated like any other.
    cold_factor: float = _threshold(1.6, 1.0, 1.0, 100.0)
    #: Whether a cold backend server gets no new flow while a warm one can serve it, and
    #: a limited rate otherwise, if its service states what a cold one can serve; else
    #: it is only rated slower. Prevents overload by many instances that place flows
    #: independently.
    spares_cold_backends: bool = _switch()
    #: Maximum time in which a backend server gets no new flows after unanswered
    #: openings; 0: it is not avoided. Keeps callers away from dead servers, and is
    #: short enough that a recovered server is used again soon.
    longest_avoidance_s: float = _threshold(4.0, 0.0, 0.0, 60.0)
    #: Whether an opening goes to another service of its route if the chosen service has
    #: no backend server left; else it is refused.
    uses_other_services: bool = _switch()
    #: Time after its last report in which a run is still tried if no other is left; 0:
    #: never. As long as the longest network partition during which callers are served.
    out_of_sight_s: float = _threshold(12.0, 0.0, 0.0, 600.0)
    #: Whether open flows of a lost run are reset while they are idle; else on their
    #: next packet.
    resets_idle_flows: bool = _switch()
    #: Whether entry instances exchange observations of silent runs; else each relies on
    #: its own flows.
    shares_sightings: bool = _switch()
    #: Whether a run that usually answers fast is considered unreachable after a shorter
    #: silence; else after the same silence as any other.
    judges_by_answer_time: bool = _switch()
    #: Maximum time for which the reply to an evacuation order waits until the reachable
    #: entry instances have received it; 0: the reply is sent once the order is in the
    #: log. Below the timeout of operators, which is a second.
    evacuation_wait_s: float = _threshold(0.4, 0.0, 0.0, 0.8)
    #: Whether an entry instance whose failure domain is cut off from all others uses
    #: the backend servers of its own failure domain even if that is evacuated, since
    #: its callers can reach no others; else it refuses new work until the cut ends.
    serves_evacuated_when_cut_off: bool = _switch()
    #: Maximum time for which a stopping entry instance waits for others of its failure
    #: domain that are restarting; 0: it stops at once. Routers must stop choosing it
    #: within 4 s of the stop signal and take a second to notice; a start takes another.
    turn_wait_s: float = _threshold(2.0, 0.0, 0.0, 600.0)
    #: Maximum time for which an entry instance that was suspended is not ready until a
    #: control instance sends an update; 0: it continues with its old state.
    relearn_wait_s: float = _threshold(1.5, 0.0, 0.0, 60.0)
    #: Whether packets are paced to the rate of the link; else the queue of the link
    #: drops the excess.
    paces_packets: bool = _switch()
    #: Whether a starting control instance notifies the entry instances on its disk, so
    #: that they poll it at once; else they poll it on their own, every 0.1 s.
    greets_known_entries: bool = _switch()
    #: Whether a control instance stores the known backend servers on disk; else it
    #: starts without any.
    keeps_hints: bool = _switch()
    #: Whether instances poll every 0.1 s while no control instance answers; else at the
    #: usual poll interval.
    asks_urgently: bool = _switch()


#: Policies that apply unless a file changes them.
DEFAULT_POLICIES = Policies()


def policy_fields() -> Iterator[Field[Any]]:
    """Yield the fields of the policies.

    Yields
    ------
    Field
        Data class field whose ``metadata["off"]`` is the value that switches it off.
    """
    yield from fields(Policies)


def switch_off(policies: Policies, name: str) -> Policies:
    """Return policies with one of them switched off.

    Parameters
    ----------
    policies : Policies
        The policies to change.
    name : str
        Name of the policy to switch off.

    Returns
    -------
    Policies
        The changed policies.

    Raises
    ------
    KeyError
        If there is no such policy.
    """
    off_values = {
        policy_field.name: policy_field.metadata["off"]
        for policy_field in policy_fields()
    }
    return replace(policies, **{name: off_values[name]})
