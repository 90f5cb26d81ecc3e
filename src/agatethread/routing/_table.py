"""Routing documents, and the routing table by address and port."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from itertools import islice
from math import inf

from agatethread.exceptions import (
    DocumentError,
    FieldError,
    RouteConflictError,
    UnknownServiceError,
)
from agatethread.wire.registry_pb2 import (
    ColdRate,
    RouteTarget,
    RoutingTable,
    TableRoute,
)

#: Urgency of routes whose document sets none: less urgent than any that can be set.
URGENCY_NOT_SET = 1_000
#: Faults of a document that are reported at most.
_MAX_FAULTS = 10
#: Longest timeout that fits into a 32-bit field; longer ones are reduced to it.
_MAX_TIMEOUT_MS = (1 << 32) - 1
#: Largest urgency number, so the least urgent, that a document may set; 0 is the most
#: urgent. The platform's parser reduces larger numbers to it.
LOWEST_URGENCY = URGENCY_NOT_SET - 1


@dataclass(frozen=True, slots=True)
class Target:
    """A service and its share of a route's new flows."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class RouteRule:
    """One route of a routing document.

    Attributes
    ----------
    name : str
        Name in error messages.
    host : int
        IPv4 address that callers send to, as a number.
    port : int
        Port that callers send to.
    targets : tuple of Target
        Services that receive new flows.
    timeout_ms : int
        Longest time that a request may take.
    idempotent : bool
        Whether callers may retry a request also if it may have run.
    urgency : int, optional
        0 is the most urgent; less urgent openings wait for more urgent ones.
    aim_ms : int, optional
        Time within which callers want an answer; 0 if not set.
    """

    name: str
    host: int
    port: int
    targets: tuple[Target, ...]
    timeout_ms: int
    idempotent: bool = False
    urgency: int = URGENCY_NOT_SET
    aim_ms: int = 0


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """Rate limit of new work for a service's cold backend servers.

    A backend server is cold while it warms up after its start.
    """

    service: str
    rate_per_s: float


@dataclass(frozen=True, slots=True)
class RoutingDocument:
    """All routes and services of one version.

    Attributes
    ----------
    version : int
        The highest version is in force.
    services : tuple of str
        Names of the services.
    rules : tuple of RouteRule
        The routes.
    cold_limits : tuple of ColdLimit, optional
        Rate limits of cold backend servers, for services that have one.
    """

    version: int
    services: tuple[str, ...]
    rules: tuple[RouteRule, ...]
    cold_limits: tuple[ColdLimit, ...] = ()


def check_document(document: RoutingDocument) -> None:
    """Check that a document is valid.

    Parameters
    ----------
    document : RoutingDocument
        The document.

    Raises
    ------
    DocumentError
        If it is invalid; contains an error for each of the first faults.
    """
    faults = list(islice(_find_faults(document), _MAX_FAULTS))
    if faults:
        raise DocumentError(f"version {document.version} has faults", faults)


def _find_faults(document: RoutingDocument) -> Iterator[FieldError]:
    source = f"version {document.version}"
    services = set(document.services)
    if len(services) != len(document.services):
        yield FieldError(source, "services", document.services, "distinct names")
    route_by_address: dict[tuple[int, int], str] = {}
    for rule in document.rules:
        path = f"routes[{rule.name}]"
        conflicting_route = route_by_address.get((rule.host, rule.port))
        if conflicting_route is not None:
            yield RouteConflictError(
                source, path, conflicting_route, "an address of its own"
            )
        route_by_address[rule.host, rule.port] = rule.name
        if rule.timeout_ms <= 0:
            expected = "more than 0 (milliseconds)"
            yield FieldError(source, f"{path}.timeout_ms", rule.timeout_ms, expected)
        if sum(target.weight for target in rule.targets) <= 0:
            yield FieldError(source, f"{path}.targets", rule.targets, "some weight")
        for target in rule.targets:
            if target.service not in services:
                expected = "a service of this document"
                yield UnknownServiceError(source, path, target.service, expected)


