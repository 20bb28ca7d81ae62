"""Latency percentiles over a sliding window, computed with HdrHistogram."""

from hdrh.histogram import HdrHistogram

from ..core.common.clock import Clock

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_FIGURES = 2
WINDOW_S = 30.0
QUANTILES = (0.5, 0.95, 0.99, 1.0)  # 1.0 is the maximum


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)


class LatencyWindow:
    """Latencies of the current window and the previous one."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.started_at = clock.now()
        self.current = make_histogram()
        self.previous = make_histogram()

    def record(self, seconds: float) -> None:
        """Record one latency in seconds, capped to MAX_LATENCY_US."""
        self.rotate()
        self.current.record_value(min(MAX_LATENCY_US, max(1, int(seconds * 1e6))))

    def rotate(self) -> None:
        """Start a new window if the current one has ended."""
        age_s = self.clock.now() - self.started_at
        if age_s < WINDOW_S:
            return
        self.previous = self.current if age_s < 2 * WINDOW_S else make_histogram()
        self.current = make_histogram()
        self.started_at = self.clock.now()

    def get_quantiles(self) -> dict[float, float]:
        """Return the latency in seconds for each quantile over both windows.

        The result is empty if no latency was recorded.
        """
        self.rotate()
        merged = make_histogram()
        merged.add(self.previous)
        merged.add(self.current)
        if not merged.get_total_count():
            return {}
        return {
            quantile: merged.get_value_at_percentile(100 * quantile) / 1e6
            for quantile in QUANTILES
        }
