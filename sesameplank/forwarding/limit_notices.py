"""Notices between VMs about the rate limits that targets name.

A VM hears of a limit in the answers to its own calls only. The first one that does
tells the others, which may call the target without knowing it, also through batches. As
long as a limit holds, each VM that has heard it tells it again to a few others now and
then, since a process may have started meanwhile.
"""

import random
from collections.abc import Callable, Sequence

import gevent

from ..core.clock import Clock
from ..core.limit_parts import ActiveVmParts
from ..core.peer_messages import TargetLimitNotice
from ..core.target_limits import OWN_CALL, LimitEvent, TargetLimit, TargetLimits
from ..core.target_table import TargetTable
from ..ids import EntryId, TargetId
from ..peers import PeerContext, PeerLinks

COLLECT_S = 0.003  # Time for which further limits join a notice.
REPEAT_INTERVAL_S = 2.0
REPEATED_TO = 4  # VMs
MAX_NOTIFIED = 64  # VMs; the others hear from their own calls or from repetitions.
MAX_NOTICE_AGE_S = 1.0


class LimitNotices:
    """Sends and receives the notices of this process.

    `get_others` returns the other VMs that callers are sent to.
    """

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
        self.links = links
        self.clock = clock
        self.rng = rng
        self.limits = limits
        self.parts = parts
        self.table = table
        self.get_others = get_others
        self.collected: set[TargetId] = set()
        self.repeat_at = clock.now() + REPEAT_INTERVAL_S
        limits.listeners.append(self.on_change)
        links.register(TargetLimitNotice, self.on_notice)

    def on_change(
        self, event: LimitEvent, target: TargetId, limit: TargetLimit
    ) -> None:
        """Tell the other VMs what an answer to this process has changed."""
        if limit.source != OWN_CALL or event is LimitEvent.EXPIRED:
            return
        if not self.collected:
            gevent.spawn_later(COLLECT_S, self.send_collected)
        self.collected.add(target)

    def send_collected(self) -> None:
        """Send the collected limits to the others, MAX_NOTIFIED of them at most."""
        collected, self.collected = self.collected, set()
        self.send(collected, self.choose_others(MAX_NOTIFIED))

    def choose_others(self, count: int) -> list[EntryId]:
        """Return random other VMs, `count` of them at most."""
        others = self.get_others()
        return self.rng.sample(others, min(count, len(others)))

    def repeat(self) -> None:
        """Tell a few others the limits that were confirmed here, if it is time."""
        now = self.clock.now()
        if now < self.repeat_at:
            return
        since, self.repeat_at = now - REPEAT_INTERVAL_S, now + REPEAT_INTERVAL_S
        confirmed = [
            target
            for target, limit in self.limits.limits.items()
            if limit.source == OWN_CALL and limit.confirmed_at >= since
        ]
        self.send(confirmed, self.choose_others(REPEATED_TO))

    def send(
        self, targets: Sequence[TargetId] | set[TargetId], others: Sequence[EntryId]
    ) -> None:
        """Send what is known of targets' limits to other VMs."""
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
            return
        notice = TargetLimitNotice(tuple(named), tuple(lifted), self.parts.largest)
        for entry in others:
            self.links.send(entry, notice)

    def on_notice(self, message: TargetLimitNotice, context: PeerContext) -> None:
        """Record the limits that another VM has heard of, unless the notice is old."""
        if context.age_s > MAX_NOTICE_AGE_S:
            return
        now = self.clock.now()
        self.parts.note_told(message.largest_fleet, now)
        for target, per_s, age_ms in message.named:
            if self.table.is_listed(target):
                confirmed_at = now - context.age_s - age_ms / 1_000
                self.limits.name(target, per_s, confirmed_at, context.sender)
        for target, age_ms in message.lifted:
            lifted_at = now - context.age_s - age_ms / 1_000
            self.limits.lift(target, lifted_at, now, context.sender)
