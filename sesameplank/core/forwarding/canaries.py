"""Calls of a request that is suspected to crash targets.

Such a request has one call in flight at a time, its canary, until a target answers it.
The other shards are called then.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .fanout_calls import NEVER, ShardState

if TYPE_CHECKING:
    from .fanout import Fanout

# A canary without an outcome for so many times the usual latency is no longer waited
# for.
CANARY_LATE_FACTOR = 4.0
CANARY_RECHECK_S = 0.02
CANARY_DELAY_S = 0.03  # After a crash, for its judgement.
MIN_TARGETS_WITH_SPARE = 2


class Canaries:
    """Holds the calls of one suspect request back, as long as necessary."""

    def __init__(self, fanout: Fanout) -> None:
        self.fanout = fanout
        self.quiet_until = -math.inf

    def note_crash(self, now: float) -> None:
        """Record that a target crashed under a call; the next one waits a little.

        What other processes saw of the crash may explain it.
        """
        self.quiet_until = now + CANARY_DELAY_S

    def hold(self, shard: ShardState, now: float) -> bool:
        """Return whether a call to a shard has to wait.

        It waits for the outcome of the canary, or if another shard can lose a target
        more easily. The request is withheld if none should lose any.
        """
        fanout = self.fanout
        if now < self.quiet_until or self.has_canary_in_flight(now):
            fanout.schedule_retry(shard, now + CANARY_RECHECK_S)
            return True
        most = max(map(self.count_targets, fanout.open_shards.values()))
        if fanout.needs_spare and most < MIN_TARGETS_WITH_SPARE:
            fanout.is_withheld = True
            return True
        if self.count_targets(shard) < most:
            fanout.schedule_retry(shard, now + CANARY_RECHECK_S)
            self.start_elsewhere(most, now)
            return True
        return False

    def count_targets(self, shard: ShardState) -> int:
        """Return how many targets of a shard may get a call."""
        return len(self.fanout.find_targets(shard.service))

    def start_elsewhere(self, targets: int, now: float) -> None:
        """Let a shard with so many targets make the next call."""
        for shard in self.fanout.open_shards.values():
            if self.count_targets(shard) == targets:
                self.fanout.schedule_retry(shard, now)
                return

    def has_canary_in_flight(self, now: float) -> bool:
        """Return whether the outcome of a recent call is still open."""
        sent_after = now - CANARY_LATE_FACTOR * self.fanout.plan.usual_call_s
        return any(
            call.sent_at > sent_after
            for shard in self.fanout.open_shards.values()
            for call in shard.calls.values()
        )

    def release(self, now: float) -> None:
        """Call the shards that have waited for the outcome of the canary."""
        for shard in self.fanout.open_shards.values():
            if not shard.calls and shard.retry_at != NEVER:
                self.fanout.schedule_retry(shard, now)
