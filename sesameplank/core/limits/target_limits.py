"""The rate limits that targets name in their answers, and what is left of them.

A target in need names how many requests a second it takes from all processes together.
The limit holds for as long as its answers name it. Answers arrive late and out of
order, so one that names no limit lifts it only if its call was sent after the latest
one that did was received. A lifted limit doubles every second before it is dropped, so
that the full load doesn't return in one step.

Every call to a limited target takes a token of this process's part where it is sent,
whatever it is sent for. Nothing gives a token back.
"""

from collections.abc import Callable, Sequence
from enum import Enum

import msgspec

from ...ids import EntryId, TargetId
from .limit_parts import LimitParts

OWN_CALL = "own_call"
BURST_S = 0.5  # Time for which a process can save its part, besides one token.
RAMP_S = 4.0  # Time in which a lifted limit still holds, at a growing rate.
RAMP_DOUBLING_S = 1.0
MIN_RAMP_PER_S = 0.5  # A lifted limit of 0 would not grow.
# Time until a limit that no answer has confirmed is tried again.
EXPIRY_S = 15.0
NEVER = float("inf")


class LimitNews(msgspec.Struct, frozen=True):
    """What an answer of a target says of its limit.

    `per_s` is the number of requests a second that the target takes, and None if its
    answer names no limit.
    """

    per_s: float | None


class UnreadableLimit(msgspec.Struct, frozen=True):
    """A limit in an answer that can't be read, and why; it changes nothing."""

    reason: str


LimitStatement = LimitNews | UnreadableLimit


class LimitEvent(Enum):
    """A change of what is known of a target's limit."""

    NAMED = "named"
    CHANGED = "changed"
    LIFTED = "lifted"
    EXPIRED = "expired"


class TargetLimit:
    """The limit of one target, with the token bucket of this process.

    `per_s` is in requests a second, and `part_per_s` the part of this process. `since`
    is the time at which the limit was first known here, and `confirmed_at` that of the
    latest news that it holds; it comes from `source`. `lifted_at` is the time from
    which it no longer holds, or None. Times are in seconds.
    """

    def __init__(self, per_s: float, now: float, source: str) -> None:
        self.per_s = per_s
        self.since = now
        self.confirmed_at = now
        self.source = source
        self.lifted_at: float | None = None
        self.tokens = 0.0
        self.part_per_s = 0.0
        self.updated_at = now

    def get_per_s(self, now: float) -> float:
        """Return the limit, which grows once it is lifted."""
        if self.lifted_at is None:
            return self.per_s
        doublings = (now - self.lifted_at) / RAMP_DOUBLING_S
        return max(self.per_s, MIN_RAMP_PER_S) * 2.0**doublings

    @property
    def capacity(self) -> float:
        """The greatest number of tokens that this process can hold."""
        return self.part_per_s * BURST_S + 1.0

    def refill(self, part_per_s: float, now: float) -> None:
        """Add the tokens earned by now, and earn at `part_per_s` from now on."""
        self.tokens += self.part_per_s * max(0.0, now - self.updated_at)
        self.part_per_s = part_per_s
        self.tokens = min(self.capacity, self.tokens)
        self.updated_at = now

    def get_needed(self, reserve: float) -> float:
        """Return how many tokens are needed for a call.

        `reserve` is the share of the capacity beyond one token that has to be left.
        """
        return 1.0 + reserve * (self.capacity - 1.0)


# Gets the event, the target and its limit.
LimitListener = Callable[[LimitEvent, TargetId, TargetLimit], None]
# Gets the target and the reason.
UnreadableListener = Callable[[TargetId, str], None]


