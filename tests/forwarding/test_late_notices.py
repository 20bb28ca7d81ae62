"""Tests of the notices about targets to which calls are late."""

import random

import gevent
import testtools

from sesameplank.core.common.clock import ManualClock
from sesameplank.core.forwarding.placement import MIN_REMAINING_PAUSE_S, Placement
from sesameplank.core.membership.peer_messages import TargetsLate
from sesameplank.core.published.target_table import TargetPhase, TargetRecord
from sesameplank.forwarding.late_notices import (
    MAX_NOTICE_AGE_S,
    MAX_NOTIFIED,
    LateNotices,
)
from sesameplank.peers import PeerContext
from sesameplank.peers.collected_notices import COLLECT_S

from .test_lookup_notices import FakeLinks

RECORDS = [
    TargetRecord(name, "s", "10.0.0.1:80", "dc", 2, TargetPhase.READY) for name in "ab"
]


class LateNoticesTests(testtools.TestCase):
    """Calls go to other replicas for a moment, wherever the target was found late."""

    def setUp(self):
        super().setUp()
        self.links = FakeLinks()
        self.clock = ManualClock()
        self.placement = Placement("dc", random.Random(1))
        self.others = ["m1", "m2"]
        self.notices = LateNotices(
            self.links,
            self.clock,
            random.Random(1),
            self.placement,
            lambda: self.others,
        )
        for record in RECORDS:
            self.placement.get(record.id)

    def receive(self, target: str, age_ms: int, message_age_s: float = 0.0) -> None:
        context = PeerContext("m1", 1, message_age_s, float("inf"))
        self.notices.on_notice(TargetsLate(((target, age_ms),)), context)

    def choose_all(self) -> set[str]:
        now = self.clock.now()
        return {self.placement.choose(RECORDS, 0.02, now).id for _ in range(50)}

    def test_late_target_gets_no_calls_for_a_moment(self):
        self.receive("a", 60)
        self.assertEqual({"b"}, self.choose_all())
        self.clock.advance(0.061)
        self.assertEqual({"a", "b"}, self.choose_all())

    def test_short_lateness_counts_for_a_minimum(self):
        self.receive("a", 1)
        self.clock.advance(0.5 * MIN_REMAINING_PAUSE_S)
        self.assertEqual({"b"}, self.choose_all())

    def test_answer_ends_the_lateness(self):
        self.receive("a", 60)
        self.placement.note_answer("a", 1, self.clock.now())
        self.assertEqual({"a", "b"}, self.choose_all())

    def test_old_notices_and_unknown_targets_are_ignored(self):
        self.receive("a", 60, 1.01 * MAX_NOTICE_AGE_S)
        self.receive("unknown", 60)
        self.assertEqual({"a", "b"}, self.choose_all())
        self.assertNotIn("unknown", self.placement.views)

    def test_only_the_first_lateness_is_news(self):
        self.assertTrue(self.placement.note_late("a", 0.05, 0.0))
        self.assertFalse(self.placement.note_late("a", 0.06, 0.01))
        self.assertTrue(self.placement.note_late("a", 0.05, 0.5))

    def test_targets_of_about_the_same_time_share_a_notice(self):
        self.notices.collect("a", 0.05)
        self.notices.collect("b", 0.06)
        gevent.sleep(2 * COLLECT_S)
        notice = TargetsLate((("a", 50), ("b", 60)))
        self.assertEqual({("m1", notice), ("m2", notice)}, set(self.links.sent))

    def test_number_of_notices_is_bounded_in_large_fleets(self):
        self.others = [f"m{n}" for n in range(1, 500)]
        self.notices.collect("a", 0.05)
        gevent.sleep(2 * COLLECT_S)
        self.assertEqual(MAX_NOTIFIED, len(self.links.sent))
