"""Write the settings reference from the checked data classes."""

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
#: A field's line in the source of its class, and in the docstring's attributes.
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


def _purposes(data_class: type) -> dict[str, str]:
    """Find what each field is for: its comment, or its entry in the docstring."""
    found: dict[str, str] = {}
    comment: list[str] = []
    attribute = ""
    for line in inspect.getsource(data_class).splitlines():
        if line.startswith("    #:"):
            comment.append(line.removeprefix("    #:").strip())
        elif match := _FIELD.match(line):
            if comment:
                found[match[1]] = " ".join(comment)
            comment, attribute = [], ""
        elif match := _ATTRIBUTE.match(line):
            attribute = match[1]
        elif attribute and line.startswith("        "):
            found[attribute] = f"{found.get(attribute, '')} {line.strip()}".strip()
    return found


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
        lines += ["| Field | Type | Default | Allowed | What it is for |"]
        lines += ["| --- | --- | --- | --- | --- |"]
        purposes = _purposes(data_class)
        hints = get_type_hints(data_class)
        for field in dataclasses.fields(data_class):
            kind = _type_name(hints[field.name]).replace("|", "or")
            purpose = purposes.get(field.name, "").replace("|", "or")
            cells = [f"`{field.name}`", kind, _default(field), _rule(field), purpose]
            lines.append(f"| {' | '.join(cells)} |")
        lines.append("")
    return "\n".join(lines)


if __name__ == "__main__":
    sys.stdout.write(make_page())
