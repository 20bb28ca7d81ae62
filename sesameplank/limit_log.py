"""Logs what becomes known of the rate limits of targets."""

from collections.abc import Callable

from .core.clock import Clock
from .core.target_limits import LimitEvent, TargetLimit
from .ids import TargetId
from .logs import LogLimiter, log_event

LINES_PER_S = 20.0
LINES_BURST = 200.0  # The targets of many services may name limits at the same moment.


class LimitLog:
    """A listener that logs each change, within bounds of volume.

    `get_versions` returns further fields: the versions of what the process knows.
    """

    def __init__(self, clock: Clock, get_versions: Callable[[], dict]) -> None:
        self.clock = clock
        self.get_versions = get_versions
        self.limiter = LogLimiter(clock, LINES_PER_S, LINES_BURST)

    def __call__(self, event: LimitEvent, target: TargetId, limit: TargetLimit) -> None:
        """Log a change, with its source and how old the limit and its news are."""
        left_out = self.limiter.take()
        if left_out is None:
            return
        now = self.clock.now()
        log_event(
            f"target_limit_{event.value}",
            target=target,
            per_s=limit.per_s,
            source=limit.source,
            held_ms=int((now - limit.since) * 1_000),
            age_ms=int((now - limit.confirmed_at) * 1_000),
            **self.get_versions(),
            left_out=left_out,
        )
