"""Tests of the measurement of how late the event loop runs."""

import testtools

from sesameplank.forwarding.loop_delay import LoopDelay


class LoopDelayTests(testtools.TestCase):
    """A loop that stood still is noticed before and after its next round."""

    def setUp(self):
        super().setUp()
        self.delay = LoopDelay(0.1)

    def test_no_delay_before_the_first_round_and_in_time(self):
        self.assertEqual(0.0, self.delay.get_delay_s(5.0))
        self.delay.note_round(5.0)
        self.assertEqual(0.0, self.delay.get_delay_s(5.1))

    def test_signal_that_is_handled_before_the_late_round_sees_the_delay(self):
        self.delay.note_round(5.0)
        self.assertAlmostEqual(0.9, self.delay.get_delay_s(6.0))

    def test_signal_that_is_handled_after_the_late_round_sees_the_delay(self):
        self.delay.note_round(5.0)
        self.delay.note_round(6.0)
        self.assertAlmostEqual(0.9, self.delay.get_delay_s(6.05))
        self.delay.note_round(6.1)
        self.assertAlmostEqual(0.0, self.delay.get_delay_s(6.15))

    def test_event_behind_a_late_round_may_be_as_old_as_the_round_before(self):
        self.assertEqual(10.0, self.delay.get_earliest_event_at(10.0))
        self.delay.note_round(10.0)
        self.assertEqual(10.0, self.delay.get_earliest_event_at(12.0))
        self.delay.note_round(12.0)
        self.assertEqual(10.0, self.delay.get_earliest_event_at(12.0))
        self.delay.note_round(12.1)
        self.assertEqual(12.0, self.delay.get_earliest_event_at(12.15))

    def test_stall_is_what_an_event_waited_beyond_the_usual(self):
        self.assertEqual(0.0, self.delay.get_stall_s(9.0))
        self.delay.note_round(9.9)
        self.delay.note_round(10.0)
        self.assertAlmostEqual(0.0, self.delay.get_stall_s(10.1))
        self.assertAlmostEqual(59.9, self.delay.get_stall_s(70.0))
        self.delay.note_round(70.0)
        self.assertAlmostEqual(59.8, self.delay.get_stall_s(70.0))
        self.delay.note_round(70.1)
        self.assertAlmostEqual(0.0, self.delay.get_stall_s(70.15))
