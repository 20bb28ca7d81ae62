"""The greatest recent value of a gauge."""


class RecentMaximum:
    """The greatest value that a gauge has had in the last `window_s` seconds."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.values: list[tuple[float, int]] = []

    def update(self, value: int, now: float) -> int:
        """Record that the gauge has a value from now on, and return the maximum."""
        if not self.values or self.values[-1][1] != value:
            self.values.append((now, value))
        return self.get(now)

    def get(self, now: float) -> int:
        """Return the maximum, 0 if the gauge has had no value."""
        oldest = now - self.window_s
        while len(self.values) > 1 and self.values[1][0] <= oldest:
            del self.values[0]
        return max((item for _, item in self.values), default=0)
