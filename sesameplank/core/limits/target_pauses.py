"""Targets that want no requests for a while, as they have said in a refusal.

A pause holds for the incarnation that asked for it and for the process that it refused.
No later answer shortens it: answers to calls from before it may still arrive.
"""

import msgspec

from ...ids import TargetId
from ..published.target_table import TargetRecord

# Bounds a mistaken statement; the target may ask again.
MAX_PAUSE_S = 300.0


class TargetPause(msgspec.Struct, frozen=True):
    """Until when an incarnation wants no requests, and when it started."""

    until: float
    started_ms: int


class TargetPauses:
    """The pauses that targets have asked this process for; times are in seconds."""

    def __init__(self) -> None:
        self.pauses: dict[TargetId, TargetPause] = {}

    def note(self, record: TargetRecord, wait_s: float, now: float) -> bool:
        """Record that a target wants no requests for `wait_s` seconds.

        Return whether it is a new pause, and not only a longer one.
        """
        known_s = self.get_wait_s(record, now)
        wait_s = min(MAX_PAUSE_S, wait_s)
        if wait_s > known_s:
            self.pauses[record.id] = TargetPause(now + wait_s, record.started_ms)
        return not known_s and wait_s > 0.0

    def get_wait_s(self, record: TargetRecord, now: float) -> float:
        """Return the time until a target may be called, 0 if it may be called now."""
        pause = self.pauses.get(record.id)
        if pause is None:
            return 0.0
        if now >= pause.until or pause.started_ms != record.started_ms:
            del self.pauses[record.id]
            return 0.0
        return pause.until - now

    def exclude(self, records: list[TargetRecord], now: float) -> list[TargetRecord]:
        """Return the targets that may be called now."""
        if not self.pauses:
            return records
        return [item for item in records if not self.get_wait_s(item, now)]

    def drop_ended(self, now: float) -> None:
        """Forget the pauses that have ended."""
        ended = [key for key, item in self.pauses.items() if now >= item.until]
        for target in ended:
            del self.pauses[target]
