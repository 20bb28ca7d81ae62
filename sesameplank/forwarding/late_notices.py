"""Notices between VMs about targets to which calls are late.

A target that pauses or turns slow delays the calls of every VM. The first VM that
notices tells the others, which then prefer other replicas for a moment.
"""

import random
from collections.abc import Callable, Sequence

from ..core.common.clock import Clock
from ..core.forwarding.placement import Placement
from ..core.membership.peer_messages import TargetsLate
from ..ids import EntryId, TargetId
from ..peers import PeerContext, PeerLinks
from ..peers.collected_notices import CollectedNotices

MAX_NOTIFIED = 16  # VMs
MAX_NOTICE_AGE_S = 0.1


class LateNotices(CollectedNotices[TargetId]):
    """Sends and receives the notices of this process."""

    max_notified = MAX_NOTIFIED

    def __init__(
        self,
        links: PeerLinks,
        clock: Clock,
        rng: random.Random,
        placement: Placement,
        get_others: Callable[[], Sequence[EntryId]],
    ) -> None:
        super().__init__(links, clock, rng, get_others)
        self.placement = placement
        links.register(TargetsLate, self.on_notice)

    def make_notice(self, targets: dict[TargetId, float]) -> TargetsLate:
        """Return the notice about targets, with the age of their late calls."""
        return TargetsLate(
            tuple((target, int(age_s * 1_000)) for target, age_s in targets.items())
        )

    def on_notice(self, message: TargetsLate, context: PeerContext) -> None:
        """Record the late targets that another VM reports, unless it is old."""
        if context.age_s > MAX_NOTICE_AGE_S:
            return
        now = self.clock.now()
        for target, age_ms in message.targets:
            if target in self.placement.views:
                self.placement.note_late(target, age_ms / 1_000, now)
