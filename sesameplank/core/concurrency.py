"""A limit on concurrent queries that follows the latency they measure.

Additive increase, multiplicative decrease, as in TCP congestion control
(Chiu and Jain, 1989), with latency in place of loss.
"""

import statistics

WINDOW_S = 0.1
MIN_SAMPLES = 3
INITIAL_LIMIT = 16.0
MIN_LIMIT = 1.0
MAX_LIMIT = 1_024.0
MAX_DECREASE = 0.7
INCREASE = 1.1
BUSY_SHARE = 0.8
BASE_FALL = 0.3
BASE_RISE = 0.002


class LatencyWindow:
    """Latencies of one short stretch, and the most that ran at once."""

    def __init__(self) -> None:
        self.samples: list[float] = []
        self.started_at = 0.0
        self.peak = 0

    def is_over(self, now: float) -> bool:
        """Tell whether the stretch is long and full enough to judge."""
        return len(self.samples) >= MIN_SAMPLES and now - self.started_at >= WINDOW_S

    def restart(self, now: float, in_flight: int) -> None:
        """Begin the next stretch."""
        self.samples.clear()
        self.started_at = now
        self.peak = in_flight


class BaseLatency:
    """The latency without overload: falls quickly, rises slowly.

    It rises so slowly that a crest of a minute does not pass for ordinary.
    """

    def __init__(self) -> None:
        self.seconds: float | None = None

    def update(self, median_s: float) -> None:
        """Take in the median of one window, in seconds."""
        if self.seconds is None:
            self.seconds = median_s
        elif median_s < self.seconds:
            self.seconds += BASE_FALL * (median_s - self.seconds)
        else:
            self.seconds = min(median_s, self.seconds * (1 + BASE_RISE))


class ConcurrencyLimit:
    """How many queries may run at once so that latency stays at a target."""

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT

    def adjust(self, median_s: float, target_s: float, peak: int) -> None:
        """Shrink when latency is over the target, grow when the limit was used."""
        if median_s > target_s:
            factor = max(MAX_DECREASE, target_s / median_s)
            self.limit = max(MIN_LIMIT, min(self.limit, peak) * factor)
        elif peak >= BUSY_SHARE * self.limit:
            self.limit = min(MAX_LIMIT, max(self.limit + 1.0, self.limit * INCREASE))


def get_median(window: LatencyWindow) -> float:
    """Return the median latency of a window, in seconds."""
    return statistics.median(window.samples)
