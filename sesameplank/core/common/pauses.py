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


class EventAge:
    """Bounds the age of an event that the event loop handles, such as a signal.

    A periodic task notes its rounds. It may be late for the same reason as the event,
    and run just before it, so the event may be as old as the round before the last.
    """

    def __init__(self, clock: SuspendAwareClock) -> None:
        self.clock = clock
        self.previous_round_at: float | None = None
        self.last_round_at: float | None = None

    def note_round(self) -> None:
        """Record that a round of the task begins."""
        self.previous_round_at = self.last_round_at
        self.last_round_at = self.clock.now()

    def get_max_age_s(self) -> float:
        """Return the greatest age in seconds of an event that is handled now."""
        now = self.clock.now()
        rounds = (self.previous_round_at, self.last_round_at, now)
        return now - next(at for at in rounds if at is not None)


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
