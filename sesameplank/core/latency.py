"""Latency of calls: quantiles by the number of shards, slowness by target."""

import bisect
from collections import deque

from ..ids import CollectionName

WINDOW_SAMPLES = 512
REFRESH_SAMPLES = 32
MIN_SAMPLES = 20
MEDIAN = 0.5


class RecentQuantiles:
    """Quantiles of the last samples, sorted again after every few of them."""

    def __init__(
        self, window: int = WINDOW_SAMPLES, min_samples: int = MIN_SAMPLES
    ) -> None:
        self.samples: deque[float] = deque(maxlen=window)
        self.min_samples = min_samples
        self.ordered: list[float] = []
        self.unsorted = 0

    def add(self, value: float) -> None:
        """Add one sample; the oldest one leaves a full window."""
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
        """Return the share of samples that are below the value."""
        if not self.ordered:
            return 0.0
        return bisect.bisect_left(self.ordered, value) / len(self.ordered)


class LatencyStatistics:
    """Latencies of answered calls, by collection and number of shards.

    The service time of a call grows with its shards, so calls are compared
    only with calls of the same size; sizes seen too rarely borrow from the
    pooled time for each shard. Times are in seconds.
    """

    def __init__(self) -> None:
        self.by_size: dict[tuple[CollectionName, int], RecentQuantiles] = {}
        self.by_shard: dict[CollectionName, RecentQuantiles] = {}

    def observe(self, collection: CollectionName, size: int, elapsed_s: float) -> None:
        """Record an answered call for `size` shards."""
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
        """Return a quantile of calls of this size, or None if little is known."""
        exact = self.by_size.get((collection, size))
        value = exact.get_quantile(fraction) if exact else None
        if value is not None:
            return value
        pooled = self.by_shard.get(collection)
        per_shard = pooled.get_quantile(fraction) if pooled else None
        return None if per_shard is None else per_shard * size

    def get_slowness(
        self, collection: CollectionName, size: int, elapsed_s: float
    ) -> float | None:
        """Return the latency as a multiple of the median of its peers."""
        median = self.get_quantile(collection, size, MEDIAN)
        return elapsed_s / median if median else None


class DecayingAverage:
    """An average of recent values that drifts back to 1 while none arrive."""

    REST = 1.0

    def __init__(self, weight: float, half_life_s: float) -> None:
        self.weight = weight
        self.half_life_s = half_life_s
        self.average = self.REST
        self.updated_at = 0.0

    def add(self, value: float, now: float) -> None:
        """Add a value seen at `now`, in seconds."""
        self.average += self.weight * (value - self.average)
        self.updated_at = now

    def get(self, now: float) -> float:
        """Return the average, moved towards rest by the time since the last value."""
        offset = self.average - self.REST
        if not offset:
            return self.REST
        idle_s = max(0.0, now - self.updated_at)
        return self.REST + offset * 0.5 ** (idle_s / self.half_life_s)


class DecayingShare(DecayingAverage):
    """A share of recent events that drifts back to 0 while none happen."""

    REST = 0.0
