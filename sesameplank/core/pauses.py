"""Detection of pauses, during which this process did not run."""

import time
from abc import ABC, abstractmethod

PAUSE_THRESHOLD_S = 1.0


class SuspendAwareClock(ABC):
    """A monotonic clock that includes the time while the machine is suspended."""

    @abstractmethod
    def now(self) -> float:
        """Return the time in seconds since an arbitrary fixed moment."""


class BootClock(SuspendAwareClock):
    """The machine's CLOCK_BOOTTIME."""

    def now(self) -> float:
        """Return the seconds since boot, including time while suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseDetector:
    """Detects pauses by the time between checks, which must be made often.

    A gap of at least `PAUSE_THRESHOLD_S` means that the process was stopped, its
    event loop was blocked, or the machine was suspended.
    """

    def __init__(self, clock: SuspendAwareClock) -> None:
        self.clock = clock
        self.checked_at: float | None = None
        self.pauses = 0
        self.longest_s = 0.0

    def check(self) -> float:
        """Return the seconds since the last check if there was a pause, else 0."""
        now = self.clock.now()
        last, self.checked_at = self.checked_at, now
        if last is None or now - last < PAUSE_THRESHOLD_S:
            return 0.0
        self.pauses += 1
        self.longest_s = max(self.longest_s, now - last)
        return now - last
