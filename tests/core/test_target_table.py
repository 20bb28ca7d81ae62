"""Tests of the table of targets."""

import random

import testtools

from sesameplank.core.target_table import (
    OUTAGE_GRACE_S,
    REMOVAL_GRACE_S,
    TargetChanges,
    TargetPhase,
    TargetRecord,
    TargetTable,
)


def make_record(name: str, revision: int, phase=TargetPhase.READY) -> TargetRecord:
    """Return a record of the service `orders`."""
    return TargetRecord(
        name, "orders", "10.0.0.1:80", "dc-a", 2, phase, revision=revision
    )


class TargetTableTests(testtools.TestCase):
    """Newer entries replace older ones; removed targets have a grace period."""

    def setUp(self):
        super().setUp()
        self.table = TargetTable()
        self.apply(2, [make_record("a", 1), make_record("b", 2)], complete=True)

    def apply(
        self,
        revision,
        records=(),
        removed=(),
        now=0.0,
        complete=False,
        after_outage=False,
    ):
        changes = TargetChanges(revision, tuple(records), tuple(removed), complete)
        return self.table.apply(changes, now, after_outage)

    def get_ready(self) -> list[str]:
        return sorted(item.id for item in self.table.get_ready("orders"))

    def get_last_resort(self, now: float) -> list[str]:
        found = self.table.get_last_resort("orders", now)
        return sorted(item.id for item in found)

    def test_older_revision_changes_nothing(self):
        self.assertFalse(self.apply(2, [make_record("c", 2)]))
        self.assertEqual(["a", "b"], self.get_ready())

    def test_complete_list_is_relayed_to_peers_as_changes(self):
        self.apply(5, [make_record("a", 1), make_record("c", 4)], complete=True)
        changes = self.table.get_changes(2)
        self.assertFalse(changes.is_whole)
        self.assertEqual(["c"], [item.id for item in changes.records])
        self.assertEqual([("b", 5)], list(changes.removed))
        self.assertTrue(self.table.get_changes(1).is_whole)

    def test_draining_target_is_a_last_resort_during_its_grace_period(self):
        self.apply(3, [make_record("a", 3, TargetPhase.DRAINING)], now=10.0)
        self.assertEqual(["b"], self.get_ready())
        self.assertEqual(["a"], self.get_last_resort(10.0))
        self.assertEqual([], self.get_last_resort(10.0 + REMOVAL_GRACE_S))

    def test_target_first_seen_draining_is_no_last_resort(self):
        self.apply(3, [make_record("c", 3, TargetPhase.DRAINING)])
        self.assertEqual([], self.get_last_resort(0.0))

    def test_removed_target_is_a_last_resort_longer_after_an_outage(self):
        for after_outage, grace_s in ((False, REMOVAL_GRACE_S), (True, OUTAGE_GRACE_S)):
            table = TargetTable()
            table.apply(TargetChanges(1, (make_record("a", 1),)), 0.0, False)
            table.apply(TargetChanges(2, (), (("a", 2),)), 5.0, after_outage)
            resort = table.get_last_resort("orders", 5.0 + grace_s - 0.01)
            self.assertEqual(["a"], [item.id for item in resort])
            self.assertEqual([], table.get_last_resort("orders", 5.0 + grace_s))

    def test_target_whose_entry_returned_is_ready_again(self):
        self.apply(3, removed=[("a", 3)])
        self.apply(4, [make_record("a", 4)])
        self.assertEqual(["a", "b"], self.get_ready())
        self.assertEqual([], self.get_last_resort(0.0))

    def test_removal_older_than_the_entry_is_ignored(self):
        self.apply(5, [make_record("a", 5)], [("b", 1)])
        self.assertEqual(["a", "b"], self.get_ready())

    def test_complete_list_removes_targets_that_it_lacks(self):
        self.apply(9, [make_record("b", 2)], complete=True)
        self.assertEqual(["b"], self.get_ready())

    def test_discarded_target_is_no_last_resort(self):
        self.apply(3, removed=[("a", 3)])
        self.table.discard("a")
        self.assertEqual([], self.get_last_resort(0.0))

    def test_peers_reach_the_same_table_by_changes_only(self):
        rng = random.Random(7)
        peer = TargetTable()
        revision = 2
        for _ in range(300):
            revision += 1
            name = rng.choice("abcdef")
            if rng.random() < 0.4 and name in self.table.records:
                self.apply(revision, removed=[(name, revision)])
            else:
                phase = rng.choice(list(TargetPhase))
                self.apply(revision, [make_record(name, revision, phase)])
            if rng.random() < 0.3:
                peer.apply(self.table.get_changes(peer.revision), 0.0, False)
        peer.apply(
            self.table.get_changes(peer.revision) or TargetChanges(0), 0.0, False
        )
        self.assertEqual(self.table.records, peer.records)
