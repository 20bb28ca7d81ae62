"""Reports of targets that crashed while they had calls, for logs and decisions.

A connection that ends while it has a call says little: the target may have reset it, or
the link may be harmed. A target whose address also refuses a new connection at that
moment has ended. It has crashed if it was in use, and not one that drains or has left.
"""

from collections.abc import Callable

from .core.common.clock import Clock
from .core.forwarding.target_reach import TargetReach
from .core.quarantine.sent_request import SentRequest
from .ids import TargetId
from .logs import LogLimiter, log_event

LINES_PER_S = 20.0
LINES_BURST = 200.0  # A request can crash a target of each of its shards.


class CrashReports:
    """Judges and logs the ends of targets under calls.

    `is_in_use` returns whether a target is to get new calls. `get_versions` returns
    further fields of the log lines: the versions of what the process knows.
    """

    def __init__(
        self,
        clock: Clock,
        reach: TargetReach,
        is_in_use: Callable[[TargetId], bool],
        get_versions: Callable[[], dict],
    ) -> None:
        self.clock = clock
        self.reach = reach
        self.is_in_use = is_in_use
        self.get_versions = get_versions
        self.limiter = LogLimiter(clock, LINES_PER_S, LINES_BURST)

    def note_ended(
        self, target: TargetId, request: SentRequest, sent_at: float
    ) -> bool:
        """Record that a target ended while it had a call that was sent at a time.

        Return whether it has crashed.
        """
        if self.reach.is_lost or not self.is_in_use(target):
            return False
        self.log(target, request, sent_at)
        return True

    def log(self, target: TargetId, request: SentRequest, sent_at: float) -> None:
        """Log the crash of a target and the request that it had."""
        left_out = self.limiter.take()
        if left_out is None:
            return
        log_event(
            "target_crashed",
            target=target,
            request=request.request_id,
            fingerprint=request.fingerprint,
            answered=request.is_answered,
            after_ms=int((self.clock.now() - sent_at) * 1_000),
            **self.get_versions(),
            left_out=left_out,
        )
