"""What instances decide by: read from a running instance, or from a file."""

import asyncio
import json
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException

from agatethread.exceptions import FieldError, SettingsError, UnavailableError
from agatethread.settings import (
    DEFAULT_POLICIES,
    Policies,
    load_policies,
    parse_address,
    parse_policies,
    policy_fields,
)

#: An instance answers from memory; longer than this it does not run.
_ANSWER_LIMIT_S = 5.0


@dataclass(frozen=True, slots=True)
class PolicyRow:
    """One policy as an operator reads it."""

    name: str
    value: object
    #: Whether it is the default, off, or set to something else.
    state: str


async def read_policies(address: str, path: str) -> Policies:
    """Read the policies in force at an instance, or those of a file.

    Parameters
    ----------
    address : str
        ``IP:port`` of an instance's metrics; empty to read the file.
    path : str
        File of policies; empty for the defaults.

    Returns
    -------
    Policies
        The policies.

    Raises
    ------
    SettingsError
        If the file or the address has faults.
    UnavailableError
        If the instance does not answer, or tells no policies.
    """
    if address:
        return await asyncio.to_thread(_ask, address)
    return load_policies(path) if path else DEFAULT_POLICIES


def _ask(address: str) -> Policies:
    try:
        host, port = parse_address(address)
    except ValueError:
        fault = FieldError("command line", "--at", address, "an address as IPv4:port")
        raise SettingsError("command line has faults", [fault]) from None
    connection = HTTPConnection(host, port, timeout=_ANSWER_LIMIT_S)
    try:
        connection.request("GET", "/dump")
        told = json.loads(connection.getresponse().read()).get("policies")
    except (OSError, HTTPException, ValueError) as error:
        raise UnavailableError(f"{address} gives no state: {error}") from None
    finally:
        connection.close()
    if told is None:
        raise UnavailableError(f"{address} tells no policies")
    return parse_policies(address, json.dumps(told))


def describe_policies(policies: Policies) -> list[PolicyRow]:
    """List policies for an operator.

    Parameters
    ----------
    policies : Policies
        What to list.

    Returns
    -------
    list of PolicyRow
        In the order of the settings reference.
    """
    return [
        PolicyRow(one.name, getattr(policies, one.name), _state(policies, one.name))
        for one in policy_fields()
    ]


def _state(policies: Policies, name: str) -> str:
    value = getattr(policies, name)
    default = getattr(DEFAULT_POLICIES, name)
    if value == default:
        return "default"
    off = next(one.metadata["off"] for one in policy_fields() if one.name == name)
    if value == off:
        return f"off; default {default!r}"
    return f"default {default!r}"
