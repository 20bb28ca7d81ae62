"""Tests of admission by deadline and priority class."""

import random

import testtools

from sesameplank.conf import CallerClass, Policy
from sesameplank.core.common.clock import ManualClock
from sesameplank.core.common.concurrency import INITIAL_LIMIT
from sesameplank.core.search.admission import (
    MIN_RETRY_AFTER_MS,
    RECENT_WINDOW_S,
    AdmissionController,
    Permit,
    is_load_sample,
)
from sesameplank.core.search.counters import PolicyCounters, RefusalReason
from sesameplank.core.search.coverage import Coverage, MissingRange, MissingReason
from sesameplank.core.search.ranges import KEY_SPACE, KeyRange

AMPLE_TIME_S = 1_000.0
POLICY = Policy()


class AdmissionTests(testtools.TestCase):
    """Queries that cannot be served in time are refused at once."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(10.0)
        self.counters = PolicyCounters()
        self.controller = AdmissionController(
            self.clock, random.Random(1), self.counters
        )

    def admit(
        self, priority=CallerClass.FIRST, remaining_s=AMPLE_TIME_S, name="orders"
    ):
        """Request one permit."""
        deadline_at = self.clock.now() + remaining_s
        return self.controller.admit(name, priority, deadline_at, POLICY)

    def run_queries(self, latency_s: float, count: int = 20) -> None:
        """Run queries one after another, each with the same latency."""
        for _ in range(count):
            with self.admit():
                self.clock.advance(latency_s)

    def fill(self, priority: CallerClass) -> int:
        """Admit queries of a class until one is refused; return the number admitted."""
        count = 0
        while isinstance(self.admit(priority), Permit):
            count += 1
        return count

    def test_first_class_is_refused_last(self):
        counts = [
            self.fill(item)
            for item in (CallerClass.THIRD, CallerClass.SECOND, CallerClass.FIRST)
        ]
        self.assertEqual(10, counts[0])
        self.assertEqual(int(INITIAL_LIMIT) - 10, counts[1])
        self.assertEqual(
            {RefusalReason.SHARE: 2, RefusalReason.LIMIT: 1},
            dict(self.counters.refusals),
        )

    def test_first_class_is_admitted_beyond_the_limit_of_lower_classes(self):
        self.run_queries(0.04)
        permits = [self.admit() for _ in range(8)]
        for _ in range(40):
            permits.append(self.admit())
            self.clock.advance(0.03)
            self.controller.gates["orders"].release(permits.pop(0))
        gate = self.controller.gates["orders"]
        gate.floors[CallerClass.SECOND] = 0.0
        self.assertTrue(gate.lower_limit.limit < 8 < gate.first_limit.limit)
        self.assertFalse(self.admit(CallerClass.SECOND))
        self.assertTrue(self.admit(CallerClass.FIRST))

    def test_floor_admits_some_queries_of_a_lower_class(self):
        held = [self.admit() for _ in range(15)]
        gate = self.controller.gates["orders"]
        gate.lower_limit.limit = 1.0
        admitted = 0
        for _ in range(1_000):
            admitted += isinstance(self.admit(CallerClass.THIRD), Permit)
            gate.in_flight = len(held) - 1
            gate.release(Permit(gate, self.clock.now()))
            gate.in_flight = len(held)
        self.assertTrue(15 <= admitted <= 21)

    def test_short_deadlines_are_refused_under_load(self):
        self.run_queries(0.2)
        held = self.admit()
        for remaining_s, expected in [(0.1, False), (0.3, True)]:
            self.assertEqual(expected, bool(self.admit(remaining_s=remaining_s)))
        held.gate.release(held)

    def test_idle_collection_admits_regardless_of_past_latencies(self):
        self.run_queries(5.0)
        self.assertTrue(self.admit(remaining_s=0.1))

    def test_old_latencies_are_ignored(self):
        self.run_queries(0.2)
        self.admit()
        self.clock.advance(2 * RECENT_WINDOW_S)
        self.assertTrue(self.admit(remaining_s=0.1))

    def test_collections_do_not_share_a_limit(self):
        self.fill(CallerClass.FIRST)
        self.assertTrue(self.admit(name="payments"))

    def test_retry_delays_are_jittered_and_follow_latency(self):
        self.fill(CallerClass.FIRST)
        delays_ms = [self.admit().retry_after_ms for _ in range(50)]
        self.assertTrue(len(set(delays_ms)) > 10)
        self.assertTrue(min(delays_ms) >= MIN_RETRY_AFTER_MS)
        self.controller.gates["orders"].recent.append(0.5)
        self.controller.gates["orders"].released_at = self.clock.now()
        self.assertTrue(self.admit().retry_after_ms >= 1_000)

    def test_permit_is_released_when_a_query_fails(self):
        permit = self.admit()
        try:
            with permit:
                raise ValueError("query failed")
        except ValueError:
            pass
        self.assertEqual(0, permit.gate.in_flight)

    def test_time_waiting_for_a_snapshot_is_not_counted_as_latency(self):
        for _ in range(20):
            with self.admit() as permit:
                self.clock.advance(0.3)
                permit.waited_s = 0.25
        gate = self.controller.gates["orders"]
        self.assertAlmostEqual(0.05, gate.get_expected_latency_s(self.clock.now()))

    def test_load_samples_by_missing_reason(self):
        complete = (KeyRange(0, KEY_SPACE),)
        table = [
            (Coverage(complete), True),
            (make_partial(MissingReason.DEADLINE), True),
            (make_partial(MissingReason.UNREACHABLE), False),
        ]
        for coverage, expected in table:
            self.assertEqual(expected, is_load_sample(coverage))


def make_partial(reason: MissingReason) -> Coverage:
    """Return a coverage that lacks the second half of the key space."""
    half = KEY_SPACE // 2
    return Coverage((KeyRange(0, half),), (MissingRange(half, KEY_SPACE, reason),))
