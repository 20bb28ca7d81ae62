"""Latency percentiles over a sliding window, by HdrHistogram."""

from hdrh.histogram import HdrHistogram

from ..core.clock import Clock

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_FIGURES = 2
WINDOW_S = 30.0
QUANTILES = (0.5, 0.95, 0.99, 1.0)


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)


class LatencyWindow:
    """Latencies of the present window and of the one before it."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.started_at = clock.now()
        self.present = make_histogram()
        self.former = make_histogram()

    def record(self, seconds: float) -> None:
        """Record one latency."""
        self.turn()
        self.present.record_value(min(MAX_LATENCY_US, max(1, int(seconds * 1e6))))

    def turn(self) -> None:
        """Begin a new window when the present one is over."""
        age_s = self.clock.now() - self.started_at
        if age_s < WINDOW_S:
            return
        self.former = self.present if age_s < 2 * WINDOW_S else make_histogram()
        self.present = make_histogram()
        self.started_at = self.clock.now()

    def get_quantiles(self) -> dict[float, float]:
        """Return seconds by quantile over both windows, empty without values."""
        self.turn()
        both = make_histogram()
        both.add(self.former)
        both.add(self.present)
        if not both.get_total_count():
            return {}
        return {
            quantile: both.get_value_at_percentile(100 * quantile) / 1e6
            for quantile in QUANTILES
        }
