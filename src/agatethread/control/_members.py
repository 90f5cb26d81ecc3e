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


def voter_sets(members: Members) -> list[list[str]]:
    """Return the sets of voters, each of which needs a majority.

    Parameters
    ----------
    members : Members
        The members.

    Returns
    -------
    list of list of str
        The names of each set: one set, or while a voter is replaced the old and the
        new one.
    """
    voters = [member for member in members.members if member.voter]
    old_names = [voter.name for voter in voters if not voter.incoming]
    new_names = [voter.name for voter in voters if not voter.outgoing]
    return [old_names] if old_names == new_names else [old_names, new_names]


def is_replacing(members: Members) -> bool:
    """Return whether a voter is being replaced.

    Parameters
    ----------
    members : Members
        The members.

    Returns
    -------
    bool
        Whether there are two sets of voters.
    """
    return any(member.incoming or member.outgoing for member in members.members)


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
        Whether more than half of each set of voters are among them.
    """
    matching = set(names)
    return all(
        2 * len(matching.intersection(voters)) > len(voters)
        for voters in voter_sets(members)
    )


def replicated_index(members: Members, match_indexes: Mapping[str, int]) -> int:
    """Return the last index that is replicated to a majority of each set of voters.

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
    return min(
        _replicated_index_in(voters, match_indexes) for voters in voter_sets(members)
    )


def _replicated_index_in(voters: list[str], match_indexes: Mapping[str, int]) -> int:
    indexes = sorted((match_indexes.get(name, 0) for name in voters), reverse=True)
    return indexes[len(indexes) // 2] if indexes else 0
