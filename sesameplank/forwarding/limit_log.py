"""Logs what becomes known of the rate limits of targets."""

from ..core.clock import Clock
from ..core.target_limits import LimitEvent, TargetLimit
from ..core.target_table import TargetTable
from ..ids import TargetId
from ..logs import LogLimiter, log_event

LINES_PER_S = 20.0
LINES_BURST = 200.0  # The targets of many services may name limits at the same moment.


class LimitLog:
    """A listener that logs each change, within bounds of volume."""

    def __init__(self, clock: Clock, table: TargetTable) -> None:
        self.clock = clock
        self.table = table
        self.limiter = LogLimiter(clock, LINES_PER_S, LINES_BURST)

    def __call__(self, event: LimitEvent, target: TargetId, limit: TargetLimit) -> None:
        """Log a change, with where the news came from and how long the limit held."""
        left_out = self.limiter.take()
        if left_out is None:
            return
        log_event(
            f"target_limit_{event.value}",
            target=target,
            per_s=limit.per_s,
            source=limit.source,
            held_ms=int((self.clock.now() - limit.since) * 1_000),
            targets_revision=self.table.revision,
            left_out=left_out,
        )
