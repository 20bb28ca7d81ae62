"""Tests of what the end of a target under a call says of the request."""

import random

import testtools

from sesameplank.core.common.clock import ManualClock
from sesameplank.core.forwarding.target_reach import ReachState, TargetReach
from sesameplank.core.quarantine.request_quarantine import RequestQuarantine, Standing
from sesameplank.core.quarantine.sent_request import SentRequest
from sesameplank.crash_guard import CrashGuard

FINGERPRINT = "0" * 32


class CrashGuardTests(testtools.TestCase):
    """Ends of targets that don't speak against the requests under way."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(10.0)
        self.quarantine = RequestQuarantine()
        self.reach = TargetReach(random.Random(1), 0.0)
        self.in_use = {"t1", "t2", "t3"}
        self.guard = CrashGuard(
            self.clock, self.quarantine, self.reach, self.in_use.__contains__, dict
        )
        self.request = SentRequest("r1", FINGERPRINT)

    def end(self, target: str) -> bool:
        """Record the end of a target under a call that was just sent."""
        self.clock.advance(0.1)
        is_crash = self.guard.note_ended(target, self.request, self.clock.now() - 0.05)
        self.guard.judge(self.request.fingerprint)
        self.clock.advance(0.1)
        return is_crash

    def get_standing(self) -> Standing:
        """Return the standing of the request."""
        return self.quarantine.get_standing(FINGERPRINT, self.clock.now())

    def test_request_may_be_sent_until_it_is_quarantined(self):
        for target in sorted(self.in_use):
            self.assertTrue(self.guard.may_send(self.request))
            self.assertTrue(self.end(target))
        self.assertFalse(self.guard.may_send(self.request))
        self.assertTrue(self.guard.may_send(SentRequest("r2", "1" * 32)))

    def test_target_that_drains_or_has_left_has_not_crashed(self):
        self.in_use.clear()
        self.assertFalse(self.end("t1"))
        self.assertIs(Standing.CLEAR, self.get_standing())

    def test_targets_out_of_reach_have_not_crashed(self):
        self.reach.state = ReachState.LOST
        self.assertFalse(self.end("t1"))
        self.assertIs(Standing.CLEAR, self.get_standing())

    def test_request_that_another_target_has_answered_is_not_suspected(self):
        self.guard.note_answer(self.request)
        self.assertTrue(self.end("t1"))
        self.assertIs(Standing.CLEAR, self.get_standing())

    def test_request_without_a_fingerprint_is_sent_and_never_suspected(self):
        self.request = SentRequest("r1", "")
        for target in sorted(self.in_use):
            self.end(target)
        self.assertTrue(self.guard.may_send(self.request))
