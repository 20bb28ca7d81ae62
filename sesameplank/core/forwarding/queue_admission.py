"""Admission control by the length of the targets' queues.

If the load exceeds the capacity of the targets, every admitted request delays all
others. Some requests are therefore refused as a whole, before any call is sent, so
that the admitted ones are served in time.

Targets report how many calls wait in their queues. Admission compares two times:
the wait within which most of the required shards are expected to start a call, and the
longest latency objective among the routes that share a service with the request's
route. If each route were held to its own objective, requests of a route with a short
one would be refused while the other routes fill the queues.
"""

import random
from collections.abc import Iterable, Sequence

from ...ids import ServiceName
from ..common.latency import ZeroBaselineAverage
from ..published.routes import Route, find_most_urgent
from .placement import LoadReport

QUEUE_WEIGHT = 0.4
QUEUE_HALF_LIFE_S = 0.1
SERVICE_TIME_WEIGHT = 0.05
# Share of the latency objective; the rest is for work, pauses and hedges.
WAIT_SHARE = 0.17
LESS_URGENT_SHARE = 0.4  # Of the allowed wait, for less urgent routes.
MAX_REFUSED_SHARE = 0.9  # Prevents the starvation of any kind of request.
# Quantile over the required shards; calls to the slowest of them are hedged.
WAIT_QUANTILE = 0.8
MIN_RETRY_S = 0.02


class ServiceQueue:
    """The queues of one service's targets, estimated from their load reports.

    `waiting_per_slot` is the average number of waiting calls per slot, and
    `service_time_s` the average latency of a call without its wait in the queue, in
    seconds.
    """

    def __init__(self) -> None:
        self.waiting_per_slot = ZeroBaselineAverage(QUEUE_WEIGHT, QUEUE_HALF_LIFE_S)
        self.service_time_s = 0.0

    def note_answer(self, report: LoadReport, elapsed_s: float, now: float) -> None:
        """Record the load that an answer reported, and the latency of its call."""
        waiting_per_slot = report.waiting / max(1, report.slots)
        self.waiting_per_slot.add(waiting_per_slot, now)
        service_time_s = elapsed_s / (1.0 + waiting_per_slot)
        weight = SERVICE_TIME_WEIGHT if self.service_time_s else 1.0
        self.service_time_s += weight * (service_time_s - self.service_time_s)

    def note_refusal(self, report: LoadReport, now: float) -> None:
        """Record the load of a target that refused a call."""
        self.waiting_per_slot.add(report.waiting / max(1, report.slots), now)

    def get_wait_s(self, now: float) -> float:
        """Return the expected wait of a new call in seconds."""
        return self.waiting_per_slot.get(now) * self.service_time_s


class QueueAdmission:
    """Admission of requests by the expected waits at their services, in seconds."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.queues: dict[ServiceName, ServiceQueue] = {}

    def note_answer(
        self, service: ServiceName, report: LoadReport, elapsed_s: float, now: float
    ) -> None:
        """Record the load that an answer of a service reported."""
        self.get(service).note_answer(report, elapsed_s, now)

    def note_refusal(
        self, service: ServiceName, report: LoadReport, now: float
    ) -> None:
        """Record the load that a target reported when it refused a call."""
        self.get(service).note_refusal(report, now)

    def get(self, service: ServiceName) -> ServiceQueue:
        """Return the queue of a service; create it on first use."""
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = ServiceQueue()
        return queue

    def keep_only(self, services: Iterable[ServiceName]) -> None:
        """Remove the queues of all services but the given ones."""
        kept = set(services)
        for service in [item for item in self.queues if item not in kept]:
            del self.queues[service]

    def get_wait_s(
        self, services: Sequence[ServiceName], required: int, now: float
    ) -> float:
        """Return the expected wait until most of the required services start a call."""
        waits = sorted(
            queue.get_wait_s(now) if (queue := self.queues.get(name)) else 0.0
            for name in services
        )
        return waits[int(WAIT_QUANTILE * (required - 1))]

    def find_retry_s(
        self,
        services: Sequence[ServiceName],
        required: int,
        allowed_s: float,
        now: float,
    ) -> float | None:
        """Return None to admit a request, or the delay after which to retry it.

        The further the expected wait exceeds `allowed_s`, the larger is the share of
        refused requests.
        """
        wait_s = self.get_wait_s(services, required, now)
        if wait_s <= allowed_s:
            return None
        refused_share = min(MAX_REFUSED_SHARE, wait_s / allowed_s - 1.0)
        if self.rng.random() >= refused_share:
            return None
        return max(MIN_RETRY_S, wait_s)


def get_allowed_waits(routes: Iterable[Route]) -> dict[str, float]:
    """Return the longest wait of each route at which all its requests are admitted.

    The wait is in seconds. It is shorter for a route that shares a service with a
    more urgent one.
    """
    known = list(routes)
    most_urgent = find_most_urgent(known)
    longest_s: dict[ServiceName, float] = {}
    for route in known:
        for name in route.service_names:
            longest_s[name] = max(longest_s.get(name, 0.0), route.objective_s)
    waits = {}
    for route in known:
        names = route.service_names
        is_urgent = all(most_urgent[name] == route.priority for name in names)
        objective_s = max(
            (longest_s[name] for name in names), default=route.objective_s
        )
        waits[route.name] = (
            WAIT_SHARE * objective_s * (1.0 if is_urgent else LESS_URGENT_SHARE)
        )
    return waits
