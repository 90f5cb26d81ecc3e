"""Write the settings reference from the checked data classes."""

import dataclasses
import sys
from typing import get_type_hints

from agatethread.settings import (
    ControlSettings,
    EntrySettings,
    LoggingSettings,
    Policies,
    Settings,
    TlsSettings,
)
from agatethread.settings._checking import unit_of

_PARTS = {
    "": Settings,
    "entry": EntrySettings,
    "control": ControlSettings,
    "tls": TlsSettings,
    "logging": LoggingSettings,
    "policies": Policies,
}
_NOTES = {
    "policies": [
        "In a file of their own, on the users' platform only: `AGATETHREAD_POLICIES`",
        "names it, and it is read at the start. `agatethreadctl policies` prints them;",
        "what each guards against stands in `settings/_policies.py`.",
        "",
    ],
}


def _default(field: dataclasses.Field) -> str:
    if field.default is not dataclasses.MISSING:
        return f"`{field.default!r}`"
    if field.default_factory is not dataclasses.MISSING:
        return f"`{field.default_factory()!r}`" if field.name != "logging" else ""
    return "required"


def _rule(field: dataclasses.Field) -> str:
    rules = field.metadata
    off = f"off: {rules['off']}" if "off" in rules else ""
    if "minimum" in rules:
        unit = unit_of(field.name)
        allowed = f"{rules['minimum']} to {rules['maximum']} {unit}".strip()
        return f"{allowed}; {off}" if off else allowed
    if "choices" in rules:
        return ", ".join(rules["choices"])
    return "`IPv4:port`" if rules.get("address") else unit_of(field.name) or off


def _type_name(hint: object) -> str:
    return getattr(hint, "__name__", str(hint)).replace(
        "agatethread.settings._model.", ""
    )


def make_page() -> str:
    """Make the page.

    Returns
    -------
    str
        Markdown.
    """
    lines = ["# Settings", "", "Made by `scripts/settings_page.py`.", ""]
    for part, data_class in _PARTS.items():
        lines += [f"## {part or 'the process'}", ""]
        lines += _NOTES.get(part, [])
        lines += ["| Field | Type | Default | Allowed |", "| --- | --- | --- | --- |"]
        hints = get_type_hints(data_class)
        for field in dataclasses.fields(data_class):
            kind = _type_name(hints[field.name]).replace("|", "or")
            row = f"| `{field.name}` | {kind} | {_default(field)} | {_rule(field)} |"
            lines.append(row)
        lines.append("")
    return "\n".join(lines)


if __name__ == "__main__":
    sys.stdout.write(make_page())
