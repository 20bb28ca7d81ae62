"""Whether a process's view of what the platform publishes is stale."""

from enum import Enum

STALE_VIEW_AGE_S = 10.0
REPEAT_INTERVAL_S = 10.0


class ViewEvent(Enum):
    """What is to be told of a view.

    STALE is told once more each REPEAT_INTERVAL_S while it lasts, CURRENT at its end.
    """

    STALE = "view_stale"
    CURRENT = "view_current"


class ViewAge:
    """The age of the view of a process that started at `started_at`, in seconds.

    The view is stale if it was not confirmed for STALE_VIEW_AGE_S, or never was and the
    start is as long ago. `is_stale` is the result of the last `update`.
    """

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.is_stale = False
        self.told_at = float("-inf")

    def get_age_s(self, confirmed_age_s: float | None, now: float) -> float:
        """Return the age of the view, or the time since the start without any."""
        return now - self.started_at if confirmed_age_s is None else confirmed_age_s

    def update(self, confirmed_age_s: float | None, now: float) -> ViewEvent | None:
        """Apply the time since the last confirmation, None if there was none.

        Return what is to be told now, or None.
        """
        was_stale = self.is_stale
        self.is_stale = self.get_age_s(confirmed_age_s, now) >= STALE_VIEW_AGE_S
        if not self.is_stale:
            return ViewEvent.CURRENT if was_stale else None
        if was_stale and now - self.told_at < REPEAT_INTERVAL_S:
            return None
        self.told_at = now
        return ViewEvent.STALE
