"""Notices to other processes about what has just become known, such as of targets.

What becomes known within a moment is told in one notice.
"""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

import gevent

from ..core.common.clock import Clock
from ..core.membership.peer_messages import PeerMessage
from ..ids import EntryId
from .links import PeerLinks

COLLECT_S = 0.003  # Time for which further subjects join a notice.

Subject = TypeVar("Subject")


class CollectedNotices(ABC, Generic[Subject]):
    """Collects subjects, such as targets, and sends notices about them.

    `get_others` returns the other processes that callers are sent to. At most
    `max_notified` of them get a notice, chosen at random.
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
        self.collected: dict[Subject, float] = {}

    @abstractmethod
    def make_notice(self, subjects: dict[Subject, float]) -> PeerMessage | None:
        """Return the notice about subjects, which have the values of `collect`.

        Return None if there is nothing to tell any more.
        """

    def collect(self, subject: Subject, value: float = 0.0) -> None:
        """Tell the others of a subject, together with others of the same moment."""
        if not self.collected:
            gevent.spawn_later(COLLECT_S, self.send_collected)
        self.collected[subject] = value

    def send_collected(self) -> None:
        """Send one notice about the collected subjects."""
        collected, self.collected = self.collected, {}
        self.send(collected, self.max_notified)

    def send(self, subjects: dict[Subject, float], count: int) -> None:
        """Send a notice about subjects to others, `count` of them at most."""
        notice = self.make_notice(subjects)
        if notice is None:
            return
        others = self.get_others()
        for entry in self.rng.sample(others, min(count, len(others))):
            self.links.send(entry, notice)
