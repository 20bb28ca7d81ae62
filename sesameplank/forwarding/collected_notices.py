"""Notices to other VMs about what has just become known of targets.

What becomes known within a moment is told in one notice.
"""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

import gevent

from ..core.common.clock import Clock
from ..core.membership.peer_messages import PeerMessage
from ..ids import EntryId, TargetId
from ..peers import PeerLinks

COLLECT_S = 0.003  # Time for which further targets join a notice.


class CollectedNotices(ABC):
    """Collects targets, and sends notices about them.

    `get_others` returns the other VMs that callers are sent to. At most `max_notified`
    of them get a notice, chosen at random.
    """

    max_notified: int

    def __init__(
        self,
        links: PeerLinks,
        clock: Clock,
        rng: random.Random,
        get_others: Callable[[], Sequence[EntryId]],
    ) -> None:
        self.links = links
        self.clock = clock
        self.rng = rng
        self.get_others = get_others
        self.collected: dict[TargetId, float] = {}

    @abstractmethod
    def make_notice(self, targets: dict[TargetId, float]) -> PeerMessage | None:
        """Return the notice about targets, which have the values of `collect`.

        Return None if there is nothing to tell any more.
        """

    def collect(self, target: TargetId, value: float = 0.0) -> None:
        """Tell the other VMs of a target, together with others of the same moment."""
        if not self.collected:
            gevent.spawn_later(COLLECT_S, self.send_collected)
        self.collected[target] = value

    def send_collected(self) -> None:
        """Send one notice about the collected targets."""
        collected, self.collected = self.collected, {}
        self.send(collected, self.max_notified)

    def send(self, targets: dict[TargetId, float], count: int) -> None:
        """Send a notice about targets to other VMs, `count` of them at most."""
        notice = self.make_notice(targets)
        if notice is None:
            return
        others = self.get_others()
        for entry in self.rng.sample(others, min(count, len(others))):
            self.links.send(entry, notice)
