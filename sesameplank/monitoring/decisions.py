"""The latest decisions of a process and their reasons, in bounded memory."""

from collections import Counter, deque

import msgspec

from ..core.common.clock import Clock

MAX_DECISIONS_PER_KIND = 50
MAX_DETAIL_CHARACTERS = 300


class Decision(msgspec.Struct, frozen=True):
    """One decision, its reason, and its age in seconds."""

    kind: str
    reason: str
    detail: str
    age_s: float


class DecisionLog:
    """Stores the latest MAX_DECISIONS_PER_KIND decisions of each kind, and counts all.

    The kinds are few and fixed in the code. Many decisions of one kind do not
    evict those of another kind.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.decisions_by_kind: dict[str, deque[tuple[float, str, str]]] = {}
        self.counts: Counter[str] = Counter()

    def note(self, kind: str, reason: str, detail: str = "") -> None:
        """Record a decision; `detail` identifies what it concerns.

        A detail longer than MAX_DETAIL_CHARACTERS is truncated.
        """
        self.counts[kind] += 1
        if kind not in self.decisions_by_kind:
            self.decisions_by_kind[kind] = deque(maxlen=MAX_DECISIONS_PER_KIND)
        decided = (self.clock.now(), reason, detail[:MAX_DETAIL_CHARACTERS])
        self.decisions_by_kind[kind].append(decided)

    def get_state(self) -> tuple[Decision, ...]:
        """Return the stored decisions, the newest first."""
        now = self.clock.now()
        decisions = [
            Decision(kind, reason, detail, now - time)
            for kind, stored in self.decisions_by_kind.items()
            for time, reason, detail in reversed(stored)
        ]
        return tuple(sorted(decisions, key=lambda item: item.age_s))
