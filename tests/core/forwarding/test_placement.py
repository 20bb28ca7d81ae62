"""Tests of the choice among the targets of a service."""

import random

import testtools

from sesameplank.core.forwarding.placement import (
    ABANDONED_FAILURE_S,
    MAX_SCATTERED_FAILURES,
    MIN_AVOID_S,
    LoadReport,
    Placement,
)
from sesameplank.core.published.target_table import TargetPhase, TargetRecord


def make_record(name: str, data_centre: str = "dc") -> TargetRecord:
    """Return a ready target."""
    return TargetRecord(name, "s", "10.0.0.1:80", data_centre, 2, TargetPhase.READY)


class PlacementTests(testtools.TestCase):
    """The target with the least expected cost of a call is chosen."""

    def setUp(self):
        super().setUp()
        self.placement = Placement("dc", random.Random(3))
        self.records = [make_record("a"), make_record("b")]
        self.attempt = 0

    def send(self, name: str, now: float = 0.0) -> int:
        self.attempt += 1
        self.placement.note_sent(name, self.attempt, now)
        return self.attempt

    def choose(self, now: float = 0.0, records=None) -> str:
        return self.placement.choose(records or self.records, 0.02, now).id

    def test_target_with_a_queue_is_avoided(self):
        for _ in range(4):
            self.send("a")
        self.assertEqual("b", self.choose())

    def test_target_with_an_overdue_call_is_avoided(self):
        self.send("a")
        self.assertEqual("b", self.choose(0.12))

    def test_slow_target_is_avoided_until_its_slowness_decays(self):
        for _ in range(6):
            self.placement.note_relative_latency("a", 8.0, 0.0)
        self.assertEqual("b", self.choose())
        chosen = {self.choose(30.0) for _ in range(50)}
        self.assertEqual({"a", "b"}, chosen)

    def test_reported_slowdown_is_not_counted_as_slowness(self):
        report = LoadReport(1, 0, 2, slowdown=2.5)
        self.placement.note_report("a", report, 0.0)
        self.placement.note_relative_latency("a", 2.5, 0.0)
        self.assertAlmostEqual(1.0, self.placement.get("a").slowness.get(0.0))
        self.assertEqual("b", self.choose())
        self.assertEqual({"a", "b"}, {self.choose(5.0) for _ in range(50)})

    def test_target_that_sheds_load_is_avoided(self):
        for _ in range(4):
            self.placement.note_shed("a", self.send("a"), 0.0)
        self.assertEqual("b", self.choose())

    def test_failing_target_is_chosen_only_if_all_fail(self):
        self.placement.note_failure("a", self.send("a"), 0.0)
        self.assertTrue(self.placement.is_avoided("a", 0.0))
        self.assertEqual("b", self.choose())
        self.assertEqual("a", self.choose(records=self.records[:1]))
        self.assertFalse(self.placement.is_avoided("a", MIN_AVOID_S))

    def test_target_that_lost_an_answer_is_preferred_to_a_much_slower_one(self):
        for _ in range(6):
            self.placement.note_relative_latency("b", 8.0, 0.0)
        for lost in range(MAX_SCATTERED_FAILURES - 1):
            attempt = self.send("a")
            self.placement.note_failure("a", attempt, 0.0, is_scattered=True)
            self.assertEqual("a", self.choose(), lost)
            self.assertFalse(self.placement.is_avoided("a", 0.0))
        self.placement.note_failure("a", self.send("a"), 0.0, is_scattered=True)
        self.assertTrue(self.placement.is_avoided("a", 0.0))

    def test_target_that_lost_an_answer_is_costlier_than_an_equal_one(self):
        self.placement.note_failure("a", self.send("a"), 0.0, is_scattered=True)
        self.assertEqual({"b"}, {self.choose() for _ in range(50)})
        self.assertEqual({"a", "b"}, {self.choose(60.0) for _ in range(50)})

    def test_call_abandoned_late_counts_as_failure(self):
        attempt = self.send("a", 0.0)
        self.placement.note_abandoned("a", attempt, ABANDONED_FAILURE_S)
        self.assertTrue(self.placement.is_avoided("a", ABANDONED_FAILURE_S))
        early = self.send("b", 0.0)
        self.placement.note_abandoned("b", early, 0.01)
        self.assertFalse(self.placement.is_avoided("b", 0.01))

    def test_own_data_centre_is_preferred(self):
        records = [make_record("far", "other"), make_record("near")]
        self.assertEqual({"near"}, {self.choose(records=records) for _ in range(50)})

    def test_views_of_removed_targets_are_removed(self):
        self.send("a")
        self.placement.keep_only(["b"])
        self.assertNotIn("a", self.placement.views)