class TargetLimits:
    """The limits of all targets.

    `listeners` are told of every change, and `unreadable_listeners` of every limit that
    can't be read.
    """

    def __init__(self, parts: LimitParts) -> None:
        self.parts = parts
        self.limits: dict[TargetId, TargetLimit] = {}
        self.listeners: list[LimitListener] = []
        self.unreadable_listeners: list[UnreadableListener] = []

    def is_limited(self, target: TargetId) -> bool:
        """Return whether a limit of the target is known."""
        return target in self.limits

    def note_answer(
        self, target: TargetId, statement: LimitStatement, sent_at: float, now: float
    ) -> None:
        """Record what the answer to a call that was sent at `sent_at` says."""
        if isinstance(statement, UnreadableLimit):
            for listener in self.unreadable_listeners:
                listener(target, statement.reason)
        elif statement.per_s is None:
            self.lift(target, sent_at, now)
        else:
            self.name(target, statement.per_s, now, OWN_CALL)

    def name(
        self, target: TargetId, per_s: float, confirmed_at: float, source: str
    ) -> None:
        """Record that a limit held at a time, unless there is later news."""
        limit = self.limits.get(target)
        if limit is None:
            limit = self.limits[target] = TargetLimit(per_s, confirmed_at, source)
            limit.part_per_s = self.parts.get_part_per_s(target, per_s)
            self.notify(LimitEvent.NAMED, target, limit)
            return
        if confirmed_at < max(limit.confirmed_at, limit.lifted_at or 0.0):
            return
        is_changed = limit.per_s != per_s or limit.lifted_at is not None
        limit.per_s, limit.confirmed_at, limit.source = per_s, confirmed_at, source
        limit.lifted_at = None
        if is_changed:
            self.notify(LimitEvent.CHANGED, target, limit)

    def lift(
        self, target: TargetId, sent_at: float, now: float, source: str = OWN_CALL
    ) -> None:
        """Record that the answer to a call sent at `sent_at` named no limit."""
        limit = self.limits.get(target)
        if limit is None or limit.lifted_at is not None:
            return
        if sent_at >= limit.confirmed_at:
            limit.lifted_at, limit.source = now, source
            self.notify(LimitEvent.LIFTED, target, limit)

    def update(self, now: float) -> None:
        """Apply changed parts, lift limits not confirmed, and drop those lifted."""
        for target, limit in list(self.limits.items()):
            self.get(target, now)
            if limit.lifted_at is not None:
                if now - limit.lifted_at >= RAMP_S:
                    del self.limits[target]
            elif now - limit.confirmed_at >= EXPIRY_S:
                limit.lifted_at = now
                self.notify(LimitEvent.EXPIRED, target, limit)

    def notify(self, event: LimitEvent, target: TargetId, limit: TargetLimit) -> None:
        """Tell the listeners of a change."""
        for listener in self.listeners:
            listener(event, target, limit)

    def get(self, target: TargetId, now: float) -> TargetLimit | None:
        """Return the limit of a target with the tokens earned by now, or None."""
        limit = self.limits.get(target)
        if limit is not None:
            per_s = limit.get_per_s(now)
            limit.refill(self.parts.get_part_per_s(target, per_s), now)
        return limit

    def get_wait_s(self, target: TargetId, now: float, reserve: float = 0.0) -> float:
        """Return the time until this process may call a target, in seconds.

        It is NEVER if the process has no part of the limit. `reserve` is the share of
        the saved tokens that is left for more urgent calls, from 0 to 1.
        """
        limit = self.get(target, now)
        if limit is None:
            return 0.0
        missing = limit.get_needed(reserve) - limit.tokens
        if missing <= 0.0:
            return 0.0
        return missing / limit.part_per_s if limit.part_per_s else NEVER

    def get_holders(self, target: TargetId, now: float) -> Sequence[EntryId]:
        """Return the processes that have a part of a target's limit, if any has."""
        limit = self.limits.get(target)
        if limit is None:
            return ()
        return self.parts.get_holders(target, limit.get_per_s(now))

    def has_part(self, target: TargetId, now: float) -> bool:
        """Return whether this process may call a target now or later."""
        return self.get_wait_s(target, now) < NEVER

    def take(self, target: TargetId, now: float, reserve: float = 0.0) -> bool:
        """Take a token for a call that is sent now; return False if there is none."""
        limit = self.get(target, now)
        if limit is None:
            return True
        if limit.tokens < limit.get_needed(reserve):
            return False
        limit.tokens -= 1.0
        return True

    def describe(self, target: TargetId, now: float) -> dict | None:
        """Return the limit of a target for a state dump, or None."""
        limit = self.get(target, now)
        if limit is None:
            return None
        return {
            "per_s": limit.per_s,
            "part_per_s": round(limit.part_per_s, 4),
            "tokens": round(limit.tokens, 3),
            "is_lifted": limit.lifted_at is not None,
            "source": limit.source,
            "held_ms": int((now - limit.since) * 1_000),
            "age_ms": int((now - limit.confirmed_at) * 1_000),
        }

    def keep_only(self, is_listed: Callable[[TargetId], bool]) -> None:
        """Forget the limits of targets that are no longer listed."""
        for target in [item for item in self.limits if not is_listed(item)]:
            del self.limits[target]
