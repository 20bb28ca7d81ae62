"""Exponential backoff with jitter for dialling peers that could not be reached."""

import random

from ..ids import EntryId

MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MAX_FAILURES = 10  # More make no difference.
# A VM without power does not answer, and after a loss of power it may be back soon.
MIN_DIAL_TIMEOUT_S = 0.25
MAX_DIAL_TIMEOUT_S = 1.0


class Backoff:
    """Delays the next dial to a peer after each failure; times are in seconds."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.failures: dict[EntryId, int] = {}
        self.retry_at: dict[EntryId, float] = {}

    def may_dial(self, peer: EntryId, now: float) -> bool:
        """Return whether the peer may be dialled at the time `now`."""
        return now >= self.retry_at.get(peer, 0.0)

    def get_dial_timeout_s(self, peer: EntryId) -> float:
        """Return how long the next dial to the peer may take; longer after failures."""
        timeout_s = MIN_DIAL_TIMEOUT_S * 2 ** self.failures.get(peer, 0)
        return min(MAX_DIAL_TIMEOUT_S, timeout_s)

    def note_failure(self, peer: EntryId, now: float) -> None:
        """Record a failed dial."""
        count = min(MAX_FAILURES, self.failures.get(peer, 0) + 1)
        self.failures[peer] = count
        max_delay_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**count)
        self.retry_at[peer] = now + self.rng.uniform(MIN_BACKOFF_S, max_delay_s)

    def note_success(self, peer: EntryId) -> None:
        """Record a successful dial."""
        self.failures.pop(peer, None)
        self.retry_at.pop(peer, None)
