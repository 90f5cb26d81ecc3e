"""Checked settings and service documents, read from JSON with comments."""

from agatethread.settings._addresses import format_address, parse_address
from agatethread.settings._checking import structure_checked
from agatethread.settings._document import ServiceDocument, parse_document
from agatethread.settings._loading import load_settings, parse_settings
from agatethread.settings._model import (
    ControlSettings,
    EntrySettings,
    LoggingSettings,
    Settings,
    TlsSettings,
)

__all__ = [
    "ControlSettings",
    "EntrySettings",
    "LoggingSettings",
    "ServiceDocument",
    "Settings",
    "TlsSettings",
    "format_address",
    "load_settings",
    "parse_address",
    "parse_document",
    "parse_settings",
    "structure_checked",
]
