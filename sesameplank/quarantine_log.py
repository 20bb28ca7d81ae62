"""Logs which requests are suspected to crash targets, quarantined and cleared."""

from collections.abc import Callable

from .core.common.clock import Clock
from .core.quarantine.request_quarantine import (
    CrashRecord,
    QuarantineEvent,
    RequestQuarantine,
)
from .ids import Fingerprint
from .logs import LogLimiter, log_event

LINES_PER_S = 20.0
LINES_BURST = 200.0


class QuarantineLog:
    """Logs changes within bounds of volume, and counts them.

    A line on a quarantine has bounds of its own, since a mass failure makes many
    requests suspect. `count` gets the name of a counter.
    """

    def __init__(
        self, clock: Clock, quarantine: RequestQuarantine, count: Callable[[str], None]
    ) -> None:
        self.clock = clock
        self.quarantine = quarantine
        self.count = count
        self.limiter = LogLimiter(clock, LINES_PER_S, LINES_BURST)
        self.quarantine_limiter = LogLimiter(clock, LINES_PER_S, LINES_BURST)
        quarantine.listeners.append(self.note_change)

    def note_change(
        self, event: QuarantineEvent, fingerprint: Fingerprint, record: CrashRecord
    ) -> None:
        """Log and count a change, with what decided it and how old that is."""
        if event is QuarantineEvent.CRASHED:
            return
        self.count(f"requests_{event.value}")
        is_quarantine = event is QuarantineEvent.QUARANTINED
        limiter = self.quarantine_limiter if is_quarantine else self.limiter
        left_out = limiter.take()
        if left_out is None:
            return
        targets = ",".join(item.target for item in record.crashes[-3:]) or "-"
        log_event(
            f"request_{event.value}",
            fingerprint=fingerprint,
            latest_targets=targets,
            **self.quarantine.describe(fingerprint, self.clock.now()),
            left_out=left_out,
        )
