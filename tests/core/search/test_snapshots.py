"""Tests of the tracking of snapshots and of their choice for queries."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from sesameplank.core.common.clock import ManualClock
from sesameplank.core.search.snapshots import (
    ANSWER_PRECEDENCE_S,
    STALE_AFTER_S,
    HeldSnapshots,
    SnapshotTracker,
)

SHARDS = [("s0", ("a", "b")), ("s1", ("a", "b"))]


def make_tracker(held: dict[str, dict[str, tuple[int, int]]]) -> SnapshotTracker:
    """Return a tracker with the snapshots that each replica of each shard holds.

    `held` maps shard and target to the oldest and the newest snapshot.
    """
    tracker = SnapshotTracker(ManualClock())
    for shard, replicas in held.items():
        for target, bounds in replicas.items():
            tracker.observe("orders", shard, target, HeldSnapshots(*bounds))
    return tracker


class ChooseTests(testtools.TestCase):
    """One snapshot is chosen for all shards."""

    def test_choice(self):
        table = [
            ("nothing known", {}, 0, None),
            ("nothing known, at_least given", {}, 9, 9),
            (
                "held by two of every shard",
                {"s0": {"a": (1, 21), "b": (1, 20)}, "s1": {"a": (1, 21)}},
                0,
                20,
            ),
            (
                "at_least requires the newer one",
                {"s0": {"a": (1, 21), "b": (1, 20)}, "s1": {"a": (1, 21)}},
                21,
                21,
            ),
            (
                "at_least that no replica holds yet",
                {"s0": {"a": (1, 21)}, "s1": {"a": (1, 21)}},
                22,
                22,
            ),
            (
                "a replica that lags far behind is ignored",
                {"s0": {"a": (80, 100), "b": (60, 81)}, "s1": {"a": (80, 100)}},
                0,
                100,
            ),
            (
                "the newest of one shard is not on another yet",
                {"s0": {"a": (1, 20)}, "s1": {"a": (1, 18)}},
                0,
                18,
            ),
            (
                "a shard that lags does not affect the choice for others",
                {"s0": {"a": (80, 100)}, "s1": {"a": (1, 5)}},
                0,
                100,
            ),
            (
                "a snapshot about to be dropped is not chosen",
                {"s0": {"a": (80, 100), "b": (40, 81)}, "s1": {"b": (40, 81)}},
                0,
                81,
            ),
        ]
        for name, held, at_least, expected in table:
            chosen = make_tracker(held).choose("orders", SHARDS, at_least)
            self.assertEqual(expected, chosen, name)

    @given(
        st.lists(st.tuples(st.integers(1, 30), st.integers(0, 30)), min_size=4),
        st.integers(0, 70),
    )
    def test_never_older_than_at_least(self, bounds, at_least):
        tracker = SnapshotTracker(ManualClock())
        for index, (oldest, width) in enumerate(bounds):
            shard, targets = SHARDS[index % 2]
            held = HeldSnapshots(oldest, oldest + width)
            tracker.observe("orders", shard, targets[index // 2 % 2], held)
        self.assertTrue(tracker.choose("orders", SHARDS, at_least) >= at_least)


class ObserveTests(testtools.TestCase):
    """Reports of a replica are applied according to their source and order."""

    def setUp(self):
        super().setUp()
        self.tracker = make_tracker({"s0": {"a": (80, 100)}})
        self.clock = self.tracker.clock

    def observe(
        self, oldest: int, newest: int, search_sent_at: float | None = None
    ) -> None:
        """Record a report of the replica; `search_sent_at` is as in the tracker."""
        held = HeldSnapshots(oldest, newest)
        self.tracker.observe("orders", "s0", "a", held, search_sent_at)

    def get_newest(self) -> int:
        """Return the newest snapshot that is recorded for the replica."""
        return self.tracker.get_held("orders", "s0", "a").newest

    def test_restarted_replica_may_hold_fewer_snapshots(self):
        self.observe(1, 2, search_sent_at=1.0)
        self.assertEqual(2, self.get_newest())

    def test_late_answer_to_an_earlier_search_is_ignored(self):
        self.observe(90, 110, search_sent_at=2.0)
        self.observe(85, 105, search_sent_at=1.0)
        self.assertEqual(110, self.get_newest())

    def test_health_report_is_ignored_shortly_after_an_answer(self):
        self.observe(1, 2, search_sent_at=1.0)
        self.observe(80, 100)
        self.assertEqual(2, self.get_newest())
        self.clock.advance(ANSWER_PRECEDENCE_S)
        self.observe(81, 101)
        self.assertEqual(101, self.get_newest())

    def test_replica_without_recent_reports_is_evicted(self):
        self.clock.advance(STALE_AFTER_S + 1)
        self.assertIs(None, self.tracker.get_held("orders", "s0", "a"))
        self.tracker.drop_stale()
        self.assertEqual({}, self.tracker.known)


class ReadyTimeTests(testtools.TestCase):
    """The time at which a replica holds a snapshot is predicted from past answers."""

    def record_answers(self, tracker: SnapshotTracker, newest: range) -> None:
        """Record an answer of replica a for each newest snapshot, 0.25 s apart."""
        for snapshot in newest:
            tracker.clock.advance(0.25)
            held = HeldSnapshots(3, snapshot)
            tracker.observe("orders", "s0", "a", held, tracker.clock.now())

    def test_health_reports_give_no_prediction(self):
        tracker = make_tracker({"s0": {"a": (1, 10)}})
        for newest in range(11, 15):
            tracker.clock.advance(0.25)
            tracker.observe("orders", "s0", "a", HeldSnapshots(3, newest))
        self.assertIs(None, tracker.get_ready_time("orders", SHARDS[0], 16))

    def test_health_report_after_answers_gives_no_prediction(self):
        tracker = make_tracker({"s0": {"a": (1, 10)}})
        self.record_answers(tracker, range(11, 15))
        tracker.clock.advance(ANSWER_PRECEDENCE_S)
        tracker.observe("orders", "s0", "a", HeldSnapshots(3, 15))
        self.assertIs(None, tracker.get_ready_time("orders", SHARDS[0], 17))

    def test_ready_times(self):
        tracker = make_tracker({"s0": {"a": (1, 10), "b": (1, 8)}})
        self.record_answers(tracker, range(11, 15))
        table = [
            ("held now", 14, 1.0),
            ("held by the other replica only", 2, 0.0),
            ("two snapshots after the newest", 16, 1.5),
        ]
        for name, snapshot, expected in table:
            ready_at = tracker.get_ready_time("orders", ("s0", ("a", "b")), snapshot)
            self.assertEqual(expected, ready_at, name)

    def test_dropped_snapshot_is_never_held_again(self):
        tracker = make_tracker({"s0": {"a": (5, 10)}})
        shard = ("s0", ("a",))
        self.assertEqual(float("inf"), tracker.get_ready_time("orders", shard, 4))

    def test_unknown_replica_may_hold_a_dropped_snapshot(self):
        tracker = make_tracker({"s0": {"a": (5, 10)}})
        self.assertIs(None, tracker.get_ready_time("orders", SHARDS[0], 4))

    def test_unknown_snapshot_rate_gives_no_prediction(self):
        tracker = make_tracker({"s0": {"a": (5, 10)}})
        self.assertIs(None, tracker.get_ready_time("orders", SHARDS[0], 11))
