"""Converts JSON into frozen data classes and reports every fault."""

import dataclasses
import functools
import json
from collections.abc import Callable, Iterator, Mapping
from typing import Any, get_args, get_type_hints

import cattrs
import json5
from cattrs.errors import (
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
)

from agatethread.exceptions import FieldError
from agatethread.settings._addresses import parse_address

_UNITS = {
    "_s": "seconds",
    "_ms": "milliseconds",
    "_bytes": "bytes",
    "_ratio": "a share of 1",
    "_count": "a count",
}


class _WrongValueError(Exception):
    """A raw value does not have the expected type."""

    def __init__(self, value: object, expected: str):
        self.value = value
        self.expected = expected
        super().__init__(expected)


def unit_of(name: str) -> str:
    """Return the unit that a field name's suffix stands for.

    Parameters
    ----------
    name : str
        Name of the field.

    Returns
    -------
    str
        The unit, or an empty string for a field without one.
    """
    for suffix, unit in _UNITS.items():
        if name.endswith(suffix):
            return unit
    return ""


def _strict_hook(expected_type: type, name: str) -> Callable[[Any, Any], Any]:
    def structure(value: Any, _: Any) -> Any:
        is_bool = isinstance(value, bool)
        if is_bool != (expected_type is bool):
            raise _WrongValueError(value, name)
        if expected_type is float and isinstance(value, int):
            return float(value)
        if not isinstance(value, expected_type):
            raise _WrongValueError(value, name)
        return value

    return structure


def _make_converter(forbid_extra_keys: bool) -> cattrs.Converter:
    converter = cattrs.Converter(
        forbid_extra_keys=forbid_extra_keys, detailed_validation=True
    )
    for kind, name in (
        (int, "an integer"),
        (float, "a number"),
        (str, "a string"),
        (bool, "true or false"),
    ):
        converter.register_structure_hook(kind, _strict_hook(kind, name))
    return converter


_CONVERTER = _make_converter(forbid_extra_keys=True)
_LENIENT_CONVERTER = _make_converter(forbid_extra_keys=False)


def _expected_with_unit(field: str, expected: str) -> str:
    unit = unit_of(field.rpartition(".")[2])
    return f"{expected} ({unit})" if unit else expected


def _structuring_faults(
    source: str, path: str, error: BaseException, raw: Any
) -> Iterator[FieldError]:
    if isinstance(error, ClassValidationError):
        with_notes, without_notes = error.group_exceptions()
        for inner, note in with_notes:
            field = f"{path}.{note.name}" if path else note.name
            part = raw.get(note.name) if isinstance(raw, dict) else raw
            yield from _structuring_faults(source, field, inner, part)
        for inner in without_notes:
            yield from _structuring_faults(source, path, inner, raw)
        return
    if isinstance(error, IterableValidationError):
        with_notes, _ = error.group_exceptions()
        for inner, note in with_notes:
            part = raw[note.index] if isinstance(raw, list) else raw
            yield from _structuring_faults(source, f"{path}[{note.index}]", inner, part)
        return
    if isinstance(error, ForbiddenExtraKeysError):
        for key in sorted(error.extra_fields):
            field = f"{path}.{key}" if path else key
            value = raw.get(key) if isinstance(raw, dict) else raw
            yield FieldError(source, field, value, "no such field")
        return
    if isinstance(error, _WrongValueError):
        expected = _expected_with_unit(path, error.expected)
        yield FieldError(source, path, error.value, expected)
        return
    if isinstance(error, KeyError):
        field = f"{path}.{error.args[0]}" if path else str(error.args[0])
        yield FieldError(source, field, None, "a value; the field is required")
        return
    yield FieldError(source, path, raw, str(error) or "another type")


def _nested_class(hint: Any) -> type | None:
    candidates = (hint, *get_args(hint))
    return next((kind for kind in candidates if dataclasses.is_dataclass(kind)), None)


