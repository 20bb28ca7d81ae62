"""A limit on concurrent queries that adapts to their measured latency.

The limit uses additive increase and multiplicative decrease, as TCP congestion
control does (Chiu and Jain, 1989), with latency in place of packet loss.
"""

import statistics

WINDOW_S = 0.1
MIN_SAMPLES = 3
INITIAL_LIMIT = 16.0
MIN_LIMIT = 1.0
MAX_LIMIT = 1_024.0
MIN_DECREASE_FACTOR = 0.5
INCREASE_FACTOR = 1.1
BUSY_SHARE = 0.8
BASE_DECREASE_FRACTION = 0.3
BASE_INCREASE_FRACTION = 0.002


class BaseLatency:
    """The latency without overload; the estimate falls quickly and rises slowly.

    It rises so slowly that the latency in a load peak of a minute is not mistaken for
    the ordinary latency.
    """

    def __init__(self) -> None:
        self.seconds: float | None = None

    def update(self, median_s: float) -> None:
        """Update the estimate from the median latency of one window, in seconds."""
        if self.seconds is None:
            self.seconds = median_s
        elif median_s < self.seconds:
            self.seconds += BASE_DECREASE_FRACTION * (median_s - self.seconds)
        else:
            self.seconds = min(median_s, self.seconds * (1 + BASE_INCREASE_FRACTION))


class ConcurrencyLimit:
    """The number of queries that may run at once to meet a latency objective.

    A change of the limit affects only queries that were admitted after it. The
    latency of older queries is ignored, so that the limit does not shrink twice
    because of the same overload.
    """

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT
        self.changed_at = float("-inf")
        self.samples: list[float] = []
        self.peak_in_flight = 0

    def note_running(self, in_flight: int) -> None:
        """Record the number of running queries for the peak of the window."""
        self.peak_in_flight = max(self.peak_in_flight, in_flight)

    def note_done(
        self, latency_s: float, objective_s: float, in_flight: int, now: float
    ) -> float | None:
        """Record a query's latency; return the median in seconds if a window ends.

        At the end of a window, the limit shrinks if the median exceeds the
        objective. Otherwise it grows if most of the limit was in use.
        """
        if now - latency_s < self.changed_at:
            return None
        self.samples.append(latency_s)
        if len(self.samples) < MIN_SAMPLES or now - self.changed_at < WINDOW_S:
            return None
        median_s = statistics.median(self.samples)
        self.adjust(median_s, objective_s)
        self.changed_at = now
        self.samples.clear()
        self.peak_in_flight = in_flight
        return median_s

    def adjust(self, median_s: float, objective_s: float) -> None:
        """Adjust the limit to the median latency of one window, in seconds."""
        if median_s > objective_s:
            factor = max(MIN_DECREASE_FACTOR, objective_s / median_s)
            self.limit = max(MIN_LIMIT, min(self.limit, self.peak_in_flight) * factor)
        elif self.peak_in_flight >= BUSY_SHARE * self.limit:
            self.limit = min(
                MAX_LIMIT, max(self.limit + 1.0, self.limit * INCREASE_FACTOR)
            )
