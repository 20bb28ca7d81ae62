"""Logs what becomes known of the rate limits of targets."""

from collections.abc import Callable

from .core.common.clock import Clock
from .core.limits.target_limits import LimitEvent, TargetLimit, TargetLimits
from .ids import TargetId
from .logs import LogLimiter, log_event

LINES_PER_S = 20.0
LINES_BURST = 200.0  # The targets of many services may name limits at the same moment.


class LimitLog:
    """Logs changes of limits and limits that can't be read, within bounds of volume.

    `get_versions` returns further fields: the versions of what the process knows.
    """

    def __init__(self, clock: Clock, get_versions: Callable[[], dict]) -> None:
        self.clock = clock
        self.get_versions = get_versions
        self.limiter = LogLimiter(clock, LINES_PER_S, LINES_BURST)

    def follow(self, limits: TargetLimits) -> None:
        """Log what becomes known of these limits from now on."""
        limits.listeners.append(self.note_change)
        limits.unreadable_listeners.append(self.note_unreadable)

    def note_change(
        self, event: LimitEvent, target: TargetId, limit: TargetLimit
    ) -> None:
        """Log a change, with its source and how old the limit and its news are."""
        now = self.clock.now()
        self.write(
            f"target_limit_{event.value}",
            target=target,
            per_s=limit.per_s,
            source=limit.source,
            held_ms=int((now - limit.since) * 1_000),
            age_ms=int((now - limit.confirmed_at) * 1_000),
        )

    def note_unreadable(self, target: TargetId, reason: str) -> None:
        """Log that an answer of a target states a limit that can't be read."""
        self.write("target_limit_unreadable", target=target, reason=reason)

    def write(self, event: str, **fields: object) -> None:
        """Write a line unless there are too many; the next one tells how many."""
        left_out = self.limiter.take()
        if left_out is not None:
            log_event(event, **fields, **self.get_versions(), left_out=left_out)
