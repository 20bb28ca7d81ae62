"""Estimates the age of messages between clocks that are not synchronised."""

MAX_DRIFT = 0.0002


class DelayEstimate:
    """The smallest difference seen between a peer's send clock and our own.

    The smallest difference stands for an undelayed message, so what a message
    shows above it is its age. The estimate rises slowly with time, because
    two clocks may drift apart by up to `MAX_DRIFT` seconds a second.
    """

    def __init__(self) -> None:
        self.smallest_s: float | None = None
        self.observed_at = 0.0

    def observe(self, sent_at: float, received_at: float) -> float:
        """Return the age in seconds of a message, and learn from it.

        `sent_at` is by the sender's monotonic clock, `received_at` by ours.
        """
        difference_s = received_at - sent_at
        if self.smallest_s is None:
            self.smallest_s = difference_s
        else:
            elapsed_s = max(0.0, received_at - self.observed_at)
            raised_s = self.smallest_s + elapsed_s * MAX_DRIFT
            self.smallest_s = min(raised_s, difference_s)
        self.observed_at = received_at
        return difference_s - self.smallest_s
