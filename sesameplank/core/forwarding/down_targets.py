"""Targets that have ended, and are listed still.

The list shows a target that crashed until its entry lapses. A refused connection shows
at once that nothing listens there. The target gets no calls for a moment if another one
can take them, and is then tried again.
"""

import msgspec

from ...ids import TargetId
from ..published.target_table import TargetRecord

DOWN_S = 2.0


class DownTarget(msgspec.Struct, frozen=True):
    """Until when a target is taken to be down, and the start of its incarnation."""

    until: float
    started_ms: int


class DownTargets:
    """The targets that have refused a connection recently; times are in seconds."""

    def __init__(self) -> None:
        self.targets: dict[TargetId, DownTarget] = {}

    def note_down(self, record: TargetRecord, now: float, age_s: float = 0.0) -> None:
        """Record that a target was down `age_s` seconds ago."""
        if age_s < DOWN_S:
            until = now - age_s + DOWN_S
            self.targets[record.id] = DownTarget(until, record.started_ms)

    def note_up(self, target: TargetId) -> None:
        """Record that a target has accepted a connection."""
        self.targets.pop(target, None)

    def is_down(self, record: TargetRecord, now: float) -> bool:
        """Return whether a target is taken to be down."""
        down = self.targets.get(record.id)
        if down is None:
            return False
        if now >= down.until or record.started_ms != down.started_ms:
            del self.targets[record.id]
            return False
        return True

    def exclude(self, records: list[TargetRecord], now: float) -> list[TargetRecord]:
        """Return the targets that are up, or all if none is."""
        if not self.targets:
            return records
        return [item for item in records if not self.is_down(item, now)] or records
