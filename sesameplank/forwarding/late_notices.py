"""Notices between VMs about targets to which calls are late.

A target that pauses or turns slow delays the calls of every VM. The first VM that
notices tells the others, which then prefer other replicas for a moment.
"""

import random
from collections.abc import Callable, Sequence

import gevent

from ..core.clock import Clock
from ..core.peer_messages import TargetsLate
from ..core.placement import Placement
from ..ids import EntryId, TargetId
from ..peers import PeerContext, PeerLinks

MAX_NOTIFIED = 16  # VMs
COLLECT_S = 0.003  # Time for which further late targets join a notice.
MAX_NOTICE_AGE_S = 0.1


class LateNotices:
    """Sends and receives the notices of this process.

    `get_others` returns the other VMs that callers are sent to.
    """

    def __init__(
        self,
        links: PeerLinks,
        clock: Clock,
        rng: random.Random,
        placement: Placement,
        get_others: Callable[[], Sequence[EntryId]],
    ) -> None:
        self.links = links
        self.clock = clock
        self.rng = rng
        self.placement = placement
        self.get_others = get_others
        self.collected: dict[TargetId, float] = {}
        links.register(TargetsLate, self.on_notice)

    def add(self, target: TargetId, age_s: float) -> None:
        """Notify the other VMs that a call is late after `age_s` seconds."""
        if not self.collected:
            gevent.spawn_later(COLLECT_S, self.send)
        self.collected[target] = age_s

    def send(self) -> None:
        """Send the collected targets to other VMs, MAX_NOTIFIED of them at most."""
        collected, self.collected = self.collected, {}
        notice = TargetsLate(
            tuple((target, int(age_s * 1_000)) for target, age_s in collected.items())
        )
        others = self.get_others()
        for entry in self.rng.sample(others, min(MAX_NOTIFIED, len(others))):
            self.links.send(entry, notice)

    def on_notice(self, message: TargetsLate, context: PeerContext) -> None:
        """Record the late targets that another VM reports, unless it is old."""
        if context.age_s > MAX_NOTICE_AGE_S:
            return
        now = self.clock.now()
        for target, age_ms in message.targets:
            if target in self.placement.views:
                self.placement.note_late(target, age_ms / 1_000, now)