@dataclasses.dataclass(frozen=True, slots=True)
class _FieldRule:
    name: str
    #: Data class of the field's value; None for any other value.
    nested: type | None
    constraints: Mapping[str, Any]


@functools.cache
def _rules_of(data_class: type) -> tuple[_FieldRule, ...]:
    # Cached, because resolving the type hints is slow.
    hints = get_type_hints(data_class)
    return tuple(
        _FieldRule(field.name, _nested_class(hints[field.name]), field.metadata)
        for field in dataclasses.fields(data_class)
    )


def _check_ranges(
    source: str, path: str, data_class: type, raw: dict[str, Any]
) -> Iterator[FieldError]:
    for rule in _rules_of(data_class):
        if rule.name not in raw:
            continue
        value = raw[rule.name]
        name = f"{path}.{rule.name}" if path else rule.name
        if rule.nested is None:
            yield from _check_value(source, name, value, rule.constraints)
            continue
        rows = enumerate(value) if isinstance(value, list) else ((None, value),)
        for number, row in rows:
            if isinstance(row, dict):
                row_path = name if number is None else f"{name}[{number}]"
                yield from _check_ranges(source, row_path, rule.nested, row)


def _check_value(source: str, name: str, value: Any, constraints: Any) -> Iterator[Any]:
    low, high = constraints.get("minimum"), constraints.get("maximum")
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if low is not None and is_number and not low <= value <= high:
        expected = f"between {low} and {high}"
        yield FieldError(source, name, value, _expected_with_unit(name, expected))

    choices = constraints.get("choices")
    for item in value if isinstance(value, list) else (value,):
        if not isinstance(item, str):
            continue
        if choices and item not in choices:
            yield FieldError(source, name, item, f"one of {', '.join(choices)}")
        if constraints.get("address") and item:
            yield from _check_address(source, name, item)


def _check_address(source: str, name: str, text: str) -> Iterator[FieldError]:
    try:
        parse_address(text)
    except ValueError:
        yield FieldError(source, name, text, "an address as IPv4:port")


def _load(text: str, is_plain_json: bool) -> Any:
    # Tries the json module first, since json5 is far slower.
    try:
        return json.loads(text)
    except json.JSONDecodeError:
        if is_plain_json:
            raise
        return json5.loads(text)


def parse_data_class(
    source: str,
    text: str,
    data_class: type,
    error_group: type[ExceptionGroup],
    is_plain_json: bool = False,
    ignore_unknown: bool = False,
) -> Any:
    """Parse and check JSON with comments into a frozen data class.

    Parameters
    ----------
    source : str
        Name of the text in errors, usually the path of its file.
    text : str
        JSON5 text.
    data_class : type
        Frozen data class; its fields' metadata may hold ``minimum``, ``maximum``,
        ``choices`` and ``address``.
    error_group : type
        Exception group to raise with the faults.
    is_plain_json : bool, default=False
        Whether comments are faults.
    ignore_unknown : bool, default=False
        Whether unknown fields are ignored.

    Returns
    -------
    object
        An instance of `data_class`.

    Raises
    ------
    ExceptionGroup
        `error_group`, with a `FieldError` for each fault.
    """
    try:
        raw = _load(text, is_plain_json)
    except (ValueError, RecursionError) as error:
        fault = FieldError(source, "(whole text)", str(error), "JSON with comments")
        raise error_group(f"{source} can't be read", [fault]) from None
    if not isinstance(raw, dict):
        fault = FieldError(source, "(whole text)", type(raw).__name__, "an object")
        raise error_group(f"{source} can't be read", [fault])

    faults = list(_check_ranges(source, "", data_class, raw))
    try:
        converter = _LENIENT_CONVERTER if ignore_unknown else _CONVERTER
        data = converter.structure(raw, data_class)
    except ClassValidationError as error:
        faults += _structuring_faults(source, "", error, raw)
    if faults:
        raise error_group(f"{source} has faults", faults)
    return data
