"""Tests of the pauses that targets ask for."""

import testtools

from sesameplank.core.limits.target_pauses import MAX_PAUSE_S, TargetPauses
from sesameplank.core.published.target_table import TargetPhase, TargetRecord


def make_record(started_ms: int = 1, address: str = "10.0.0.1:80") -> TargetRecord:
    """Return the record of an incarnation of a target."""
    return TargetRecord(
        "t1", "s", address, "dc", 2, TargetPhase.READY, started_ms=started_ms
    )


class TargetPausesTests(testtools.TestCase):
    """A pause holds for its incarnation until its end."""

    def setUp(self):
        super().setUp()
        self.pauses = TargetPauses()
        self.record = make_record()

    def test_target_is_left_out_until_the_pause_ends(self):
        self.assertTrue(self.pauses.note(self.record, 2.0, 10.0))
        self.assertEqual([], self.pauses.exclude([self.record], 11.9))
        self.assertAlmostEqual(0.5, self.pauses.get_remaining_s(self.record, 11.5))
        self.assertEqual([self.record], self.pauses.exclude([self.record], 12.0))

    def test_shorter_statement_that_arrives_later_does_not_end_a_pause(self):
        self.pauses.note(self.record, 5.0, 10.0)
        self.assertFalse(self.pauses.note(self.record, 1.0, 10.5))
        self.assertAlmostEqual(4.0, self.pauses.get_remaining_s(self.record, 11.0))

    def test_longer_statement_extends_a_pause(self):
        self.pauses.note(self.record, 1.0, 10.0)
        self.assertFalse(self.pauses.note(self.record, 5.0, 10.5))
        self.assertAlmostEqual(5.0, self.pauses.get_remaining_s(self.record, 10.5))

    def test_new_incarnation_is_not_paused(self):
        self.pauses.note(self.record, 5.0, 10.0)
        self.assertEqual(0.0, self.pauses.get_remaining_s(make_record(2), 11.0))

    def test_pause_is_bounded_and_forgotten(self):
        self.pauses.note(self.record, 1e12, 10.0)
        self.assertEqual(MAX_PAUSE_S, self.pauses.get_remaining_s(self.record, 10.0))
        self.pauses.drop_ended(10.0 + MAX_PAUSE_S)
        self.assertEqual({}, self.pauses.holds)

    def test_pause_of_no_time_is_none(self):
        self.assertFalse(self.pauses.note(self.record, 0.0, 10.0))
        self.assertEqual([self.record], self.pauses.exclude([self.record], 10.0))
