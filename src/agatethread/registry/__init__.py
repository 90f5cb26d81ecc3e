"""Registry of backend servers: stores their reports, sends them to entry instances."""

from agatethread.registry._control_link import ControlLink
from agatethread.registry._dispatchers import DispatcherDirectory, merge_dispatchers
from agatethread.registry._evacuations import EvacuationPublisher, KnownEvacuations
from agatethread.registry._labels import label_of
from agatethread.registry._memory import Hints, KnownEntry, load_hints, save_hints
from agatethread.registry._presence import UNKNOWN_RANK, DomainView, EntryRank
from agatethread.registry._publisher import RegistryPublisher, RoutesOffer
from agatethread.registry._quality import QualityKeeper
from agatethread.registry._report import START_NOT_TOLD, Report
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
    "UNKNOWN_RANK",
    "START_NOT_TOLD",
    "DispatcherDirectory",
    "DomainView",
    "EvacuationPublisher",
    "Hints",
    "ControlLink",
    "KnownEntry",
    "KnownEvacuations",
    "EntryRank",
    "QualityKeeper",
    "RegistryPublisher",
    "RegistryTransport",
    "Report",
    "RoutesOffer",
    "RunTable",
    "SightingPool",
    "Subscription",
    "are_other_domains_unreachable",
    "choose_followed",
    "decode_message",
    "is_cut_off",
    "label_of",
    "load_hints",
    "merge_dispatchers",
    "save_hints",
    "most_complete_rank",
]
