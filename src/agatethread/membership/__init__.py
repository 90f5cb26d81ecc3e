"""Membership of entry instances without consensus (SWIM, Das et al., DSN 2002)."""

from agatethread.membership._members import Member, MemberTable
from agatethread.membership._prober import Prober

__all__ = ["Member", "MemberTable", "Prober"]
