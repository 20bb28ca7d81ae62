"""Notices that this process was stopped for a while."""

import time
from abc import ABC, abstractmethod

PAUSE_THRESHOLD_S = 1.0


class SleepClock(ABC):
    """A clock that also counts the time in which the machine slept."""

    @abstractmethod
    def now(self) -> float:
        """Return the time in seconds since an arbitrary fixed moment."""


class BootClock(SleepClock):
    """The machine's CLOCK_BOOTTIME."""

    def now(self) -> float:
        """Return the seconds since the machine booted, asleep or not."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseDetector:
    """Compares the times of its checks, which the process's loop makes often.

    A gap between two checks shows that the process was stopped or its loop
    held; the sleep clock running ahead shows that the machine slept.
    """

    def __init__(self, sleep_clock: SleepClock) -> None:
        self.sleep_clock = sleep_clock
        self.checked_at: float | None = None
        self.pauses = 0
        self.longest_s = 0.0

    def check(self) -> float:
        """Return the seconds since the last check if that was a pause, else 0."""
        now = self.sleep_clock.now()
        last, self.checked_at = self.checked_at, now
        if last is None or now - last < PAUSE_THRESHOLD_S:
            return 0.0
        self.pauses += 1
        self.longest_s = max(self.longest_s, now - last)
        return now - last
