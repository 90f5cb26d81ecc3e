"""Decisions under load: who waits, who is refused, and where work goes.

Plain functions and small states that run without a network. Both data paths use them.
"""

from agatethread.balancing._records import GroupLoad, Opening

__all__ = [
    "GroupLoad",
    "Opening",
]
