"""Converts JSON into frozen data classes and reports the first faults.

The cost of a text is bounded by its size: what is sound is converted by cattrs, which
stops at its first error, and only the parts that it refuses are walked through, up to
`MAX_FAULTS` faults.
"""

import dataclasses
import functools
import json
from collections.abc import Callable, Iterator, Mapping
from itertools import chain, islice
from types import NoneType
from typing import Any, get_args, get_origin, get_type_hints

import cattrs
import json5

from agatethread.exceptions import FieldError
from agatethread.settings._addresses import parse_address

#: Faults that are reported at most; the rest of the text is not checked then.
MAX_FAULTS = 10
_UNITS = {
    "_s": "seconds",
    "_ms": "milliseconds",
    "_bytes": "bytes",
    "_ratio": "a share of 1",
    "_count": "a count",
}


class _WrongValueError(Exception):
    """A raw value does not have the expected type."""

    def __init__(self, expected: str):
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
            raise _WrongValueError(name)
        if expected_type is float and isinstance(value, int):
            return _to_float(value)
        if not isinstance(value, expected_type):
            raise _WrongValueError(name)
        if expected_type is str and not _is_utf8(value):
            raise _WrongValueError("a string without lone surrogates")
        return value

    return structure


def _is_utf8(text: str) -> bool:
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _to_float(value: int) -> float:
    try:
        return float(value)
    except OverflowError:
        raise _WrongValueError("a number that fits 64 bits") from None


def _make_converter(forbid_extra_keys: bool) -> cattrs.Converter:
    converter = cattrs.Converter(
        forbid_extra_keys=forbid_extra_keys, detailed_validation=False
    )
    for kind, name in (
        (int, "an integer"),
        (float, "a number"),
        (str, "a string"),
        (bool, "true or false"),
    ):
        converter.register_structure_hook(kind, _strict_hook(kind, name))

    # cattrs itself accepts any iterable, such as a string or an object's keys.
    def structure_list(value: Any, hint: Any) -> tuple:
        if not isinstance(value, list):
            raise _WrongValueError("a list")
        item_hint = get_args(hint)[0]
        structure = converter.get_structure_hook(item_hint)
        return tuple(structure(item, item_hint) for item in value)

    converter.register_structure_hook_func(_is_list_hint, structure_list)
    return converter


def _is_list_hint(hint: Any) -> bool:
    return get_origin(hint) is tuple


_CONVERTER = _make_converter(forbid_extra_keys=True)
_LENIENT_CONVERTER = _make_converter(forbid_extra_keys=False)


def _expected_with_unit(field: str, expected: str) -> str:
    unit = unit_of(field.rpartition(".")[2])
    return f"{expected} ({unit})" if unit else expected


@dataclasses.dataclass(frozen=True, slots=True)
class _FieldRule:
    name: str
    hint: Any
    #: Data class of the field's value; None for any other value.
    nested: type | None
    is_required: bool
    constraints: Mapping[str, Any]


def _nested_class(hint: Any) -> type | None:
    candidates = (hint, *get_args(hint))
    return next((kind for kind in candidates if dataclasses.is_dataclass(kind)), None)


def _is_required(field: dataclasses.Field) -> bool:
    defaults = (field.default, field.default_factory)
    return all(default is dataclasses.MISSING for default in defaults)


@functools.cache
def _rules_of(data_class: type) -> tuple[_FieldRule, ...]:
    # Cached, because resolving the type hints is slow.
    hints = get_type_hints(data_class)
    return tuple(
        _FieldRule(
            field.name,
            hints[field.name],
            _nested_class(hints[field.name]),
            _is_required(field),
            field.metadata,
        )
        for field in dataclasses.fields(data_class)
    )


