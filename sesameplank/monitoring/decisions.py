"""The last decisions of a process, with their reasons, in bounded memory."""

from collections import Counter, deque

import msgspec

from ..core.clock import Clock

MAX_DECISIONS_EACH = 50
MAX_DETAIL_CHARACTERS = 300


class Decision(msgspec.Struct, frozen=True):
    """One decision: what was decided, why, and how long ago in seconds."""

    kind: str
    reason: str
    detail: str
    age_s: float


class DecisionLog:
    """Keeps the last MAX_DECISIONS_EACH decisions of each kind, and counts all.

    Kinds are few and fixed in the code; a flood of one kind leaves the others.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.noted: dict[str, deque[tuple[float, str, str]]] = {}
        self.counts: Counter[str] = Counter()

    def note(self, kind: str, reason: str, detail: str = "") -> None:
        """Remember a decision; the detail names whom it concerns."""
        self.counts[kind] += 1
        if kind not in self.noted:
            self.noted[kind] = deque(maxlen=MAX_DECISIONS_EACH)
        decided = (self.clock.now(), reason, detail[:MAX_DETAIL_CHARACTERS])
        self.noted[kind].append(decided)

    def get_state(self) -> tuple[Decision, ...]:
        """Return the decisions, the newest first."""
        now = self.clock.now()
        decisions = [
            Decision(kind, reason, detail, now - time)
            for kind, noted in self.noted.items()
            for time, reason, detail in reversed(noted)
        ]
        return tuple(sorted(decisions, key=lambda item: item.age_s))
