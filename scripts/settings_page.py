"""Generates the settings reference from the settings data classes."""

import dataclasses
import inspect
import re
import sys
from typing import get_type_hints

from agatethread.settings import (
    ControlSettings,
    EntrySettings,
    LoggingSettings,
    Parts,
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
    "parts": Parts,
}
#: A field in the source of its class, and in the attributes of the docstring.
_FIELD = re.compile(r"    (\w+): ")
_ATTRIBUTE = re.compile(r"    (\w+) : ")
_NOTES = {
    "policies": [
        "In a file of their own, on the users' platform only: `AGATETHREAD_POLICIES`",
        "names it, and it is read at the start. `agatethreadctl policies` prints them.",
        "",
    ],
    "parts": [
        "On the users' platform only, with no file of their own: each is on where the",
        "platform's settings file names what calls for it.",
        "",
    ],
}


def _format_default(field: dataclasses.Field) -> str:
    if field.default is not dataclasses.MISSING:
        return f"`{field.default!r}`"
    if field.default_factory is not dataclasses.MISSING:
        return f"`{field.default_factory()!r}`" if field.name != "logging" else ""
    return "required"


def _format_limits(field: dataclasses.Field) -> str:
    metadata = field.metadata
    off_text = f"off: {metadata['off']}" if "off" in metadata else ""
    if "minimum" in metadata:
        unit = unit_of(field.name)
        allowed = f"{metadata['minimum']} to {metadata['maximum']} {unit}".strip()
        return f"{allowed}; {off_text}" if off_text else allowed
    if "choices" in metadata:
        return ", ".join(metadata["choices"])
    return "`IPv4:port`" if metadata.get("address") else unit_of(field.name) or off_text


def _type_name(hint: object) -> str:
    return getattr(hint, "__name__", str(hint)).replace(
        "agatethread.settings._model.", ""
    )


def _purposes(data_class: type) -> dict[str, str]:
    """Return the purpose of each field, from its comment or the docstring."""
    purposes: dict[str, str] = {}
    comment: list[str] = []
    attribute = ""
    for line in inspect.getsource(data_class).splitlines():
        if line.startswith("    #:"):
            comment.append(line.removeprefix("    #:").strip())
        elif match := _FIELD.match(line):
            if comment:
                purposes[match[1]] = " ".join(comment)
            comment, attribute = [], ""
        elif match := _ATTRIBUTE.match(line):
            attribute = match[1]
        elif attribute and line.startswith("        "):
            purposes[attribute] = (
                f"{purposes.get(attribute, '')} {line.strip()}".strip()
            )
    return purposes


def make_page() -> str:
    """Return the settings reference.

    Returns
    -------
    str
        The page in Markdown.
    """
    lines = ["# Settings", "", "Made by `scripts/settings_page.py`.", ""]
    for part, data_class in _PARTS.items():
        lines += [f"## {part or 'the process'}", ""]
        lines += _NOTES.get(part, [])
        lines += ["| Field | Type | Default | Allowed | What it is for |"]
        lines += ["| --- | --- | --- | --- | --- |"]
        purposes = _purposes(data_class)
        hints = get_type_hints(data_class)
        for field in dataclasses.fields(data_class):
            type_name = _type_name(hints[field.name]).replace("|", "or")
            purpose = purposes.get(field.name, "").replace("|", "or")
            cells = [
                f"`{field.name}`",
                type_name,
                _format_default(field),
                _format_limits(field),
                purpose,
            ]
            lines.append(f"| {' | '.join(cells)} |")
        lines.append("")
    return "\n".join(lines)


if __name__ == "__main__":
    sys.stdout.write(make_page())
