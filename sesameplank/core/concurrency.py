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
MIN_DECREASE_FACTOR = 0.5
INCREASE_FACTOR = 1.1
BUSY_SHARE = 0.8
BASE_DECREASE_FRACTION = 0.3
BASE_INCREASE_FRACTION = 0.002


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
            self.seconds += BASE_DECREASE_FRACTION * (median_s - self.seconds)
        else:
            self.seconds = min(median_s, self.seconds * (1 + BASE_INCREASE_FRACTION))


class ConcurrencyLimit:
    """How many queries may run at once so that latency stays at a target.

    A change shows only in queries that were admitted after it. The time of
    older ones is not used, so that one overload is not answered twice.
    """

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT
        self.changed_at = float("-inf")
        self.samples: list[float] = []
        self.peak_in_flight = 0

    def note_running(self, in_flight: int) -> None:
        """Take in how many queries run, for the most that ran at once."""
        self.peak_in_flight = max(self.peak_in_flight, in_flight)

    def note_done(
        self, latency_s: float, objective_s: float, in_flight: int, now: float
    ) -> float | None:
        """Take in a query's latency; return the median of a window that ends.

        The limit then shrinks if the median is over the target, and grows if
        it is not and the limit was used.
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
        """Change the limit by the median of one window."""
        if median_s > objective_s:
            factor = max(MIN_DECREASE_FACTOR, objective_s / median_s)
            self.limit = max(MIN_LIMIT, min(self.limit, self.peak_in_flight) * factor)
        elif self.peak_in_flight >= BUSY_SHARE * self.limit:
            self.limit = min(
                MAX_LIMIT, max(self.limit + 1.0, self.limit * INCREASE_FACTOR)
            )
