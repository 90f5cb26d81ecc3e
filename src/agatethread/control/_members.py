"""Queries on the members of the log."""

from collections.abc import Iterable, Mapping

from agatethread.wire.control_pb2 import ControlMember, Members


def voter_names(members: Members) -> list[str]:
    """Return the names of the voters.

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
    """Return a member by its name.

    Parameters
    ----------
    members : Members
        The members.
    name : str
        Name of the member.

    Returns
    -------
    ControlMember or None
        None if there is no member with that name.
    """
    return next((member for member in members.members if member.name == name), None)


def majority_count(members: Members) -> int:
    """Return the number of voters that is a majority.

    Parameters
    ----------
    members : Members
        The members.

    Returns
    -------
    int
        The smallest number that is more than half of the voters.
    """
    return len(voter_names(members)) // 2 + 1


def has_majority(members: Members, names: Iterable[str]) -> bool:
    """Return whether some names include a majority of the voters.

    Parameters
    ----------
    members : Members
        The members.
    names : iterable of str
        Names to check.

    Returns
    -------
    bool
        Whether more than half of the voters are among them.
    """
    matching = set(names).intersection(voter_names(members))
    return len(matching) >= majority_count(members)


def replicated_index(members: Members, match_indexes: Mapping[str, int]) -> int:
    """Return the last index that is replicated to a majority of the voters.

    Parameters
    ----------
    members : Members
        The members.
    match_indexes : mapping of str to int
        Index of the last entry that each member is known to hold.

    Returns
    -------
    int
        The index; 0 without voters.
    """
    indexes = sorted(
        (match_indexes.get(name, 0) for name in voter_names(members)), reverse=True
    )
    return indexes[majority_count(members) - 1] if indexes else 0
