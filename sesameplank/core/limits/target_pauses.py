"""Targets that want no requests for a while, as they have said in a refusal.

A pause holds for the incarnation that asked for it and for the process that it refused.
No later answer shortens it: answers to calls from before it may still arrive.
"""

from ..published.incarnation_holds import IncarnationHolds
from ..published.target_table import TargetRecord

# Bounds a mistaken statement; the target may ask again.
MAX_PAUSE_S = 300.0


class TargetPauses(IncarnationHolds):
    """The pauses that targets have asked this process for; times are in seconds."""

    def note(self, record: TargetRecord, wait_s: float, now: float) -> bool:
        """Record that a target wants no requests for `wait_s` seconds.

        Return whether it is a new pause, and not only a longer one.
        """
        known_s = self.get_remaining_s(record, now)
        wait_s = min(MAX_PAUSE_S, wait_s)
        if wait_s > known_s:
            self.hold(record, now + wait_s)
        return not known_s and wait_s > 0.0
