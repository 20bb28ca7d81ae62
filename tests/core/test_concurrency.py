"""Tests of the limit that follows latency."""

import testtools

from sesameplank.core.concurrency import (
    INITIAL_LIMIT,
    WINDOW_S,
    BaseLatency,
    ConcurrencyLimit,
)


class ConcurrencyLimitTests(testtools.TestCase):
    """The limit follows the measured latency within a second."""

    def test_direction_by_window(self):
        table = [
            ("over target", 0.3, 16, -1),
            ("under target and used", 0.1, 16, 1),
            ("under target and unused", 0.1, 2, 0),
        ]
        for name, median_s, peak, direction in table:
            limit = ConcurrencyLimit()
            limit.adjust(median_s, 0.2, peak)
            change = limit.limit - INITIAL_LIMIT
            self.assertEqual(direction, (change > 0) - (change < 0), name)

    def test_tenfold_latency_shrinks_the_limit_tenfold_within_a_second(self):
        limit = ConcurrencyLimit()
        for _ in range(int(1.0 / WINDOW_S)):
            limit.adjust(2.0, 0.2, int(limit.limit) + 1)
        self.assertTrue(limit.limit <= INITIAL_LIMIT / 10)

    def test_limit_doubles_within_a_second_of_good_latency(self):
        limit = ConcurrencyLimit()
        for _ in range(int(1.0 / WINDOW_S)):
            limit.adjust(0.1, 0.2, int(limit.limit))
        self.assertTrue(limit.limit >= 2 * INITIAL_LIMIT)


class BaseLatencyTests(testtools.TestCase):
    """Overload does not pass for the ordinary latency."""

    def test_a_crest_of_ten_seconds_raises_the_base_by_less_than_a_quarter(self):
        base = BaseLatency()
        base.update(0.04)
        for _ in range(int(10 / WINDOW_S)):
            base.update(0.5)
        self.assertTrue(base.seconds < 0.05)

    def test_the_base_falls_at_once(self):
        base = BaseLatency()
        base.update(0.5)
        for _ in range(10):
            base.update(0.04)
        self.assertTrue(base.seconds < 0.06)
