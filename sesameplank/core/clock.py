"""Clocks, passed to every decision that depends on time."""

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """A source of monotonic time in seconds."""

    @abstractmethod
    def now(self) -> float:
        """Return the time in seconds since an arbitrary fixed moment."""


class SystemClock(Clock):
    """The machine's monotonic clock."""

    def now(self) -> float:
        """Return the machine's monotonic time in seconds."""
        return time.monotonic()


class BootTimeClock(Clock):
    """A monotonic clock that also counts the time in which the machine slept.

    Deadlines of callers run on while a VM is suspended.
    """

    def now(self) -> float:
        """Return the seconds since the machine booted, asleep or not."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that moves only when told, for tests and simulations."""

    def __init__(self, start_s: float = 0.0) -> None:
        self.time_s = start_s

    def now(self) -> float:
        """Return the time in seconds that was set last."""
        return self.time_s

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.time_s += seconds
