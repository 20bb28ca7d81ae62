"""Exponential backoff with jitter for dialling peers that could not be reached."""

import random

from ..ids import EntryId

MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class Backoff:
    """Delays the next dial to a peer after each failure; times are in seconds."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.failures: dict[EntryId, int] = {}
        self.retry_at: dict[EntryId, float] = {}

    def may_dial(self, peer: EntryId, now: float) -> bool:
        """Return whether the peer may be dialled at the time `now`."""
        return now >= self.retry_at.get(peer, 0.0)

    def note_failure(self, peer: EntryId, now: float) -> None:
        """Record a failed dial."""
        count = self.failures[peer] = self.failures.get(peer, 0) + 1
        max_delay_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**count)
        self.retry_at[peer] = now + self.rng.uniform(MIN_BACKOFF_S, max_delay_s)

    def note_success(self, peer: EntryId) -> None:
        """Record a successful dial."""
        self.failures.pop(peer, None)
        self.retry_at.pop(peer, None)
