"""Tests of finding a route and distributing its requests over services."""

import testtools

from sesameplank.core.published.routes import (
    RequestLimits,
    Route,
    RoutingConfiguration,
    WeightedService,
    normalise_host,
)
from sesameplank.core.published.weighting import WeightedRoundRobin


def make_route(name: str, prefix: str, services=(("s", 1.0),)) -> Route:
    """Return a route of the host `orders.example`."""
    weighted = tuple(WeightedService(*item) for item in services)
    return Route(name, "orders.example", prefix, True, 1.0, 0.1, 2, 0, weighted)


class FindRouteTests(testtools.TestCase):
    """The route with the longest matching prefix of the host is found."""

    CASES = (
        ("orders.example", "/a/x", "short"),
        ("orders.example", "/a/b/x", "long"),
        ("ORDERS.example:8080", "/a/b/", "long"),
        ("orders.example", "/a/bx", "short"),
        ("orders.example", "/a", None),
        ("orders.example", "/", None),
        ("other.example", "/a/b/x", None),
        ("", "/a/b/x", None),
    )

    def test_table(self):
        routes = (make_route("short", "/a/"), make_route("long", "/a/b/"))
        table = RoutingConfiguration(3, routes, (), RequestLimits())
        for host, path, expected in self.CASES:
            found = table.find_route(host, path)
            self.assertEqual(expected, found and found.name, (host, path))

    def test_port_is_removed_from_the_host(self):
        self.assertEqual("a.example", normalise_host("A.example:80"))


class WeightedRoundRobinTests(testtools.TestCase):
    """Each service gets its share of any few consecutive requests."""

    def test_shares_follow_the_weights_in_every_20_requests(self):
        route = make_route("r", "/a/", (("x", 3.0), ("y", 1.0)))
        round_robin = WeightedRoundRobin()
        chosen = [round_robin.choose(route) for _ in range(400)]
        for start in range(0, 400, 20):
            self.assertEqual(15, chosen[start : start + 20].count("x"))

    def test_credits_of_removed_routes_are_removed(self):
        round_robin = WeightedRoundRobin()
        round_robin.choose(make_route("r", "/a/", (("x", 3.0), ("y", 1.0))))
        round_robin.keep_only(())
        self.assertEqual({}, round_robin.credits)
