"""Targets that have ended, and are listed still.

The list shows a target that crashed until its entry lapses. A refused connection shows
at once that nothing listens there. The target gets no calls for a moment if another one
can take them, and is then tried again.
"""

from ..published.incarnation_holds import IncarnationHolds
from ..published.target_table import TargetRecord

DOWN_S = 2.0


class DownTargets(IncarnationHolds):
    """The targets that have refused a connection recently; times are in seconds."""

    def note_down(self, record: TargetRecord, now: float, age_s: float = 0.0) -> None:
        """Record that a target was down `age_s` seconds ago."""
        if age_s < DOWN_S:
            self.hold(record, now - age_s + DOWN_S)

    def exclude(self, records: list[TargetRecord], now: float) -> list[TargetRecord]:
        """Return the targets that are up, or all if none is."""
        return super().exclude(records, now) or records
