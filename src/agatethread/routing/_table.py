"""The routing table: which service takes the new flows of an address and port."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
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

#: Of a route whose document says nothing of it: less urgent than all that do.
URGENCY_NOT_TOLD = 1_000
#: What fits the 32 bits of a registry message.
_LONGEST_MS = (1 << 32) - 1
#: Highest number that a document may give; 0 is the most urgent.
LOWEST_URGENCY = URGENCY_NOT_TOLD - 1


@dataclass(frozen=True, slots=True)
class Target:
    """A service, and its share of a route's new flows."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class RouteRule:
    """One route of a routing document.

    Attributes
    ----------
    name : str
        For messages.
    host : int
        IPv4 address that callers send to, as a number.
    port : int
        Port that callers send to.
    targets : tuple of Target
        Where new flows go.
    timeout_ms : int
        Longest time that a request may take.
    idempotent : bool
        Whether callers may send its requests again, whatever became of them.
    urgency : int, optional
        0 is the most urgent; whoever is less urgent waits for the others.
    aim_ms : int, optional
        Within which callers want an answer; 0 if that is not said.
    """

    name: str
    host: int
    port: int
    targets: tuple[Target, ...]
    timeout_ms: int
    idempotent: bool = False
    urgency: int = URGENCY_NOT_TOLD
    aim_ms: int = 0


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """What a service's backend servers bear while they are cold."""

    service: str
    rate_per_s: float


@dataclass(frozen=True, slots=True)
class RoutingDocument:
    """All routes and services of one version.

    Attributes
    ----------
    version : int
        The highest is in force.
    services : tuple of str
        Their names.
    rules : tuple of RouteRule
        The routes.
    cold_limits : tuple of ColdLimit, optional
        Of the services that have one.
    """

    version: int
    services: tuple[str, ...]
    rules: tuple[RouteRule, ...]
    cold_limits: tuple[ColdLimit, ...] = ()


def check_document(document: RoutingDocument) -> None:
    """Check that a document can be put in force.

    Parameters
    ----------
    document : RoutingDocument
        The document.

    Raises
    ------
    DocumentError
        With an error for each fault.
    """
    faults = list(_find_faults(document))
    if faults:
        raise DocumentError(f"version {document.version} has faults", faults)


def _find_faults(document: RoutingDocument) -> Iterator[FieldError]:
    source = f"version {document.version}"
    services = set(document.services)
    if len(services) != len(document.services):
        yield FieldError(source, "services", document.services, "distinct names")
    places: dict[tuple[int, int], str] = {}
    for rule in document.rules:
        field = f"routes[{rule.name}]"
        other = places.get((rule.host, rule.port))
        if other is not None:
            yield RouteConflictError(source, field, other, "an address of its own")
        places[rule.host, rule.port] = rule.name
        if rule.timeout_ms <= 0:
            expected = "more than 0 (milliseconds)"
            yield FieldError(source, f"{field}.timeout_ms", rule.timeout_ms, expected)
        if sum(target.weight for target in rule.targets) <= 0:
            yield FieldError(source, f"{field}.targets", rule.targets, "some weight")
        for target in rule.targets:
            if target.service not in services:
                expected = "a service of this document"
                yield UnknownServiceError(source, field, target.service, expected)


def encode_table(document: RoutingDocument) -> RoutingTable:
    """Write what entry instances need of a document.

    Parameters
    ----------
    document : RoutingDocument
        A checked document.

    Returns
    -------
    RoutingTable
        Its addresses, ports and services.
    """
    position = {service: index for index, service in enumerate(document.services)}
    table = RoutingTable(version=document.version, services=document.services)
    for limit in document.cold_limits:
        table.cold_rates.append(
            ColdRate(service=position[limit.service], rate_per_s=limit.rate_per_s)
        )
    for rule in document.rules:
        targets = [
            RouteTarget(service=position[target.service], weight=target.weight)
            for target in rule.targets
        ]
        route = TableRoute(
            host=rule.host,
            port=rule.port,
            targets=targets,
            idempotent=rule.idempotent,
            aim_ms=rule.aim_ms,
            timeout_ms=min(rule.timeout_ms, _LONGEST_MS),
        )
        if rule.urgency != URGENCY_NOT_TOLD:
            route.urgency = rule.urgency
        table.routes.append(route)
    return table


def keep_earlier_services(table: RoutingTable, before: RoutingTable) -> None:
    """Note in a table which services the same routes had in earlier versions.

    An entry instance that starts late still has to forward their open flows.

    Parameters
    ----------
    table : RoutingTable
        The new table; it is changed.
    before : RoutingTable
        The one that it replaces.
    """
    position = {service: index for index, service in enumerate(table.services)}
    old_routes = {(route.host, route.port): route for route in before.routes}
    same_services = table.services == before.services
    for route in table.routes:
        old = old_routes.get((route.host, route.port))
        if old is None:
            continue
        if same_services and not old.earlier and old.targets == route.targets:
            # Nearly all of a large table: 1,600 routes take 1.8 ms and not 5.3, and a
            # start applies up to `snapshot_entry_count` tables before it serves one.
            continue
        present = {target.service for target in route.targets}
        known = [target.service for target in old.targets] + list(old.earlier)
        for service in dict.fromkeys(known):
            name = before.services[service]
            if name not in position:
                position[name] = len(table.services)
                table.services.append(name)
            if position[name] not in present:
                present.add(position[name])
                route.earlier.append(position[name])


@dataclass(frozen=True, slots=True)
class Route:
    """What an entry instance knows of a route."""

    targets: tuple[Target, ...]
    #: Services that its open flows may belong to.
    services: frozenset[str]
    #: Whether callers may send its requests again, whatever became of them.
    idempotent: bool = False
    #: 0 is the most urgent.
    urgency: int = URGENCY_NOT_TOLD
    #: Within which callers want an answer, and after which it is of no use to them;
    #: infinity where the document does not say, or a table of an earlier version.
    aim_s: float = inf
    timeout_s: float = inf


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes by the address and port that callers send to."""

    version: int
    routes: Mapping[tuple[int, int], Route]
    #: Requests a second that a cold backend server of a service bears, where limited.
    cold_rates_per_s: Mapping[str, float] = field(default_factory=dict)


#: Before any table has arrived.
NO_ROUTES = RouteTable(0, {})


def decode_table(table: RoutingTable) -> RouteTable:
    """Read a table that a control instance sent.

    Parameters
    ----------
    table : RoutingTable
        The message.

    Returns
    -------
    RouteTable
        Ready for look-ups.
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
            urgency=route.urgency if route.HasField("urgency") else URGENCY_NOT_TOLD,
            aim_s=route.aim_ms / 1000 or inf,
            timeout_s=route.timeout_ms / 1000 or inf,
        )
    cold_rates_per_s = {
        table.services[cold.service]: cold.rate_per_s for cold in table.cold_rates
    }
    return RouteTable(table.version, routes, cold_rates_per_s)
