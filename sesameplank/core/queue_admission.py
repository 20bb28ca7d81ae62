"""Whether a request is let in while the targets' queues are long.

It answers loads beyond what the targets carry, where every request that is let in
makes all others late. Whole requests are refused at once, before any call is
sent, so that those that are let in are served in time. Targets report how many
calls wait; what matters is the wait at the required part of a request's shards,
beside the longest objective among the routes that share a service: a route with a
short one would else be refused while the others fill the queues.
"""

import random
from collections.abc import Iterable, Sequence

from ..ids import ServiceName
from .latency import DecayingShare
from .placement import LoadReport
from .routes import Route

QUEUE_WEIGHT = 0.4
QUEUE_HALF_LIFE_S = 0.1
WORK_WEIGHT = 0.05
WAIT_SHARE = 0.17  # Of the objective; the rest is for work, pauses and copies.
LESS_URGENT_SHARE = 0.4
MAX_REFUSED_SHARE = 0.9  # So that no kind of request starves.
TYPICAL_SHARE = 0.8  # Of the required shards; the slowest of them get copies.
MIN_RETRY_S = 0.02


class ServiceQueue:
    """What the answers of one service's targets told of their queues.

    `rounds` is how many calls waited for each slot, and `work_s` how long a
    call takes besides waiting for those, in seconds.
    """

    def __init__(self) -> None:
        self.rounds = DecayingShare(QUEUE_WEIGHT, QUEUE_HALF_LIFE_S)
        self.work_s = 0.0

    def note(self, report: LoadReport, elapsed_s: float, now: float) -> None:
        """Take in the load that came with an answer, and the call's time."""
        rounds = report.waiting / max(1, report.slots)
        self.rounds.add(rounds, now)
        work_s = elapsed_s / (1.0 + rounds)
        weight = WORK_WEIGHT if self.work_s else 1.0
        self.work_s += weight * (work_s - self.work_s)

    def note_refusal(self, report: LoadReport, now: float) -> None:
        """Take in the load of a target that refused a call."""
        self.rounds.add(report.waiting / max(1, report.slots), now)

    def get_wait_s(self, now: float) -> float:
        """Return how long a new call is expected to wait."""
        return self.rounds.get(now) * self.work_s


class QueueAdmission:
    """Admits requests by the waits at their services; times in seconds."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.queues: dict[ServiceName, ServiceQueue] = {}

    def note_answer(
        self, service: ServiceName, report: LoadReport, elapsed_s: float, now: float
    ) -> None:
        """Take in what an answer told of its service."""
        self.get(service).note(report, elapsed_s, now)

    def note_refusal(
        self, service: ServiceName, report: LoadReport, now: float
    ) -> None:
        """Take in what a target told when it refused a call."""
        self.get(service).note_refusal(report, now)

    def get(self, service: ServiceName) -> ServiceQueue:
        """Return what is known of a service."""
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = ServiceQueue()
        return queue

    def keep_only(self, services: Iterable[ServiceName]) -> None:
        """Forget the services that are not named."""
        kept = set(services)
        for service in [item for item in self.queues if item not in kept]:
            del self.queues[service]

    def get_wait_s(
        self, services: Sequence[ServiceName], required: int, now: float
    ) -> float:
        """Return the wait within which most of the required services begin."""
        waits = sorted(
            queue.get_wait_s(now) if (queue := self.queues.get(name)) else 0.0
            for name in services
        )
        return waits[int(TYPICAL_SHARE * (required - 1))]

    def find_retry_s(
        self,
        services: Sequence[ServiceName],
        required: int,
        allowed_s: float,
        now: float,
    ) -> float | None:
        """Return when a request should come back, or None to let it in.

        The further the wait is beyond `allowed_s`, the more requests are refused.
        """
        wait_s = self.get_wait_s(services, required, now)
        if wait_s <= allowed_s:
            return None
        refused_share = min(MAX_REFUSED_SHARE, wait_s / allowed_s - 1.0)
        if self.rng.random() >= refused_share:
            return None
        return max(MIN_RETRY_S, wait_s)


def get_allowed_waits(routes: Iterable[Route]) -> dict[str, float]:
    """Return up to which wait the requests of each route are let in, in seconds.

    It is shorter for a route when a more urgent one shares a service with it.
    """
    known = list(routes)
    most_urgent: dict[ServiceName, int] = {}
    longest_s: dict[ServiceName, float] = {}
    for route in known:
        for name in get_services(route):
            best = most_urgent.get(name, route.priority)
            most_urgent[name] = min(best, route.priority)
            longest_s[name] = max(longest_s.get(name, 0.0), route.objective_s)
    waits = {}
    for route in known:
        names = get_services(route)
        is_urgent = all(most_urgent[name] == route.priority for name in names)
        objective_s = max(
            (longest_s[name] for name in names), default=route.objective_s
        )
        waits[route.name] = (
            WAIT_SHARE * objective_s * (1.0 if is_urgent else LESS_URGENT_SHARE)
        )
    return waits


def get_services(route: Route) -> tuple[ServiceName, ...]:
    """Return the services that a route may send to."""
    return route.shards or tuple(item.service for item in route.services)
