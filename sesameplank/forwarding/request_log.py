"""Rate-limited log lines about requests, with a higher limit for failures.

Outcomes of requests and calls have separate limits, so that many hedges do not
suppress the lines on the requests that failed.
"""

from ..core.common.clock import Clock
from ..logs import LogLimiter, log_event

FAILURES_PER_S = 100.0
FAILURES_BURST = 400.0
SUCCESSES_PER_S = 5.0  # Enough to compare failed requests with successful ones.
SUCCESSES_BURST = 20.0


class RequestLog:
    """A log of requests that counts the lines suppressed by the rate limits.

    The next line of the same kind reports their number as `left_out`.
    """

    def __init__(self, clock: Clock) -> None:
        self.failures = LogLimiter(clock, FAILURES_PER_S, FAILURES_BURST)
        self.calls = LogLimiter(clock, FAILURES_PER_S, FAILURES_BURST)
        self.successes = LogLimiter(clock, SUCCESSES_PER_S, SUCCESSES_BURST)

    def note_failure(self, event: str, **fields: object) -> None:
        """Log a refused or failed request, or a late or incomplete answer."""
        self.write(self.failures, event, fields)

    def note_call(self, event: str, **fields: object) -> None:
        """Log a hedge, a retry or a failed call."""
        self.write(self.calls, event, fields)

    def note_success(self, event: str, **fields: object) -> None:
        """Log a complete answer that was in time; only a sample of them is logged."""
        self.write(self.successes, event, fields)

    def write(self, limiter: LogLimiter, event: str, fields: dict) -> None:
        """Log a line unless the limiter suppresses it."""
        left_out = limiter.take()
        if left_out is None:
            return
        if left_out:
            fields["left_out"] = left_out
        log_event(event, **fields)
