"""Measurement of how late the event loop runs."""


class LoopDelay:
    """The delay of a task that the event loop runs at an interval, in seconds."""

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self.last_round_at: float | None = None
        self.previous_round_at: float | None = None
        self.last_delay_s = 0.0

    def note_round(self, now: float) -> None:
        """Record that a round of the task begins."""
        self.last_delay_s = self.get_overdue_s(now)
        self.previous_round_at = self.last_round_at
        self.last_round_at = now

    def get_earliest_event_at(self, now: float) -> float:
        """Return the earliest time at which an event that is handled now occurred.

        The last round may have been late for the same reason as the event, so the
        event may be as old as the round before.
        """
        rounds = (self.previous_round_at, self.last_round_at, now)
        return next(at for at in rounds if at is not None)

    def get_stall_s(self, now: float) -> float:
        """Return how much longer than usual an event that is handled now waited."""
        usual_s = 2 * self.interval_s
        return max(0.0, now - self.get_earliest_event_at(now) - usual_s)

    def get_delay_s(self, now: float) -> float:
        """Return the delay of the last round, or of the next one if it is longer."""
        return max(self.last_delay_s, self.get_overdue_s(now))

    def get_overdue_s(self, now: float) -> float:
        """Return for how long the next round has been due."""
        if self.last_round_at is None:
            return 0.0
        return max(0.0, now - self.last_round_at - self.interval_s)
