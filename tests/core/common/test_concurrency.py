"""Tests of the concurrency limit that adapts to latency."""

import testtools

from sesameplank.core.common.concurrency import (
    INITIAL_LIMIT,
    MIN_SAMPLES,
    WINDOW_S,
    BaseLatency,
    ConcurrencyLimit,
)


class ConcurrencyLimitTests(testtools.TestCase):
    """The limit adapts to the measured latency within seconds."""

    def run_queries(self, latency_s: float, in_flight: int, seconds: float) -> float:
        """Return the limit after queries of one latency, with an objective of 0.2 s.

        With `in_flight` 0, the limit is always fully used.
        """
        limit = ConcurrencyLimit()
        now = 10.0
        while now < 10.0 + seconds:
            now += 0.01
            limit.note_running(in_flight or int(limit.limit) + 1)
            limit.note_done(latency_s, 0.2, in_flight, now)
        return limit.limit

    def test_direction_of_the_change(self):
        table = [
            ("over objective", 0.3, 16, -1),
            ("under objective and used", 0.05, 16, 1),
            ("under objective and unused", 0.05, 2, 0),
        ]
        for name, latency_s, in_flight, direction in table:
            change = self.run_queries(latency_s, in_flight, 0.4) - INITIAL_LIMIT
            self.assertEqual(direction, (change > 0) - (change < 0), name)

    def test_fivefold_latency_shrinks_the_limit_fourfold_within_two_seconds(self):
        self.assertTrue(self.run_queries(1.0, 0, 2.2) <= INITIAL_LIMIT / 4 + 1)

    def test_limit_almost_doubles_within_a_second_of_low_latency(self):
        self.assertTrue(self.run_queries(0.02, 0, 1.0) >= 1.9 * INITIAL_LIMIT)

    def test_queries_admitted_before_a_change_are_ignored(self):
        limit = ConcurrencyLimit()
        for _ in range(MIN_SAMPLES):
            limit.note_running(16)
            limit.note_done(0.4, 0.2, 16, 10.0)
        shrunk = limit.limit
        for _ in range(10):
            limit.note_done(0.4, 0.2, 16, 10.0 + 2 * WINDOW_S)
        self.assertTrue(shrunk < INITIAL_LIMIT)
        self.assertEqual(shrunk, limit.limit)


class BaseLatencyTests(testtools.TestCase):
    """A temporary overload hardly raises the base latency."""

    def test_peak_of_ten_seconds_raises_the_base_by_less_than_a_quarter(self):
        base = BaseLatency()
        base.update(0.04)
        for _ in range(int(10 / WINDOW_S)):
            base.update(0.5)
        self.assertTrue(base.seconds < 0.05)

    def test_base_falls_within_ten_windows(self):
        base = BaseLatency()
        base.update(0.5)
        for _ in range(10):
            base.update(0.04)
        self.assertTrue(base.seconds < 0.06)
