"""Which targets take no new work, from whichever source tells first."""

from collections.abc import Callable, Sequence
from enum import Enum

from ..conf import Configuration, Target, TargetState
from ..ids import TargetId
from .clock import Clock

MAX_HOLD_S = 120.0
SERVING_REPORTS = 2


class LeavingSource(Enum):
    """Who told that a target is leaving."""

    CONFIGURATION = "configuration"
    ANSWER = "answer"
    HEALTH = "health"
    PEER = "peer"


class LeavingMark:
    """A leaving target, and what has been seen of its return."""

    def __init__(self, source: LeavingSource, now: float) -> None:
        self.source = source
        self.marked_at = now
        self.was_seen_away = source is LeavingSource.HEALTH
        self.serving_reports = 0


Listener = Callable[[TargetId], None]


class LeavingTargets:
    """Marks leaving targets and decides when one has come back.

    A health report that says "serving" may be old. It ends a mark only after
    another report showed the target draining or away, or after `MAX_HOLD_S`.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.marks: dict[TargetId, LeavingMark] = {}
        self.configured: dict[TargetId, Target] = {}
        self.listeners: list[Listener] = []

    def is_leaving(self, target: TargetId) -> bool:
        """Tell whether the target takes no new work."""
        return target in self.marks

    def exclude_leaving(self, replicas: Sequence[TargetId]) -> tuple[TargetId, ...]:
        """Return the replicas that are not leaving, or all if every one is."""
        staying = tuple(item for item in replicas if item not in self.marks)
        return staying or tuple(replicas)

    def mark(self, target: TargetId, source: LeavingSource) -> None:
        """Note that a target is leaving, and tell the listeners if it is news."""
        mark = self.marks.get(target)
        if mark is not None:
            mark.marked_at = self.clock.now()
            mark.serving_reports = 0
            mark.was_seen_away |= source is LeavingSource.HEALTH
            return
        self.marks[target] = LeavingMark(source, self.clock.now())
        for listener in self.listeners:
            listener(target)

    def on_configuration(self, configuration: Configuration) -> None:
        """Mark the targets that the configuration calls leaving.

        A target whose entry changed to serving is given work again.
        """
        for target_id, target in configuration.targets.items():
            if target.state is TargetState.LEAVING:
                self.mark(target_id, LeavingSource.CONFIGURATION)
            elif self.configured.get(target_id, target) != target:
                self.marks.pop(target_id, None)
        self.configured = dict(configuration.targets)
        for target_id in set(self.marks) - set(self.configured):
            del self.marks[target_id]

    def on_health(self, target: TargetId, is_draining: bool) -> None:
        """Take a health report in."""
        if is_draining:
            self.mark(target, LeavingSource.HEALTH)
            return
        mark = self.marks.get(target)
        if mark is None or mark.source is LeavingSource.CONFIGURATION:
            return
        mark.serving_reports += 1
        is_old = self.clock.now() - mark.marked_at >= MAX_HOLD_S
        if mark.serving_reports >= SERVING_REPORTS and (mark.was_seen_away or is_old):
            del self.marks[target]

    def on_unreachable(self, target: TargetId) -> None:
        """Take in that a target gave no health report."""
        mark = self.marks.get(target)
        if mark is not None:
            mark.was_seen_away = True
            mark.serving_reports = 0
