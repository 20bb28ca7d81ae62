"""Recent look-ups of addresses by callers.

A look-up takes part of the time that its caller waits for the next answer.
"""

from collections import deque

RECENT_S = 0.1  # A caller sends its request a few round trips after the look-up.


class RecentLookups:
    """The callers that looked up addresses within the last RECENT_S seconds."""

    def __init__(self) -> None:
        self.lookups: deque[tuple[float, str]] = deque()
        self.last_at: dict[str, float] = {}

    def note(self, caller: str, now: float) -> None:
        """Record a look-up by the host `caller`."""
        self.expire(now)
        self.lookups.append((now, caller))
        self.last_at[caller] = now

    def is_recent(self, caller: str, now: float) -> bool:
        """Return whether a caller looked up addresses recently."""
        last_at = self.last_at.get(caller)
        return last_at is not None and now - last_at < RECENT_S

    def expire(self, now: float) -> None:
        """Remove the look-ups that are no longer recent."""
        while self.lookups and now - self.lookups[0][0] >= RECENT_S:
            at, caller = self.lookups.popleft()
            if self.last_at.get(caller) == at:
                del self.last_at[caller]
