"""Estimation of the age of messages between unsynchronised clocks."""

MAX_DRIFT_RATIO = 0.0002


class DelayEstimate:
    """The smallest observed offset between a peer's clock and the local clock.

    The offset of a message is its local time of arrival less the sender's time of
    sending. The smallest offset belongs to a message without delay, so the age
    of a message is its offset less the smallest one. The estimate rises slowly
    with time, because the clocks may drift apart by up to `MAX_DRIFT_RATIO`
    seconds per second.
    """

    def __init__(self) -> None:
        self.min_offset_s: float | None = None
        self.observed_at = 0.0

    def observe(self, sent_at: float, received_at: float) -> float:
        """Return the age of a message in seconds, and update the estimate.

        `sent_at` is read from the sender's monotonic clock and `received_at` from
        the local one.
        """
        offset_s = received_at - sent_at
        if self.min_offset_s is None:
            self.min_offset_s = offset_s
        else:
            elapsed_s = max(0.0, received_at - self.observed_at)
            raised_s = self.min_offset_s + elapsed_s * MAX_DRIFT_RATIO
            self.min_offset_s = min(raised_s, offset_s)
        self.observed_at = received_at
        return offset_s - self.min_offset_s
