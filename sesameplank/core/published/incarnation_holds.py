"""Times until which single incarnations of targets get no calls."""

import msgspec

from ...ids import TargetId
from .target_table import TargetRecord


class IncarnationHold(msgspec.Struct, frozen=True):
    """Until when an incarnation of a target is held, and when it started."""

    until: float
    started_ms: int


class IncarnationHolds:
    """The holds of all targets; times are in seconds.

    A hold ends with its time, or with the next incarnation of its target.
    """

    def __init__(self) -> None:
        self.holds: dict[TargetId, IncarnationHold] = {}

    def hold(self, record: TargetRecord, until: float) -> None:
        """Hold the incarnation of a target until a time."""
        self.holds[record.id] = IncarnationHold(until, record.started_ms)

    def release(self, target: TargetId) -> None:
        """End the hold of a target, if there is one."""
        self.holds.pop(target, None)

    def get_remaining_s(self, record: TargetRecord, now: float) -> float:
        """Return for how much longer a target is held, 0 if it isn't."""
        hold = self.holds.get(record.id)
        if hold is None:
            return 0.0
        if now >= hold.until or hold.started_ms != record.started_ms:
            self.release(record.id)
            return 0.0
        return hold.until - now

    def exclude(self, records: list[TargetRecord], now: float) -> list[TargetRecord]:
        """Return the targets that are not held."""
        if not self.holds:
            return records
        return [item for item in records if not self.get_remaining_s(item, now)]

    def drop_ended(self, now: float) -> None:
        """Forget the holds that have ended."""
        for target in [key for key, item in self.holds.items() if now >= item.until]:
            self.release(target)
