"""Notices between VMs about the rate limits that targets name.

A VM hears of a limit in the answers to its own calls only. The first one that does
tells the others, which may call the target without knowing it, also through batches. As
long as a limit holds, each VM that has heard it tells it again to a few others now and
then, since a process may have started meanwhile.
"""

import random
from collections.abc import Callable, Sequence

from ..core.common.clock import Clock
from ..core.limits.limit_parts import ActiveVmParts
from ..core.limits.target_limits import OWN_CALL, LimitEvent, TargetLimit, TargetLimits
from ..core.membership.peer_messages import TargetLimitNotice
from ..core.published.target_table import TargetTable
from ..ids import EntryId, TargetId
from ..peers import PeerContext, PeerLinks
from ..peers.collected_notices import CollectedNotices

REPEAT_INTERVAL_S = 2.0
REPEATED_TO = 4  # VMs
MAX_NOTIFIED = 64  # VMs; the others hear from their own calls or from repetitions.
MAX_NOTICE_AGE_S = 1.0


class LimitNotices(CollectedNotices[TargetId]):
    """Sends and receives the notices of this process."""

    max_notified = MAX_NOTIFIED

    def __init__(
        self,
        links: PeerLinks,
        clock: Clock,
        rng: random.Random,
        limits: TargetLimits,
        parts: ActiveVmParts,
        table: TargetTable,
        get_others: Callable[[], Sequence[EntryId]],
    ) -> None:
        super().__init__(links, clock, rng, get_others)
        self.limits = limits
        self.parts = parts
        self.table = table
        self.repeat_at = clock.now() + REPEAT_INTERVAL_S
        limits.listeners.append(self.on_change)
        links.register(TargetLimitNotice, self.on_notice)

    def on_change(
        self, event: LimitEvent, target: TargetId, limit: TargetLimit
    ) -> None:
        """Tell the other VMs what an answer to this process has changed."""
        if limit.source == OWN_CALL and event is not LimitEvent.EXPIRED:
            self.collect(target)

    def repeat(self) -> None:
        """Tell a few others the limits that were confirmed here, if it is time."""
        now = self.clock.now()
        if now < self.repeat_at:
            return
        since, self.repeat_at = now - REPEAT_INTERVAL_S, now + REPEAT_INTERVAL_S
        confirmed = {
            target: limit.confirmed_at
            for target, limit in self.limits.limits.items()
            if limit.source == OWN_CALL and limit.confirmed_at >= since
        }
        self.send(confirmed, REPEATED_TO)

    def make_notice(self, targets: dict[TargetId, float]) -> TargetLimitNotice | None:
        """Return the notice of what is known of targets' limits, if there is any."""
        now = self.clock.now()
        named, lifted = [], []
        for target in targets:
            limit = self.limits.limits.get(target)
            if limit is None:
                continue
            if limit.lifted_at is None:
                age_ms = int((now - limit.confirmed_at) * 1_000)
                named.append((target, limit.per_s, age_ms))
            else:
                lifted.append((target, int((now - limit.lifted_at) * 1_000)))
        if not named and not lifted:
            return None
        largest = self.parts.fleet.largest
        return TargetLimitNotice(tuple(named), tuple(lifted), largest)

    def on_notice(self, message: TargetLimitNotice, context: PeerContext) -> None:
        """Record the limits that another VM has heard of, unless the notice is old."""
        if context.age_s > MAX_NOTICE_AGE_S:
            return
        now = self.clock.now()
        self.parts.fleet.note_told(message.largest_fleet, now)
        for target, per_s, age_ms in message.named:
            if self.table.is_listed(target):
                confirmed_at = now - context.age_s - age_ms / 1_000
                self.limits.name(target, per_s, confirmed_at, context.sender)
        for target, age_ms in message.lifted:
            lifted_at = now - context.age_s - age_ms / 1_000
            self.limits.lift(target, lifted_at, now, context.sender)
