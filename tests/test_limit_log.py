"""Tests of the log lines about rate limits of targets."""

import testtools

from sesameplank import logs
from sesameplank.core.common.clock import ManualClock
from sesameplank.core.limits.limit_parts import WholePart
from sesameplank.core.limits.target_limits import (
    LimitNews,
    TargetLimits,
    UnreadableLimit,
)
from sesameplank.limit_log import LINES_BURST, LimitLog

ANSWERS = 5_000


class LimitLogTests(testtools.TestCase):
    """Every kind of line is written, and their volume is bounded."""

    def setUp(self):
        super().setUp()
        self.lines: list[str] = []
        self.patch(logs.output, "write", self.lines.append)
        self.limits = TargetLimits(WholePart())
        LimitLog(ManualClock(5.0), lambda: {"version": 7}).follow(self.limits)

    def test_lines(self):
        for statement, event in (
            (LimitNews(5.0), "target_limit_named"),
            (LimitNews(8.0), "target_limit_changed"),
            (UnreadableLimit("not a number"), "target_limit_unreadable"),
            (LimitNews(None), "target_limit_lifted"),
        ):
            self.limits.note_answer("t1", statement, 5.0, 5.0)
            self.assertIn(f"event={event} target=t1 ", self.lines[-1])
            self.assertIn("version=7", self.lines[-1])

    def test_target_whose_every_answer_is_unreadable_does_not_flood_the_log(self):
        for _ in range(ANSWERS):
            self.limits.note_answer("t1", UnreadableLimit("not a number"), 5.0, 5.0)
        self.assertLessEqual(len(self.lines), LINES_BURST)
