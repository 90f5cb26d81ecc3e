"""Read policies from a running instance or a file, and list them."""

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

#: Generous, since an instance answers from memory.
_HTTP_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class PolicyRow:
    """One policy, as printed for an operator."""

    name: str
    value: object
    #: Describes whether the value is the default, the off value or another one.
    state: str


async def read_policies(address: str, path: str) -> Policies:
    """Return the policies in force at an instance, or those of a file.

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
        If the instance does not answer, or its state lacks policies.
    """
    if address:
        return await asyncio.to_thread(_query_policies, address)
    return load_policies(path) if path else DEFAULT_POLICIES


def _query_policies(address: str) -> Policies:
    try:
        host, port = parse_address(address)
    except ValueError:
        fault = FieldError("command line", "--at", address, "an address as IPv4:port")
        raise SettingsError("command line has faults", [fault]) from None
    connection = HTTPConnection(host, port, timeout=_HTTP_TIMEOUT_S)
    try:
        connection.request("GET", "/dump")
        policies_data = json.loads(connection.getresponse().read()).get("policies")
    except (OSError, HTTPException, ValueError) as error:
        raise UnavailableError(
            f"{address} returned no readable state: {error}"
        ) from None
    finally:
        connection.close()
    if policies_data is None:
        raise UnavailableError(f"{address} returned no policies")
    return parse_policies(address, json.dumps(policies_data))


def describe_policies(policies: Policies) -> list[PolicyRow]:
    """Return the policies as rows for an operator.

    Parameters
    ----------
    policies : Policies
        Policies to list.

    Returns
    -------
    list of PolicyRow
        Rows in the order of the settings reference.
    """
    return [
        PolicyRow(
            field.name, getattr(policies, field.name), _state(policies, field.name)
        )
        for field in policy_fields()
    ]


def _state(policies: Policies, name: str) -> str:
    value = getattr(policies, name)
    default = getattr(DEFAULT_POLICIES, name)
    if value == default:
        return "default"
    off_value = next(
        field.metadata["off"] for field in policy_fields() if field.name == name
    )
    if value == off_value:
        return f"off; default {default!r}"
    return f"default {default!r}"
