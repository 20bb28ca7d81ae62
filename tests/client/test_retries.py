"""Tests of the retries of a failed booking."""

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
    """Return the error of an event, which is a tuple of kind, ran and retry time."""
    kind, ran, retry_after_s = event
    return CallError("", kind=kind, ran=ran, retry_after_s=retry_after_s)


class BookingAttemptsTests(testtools.TestCase):
    """A new key is used only if the earlier one cannot run."""

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
            attempts = BookingAttempts(may_replace_key=True)
            self.assertIs(step, attempts.choose_next_step(make_error(event)), event)

    def test_step_after_a_lost_answer(self):
        table = [
            (REFUSED, NextStep.SAME_KEY),
            (GONE, NextStep.GIVE_UP),
            (UNREACHABLE, NextStep.SAME_KEY),
            (FULL, NextStep.SAME_KEY),
            (CLOSED, NextStep.NEW_KEY),
        ]
        for event, step in table:
            attempts = BookingAttempts(may_replace_key=True)
            attempts.choose_next_step(make_error(LOST))
            self.assertIs(step, attempts.choose_next_step(make_error(event)), event)

    @given(st.lists(st.sampled_from(EVENTS), max_size=8))
    def test_key_passed_in_is_never_replaced(self, events):
        attempts = BookingAttempts(may_replace_key=False)
        steps = [attempts.choose_next_step(make_error(event)) for event in events]
        self.assertNotIn(NextStep.NEW_KEY, steps)

    @given(st.lists(st.sampled_from(EVENTS), min_size=1, max_size=8))
    def test_key_that_may_have_run_is_not_replaced_nor_reported_as_not_run(
        self, events
    ):
        attempts = BookingAttempts(may_replace_key=True)
        may_have_run = False
        for event in events:
            step = attempts.choose_next_step(make_error(event))
            if event in (LOST, PENDING, UNKNOWN):
                may_have_run = True
            if event == CLOSED:
                may_have_run = False
            if may_have_run:
                self.assertIsNot(NextStep.NEW_KEY, step)
                error = attempts.make_final_error(make_error(event), "key")
                self.assertEqual("unknown", error.ran)

    def test_key_passed_in_is_unknown_if_the_entry_reports_it_as_unknown(self):
        attempts = BookingAttempts(may_replace_key=False)
        attempts.choose_next_step(make_error(GONE))
        self.assertEqual(
            "unknown", attempts.make_final_error(make_error(GONE), "key").ran
        )
