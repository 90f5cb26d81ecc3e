"""Registry of backend servers: stores their reports, sends them to entry instances."""

from agatethread.registry._admission import is_assumed_end_outdated
from agatethread.registry._control_link import ControlLink
from agatethread.registry._dispatchers import DispatcherDirectory, merge_dispatchers
from agatethread.registry._evacuations import EvacuationPublisher, EvacuationReceiver
from agatethread.registry._hints import Hints, KnownEntry, load_hints, save_hints
from agatethread.registry._labels import derive_label
from agatethread.registry._presence import UNKNOWN_RANK, DomainView, EntryRank
from agatethread.registry._publisher import CompressedTable, RegistryPublisher
from agatethread.registry._quality import QualityMonitor
from agatethread.registry._report import START_UNKNOWN, Report
from agatethread.registry._runs import RunTable
from agatethread.registry._selection import (
    are_other_domains_unreachable,
    choose_followed,
    is_cut_off,
    most_complete_rank,
)
from agatethread.registry._sightings import SightingPool
from agatethread.registry._subscription import Subscription
from agatethread.registry._transport import RegistryTransport, decode_message

__all__ = [
    "START_UNKNOWN",
    "UNKNOWN_RANK",
    "CompressedTable",
    "ControlLink",
    "DispatcherDirectory",
    "DomainView",
    "EntryRank",
    "EvacuationPublisher",
    "EvacuationReceiver",
    "Hints",
    "KnownEntry",
    "QualityMonitor",
    "RegistryPublisher",
    "RegistryTransport",
    "Report",
    "RunTable",
    "SightingPool",
    "Subscription",
    "are_other_domains_unreachable",
    "choose_followed",
    "decode_message",
    "derive_label",
    "is_assumed_end_outdated",
    "is_cut_off",
    "load_hints",
    "merge_dispatchers",
    "most_complete_rank",
    "save_hints",
]
