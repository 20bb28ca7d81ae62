"""Clocks, which are passed to all code that depends on time."""

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
    """A monotonic clock that includes the time while the machine is suspended.

    The deadlines of callers continue to run while a VM is suspended.
    """

    def now(self) -> float:
        """Return the seconds since boot, including time while suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that only moves when advanced, for tests and simulations."""

    def __init__(self, start_s: float = 0.0) -> None:
        self.time_s = start_s

    def now(self) -> float:
        """Return the current time of this clock in seconds."""
        return self.time_s

    def advance(self, seconds: float) -> None:
        """Move the clock forward by a number of seconds."""
        self.time_s += seconds
