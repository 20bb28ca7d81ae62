"""Routes of forwarded requests: which service, or set of shards, serves a path."""

import msgspec

from ..ids import ConfigVersion, ServiceName


class WeightedService(msgspec.Struct, frozen=True):
    """One of the services that share a route's requests, by weight."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where requests of one host and path prefix go, and what they may cost.

    A route has either `services`, of which each request goes to one, or
    `shards`, all of which are asked. `max_attempts` bounds the targets that
    one request may run on, for each shard. `objective_s` is the latency objective.
    `min_coverage` is the least share of shards that makes an answer.
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
        """Tell whether every shard is asked and the parts are merged."""
        return bool(self.shards)

    @property
    def service_names(self) -> tuple[ServiceName, ...]:
        """Every service that the route may send to."""
        return self.shards or tuple(item.service for item in self.services)


class Service(msgspec.Struct, frozen=True):
    """What the operators say of the targets of one service.

    `max_connections` is the most that one target takes from all callers.
    """

    name: ServiceName
    health_path: str
    max_connections: int


class RequestLimits(msgspec.Struct, frozen=True):
    """Bounds on what a caller may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingConfiguration:
    """One version of the routes; `find_route` takes the longest prefix."""

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

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
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