class _TypeCheck:
    """Finds the values of a text that don't have the expected types.

    Parameters
    ----------
    source : str
        Name of the text in errors.
    converter : cattrs.Converter
        Converts values; raises an error for the first wrong one.
    forbids_unknown : bool
        Whether unknown fields are faults.
    """

    def __init__(self, source: str, converter: cattrs.Converter, forbids_unknown: bool):
        self._source = source
        self._converter = converter
        self._forbids_unknown = forbids_unknown

    def find_faults(self, path: str, raw: Any, hint: Any) -> Iterator[FieldError]:
        """Yield the faults of a value, one by one as they are asked for."""
        error = self._first_error(raw, hint)
        if error is None:
            return
        options = [each for each in get_args(hint) if each is not NoneType]
        if dataclasses.is_dataclass(hint):
            yield from self._find_in_object(path, raw, hint)
        elif _is_list_hint(hint) and isinstance(raw, list):
            for index, item in enumerate(raw):
                yield from self.find_faults(f"{path}[{index}]", item, options[0])
        elif get_origin(hint) is dict and isinstance(raw, dict):
            for key, value in raw.items():
                yield from self.find_faults(f"{path}[{key!r}]", value, options[1])
        elif NoneType in get_args(hint) and len(options) == 1:
            yield from self.find_faults(path, raw, options[0])
        else:
            expected = getattr(error, "expected", "another type")
            yield self._make_fault(path, raw, _expected_with_unit(path, expected))

    def _first_error(self, raw: Any, hint: Any) -> Exception | None:
        try:
            self._converter.structure(raw, hint)
        except Exception as error:
            return error
        return None

    def _find_in_object(
        self, path: str, raw: Any, data_class: type
    ) -> Iterator[FieldError]:
        if not isinstance(raw, dict):
            yield self._make_fault(path, raw, "an object")
            return
        rules = _rules_of(data_class)
        for rule in rules:
            name = _join(path, rule.name)
            if rule.name in raw:
                yield from self.find_faults(name, raw[rule.name], rule.hint)
            elif rule.is_required:
                yield self._make_fault(name, None, "a value; the field is required")
        if not self._forbids_unknown:
            return
        for key in sorted(raw.keys() - {rule.name for rule in rules}):
            yield self._make_fault(_join(path, key), raw[key], "no such field")

    def _make_fault(self, path: str, raw: Any, expected: str) -> FieldError:
        return FieldError(self._source, path, raw, expected)


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _check_ranges(
    source: str, path: str, data_class: type, raw: dict[str, Any]
) -> Iterator[FieldError]:
    for rule in _rules_of(data_class):
        if rule.name not in raw:
            continue
        value = raw[rule.name]
        name = _join(path, rule.name)
        if rule.nested is None:
            if rule.constraints:
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
        `error_group`, with a `FieldError` for each of the first `MAX_FAULTS` faults.
    """
    try:
        raw = _load(text, is_plain_json)
    except (ValueError, RecursionError) as error:
        fault = FieldError(source, "(whole text)", str(error), "JSON with comments")
        raise error_group(f"{source} can't be read", [fault]) from None
    if not isinstance(raw, dict):
        fault = FieldError(source, "(whole text)", type(raw).__name__, "an object")
        raise error_group(f"{source} can't be read", [fault])
    return convert_to_data_class(
        source, "", raw, data_class, error_group, ignore_unknown
    )


def convert_to_data_class(
    source: str,
    path: str,
    raw: Any,
    data_class: type,
    error_group: type[ExceptionGroup],
    ignore_unknown: bool = False,
) -> Any:
    """Convert and check a value of parsed JSON into a frozen data class.

    Parameters
    ----------
    source : str
        Name of the text in errors.
    path : str
        Path of the value in the text; empty for the whole text.
    raw : object
        The value.
    data_class : type
        As for `parse_data_class`.
    error_group : type
        Exception group to raise with the faults.
    ignore_unknown : bool, default=False
        Whether unknown fields are ignored.

    Returns
    -------
    object
        An instance of `data_class`.

    Raises
    ------
    ExceptionGroup
        `error_group`, with a `FieldError` for each of the first `MAX_FAULTS` faults.
    """
    converter = _LENIENT_CONVERTER if ignore_unknown else _CONVERTER
    faults: Iterator[FieldError] = iter(())
    if isinstance(raw, dict):
        faults = _check_ranges(source, path, data_class, raw)
    try:
        data = converter.structure(raw, data_class)
    except Exception:  # cattrs documents no common base class
        type_check = _TypeCheck(source, converter, not ignore_unknown)
        faults = chain(faults, type_check.find_faults(path, raw, data_class))
    first_faults = list(islice(faults, MAX_FAULTS))
    if first_faults:
        raise error_group(f"{source} has faults", first_faults)
    return data
