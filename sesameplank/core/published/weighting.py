"""Distribution of a route's requests over its services by weight."""

from ...ids import ServiceName
from .routes import Route


class WeightedRoundRobin:
    """Smooth weighted round-robin over the services of each route.

    For every request, each service's credit grows by its weight. The service with
    the most credit is chosen, and its credit falls by the sum of the weights.
    """

    def __init__(self) -> None:
        self.credits: dict[tuple, dict[ServiceName, float]] = {}

    def choose(self, route: Route) -> ServiceName:
        """Return the service that serves the next request of the route."""
        if len(route.services) == 1:
            return route.services[0].service
        key = (route.name, route.services)
        credits = self.credits.setdefault(
            key, {item.service: 0.0 for item in route.services}
        )
        total = sum(item.weight for item in route.services)
        for item in route.services:
            credits[item.service] += item.weight
        chosen = max(credits, key=credits.get)
        credits[chosen] -= total
        return chosen

    def keep_only(self, routes: tuple[Route, ...]) -> None:
        """Remove the credits of all routes but the given ones."""
        kept = {(route.name, route.services) for route in routes}
        for key in [item for item in self.credits if item not in kept]:
            del self.credits[key]
