"""The decisions that can be switched off or tuned, and what each guards against."""

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
    """What instances on the users' platform decide by.

    A field at its ``off`` value means the simpler behaviour that its comment names.
    """

    #: Requests by which a backend server of the own failure domain must be busier
    #: before another domain's is chosen; 0: all domains alike. Bytes between domains
    #: cost, and take a millisecond more; an even load is worth more than both.
    domain_preference_count: float = _threshold(1.5, 0.0, 0.0, 100.0)
    #: How much slower a backend server counts just after its start; 1: like any other.
    cold_factor: float = _threshold(1.6, 1.0, 1.0, 100.0)
    #: Whether a cold backend server gets no new flow while a warm one can take it, and
    #: few else, where its service tells what a cold one bears; else it only counts as
    #: slower. Against more in a second than it bears, from many instances that don't
    #: see each other.
    spares_cold_backends: bool = _switch()
    #: Longest pause in which a backend server gets no new flows after openings went
    #: unanswered, against sending callers to a dead one; 0: no pause. The longest costs
    #: a server that is back little.
    longest_avoidance_s: float = _threshold(4.0, 0.0, 0.0, 60.0)
    #: Whether an opening goes to another service of its route where the chosen one has
    #: nobody left; else it is refused.
    uses_other_services: bool = _switch()
    #: Time after its reports stopped in which a run is still tried where no other is
    #: left; 0: never. The longest cut that callers are to be served through.
    out_of_sight_s: float = _threshold(12.0, 0.0, 0.0, 600.0)
    #: Whether open flows of a lost run are reset while they are idle; else when their
    #: next packet comes.
    resets_idle_flows: bool = _switch()
    #: Whether entry instances tell each other which runs are silent; else each relies
    #: on its own flows.
    shares_sightings: bool = _switch()
    #: Whether a run that usually answers fast is held for gone sooner; else after the
    #: same silence as any other.
    judges_by_answer_time: bool = _switch()
    #: Longest wait of an evacuation's acknowledgement for the entry instances in sight
    #: to know of it; 0: it is given as soon as the log holds the order. Operators wait
    #: for a second for an answer, and agreeing takes some 10 ms.
    evacuation_wait_s: float = _threshold(0.4, 0.0, 0.0, 0.8)
    #: Whether an entry instance whose failure domain is cut off from all others gives
    #: work to its own domain's backend servers though the domain is evacuated: they
    #: are the only ones that its callers reach. Else it refuses until the cut heals.
    serves_evacuated_when_cut_off: bool = _switch()
    #: Longest wait of a stopping entry instance for those of its failure domain that
    #: restart at the moment; 0: it goes at once. An instance has to be out of the
    #: routers' choice 4 s after it was told to stop, they need a second to notice, and
    #: a start takes 0.9 s.
    turn_wait_s: float = _threshold(2.0, 0.0, 0.0, 600.0)
    #: Longest time in which an entry instance is not ready after it stood still, until
    #: it hears a control instance; 0: it goes on with what it knew.
    relearn_wait_s: float = _threshold(1.5, 0.0, 0.0, 60.0)
    #: Whether packets wait for the link's rate; else the link's own queue drops them.
    paces_packets: bool = _switch()
    #: Whether a control instance that starts greets the entry instances that it knew,
    #: so that they ask it at once; else they ask by themselves, each 0.1 s.
    greets_known_entries: bool = _switch()
    #: Whether a control instance keeps the backend servers that it knows on its disk;
    #: else it starts without any.
    keeps_hints: bool = _switch()
    #: Whether instances ask each 0.1 s while no control instance answers; else at each
    #: of their polls.
    asks_urgently: bool = _switch()


#: In force where nothing else is set.
DEFAULT_POLICIES = Policies()


def policy_fields() -> Iterator[Field[Any]]:
    """List the policies.

    Yields
    ------
    Field
        With the value that switches it off as ``metadata["off"]``.
    """
    yield from fields(Policies)


def switch_off(policies: Policies, name: str) -> Policies:
    """Switch one policy off.

    Parameters
    ----------
    policies : Policies
        All of them.
    name : str
        Field to switch off.

    Returns
    -------
    Policies
        The others unchanged.

    Raises
    ------
    KeyError
        If there is no such policy.
    """
    off_values = {one.name: one.metadata["off"] for one in policy_fields()}
    return replace(policies, **{name: off_values[name]})
