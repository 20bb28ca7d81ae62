"""Tests of the rate limits that targets name."""

import testtools

from sesameplank.core.limits.limit_parts import ActiveVmParts, WholePart
from sesameplank.core.limits.target_limits import LimitEvent, LimitNews, TargetLimits

TARGET = "t1"


class KnownLimitTests(testtools.TestCase):
    """Answers name, change and lift limits, whatever order they arrive in."""

    def setUp(self):
        super().setUp()
        self.events: list[LimitEvent] = []
        self.limits = TargetLimits(WholePart())
        self.limits.listeners.append(lambda event, *rest: self.events.append(event))

    def answer(self, per_s: float | None, sent_at: float, now: float) -> None:
        self.limits.note_answer(TARGET, LimitNews(per_s), sent_at, now)

    def test_answers_in_order(self):
        self.answer(None, 0.0, 0.1)
        self.answer(5.0, 0.2, 0.3)
        self.answer(5.0, 0.4, 0.5)
        self.answer(2.5, 0.6, 0.7)
        self.answer(None, 0.8, 0.9)
        self.assertEqual(
            [LimitEvent.NAMED, LimitEvent.CHANGED, LimitEvent.LIFTED], self.events
        )

    def test_late_answer_from_before_the_limit_does_not_lift_it(self):
        self.answer(5.0, 0.2, 0.3)
        self.answer(None, 0.1, 0.4)
        self.assertTrue(self.limits.is_limited(TARGET))

    def test_targets_that_are_gone_are_forgotten(self):
        self.answer(5.0, 0.2, 0.3)
        self.limits.keep_only(lambda target: False)
        self.assertFalse(self.limits.is_limited(TARGET))


class ChangedPartTests(testtools.TestCase):
    """The part of a process changes while it sends no calls."""

    def test_tokens_are_earned_at_the_new_part_from_the_change_on(self):
        parts = ActiveVmParts("a", 2)
        parts.update(("a",), 1, 0.0)
        limits = TargetLimits(parts)
        limits.note_answer(TARGET, LimitNews(1.0), 0.0, 0.0)
        parts.update(("a", "b"), 2, 0.1)
        limits.update(0.1)
        self.assertTrue(limits.take(TARGET, 3.0))
