"""Routes of forwarded requests, from a host and path to services or shards."""

from collections.abc import Iterable

import msgspec

from ...ids import ConfigVersion, ServiceName


class WeightedService(msgspec.Struct, frozen=True):
    """A service that receives a share of a route's requests, by weight."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """The destination and the limits of requests for one host and path prefix.

    A route has either `services`, of which each request is sent to one, or
    `shards`, to all of which each request is sent. `max_attempts` is the greatest
    number of targets, for each shard, on which a request may run. `objective_s`
    is the latency objective, and `timeout_s` the longest timeout; a caller may set a
    shorter one. `min_coverage` is the least share of the shards in a successful
    answer. The most urgent requests have the lowest value of `priority`. The merged
    answer has up to `top_k` records.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int
    services: tuple[WeightedService, ...] = ()
    shards: tuple[ServiceName, ...] = ()
    top_k: int = 0
    min_coverage: float = 1.0

    @property
    def is_gather(self) -> bool:
        """Whether requests are sent to every shard and the answers are merged."""
        return bool(self.shards)

    @property
    def service_names(self) -> tuple[ServiceName, ...]:
        """All services to which the route may send calls."""
        return self.shards or tuple(item.service for item in self.services)


def find_most_urgent(routes: Iterable[Route]) -> dict[ServiceName, int]:
    """Return the priority of the most urgent route of each service."""
    most_urgent: dict[ServiceName, int] = {}
    for route in routes:
        for name in route.service_names:
            known = most_urgent.get(name, route.priority)
            most_urgent[name] = min(known, route.priority)
    return most_urgent


class Service(msgspec.Struct, frozen=True):
    """The configuration of the targets of one service.

    `max_connections` is the greatest number of connections that one target
    accepts from all VMs together; 0 means that there is no known limit.
    """

    name: ServiceName
    health_path: str
    max_connections: int


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits on the size of a caller's requests and on the time to send them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingConfiguration:
    """One version of the routes, services and limits."""

    def __init__(
        self,
        version: ConfigVersion,
        routes: tuple[Route, ...],
        services: tuple[Service, ...],
        limits: RequestLimits,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = {service.name: service for service in services}
        self.limits = limits
        self.by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self.by_host.setdefault(route.host.lower(), {})[route.prefix] = route

    def get_routed_services(self) -> set[ServiceName]:
        """Return the services that some route sends requests to."""
        services = {item.service for route in self.routes for item in route.services}
        shards = {shard for route in self.routes for shard in route.shards}
        return services | shards

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of the path, or None.

        Only prefixes that end with a slash are found.
        """
        prefixes = self.by_host.get(normalise_host(host))
        if not prefixes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def normalise_host(host: str) -> str:
    """Return the host name in lower case, without a port."""
    name, separator, port = host.rpartition(":")
    if separator and port.isdigit():
        host = name
    return host.strip().lower()
