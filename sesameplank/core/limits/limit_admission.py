"""Admission of requests whose targets have named rate limits.

A request over many shards needs room at enough of them. One that can't get it is
refused before any call is sent, with the time until there is room: its calls would use
up the room of the shards for an answer that has too few parts. Less urgent requests
leave some of what is saved to the others.
"""

import random
from collections.abc import Callable, Iterable, Sequence

from ...ids import ServiceName
from ..published.routes import Route, find_most_urgent
from ..published.target_table import TargetRecord
from .target_limits import NEVER, TargetLimits

LESS_URGENT_RESERVE = 0.5
# Share of the less urgent requests that are held to the reserve, so that none starves.
RESERVED_SHARE = 0.75
MIN_RETRY_S = 0.02
MAX_RETRY_S = 2.0
NO_PART_RETRY_S = 0.05  # Another process has the parts.
NO_ROOM_RETRY_S = 1.0  # No process has a part: the limit is 0.

GetReady = Callable[[ServiceName], Sequence[TargetRecord]]


class LimitAdmission:
    """Decides which requests find enough room; `get_ready` returns a service's targets.

    `reserves` holds, for each route by name, the share of the saved tokens that its
    requests leave.
    """

    def __init__(
        self, limits: TargetLimits, get_ready: GetReady, rng: random.Random
    ) -> None:
        self.limits = limits
        self.get_ready = get_ready
        self.rng = rng
        self.reserves: dict[str, float] = {}

    def set_routes(self, routes: Iterable[Route]) -> None:
        """Apply the routes of a new configuration."""
        known = list(routes)
        most_urgent = find_most_urgent(known)
        self.reserves = {
            route.name: 0.0
            if all(most_urgent[name] == route.priority for name in route.service_names)
            else LESS_URGENT_RESERVE
            for route in known
        }

    def draw_reserve(self, route: Route) -> float:
        """Return the share of the saved tokens that one request of a route leaves."""
        reserve = self.reserves.get(route.name, 0.0)
        return reserve if self.rng.random() < RESERVED_SHARE else 0.0

    def find_retry_s(
        self,
        services: Sequence[ServiceName],
        required: int,
        reserve: float,
        now: float,
    ) -> float | None:
        """Return None if `required` services have room, or the time until they do.

        The time is spread, so that the callers don't return together. A request to a
        single service of whose limits this VM has no part is sent through others.
        """
        if not self.limits.limits:
            return None
        waits = sorted(self.get_wait_s(service, reserve, now) for service in services)
        wait_s = waits[required - 1]
        if not wait_s:
            return None
        if wait_s == NEVER:
            return self.find_retry_elsewhere_s(services, now)
        spread_s = wait_s * (1.0 + self.rng.random())
        return min(MAX_RETRY_S, max(MIN_RETRY_S, spread_s))

    def find_retry_elsewhere_s(
        self, services: Sequence[ServiceName], now: float
    ) -> float | None:
        """Return the delay of a request of whose limits this process has no part.

        It is None if the request is to a single service that is called through others.
        """
        has_holders = any(
            self.limits.get_holders(item.id, now)
            for service in services
            for item in self.get_ready(service)
        )
        if not has_holders:
            return NO_ROOM_RETRY_S
        return None if len(services) == 1 else NO_PART_RETRY_S

    def get_wait_s(self, service: ServiceName, reserve: float, now: float) -> float:
        """Return the time until a ready target of a service has room, in seconds.

        A service without ready targets doesn't wait for room.
        """
        targets = self.get_ready(service)
        return min(
            (self.limits.get_wait_s(item.id, now, reserve) for item in targets),
            default=0.0,
        )
