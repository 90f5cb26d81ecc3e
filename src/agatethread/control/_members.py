"""Members of the log, as the log itself keeps them."""

from collections.abc import Iterable, Mapping

from agatethread.wire.control_pb2 import ControlMember, Members


def voter_names(members: Members) -> list[str]:
    """List the members whose votes and copies count.

    Parameters
    ----------
    members : Members
        The members.

    Returns
    -------
    list of str
        Names, in order.
    """
    return [member.name for member in members.members if member.voter]


def find_member(members: Members, name: str) -> ControlMember | None:
    """Find a member by its name.

    Parameters
    ----------
    members : Members
        The members.
    name : str
        Its name.

    Returns
    -------
    ControlMember or None
        None if there is no such member.
    """
    return next((one for one in members.members if one.name == name), None)


def majority_of(members: Members) -> int:
    """Count the voters that decide.

    Parameters
    ----------
    members : Members
        The members.

    Returns
    -------
    int
        More than half of the voters.
    """
    return len(voter_names(members)) // 2 + 1


def has_majority(members: Members, names: Iterable[str]) -> bool:
    """Tell whether some members decide together.

    Parameters
    ----------
    members : Members
        The members.
    names : iterable of str
        Those that agree.

    Returns
    -------
    bool
        Whether more than half of the voters are among them.
    """
    agreeing = set(names).intersection(voter_names(members))
    return len(agreeing) >= majority_of(members)


def replicated_index(members: Members, held: Mapping[str, int]) -> int:
    """Find the last entry that more than half of the voters hold.

    Parameters
    ----------
    members : Members
        The members.
    held : mapping of str to int
        The last entry that each member is known to hold.

    Returns
    -------
    int
        Its index; 0 without voters.
    """
    indexes = sorted((held.get(name, 0) for name in voter_names(members)), reverse=True)
    return indexes[majority_of(members) - 1] if indexes else 0
