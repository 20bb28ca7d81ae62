"""Tests of the times of an entry's graceful shutdown."""

import testtools

from sesameplank.core.common.entry_stop import make_entry_stop_schedule
from sesameplank.core.common.stop_schedule import MIN_ANSWER_S

# address_ttl_s and drain_timeout_s
SETTINGS = ((5.0, 10.0), (1.0, 0.0), (0.0, 0.0))


class EntryStopScheduleTests(testtools.TestCase):
    """A stop refuses, answers and ends in this order, within its bound."""

    def test_steps_are_in_order_and_within_the_documented_bound(self):
        for ttl_s, drain_s in SETTINGS:
            with self.subTest(ttl_s=ttl_s, drain_s=drain_s):
                stop = make_entry_stop_schedule(100.0, ttl_s, drain_s, 100.0)
                steps = [
                    stop.requested_at,
                    stop.stop_accepting_at,
                    stop.answer_by,
                    stop.exit_by,
                    100.0 + ttl_s + drain_s + 1.0,
                ]
                self.assertEqual(sorted(steps), steps)

    def test_stop_counts_from_the_earliest_request(self):
        stop = make_entry_stop_schedule(100.0, 5.0, 10.0, now=104.0)
        self.assertAlmostEqual(105.5, stop.stop_accepting_at)
        self.assertTrue(115.0 < stop.answer_by < stop.exit_by < 116.0)

    def test_process_that_wakes_too_late_still_answers_what_it_has(self):
        stop = make_entry_stop_schedule(100.0, 5.0, 10.0, now=200.0)
        self.assertEqual(200.0 + MIN_ANSWER_S, stop.answer_by)
        self.assertTrue(stop.exit_by > stop.answer_by)
