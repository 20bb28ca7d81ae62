"""Latency statistics of calls: recent quantiles and decaying averages."""

import bisect
from collections import deque

from ...ids import CollectionName

WINDOW_SAMPLES = 512
REFRESH_SAMPLES = 32
MIN_SAMPLES = 20
MEDIAN = 0.5


class RecentQuantiles:
    """Quantiles of the most recent samples.

    The samples are sorted again only after every REFRESH_SAMPLES new ones, but after
    each one while there are at most `min_samples`.
    """

    def __init__(
        self, window: int = WINDOW_SAMPLES, min_samples: int = MIN_SAMPLES
    ) -> None:
        self.samples: deque[float] = deque(maxlen=window)
        self.min_samples = min_samples
        self.ordered: list[float] = []
        self.unsorted = 0

    def add(self, value: float) -> None:
        """Add a sample; it replaces the oldest one if the window is full."""
        self.samples.append(value)
        self.unsorted += 1
        if self.unsorted >= REFRESH_SAMPLES or len(self.samples) <= self.min_samples:
            self.ordered = sorted(self.samples)
            self.unsorted = 0

    def get_quantile(self, fraction: float) -> float | None:
        """Return the quantile, or None while there are too few samples."""
        if len(self.ordered) < self.min_samples:
            return None
        index = min(len(self.ordered) - 1, int(fraction * len(self.ordered)))
        return self.ordered[index]

    def get_rank(self, value: float) -> float:
        """Return the share of samples below the value, or 0 without samples."""
        if not self.ordered:
            return 0.0
        return bisect.bisect_left(self.ordered, value) / len(self.ordered)


class LatencyStatistics:
    """Latencies of answered calls, by collection and number of shards (size).

    The service time of a call grows with its number of shards, so calls are compared
    only with calls of the same size. For a size with too few samples, the latency
    per shard over all sizes is scaled to the size. Times are in seconds.
    """

    def __init__(self) -> None:
        self.by_size: dict[tuple[CollectionName, int], RecentQuantiles] = {}
        self.by_shard: dict[CollectionName, RecentQuantiles] = {}

    def observe(self, collection: CollectionName, size: int, elapsed_s: float) -> None:
        """Record the latency of an answered call for `size` shards."""
        exact = self.by_size.get((collection, size))
        if exact is None:
            exact = self.by_size[(collection, size)] = RecentQuantiles()
        pooled = self.by_shard.get(collection)
        if pooled is None:
            pooled = self.by_shard[collection] = RecentQuantiles()
        exact.add(elapsed_s)
        pooled.add(elapsed_s / size)

    def get_quantile(
        self, collection: CollectionName, size: int, fraction: float
    ) -> float | None:
        """Return a latency quantile of calls of a size, or None if unknown."""
        exact = self.by_size.get((collection, size))
        value = exact.get_quantile(fraction) if exact else None
        if value is not None:
            return value
        pooled = self.by_shard.get(collection)
        per_shard = pooled.get_quantile(fraction) if pooled else None
        return None if per_shard is None else per_shard * size

    def get_relative_latency(
        self, collection: CollectionName, size: int, elapsed_s: float
    ) -> float | None:
        """Return a latency as a multiple of the median for its size.

        Return None if the median is unknown or 0.
        """
        median = self.get_quantile(collection, size, MEDIAN)
        return elapsed_s / median if median else None


class DecayingAverage:
    """A moving average that decays to 1 (`BASELINE`) while no values arrive."""

    BASELINE = 1.0

    def __init__(self, weight: float, half_life_s: float) -> None:
        self.weight = weight
        self.half_life_s = half_life_s
        self.average = self.BASELINE
        self.updated_at = 0.0

    def add(self, value: float, now: float) -> None:
        """Add a value that was observed at `now`, in seconds."""
        average = self.get(now)
        self.average = average + self.weight * (value - average)
        self.updated_at = now

    def get(self, now: float) -> float:
        """Return the average at time `now`, in seconds.

        Its distance from BASELINE halves with every half-life since the last value.
        """
        offset = self.average - self.BASELINE
        if not offset:
            return self.BASELINE
        idle_s = max(0.0, now - self.updated_at)
        return self.BASELINE + offset * 0.5 ** (idle_s / self.half_life_s)


class ZeroBaselineAverage(DecayingAverage):
    """A moving average that decays to 0 while no values arrive."""

    BASELINE = 0.0
