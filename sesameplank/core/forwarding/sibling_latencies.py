"""Latencies of the calls of one request, by which its other calls are judged."""

import bisect
import math

from .fanout_calls import Call

# Least share of the shards that must have answered for a usable median.
MIN_SIBLING_SHARE = 0.15


class SiblingLatencies:
    """The latencies of the answered calls, in seconds.

    `calls` holds them in the order of the answers, and `ascending` sorted.
    """

    def __init__(self, shards: int) -> None:
        self.min_count = max(1, math.ceil(MIN_SIBLING_SHARE * shards))
        self.calls: list[tuple[Call, float]] = []
        self.ascending: list[float] = []

    def add(self, call: Call, elapsed_s: float) -> None:
        """Add the latency of an answered call."""
        self.calls.append((call, elapsed_s))
        bisect.insort(self.ascending, elapsed_s)

    @property
    def median_s(self) -> float | None:
        """The median latency of the answered calls, or None if they are too few."""
        if len(self.ascending) < self.min_count:
            return None
        return self.ascending[len(self.ascending) // 2]
