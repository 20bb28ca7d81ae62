"""Which calls may be sent to targets, and what their ends say of their requests.

Every call to a target passes here when it is sent, whatever it is sent for.

A connection that ends while it has a call says little: the target may have reset it, or
the link may be harmed. A target whose address also refuses a new connection at that
moment has ended. It has crashed if it was in use, and not one that drains or has left.
"""

from collections.abc import Callable

import gevent

from .core.common.clock import Clock
from .core.forwarding.target_reach import TargetReach
from .core.quarantine.request_quarantine import (
    JUDGE_DELAY_S,
    Crash,
    RequestQuarantine,
)
from .core.quarantine.sent_request import SentRequest
from .ids import Fingerprint, TargetId
from .logs import LogLimiter, log_event

LINES_PER_S = 20.0
LINES_BURST = 200.0  # A request can crash a target of each of its shards.


class CrashGuard:
    """Admits calls, judges the ends of targets under them, and logs crashes.

    `is_in_use` returns whether a target is to get new calls. `get_versions` returns
    further fields of the log lines: the versions of what the process knows.
    """

    def __init__(
        self,
        clock: Clock,
        quarantine: RequestQuarantine,
        reach: TargetReach,
        is_in_use: Callable[[TargetId], bool],
        get_versions: Callable[[], dict],
    ) -> None:
        self.clock = clock
        self.quarantine = quarantine
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
        if request.fingerprint and not request.is_answered:
            now = self.clock.now()
            crash = Crash(target, sent_at, now)
            self.quarantine.note_crash(request.fingerprint, crash, now)
            gevent.spawn_later(JUDGE_DELAY_S, self.judge, request.fingerprint)
        return True

    def judge(self, fingerprint: Fingerprint) -> None:
        """Quarantine a request if it is proved to crash targets."""
        self.quarantine.judge(fingerprint, self.clock.now())

    def may_send(self, request: SentRequest) -> bool:
        """Return whether calls of a request may be sent to targets now."""
        if not self.quarantine.records:
            return True
        now = self.clock.now()
        return not self.quarantine.is_quarantined(request.fingerprint, now)

    def may_send_any(self, make_request: Callable[[], SentRequest]) -> bool:
        """Return whether calls of a request may be sent, which is made only if needed.

        There is hardly ever a suspect request.
        """
        return not self.quarantine.records or self.may_send(make_request())

    def note_answer(self, request: SentRequest) -> None:
        """Record that a target has answered a call of a request."""
        request.is_answered = True
        if self.quarantine.records:
            self.quarantine.note_answer(request.fingerprint, self.clock.now())

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
