"""Tests of the admission of requests whose targets have named rate limits."""

import random

import testtools

from sesameplank.core.limits.limit_admission import (
    LESS_URGENT_RESERVE,
    NO_PART_RETRY_S,
    NO_ROOM_RETRY_S,
    LimitAdmission,
)
from sesameplank.core.limits.limit_parts import ActiveVmParts
from sesameplank.core.limits.target_limits import LimitNews, TargetLimits
from sesameplank.core.published.routes import Route
from sesameplank.core.published.target_table import TargetPhase, TargetRecord

SERVICES = ("s0", "s1", "s2", "s3")
VMS = [f"vm{number}" for number in range(8)]
SMALL_LIMIT = 1.0  # Divided among three of the VMs.
LARGE_LIMIT = 16.0


def get_ready(service: str) -> list[TargetRecord]:
    """Return the two targets of a service."""
    return [
        TargetRecord(f"{service}{letter}", service, "x:1", "dc", 2, TargetPhase.READY)
        for letter in "ab"
    ]


class LimitAdmissionTests(testtools.TestCase):
    """Requests that can't get room at enough services are refused, with a true time."""

    def setUp(self):
        super().setUp()
        ranked = ActiveVmParts("none", 2)
        ranked.update(VMS, len(VMS), 0.0)
        self.holder, self.other = ranked.ranked[0], ranked.ranked[-1]

    def make(self, own: str, limits: dict[str, float]) -> LimitAdmission:
        """Return the admission of a VM that knows limits of whole services."""
        parts = ActiveVmParts(own, 2)
        parts.update(VMS, len(VMS), 0.0)
        known = TargetLimits(parts)
        for service, per_s in limits.items():
            for record in get_ready(service):
                known.note_answer(record.id, LimitNews(per_s), 0.0, 0.0)
        return LimitAdmission(known, get_ready, random.Random(1))

    def find(self, admission, services=SERVICES, required=3, now=0.0) -> float | None:
        return admission.find_retry_s(services, required, 0.0, now)

    def test_table(self):
        one = {"s0": LARGE_LIMIT}
        two = {"s0": LARGE_LIMIT, "s1": LARGE_LIMIT}
        small = dict.fromkeys(SERVICES, SMALL_LIMIT)
        for own, limits, services, required, now, expected in (
            (self.holder, {}, SERVICES, 3, 0.0, "admitted"),
            (self.holder, one, SERVICES, 3, 0.0, "admitted"),
            (self.holder, two, SERVICES, 3, 0.0, "later"),
            (self.holder, two, SERVICES, 3, 1.0, "admitted"),
            (self.holder, one, ("s0",), 1, 0.0, "later"),
            (self.other, small, SERVICES, 3, 9.0, NO_PART_RETRY_S),
            (self.other, small, ("s0",), 1, 9.0, "admitted"),
            (self.holder, {"s0": 0.0}, ("s0",), 1, 9.0, NO_ROOM_RETRY_S),
            (self.other, {"s0": 0.0}, ("s0",), 1, 9.0, NO_ROOM_RETRY_S),
        ):
            retry_s = self.find(self.make(own, limits), services, required, now)
            case = (own, limits, services, now)
            if expected == "admitted":
                self.assertIsNone(retry_s, case)
            elif expected == "later":
                self.assertGreater(retry_s, 0.0, case)
            else:
                self.assertEqual(expected, retry_s, case)

    def test_there_is_room_at_the_stated_time(self):
        for seed in range(20):
            admission = self.make(self.holder, {"s0": LARGE_LIMIT})
            admission.rng = random.Random(seed)
            retry_s = self.find(admission, ("s0",), 1)
            self.assertIsNone(self.find(admission, ("s0",), 1, retry_s), seed)

    def test_less_urgent_routes_leave_room_to_the_others(self):
        admission = self.make(self.holder, {})
        routes = [
            Route(f"r{number}", "h", "/", True, 1.0, 0.1, 2, number, shards=SERVICES)
            for number in range(2)
        ]
        admission.set_routes(routes)
        reserves = [
            {admission.draw_reserve(route) for _ in range(50)} for route in routes
        ]
        self.assertEqual([{0.0}, {0.0, LESS_URGENT_RESERVE}], reserves)
