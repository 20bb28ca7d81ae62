"""Tests of the notices between VMs about the limits that targets name."""

import random

import gevent
import testtools

from sesameplank.core.common.clock import ManualClock
from sesameplank.core.limits.limit_parts import ActiveVmParts
from sesameplank.core.limits.target_limits import LimitNews, TargetLimits
from sesameplank.forwarding.limit_notices import (
    MAX_NOTICE_AGE_S,
    REPEAT_INTERVAL_S,
    REPEATED_TO,
    LimitNotices,
)
from sesameplank.peers import PeerContext
from sesameplank.peers.collected_notices import COLLECT_S

TARGET = "t1"
OTHERS = [f"vm{number}" for number in range(1, 9)]


class Table:
    """A list of targets with one entry."""

    def is_listed(self, target) -> bool:
        """Return whether the target is listed."""
        return target == TARGET


class Links:
    """Links that record what is sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, object]] = []

    def register(self, message_type, handler) -> None:
        """Ignore the handler, which the test calls itself."""

    def send(self, peer, message) -> None:
        """Record a message."""
        self.sent.append((peer, message))


class Vm:
    """A VM with its limits and notices."""

    def __init__(self, name: str, clock: ManualClock) -> None:
        self.clock = clock
        self.links = Links()
        self.parts = ActiveVmParts(name, 2)
        self.limits = TargetLimits(self.parts)
        self.notices = LimitNotices(
            self.links,
            clock,
            random.Random(1),
            self.limits,
            self.parts,
            Table(),
            lambda: OTHERS,
        )

    def answer(self, per_s: float | None) -> None:
        """Record an answer to a call that was sent just now, and send the notices."""
        now = self.clock.now()
        self.limits.note_answer(TARGET, LimitNews(per_s), now, now)
        gevent.sleep(2 * COLLECT_S)

    def get(self, message, age_s: float = 0.0) -> None:
        """Get a notice of another VM."""
        context = PeerContext("vm9", 1, age_s, float("inf"))
        self.notices.on_notice(message, context)


class LimitNoticeTests(testtools.TestCase):
    """VMs hear of limits that others were told."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.teller = Vm("vm0", self.clock)
        self.hearer = Vm("vm1", self.clock)

    def get_notices(self) -> list:
        """Return the notices sent since the last time."""
        sent, self.teller.links.sent = self.teller.links.sent, []
        return [message for _, message in sent]

    def test_all_others_hear_of_a_new_limit_and_of_its_end(self):
        for per_s, is_lifted in ((5.0, False), (None, True)):
            self.teller.answer(per_s)
            notices = self.get_notices()
            self.assertEqual(len(OTHERS), len(notices))
            self.hearer.get(notices[0])
            limit = self.hearer.limits.limits[TARGET]
            self.assertEqual(is_lifted, limit.lifted_at is not None)
            self.assertEqual("vm9", limit.source)
            self.clock.advance(0.1)

    def test_limit_that_holds_is_repeated_to_a_few(self):
        self.teller.answer(5.0)
        self.get_notices()
        for repeated in (REPEATED_TO, 0):
            self.clock.advance(REPEAT_INTERVAL_S)
            self.teller.notices.repeat()
            self.assertEqual(repeated, len(self.get_notices()))

    def test_old_notice_and_unlisted_targets_are_ignored(self):
        self.teller.answer(5.0)
        notice = self.get_notices()[0]
        self.hearer.get(notice, MAX_NOTICE_AGE_S + 0.1)
        self.assertEqual({}, self.hearer.limits.limits)
        self.hearer.notices.table.is_listed = lambda target: False
        self.hearer.get(notice)
        self.assertEqual({}, self.hearer.limits.limits)

    def test_notice_from_before_an_own_answer_changes_nothing(self):
        self.teller.answer(5.0)
        notice = self.get_notices()[0]
        self.clock.advance(0.5)
        self.hearer.answer(8.0)
        self.hearer.get(notice, 0.5)
        self.assertEqual(8.0, self.hearer.limits.limits[TARGET].per_s)

    def test_news_of_others_are_not_passed_on(self):
        self.teller.answer(5.0)
        self.hearer.get(self.get_notices()[0])
        gevent.sleep(2 * COLLECT_S)
        self.clock.advance(REPEAT_INTERVAL_S)
        self.hearer.notices.repeat()
        self.assertEqual([], self.hearer.links.sent)