def encode_table(document: RoutingDocument) -> RoutingTable:
    """Return the routing table message of a document for entry instances.

    Parameters
    ----------
    document : RoutingDocument
        A valid document.

    Returns
    -------
    RoutingTable
        The message.
    """
    service_index = {service: index for index, service in enumerate(document.services)}
    table = RoutingTable(version=document.version, services=document.services)
    for limit in document.cold_limits:
        table.cold_rates.append(
            ColdRate(service=service_index[limit.service], rate_per_s=limit.rate_per_s)
        )
    for rule in document.rules:
        targets = [
            RouteTarget(service=service_index[target.service], weight=target.weight)
            for target in rule.targets
        ]
        route = TableRoute(
            host=rule.host,
            port=rule.port,
            targets=targets,
            idempotent=rule.idempotent,
            aim_ms=rule.aim_ms,
            timeout_ms=min(rule.timeout_ms, _MAX_TIMEOUT_MS),
        )
        if rule.urgency != URGENCY_NOT_SET:
            route.urgency = rule.urgency
        table.routes.append(route)
    return table


def add_earlier_services(table: RoutingTable, previous: RoutingTable) -> None:
    """Add to a table's routes the services that they had in earlier versions.

    Entry instances that start later need them to forward open flows.

    Parameters
    ----------
    table : RoutingTable
        The new table, which is modified.
    previous : RoutingTable
        The table that it replaces.
    """
    service_index = {service: index for index, service in enumerate(table.services)}
    previous_routes = {(route.host, route.port): route for route in previous.routes}
    same_services = table.services == previous.services
    for route in table.routes:
        previous_route = previous_routes.get((route.host, route.port))
        if previous_route is None:
            continue
        if (
            same_services
            and not previous_route.earlier
            and previous_route.targets == route.targets
        ):
            # Skips most routes of a large table. A starting control instance applies up
            # to `snapshot_entry_count` tables before it can serve one.
            continue
        listed = {target.service for target in route.targets}
        earlier_services = [target.service for target in previous_route.targets] + list(
            previous_route.earlier
        )
        for service in dict.fromkeys(earlier_services):
            name = previous.services[service]
            if name not in service_index:
                service_index[name] = len(table.services)
                table.services.append(name)
            if service_index[name] not in listed:
                listed.add(service_index[name])
                route.earlier.append(service_index[name])


@dataclass(frozen=True, slots=True)
class Route:
    """Route as used by an entry instance."""

    targets: tuple[Target, ...]
    #: Services that its open flows may belong to.
    services: frozenset[str]
    #: Whether callers may retry a request also if it may have run.
    idempotent: bool = False
    #: 0 is the most urgent.
    urgency: int = URGENCY_NOT_SET
    #: Time within which callers want an answer; infinity if not set or in a table of an
    #: earlier format.
    aim_s: float = inf
    #: Time after which callers discard an answer; infinity in a table of an earlier
    #: format.
    timeout_s: float = inf


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Lookup table of routes by address and port, decoded from a `RoutingTable`."""

    version: int
    routes: Mapping[tuple[int, int], Route]
    #: Rate limit of a cold backend server, for services that have one.
    cold_rates_per_s: Mapping[str, float] = field(default_factory=dict)


#: Initial table, before one is received.
NO_ROUTES = RouteTable(0, {})


def decode_table(table: RoutingTable) -> RouteTable:
    """Return the route table of a message from a control instance.

    Parameters
    ----------
    table : RoutingTable
        The message.

    Returns
    -------
    RouteTable
        Routes by address and port.
    """
    routes = {}
    for route in table.routes:
        targets = tuple(
            Target(table.services[target.service], target.weight)
            for target in route.targets
        )
        services = {target.service for target in targets}
        services.update(table.services[number] for number in route.earlier)
        routes[route.host, route.port] = Route(
            targets=targets,
            services=frozenset(services),
            idempotent=route.idempotent,
            urgency=route.urgency if route.HasField("urgency") else URGENCY_NOT_SET,
            aim_s=route.aim_ms / 1000 or inf,
            timeout_s=route.timeout_ms / 1000 or inf,
        )
    cold_rates_per_s = {
        table.services[cold.service]: cold.rate_per_s for cold in table.cold_rates
    }
    return RouteTable(table.version, routes, cold_rates_per_s)
