"""When a peer that could not be reached is dialled again."""

import random

from ..ids import EntryId

RETRY_MIN_S = 0.05
RETRY_MAX_S = 1.0


class Backoff:
    """Puts the next dial to a peer off by a growing time with jitter."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.failures: dict[EntryId, int] = {}
        self.retry_at: dict[EntryId, float] = {}

    def may_try(self, peer: EntryId, now: float) -> bool:
        """Tell whether the peer may be dialled at this time in seconds."""
        return now >= self.retry_at.get(peer, 0.0)

    def note_failure(self, peer: EntryId, now: float) -> None:
        """Take in that a dial failed."""
        count = self.failures[peer] = self.failures.get(peer, 0) + 1
        longest_s = min(RETRY_MAX_S, RETRY_MIN_S * 2**count)
        self.retry_at[peer] = now + self.rng.uniform(RETRY_MIN_S, longest_s)

    def note_success(self, peer: EntryId) -> None:
        """Take in that a dial succeeded."""
        self.failures.pop(peer, None)
        self.retry_at.pop(peer, None)
