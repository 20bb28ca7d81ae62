"""Tests of the times of a graceful shutdown, and of what it still accepts."""

import testtools

from sesameplank.core.common.stop_schedule import MIN_ANSWER_S, make_stop_schedule

TIMEOUTS_S = (3.0, 6.0, 30.0)
COMPLETION_CASES = (
    ("one that ends at the last moment", 104.0, 1.0, True, True),
    ("one that ends too late", 104.1, 1.0, True, False),
    ("booking with time to spare", 103.0, 1.0, False, True),
    ("booking whose outcome could remain unknown", 103.5, 1.0, False, False),
    ("any after the last moment", 105.1, 0.0, True, False),
)


class StopScheduleTests(testtools.TestCase):
    """The steps of a stop follow each other and end before the timeout."""

    def test_steps_are_in_order_and_leave_time_to_exit(self):
        for timeout_s in TIMEOUTS_S:
            with self.subTest(timeout_s=timeout_s):
                stop = make_stop_schedule(100.0, timeout_s, 100.0)
                steps = [
                    stop.requested_at,
                    stop.stop_accepting_at,
                    stop.answer_by,
                    stop.exit_by,
                    100.0 + timeout_s,
                ]
                self.assertEqual(sorted(steps), steps)
                self.assertEqual(len(steps), len(set(steps)))

    def test_process_that_was_suspended_counts_from_the_earliest_request(self):
        stop = make_stop_schedule(100.0, 6.0, now=104.0)
        self.assertAlmostEqual(105.0, stop.answer_by)
        self.assertTrue(stop.exit_by < 106.0)

    def test_process_that_wakes_too_late_still_answers_what_it_has(self):
        stop = make_stop_schedule(100.0, 6.0, now=107.0)
        self.assertEqual(107.0 + MIN_ANSWER_S, stop.answer_by)
        self.assertTrue(stop.answer_by < stop.exit_by)

    def test_requests_that_cannot_end_in_time_are_not_accepted(self):
        stop = make_stop_schedule(100.0, 6.0, 100.0)
        for name, now, completion_s, idempotent, expected in COMPLETION_CASES:
            with self.subTest(case=name):
                accepted = stop.can_finish(now, completion_s, idempotent)
                self.assertEqual(expected, accepted)
