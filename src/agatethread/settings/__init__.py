"""Settings, policies and service documents, read from JSON with comments."""

from importlib import import_module
from typing import TYPE_CHECKING, Any

from agatethread.settings._addresses import (
    format_address,
    listen_address,
    parse_address,
)
from agatethread.settings._model import (
    ControlSettings,
    EntrySettings,
    LoggingSettings,
    Settings,
    TlsSettings,
)
from agatethread.settings._parts import NO_PARTS, Parts
from agatethread.settings._policies import (
    DEFAULT_POLICIES,
    Policies,
    policy_fields,
    switch_off,
)

if TYPE_CHECKING:
    from agatethread.settings._checking import (
        MAX_FAULTS,
        convert_to_data_class,
        parse_data_class,
    )
    from agatethread.settings._document import ServiceDocument, parse_document
    from agatethread.settings._loading import (
        load_policies,
        load_settings,
        parse_policies,
        parse_settings,
    )

#: Names imported on first use, with their modules. These import cattrs and json5, which
#: are slow to import and which not every process needs.
_LAZY_MODULES = {
    "MAX_FAULTS": "_checking",
    "ServiceDocument": "_document",
    "convert_to_data_class": "_checking",
    "load_policies": "_loading",
    "load_settings": "_loading",
    "parse_document": "_document",
    "parse_policies": "_loading",
    "parse_settings": "_loading",
    "parse_data_class": "_checking",
}

__all__ = [
    "DEFAULT_POLICIES",
    "MAX_FAULTS",
    "NO_PARTS",
    "ControlSettings",
    "EntrySettings",
    "LoggingSettings",
    "Parts",
    "Policies",
    "ServiceDocument",
    "Settings",
    "TlsSettings",
    "convert_to_data_class",
    "format_address",
    "listen_address",
    "load_policies",
    "load_settings",
    "parse_address",
    "parse_data_class",
    "parse_document",
    "parse_policies",
    "parse_settings",
    "policy_fields",
    "switch_off",
]


def __getattr__(name: str) -> Any:
    """Import a name on first use."""
    if name not in _LAZY_MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = getattr(import_module(f"{__name__}.{_LAZY_MODULES[name]}"), name)
    globals()[name] = value
    return value
