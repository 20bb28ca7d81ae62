"""The rate limits that targets name in their answers, as far as they are known here.

A target in need names how many requests a second it takes from all processes together.
The limit holds for as long as its answers name it. Answers arrive late and out of
order, so one that names no limit lifts it only if its call was sent after the latest
one that did was received.
"""

from collections.abc import Callable
from enum import Enum

import msgspec

from ..ids import TargetId

OWN_CALL = "own_call"


class LimitNews(msgspec.Struct, frozen=True):
    """What an answer of a target says of its limit.

    `per_s` is the number of requests a second that the target takes, and None if its
    answer names no limit.
    """

    per_s: float | None


class LimitEvent(Enum):
    """A change of what is known of a target's limit."""

    NAMED = "named"
    CHANGED = "changed"
    LIFTED = "lifted"


class TargetLimit:
    """The limit of one target.

    `per_s` is in requests a second. `since` is the time at which it was first known
    here, and `confirmed_at` the time of the latest news that it holds, both in seconds.
    `source` is where that came from.
    """

    def __init__(self, per_s: float, now: float, source: str) -> None:
        self.per_s = per_s
        self.since = now
        self.confirmed_at = now
        self.source = source


# Gets the event, the target and its limit.
LimitListener = Callable[[LimitEvent, TargetId, TargetLimit], None]


class TargetLimits:
    """The limits of all targets; `listeners` are told of every change."""

    def __init__(self) -> None:
        self.limits: dict[TargetId, TargetLimit] = {}
        self.listeners: list[LimitListener] = []

    def is_limited(self, target: TargetId) -> bool:
        """Return whether a limit of the target is known."""
        return target in self.limits

    def note_answer(
        self, target: TargetId, news: LimitNews, sent_at: float, now: float
    ) -> None:
        """Record what the answer to a call that was sent at `sent_at` says."""
        if news.per_s is not None:
            self.name(target, news.per_s, now, OWN_CALL)
            return
        limit = self.limits.get(target)
        if limit is not None and sent_at >= limit.confirmed_at:
            self.lift(target)

    def name(self, target: TargetId, per_s: float, now: float, source: str) -> None:
        """Record that a limit holds."""
        limit = self.limits.get(target)
        if limit is None:
            limit = self.limits[target] = TargetLimit(per_s, now, source)
            self.notify(LimitEvent.NAMED, target, limit)
            return
        is_changed = limit.per_s != per_s
        limit.per_s, limit.confirmed_at, limit.source = per_s, now, source
        if is_changed:
            self.notify(LimitEvent.CHANGED, target, limit)

    def lift(self, target: TargetId) -> None:
        """Record that a limit no longer holds."""
        self.notify(LimitEvent.LIFTED, target, self.limits.pop(target))

    def notify(self, event: LimitEvent, target: TargetId, limit: TargetLimit) -> None:
        """Tell the listeners of a change."""
        for listener in self.listeners:
            listener(event, target, limit)

    def describe(self, target: TargetId, now: float) -> dict | None:
        """Return the limit of a target for a state dump, or None."""
        limit = self.limits.get(target)
        if limit is None:
            return None
        return {
            "per_s": limit.per_s,
            "source": limit.source,
            "held_ms": int((now - limit.since) * 1_000),
            "age_ms": int((now - limit.confirmed_at) * 1_000),
        }

    def keep_only(self, is_listed: Callable[[TargetId], bool]) -> None:
        """Forget the limits of targets that are no longer listed."""
        for target in [item for item in self.limits if not is_listed(item)]:
            del self.limits[target]
