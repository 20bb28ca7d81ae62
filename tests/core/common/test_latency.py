"""Tests of latency quantiles and decaying averages."""

import testtools

from sesameplank.core.common.latency import (
    DecayingAverage,
    LatencyStatistics,
    RecentQuantiles,
)


def fill(
    statistics: LatencyStatistics, size: int, value_s: float, count: int = 20
) -> None:
    """Record `count` calls of the same size and latency."""
    for _ in range(count):
        statistics.observe("orders", size, value_s)


class RecentQuantilesTests(testtools.TestCase):
    """Quantiles are computed from recent samples only."""

    def test_too_few_samples_give_none(self):
        quantiles = RecentQuantiles(min_samples=3)
        quantiles.add(1.0)
        self.assertIsNone(quantiles.get_quantile(0.5))

    def test_quantiles_of_a_full_window(self):
        quantiles = RecentQuantiles(window=100, min_samples=1)
        for value in [1_000.0] * 100 + list(range(125)):
            quantiles.add(value)
        for fraction, expected in [(0.0, 25), (0.5, 75), (0.99, 124)]:
            self.assertEqual(expected, quantiles.get_quantile(fraction))


class LatencyStatisticsTests(testtools.TestCase):
    """Calls are compared with calls for the same number of shards."""

    def test_quantile_by_size(self):
        statistics = LatencyStatistics()
        fill(statistics, 1, 0.01)
        fill(statistics, 2, 0.03)
        self.assertEqual(0.03, statistics.get_quantile("orders", 2, 0.5))

    def test_rare_size_uses_the_latency_per_shard(self):
        statistics = LatencyStatistics()
        fill(statistics, 2, 0.02)
        self.assertAlmostEqual(0.05, statistics.get_quantile("orders", 5, 0.5))

    def test_unknown_collection_gives_none(self):
        self.assertIsNone(LatencyStatistics().get_relative_latency("orders", 1, 0.5))

    def test_relative_latency_is_a_multiple_of_the_median(self):
        statistics = LatencyStatistics()
        fill(statistics, 2, 0.02)
        self.assertAlmostEqual(10.0, statistics.get_relative_latency("orders", 2, 0.2))


class DecayingAverageTests(testtools.TestCase):
    """An average without new values decays to 1."""

    def test_distance_from_1_halves_after_the_half_life(self):
        average = DecayingAverage(weight=0.5, half_life_s=2.0)
        average.add(9.0, now=10.0)
        for now, expected in [(10.0, 5.0), (12.0, 3.0), (14.0, 2.0)]:
            self.assertAlmostEqual(expected, average.get(now))

    def test_value_is_added_to_the_decayed_average(self):
        average = DecayingAverage(weight=0.3, half_life_s=1.5)
        for _ in range(20):
            average.add(12.0, now=0.0)
        average.add(1.0, now=100.0)
        self.assertAlmostEqual(1.0, average.get(100.0))
