"""Tracking of the targets that accept no new work, from several sources."""

from collections.abc import Callable, Sequence
from enum import Enum

from ...conf import Configuration, Target, TargetState
from ...ids import TargetId
from ..common.clock import Clock

MAX_HOLD_S = 120.0  # Serving reports alone can end an older mark.
MIN_SERVING_REPORTS = 2  # Consecutive reports needed to end a mark.


class LeavingSource(Enum):
    """The source of the information that a target is leaving."""

    CONFIGURATION = "configuration"
    ANSWER = "answer"
    HEALTH = "health"
    PEER = "peer"


class LeavingMark:
    """The mark of a leaving target, and the observations that can end it.

    `was_unavailable` is true if a health check found the target draining or
    unreachable. `serving_reports` counts the consecutive "serving" reports.
    """

    def __init__(self, source: LeavingSource, now: float) -> None:
        self.source = source
        self.marked_at = now
        self.was_unavailable = source is LeavingSource.HEALTH
        self.serving_reports = 0


LeavingListener = Callable[[TargetId], None]


class LeavingTargets:
    """Marks leaving targets and decides when a target accepts work again.

    A health report that says "serving" may be outdated. Such reports end a mark
    only if a health check found the target draining or unreachable before, or if
    the mark is older than `MAX_HOLD_S`. They never end a mark that the
    configuration set.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.marks: dict[TargetId, LeavingMark] = {}
        self.configured: dict[TargetId, Target] = {}
        self.listeners: list[LeavingListener] = []

    def is_leaving(self, target: TargetId) -> bool:
        """Return whether the target accepts no new work."""
        return target in self.marks

    def exclude_leaving(self, replicas: Sequence[TargetId]) -> tuple[TargetId, ...]:
        """Return the replicas that are not leaving, or all if none would remain."""
        staying = tuple(item for item in replicas if item not in self.marks)
        return staying or tuple(replicas)

    def mark(self, target: TargetId, source: LeavingSource) -> None:
        """Mark a target as leaving, and notify the listeners if the mark is new.

        A repeated mark restarts the time until `MAX_HOLD_S`; its source stays.
        """
        mark = self.marks.get(target)
        if mark is not None:
            mark.marked_at = self.clock.now()
            mark.serving_reports = 0
            mark.was_unavailable |= source is LeavingSource.HEALTH
            return
        self.marks[target] = LeavingMark(source, self.clock.now())
        for listener in self.listeners:
            listener(target)

    def on_configuration(self, configuration: Configuration) -> None:
        """Mark the targets that are leaving according to the configuration.

        The mark of any other target is removed if the definition of the target has
        changed, or if the configuration no longer contains the target.
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
        """Apply a health report of a target."""
        if is_draining:
            self.mark(target, LeavingSource.HEALTH)
            return
        mark = self.marks.get(target)
        if mark is None or mark.source is LeavingSource.CONFIGURATION:
            return
        mark.serving_reports += 1
        is_hold_over = self.clock.now() - mark.marked_at >= MAX_HOLD_S
        if mark.serving_reports >= MIN_SERVING_REPORTS and (
            mark.was_unavailable or is_hold_over
        ):
            del self.marks[target]

    def on_unreachable(self, target: TargetId) -> None:
        """Record that the target did not answer a health check."""
        mark = self.marks.get(target)
        if mark is not None:
            mark.was_unavailable = True
            mark.serving_reports = 0
