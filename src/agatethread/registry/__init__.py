"""Registry of backend servers: stores their reports, sends them to entry instances."""

from agatethread.registry._dispatchers import DispatcherDirectory, merge_dispatchers
from agatethread.registry._evacuations import EvacuationPublisher, KnownEvacuations
from agatethread.registry._following import (
    are_silent,
    choose_followed,
    is_cut_off,
    widest_rank,
)
from agatethread.registry._hub import RegistryHub, RoutesOffer
from agatethread.registry._labels import label_of
from agatethread.registry._link import HubLink
from agatethread.registry._memory import Hints, KnownEntry, load_hints, save_hints
from agatethread.registry._presence import NO_RANK, DomainView, EntryRank
from agatethread.registry._quality import QualityKeeper
from agatethread.registry._report import START_NOT_TOLD, Report
from agatethread.registry._runs import RunTable
from agatethread.registry._sightings import SightingPool
from agatethread.registry._subscription import Subscription
from agatethread.registry._transport import RegistryTransport, decode_message

__all__ = [
    "NO_RANK",
    "START_NOT_TOLD",
    "DispatcherDirectory",
    "DomainView",
    "EvacuationPublisher",
    "Hints",
    "HubLink",
    "KnownEntry",
    "KnownEvacuations",
    "EntryRank",
    "QualityKeeper",
    "RegistryHub",
    "RegistryTransport",
    "Report",
    "RoutesOffer",
    "RunTable",
    "SightingPool",
    "Subscription",
    "are_silent",
    "choose_followed",
    "decode_message",
    "is_cut_off",
    "label_of",
    "load_hints",
    "merge_dispatchers",
    "save_hints",
    "widest_rank",
]
