"""Tests of what follows a booking that brought no answer."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from sesameplank.client.retries import BookingAttempts, NextStep
from sesameplank.exceptions import CallError

LOST = ("no-answer", "unknown", None)
REFUSED = ("no-answer", "not_run", None)
GONE = ("issuer-gone", "unknown", None)
UNREACHABLE = ("issuer-gone", "unknown", 0.2)
PENDING = ("outcome-unknown", "unknown", 0.2)
UNKNOWN = ("outcome-unknown", "unknown", None)
NO_TARGET = ("target-unavailable", "not_run", 0.5)
FULL = ("overloaded", "not_run", 0.5)
CLOSED = ("writer-closed", "not_run", None)
BAD = ("bad-request", "not_run", None)
EVENTS = (LOST, REFUSED, GONE, UNREACHABLE, PENDING, UNKNOWN, NO_TARGET, FULL, CLOSED)


def make_error(event):
    """Return the error of an attempt."""
    kind, ran, retry_after_s = event
    return CallError("", kind=kind, ran=ran, retry_after_s=retry_after_s)


class BookingAttemptsTests(testtools.TestCase):
    """A new key is taken only when the earlier one cannot run."""

    def test_step_after_each_outcome(self):
        table = [
            (LOST, NextStep.SAME_KEY),
            (REFUSED, NextStep.NEW_KEY),
            (GONE, NextStep.NEW_KEY),
            (UNREACHABLE, NextStep.NEW_KEY),
            (PENDING, NextStep.SAME_KEY),
            (UNKNOWN, NextStep.GIVE_UP),
            (NO_TARGET, NextStep.SAME_KEY),
            (FULL, NextStep.NEW_KEY),
            (CLOSED, NextStep.NEW_KEY),
            (BAD, NextStep.GIVE_UP),
        ]
        for event, step in table:
            attempts = BookingAttempts(may_renew=True)
            self.assertIs(step, attempts.judge(make_error(event)), event)

    def test_step_after_a_lost_answer(self):
        table = [
            (REFUSED, NextStep.SAME_KEY),
            (GONE, NextStep.GIVE_UP),
            (UNREACHABLE, NextStep.SAME_KEY),
            (FULL, NextStep.SAME_KEY),
            (CLOSED, NextStep.NEW_KEY),
        ]
        for event, step in table:
            attempts = BookingAttempts(may_renew=True)
            attempts.judge(make_error(LOST))
            self.assertIs(step, attempts.judge(make_error(event)), event)

    @given(st.lists(st.sampled_from(EVENTS), max_size=8))
    def test_given_key_is_never_replaced(self, events):
        attempts = BookingAttempts(may_renew=False)
        steps = [attempts.judge(make_error(event)) for event in events]
        self.assertNotIn(NextStep.NEW_KEY, steps)

    @given(st.lists(st.sampled_from(EVENTS), min_size=1, max_size=8))
    def test_key_that_may_have_run_is_not_replaced_nor_called_not_run(self, events):
        attempts = BookingAttempts(may_renew=True)
        may_have_run = False
        for event in events:
            step = attempts.judge(make_error(event))
            if event in (LOST, PENDING, UNKNOWN):
                may_have_run = True
            if event == CLOSED:
                may_have_run = False
            if may_have_run:
                self.assertIsNot(NextStep.NEW_KEY, step)
                error = attempts.explain(make_error(event), "key")
                self.assertEqual("unknown", error.ran)

    def test_given_key_is_as_unknown_as_the_entry_says(self):
        attempts = BookingAttempts(may_renew=False)
        attempts.judge(make_error(GONE))
        self.assertEqual("unknown", attempts.explain(make_error(GONE), "key").ran)
